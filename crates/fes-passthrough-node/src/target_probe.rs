//! Finds out whether the process of a draining target has ended, by connections to its address.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::Duration;

use fes_telemetry::log_target;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time for the target on the same VM to accept or refuse a connection.
const CONNECT_TIMEOUT_MS: u64 = 100;

/// Probe of one target. A refused connection shows that the target has ended only if it accepted
/// one before, since a target needn't accept connections.
#[derive(Debug)]
pub struct TargetProbe {
    address: SocketAddrV4,
    has_accepted: Cell<bool>,
}

impl TargetProbe {
    /// Creates the probe of the target at `address`.
    #[must_use]
    pub const fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            has_accepted: Cell::new(false),
        }
    }

    /// Records whether the target, which has begun to drain, accepts connections.
    pub async fn observe(&self) {
        let result = self.connect().await;
        let has_accepted = result.is_some_and(|r| r.is_ok());
        self.has_accepted.set(has_accepted);
        log::info!(
            target: log_target::FLOWS,
            "event=target_probe phase=drain has_accepted={has_accepted}"
        );
    }

    /// Returns whether the target accepted connections before and refuses them now.
    pub async fn has_ended(&self) -> bool {
        if !self.has_accepted.get() {
            return false;
        }
        let error = self.connect().await.and_then(Result::err);
        let has_ended = error.is_some_and(|error| error.kind() == ErrorKind::ConnectionRefused);
        if has_ended {
            log::info!(target: log_target::FLOWS, "event=target_probe phase=stop has_ended=true");
        }
        has_ended
    }

    /// Connects to the target. Returns none if it doesn't react in time.
    async fn connect(&self) -> Option<std::io::Result<TcpStream>> {
        let connecting = TcpStream::connect(self.address);
        let result = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await;
        result.ok()
    }
}
