//! How much work arrives at a pool.

use std::collections::VecDeque;

/// Over how long arrivals are counted, in milliseconds. Shorter than a move of an instance
/// takes, so that a peak is seen in its first second, and long enough for several jobs.
const WINDOW_MS: u64 = 1_000;

/// The work that arrived lately.
#[derive(Debug, Clone, Default)]
pub(super) struct ArrivalRate {
    arrivals: VecDeque<(u64, u64)>,
}

impl ArrivalRate {
    /// Takes note of work that arrived, in thousandths of a core times milliseconds.
    pub(super) fn note(&mut self, now_ms: u64, work: u64) {
        self.drop_old(now_ms);
        self.arrivals.push_back((now_ms, work));
    }

    /// Thousandths of a core that keep up with the arrivals.
    pub(super) fn keep_up_milli(&self, now_ms: u64) -> u64 {
        let recent = self
            .arrivals
            .iter()
            .filter(|(at, _)| now_ms < at + WINDOW_MS);
        recent.map(|(_, work)| work).sum::<u64>() / WINDOW_MS
    }

    fn drop_old(&mut self, now_ms: u64) {
        while self
            .arrivals
            .front()
            .is_some_and(|(at, _)| now_ms >= at + WINDOW_MS)
        {
            self.arrivals.pop_front();
        }
    }
}
