//! What the schedule learns about runs that it did not expect, for logs and metrics.

use {
    super::{fleet_schedule::FleetSchedule, task_name::TaskName, worker_status::EndReason},
    crate::names::WorkerName,
};

/// A run by its task, number and worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownRun {
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
    /// The worker.
    pub worker: WorkerName,
}

/// News of a run that the schedule did not expect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunNotice {
    /// A worker lists a run of a task that has others, and is not speculative.
    SecondRun {
        /// The run that is listed.
        found: KnownRun,
        /// Another run that the schedule knows.
        known: KnownRun,
    },
    /// A run that was not known has ended, and its task has another.
    UnknownEnd {
        /// The run that has ended.
        found: KnownRun,
        /// Why it ended.
        reason: EndReason,
        /// Another run that the schedule knows.
        known: KnownRun,
    },
    /// A run was released, since its worker lists neither it nor its end.
    NotListed {
        /// The run.
        released: KnownRun,
    },
    /// A run on an unreachable worker was released, since another worker lists a later one.
    Superseded {
        /// The run.
        released: KnownRun,
        /// The number of the later run.
        by_run: u32,
    },
}

impl FleetSchedule {
    /// Takes the notices of runs since the last call.
    pub fn take_run_notices(&mut self) -> Vec<RunNotice> {
        std::mem::take(&mut self.run_notices)
    }

    /// Returns a run of a task that is not speculative, other than the one found on a worker.
    pub(super) fn known_beside(&self, found: &KnownRun) -> Option<KnownRun> {
        let job = self.jobs.get(&found.task.job)?;
        let state = job.task(&found.task)?;
        if job.plan_of(&found.task).speculative {
            return None;
        }
        let mut runs = state.runs.iter();
        let other = runs.find(|known| known.run != found.run || known.worker != found.worker)?;
        Some(KnownRun {
            task: found.task.clone(),
            run: other.run,
            worker: other.worker.clone(),
        })
    }
}
