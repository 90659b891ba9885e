//! The log of the table's latest changes; appending to its record creates a revision.

use {
    super::{fleet_table::FleetTable, row_change::TableChange},
    crate::codes::{Refusal, ResultCode},
    serde::{Deserialize, Serialize},
};

/// Number of changed rows in the log at which it is compacted into the snapshot.
const LOG_ROWS_MAX: usize = 64;

/// The latest revision and the changes that led to it. Older changes are in the snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableLog {
    /// The latest revision.
    pub revision: u64,
    /// The latest changes, oldest first, without gaps.
    pub changes: Vec<TableChange>,
}

impl TableLog {
    /// Appends the change of the next revision. Idempotent for the same change.
    ///
    /// # Errors
    ///
    /// `RevisionOutdated` if the change is not for the next revision.
    pub fn append(&mut self, change: TableChange) -> Result<(), Refusal> {
        let is_same = |logged: &TableChange| {
            logged.revision == change.revision && logged.token == change.token
        };
        if self.changes.iter().any(is_same) {
            return Ok(());
        }
        if change.revision != self.revision + 1 {
            let detail = format!("the table is at revision {}; read it again", self.revision);
            return Err(Refusal::not_run(ResultCode::RevisionOutdated, detail));
        }
        self.revision = change.revision;
        self.changes.push(change);
        Ok(())
    }

    /// Whether the log should be compacted before the next change.
    pub fn is_full(&self) -> bool {
        self.changes
            .iter()
            .map(|change| change.rows.len())
            .sum::<usize>()
            >= LOG_ROWS_MAX
    }

    /// Removes the changes that a snapshot covers, and returns them.
    pub fn compact(&mut self, snapshot_revision: u64) -> Vec<TableChange> {
        let (covered, kept) = self
            .changes
            .drain(..)
            .partition(|change| change.revision <= snapshot_revision);
        self.changes = kept;
        covered
    }

    /// Returns the table at the latest revision, or `None` if the log does not reach back
    /// to the revision of `table`.
    ///
    /// # Errors
    ///
    /// `RevisionOutdated` or `DeclarationFaulty` for a change that can't be applied.
    pub fn replay(&self, table: &FleetTable) -> Result<Option<FleetTable>, Refusal> {
        let reaches_back = self
            .changes
            .first()
            .is_some_and(|change| change.revision <= table.revision + 1);
        if self.revision > table.revision && !reaches_back {
            return Ok(None);
        }
        let mut table = table.clone();
        for change in self
            .changes
            .iter()
            .filter(|change| change.revision > table.revision)
            .cloned()
            .collect::<Vec<_>>()
        {
            table = table.with_change(&change)?;
        }
        Ok(Some(table))
    }
}
