//! Handing permits to an entry that is short of them, in one write of the ledger.

use {
    super::permit_desk::PermitDebt,
    crate::node::{EntryNode, lock},
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        names::{EntryStamp, TeamName},
        team::{PermitLedger, ledger_shard},
    },
    dotterelshore_wire::{
        peer_message::{PermitRequest, TeamDemand},
        store_client::UpdateDecision,
    },
};

/// Answers an entry's wish for permits: idle ones at once, others as runs end.
pub(crate) async fn give_permits(
    node: &EntryNode,
    to: &EntryStamp,
    wants: Vec<PermitRequest>,
) -> Vec<TeamDemand> {
    let mut given = Vec::new();
    if node.settings.has_fixed_permits() {
        return given;
    }
    for want in wants {
        let (kept, owed) = {
            let _turn = node.permits.ledger_turn.lock().await;
            let (kept, owed) = node.permits.give_up_for(&want);
            let permits = record(node, &want.team, kept, to).await.unwrap_or_default();
            given.push(TeamDemand {
                team: want.team.clone(),
                demand: permits,
            });
            (kept, owed)
        };
        if owed > 0 && kept > 0 {
            owe(
                node,
                PermitDebt {
                    team: want.team,
                    to: to.clone(),
                    permits: owed,
                },
            );
        }
    }
    given.retain(|given| given.demand > 0);
    given
}

/// A later wish of the same entry replaces its earlier one.
fn owe(node: &EntryNode, debt: PermitDebt) {
    let mut debts = lock(&node.permits.debts);
    debts.retain(|old| old.team != debt.team);
    debts.push(debt);
    drop(debts);
    node.permits.short.notify_one();
}

/// Pays what is owed from runs that have ended since.
pub(super) async fn pay_debts(node: &EntryNode) {
    let debts = std::mem::take(&mut *lock(&node.permits.debts));
    for mut debt in debts {
        let _turn = node.permits.ledger_turn.lock().await;
        let (kept, paid) = node.permits.pay_owed(&debt.team, debt.permits);
        if paid > 0 && record(node, &debt.team, kept, &debt.to).await.is_err() {
            node.permits.forgive(&debt.team);
            continue;
        }
        debt.permits -= paid;
        if debt.permits > 0 {
            lock(&node.permits.debts).push(debt);
        } else {
            node.permits.forgive(&debt.team);
        }
    }
}

/// Records that this entry keeps `kept`, and that `to` gets what this frees.
async fn record(
    node: &EntryNode,
    team: &TeamName,
    kept: u32,
    to: &EntryStamp,
) -> Result<u32, Refusal> {
    let ceiling = node.table().teams.get(team).map_or(0, |row| row.ceiling);
    let shard = ledger_shard(team);
    let result = node
        .store
        .update(
            &format!("permits/{shard:02}"),
            |ledger: Option<PermitLedger>| {
                let mut ledger = ledger.unwrap_or_default();
                let freed = ledger.lower(team, &node.stamp, kept);
                if freed == 0 {
                    return Ok(UpdateDecision::Keep(0));
                }
                let held = ledger.held(team, to);
                let reached = ledger.raise(team, to, held + freed, ceiling);
                Ok(UpdateDecision::Write(ledger, reached - held))
            },
        )
        .await;
    match &result {
        Ok(moved) => node.metrics.count_permits(*moved),
        Err(refusal) if refusal.code == ResultCode::StoreUnsure => {
            lock(&node.permits.doubtful).insert(shard);
        }
        Err(_) => {}
    }
    result
}
