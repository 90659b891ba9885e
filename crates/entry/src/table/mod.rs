//! The table in this entry: followed, handed on, changed.

mod table_change;
mod table_follow;

pub(crate) use {
    table_change::{apply, expected_entries, history, revision_status},
    table_follow::{catch_up, start},
};

/// The record whose write makes a revision.
const HEAD_KEY: &str = "table/head";
/// The record of a whole table at an older revision.
const SNAPSHOT_KEY: &str = "table-snapshot/whole";
/// Older changes, a record for each fold.
const ARCHIVE_PREFIX: &str = "table-archive/";
