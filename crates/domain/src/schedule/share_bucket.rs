//! How much of its share a team uses.

/// How long a team may save up its share, in milliseconds: the users count a team's work over
/// windows of five seconds.
const SAVED_MS: f64 = 5_000.0;
/// Jobs that a team may always hand in at once, so that a small share is no bar to one job of
/// a few parts.
const JOBS_LEAST: f64 = 5.0;

/// Jobs that a team may still hand in within its share, which fills up at the team's rate.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ShareBucket {
    per_s: f64,
    left: f64,
    filled_ms: Option<u64>,
}

impl ShareBucket {
    /// Sets the team's share, in jobs a second; nought sets no bound.
    pub(super) fn set_rate(&mut self, per_s: f64) {
        self.per_s = per_s;
    }

    fn most(&self) -> f64 {
        (self.per_s * SAVED_MS / 1e3).max(JOBS_LEAST)
    }

    /// Takes one job's part. Tells whether it was within the share.
    pub(super) fn take(&mut self, now_ms: u64) -> bool {
        if self.per_s <= 0.0 {
            return true;
        }
        let passed_ms = self.filled_ms.map(|at| now_ms.saturating_sub(at));
        #[expect(
            clippy::cast_precision_loss,
            reason = "spans of milliseconds are small"
        )]
        let filled = passed_ms.map_or(self.most(), |passed| self.per_s * passed as f64 / 1e3);
        self.left = (self.left + filled).min(self.most());
        self.filled_ms = Some(now_ms);
        let within = self.left >= 1.0;
        if within {
            self.left -= 1.0;
        }
        within
    }
}
