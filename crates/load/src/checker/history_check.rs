//! Checks a complete history against every invariant.

use {
    super::{
        budget_check, invariant_violation::InvariantViolation, key_check, run_check, table_check,
    },
    dotterelshore_standins::history::{HistoryLine, read_history},
    std::path::Path,
};

/// Returns every invariant violation in a history, ordered by time.
///
/// The lines must be sorted by time.
pub fn check_history(lines: &[HistoryLine]) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    violations.extend(budget_check::check(lines));
    violations.extend(run_check::check(lines));
    violations.extend(key_check::check(lines));
    violations.extend(table_check::check(lines));
    violations.sort_by_key(|violation| violation.at_us);
    violations
}

/// Reads every `.jsonl` history file in a folder and returns the events sorted by time.
///
/// # Errors
///
/// Returns the I/O error if the folder or one of the files can't be read.
pub fn read_folder(folder: &Path) -> std::io::Result<Vec<HistoryLine>> {
    let mut lines = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "jsonl")
        {
            lines.extend(read_history(&path)?);
        }
    }
    lines.sort_by_key(|line| line.at_us);
    Ok(lines)
}
