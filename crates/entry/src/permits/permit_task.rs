//! The task that balances this entry's permits with its demand.

use {
    super::{permit_registry::PermitPlan, permit_transfer::pay_debts},
    crate::{
        dispatch::grant_all_slots,
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

/// Interval between rounds while no team is short of permits.
const BALANCE_PERIOD: Duration = Duration::from_millis(500);
/// Shortest time between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(4);
/// Pause between two rounds while a team is short of permits.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for a peer's answer to a request for permits.
const PEER_PERMITS_TIMEOUT: Duration = Duration::from_millis(250);

/// A team's state in the ledger: permits recorded for this entry, and granted in total.
struct LedgerRow {
    team: TeamName,
    recorded: u32,
    granted: u32,
    ceiling: u32,
}

/// What started a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RoundCause {
    /// Work waits because a team is short of permits.
    Shortage,
    /// The periodic timer elapsed.
    Periodic,
    /// The table changed; permits of teams with a lowered ceiling are checked.
    TableChanged,
}

/// Starts the task that balances permits.
pub(crate) fn start(node: &Arc<EntryNode>) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let mut interval = node.timer.interval(BALANCE_PERIOD);
        let mut tables = node.tables.subscribe();
        let mut shortage = false;
        let mut ceilings = FastMap::default();
        loop {
            let cause = tokio::select! {
                () = node.permits.shortage.notified() => RoundCause::Shortage,
                () = interval.tick() => RoundCause::Periodic,
                _ = tables.changed() => RoundCause::TableChanged,
                () = tokio::time::sleep(SHORTAGE_PAUSE), if shortage => RoundCause::Shortage,
            };
            if node.is_shutting_down() {
                return;
            }
            pay_debts(&node).await;
            shortage = balance(&node, cause, &mut ceilings).await;
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    });
}

/// Runs one round: raises short teams, gives back surplus, and requests the rest from peers.
///
/// Returns whether a team is still short. `ceilings` holds the ceilings of the previous round.
async fn balance(
    node: &Arc<EntryNode>,
    cause: RoundCause,
    ceilings: &mut FastMap<TeamName, u32>,
) -> bool {
    let table = node.table();
    let periodic = cause != RoundCause::Shortage;
    let entries = u32::try_from(node.peers.count() + 1).unwrap_or(u32::MAX);
    let mut shards: FastMap<u32, Vec<PermitPlan>> = FastMap::default();
    let mut short_plans = Vec::new();
    let waiting = node.schedulers.waiting_within_share();
    let waiting_of = |team: &TeamName| waiting.get(team).copied().unwrap_or_default();
    for row in table.teams.values() {
        let plan = if node.settings.has_fixed_permits() {
            fixed_plan(node, row, entries)
        } else {
            plan(node, row, entries, waiting_of(&row.name), periodic)
        };
        let held = node.permits.counts(&row.name).0;
        let needs_more = plan.desired > held && (periodic || plan.shortage);
        let ask_ledger = needs_more && node.permits.should_ask_ledger(&row.name, periodic);
        let previous = ceilings.insert(row.name.clone(), row.ceiling);
        let check_ledger = held > 0 && previous.is_some_and(|previous| previous > row.ceiling);
        if plan.shortage {
            short_plans.push(plan.clone());
        }
        if ask_ledger || check_ledger || plan.surplus > 0 {
            shards
                .entry(ledger_shard(&row.name))
                .or_default()
                .push(plan);
        }
    }
    for (shard, plans) in shards {
        if let Err(refusal) = balance_shard(node, shard, &plans).await {
            log_event!(
                Debug,
                "permit-balance-failed",
                shard = shard,
                error = refusal
            );
            for plan in plans {
                node.permits.record_ledger_result(&plan.team, false);
            }
        }
    }
    let requests: Vec<PermitRequest> = short_plans
        .iter()
        .filter_map(|plan| unmet_request(node, plan, waiting_of(&plan.team)))
        .collect();
    let still_short = !requests.is_empty();
    if still_short && !node.settings.has_fixed_permits() {
        request_from_peers(node, requests).await;
    }
    grant_all_slots(node);
    still_short
}

fn plan(node: &EntryNode, row: &TeamRow, entries: u32, waiting: u32, periodic: bool) -> PermitPlan {
    let base = (row.ceiling / (2 * entries)).max(u32::from(row.ceiling >= entries));
    node.permits.plan(row, base, waiting, periodic)
}

/// Plans the fixed split, the baseline: an equal share of the ceiling for every entry.
fn fixed_plan(node: &EntryNode, row: &TeamRow, entries: u32) -> PermitPlan {
    let share = row.ceiling / entries;
    let held = node.permits.counts(&row.name).0;
    PermitPlan {
        team: row.name.clone(),
        ceiling: row.ceiling,
        desired: share,
        surplus: held.saturating_sub(share),
        shortage: false,
    }
}

