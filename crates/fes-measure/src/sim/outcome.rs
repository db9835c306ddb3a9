//! What became of each request.

use fes_protocol::MonoTime;

/// What became of one attempt of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outcome {
    pub(crate) long: bool,
    /// Cost on a reference slot, in microseconds.
    pub(crate) cost_us: u64,
    pub(crate) sent_at: MonoTime,
    pub(crate) deadline: MonoTime,
    /// When it reached the client's own agent.
    pub(crate) reached_at: MonoTime,
    /// When it reached the agent that ran or refused it.
    pub(crate) handled_at: MonoTime,
    pub(crate) started_at: Option<MonoTime>,
    /// When the complete response reached the client.
    pub(crate) answered_at: Option<MonoTime>,
    /// When an agent refused it.
    pub(crate) refused_at: Option<MonoTime>,
}

impl Outcome {
    /// Returns whether the complete response reached the client in time.
    pub(crate) fn is_good(&self) -> bool {
        self.answered_at.is_some_and(|at| at <= self.deadline)
    }

    /// Returns the time from the client's own agent to the start, hops included.
    pub(crate) fn wait_us(&self) -> Option<u64> {
        self.started_at.map(|at| at.us_since(self.reached_at))
    }

    /// Returns the time from sending to the complete response.
    pub(crate) fn latency_us(&self) -> Option<u64> {
        self.answered_at.map(|at| at.us_since(self.sent_at))
    }

    /// Returns the time that the refusing agent took.
    pub(crate) fn refusal_us(&self) -> Option<u64> {
        self.refused_at.map(|at| at.us_since(self.handled_at))
    }
}

/// Everything that a run recorded.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunResult {
    pub(crate) outcomes: Vec<Outcome>,
    /// Busy intervals per target: start and end of each service.
    pub(crate) busy: Vec<Vec<(MonoTime, MonoTime)>>,
    /// Requests that were passed on to a peer.
    pub(crate) hop_count: u64,
    /// Requests sent to a slot that was not free.
    pub(crate) overrun_count: u64,
}

impl RunResult {
    /// Returns the utilisation of each target's slots between two points in time.
    pub(crate) fn utilisation(&self, slots: u32, from: MonoTime, to: MonoTime) -> Vec<f64> {
        let window_us = to.us_since(from) as f64 * f64::from(slots);
        let busy_us = |intervals: &Vec<(MonoTime, MonoTime)>| -> f64 {
            intervals
                .iter()
                .map(|(start, end)| (*end).min(to).us_since((*start).max(from)) as f64)
                .sum()
        };
        self.busy.iter().map(|b| busy_us(b) / window_us).collect()
    }
}
