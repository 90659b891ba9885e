//! Validation faults of table rows.

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::fmt,
};

/// The list of the table that a row belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableKind {
    /// Data centres.
    Centres,
    /// Pools.
    Pools,
    /// Queues.
    Queues,
    /// Teams.
    Teams,
    /// Keys.
    Keys,
}

impl fmt::Display for TableKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Centres => "data-centres",
            Self::Pools => "pools",
            Self::Queues => "queues",
            Self::Teams => "teams",
            Self::Keys => "keys",
        })
    }
}

/// A fault in one row, and how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[snafu(display("{table} row '{row}', column '{column}': {problem}"))]
pub struct RowFault {
    /// The list that the row belongs to.
    pub table: TableKind,
    /// The row's name.
    pub row: String,
    /// The column at fault.
    pub column: String,
    /// Description of the fault and its correction.
    pub problem: String,
}

impl RowFault {
    /// Creates a fault at the given row and column.
    pub fn new(table: TableKind, row: &str, column: &str, problem: impl Into<String>) -> Self {
        Self {
            table,
            row: row.to_owned(),
            column: column.to_owned(),
            problem: problem.into(),
        }
    }
}
