//! Signals that stop the process.

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Calls `stop` on every SIGTERM and SIGINT; never returns.
///
/// # Errors
///
/// Returns the system's error if a handler can't be installed.
pub async fn on_stop_signal(stop: impl Fn()) -> Result<()> {
    let failed = |e| Error::io(ResultCode::BindFailed, "installing a signal handler", e);
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => stop(),
            _ = interrupt.recv() => stop(),
        }
    }
}
