//! Signals of the operator.

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Installed handlers: without one, a signal would end the process.
#[derive(Debug)]
pub(crate) struct NodeSignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

/// What the operator asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Request {
    /// Drain and end.
    Stop,
    /// Read the settings again.
    Reload,
}

impl NodeSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub(crate) fn install() -> Result<Self> {
        let install = |kind| {
            let failed = |e| Error::io(ResultCode::BindFailed, "installing a signal handler", e);
            signal(kind).map_err(failed)
        };
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hang_up: install(SignalKind::hangup())?,
        })
    }

    /// Waits for the next request.
    pub(crate) async fn next(&mut self) -> Request {
        tokio::select! {
            _ = self.terminate.recv() => Request::Stop,
            _ = self.interrupt.recv() => Request::Stop,
            _ = self.hang_up.recv() => Request::Reload,
        }
    }
}
