//! Which of a worker's incarnations is the newest.

/// Orders what was learned about the incarnations of one worker.
///
/// Changes of its row are ordered by their store revision. Reports are ordered by their polls: one of
/// an earlier incarnation counts only if its poll was sent after the newest one was known. The start of
/// an incarnation is wall time, which may step back, and decides only between a row and a report.
#[derive(Debug, Clone, Default)]
pub(super) struct IncarnationOrder {
    /// Store revision of the newest change of the row that was applied.
    row_revision: u64,
    /// The incarnation that was the newest when the last report arrived, by its start.
    newest_at_report: Option<u64>,
    /// The incarnation that the last one to report replaced, by its start.
    replaced_by_report: Option<u64>,
}

impl IncarnationOrder {
    /// Applies a change of the row, and returns whether it is not older than one applied before.
    pub(super) fn advance_row(&mut self, revision: u64) -> bool {
        if revision < self.row_revision {
            return false;
        }
        self.row_revision = revision;
        true
    }

    /// Whether the incarnation of a row follows the newest one, of which runs are known or not.
    pub(super) fn row_follows(&self, listed_ms: u64, newest_ms: u64, knows_runs: bool) -> bool {
        let is_over = self.replaced_by_report == Some(listed_ms);
        !knows_runs || listed_ms > newest_ms && !is_over
    }

    /// Whether the incarnation that reports follows the newest one. One that started earlier does
    /// if the newest one was known when it was polled, and so did not answer.
    pub(super) fn report_follows(&mut self, reported_ms: u64, newest_ms: u64) -> bool {
        let was_polled_later = self.newest_at_report == Some(newest_ms);
        let follows = reported_ms > newest_ms || reported_ms < newest_ms && was_polled_later;
        if follows {
            self.replaced_by_report = Some(newest_ms);
        }
        self.newest_at_report = Some(if follows { reported_ms } else { newest_ms });
        follows
    }
}
