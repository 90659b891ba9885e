//! What the schedule learns about crashes, for logs and metrics.

use {
    super::{crash_suspicion::CrashedRun, task_name::TaskName},
    crate::names::{JobName, WorkerName},
};

/// What was learned about the cause of a worker's crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashNotice {
    /// A worker crashed, or seems to have, under a run that may be the cause.
    Suspected {
        /// The task.
        task: TaskName,
        /// The worker.
        worker: WorkerName,
        /// The crash.
        crash: CrashedRun,
        /// Number of crashes under the task since it was last cleared.
        crashes: usize,
    },
    /// A worker that seemed to have crashed under a run did.
    Confirmed {
        /// The task.
        task: TaskName,
        /// The number of the run.
        run: u32,
    },
    /// A worker crashed without a run that may be the cause.
    Unexplained {
        /// The worker.
        worker: WorkerName,
    },
    /// A worker is reserved for the trial of a job's suspected tasks.
    TrialPlanned {
        /// The job.
        job: JobName,
        /// The worker.
        worker: WorkerName,
    },
    /// A suspected task ran without a crash, or its worker was only cut off.
    Cleared {
        /// The task.
        task: TaskName,
    },
    /// A job was given up, since a task of it crashes the workers that start it.
    GivenUp {
        /// The task.
        task: TaskName,
        /// The crashes under it.
        crashes: Vec<CrashedRun>,
    },
}
