//! The agent daemon: reads its settings, runs, and drains on SIGTERM or SIGINT.

use std::process::ExitCode;

use fes_agent::Agent;
use fes_node::daemon_command;
use fes_node::settings_path;
use fes_settings::AgentSettings;
use fes_settings::INVALID_SETTINGS_EXIT_STATUS;

fn main() -> ExitCode {
    let path = settings_path(daemon_command(
        "fescueshift-agent",
        "Ends QUIC beside an upstream and decides what runs",
    ));
    let settings = match AgentSettings::load(path) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_STATUS);
        }
    };
    fes_telemetry::init_log(settings.node.log_level);
    actix_rt::System::new().block_on(run(settings))
}

async fn run(settings: AgentSettings) -> ExitCode {
    // The handlers come first, so that a signal during the start drains too.
    let signals = match fes_node::StopSignals::install() {
        Ok(signals) => signals,
        Err(e) => return failed(&e),
    };
    let handle = match Agent::start(settings).await {
        Ok(handle) => handle,
        Err(e) => return failed(&e),
    };
    let status = tokio::select! {
        status = handle.stopped() => status,
        () = signals.on_each(|| handle.stop()) => 0,
    };
    ExitCode::from(status)
}

fn failed(error: &fes_protocol::Error) -> ExitCode {
    log::error!("agent: {error}; {}", error.help());
    ExitCode::FAILURE
}
