//! The jobs that wait for a trial: their order, and how long each waits at most.

use {
    super::{fleet_schedule::FleetSchedule, live_job::LiveJob},
    crate::{collections::FastMap, names::JobName},
    std::cmp::Reverse,
};

/// How long a job waits before it goes ahead of all that came later, in milliseconds. As long as the
/// longest trial takes.
const PATIENCE_MS: u64 = 2_000;
/// How long a job waits at most, in milliseconds, unless its next crash may decide on it. A crash is
/// known after four seconds, and the users allow nine until a task that lasts is back.
const TRIAL_WAIT_MAX_MS: u64 = 3_000;

/// A job's place in the order of trials; the lowest goes first.
pub(super) type TrialSortKey = (bool, u64, bool, (usize, Reverse<u64>));

/// Since when each job waits for a trial, in scheduler milliseconds.
#[derive(Debug, Default)]
pub(super) struct TrialQueue {
    since_ms: FastMap<JobName, u64>,
}

impl TrialQueue {
    /// Notes that a job waits, from now on if it did not before.
    pub(super) fn enter(&mut self, name: &JobName, now_ms: u64) {
        if !self.since_ms.contains_key(name) {
            self.since_ms.insert(name.clone(), now_ms);
        }
    }

    /// Notes that a task of a job starts in a trial.
    pub(super) fn leave(&mut self, name: &JobName) {
        self.since_ms.remove(name);
    }

    /// Removes the jobs that are not suspected any more.
    pub(super) fn retain(&mut self, is_suspected: impl Fn(&JobName) -> bool) {
        self.since_ms.retain(|name, _| is_suspected(name));
    }

    /// Returns since when a job waits, if that is longer than a time.
    fn overdue_since(&self, name: &JobName, wait_ms: u64, now_ms: u64) -> Option<u64> {
        let since_ms = *self.since_ms.get(name)?;
        (now_ms > since_ms + wait_ms).then_some(since_ms)
    }
}

impl FleetSchedule {
    /// Whether a job that needs a trial starts without one, since it has waited for too long. One that
    /// a crash points to alone, or whose next crash may decide, waits on. A job stays exempt until it
    /// is cleared or one of these holds.
    pub(super) fn forgoes_trial(&self, name: &JobName, now_ms: u64) -> bool {
        let overdue_ms = self
            .trial_queue
            .overdue_since(name, TRIAL_WAIT_MAX_MS, now_ms);
        let job = self.jobs.get(name);
        let is_weak = |job: &LiveJob| {
            let mut tasks = job.suspected_tasks();
            !job.has_crash_proof() && tasks.all(|(_, task)| !task.suspicion.is_last_trial())
        };
        overdue_ms.is_some() && job.is_some_and(is_weak)
    }

    /// Returns a job's place in the order of trials. The least likely cause comes first: it is
    /// cleared soon, and costs no worker. Each crash brings new ones of these, so that a job goes
    /// before them once it has waited for long.
    pub(super) fn trial_sort_key(&self, name: &JobName, now_ms: u64) -> TrialSortKey {
        let overdue_ms = self.trial_queue.overdue_since(name, PATIENCE_MS, now_ms);
        let job = self.jobs.get(name);
        let likelihood = job.map(LiveJob::likelihood);
        (
            overdue_ms.is_none(),
            overdue_ms.unwrap_or_default(),
            job.is_some_and(LiveJob::has_crash_proof),
            likelihood.unwrap_or_default(),
        )
    }
}
