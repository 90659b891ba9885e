//! Messages of the operator API: JSON over HTTP.

use {
    crate::peer_message::TeamUsage,
    dotterelshore_domain::{
        job::JobState,
        names::{
            CentreName, EntryName, InstanceName, JobName, PoolName, RackName, TeamName, WaveName,
        },
        table::{RowChange, TableChange, TargetKind},
        wave::{WavePlan, WaveRecord},
    },
    serde::{Deserialize, Serialize},
};

/// Header with the table revision in force at the responding entry.
pub const HEADER_REVISION: &str = "x-table-revision";

/// A request to change the table, based on a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The revision that the changes are based on.
    pub base_revision: u64,
    /// Idempotency token, chosen by the sender.
    pub token: u64,
    /// Author of the changes.
    pub author: String,
    /// The changed rows.
    pub rows: Vec<RowChange>,
}

/// The response to an [`ApplyRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyResponse {
    /// The recorded revision.
    pub revision: u64,
}

/// The entries at which a revision is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RevisionStatus {
    /// The requested revision.
    pub revision: u64,
    /// Live entries that have not confirmed it yet.
    pub awaiting: Vec<EntryName>,
    /// Entries that have confirmed it.
    pub confirmed: Vec<EntryName>,
}

/// The retained changes of the table, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryReport {
    /// The changes.
    pub changes: Vec<TableChange>,
}

/// An instance to be added to a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewInstance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Whether it is an executor or a worker.
    pub kind: TargetKind,
    /// Its pool.
    pub pool: PoolName,
    /// Its data centre.
    pub centre: CentreName,
    /// Its rack.
    pub rack: RackName,
    /// Host and port of its HTTP server.
    pub address: String,
}

/// A request to move an instance to another pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRequest {
    /// The destination pool.
    pub pool: PoolName,
}

/// A request to start a maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveRequest {
    /// Name of the wave.
    pub name: WaveName,
    /// The pool whose instances it maintains.
    pub pool: PoolName,
    /// The order and the failure buffer.
    pub plan: WavePlan,
}

/// The status of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// The declared size.
    pub size: u32,
    /// The availability budget.
    pub max_out: u32,
    /// Number of instances that accept work.
    pub in_service: u32,
    /// The instances out of service.
    pub out: Vec<InstanceName>,
}

/// The status of a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamName,
    /// Its share of the sum of all weights, in percent.
    pub due_percent: f64,
    /// Its share of the slot time used, in percent.
    pub got_percent: f64,
    /// The ceiling.
    pub ceiling: u32,
    /// Its usage, summed over the responding entries.
    pub usage: TeamUsage,
}

/// The status of pools, teams and waves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusReport {
    /// The responding entry.
    pub entry: EntryName,
    /// The revision in force there.
    pub revision: u64,
    /// Whether the platform responded to it recently.
    pub platform_reached: bool,
    /// Entries whose figures are included.
    pub entries: Vec<EntryName>,
    /// Entries that did not respond.
    pub silent: Vec<EntryName>,
    /// Pools.
    pub pools: Vec<PoolStatus>,
    /// Teams.
    pub teams: Vec<TeamStatus>,
    /// Waves.
    pub waves: Vec<WaveRecord>,
}

/// The status of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobReport {
    /// The job.
    pub job: JobName,
    /// Its state.
    pub state: JobState,
    /// Number of failed runs.
    pub attempts: u32,
    /// Whether cancellation was requested.
    #[serde(rename = "cancel_asked")]
    pub cancel_requested: bool,
}
