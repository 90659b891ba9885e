//! Retries as a small part of first tries.

/// A bucket that fills with first tries and empties with retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    ratio: f64,
}

/// Most retries saved up.
const TOKENS_MAX: f64 = 20.0;

impl RetryBudget {
    /// A budget of `ratio` retries for each first try, with a few saved up at start.
    pub fn new(ratio: f64) -> Self {
        Self {
            tokens: TOKENS_MAX / 2.0,
            ratio,
        }
    }

    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(TOKENS_MAX);
    }

    /// Takes leave for one retry, or says that there is none.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
