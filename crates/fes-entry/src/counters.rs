//! Counters of an entry.

use std::cell::Cell;

use fes_protocol::MonoTime;
use fes_protocol::ResultCode;

/// Snapshot of an entry's counters.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EntryCounters {
    /// Client datagrams forwarded by their connection ID.
    pub routed_by_id: u64,
    /// First packets forwarded by placement.
    pub placed: u64,
    /// Datagrams of flows of lost targets, forwarded to the target that placement selects.
    pub lost_target: u64,
    /// Datagrams returned to clients.
    pub returned: u64,
    /// Control messages received.
    pub control_messages: u64,
    /// Dropped datagrams, by result code.
    pub drops: Vec<(ResultCode, u64)>,
}

impl EntryCounters {
    /// Returns how many datagrams were dropped for `code`.
    #[must_use]
    pub fn dropped(&self, code: ResultCode) -> u64 {
        self.drops
            .iter()
            .find(|(c, _)| *c == code)
            .map_or(0, |(_, count)| *count)
    }
}

/// Counters of a running entry.
#[derive(Debug, Default)]
pub(crate) struct LiveCounters {
    pub(crate) routed_by_id: Cell<u64>,
    pub(crate) placed: Cell<u64>,
    pub(crate) lost_target: Cell<u64>,
    pub(crate) returned: Cell<u64>,
    pub(crate) control_messages: Cell<u64>,
    pub(crate) last_client_datagram_at: Cell<Option<MonoTime>>,
}

pub(crate) fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