/// Applies plans to one ledger shard and to the permits held here.
async fn balance_shard(
    node: &Arc<EntryNode>,
    shard: u32,
    plans: &[PermitPlan],
) -> Result<(), Refusal> {
    let _guard = node.permits.ledger_lock.lock().await;
    let mut held_after: FastMap<TeamName, u32> = FastMap::default();
    for plan in plans.iter().filter(|plan| plan.surplus > 0) {
        held_after.insert(
            plan.team.clone(),
            node.permits.release_idle(&plan.team, plan.surplus),
        );
    }
    // Another write ensures that an earlier unconfirmed write can no longer take effect.
    let must_write = lock(&node.permits.unconfirmed_shards).contains(&shard);
    let result = node
        .store
        .update(
            &format!("permits/{shard:02}"),
            |ledger: Option<PermitLedger>| {
                let before = ledger.unwrap_or_default();
                let mut ledger = before.clone();
                let mut rows = Vec::new();
                for plan in plans {
                    let recorded = match held_after.get(&plan.team) {
                        Some(held_after) => {
                            ledger.lower(&plan.team, &node.stamp, *held_after);
                            ledger.held(&plan.team, &node.stamp)
                        }
                        None => ledger.raise(&plan.team, &node.stamp, plan.desired, plan.ceiling),
                    };
                    rows.push(LedgerRow {
                        team: plan.team.clone(),
                        recorded,
                        granted: ledger.granted(&plan.team),
                        ceiling: plan.ceiling,
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
            lock(&node.permits.unconfirmed_shards).remove(&shard);
            for row in rows {
                if !held_after.contains_key(&row.team) {
                    let gained = node.permits.confirm(&row.team, row.recorded);
                    node.metrics.count_permits(gained);
                    node.permits.record_ledger_result(&row.team, gained > 0);
                }
                node.permits
                    .record_granted(&row.team, row.granted, row.ceiling);
            }
            Ok(())
        }
        Err(refusal) => {
            if refusal.code == ResultCode::StoreUnsure {
                lock(&node.permits.unconfirmed_shards).insert(shard);
            }
            Err(refusal)
        }
    }
}

/// Returns the request for the permits that a team needs and the ledger could not give.
fn unmet_request(node: &EntryNode, plan: &PermitPlan, waiting: u32) -> Option<PermitRequest> {
    let (held, running) = node.permits.counts(&plan.team);
    let demand = running + waiting;
    let lacking = demand.min(plan.ceiling).saturating_sub(held);
    (lacking > 0).then(|| PermitRequest {
        team: plan.team.clone(),
        lacking,
        held,
        demand,
    })
}

/// Requests permits from all peers; the ledger then shows what they transferred.
async fn request_from_peers(node: &Arc<EntryNode>, mut requests: Vec<PermitRequest>) {
    requests.retain(|request| node.permits.should_ask_peers(&request.team));
    if requests.is_empty() {
        return;
    }
    let mut calls = tokio::task::JoinSet::new();
    for peer in node.peers.names() {
        let node = Arc::clone(node);
        let requests = requests.clone();
        calls.spawn(async move {
            let call = PeerCall::PermitsWanted {
                to: node.stamp.clone(),
                wants: requests,
            };
            peers::call(&node, &peer, call, PEER_PERMITS_TIMEOUT).await
        });
    }
    let mut given_teams = FastSet::default();
    while let Some(reply) = calls.join_next().await {
        if let Ok(Some(PeerReply::PermitsGiven(teams))) = reply {
            given_teams.extend(teams.into_iter().map(|demand| demand.team));
        }
    }
    for request in &requests {
        node.permits
            .record_peer_reply(&request.team, given_teams.contains(&request.team));
    }
    if !given_teams.is_empty() {
        node.permits.shortage.notify_one();
    }
}

/// Frees the permits of a removed entry incarnation whose runs have ended.
///
/// Returns the number of permits freed.
///
/// # Errors
///
/// Fails if a shard of the ledger can't be written.
pub(crate) async fn reclaim(node: &EntryNode, removed: &EntryStamp) -> Result<u32, Refusal> {
    let mut freed = 0;
    for shard in 0..LEDGER_SHARDS {
        freed += node
            .store
            .update(
                &format!("permits/{shard:02}"),
                |ledger: Option<PermitLedger>| {
                    let mut ledger = ledger.unwrap_or_default();
                    let freed = ledger.remove_entry(removed);
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

/// Gives back every idle permit, during shutdown.
pub(crate) async fn return_all(node: &Arc<EntryNode>) {
    let mut shards: FastMap<u32, Vec<PermitPlan>> = FastMap::default();
    for team in node.permits.teams_with_permits() {
        let plan = PermitPlan {
            ceiling: 0,
            desired: 0,
            surplus: u32::MAX,
            shortage: false,
            team,
        };
        shards
            .entry(ledger_shard(&plan.team))
            .or_default()
            .push(plan);
    }
    for (shard, plans) in shards {
        if let Err(refusal) = balance_shard(node, shard, &plans).await {
            log_event!(Warn, "permit-return-failed", shard = shard, error = refusal);
        }
    }
}
