//! The task that keeps this entry's permits in step with its demand.

use {
    super::{hand_over::pay_debts, permit_desk::PermitWish},
    crate::{
        dispatch::pump_all,
        node::{EntryNode, lock},
        peers,
    },
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        collections::{FastMap, FastSet},
        names::{EntryStamp, TeamName},
        table::TeamRow,
        team::{LEDGER_SHARDS, PermitLedger, ledger_shard},
    },
    dotterelshore_wire::{
        log_event,
        peer_message::{PeerCall, PeerReply, PermitRequest},
        store_client::UpdateDecision,
    },
    std::{sync::Arc, time::Duration},
};

/// How often permits are brought in step when nothing is short.
const BALANCE_PERIOD: Duration = Duration::from_millis(500);
/// Shortest time between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(4);
/// Pause between two rounds while something is short.
const SHORT_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for a peer's permits.
const GIVE_TIMEOUT: Duration = Duration::from_millis(250);

/// A team as the ledger has it.
struct LedgerRow {
    team: TeamName,
    recorded: u32,
    granted: u32,
    ceiling: u32,
}

/// Why a round is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RoundCause {
    /// Somebody waits for want of permits.
    Short,
    /// It is time.
    Periodic,
    /// The table changed: holdings of teams with a lower ceiling are checked.
    TableChanged,
}

/// Starts the permit task.
pub(crate) fn start(node: &Arc<EntryNode>) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let mut interval = node.timer.interval(BALANCE_PERIOD);
        let mut tables = node.tables.subscribe();
        let mut short = false;
        let mut ceilings = FastMap::default();
        loop {
            let cause = tokio::select! {
                () = node.permits.short.notified() => RoundCause::Short,
                () = interval.tick() => RoundCause::Periodic,
                _ = tables.changed() => RoundCause::TableChanged,
                () = tokio::time::sleep(SHORT_PAUSE), if short => RoundCause::Short,
            };
            if node.is_leaving() {
                return;
            }
            pay_debts(&node).await;
            short = balance(&node, cause, &mut ceilings).await;
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    });
}

/// One round: raises what is short, gives back what is spare, asks peers for the rest.
/// Says whether something is still short. `ceilings` are those of the round before.
async fn balance(
    node: &Arc<EntryNode>,
    cause: RoundCause,
    ceilings: &mut FastMap<TeamName, u32>,
) -> bool {
    let table = node.table();
    let periodic = cause != RoundCause::Short;
    let entries = u32::try_from(node.peers.count() + 1).unwrap_or(u32::MAX);
    let mut shards: FastMap<u32, Vec<PermitWish>> = FastMap::default();
    let mut short = Vec::new();
    let waiting = node.desks.useful_waiting();
    let waiting_of = |team: &TeamName| waiting.get(team).copied().unwrap_or_default();
    for row in table.teams.values() {
        let wish = if node.settings.has_fixed_permits() {
            fixed_wish(node, row, entries)
        } else {
            wish(node, row, entries, waiting_of(&row.name), periodic)
        };
        let held = node.permits.counts(&row.name).0;
        let below = wish.wanted > held && (periodic || wish.short);
        let worth = below && node.permits.may_ask_store(&row.name, periodic);
        let before = ceilings.insert(row.name.clone(), row.ceiling);
        let check = held > 0 && before.is_some_and(|before| before > row.ceiling);
        if wish.short {
            short.push(wish.clone());
        }
        if worth || check || wish.surplus > 0 {
            shards
                .entry(ledger_shard(&row.name))
                .or_default()
                .push(wish);
        }
    }
    for (shard, wishes) in shards {
        if let Err(refusal) = balance_shard(node, shard, &wishes).await {
            log_event!(
                Debug,
                "permits-not-balanced",
                shard = shard,
                error = refusal
            );
            for wish in wishes {
                node.permits.note_store_try(&wish.team, false);
            }
        }
    }
    let wants: Vec<PermitRequest> = short
        .iter()
        .filter_map(|wish| still_lacking(node, wish, waiting_of(&wish.team)))
        .collect();
    let lacking = !wants.is_empty();
    if lacking && !node.settings.has_fixed_permits() {
        ask_peers(node, wants).await;
    }
    pump_all(node);
    lacking
}

fn wish(node: &EntryNode, row: &TeamRow, entries: u32, waiting: u32, periodic: bool) -> PermitWish {
    let base = (row.ceiling / (2 * entries)).max(u32::from(row.ceiling >= entries));
    node.permits.wish(row, base, waiting, periodic)
}

/// The baseline: every entry keeps an equal part.
fn fixed_wish(node: &EntryNode, row: &TeamRow, entries: u32) -> PermitWish {
    let part = row.ceiling / entries;
    let held = node.permits.counts(&row.name).0;
    PermitWish {
        team: row.name.clone(),
        ceiling: row.ceiling,
        wanted: part,
        surplus: held.saturating_sub(part),
        short: false,
    }
}

