//! Stored records of a job and its progress.

use {
    super::{
        crash_suspicion::CrashedRun, index_ranges::IndexRanges, job_plan::JobPlan,
        task_name::TaskName,
    },
    crate::names::{InstanceName, JobName, PoolName, QueueName, TeamName, WorkerName},
    serde::{Deserialize, Serialize},
};

/// State of a job as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task failed too often, or crashes the workers that start it.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// A job as it was accepted. The record is never rewritten.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobRecord {
    /// Its name.
    pub name: JobName,
    /// The queue that it was submitted to.
    pub queue: QueueName,
    /// The pool that runs it.
    pub pool: PoolName,
    /// The team that it runs for; `None` for a public queue without a team's key.
    pub team: Option<TeamName>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Failed runs of one task after which the job fails.
    pub attempts: u32,
    /// Objective for the completion time, as a multiple of the critical path.
    #[serde(rename = "stretch")]
    pub objective_factor: f64,
    /// Constant added to the objective, in milliseconds.
    pub target_latency_ms: u64,
    /// Whether an adviser decides which workers may run its steps.
    pub advised: bool,
    /// Its plan.
    pub plan: JobPlan,
}

/// Failed runs of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TaskFailures {
    /// Index of the task in its step.
    pub index: u32,
    /// Numbers of the runs that failed, so that none is counted twice.
    pub runs: Vec<u32>,
}

/// Crashes of workers under one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TaskCrashes {
    /// Index of the task in its step.
    pub index: u32,
    /// The runs under which workers crashed.
    pub runs: Vec<CrashedRun>,
}

/// One incarnation of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkerIncarnation {
    /// The worker.
    pub worker: WorkerName,
    /// When it started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The instance that hosts it.
    #[serde(default)]
    pub instance: Option<InstanceName>,
}

/// A run that is recorded before it starts. An owner that takes over would not know of it
/// otherwise, if it went with its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RecordedAttempt {
    /// Index of the task in its step.
    pub index: u32,
    /// The number of the run.
    pub run: u32,
    /// Where it starts.
    pub at: WorkerIncarnation,
}

/// Progress of one step of one occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StepProgress {
    /// Index of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
    /// Whether every task is done.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub all_done: bool,
    /// Indices of the tasks that are done; empty if all are.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// Failures of tasks that are not done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failures: Vec<TaskFailures>,
    /// Crashes under tasks that are not done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<TaskCrashes>,
    /// Runs of tasks that are not done, as far as they are recorded before they start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub attempts: Vec<RecordedAttempt>,
}

impl StepProgress {
    /// Returns the name of one of its tasks.
    pub(super) fn task(&self, job: &JobName, index: u32) -> TaskName {
        TaskName {
            job: job.clone(),
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}

/// Progress of a job. The record is rewritten as its tasks end.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ProgressRecord {
    /// Final state; `None` until the job ends.
    pub ended: Option<JobState>,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// Occurrences all of whose tasks are done; empty once the job has ended.
    #[serde(default, skip_serializing_if = "IndexRanges::is_empty")]
    pub ended_occurrences: IndexRanges,
    /// Steps of other occurrences with done tasks, failed runs or crashes; empty once the job has
    /// ended.
    #[serde(rename = "tallies")]
    pub step_progress: Vec<StepProgress>,
}

impl ProgressRecord {
    /// Counts the recorded attempts, whose starts may wait for it.
    pub fn attempts(&self) -> usize {
        let steps = self.step_progress.iter();
        steps.map(|step| step.attempts.len()).sum()
    }
}
