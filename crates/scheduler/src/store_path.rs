//! By which way an entry reaches the store: directly, through another entry, or not at all.

use {
    crate::{
        node::SchedulerNode,
        peers::hears_store,
        store::{ENTRY_PREFIX, OWNER_KEY},
    },
    dotterelshore_domain::names::CentreName,
    dotterelshore_platform::{KeyRow, KvFault, KvTransaction},
    dotterelshore_wire::{log_event, timer_hub::jittered_pause},
    rand::seq::SliceRandom,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::task::JoinSet,
};

/// Pause between looks for the store's return.
const PROBE_PAUSE: Duration = Duration::from_millis(250);
/// Time between looks at a store that answers: a third of what the platform's balancer takes
/// to notice an entry that is not ready.
const LOOK_PERIOD: Duration = Duration::from_millis(700);
/// Longest time for the answer to such a look; twice its answer when the store is slow.
const LOOK_TIMEOUT: Duration = Duration::from_millis(500);
/// Entries that are asked at once for a way round.
const ASKED_AT_ONCE: usize = 4;
/// Entries that stayed silent after which this one counts as cut off. One or two may be gone
/// for good.
const SILENT_MAX: usize = 3;
/// Time before the other entries' rows are read first: all of them start within a second.
const FIRST_ROLL: Duration = Duration::from_secs(3);
/// How long an entry's own row lasts without a renewal; the platform's longest.
const ROW_LEASE: Duration = Duration::from_secs(600);
/// Time between writings of the own row. Under half of its lease, so that one may fail.
const ROW_PERIOD: Duration = Duration::from_secs(240);
/// Time between readings of the other entries' rows. Entries come and go within minutes.
const ROLL_PERIOD: Duration = Duration::from_secs(15);

/// By which way the store is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StorePath {
    /// It answers here, or nothing else is known yet.
    Direct,
    /// It turns this entry away and answers the one at this address.
    Through(SocketAddr),
    /// It answers no entry that was asked.
    Outage,
    /// Neither the store nor any other entry that was asked answers.
    CutOff,
}

/// An entry's row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EntryRow {
    /// Where it answers other entries.
    address: SocketAddr,
    /// Its data centre.
    centre: CentreName,
}

/// What the entries that were asked said of the store, with those that did not answer left out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct PeerWords {
    asked: usize,
    hearing: Option<SocketAddr>,
    answered: usize,
}

impl PeerWords {
    /// The way that follows, with so many entries asked since one heard the store.
    fn path(&self, silent: usize) -> Option<StorePath> {
        match self.hearing {
            Some(address) => Some(StorePath::Through(address)),
            None if self.answered > 0 || self.asked == 0 => Some(StorePath::Outage),
            None => (silent >= SILENT_MAX).then_some(StorePath::CutOff),
        }
    }
}

/// Starts the tasks that keep this entry's row and look for a way when the store is lost.
pub(crate) fn start(node: &Arc<SchedulerNode>) {
    let (rows, known) = tokio::sync::watch::channel(Vec::new());
    tokio::spawn(keep_row(Arc::clone(node)));
    tokio::spawn(read_roll(Arc::clone(node), rows));
    tokio::spawn(find_way(Arc::clone(node), known));
}

async fn keep_row(node: Arc<SchedulerNode>) {
    let row = EntryRow {
        address: node.settings.peers,
        centre: node.settings.centre.clone(),
    };
    let Ok(value) = serde_json::to_vec(&row) else {
        log_event!(Error, "entry-row-not-encoded");
        return;
    };
    let key = format!("{ENTRY_PREFIX}{}", node.settings.name);
    loop {
        let pause = match write_row(&node, &key, &value).await {
            Ok(()) => ROW_PERIOD,
            Err(fault) => {
                log_event!(Info, "entry-row-not-written", error = fault);
                ROLL_PERIOD
            }
        };
        tokio::time::sleep(jittered_pause(pause)).await;
    }
}

