//! The rows of the table, as declared by operators.

use {
    crate::names::{CentreName, KeyDigest, PoolName, QueueName, TeamName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The two kinds of target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// Serves requests, as many at a time as it has slots.
    Executor,
    /// Runs jobs under leases.
    Worker,
}

/// The priority class of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Interactive work, on which a person is waiting.
    Urgent,
    /// Deferrable work, which must not starve.
    Batch,
}

/// A data centre and its region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CentreRow {
    /// The data centre.
    pub name: CentreName,
    /// The region it is in.
    pub region: String,
}

/// A pool and its availability budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRow {
    /// The pool.
    pub name: PoolName,
    /// The kind of its instances.
    pub kind: TargetKind,
    /// Number of instances it should have.
    pub size: u32,
    /// Number of instances that may be out of service at the same time.
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
    /// A pool that also serves it while its own pool has no free capacity and this one has.
    #[serde(default)]
    pub spill: Option<PoolName>,
    /// Priority class of its work.
    pub class: WorkClass,
    /// Whether it accepts work without a key.
    #[serde(default)]
    pub open: bool,
    /// Maximum number of requests waiting in one entry.
    pub max_waiting: u32,
    /// Maximum wait, in milliseconds, of work without a deadline.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: u64,
}

impl QueueRow {
    /// Returns the maximum wait of work without a deadline.
    pub fn max_wait(&self) -> Duration {
        Duration::from_millis(self.max_wait_ms)
    }
}

/// A team's share of a full fleet, and its ceiling.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamRow {
    /// The team.
    pub name: TeamName,
    /// Its share relative to the other teams.
    pub weight: u32,
    /// Maximum number of its concurrent runs across the fleet.
    pub ceiling: u32,
}

/// A key granted to a team, stored as a digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRow {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// The team it was granted to.
    pub team: TeamName,
}
