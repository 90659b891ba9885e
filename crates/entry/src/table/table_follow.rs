//! Keeps the table up to date, from the store and from other entries.

use {
    super::{LOG_KEY, SNAPSHOT_KEY},
    crate::{fleet::sleep_and_double, node::EntryNode, peers},
    dotterelshore_domain::{
        codes::Refusal,
        names::EntryName,
        table::{FleetTable, TableLog},
    },
    dotterelshore_wire::{
        log_event,
        peer_message::{PeerCall, PeerReply},
        store_client::StoreFault,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Longest wait of one watch call for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Initial pause after a failed watch.
const PAUSE_INITIAL: Duration = Duration::from_millis(100);
/// Mean delay before a newer table is requested from a peer, so that the store can deliver it
/// first.
const PEER_TABLE_DELAY: Duration = Duration::from_secs(1);
/// Timeout of a request for a peer's table.
const PEER_TABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the task that watches the change log in the store.
pub(crate) fn start(node: &Arc<EntryNode>) {
    tokio::spawn(follow_log(Arc::clone(node)));
}

async fn follow_log(node: Arc<EntryNode>) {
    let mut after = 0;
    let mut pause = PAUSE_INITIAL;
    loop {
        let read = if after == 0 {
            node.store.list::<TableLog>(LOG_KEY).await
        } else {
            node.store
                .watch::<TableLog>(LOG_KEY, after, WATCH_WAIT)
                .await
        };
        match read {
            Ok(list) => {
                let log = list.records.into_iter().find_map(|(_, log)| log);
                for fault in &list.unreadable {
                    log_event!(Error, "record-unreadable", error = fault);
                }
                let applied = match log {
                    Some(log) => apply_log(&node, &log.value).await,
                    None => Ok(()),
                };
                if let Err(refusal) = applied {
                    log_event!(Warn, "table-update-failed", error = refusal);
                    pause = sleep_and_double(pause).await;
                    continue;
                }
                after = list.revision.max(1);
                pause = PAUSE_INITIAL;
                node.confirm_table(Duration::ZERO);
            }
            Err(fault) => {
                log_event!(Debug, "table-watch-failed", error = fault);
                pause = sleep_and_double(pause).await;
            }
        }
    }
}

/// Updates the table in force to the revision of the log, unless it already is as new.
///
/// # Errors
///
/// Fails if a change can't be applied, or if the log has dropped changes that the table in
/// force lacks and no usable snapshot can be read.
pub(super) async fn apply_log(node: &Arc<EntryNode>, log: &TableLog) -> Result<(), Refusal> {
    if log.revision <= node.table().revision {
        return Ok(());
    }
    let table = match log.replay(&node.table())? {
        Some(table) => table,
        None => from_snapshot(node, log).await?,
    };
    let revision = table.revision;
    if node.adopt_table(table) {
        log_event!(
            Info,
            "table-in-force",
            entry = node.stamp.name,
            revision = revision,
            from = "store"
        );
    }
    Ok(())
}

async fn from_snapshot(node: &EntryNode, log: &TableLog) -> Result<FleetTable, Refusal> {
    let snapshot = node.store.get::<FleetTable>(SNAPSHOT_KEY).await?;
    let missing = || StoreFault::Unreadable {
        key: SNAPSHOT_KEY.to_owned(),
        detail: "it is older than the head".to_owned(),
    };
    let snapshot = snapshot.ok_or_else(missing)?.value;
    Ok(log.replay(&snapshot)?.ok_or_else(missing)?)
}

/// Requests a newer table from a peer, unless the store delivers it first.
///
/// Only one such request is pending at a time.
pub(crate) fn fetch_from_peer(node: &Arc<EntryNode>, peer: &EntryName, revision: u64) {
    if node.fetching_from_peer.swap(true, Ordering::Relaxed) {
        return;
    }
    let node = Arc::clone(node);
    let peer = peer.clone();
    tokio::spawn(async move {
        tokio::time::sleep(PEER_TABLE_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
        if node.table().revision < revision {
            request_table(&node, &peer).await;
        }
        node.fetching_from_peer.store(false, Ordering::Relaxed);
    });
}

async fn request_table(node: &Arc<EntryNode>, peer: &EntryName) {
    let call = PeerCall::TableAfter {
        revision: node.table().revision,
    };
    let reply = peers::call(node, peer, call, PEER_TABLE_TIMEOUT).await;
    let Some(PeerReply::Table(table)) = reply else {
        return;
    };
    let revision = table.revision;
    if node.adopt_table(*table) {
        log_event!(
            Info,
            "table-in-force",
            entry = node.stamp.name,
            revision = revision,
            from = peer
        );
    }
}
