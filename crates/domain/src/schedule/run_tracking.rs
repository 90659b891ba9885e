//! Runs on workers: reserved, released, and dropped when a worker can't have them any more.

use {
    super::{fleet_schedule::FleetSchedule, task_name::TaskName, worker_status::WorkerStatus},
    crate::names::WorkerName,
};

/// Why a worker's runs were dropped from the schedule without a report of their end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// A later incarnation is listed, or a later worker on the same instance reports.
    Replaced,
    /// It was unlisted after an order for its instance.
    Disrupted,
    /// The platform's list shows that its instance no longer hosts it.
    InstanceGone,
    /// Its lease expired.
    LeaseExpired,
}

/// A worker whose runs were dropped without a report of their end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DroppedRuns {
    /// The worker.
    pub worker: WorkerName,
    /// Why its runs were dropped.
    pub reason: DropReason,
    /// The tasks and their run numbers.
    pub runs: Vec<(TaskName, u32)>,
}

/// Runs whose job has ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LingeringRuns {
    /// The number of runs.
    pub runs: usize,
    /// Time since the earliest end of their jobs, in milliseconds.
    pub oldest_ms: u64,
}

impl FleetSchedule {
    /// Counts the runs whose job has ended, and the time since the earliest of these ends.
    pub fn lingering_runs(&self, wall_ms: u64) -> LingeringRuns {
        let mut lingering = LingeringRuns::default();
        let tasks = self.workers.values().flat_map(WorkerStatus::tasks);
        for job in tasks.filter_map(|task| self.jobs.get(&task.job)) {
            if job.ended.is_some() {
                let ended_ms = job.ended_ms.unwrap_or(wall_ms);
                lingering.runs += 1;
                lingering.oldest_ms = lingering.oldest_ms.max(wall_ms.saturating_sub(ended_ms));
            }
        }
        lingering
    }

    /// Takes the list of workers whose runs were dropped since the last call.
    pub fn take_dropped_runs(&mut self) -> Vec<DroppedRuns> {
        std::mem::take(&mut self.dropped)
    }

    /// Releases all runs of a worker that can't have any more, and notes why.
    pub(super) fn drop_runs(&mut self, name: &WorkerName, reason: DropReason) {
        let Some(status) = self.workers.get(name) else {
            return;
        };
        let mut runs: Vec<_> = status.runs.iter().cloned().collect();
        runs.sort_unstable();
        if !runs.is_empty() {
            self.dropped.push(DroppedRuns {
                worker: name.clone(),
                reason,
                runs: runs.clone(),
            });
        }
        for (task, run) in runs {
            self.release(&task, name, run);
        }
    }

    /// Releases a run's reservation and returns whether the run was known.
    pub(super) fn release(&mut self, task: &TaskName, worker: &WorkerName, run: u32) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let Some(removed) = job.remove_run(task, worker, run) else {
            return false;
        };
        if removed.recorded_at.is_some() && job.ended.is_none() {
            self.dirty.insert(task.job.clone());
        }
        let step = &job.record.plan.steps[usize::from(task.step)];
        if let Some(status) = self.workers.get_mut(worker) {
            status.runs.remove(&(task.clone(), run));
            status.used -= step.reserved();
        }
        if let Some(team) = job
            .record
            .team
            .as_ref()
            .and_then(|team| self.teams.get_mut(team))
        {
            team.used -= step.need;
        }
        true
    }

    /// Reserves a run's resources on its worker and under its team's ceiling.
    pub(super) fn reserve(&mut self, task: &TaskName, worker: &WorkerName, run: u32) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.run_count += 1;
        let step = &job.record.plan.steps[usize::from(task.step)];
        if let Some(status) = self.workers.get_mut(worker) {
            status.runs.insert((task.clone(), run));
            status.used += step.reserved();
        }
        if let Some(team) = &job.record.team {
            self.teams.entry(team.clone()).or_default().used += step.need;
        }
    }
}
