//! Time to wait after failed calls.

use fes_protocol::MonoTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const FIRST_DELAY_MS: u64 = 100;
/// Readers poll a platform that is down; a longer delay would add to the 7 s in which a ticket
/// must be in force after the platform is back.
const LONGEST_DELAY_MS: u64 = 2_000;

/// Doubles the delay with each failure in a row, up to a bound. Each delay is drawn from the upper
/// half of its range, so that readers that failed together don't return together.
#[derive(Debug, Clone)]
pub struct Backoff {
    delay_ms: u64,
    retry_at: MonoTime,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Makes a backoff without a delay. `seed` should differ between readers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            delay_ms: FIRST_DELAY_MS,
            retry_at: MonoTime::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Records a failure.
    pub fn record_failure(&mut self, now: MonoTime) {
        let delay_ms = self.random.random_range(self.delay_ms / 2..=self.delay_ms);
        self.retry_at = now.plus_ms(delay_ms);
        self.delay_ms = (self.delay_ms * 2).min(LONGEST_DELAY_MS);
    }

    /// Records a success, which ends all delays.
    pub const fn record_success(&mut self) {
        self.delay_ms = FIRST_DELAY_MS;
        self.retry_at = MonoTime::ZERO;
    }

    /// Returns when the next call may be made.
    #[must_use]
    pub const fn retry_at(&self) -> MonoTime {
        self.retry_at
    }
}
