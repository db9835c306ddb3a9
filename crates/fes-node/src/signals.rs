//! Signals that stop the process.

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Installed handlers of SIGTERM and SIGINT.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers; signals are kept until they are asked for.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn install() -> Result<Self> {
        let failed = |e| Error::io(ResultCode::BindFailed, "installing a signal handler", e);
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(failed)?,
            interrupt: signal(SignalKind::interrupt()).map_err(failed)?,
        })
    }

    /// Calls `stop` on every signal; never returns.
    pub async fn on_each(mut self, stop: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => stop(),
                _ = self.interrupt.recv() => stop(),
            }
        }
    }
}
