//! Counters of an agent.

use std::cell::Cell;

use fes_protocol::ResultCode;

/// Counter that is used by a single thread.
#[derive(Debug, Default)]
pub(crate) struct LocalCounter(Cell<u64>);

impl LocalCounter {
    pub(crate) fn add(&self, count: u64) {
        self.0.set(self.0.get() + count);
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Counters of a running agent.
#[derive(Debug, Default)]
pub(crate) struct LiveCounters {
    pub(crate) received: LocalCounter,
    pub(crate) started: LocalCounter,
    pub(crate) finished: LocalCounter,
    pub(crate) cancelled: LocalCounter,
    pub(crate) truncated: LocalCounter,
    pub(crate) rejected: LocalCounter,
    pub(crate) upstream_refused: LocalCounter,
    pub(crate) flows_opened: LocalCounter,
    pub(crate) flows_refused: LocalCounter,
    pub(crate) retries_sent: LocalCounter,
}

/// Snapshot of an agent's counters.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// Client connections that are open.
    pub flows_open: u64,
    /// Client connections accepted.
    pub flows_opened: u64,
    /// Client connections refused at the flow limit.
    pub flows_refused: u64,
    /// Connection attempts answered with a QUIC Retry.
    pub retries_sent: u64,
    /// First packets of flows handed off to other agents.
    pub first_packets_handed_off: u64,
    /// Requests received from clients and other agents.
    pub requests_received: u64,
    /// Requests sent to the upstream.
    pub requests_started: u64,
    /// Requests whose complete response was sent.
    pub requests_finished: u64,
    /// Requests whose sender cancelled or disconnected before the response was complete.
    pub requests_cancelled: u64,
    /// Requests rejected as not processed after a GOAWAY.
    pub requests_rejected: u64,
    /// Requests offloaded to a less loaded peer.
    pub requests_offloaded: u64,
    /// Requests relayed to the owner of their idempotency key.
    pub requests_relayed: u64,
    /// Requests that are not finished.
    pub requests_open: u64,
    /// Slots in use.
    pub slots_used: u64,
    /// Responses that the upstream or a peer ended before they were complete.
    pub responses_truncated: u64,
    /// Requests that the upstream refused without running them.
    pub upstream_refusals: u64,
    /// Requests that ended with a result code, by code.
    pub answers: Vec<(ResultCode, u64)>,
    /// Dropped datagrams, by result code.
    pub drops: Vec<(ResultCode, u64)>,
}

impl AgentCounters {
    /// Returns how many datagrams were dropped for `code`.
    #[must_use]
    pub fn dropped(&self, code: ResultCode) -> u64 {
        count_of(&self.drops, code)
    }

    /// Returns how many requests ended with `code`.
    #[must_use]
    pub fn answered(&self, code: ResultCode) -> u64 {
        count_of(&self.answers, code)
    }
}

fn count_of(counts: &[(ResultCode, u64)], code: ResultCode) -> u64 {
    let found = counts.iter().find(|(c, _)| *c == code);
    found.map_or(0, |(_, count)| *count)
}
