//! Work that a stop must not cut off.

use fes_protocol::MonoTime;

/// Work in progress at a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WorkInProgress {
    /// Requests admitted and not yet answered, queued ones included. Agents only.
    pub request_count: u32,
    /// Open feeds and other streams without an end of their own. Agents only.
    pub stream_count: u32,
    /// When the last client datagram arrived. Entries only: they hold no flows, so silence is the
    /// sole sign that the fabric chooses them no longer.
    pub last_datagram_at: Option<MonoTime>,
}

impl WorkInProgress {
    /// Returns whether nothing would be cut off by a stop at `now`.
    #[must_use]
    pub fn is_done(&self, now: MonoTime, quiet_ms: u64) -> bool {
        let is_quiet = self
            .last_datagram_at
            .is_none_or(|last| now >= last.plus_ms(quiet_ms));
        self.is_answered() && is_quiet
    }

    /// Returns whether no request and no stream is open.
    #[must_use]
    pub const fn is_answered(&self) -> bool {
        self.request_count == 0 && self.stream_count == 0
    }
}

/// What a stop at the drain bound cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CutOff {
    /// Requests answered "outcome unknown" or refused.
    pub request_count: u32,
    /// Streams reset.
    pub stream_count: u32,
}
