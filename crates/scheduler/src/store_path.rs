//! The path by which an entry reaches the store: directly, through another entry, or not at all.

use {
    crate::{
        entry_row::{EntryRow, parse_entry_row},
        node::{SchedulerNode, uptime_ms},
        peers::query_store_access,
        store::{ENTRY_PREFIX, OWNER_KEY},
    },
    dotterelshore_domain::names::CentreName,
    dotterelshore_platform::{KvFault, KvTransaction},
    dotterelshore_wire::{log_event, timer_hub::jittered_pause},
    rand::seq::SliceRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::task::JoinSet,
};

/// Time between probes of an unreachable store.
const RECOVERY_PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Time between probes of a reachable store: a third of the time in which the platform's balancer
/// detects an entry that is not ready.
const PROBE_PERIOD: Duration = Duration::from_millis(700);
/// Longest time for the answer to a probe; twice its latency when the store is slow.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of entries that one query asks whether they reach the store.
const ENTRIES_PER_QUERY: usize = 4;
/// Number of entries asked in a row without an answer after which this one counts as cut off.
/// One or two entries may have been removed for good.
const UNANSWERED_MAX: usize = 3;
/// Delay of the first read of the other entries' rows: all entries start within a second.
const FIRST_READ_DELAY: Duration = Duration::from_secs(3);
/// Lease of an entry's own row; the platform's maximum.
const ROW_LEASE: Duration = Duration::from_secs(600);
/// Time between writes of the own row: under half of its lease, so that one may fail.
const ROW_RENEW_PERIOD: Duration = Duration::from_secs(240);
/// Time between reads of the other entries' rows. Entries start and stop within minutes.
const ROWS_READ_PERIOD: Duration = Duration::from_secs(15);

/// The path by which the store is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StorePath {
    /// The store answers this entry, or no other path is known yet.
    Direct,
    /// The store does not answer this entry but answers the one at this address.
    Through(SocketAddr),
    /// The store answers none of the entries that were asked.
    Outage,
    /// Neither the store nor any other entry that was asked answers.
    CutOff,
}

/// Summary of the entries' replies on whether they reach the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct PeerReplies {
    asked: usize,
    relay: Option<SocketAddr>,
    answered: usize,
}

impl PeerReplies {
    /// Returns the store path by these replies; `None` if more are needed. `unanswered` counts the
    /// entries asked since one last answered.
    fn path(&self, unanswered: usize) -> Option<StorePath> {
        match self.relay {
            Some(address) => Some(StorePath::Through(address)),
            None if self.answered > 0 || self.asked == 0 => Some(StorePath::Outage),
            None => (unanswered >= UNANSWERED_MAX).then_some(StorePath::CutOff),
        }
    }
}

/// Starts the tasks that renew this entry's row, read the others' and probe the store.
pub(crate) fn start(node: &Arc<SchedulerNode>) {
    let (rows_sender, rows) = tokio::sync::watch::channel(Vec::new());
    tokio::spawn(renew_entry_row(Arc::clone(node)));
    tokio::spawn(read_entry_rows(Arc::clone(node), rows_sender));
    tokio::spawn(find_store_path(Arc::clone(node), rows));
}

async fn renew_entry_row(node: Arc<SchedulerNode>) {
    let row = EntryRow::of_settings(&node.settings);
    let Ok(value) = serde_json::to_vec(&row) else {
        log_event!(Error, "entry-row-not-encoded");
        return;
    };
    let key = format!("{ENTRY_PREFIX}{}", node.settings.name);
    loop {
        let pause = match write_row(&node, &key, &value).await {
            Ok(()) => ROW_RENEW_PERIOD,
            Err(fault) => {
                log_event!(Info, "entry-row-not-written", error = fault);
                ROWS_READ_PERIOD
            }
        };
        tokio::time::sleep(jittered_pause(pause)).await;
    }
}

async fn write_row(node: &SchedulerNode, key: &str, value: &[u8]) -> Result<(), KvFault> {
    let (lease, _) = node.kv.create_lease(ROW_LEASE).await?;
    let transaction = KvTransaction::default().write(key, value, lease);
    node.kv.commit(&transaction).await.map(|_| ())
}

