//! Readiness of a starting process.

use fes_protocol::MonoTime;

/// Time after the start from which an answer from either a peer or the platform is sufficient, in
/// milliseconds.
const SINGLE_ANSWER_AFTER_MS: u64 = 10_000;
const ASK_INTERVAL_MS: u64 = 1_000;

/// Tracks the start of a process until the tickets of a peer and of the platform are in force.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Join {
    single_answer_from: MonoTime,
    next_ask_at: MonoTime,
    peer_answered: bool,
    platform_answered: bool,
    ready: bool,
}

impl Join {
    pub(crate) const fn new(now: MonoTime) -> Self {
        Self {
            single_answer_from: now.plus_ms(SINGLE_ANSWER_AFTER_MS),
            next_ask_at: now,
            peer_answered: false,
            platform_answered: false,
            ready: false,
        }
    }

    /// Creates the state of a process that is already ready.
    pub(crate) const fn completed(now: MonoTime) -> Self {
        Self {
            peer_answered: true,
            platform_answered: true,
            ready: true,
            ..Self::new(now)
        }
    }

    pub(crate) const fn is_ready(&self) -> bool {
        self.ready
    }

    pub(crate) const fn platform_answered(&self) -> bool {
        self.platform_answered
    }

    /// Records that this process holds all tickets of a peer.
    pub(crate) const fn record_peer_answer(&mut self) {
        self.peer_answered = true;
    }

    pub(crate) const fn record_platform_answer(&mut self) {
        self.platform_answered = true;
    }

    pub(crate) fn next_deadline(&self) -> MonoTime {
        if self.ready {
            return MonoTime::NEVER;
        }
        self.next_ask_at
    }

    /// Returns whether it is time to ask peers, and schedules the next time.
    pub(crate) fn is_ask_due(&mut self, now: MonoTime) -> bool {
        if self.ready || now < self.next_ask_at {
            return false;
        }
        self.next_ask_at = now.plus_ms(ASK_INTERVAL_MS);
        true
    }

    /// Updates the readiness. Returns whether the process became ready with this call.
    pub(crate) fn update_ready(&mut self, now: MonoTime, holds_tickets: bool) -> bool {
        if self.ready || !holds_tickets {
            return false;
        }
        let both = self.peer_answered && self.platform_answered;
        let one = self.peer_answered || self.platform_answered;
        self.ready = both || (one && now >= self.single_answer_from);
        self.ready
    }
}
