//! How many orders for instances the platform still takes.

use std::collections::VecDeque;

/// Span over which the platform counts orders, in milliseconds; from its terms.
const SPAN_MS: u64 = 1_000;
/// Kept back for answers that come late and for clocks, in milliseconds.
const SLACK_MS: u64 = 50;

/// Orders for instances of the last second, held under the platform's rate.
#[derive(Debug, Clone, Default)]
pub(super) struct OrderBudget {
    most: usize,
    sent: VecDeque<(u64, usize)>,
}

impl OrderBudget {
    /// A budget of so many orders in any second; at least one.
    pub(super) fn new(orders_per_s: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rate is not negative and far below what fits"
        )]
        let most = (orders_per_s as usize).max(1);
        Self {
            most,
            sent: VecDeque::new(),
        }
    }

    /// Orders that may be sent now.
    pub(super) fn left(&mut self, now_ms: u64) -> usize {
        while self
            .sent
            .front()
            .is_some_and(|(at, _)| now_ms >= at + SPAN_MS + SLACK_MS)
        {
            self.sent.pop_front();
        }
        let sent: usize = self.sent.iter().map(|(_, count)| count).sum();
        self.most.saturating_sub(sent)
    }

    /// Takes note of orders that are sent now.
    pub(super) fn take(&mut self, now_ms: u64, count: usize) {
        if count > 0 {
            self.sent.push_back((now_ms, count));
        }
    }
}
