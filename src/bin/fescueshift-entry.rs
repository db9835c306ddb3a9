//! The entry daemon. It reads its settings file and drains on SIGTERM or SIGINT.

use std::process::ExitCode;

use fes_entry::Entry;
use fes_node::daemon_command;
use fes_node::settings_path;
use fes_settings::EntrySettings;
use fes_settings::INVALID_SETTINGS_EXIT_STATUS;

fn main() -> ExitCode {
    let path = settings_path(daemon_command(
        "fescueshift-entry",
        "Routes client datagrams to agents by connection ID",
    ));
    let settings = match EntrySettings::load(path) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_STATUS);
        }
    };
    fes_telemetry::init_log(settings.node.log_level);
    actix_rt::System::new().block_on(run(settings))
}

async fn run(settings: EntrySettings) -> ExitCode {
    // Installed before the start, so that a signal during the start also drains the process.
    let signals = match fes_node::StopSignals::install() {
        Ok(signals) => signals,
        Err(error) => return log_failure(&error),
    };
    let handle = match Entry::start(settings).await {
        Ok(handle) => handle,
        Err(error) => return log_failure(&error),
    };
    let status = tokio::select! {
        status = handle.stopped() => status,
        () = signals.on_each(|| handle.stop()) => 0,
    };
    ExitCode::from(status)
}

fn log_failure(error: &fes_protocol::Error) -> ExitCode {
    log::error!("entry: {error}; {}", error.help());
    ExitCode::FAILURE
}
