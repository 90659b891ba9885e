//! The table in this entry: kept up to date from the store and from peers, and changed.

mod table_change;
mod table_follow;

pub(crate) use {
    table_change::{apply, expected_entries, history, revision_status},
    table_follow::{fetch_from_peer, start},
};

/// Key of the change log, whose write creates a revision.
const LOG_KEY: &str = "table/head";
/// Key of the snapshot: the complete table at an older revision.
const SNAPSHOT_KEY: &str = "table-snapshot/whole";
/// Key prefix of the archived changes, with one record for each compaction of the log.
const ARCHIVE_PREFIX: &str = "table-archive/";
