//! What the process says about its own state.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use fes_protocol::Lifecycle;

/// Shared record of a process's phase of life. Starts as `Starting`.
#[derive(Debug, Clone)]
pub struct Health {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Clone)]
struct State {
    lifecycle: Lifecycle,
    reason: String,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                lifecycle: Lifecycle::Starting,
                reason: "the process is starting".to_owned(),
            })),
        }
    }
}

impl Health {
    /// Enters `lifecycle`; `reason` says why in one clause.
    pub fn set(&self, lifecycle: Lifecycle, reason: impl Into<String>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        *state = State {
            lifecycle,
            reason: reason.into(),
        };
    }

    /// Returns the phase of life.
    #[must_use]
    pub fn lifecycle(&self) -> Lifecycle {
        self.snapshot().lifecycle
    }

    /// Returns why the process is in its phase.
    #[must_use]
    pub fn reason(&self) -> String {
        self.snapshot().reason
    }

    /// Returns whether the process runs: true until it has stopped.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.lifecycle() != Lifecycle::Stopped
    }

    /// Returns whether the process accepts new work: true only while it serves.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.lifecycle() == Lifecycle::Serving
    }

    /// Returns the phase in lower case.
    #[must_use]
    pub fn phase(&self) -> &'static str {
        match self.lifecycle() {
            Lifecycle::Starting => "starting",
            Lifecycle::Serving => "serving",
            Lifecycle::Draining => "draining",
            Lifecycle::Stopped => "stopped",
        }
    }

    fn snapshot(&self) -> State {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.clone()
    }
}
