//! What operators' programs and entries say to each other, as JSON over HTTP.

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

/// Header that tells the revision in force at the entry that answered.
pub const HEADER_REVISION: &str = "x-table-revision";

/// Changes that an operator wants, made on a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The revision the changes were made on.
    pub base_revision: u64,
    /// Chosen by the writer, so that sending the order again changes nothing more.
    pub token: u64,
    /// Who wants it.
    pub author: String,
    /// The rows.
    pub rows: Vec<RowChange>,
}

/// A revision that was recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyResponse {
    /// The revision.
    pub revision: u64,
}

/// How far a revision is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RevisionStatus {
    /// The revision asked about.
    pub revision: u64,
    /// Live entries that have not confirmed it yet.
    pub awaiting: Vec<EntryName>,
    /// Entries that have.
    pub confirmed: Vec<EntryName>,
}

/// The changes still kept, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryReport {
    /// The changes.
    pub changes: Vec<TableChange>,
}

/// An instance to put into a pool for the first time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewInstance {
    /// The instance.
    pub name: InstanceName,
    /// What it is.
    pub kind: TargetKind,
    /// Its pool.
    pub pool: PoolName,
    /// Its data centre.
    pub centre: CentreName,
    /// Its rack.
    pub rack: RackName,
    /// Host and port of its HTTP front.
    pub address: String,
}

/// An instance to be moved.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRequest {
    /// Where to.
    pub pool: PoolName,
}

/// A wave to be started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveRequest {
    /// Its name.
    pub name: WaveName,
    /// The pool it goes through.
    pub pool: PoolName,
    /// How it is carried out.
    pub plan: WavePlan,
}

/// A pool as an operator asks about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// The size that the table gives.
    pub size: u32,
    /// The availability budget.
    pub max_out: u32,
    /// Instances that take work.
    pub in_service: u32,
    /// The instances that are out.
    pub out: Vec<InstanceName>,
}

/// A team as an operator asks about it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamName,
    /// Its share of all weights, in percent.
    pub due_percent: f64,
    /// Its part of what was used, in percent.
    pub got_percent: f64,
    /// The ceiling.
    pub ceiling: u32,
    /// What it has in all entries asked.
    pub usage: TeamUsage,
}

/// What each team is getting against its row, what is out, what is late.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusReport {
    /// The entry that answered.
    pub entry: EntryName,
    /// The revision in force there.
    pub revision: u64,
    /// Whether the platform answered it lately.
    pub platform_reached: bool,
    /// Entries whose figures are in this report.
    pub entries: Vec<EntryName>,
    /// Entries that did not answer.
    pub silent: Vec<EntryName>,
    /// Pools.
    pub pools: Vec<PoolStatus>,
    /// Teams.
    pub teams: Vec<TeamStatus>,
    /// Waves.
    pub waves: Vec<WaveRecord>,
}

/// A job as its team asks about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobReport {
    /// The job.
    pub job: JobName,
    /// Where it stands.
    pub state: JobState,
    /// How often it failed.
    pub attempts: u32,
    /// Whether a cancellation is under way.
    #[serde(rename = "cancel_asked")]
    pub cancel_requested: bool,
}
