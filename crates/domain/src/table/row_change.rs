//! Changes of rows, and the table revisions that they form.

use {
    super::rows::{CentreRow, KeyRow, PoolRow, QueueRow, TeamRow},
    crate::names::{CentreName, KeyDigest, PoolName, QueueName, TeamName},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// One row inserted or replaced, or removed if the row is `None`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RowChange {
    /// A data centre.
    Centre(CentreName, Option<CentreRow>),
    /// A pool.
    Pool(PoolName, Option<PoolRow>),
    /// A queue.
    Queue(QueueName, Option<QueueRow>),
    /// A team.
    Team(TeamName, Option<TeamRow>),
    /// A key.
    Key(KeyDigest, Option<KeyRow>),
}

impl fmt::Display for RowChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, name, is_present) = match self {
            Self::Centre(name, row) => ("data centre", name.as_str(), row.is_some()),
            Self::Pool(name, row) => ("pool", name.as_str(), row.is_some()),
            Self::Queue(name, row) => ("queue", name.as_str(), row.is_some()),
            Self::Team(name, row) => ("team", name.as_str(), row.is_some()),
            Self::Key(digest, row) => ("key", &digest.as_str()[..8], row.is_some()),
        };
        let verb = if is_present { "put" } else { "drop" };
        write!(f, "{verb} {kind} {name}")?;
        match self {
            Self::Pool(_, Some(row)) => write!(f, " size={} max_out={}", row.size, row.max_out),
            Self::Team(_, Some(row)) => write!(f, " weight={} ceiling={}", row.weight, row.ceiling),
            Self::Queue(_, Some(row)) => write!(f, " pool={}", row.pool),
            Self::Key(_, Some(row)) => write!(f, " team={}", row.team),
            _ => Ok(()),
        }
    }
}

/// One revision of the table: its author and the changed rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableChange {
    /// The revision that this change creates.
    pub revision: u64,
    /// Chosen by the writer, to recognise its own write.
    pub token: u64,
    /// Author of the change.
    pub author: String,
    /// Time of the change by the writer's clock, in milliseconds since the Unix epoch;
    /// informational only.
    pub at_ms: u64,
    /// The rows.
    pub rows: Vec<RowChange>,
}
