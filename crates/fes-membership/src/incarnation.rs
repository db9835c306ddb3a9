//! Distinguishes the running incarnation of a process from earlier ones.

use fes_protocol::Incarnation;
use fes_protocol::MonoTime;

/// Time over which another incarnation must be heard before it replaces one that is still heard.
/// Incarnations have no reliable order, so a delayed message of an old one can't be distinguished
/// from the first message of a new one.
const TAKEOVER_DELAY_MS: u64 = 900;
/// Number of replaced incarnations whose replayed messages are still recognised.
const MAX_REPLACED_INCARNATIONS: usize = 4;

/// Result of checking a message against the running incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationCheck {
    /// The message is new and from the running incarnation.
    Accepted,
    /// The message is the first one of a new running incarnation.
    NewIncarnation,
    /// The message, or a later one, was received before.
    Replayed,
    /// The message is from an incarnation that isn't the running one.
    OtherIncarnation,
}

impl IncarnationCheck {
    /// Returns whether the message may be processed.
    #[must_use]
    pub const fn is_accepted(self) -> bool {
        matches!(self, Self::Accepted | Self::NewIncarnation)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LastMessage {
    incarnation: Incarnation,
    sequence: u64,
}

/// Another incarnation that was heard and may replace the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Candidate {
    message: LastMessage,
    takes_over_at: MonoTime,
}

/// Tracks the incarnations of one process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct IncarnationTracker {
    current: Option<LastMessage>,
    candidate: Option<Candidate>,
    replaced: Vec<LastMessage>,
}

impl IncarnationTracker {
    /// Returns the incarnation that is assumed to be running.
    #[must_use]
    pub fn current(&self) -> Option<Incarnation> {
        self.current.map(|message| message.incarnation)
    }

    /// Checks a message. `current_is_silent` means that the running incarnation was not heard
    /// within the suspicion timeout; another one then replaces it at once.
    pub fn check(
        &mut self,
        now: MonoTime,
        incarnation: Incarnation,
        sequence: u64,
        current_is_silent: bool,
    ) -> IncarnationCheck {
        let message = LastMessage {
            incarnation,
            sequence,
        };
        let Some(current) = self.current else {
            self.current = Some(message);
            return IncarnationCheck::NewIncarnation;
        };
        if current.incarnation == incarnation {
            return self.check_current(current, message);
        }
        let is_replay =
            |old: &LastMessage| old.incarnation == incarnation && sequence <= old.sequence;
        if self.replaced.iter().any(is_replay) {
            return IncarnationCheck::Replayed;
        }
        if current_is_silent || self.candidate_takes_over(now, message) {
            self.replace(current, message);
            return IncarnationCheck::NewIncarnation;
        }
        IncarnationCheck::OtherIncarnation
    }

    fn check_current(&mut self, current: LastMessage, message: LastMessage) -> IncarnationCheck {
        if message.sequence <= current.sequence {
            return IncarnationCheck::Replayed;
        }
        self.current = Some(message);
        self.candidate = None;
        IncarnationCheck::Accepted
    }

    /// Returns whether another incarnation has been heard for [`TAKEOVER_DELAY_MS`] without a
    /// message of the current one in between.
    fn candidate_takes_over(&mut self, now: MonoTime, message: LastMessage) -> bool {
        match &mut self.candidate {
            Some(candidate) if candidate.message.incarnation == message.incarnation => {
                let is_newer = message.sequence > candidate.message.sequence;
                candidate.message.sequence = candidate.message.sequence.max(message.sequence);
                is_newer && now >= candidate.takes_over_at
            }
            _ => {
                self.candidate = Some(Candidate {
                    message,
                    takes_over_at: now.plus_ms(TAKEOVER_DELAY_MS),
                });
                false
            }
        }
    }

    fn replace(&mut self, old: LastMessage, new: LastMessage) {
        self.replaced
            .retain(|message| message.incarnation != new.incarnation);
        self.replaced.push(old);
        if self.replaced.len() > MAX_REPLACED_INCARNATIONS {
            self.replaced.remove(0);
        }
        self.current = Some(new);
        self.candidate = None;
    }
}
