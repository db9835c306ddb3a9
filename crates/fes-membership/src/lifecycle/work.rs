//! Work in progress, which a graceful stop waits for.

use fes_protocol::MonoTime;

/// Work in progress at a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WorkInProgress {
    /// Admitted requests without an answer, including queued ones. Agents only.
    pub request_count: u32,
    /// Open feeds and other streams that don't end by themselves. Agents only.
    pub stream_count: u32,
    /// Arrival of the last client datagram. Entries only: they hold no flow state, so only silence
    /// shows that the network fabric no longer routes to them.
    pub last_datagram_at: Option<MonoTime>,
}

impl WorkInProgress {
    /// Returns whether a stop at `now` would cut off no work. `quiet_ms` is the time without client
    /// datagrams that an entry waits for.
    #[must_use]
    pub fn is_done(&self, now: MonoTime, quiet_ms: u64) -> bool {
        let is_quiet = self
            .last_datagram_at
            .is_none_or(|last| now >= last.plus_ms(quiet_ms));
        self.is_answered() && is_quiet
    }

    /// Returns whether no request is unanswered and no stream is open.
    #[must_use]
    pub const fn is_answered(&self) -> bool {
        self.request_count == 0 && self.stream_count == 0
    }
}

/// Work that was cut off at the drain bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CutOff {
    /// Requests that were answered with "outcome unknown" or refused.
    pub request_count: u32,
    /// Streams that were reset.
    pub stream_count: u32,
}
