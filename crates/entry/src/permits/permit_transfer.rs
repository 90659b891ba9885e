//! Transfers permits to an entry that is short of them, in one write of the ledger.

use {
    super::permit_registry::PermitDebt,
    crate::node::{EntryNode, lock},
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        names::{EntryStamp, TeamName},
        team::{PermitLedger, ledger_shard},
    },
    dotterelshore_wire::{
        peer_message::{PermitRequest, TeamCount},
        store_client::UpdateDecision,
    },
};

/// Transfers requested permits to a peer: idle ones at once, owed ones as runs end.
///
/// Returns the number transferred at once for each team.
pub(crate) async fn transfer_permits(
    node: &EntryNode,
    to: &EntryStamp,
    requests: Vec<PermitRequest>,
) -> Vec<TeamCount> {
    let mut given = Vec::new();
    if node.settings.has_fixed_permits() {
        return given;
    }
    for request in requests {
        let (held, owed) = {
            let _guard = node.permits.ledger_lock.lock().await;
            let (held, owed) = node.permits.release_to_peer(&request);
            let permits = record_transfer(node, &request.team, held, to)
                .await
                .unwrap_or_default();
            given.push(TeamCount {
                team: request.team.clone(),
                count: permits,
            });
            (held, owed)
        };
        if owed > 0 && held > 0 {
            record_debt(
                node,
                PermitDebt {
                    team: request.team,
                    to: to.clone(),
                    permits: owed,
                },
            );
        }
    }
    given.retain(|demand| demand.count > 0);
    given
}

/// Records a debt, which replaces an earlier debt of the same team.
fn record_debt(node: &EntryNode, debt: PermitDebt) {
    let mut debts = lock(&node.permits.debts);
    debts.retain(|old| old.team != debt.team);
    debts.push(debt);
    drop(debts);
    node.permits.shortage.notify_one();
}

/// Transfers owed permits whose runs have ended since the last round.
pub(super) async fn pay_debts(node: &EntryNode) {
    let debts = std::mem::take(&mut *lock(&node.permits.debts));
    for mut debt in debts {
        let _guard = node.permits.ledger_lock.lock().await;
        let (held, paid) = node.permits.pay_debt(&debt.team, debt.permits);
        if paid > 0
            && record_transfer(node, &debt.team, held, &debt.to)
                .await
                .is_err()
        {
            node.permits.cancel_debt(&debt.team);
            continue;
        }
        debt.permits -= paid;
        if debt.permits > 0 {
            lock(&node.permits.debts).push(debt);
        } else {
            node.permits.cancel_debt(&debt.team);
        }
    }
}

/// Lowers this entry's record to `held`, and gives the released permits to `to`.
///
/// Returns how many permits `to` received, which the team's ceiling may limit.
///
/// # Errors
///
/// Fails if the ledger can't be written; a shard whose write is unconfirmed is marked.
async fn record_transfer(
    node: &EntryNode,
    team: &TeamName,
    held: u32,
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
                let released = ledger.lower(team, &node.stamp, held);
                if released == 0 {
                    return Ok(UpdateDecision::Keep(0));
                }
                let peer_held = ledger.held(team, to);
                let raised = ledger.raise(team, to, peer_held + released, ceiling);
                Ok(UpdateDecision::Write(ledger, raised - peer_held))
            },
        )
        .await;
    match &result {
        Ok(transferred) => node.metrics.count_permits(*transferred),
        Err(refusal) if refusal.code == ResultCode::StoreUnsure => {
            lock(&node.permits.unconfirmed_shards).insert(shard);
        }
        Err(_) => {}
    }
    result
}
