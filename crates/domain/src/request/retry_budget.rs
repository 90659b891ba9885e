//! Limits retries to a fraction of first attempts.

/// A token bucket that first attempts fill and retries drain.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    ratio: f64,
}

/// Capacity of the bucket, in retries.
const TOKENS_MAX: f64 = 20.0;

impl RetryBudget {
    /// Creates a budget of `ratio` retries per first attempt; the bucket starts half full.
    pub fn new(ratio: f64) -> Self {
        Self {
            tokens: TOKENS_MAX / 2.0,
            ratio,
        }
    }

    /// Adds the tokens of one first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(TOKENS_MAX);
    }

    /// Withdraws the token of one retry; returns false if the budget is exhausted.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
