//! Outcomes of requests in a simulation.

use fes_protocol::MonoTime;

/// Outcome of one attempt of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outcome {
    /// Whether the request is a straggler.
    pub(crate) long: bool,
    /// Service time on a reference slot, in microseconds.
    pub(crate) cost_us: u64,
    pub(crate) sent_at: MonoTime,
    pub(crate) deadline: MonoTime,
    /// When it first reached an agent, the one that terminates the client's connection.
    pub(crate) reached_at: MonoTime,
    /// When it reached the agent that handled it last, which ran or refused it.
    pub(crate) handled_at: MonoTime,
    pub(crate) started_at: Option<MonoTime>,
    /// When the complete response reached the client.
    pub(crate) answered_at: Option<MonoTime>,
    /// When an agent refused it.
    pub(crate) refused_at: Option<MonoTime>,
}

impl Outcome {
    /// Returns whether the complete response reached the client within the deadline.
    pub(crate) fn met_deadline(&self) -> bool {
        self.answered_at.is_some_and(|at| at <= self.deadline)
    }

    /// Returns the time from the first agent to the start of service, network hops included.
    pub(crate) fn wait_us(&self) -> Option<u64> {
        self.started_at.map(|at| at.us_since(self.reached_at))
    }

    /// Returns the time from sending the request to receiving the complete response.
    pub(crate) fn latency_us(&self) -> Option<u64> {
        self.answered_at.map(|at| at.us_since(self.sent_at))
    }

    /// Returns how long the refusing agent took to refuse the request.
    pub(crate) fn refusal_us(&self) -> Option<u64> {
        self.refused_at.map(|at| at.us_since(self.handled_at))
    }
}

/// Result of a simulation run.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunResult {
    pub(crate) outcomes: Vec<Outcome>,
    /// Busy intervals per target: start and end of each service period.
    pub(crate) busy: Vec<Vec<(MonoTime, MonoTime)>>,
    /// Times that an agent forwarded a request to a peer.
    pub(crate) forwarded_count: u64,
    /// Requests started on an upstream whose slots were all in use.
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
