//! When a starting process is ready.

use fes_protocol::MonoTime;

/// After this time one answer, from a peer or from the platform, is enough.
const READY_DEADLINE_MS: u64 = 10_000;
const ASK_PERIOD_MS: u64 = 1_000;

/// Follows a start until tickets from a peer and from the platform are in force.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Join {
    one_answer_suffices_at: MonoTime,
    next_ask_at: MonoTime,
    peer_answered: bool,
    platform_answered: bool,
    ready: bool,
}

impl Join {
    pub(crate) const fn new(now: MonoTime) -> Self {
        Self {
            one_answer_suffices_at: now.plus_ms(READY_DEADLINE_MS),
            next_ask_at: now,
            peer_answered: false,
            platform_answered: false,
            ready: false,
        }
    }

    /// Makes the state of a process that is ready already.
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

    /// A peer that holds tickets has nothing that is missing here.
    pub(crate) const fn note_peer_answer(&mut self) {
        self.peer_answered = true;
    }

    pub(crate) const fn note_platform_answer(&mut self) {
        self.platform_answered = true;
    }

    pub(crate) fn next_deadline(&self) -> MonoTime {
        if self.ready {
            return MonoTime::NEVER;
        }
        self.next_ask_at
    }

    /// Returns whether peers are to be asked now.
    pub(crate) fn ask_is_due(&mut self, now: MonoTime) -> bool {
        if self.ready || now < self.next_ask_at {
            return false;
        }
        self.next_ask_at = now.plus_ms(ASK_PERIOD_MS);
        true
    }

    /// Returns whether the process has become ready with this call.
    pub(crate) fn becomes_ready(&mut self, now: MonoTime, holds_tickets: bool) -> bool {
        if self.ready || !holds_tickets {
            return false;
        }
        let both = self.peer_answered && self.platform_answered;
        let one = self.peer_answered || self.platform_answered;
        self.ready = both || (one && now >= self.one_answer_suffices_at);
        self.ready
    }
}
