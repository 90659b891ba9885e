//! Rate at which work arrives at a pool.

use std::collections::VecDeque;

/// Window over which arrivals are counted, in milliseconds. Shorter than moving an instance
/// takes, so that a peak shows within its first second, and long enough for several jobs.
const WINDOW_MS: u64 = 1_000;

/// Work that arrived within the window.
#[derive(Debug, Clone, Default)]
pub(super) struct ArrivalRate {
    arrivals: VecDeque<(u64, u64)>,
}

impl ArrivalRate {
    /// Records arrived work, in thousandths of a core times milliseconds.
    pub(super) fn record(&mut self, now_ms: u64, work: u64) {
        self.evict_old(now_ms);
        self.arrivals.push_back((now_ms, work));
    }

    /// Returns the capacity that keeps up with the arrivals, in thousandths of a core.
    pub(super) fn required_milli(&self, now_ms: u64) -> u64 {
        let recent = self
            .arrivals
            .iter()
            .filter(|(at, _)| now_ms < at + WINDOW_MS);
        let work = recent.fold(0, |sum: u64, (_, work)| sum.saturating_add(*work));
        work / WINDOW_MS
    }

    fn evict_old(&mut self, now_ms: u64) {
        while self
            .arrivals
            .front()
            .is_some_and(|(at, _)| now_ms >= at + WINDOW_MS)
        {
            self.arrivals.pop_front();
        }
    }
}
