//! The protocol of targets: HTTP headers and JSON bodies.

use serde::{Deserialize, Serialize};

/// Identifier of the request; echoed by the target.
pub const HEADER_REQUEST_ID: &str = "x-request-id";
/// Identifier of one attempt of a request, used to query its state and to fence it.
pub const HEADER_RUN_ID: &str = "x-run-id";
/// Team on whose behalf the work runs.
pub const HEADER_TEAM: &str = "x-team";
/// Queue of the work.
pub const HEADER_QUEUE: &str = "x-queue";
/// Incarnation of the entry that sent the work.
pub const HEADER_ENTRY: &str = "x-entry";
/// Epoch of a job's run.
pub const HEADER_EPOCH: &str = "x-epoch";
/// Length of a task's lease in milliseconds.
pub const HEADER_LEASE_MS: &str = "x-lease-ms";
/// `not-run` if the target confirms that it did not run the work.
pub const HEADER_OUTCOME: &str = "x-outcome";
/// Number of busy slots of the target, sent with each response.
pub const HEADER_BUSY_SLOTS: &str = "x-slots-busy";
/// Value of the outcome header of a target that did not run the work.
pub const OUTCOME_NOT_RUN: &str = "not-run";

/// The state of one attempt of a request, or of one epoch of a job, on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// It never ran, and will never run if it has been fenced.
    Never,
    /// Running.
    Running,
    /// Ran and ended.
    Ended,
}

/// A target's report on one attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunReport {
    /// State of the run.
    pub state: RunState,
}

/// A target's report on the number of runs of one entry incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunningReport {
    /// Number of runs of the entry, or of all entries if none was given.
    pub running: u32,
}

/// The state of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// The worker never started this epoch.
    Never,
    /// Running.
    Running,
    /// Finished with a result.
    Finished,
    /// Failed, stopped, or its lease expired.
    Failed,
}

/// A worker's report on one epoch of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// The epoch.
    pub epoch: u64,
    /// State of the task.
    pub state: TaskState,
    /// The result, or the reason for the failure.
    pub text: String,
}
