//! Rate limit for orders to the platform.

use std::collections::VecDeque;

/// Window of the platform's rate limit, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Margin for late answers and differing clocks, in milliseconds.
const SLACK_MS: u64 = 50;

/// Sliding window that keeps orders for instances under the platform's rate.
#[derive(Debug, Clone, Default)]
pub(super) struct OrderBudget {
    limit: usize,
    sent: VecDeque<(u64, usize)>,
}

impl OrderBudget {
    /// Creates a budget of `orders_per_s` orders in any second, at least one.
    pub(super) fn new(orders_per_s: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rate is not negative and far below the largest value"
        )]
        let limit = (orders_per_s as usize).max(1);
        Self {
            limit,
            sent: VecDeque::new(),
        }
    }

    /// Returns the number of orders that may be sent now.
    pub(super) fn remaining(&mut self, now_ms: u64) -> usize {
        while self
            .sent
            .front()
            .is_some_and(|(at, _)| now_ms >= at + WINDOW_MS + SLACK_MS)
        {
            self.sent.pop_front();
        }
        let sent: usize = self.sent.iter().map(|(_, count)| count).sum();
        self.limit.saturating_sub(sent)
    }

    /// Records orders that are sent now.
    pub(super) fn record(&mut self, now_ms: u64, count: usize) {
        if count > 0 {
            self.sent.push_back((now_ms, count));
        }
    }
}
