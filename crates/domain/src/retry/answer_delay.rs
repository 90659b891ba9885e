//! How long an answer usually takes, and when one that is missing is likely lost.

use std::time::Duration;

/// Shortest time after which a missing answer is taken for lost: several round trips.
const REPEAT_MIN: Duration = Duration::from_millis(30);
/// Longest such time. A call that is repeated after it still ends before callers give up.
const REPEAT_MAX: Duration = Duration::from_millis(250);
/// Weight of a new answer in the mean and in the deviation, as in TCP's retransmission timer.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations above the mean after which an answer is late.
const LATE_DEVIATIONS: f64 = 3.0;
/// Growth of the pause from one attempt to the next, so that a server that became slow is not
/// flooded.
const PAUSE_GROWTH: f64 = 1.5;
/// Attempts after which the pause grows no more.
const GROWTH_ATTEMPTS: i32 = 16;

/// The usual delay of a server's answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerDelay {
    mean_s: Option<f64>,
    deviation_s: f64,
}

impl AnswerDelay {
    /// Records how long an answer took.
    pub fn record(&mut self, took: Duration) {
        let took_s = took.as_secs_f64();
        match &mut self.mean_s {
            None => {
                self.mean_s = Some(took_s);
                self.deviation_s = took_s / 2.0;
            }
            Some(mean_s) => {
                let error_s = took_s - *mean_s;
                self.deviation_s += DEVIATION_WEIGHT * (error_s.abs() - self.deviation_s);
                *mean_s += MEAN_WEIGHT * error_s;
            }
        }
    }

    /// Returns the pause after a call's attempt, the first being 0, before it is repeated. It grows
    /// with each attempt.
    pub fn repeat_after(&self, attempt: u32) -> Duration {
        let late_s = self.mean_s.unwrap_or_default() + LATE_DEVIATIONS * self.deviation_s;
        let late = Duration::from_secs_f64(late_s).clamp(REPEAT_MIN, REPEAT_MAX);
        let attempt = i32::try_from(attempt).unwrap_or(GROWTH_ATTEMPTS);
        late.mul_f64(PAUSE_GROWTH.powi(attempt.min(GROWTH_ATTEMPTS)))
    }
}
