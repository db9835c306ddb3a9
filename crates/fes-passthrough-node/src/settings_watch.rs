//! Loads the settings at the start, on SIGHUP, and when the file changes.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use fes_adapter::SETTINGS_VARIABLE;
use fes_adapter::parse_settings;
use fes_passthrough::NodeSettings;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_telemetry::log_target;
use tokio::time::sleep;

use crate::node_context::NodeContext;

const FILE_CHECK_PERIOD_MS: u64 = 2_000;
/// Maximum number of attempts to load the settings. A file that is being written is complete within
/// milliseconds, and invalid settings should stop the process soon.
const START_ATTEMPTS: u32 = 10;
const START_RETRY_MS: u64 = 50;

/// Reads the settings from `path`, or from the file named by the platform's environment variable.
///
/// # Errors
///
/// Returns [`ResultCode::SettingsUnreadable`] if there is no readable file, or the error of
/// [`parse_settings`].
pub fn load_settings(path: Option<PathBuf>) -> Result<NodeSettings> {
    let path = path
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| {
            let detail =
                format!("no settings file: neither --settings nor {SETTINGS_VARIABLE} is set");
            Error::coded(ResultCode::SettingsUnreadable, detail)
        })?;
    let text = std::fs::read_to_string(&path).map_err(|source| {
        let detail = format!("cannot read the settings file {}", path.display());
        Error::io(ResultCode::SettingsUnreadable, detail, source)
    })?;
    parse_settings(&text)
}

/// Same as [`load_settings`], but retries for a short time, because the file may still be being
/// written.
///
/// # Errors
///
/// Returns the error of the last attempt; see [`load_settings`].
pub fn load_settings_at_start(path: Option<&Path>) -> Result<NodeSettings> {
    let mut attempt = 1;
    loop {
        let loaded = load_settings(path.map(Path::to_path_buf));
        if loaded.is_ok() || attempt >= START_ATTEMPTS {
            return loaded;
        }
        attempt += 1;
        std::thread::sleep(Duration::from_millis(START_RETRY_MS));
    }
}

/// Reloads the settings and returns them if they changed. Invalid settings are logged and ignored.
pub(crate) fn reload(context: &NodeContext, current: &NodeSettings) -> Option<NodeSettings> {
    match load_settings(context.settings_path.clone()) {
        Ok(settings) if settings == *current => None,
        Ok(settings) => {
            let needs_restart = current.needs_restart_for(&settings);
            log::info!(
                target: log_target::FLOWS,
                "event=settings_changed seeds={:?} needs_restart={needs_restart}",
                settings.seed_entries
            );
            Some(settings)
        }
        Err(error) => {
            log::warn!(target: log_target::FLOWS, "event=settings_refused reason=\"{error}\"");
            None
        }
    }
}

/// Polls the settings file and passes changed settings to `apply`. Never returns.
pub(crate) async fn watch_settings(context: &NodeContext, apply: impl Fn(NodeSettings)) {
    let mut current = context.settings.clone();
    loop {
        sleep(Duration::from_millis(FILE_CHECK_PERIOD_MS)).await;
        if let Some(settings) = reload(context, &current) {
            current = settings.clone();
            apply(settings);
        }
    }
}
