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
        collections::FastMap,
        names::{EntryStamp, TeamName},
        table::TeamRow,
        team::{LEDGER_SHARDS, PermitLedger, ledger_shard},
    },
    dotterelshore_wire::{
        log_event,
        peer_message::{PeerCall, PeerReply, TeamDemand},
        store_link::UpdateStep,
    },
    std::{sync::Arc, time::Duration},
};

/// How often permits are brought in step when nothing is short.
const BALANCE_PERIOD: Duration = Duration::from_millis(500);
/// Shortest time between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(4);
/// Longest wait for a peer's permits.
const GIVE_TIMEOUT: Duration = Duration::from_millis(800);

/// Starts the permit task.
pub(crate) fn start(node: &Arc<EntryNode>) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let mut feed = node.timer.every(BALANCE_PERIOD);
        let mut tables = node.tables.subscribe();
        loop {
            let periodic = tokio::select! {
                () = node.permits.short.notified() => false,
                () = feed.next() => true,
                _ = tables.changed() => true,
            };
            if node.is_leaving() {
                return;
            }
            pay_debts(&node).await;
            balance(&node, periodic).await;
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    });
}

/// One round: raises what is short, gives back what is spare, asks peers for the rest.
async fn balance(node: &Arc<EntryNode>, periodic: bool) {
    let table = node.table();
    let entries = u32::try_from(node.peers.count() + 1).unwrap_or(u32::MAX);
    let mut shards: FastMap<u32, Vec<PermitWish>> = FastMap::default();
    for row in table.teams.values() {
        let wish = if node.settings.fixed_permits {
            fixed_wish(node, row, entries)
        } else {
            wish(node, row, entries, periodic)
        };
        let held = node.permits.counts(&row.name).0;
        let below =
            wish.wanted > held && (periodic || wish.short) && node.permits.may_try(&row.name);
        if below || wish.surplus > 0 {
            shards
                .entry(ledger_shard(&row.name))
                .or_default()
                .push(wish);
        }
    }
    let mut lacking = Vec::new();
    for (shard, wishes) in shards {
        match balance_shard(node, shard, &wishes).await {
            Ok(()) => lacking.extend(
                wishes
                    .into_iter()
                    .filter_map(|wish| still_lacking(node, wish)),
            ),
            Err(refusal) => {
                log_event!(
                    Debug,
                    "permits-not-balanced",
                    shard = shard,
                    error = refusal
                );
                for wish in wishes {
                    node.permits.note_try(&wish.team, false);
                }
            }
        }
    }
    if !lacking.is_empty() && !node.settings.fixed_permits {
        ask_peers(node, lacking).await;
    }
    pump_all(node);
}

fn wish(node: &EntryNode, row: &TeamRow, entries: u32, periodic: bool) -> PermitWish {
    let base = (row.ceiling / (2 * entries)).max(u32::from(row.ceiling >= entries));
    node.permits
        .wish(row, base, node.desks.waiting_of(&row.name), periodic)
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
                let mut held = Vec::new();
                for wish in wishes {
                    let reached = match kept.get(&wish.team) {
                        Some(kept) => {
                            ledger.lower(&wish.team, &node.stamp, *kept);
                            ledger.held(&wish.team, &node.stamp)
                        }
                        None => ledger.raise(&wish.team, &node.stamp, wish.wanted, wish.ceiling),
                    };
                    held.push((wish.team.clone(), reached));
                }
                let changed = ledger != before || must_write;
                Ok(if changed {
                    UpdateStep::Write(ledger, held)
                } else {
                    UpdateStep::Keep(held)
                })
            },
        )
        .await;
    match result {
        Ok(held) => {
            lock(&node.permits.doubtful).remove(&shard);
            for (team, recorded) in held
                .into_iter()
                .filter(|(team, _)| !kept.contains_key(team))
            {
                let brought = node.permits.confirm(&team, recorded);
                node.metrics.count_permits(brought);
                node.permits.note_try(&team, brought > 0);
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
fn still_lacking(node: &EntryNode, wish: PermitWish) -> Option<TeamDemand> {
    let (held, running) = node.permits.counts(&wish.team);
    let demand = running + node.desks.waiting_of(&wish.team);
    let lacking = demand.min(wish.ceiling).saturating_sub(held);
    (wish.short && lacking > 0).then_some(TeamDemand {
        team: wish.team,
        demand: lacking,
    })
}

/// Asks the other entries for permits; what they hand over shows in the ledger.
async fn ask_peers(node: &Arc<EntryNode>, lacking: Vec<TeamDemand>) {
    let peers = node.peers.names();
    let share = u32::try_from(peers.len().max(1)).unwrap_or(u32::MAX);
    let parts: Vec<TeamDemand> = lacking
        .into_iter()
        .map(|wish| TeamDemand {
            team: wish.team,
            demand: wish.demand.div_ceil(share),
        })
        .collect();
    let mut asked = tokio::task::JoinSet::new();
    for peer in peers {
        let node = Arc::clone(node);
        let teams = parts.clone();
        asked.spawn(async move {
            let call = PeerCall::PermitsWanted {
                to: node.stamp.clone(),
                teams,
            };
            peers::call(&node, &peer, call, GIVE_TIMEOUT).await
        });
    }
    let mut moved = false;
    while let Some(reply) = asked.join_next().await {
        moved |= matches!(reply, Ok(Some(PeerReply::PermitsGiven(given))) if !given.is_empty());
    }
    if moved {
        for part in parts {
            node.permits.note_try(&part.team, true);
        }
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
                    let freed = ledger.forget(gone);
                    Ok(if freed > 0 {
                        UpdateStep::Write(ledger, freed)
                    } else {
                        UpdateStep::Keep(0)
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
