//! Table changes: recorded by one compare-and-swap, in force once all live entries confirm them.

use {
    super::{ARCHIVE_PREFIX, LOG_KEY, SNAPSHOT_KEY, table_follow::apply_log},
    crate::node::EntryNode,
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        names::EntryStamp,
        table::{FleetTable, TableChange, TableLog},
    },
    dotterelshore_wire::{
        event_log::unix_millis,
        log_event,
        operator_message::{ApplyRequest, HistoryReport, RevisionStatus},
        platform_message::InstanceLiveness,
        store_client::{UpdateDecision, Versioned},
    },
    std::sync::Arc,
};

/// Records an operator's changes as the next revision, and returns the revision.
///
/// A repeated request with the same token returns the revision already recorded.
///
/// # Errors
///
/// Refuses if the request is based on another revision or its rows are invalid, or if the store
/// fails.
pub(crate) async fn apply(node: &Arc<EntryNode>, request: ApplyRequest) -> Result<u64, Refusal> {
    let log = node.store.get::<TableLog>(LOG_KEY).await?;
    let log = log.map(|log| log.value).unwrap_or_default();
    apply_log(node, &log).await?;
    let change = TableChange {
        revision: request.base_revision + 1,
        token: request.token,
        author: request.author,
        at_ms: unix_millis(),
        rows: request.rows,
    };
    let already_recorded = log
        .changes
        .iter()
        .any(|existing| existing.token == change.token && existing.revision == change.revision);
    if already_recorded {
        return Ok(change.revision);
    }
    let table = node.table();
    if table.revision != request.base_revision {
        let detail = format!("the table is at revision {}; read it again", table.revision);
        return Err(Refusal::not_run(ResultCode::RevisionOutdated, detail));
    }
    table.with_change(&change)?;
    let compacted_revision = if log.is_full() {
        compact(node, &table, &log).await?
    } else {
        0
    };
    let new_log = node
        .store
        .update(LOG_KEY, |log: Option<TableLog>| {
            let mut log = log.unwrap_or_default();
            log.append(change.clone())?;
            log.compact(compacted_revision);
            Ok(UpdateDecision::Write(log.clone(), log))
        })
        .await?;
    log_event!(
        Info,
        "table-recorded",
        revision = change.revision,
        author = change.author,
        rows = change.rows.len()
    );
    apply_log(node, &new_log).await?;
    Ok(change.revision)
}

/// Archives the changes of a full change log, and writes a snapshot of the table.
///
/// Returns the revision up to which the log can then drop its changes.
async fn compact(node: &EntryNode, table: &FleetTable, log: &TableLog) -> Result<u64, Refusal> {
    let archive = format!("{ARCHIVE_PREFIX}{:012}", log.revision);
    node.store
        .update(&archive, |_: Option<Vec<TableChange>>| {
            Ok(UpdateDecision::Write(log.changes.clone(), ()))
        })
        .await?;
    node.store
        .update(SNAPSHOT_KEY, |snapshot: Option<FleetTable>| {
            let newer = snapshot.is_some_and(|snapshot| snapshot.revision >= table.revision);
            Ok(if newer {
                UpdateDecision::Keep(())
            } else {
                UpdateDecision::Write(table.clone(), ())
            })
        })
        .await?;
    Ok(table.revision)
}

/// Reports which live entries have a revision in force.
///
/// An entry is live if the platform lists it or it sent a recent heartbeat, and it is not
/// listed as removed.
pub(crate) fn revision_status(node: &EntryNode, revision: u64) -> RevisionStatus {
    let mut status = RevisionStatus {
        revision,
        awaiting: Vec::new(),
        confirmed: Vec::new(),
    };
    for stamp in expected_entries(node) {
        let in_force = if stamp == node.stamp {
            Some(node.table().revision)
        } else {
            node.members.revision_of(&stamp)
        };
        let entries = if in_force.is_some_and(|in_force| in_force >= revision) {
            &mut status.confirmed
        } else {
            &mut status.awaiting
        };
        entries.push(stamp.name);
    }
    status
}

/// Returns every entry incarnation that may still act, this one included.
pub(crate) fn expected_entries(node: &EntryNode) -> Vec<EntryStamp> {
    let listed = node.fleet.entries();
    let is_removed = |stamp: &EntryStamp| {
        listed
            .iter()
            .any(|(other, liveness)| other == stamp && *liveness == InstanceLiveness::Gone)
    };
    let mut expected: Vec<EntryStamp> = node
        .members
        .live()
        .into_iter()
        .map(|member| member.stamp)
        .collect();
    expected.extend(
        listed
            .iter()
            .filter(|(_, liveness)| *liveness != InstanceLiveness::Gone)
            .map(|(stamp, _)| stamp.clone()),
    );
    expected.push(node.stamp.clone());
    expected.retain(|stamp| !is_removed(stamp));
    expected.sort();
    expected.dedup();
    expected
}

/// Returns the retained changes, archived ones included, sorted by revision.
///
/// # Errors
///
/// Fails if the store can't be read.
pub(crate) async fn history(node: &EntryNode) -> Result<HistoryReport, Refusal> {
    let archived = node.store.list::<Vec<TableChange>>(ARCHIVE_PREFIX).await?;
    let archived_changes = archived
        .records
        .into_iter()
        .filter_map(|(_, changes)| changes);
    let mut changes: Vec<TableChange> = archived_changes
        .flat_map(|changes: Versioned<Vec<TableChange>>| changes.value)
        .collect();
    let log = node.store.get::<TableLog>(LOG_KEY).await?;
    changes.extend(log.map(|log| log.value.changes).unwrap_or_default());
    changes.sort_by_key(|change| change.revision);
    changes.dedup_by_key(|change| change.revision);
    Ok(HistoryReport { changes })
}
