//! What a poll of a worker asks for.

use {
    super::{
        fleet_schedule::FleetSchedule,
        worker_status::{WorkerReport, WorkerStatus},
    },
    crate::names::WorkerName,
};

/// Longest time between polls that list a worker's runs, in milliseconds. Short beside the time
/// without progress after which a run counts as stalled.
const RUNS_PERIOD_MS: u64 = 500;

/// What a poll of a worker asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollScope {
    /// Its runs and all ends that are not acknowledged.
    All,
    /// Its ends from a number on: what the owner does then grows with what ended, not with what
    /// runs there.
    EndsAfter(u64),
}

impl PollScope {
    /// Reduces a worker's report to what the poll asked for. A report of another incarnation than
    /// the one polled stays whole, since it numbers its ends anew.
    pub fn reduce(self, started_ms: u64, mut report: WorkerReport) -> WorkerReport {
        let Self::EndsAfter(applied) = self else {
            return report;
        };
        if report.started_ms.is_some_and(|start| start != started_ms) {
            return report;
        }
        report.running.clear();
        report.finished.retain(|end| end.number > applied);
        report.ends_only = true;
        report
    }
}

/// How closely the runs on a worker are followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunWatch {
    /// No closer than others.
    None,
    /// Best-effort tasks run beside others, whose tail latency decides on their pace.
    Paced,
    /// A long-running task starts, or suspected tasks are tried.
    Starting,
}

impl FleetSchedule {
    /// Returns how closely the runs on a worker are followed.
    pub fn run_watch(&self, worker: &WorkerName) -> RunWatch {
        if self.has_unready_task(worker) || self.is_in_trial(worker) {
            RunWatch::Starting
        } else if self.runs_best_effort(worker) {
            RunWatch::Paced
        } else {
            RunWatch::None
        }
    }

    /// Returns what a poll asks for that reads a worker's clock: no more than its new ends.
    pub fn ends_scope(&self, worker: &WorkerName) -> PollScope {
        let status = self.workers.get(worker);
        PollScope::EndsAfter(status.map_or(0, |status| status.applied_end))
    }

    /// Returns what the next poll of a worker asks for. Its runs are listed now and then, and
    /// whenever they are followed closely.
    pub fn poll_scope(&self, worker: &WorkerName, watch: RunWatch, now_ms: u64) -> PollScope {
        let status = self.workers.get(worker);
        match status.filter(|status| status.is_steady(now_ms)) {
            Some(status) if watch == RunWatch::None => PollScope::EndsAfter(status.applied_end),
            _ => PollScope::All,
        }
    }
}

impl WorkerStatus {
    /// Whether its runs were listed shortly before and nothing about them is in doubt.
    fn is_steady(&self, now_ms: u64) -> bool {
        self.reported
            && self.reachable
            && self.has_listed_all
            && !self.has_unknown_runs
            && now_ms < self.runs_listed_ms + RUNS_PERIOD_MS
    }
}
