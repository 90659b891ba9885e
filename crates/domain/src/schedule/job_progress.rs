//! A job as recorded, and how far it is as recorded.

use {
    super::job_plan::JobPlan,
    crate::names::{JobName, PoolName, QueueName, TeamName},
    serde::{Deserialize, Serialize},
};

/// Where a job stands, as callers are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// A job as it was accepted; never rewritten.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobRecord {
    /// Its name.
    pub name: JobName,
    /// The queue it was handed in to.
    pub queue: QueueName,
    /// The pool that runs it.
    pub pool: PoolName,
    /// The team that it runs for; nothing where its queue is public.
    pub team: Option<TeamName>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of one task after which it fails.
    pub attempts: u32,
    /// The objective, as a multiple of the longest chain of work.
    #[serde(rename = "stretch")]
    pub objective_factor: f64,
    /// Added to the objective, in milliseconds.
    pub target_latency_ms: u64,
    /// Whether an adviser names the workers of its steps.
    pub advised: bool,
    /// Its steps.
    pub plan: JobPlan,
}

/// Failed runs of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TaskFailures {
    /// Which task of the step.
    pub index: u32,
    /// The runs that failed, by number, so that none is counted twice.
    pub runs: Vec<u32>,
}

/// How far one step of one occurrence is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StepProgress {
    /// Which occurrence.
    pub occurrence: u32,
    /// Which step.
    pub step: u16,
    /// Whether every task is done.
    #[serde(default)]
    pub all_done: bool,
    /// The tasks that are done, where not all are.
    #[serde(default)]
    pub done: Vec<u32>,
    /// The tasks that failed and are not done.
    #[serde(default)]
    pub failures: Vec<TaskFailures>,
}

/// How far a job is, rewritten as its tasks end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ProgressRecord {
    /// Its final state, once it has one.
    pub ended: Option<JobState>,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// Steps in which something ended; left out once the job has ended.
    #[serde(rename = "tallies")]
    pub step_progress: Vec<StepProgress>,
}
