//! Following the newest revision, from the store and from other entries.

use {
    super::{HEAD_KEY, SNAPSHOT_KEY},
    crate::{fleet::pause_and_double, node::EntryNode, peers},
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

/// How long one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// First pause after a watch failed.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
/// How long, in the mean, the store is given to bring a newer table before a peer is asked.
const STORE_FIRST: Duration = Duration::from_secs(1);
/// Longest wait for a peer's table.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the task that follows the store's head.
pub(crate) fn start(node: &Arc<EntryNode>) {
    tokio::spawn(follow_log(Arc::clone(node)));
}

async fn follow_log(node: Arc<EntryNode>) {
    let mut after = 0;
    let mut pause = PAUSE_FIRST;
    loop {
        let read = if after == 0 {
            node.store.list::<TableLog>(HEAD_KEY).await
        } else {
            node.store
                .watch::<TableLog>(HEAD_KEY, after, WATCH_WAIT)
                .await
        };
        match read {
            Ok(list) => {
                let newest = list.records.into_iter().find_map(|(_, log)| log);
                for fault in &list.unreadable {
                    log_event!(Error, "record-unreadable", error = fault);
                }
                let taken = match newest {
                    Some(log) => apply_log(&node, &log.value).await,
                    None => Ok(()),
                };
                if let Err(refusal) = taken {
                    log_event!(Warn, "table-not-taken", error = refusal);
                    pause = pause_and_double(pause).await;
                    continue;
                }
                after = list.revision.max(1);
                pause = PAUSE_FIRST;
                node.confirm_table(Duration::ZERO);
            }
            Err(fault) => {
                log_event!(Debug, "table-watch-failed", error = fault);
                pause = pause_and_double(pause).await;
            }
        }
    }
}

/// Brings the table in force up to the head.
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

/// Asks a peer for its newer table, unless the store brings it first. One such wait is
/// enough at a time.
pub(crate) fn catch_up(node: &Arc<EntryNode>, peer: &EntryName, revision: u64) {
    if node.catching_up.swap(true, Ordering::Relaxed) {
        return;
    }
    let node = Arc::clone(node);
    let peer = peer.clone();
    tokio::spawn(async move {
        tokio::time::sleep(STORE_FIRST.mul_f64(0.5 + rand::random::<f64>())).await;
        if node.table().revision < revision {
            ask_for_table(&node, &peer).await;
        }
        node.catching_up.store(false, Ordering::Relaxed);
    });
}

async fn ask_for_table(node: &Arc<EntryNode>, peer: &EntryName) {
    let call = PeerCall::TableAfter {
        revision: node.table().revision,
    };
    let reply = peers::call(node, peer, call, HAND_OVER_TIMEOUT).await;
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