/// Brings this entry's holdings in one ledger record in step with the wishes.
async fn balance_shard(
    node: &Arc<EntryNode>,
    shard: u32,
    wishes: &[PermitWish],
) -> Result<(), Refusal> {
    let _turn = node.permits.ledger_turn.lock().await;
    let mut kept: FastMap<TeamName, u32> = FastMap::default();
    for wish in wishes.iter().filter(|wish| wish.surplus > 0) {
        kept.insert(
            wish.team.clone(),
            node.permits.give_up(&wish.team, wish.surplus),
        );
    }
    // A write that may still take effect is shut out by another write.
    let must_write = lock(&node.permits.doubtful).contains(&shard);
    let result = node
        .store
        .update(
            &format!("permits/{shard:02}"),
            |ledger: Option<PermitLedger>| {
                let before = ledger.unwrap_or_default();
                let mut ledger = before.clone();
                let mut rows = Vec::new();
                for wish in wishes {
                    let recorded = match kept.get(&wish.team) {
                        Some(kept) => {
                            ledger.lower(&wish.team, &node.stamp, *kept);
                            ledger.held(&wish.team, &node.stamp)
                        }
                        None => ledger.raise(&wish.team, &node.stamp, wish.wanted, wish.ceiling),
                    };
                    rows.push(LedgerRow {
                        team: wish.team.clone(),
                        recorded,
                        granted: ledger.granted(&wish.team),
                        ceiling: wish.ceiling,
                    });
                }
                let changed = ledger != before || must_write;
                Ok(if changed {
                    UpdateDecision::Write(ledger, rows)
                } else {
                    UpdateDecision::Keep(rows)
                })
            },
        )
        .await;
    match result {
        Ok(rows) => {
            lock(&node.permits.doubtful).remove(&shard);
            for row in rows {
                if !kept.contains_key(&row.team) {
                    let brought = node.permits.confirm(&row.team, row.recorded);
                    node.metrics.count_permits(brought);
                    node.permits.note_store_try(&row.team, brought > 0);
                }
                node.permits
                    .note_granted(&row.team, row.granted, row.ceiling);
            }
            Ok(())
        }
        Err(refusal) => {
            if refusal.code == ResultCode::StoreUnsure {
                lock(&node.permits.doubtful).insert(shard);
            }
            Err(refusal)
        }
    }
}

/// What a team waits for that the ledger could not give.
fn still_lacking(node: &EntryNode, wish: &PermitWish, waiting: u32) -> Option<PermitRequest> {
    let (held, running) = node.permits.counts(&wish.team);
    let demand = running + waiting;
    let lacking = demand.min(wish.ceiling).saturating_sub(held);
    (lacking > 0).then(|| PermitRequest {
        team: wish.team.clone(),
        lacking,
        held,
        demand,
    })
}

/// Asks the other entries for permits; what they hand over shows in the ledger.
async fn ask_peers(node: &Arc<EntryNode>, mut wants: Vec<PermitRequest>) {
    wants.retain(|want| node.permits.may_ask_peers(&want.team));
    if wants.is_empty() {
        return;
    }
    let mut asked = tokio::task::JoinSet::new();
    for peer in node.peers.names() {
        let node = Arc::clone(node);
        let wants = wants.clone();
        asked.spawn(async move {
            let call = PeerCall::PermitsWanted {
                to: node.stamp.clone(),
                wants,
            };
            peers::call(&node, &peer, call, GIVE_TIMEOUT).await
        });
    }
    let mut given = FastSet::default();
    while let Some(reply) = asked.join_next().await {
        if let Ok(Some(PeerReply::PermitsGiven(teams))) = reply {
            given.extend(teams.into_iter().map(|team| team.team));
        }
    }
    for want in &wants {
        node.permits
            .note_peer_try(&want.team, given.contains(&want.team));
    }
    if !given.is_empty() {
        node.permits.short.notify_one();
    }
}

/// Takes back the permits of a life of an entry that is gone and whose work has ended.
pub(crate) async fn reclaim(node: &EntryNode, gone: &EntryStamp) -> Result<u32, Refusal> {
    let mut freed = 0;
    for shard in 0..LEDGER_SHARDS {
        freed += node
            .store
            .update(
                &format!("permits/{shard:02}"),
                |ledger: Option<PermitLedger>| {
                    let mut ledger = ledger.unwrap_or_default();
                    let freed = ledger.remove_entry(gone);
                    Ok(if freed > 0 {
                        UpdateDecision::Write(ledger, freed)
                    } else {
                        UpdateDecision::Keep(0)
                    })
                },
            )
            .await?;
    }
    Ok(freed)
}

/// Gives back every idle permit, on shutdown.
pub(crate) async fn return_all(node: &Arc<EntryNode>) {
    let mut shards: FastMap<u32, Vec<PermitWish>> = FastMap::default();
    for team in node.permits.holding() {
        let wish = PermitWish {
            ceiling: 0,
            wanted: 0,
            surplus: u32::MAX,
            short: false,
            team,
        };
        shards
            .entry(ledger_shard(&wish.team))
            .or_default()
            .push(wish);
    }
    for (shard, wishes) in shards {
        if let Err(refusal) = balance_shard(node, shard, &wishes).await {
            log_event!(Warn, "permits-not-returned", shard = shard, error = refusal);
        }
    }
}
