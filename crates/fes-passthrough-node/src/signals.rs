//! Signal handlers.

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Handlers of the signals that stop or reload the process. Without them, each of these signals
/// would kill the process.
#[derive(Debug)]
pub(crate) struct NodeSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// Action requested by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SignalRequest {
    /// Drain and exit.
    Stop,
    /// Reload the settings.
    Reload,
}

impl NodeSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::BindFailed`] if a handler can't be installed.
    pub(crate) fn install() -> Result<Self> {
        let install = |kind| {
            let failed =
                |e| Error::io(ResultCode::BindFailed, "cannot install a signal handler", e);
            signal(kind).map_err(failed)
        };
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Stop,
            _ = self.interrupt.recv() => SignalRequest::Stop,
            _ = self.hangup.recv() => SignalRequest::Reload,
        }
    }
}
