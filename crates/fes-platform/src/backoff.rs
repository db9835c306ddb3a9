//! Exponential backoff after failed calls.

use fes_protocol::MonoTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const INITIAL_DELAY_MS: u64 = 100;
/// Readers keep polling a platform that is down. A longer delay would use up more of the 7 s
/// within which a ticket must be in force after the platform is available again.
const MAX_DELAY_MS: u64 = 2_000;

/// Exponential backoff with jitter. The delay doubles with each consecutive failure up to a
/// maximum. Each delay is drawn from the upper half of its range, so that readers that failed
/// together don't retry together.
#[derive(Debug, Clone)]
pub struct Backoff {
    delay_ms: u64,
    retry_at: MonoTime,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff without a delay. `seed` should differ between readers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            delay_ms: INITIAL_DELAY_MS,
            retry_at: MonoTime::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Records a failure at `now` and sets the time of the next retry.
    pub fn record_failure(&mut self, now: MonoTime) {
        let delay_ms = self.rng.random_range(self.delay_ms / 2..=self.delay_ms);
        self.retry_at = now.plus_ms(delay_ms);
        self.delay_ms = (self.delay_ms * 2).min(MAX_DELAY_MS);
    }

    /// Records a success, which resets the delay.
    pub const fn record_success(&mut self) {
        self.delay_ms = INITIAL_DELAY_MS;
        self.retry_at = MonoTime::ZERO;
    }

    /// Returns the earliest time of the next call.
    #[must_use]
    pub const fn retry_at(&self) -> MonoTime {
        self.retry_at
    }
}
