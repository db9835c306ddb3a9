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
    /// Makes the stream `stream` of a seed. Streams are independent, so that both policies see
    /// the same arrivals.
    pub(crate) fn new(seed: u64, stream: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(stream);
        Self { random }
    }

    /// Returns a value in 0 to 1, 1 excluded.
    pub(crate) fn uniform(&mut self) -> f64 {
        self.random.random()
    }

    /// Returns a value below `bound`.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.random.random_range(0..bound.max(1))
    }

    /// Returns an arbitrary 64-bit value.
    pub(crate) fn bits(&mut self) -> u64 {
        self.random.random()
    }

    /// Returns an exponential variate.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    /// Returns a log-normal variate with this mean; `sigma` is the deviation of its logarithm.
    pub(crate) fn log_normal(&mut self, mean: f64, sigma: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.uniform()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.uniform()).cos();
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }

    /// Shuffles a slice.
    pub(crate) fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            let other = self.below(last + 1);
            items.swap(last, other);
        }
    }
}
