//! Flap damping: suppresses a link that fails repeatedly instead of using it after each recovery.

use fes_protocol::MonoTime;

/// Time without a recovery after which earlier recoveries no longer count.
const FORGET_AFTER_MS: u64 = 60_000;
const FIRST_SUPPRESSION_MS: u64 = 2_000;
const MAX_SUPPRESSION_MS: u64 = 30_000;

/// Counts the recoveries of a link and doubles its suppression time with each.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FlapDamper {
    recoveries: u32,
    forget_at: MonoTime,
    suppressed_until: MonoTime,
}

impl FlapDamper {
    /// Records that the link works again after a failure. The first recovery causes no suppression,
    /// because a single failure doesn't make a flapping link.
    pub fn record_recovery(&mut self, now: MonoTime) {
        if now >= self.forget_at {
            self.recoveries = 0;
        }
        self.recoveries += 1;
        self.forget_at = now.plus_ms(FORGET_AFTER_MS);
        if let Some(repeats) = self.recoveries.checked_sub(2) {
            let suppression_ms = (FIRST_SUPPRESSION_MS << repeats.min(10)).min(MAX_SUPPRESSION_MS);
            self.suppressed_until = now.plus_ms(suppression_ms);
        }
    }

    /// Returns the end of the suppression.
    #[must_use]
    pub const fn suppressed_until(&self) -> MonoTime {
        self.suppressed_until
    }

    /// Returns whether the link must not be used yet.
    #[must_use]
    pub fn is_suppressed(&self, now: MonoTime) -> bool {
        now < self.suppressed_until
    }
}
