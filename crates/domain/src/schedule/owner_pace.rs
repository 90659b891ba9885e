//! Whether an owner keeps up with its work, or should hand it to another entry.

use std::time::Duration;

/// Steps over which a pace is measured.
const WINDOW_STEPS: u64 = 800;
/// Weight of a window in the usual pace.
const USUAL_WEIGHT: f64 = 0.1;
/// Times the usual duration of a step from which on the processor counts as slowed. Steps vary by
/// less with the load.
const SLOWED_FACTOR: f64 = 3.0;
/// How long it has to be slowed before the owner hands over, in milliseconds.
const SLOWED_MS: u64 = 400;
/// Weight of a timer's delay in the lag.
const LAG_WEIGHT: f64 = 0.25;
/// Pause after each poll of a worker, so that runs that end close together share one answer.
const POLL_PAUSE: Duration = Duration::from_millis(35);
/// Longest pause of an owner that lags.
const POLL_PAUSE_MAX: Duration = Duration::from_millis(300);
/// By how much an owner that lags polls later, as a multiple of its lag.
const POLL_LAG_FACTOR: f64 = 2.0;

/// The pace of an owner's work: how long its steps take, and how late its timers fire.
#[derive(Debug, Clone, Default)]
pub struct OwnerPace {
    window_steps: u64,
    window_s: f64,
    usual_s: Option<f64>,
    slowed_since_ms: Option<u64>,
    is_slowed: bool,
    lag_s: f64,
}

impl OwnerPace {
    /// Records steps of one kind that took this long together.
    pub fn record_steps(&mut self, steps: u64, took: Duration, now_ms: u64) {
        self.window_steps += steps;
        self.window_s += took.as_secs_f64();
        if self.window_steps < WINDOW_STEPS {
            return;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "a number of steps is far below 2^52"
        )]
        let mean_s = self.window_s / self.window_steps as f64;
        (self.window_steps, self.window_s) = (0, 0.0);
        let usual_s = self.usual_s.get_or_insert(mean_s);
        if mean_s >= *usual_s * SLOWED_FACTOR {
            let since_ms = *self.slowed_since_ms.get_or_insert(now_ms);
            self.is_slowed = now_ms >= since_ms + SLOWED_MS;
        } else {
            self.is_slowed = false;
            self.slowed_since_ms = None;
            *usual_s += USUAL_WEIGHT * (mean_s - *usual_s);
        }
    }

    /// Records by how much a timer fired late.
    pub fn record_timer_delay(&mut self, delay: Duration) {
        self.lag_s += LAG_WEIGHT * (delay.as_secs_f64() - self.lag_s);
    }

    /// Whether the processor has been slowed for so long, in several windows, that another entry does
    /// better. Load alone does not make steps longer.
    pub fn is_slowed(&self) -> bool {
        self.is_slowed
    }

    /// Returns the pause after each poll of a worker: longer while the owner lags, so that one poll
    /// brings more ends and starts are not held up.
    pub fn poll_pause(&self) -> Duration {
        let later = Duration::from_secs_f64(self.lag_s * POLL_LAG_FACTOR);
        (POLL_PAUSE + later).min(POLL_PAUSE_MAX)
    }
}
