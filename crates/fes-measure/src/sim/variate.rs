//! Seeded random variates.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A seeded stream of random variates.
#[derive(Debug, Clone)]
pub(crate) struct Variates {
    random: ChaCha8Rng,
}

impl Variates {
    /// Creates the random stream with number `stream` of a seed. Streams are independent, so that
    /// both policies see the same arrivals.
    pub(crate) fn new(seed: u64, stream: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(stream);
        Self { random }
    }

    /// Returns a uniform variate in `[0, 1)`.
    pub(crate) fn uniform(&mut self) -> f64 {
        self.random.random()
    }

    /// Returns a uniform integer in `0..bound`, or 0 if `bound` is 0.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.random.random_range(0..bound.max(1))
    }

    /// Returns a uniform 64-bit integer.
    pub(crate) fn random_u64(&mut self) -> u64 {
        self.random.random()
    }

    /// Returns an exponential variate with this mean.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    /// Returns a log-normal variate with this mean; `sigma` is the standard deviation of its
    /// logarithm.
    pub(crate) fn log_normal(&mut self, mean: f64, sigma: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.uniform()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.uniform()).cos();
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }

    /// Shuffles a slice in place (Fisher-Yates).
    pub(crate) fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            let other = self.below(last + 1);
            items.swap(last, other);
        }
    }
}
