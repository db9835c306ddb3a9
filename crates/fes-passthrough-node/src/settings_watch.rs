//! Reads settings at the start, on request, and when the file changed without a signal.

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
/// A file is written within milliseconds; a wrong one should end the process soon.
const START_ATTEMPTS: u32 = 10;
const START_RETRY_MS: u64 = 50;

/// Reads the settings from `path`, or from the file that the platform names.
///
/// # Errors
///
/// Returns [`ResultCode::SettingsUnreadable`] or the fault of the settings.
pub fn load_settings(path: Option<PathBuf>) -> Result<NodeSettings> {
    let path = path
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| {
            let detail = format!("neither --settings nor {SETTINGS_VARIABLE} names a file");
            Error::coded(ResultCode::SettingsUnreadable, detail)
        })?;
    let text = std::fs::read_to_string(&path).map_err(|source| {
        let detail = format!("settings file {}", path.display());
        Error::io(ResultCode::SettingsUnreadable, detail, source)
    })?;
    parse_settings(&text)
}

/// As [`load_settings`], but reads an unusable file again for a short while: it may just be written.
///
/// # Errors
///
/// As [`load_settings`], of the last attempt.
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

/// Reads the settings again and returns them if they changed. Unusable settings are logged, and
/// those in force stay.
pub(crate) fn reload(context: &NodeContext, current: &NodeSettings) -> Option<NodeSettings> {
    match load_settings(context.settings_path.clone()) {
        Ok(settings) if settings == *current => None,
        Ok(settings) => {
            let needs_restart = settings.node_address != current.node_address
                || settings.client_address != current.client_address
                || settings.place != current.place;
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

/// Looks at the file from time to time and hands changed settings to `apply`; never returns.
pub(crate) async fn follow_settings(context: &NodeContext, apply: impl Fn(NodeSettings)) {
    let mut current = context.settings.clone();
    loop {
        sleep(Duration::from_millis(FILE_CHECK_PERIOD_MS)).await;
        if let Some(settings) = reload(context, &current) {
            current = settings.clone();
            apply(settings);
        }
    }
}
