//! The rows that operators fill in.

use {
    crate::names::{CentreName, KeyDigest, PoolName, QueueName, TeamName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The two kinds of target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// Answers requests, a few slots at a time.
    Executor,
    /// Runs jobs under leases.
    Worker,
}

/// Whether work is urgent or can wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Somebody waits on the phone.
    Urgent,
    /// It can wait, but must not starve.
    Batch,
}

/// A data centre and its region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CentreRow {
    /// The data centre.
    pub name: CentreName,
    /// The region it lies in.
    pub region: String,
}

/// A pool and its availability budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRow {
    /// The pool.
    pub name: PoolName,
    /// What its instances are.
    pub kind: TargetKind,
    /// How many instances it is meant to have.
    pub size: u32,
    /// How many instances may be out of service at once.
    pub max_out: u32,
}

/// A queue and the pool that serves it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueRow {
    /// The queue.
    pub name: QueueName,
    /// The pool that serves it.
    pub pool: PoolName,
    /// A pool that serves it too, while its own has no room and that one has.
    #[serde(default)]
    pub spill: Option<PoolName>,
    /// Whether its work is urgent.
    pub class: WorkClass,
    /// Whether it takes work without a key.
    #[serde(default)]
    pub open: bool,
    /// Most requests waiting in one entry.
    pub max_waiting: u32,
    /// Longest wait in milliseconds of work that names no deadline.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: u64,
}

impl QueueRow {
    /// Longest wait of work that names no deadline.
    pub fn max_wait(&self) -> Duration {
        Duration::from_millis(self.max_wait_ms)
    }
}

/// A team's share when the fleet is full, and its ceiling.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamRow {
    /// The team.
    pub name: TeamName,
    /// Its share against the other teams' shares.
    pub weight: u32,
    /// Most it may have running across the fleet.
    pub ceiling: u32,
}

/// A key granted to a team, kept as a digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRow {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// The team it was granted to.
    pub team: TeamName,
}
