//! Token bucket for retries.

/// Maximum number of tokens that accumulate while no retries are made.
const MAX_TOKENS: f64 = 10.0;

/// Limits retries to a share of first attempts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per first attempt. It starts with one token, so that the
    /// first failure after a start may be retried.
    #[must_use]
    pub const fn new(ratio: f64) -> Self {
        Self { ratio, tokens: 1.0 }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(MAX_TOKENS);
    }

    /// Takes a token if one is available. Returns whether the retry may be made.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
