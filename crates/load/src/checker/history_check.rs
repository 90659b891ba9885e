//! A whole history against every promise.

use {
    super::{budget_check, key_check, promise_breach::PromiseBreach, run_check, table_check},
    dotterelshore_standins::history::{HistoryLine, read_history},
    std::path::Path,
};

/// Every breach of a promise in a history whose lines are in the order of their times.
pub fn check_history(lines: &[HistoryLine]) -> Vec<PromiseBreach> {
    let mut breaches = Vec::new();
    breaches.extend(budget_check::judge(lines));
    breaches.extend(run_check::judge(lines));
    breaches.extend(key_check::judge(lines));
    breaches.extend(table_check::judge(lines));
    breaches.sort_by_key(|breach| breach.at_us);
    breaches
}

/// Every event written into a folder, in the order of their times.
///
/// # Errors
///
/// The file system's fault.
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
