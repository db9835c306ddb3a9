//! Signals that terminate the process.

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Handlers of SIGTERM and SIGINT.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers. Signals that arrive before [`Self::on_each`] is called aren't lost.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn install() -> Result<Self> {
        let install_error = |e| {
            Error::io(
                ResultCode::BindFailed,
                "installing a signal handler failed",
                e,
            )
        };
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(install_error)?,
            interrupt: signal(SignalKind::interrupt()).map_err(install_error)?,
        })
    }

    /// Calls `stop` on every signal. Never returns.
    pub async fn on_each(mut self, stop: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => stop(),
                _ = self.interrupt.recv() => stop(),
            }
        }
    }
}
