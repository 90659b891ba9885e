//! The protocol that targets speak: HTTP with these headers and bodies.

use serde::{Deserialize, Serialize};

/// Identifier of the request; a target echoes it.
pub const HEADER_REQUEST_ID: &str = "x-request-id";
/// Identifier of one try of a request, by which it is asked about and fenced.
pub const HEADER_RUN_ID: &str = "x-run-id";
/// Team the work runs for.
pub const HEADER_TEAM: &str = "x-team";
/// Queue the work came through.
pub const HEADER_QUEUE: &str = "x-queue";
/// Life of the entry that sent the work.
pub const HEADER_ENTRY: &str = "x-entry";
/// Epoch of a job's run.
pub const HEADER_EPOCH: &str = "x-epoch";
/// Length of a task's lease in milliseconds.
pub const HEADER_LEASE_MS: &str = "x-lease-ms";
/// `not-run` when a target vouches that it ran nothing.
pub const HEADER_OUTCOME: &str = "x-outcome";
/// Busy slots of the target, told with each answer.
pub const HEADER_BUSY_SLOTS: &str = "x-slots-busy";
/// Value of the outcome header by which a target vouches.
pub const OUTCOME_NOT_RUN: &str = "not-run";

/// A target's word on one request or on one epoch of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// It never ran, and after a fence it never will.
    Never,
    /// It runs.
    Running,
    /// It ran and ended.
    Ended,
}

/// A target's word on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunReport {
    /// Where the run stands.
    pub state: RunState,
}

/// A target's word on all that one life of an entry has running there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunningReport {
    /// How many run for that entry, or for all if none was named.
    pub running: u32,
}

/// Where a task on a worker stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// The worker never started this epoch.
    Never,
    /// It runs.
    Running,
    /// It finished with a result.
    Finished,
    /// It failed, was stopped, or its lease lapsed.
    Failed,
}

/// A worker's word on one epoch of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// The epoch it speaks of.
    pub epoch: u64,
    /// Where it stands.
    pub state: TaskState,
    /// The result, or the reason of the failure.
    pub text: String,
}