async fn write_row(node: &SchedulerNode, key: &str, value: &[u8]) -> Result<(), KvFault> {
    let (lease, _) = node.kv.create_lease(ROW_LEASE).await?;
    let write = KvTransaction::default().write(key, value, lease);
    node.kv.commit(&write).await.map(|_| ())
}

async fn read_roll(node: Arc<SchedulerNode>, rows: tokio::sync::watch::Sender<Vec<EntryRow>>) {
    let mut pause = FIRST_ROLL;
    loop {
        tokio::time::sleep(jittered_pause(pause)).await;
        pause = ROLL_PERIOD;
        match node.kv.read_all(ENTRY_PREFIX).await {
            Ok(page) => {
                let others = page.rows.iter().filter_map(read_row);
                let others = others.filter(|row| row.address != node.settings.peers);
                rows.send_replace(others.collect());
            }
            Err(fault) => log_event!(Debug, "entries-not-read", error = fault),
        }
    }
}

fn read_row(row: &KeyRow) -> Option<EntryRow> {
    serde_json::from_slice(&row.value)
        .inspect_err(|error| log_event!(Warn, "entry-unreadable", key = row.key, error = error))
        .ok()
}

/// Looks whether the store answers; once it does not, for its return and for a way round.
async fn find_way(node: Arc<SchedulerNode>, known: tokio::sync::watch::Receiver<Vec<EntryRow>>) {
    loop {
        tokio::select! {
            () = node.store_missed.notified() => {}
            () = tokio::time::sleep(jittered_pause(LOOK_PERIOD)) => {
                if store_answers(&node).await {
                    continue;
                }
                node.missed_store();
            }
        }
        let mut silent = 0;
        while node.store_is_away() {
            let some = match node.store_path() {
                StorePath::Through(address) if silent == 0 => vec![address],
                _ => some_entries(&known.borrow(), &node.settings.centre),
            };
            let ask = async {
                let words = ask_entries(some).await;
                silent = if words.answered > 0 {
                    0
                } else {
                    silent + words.asked
                };
                if let Some(path) = words.path(silent).filter(|_| node.store_is_away()) {
                    node.take_path(path);
                }
            };
            let look = async {
                tokio::time::sleep(jittered_pause(PROBE_PAUSE)).await;
                if store_answers(&node).await {
                    node.heard_store();
                } else {
                    node.metrics.count_retry("store-probe");
                }
            };
            tokio::join!(ask, look);
        }
    }
}

async fn store_answers(node: &SchedulerNode) -> bool {
    let look = tokio::time::timeout(LOOK_TIMEOUT, node.kv.read_stale(OWNER_KEY));
    matches!(look.await, Ok(Ok(_) | Err(KvFault::KeyNotFound)))
}

/// Some entries to ask: of other data centres first, since one that is cut off is so with all
/// of its entries.
fn some_entries(rows: &[EntryRow], own: &CentreName) -> Vec<SocketAddr> {
    let (mut near, mut far): (Vec<_>, Vec<_>) = rows.iter().partition(|row| row.centre == *own);
    if far.is_empty() {
        std::mem::swap(&mut near, &mut far);
    }
    far.shuffle(&mut rand::rng());
    let asked = far.iter().take(ASKED_AT_ONCE);
    asked.map(|row| row.address).collect()
}

async fn ask_entries(addresses: Vec<SocketAddr>) -> PeerWords {
    let mut words = PeerWords {
        asked: addresses.len(),
        ..PeerWords::default()
    };
    let mut calls = JoinSet::new();
    for address in addresses {
        calls.spawn(async move { (address, hears_store(address).await) });
    }
    while let Some(answered) = calls.join_next().await {
        match answered {
            Ok((address, Some(heard))) => {
                words.answered += 1;
                if heard {
                    words.hearing = Some(address);
                    break;
                }
            }
            Ok((_, None)) => {}
            Err(error) => log_event!(Error, "peer-call-ended", error = error),
        }
    }
    words
}
