//! State of one attempt of a request.

use fes_protocol::MonoTime;

use super::Arrival;
use super::Outcome;

/// One attempt of a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) arrival: Arrival,
    /// Index in [`Scenario::classes`](super::Scenario::classes).
    pub(crate) class: usize,
    pub(crate) connection: usize,
    /// Agent that terminates the client's connection.
    pub(crate) client_agent: usize,
    /// Earlier attempts of the same request.
    pub(crate) previous_attempts: u32,
    /// Agent that received the request last.
    pub(crate) current_agent: usize,
    /// Agent whose upstream runs the request now.
    pub(crate) running_at: Option<usize>,
    pub(crate) outcome: Outcome,
}

impl Attempt {
    /// Returns whether the attempt has been neither answered nor refused.
    pub(crate) fn is_open(&self) -> bool {
        self.outcome.answered_at.is_none() && self.outcome.refused_at.is_none()
    }

    /// Records the arrival of the request at an agent.
    pub(crate) fn record_arrival(&mut self, now: MonoTime, agent: usize) {
        if self.outcome.reached_at == MonoTime::NEVER {
            self.outcome.reached_at = now;
        }
        self.outcome.handled_at = now;
        self.current_agent = agent;
    }
}