async fn read_entry_rows(
    node: Arc<SchedulerNode>,
    rows_sender: tokio::sync::watch::Sender<Vec<EntryRow>>,
) {
    let mut pause = FIRST_READ_DELAY;
    loop {
        tokio::time::sleep(jittered_pause(pause)).await;
        pause = ROWS_READ_PERIOD;
        match node.kv.read_all(ENTRY_PREFIX).await {
            Ok(page) => {
                let others = page.rows.iter().filter_map(parse_entry_row);
                let others = others.filter(|row| row.address != node.settings.peers);
                rows_sender.send_replace(others.collect());
            }
            Err(fault) => log_event!(Debug, "entries-not-read", error = fault),
        }
    }
}

/// Probes the store. While it is unreachable, also asks other entries whether they reach it.
async fn find_store_path(
    node: Arc<SchedulerNode>,
    rows: tokio::sync::watch::Receiver<Vec<EntryRow>>,
) {
    loop {
        tokio::select! {
            () = node.store_lost.notified() => {}
            () = tokio::time::sleep(jittered_pause(PROBE_PERIOD)) => {
                if probe_store(&node).await {
                    continue;
                }
                node.mark_store_unreachable();
            }
        }
        let mut unanswered = 0;
        while node.is_store_unreachable() {
            let addresses = match node.store_path() {
                StorePath::Through(address) if unanswered == 0 => vec![address],
                _ => choose_entries(&rows.borrow(), &node.settings.centre),
            };
            let query = async {
                let replies = query_entries(addresses).await;
                unanswered = if replies.answered > 0 {
                    0
                } else {
                    unanswered + replies.asked
                };
                if let Some(path) = replies
                    .path(unanswered)
                    .filter(|_| node.is_store_unreachable())
                {
                    node.set_store_path(path);
                }
            };
            let probe = async {
                tokio::time::sleep(jittered_pause(RECOVERY_PROBE_PERIOD)).await;
                let sent_ms = uptime_ms();
                if probe_store(&node).await {
                    node.mark_store_reachable(sent_ms);
                } else {
                    node.metrics.count_retry("store-probe");
                }
            };
            tokio::join!(query, probe);
        }
    }
}

/// Whether the store answers a cheap read.
async fn probe_store(node: &SchedulerNode) -> bool {
    let answer = tokio::time::timeout(PROBE_TIMEOUT, node.kv.read_stale(OWNER_KEY));
    matches!(answer.await, Ok(Ok(_) | Err(KvFault::KeyNotFound)))
}

/// Chooses entries to ask at random, of other data centres if there are any: a data centre that
/// is cut off is so with all of its entries.
fn choose_entries(rows: &[EntryRow], own_centre: &CentreName) -> Vec<SocketAddr> {
    let (mut same_centre, mut other_centres): (Vec<_>, Vec<_>) =
        rows.iter().partition(|row| row.centre == *own_centre);
    if other_centres.is_empty() {
        std::mem::swap(&mut same_centre, &mut other_centres);
    }
    other_centres.shuffle(&mut rand::rng());
    let chosen = other_centres.iter().take(ENTRIES_PER_QUERY);
    chosen.map(|row| row.address).collect()
}

async fn query_entries(addresses: Vec<SocketAddr>) -> PeerReplies {
    let mut replies = PeerReplies {
        asked: addresses.len(),
        ..PeerReplies::default()
    };
    let mut calls = JoinSet::new();
    for address in addresses {
        calls.spawn(async move { (address, query_store_access(address).await) });
    }
    while let Some(answered) = calls.join_next().await {
        match answered {
            Ok((address, Some(is_reachable))) => {
                replies.answered += 1;
                if is_reachable {
                    replies.relay = Some(address);
                    break;
                }
            }
            Ok((_, None)) => {}
            Err(error) => log_event!(Error, "peer-call-aborted", error = error),
        }
    }
    replies
}
