//! Changing the table: recorded by one compare-and-swap, in force when all confirm.

use {
    super::{ARCHIVE_PREFIX, HEAD_KEY, SNAPSHOT_KEY, table_follow::apply_log},
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

/// Records an operator's changes as the next revision.
pub(crate) async fn apply(node: &Arc<EntryNode>, order: ApplyRequest) -> Result<u64, Refusal> {
    let log = node.store.get::<TableLog>(HEAD_KEY).await?;
    let log = log.map(|log| log.value).unwrap_or_default();
    apply_log(node, &log).await?;
    let change = TableChange {
        revision: order.base_revision + 1,
        token: order.token,
        author: order.author,
        at_ms: unix_millis(),
        rows: order.rows,
    };
    let known = log
        .changes
        .iter()
        .any(|kept| kept.token == change.token && kept.revision == change.revision);
    if known {
        return Ok(change.revision);
    }
    let table = node.table();
    if table.revision != order.base_revision {
        let detail = format!("the table is at revision {}; read it again", table.revision);
        return Err(Refusal::not_run(ResultCode::RevisionOutdated, detail));
    }
    table.with_change(&change)?;
    let folded = if log.is_full() {
        fold(node, &table, &log).await?
    } else {
        0
    };
    let newest = node
        .store
        .update(HEAD_KEY, |log: Option<TableLog>| {
            let mut log = log.unwrap_or_default();
            log.append(change.clone())?;
            log.compact(folded);
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
    apply_log(node, &newest).await?;
    Ok(change.revision)
}

/// Writes the snapshot that lets the head drop its changes; returns its revision.
async fn fold(node: &EntryNode, table: &FleetTable, log: &TableLog) -> Result<u64, Refusal> {
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

/// Which live entries have a revision in force. Live are those that the platform's list
/// shows or that were heard lately, and are not known gone.
pub(crate) fn revision_status(node: &EntryNode, revision: u64) -> RevisionStatus {
    let mut report = RevisionStatus {
        revision,
        awaiting: Vec::new(),
        confirmed: Vec::new(),
    };
    for stamp in expected_entries(node) {
        let has = if stamp == node.stamp {
            Some(node.table().revision)
        } else {
            node.members.revision_of(&stamp)
        };
        let list = if has.is_some_and(|has| has >= revision) {
            &mut report.confirmed
        } else {
            &mut report.awaiting
        };
        list.push(stamp.name);
    }
    report
}

/// Every life of an entry that may still act.
pub(crate) fn expected_entries(node: &EntryNode) -> Vec<EntryStamp> {
    let listed = node.fleet.entries();
    let gone = |stamp: &EntryStamp| {
        listed
            .iter()
            .any(|(other, life)| other == stamp && *life == InstanceLiveness::Gone)
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
            .filter(|(_, life)| *life != InstanceLiveness::Gone)
            .map(|(stamp, _)| stamp.clone()),
    );
    expected.push(node.stamp.clone());
    expected.retain(|stamp| !gone(stamp));
    expected.sort();
    expected.dedup();
    expected
}

/// The changes still kept.
pub(crate) async fn history(node: &EntryNode) -> Result<HistoryReport, Refusal> {
    let archived = node.store.list::<Vec<TableChange>>(ARCHIVE_PREFIX).await?;
    let kept = archived
        .records
        .into_iter()
        .filter_map(|(_, changes)| changes);
    let mut changes: Vec<TableChange> = kept
        .flat_map(|changes: Versioned<Vec<TableChange>>| changes.value)
        .collect();
    let log = node.store.get::<TableLog>(HEAD_KEY).await?;
    changes.extend(log.map(|log| log.value.changes).unwrap_or_default());
    changes.sort_by_key(|change| change.revision);
    changes.dedup_by_key(|change| change.revision);
    Ok(HistoryReport { changes })
}
