//! Lifecycle state of the process, as its health endpoints report it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use fes_protocol::Lifecycle;

/// Lifecycle state of a process and the reason for it. Clones share the state, which is initially
/// `Starting`.
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
    /// Changes the lifecycle state. `reason` is a short clause that the health endpoints and
    /// `/status` return.
    pub fn set(&self, lifecycle: Lifecycle, reason: impl Into<String>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        *state = State {
            lifecycle,
            reason: reason.into(),
        };
    }

    /// Returns the lifecycle state.
    #[must_use]
    pub fn lifecycle(&self) -> Lifecycle {
        self.snapshot().lifecycle
    }

    /// Returns the reason for the current lifecycle state.
    #[must_use]
    pub fn reason(&self) -> String {
        self.snapshot().reason
    }

    /// Returns whether the process is running, which is true until it has stopped.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.lifecycle() != Lifecycle::Stopped
    }

    /// Returns whether the process accepts new work, which is true only while it is serving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.lifecycle() == Lifecycle::Serving
    }

    /// Returns the name of the lifecycle state in lower case.
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
