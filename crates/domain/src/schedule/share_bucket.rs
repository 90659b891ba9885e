//! Token bucket for a team's share.

/// Time over which a team may save up its share, in milliseconds. The users measure a team's
/// work over windows of five seconds.
const BURST_MS: f64 = 5_000.0;
/// Smallest capacity, in jobs, so that a team with a small share can submit a job of a few
/// parts.
const BURST_JOBS_MIN: f64 = 5.0;

/// Token bucket that refills at a team's share. Each job takes one token.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ShareBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_ms: Option<u64>,
}

impl ShareBucket {
    /// Sets the team's share, in jobs per second; 0 means unlimited.
    pub(super) fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s;
    }

    fn capacity(&self) -> f64 {
        (self.rate_per_s * BURST_MS / 1e3).max(BURST_JOBS_MIN)
    }

    /// Takes the token for one job. Returns whether the job is within the share.
    pub(super) fn try_take(&mut self, now_ms: u64) -> bool {
        if self.rate_per_s <= 0.0 {
            return true;
        }
        let elapsed_ms = self.refilled_ms.map(|at| now_ms.saturating_sub(at));
        #[expect(
            clippy::cast_precision_loss,
            reason = "spans of milliseconds are small"
        )]
        let refilled = elapsed_ms.map_or(self.capacity(), |elapsed| {
            self.rate_per_s * elapsed as f64 / 1e3
        });
        self.tokens = (self.tokens + refilled).min(self.capacity());
        self.refilled_ms = Some(now_ms);
        let within = self.tokens >= 1.0;
        if within {
            self.tokens -= 1.0;
        }
        within
    }
}
