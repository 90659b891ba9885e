//! Rate at which work arrives at a pool.

use std::collections::VecDeque;

/// Window over which arrivals are counted, in milliseconds. Shorter than moving an instance
/// takes, so that a peak shows within its first second, and long enough for several jobs.
const WINDOW_MS: u64 = 1_000;
/// Number of arrivals that show a rise within less than the window.
const RISE_ARRIVALS: usize = 24;
/// Shortest time in which a rise can show, in milliseconds: several planning passes.
const RISE_WINDOW_MS: u64 = 200;
/// Rate of the newest arrivals that counts as a rise, in percent of the rate over the window. The
/// rate of 24 random arrivals seldom differs so much by chance.
const RISE_PERCENT: u64 = 160;

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

    /// Returns the capacity that keeps up with the arrivals, in thousandths of a core. That of the
    /// newest arrivals counts once it shows a rise: an instance that is ordered then comes most of
    /// a window earlier.
    pub(super) fn required_milli(&self, now_ms: u64) -> u64 {
        let recent = self.arrivals.iter().rev();
        let recent = recent.take_while(|(at, _)| now_ms < at + WINDOW_MS);
        let (mut work, mut count, mut newest_milli) = (0u64, 0, 0);
        for (at, own) in recent {
            let span_ms = now_ms.saturating_sub(*at);
            if count >= RISE_ARRIVALS && span_ms >= RISE_WINDOW_MS && newest_milli == 0 {
                newest_milli = work / span_ms;
            }
            work = work.saturating_add(*own);
            count += 1;
        }
        let milli = work / WINDOW_MS;
        if newest_milli > milli.saturating_mul(RISE_PERCENT) / 100 {
            return newest_milli;
        }
        milli
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
