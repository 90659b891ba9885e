//! Order in which jobs are placed when capacity is short.

use serde::{Deserialize, Serialize};

/// Rule that orders the jobs that wait for room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderRule {
    /// Jobs that can still meet their objective first, by priority and latest start time.
    #[default]
    Objective,
    /// By priority and time of arrival; the baseline.
    FirstCome,
}

/// A job's place in the order: its group, its priority and a time. Smaller goes first.
pub type JobSortKey = (u32, u32, u64);

/// Properties that decide a job's place in the order. All times are scheduler milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobUrgency {
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether it runs until it is cancelled.
    pub long_running: bool,
    /// Whether some of its tasks have been started.
    pub started: bool,
    /// Whether its team was over its share when the job arrived.
    pub over_share: bool,
    /// When it arrived.
    pub arrived_ms: u64,
    /// When it should be completed.
    pub objective_ms: u64,
    /// Duration of its remaining critical path.
    pub critical_path_ms: u64,
    /// Until when a late completion still has value.
    pub late_deadline_ms: u64,
}

impl JobUrgency {
    /// Returns the sort key under a rule; the lowest goes first.
    ///
    /// When a queue asks for several times the capacity of its pool, jobs that can no longer
    /// meet their objective yield to jobs that can, so that a peak makes some jobs late
    /// instead of all. A started job goes before one that is not. A team that submits many
    /// times its share gets what the others leave.
    pub fn sort_key(&self, rule: OrderRule, now_ms: u64) -> JobSortKey {
        match rule {
            OrderRule::FirstCome => (0, self.priority, self.arrived_ms),
            OrderRule::Objective => {
                if self.long_running {
                    return (0, 0, self.arrived_ms);
                }
                let latest_start = self.objective_ms.saturating_sub(self.critical_path_ms);
                let in_time = now_ms <= latest_start || self.started && now_ms < self.objective_ms;
                let group = match (in_time, self.started) {
                    (true, true) => 1,
                    (true, false) if !self.over_share => 2,
                    (false, _) if now_ms < self.late_deadline_ms && !self.over_share => 3,
                    (true, false) => 4,
                    _ if now_ms < self.late_deadline_ms => 5,
                    _ => 6,
                };
                (group, self.priority, latest_start)
            }
        }
    }
}
