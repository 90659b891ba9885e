//! The order in which jobs get room when there is too little for all.

use serde::{Deserialize, Serialize};

/// How jobs that wait for room are ordered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderRule {
    /// Jobs that can still meet their objective first, by the latest time they can start.
    #[default]
    Objective,
    /// In the order of their acceptance; the baseline.
    FirstCome,
}

/// What the order of a job depends on. All times are scheduler milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobUrgency {
    /// 0 comes first.
    pub priority: u32,
    /// Whether it runs until it is cancelled.
    pub long_running: bool,
    /// Whether some of it has been started.
    pub started: bool,
    /// Whether its team handed in more than its share when it came.
    pub over_share: bool,
    /// When it arrived.
    pub arrived_ms: u64,
    /// When it should be completed.
    pub objective_ms: u64,
    /// Its longest chain of work not done.
    pub critical_path_ms: u64,
    /// Until when a late end is still worth something.
    pub late_ms: u64,
}

impl JobUrgency {
    /// The sort key under a rule; lower goes first.
    ///
    /// Load it answers: a queue that asks for several times its pool. Work that can no
    /// longer meet its objective gives way to work that can, so that a peak makes some
    /// jobs late instead of all; a job that was begun goes before one that was not. A team
    /// that sends many times its share gets what the others leave.
    pub fn key(&self, rule: OrderRule, now_ms: u64) -> (u32, u32, u64) {
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
                    (false, _) if now_ms < self.late_ms && !self.over_share => 3,
                    (true, false) => 4,
                    _ if now_ms < self.late_ms => 5,
                    _ => 6,
                };
                (group, self.priority, latest_start)
            }
        }
    }
}
