//! One attempt of a request on its way through the fleet.

use fes_protocol::MonoTime;

use super::Arrival;
use super::Outcome;

/// One attempt of a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) arrival: Arrival,
    pub(crate) class: usize,
    pub(crate) connection: usize,
    pub(crate) home: usize,
    /// How many attempts came before this one.
    pub(crate) earlier_tries: u32,
    /// Agent that holds the request now.
    pub(crate) holder: usize,
    /// Agent that runs it now.
    pub(crate) running_at: Option<usize>,
    pub(crate) outcome: Outcome,
}

impl Attempt {
    /// Returns whether the client still waits.
    pub(crate) fn is_open(&self) -> bool {
        self.outcome.answered_at.is_none() && self.outcome.refused_at.is_none()
    }

    /// Notes that an agent took the request in hand.
    pub(crate) fn reach(&mut self, now: MonoTime, agent: usize) {
        if self.outcome.reached_at == MonoTime::NEVER {
            self.outcome.reached_at = now;
        }
        self.outcome.handled_at = now;
        self.holder = agent;
    }
}
