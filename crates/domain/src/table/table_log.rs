//! The newest changes of the table, the one record whose write makes a revision.

use {
    super::{fleet_table::FleetTable, row_change::TableChange},
    crate::codes::{Refusal, ResultCode},
    serde::{Deserialize, Serialize},
};

/// Most rows that the kept changes have together before they are folded into the snapshot.
const KEPT_ROWS_MAX: usize = 64;

/// The newest revision with the changes that led to it. Older ones are in the snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableLog {
    /// The newest revision.
    pub revision: u64,
    /// The newest changes, oldest first, without gaps.
    pub changes: Vec<TableChange>,
}

impl TableLog {
    /// Adds the next revision. Adding the same change again changes nothing.
    ///
    /// # Errors
    ///
    /// `RevisionOutdated` if the change does not follow the newest revision.
    pub fn append(&mut self, change: TableChange) -> Result<(), Refusal> {
        let twin =
            |kept: &TableChange| kept.revision == change.revision && kept.token == change.token;
        if self.changes.iter().any(twin) {
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

    /// Whether the kept changes should be folded into the snapshot first.
    pub fn is_full(&self) -> bool {
        self.changes
            .iter()
            .map(|change| change.rows.len())
            .sum::<usize>()
            >= KEPT_ROWS_MAX
    }

    /// Drops the changes that a snapshot covers, and returns them.
    pub fn compact(&mut self, snapshot_revision: u64) -> Vec<TableChange> {
        let (covered, kept) = self
            .changes
            .drain(..)
            .partition(|change| change.revision <= snapshot_revision);
        self.changes = kept;
        covered
    }

    /// The table brought up to the newest revision, or `None` where the kept changes
    /// do not reach back to it.
    ///
    /// # Errors
    ///
    /// A change that contradicts the table.
    pub fn replay(&self, table: &FleetTable) -> Result<Option<FleetTable>, Refusal> {
        let reaches = self
            .changes
            .first()
            .is_some_and(|change| change.revision <= table.revision + 1);
        if self.revision > table.revision && !reaches {
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
