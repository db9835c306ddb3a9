//! Content of the readiness and health endpoints in each state.

use fes_protocol::Lifecycle;

/// Response of the readiness and health endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeReport {
    /// Whether new work may be sent to the process.
    pub ready: bool,
    /// Whether the process must not be replaced. A draining process is healthy, so that no
    /// supervisor replaces it before its work is done.
    pub healthy: bool,
    /// Body of the response.
    pub text: &'static str,
}

impl ProbeReport {
    /// Returns the report of a state.
    #[must_use]
    pub const fn of(state: Lifecycle) -> Self {
        let (ready, healthy, text) = match state {
            Lifecycle::Starting => (false, true, "starting"),
            Lifecycle::Serving => (true, true, "serving"),
            Lifecycle::Draining => (false, true, "draining"),
            Lifecycle::Stopped => (false, false, "stopped"),
        };
        Self {
            ready,
            healthy,
            text,
        }
    }

    /// Returns the HTTP status of the readiness endpoint.
    #[must_use]
    pub const fn ready_status(&self) -> u16 {
        status(self.ready)
    }

    /// Returns the HTTP status of the health endpoint.
    #[must_use]
    pub const fn health_status(&self) -> u16 {
        status(self.healthy)
    }
}

const fn status(ok: bool) -> u16 {
    if ok { 200 } else { 503 }
}
