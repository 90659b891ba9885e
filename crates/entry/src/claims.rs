//! Claims on the identifiers of non-idempotent requests, recorded before they run.

use {
    crate::node::EntryNode,
    dotterelshore_domain::{
        codes::{Refusal, ResultCode, RunOutcome},
        names::{RequestName, TeamName},
        request::{ClaimShard, claim_shard},
    },
    dotterelshore_wire::{event_log::unix_millis, log_event, store_client::UpdateDecision},
    std::time::Duration,
    tokio::sync::Mutex,
};

/// Lanes that claims of one entry queue in, so that they do not race each other.
const CLAIM_LANES: usize = 64;
/// When to try again after the store did not record a claim.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Claims of this entry, in lanes by shard.
#[derive(Debug)]
pub(crate) struct ClaimDesk {
    lanes: Vec<Mutex<()>>,
}

impl Default for ClaimDesk {
    fn default() -> Self {
        Self {
            lanes: (0..CLAIM_LANES).map(|_| Mutex::new(())).collect(),
        }
    }
}

/// An identifier taken under a ticket.
#[derive(Debug)]
pub(crate) struct ClaimTicket {
    team: TeamName,
    id: RequestName,
    ticket: u64,
}

/// Takes an identifier for one try, or refuses.
pub(crate) async fn claim(
    node: &EntryNode,
    team: &TeamName,
    id: &RequestName,
) -> Result<ClaimTicket, Refusal> {
    let ticket = rand::random();
    let shard = claim_shard(team, id);
    let _turn = node.claims.lanes[shard_lane(shard)].lock().await;
    let retention_ms = u64::try_from(node.settings.claim_retention.as_millis()).unwrap_or(u64::MAX);
    let taken = node
        .store
        .update(&format!("claim/{shard:03}"), |shard: Option<ClaimShard>| {
            let mut shard = shard.unwrap_or_default();
            shard.claim(team, id, ticket, unix_millis(), retention_ms)?;
            Ok(UpdateDecision::Write(shard, ()))
        })
        .await;
    let claimed = taken.map(|()| ClaimTicket {
        team: team.clone(),
        id: id.clone(),
        ticket,
    });
    claimed.map_err(|refusal| match refusal.code {
        ResultCode::AlreadyClaimed => refusal,
        _ => Refusal {
            code: ResultCode::ClaimUnrecorded,
            outcome: RunOutcome::NotRun,
            detail: refusal.to_string(),
            retry_after: Some(CLAIM_RETRY_AFTER),
        },
    })
}

/// Gives an identifier back after its request surely did not run.
pub(crate) async fn release(node: &EntryNode, claim: ClaimTicket) {
    let shard = claim_shard(&claim.team, &claim.id);
    let _turn = node.claims.lanes[shard_lane(shard)].lock().await;
    let released = node
        .store
        .update(&format!("claim/{shard:03}"), |shard: Option<ClaimShard>| {
            let mut shard = shard.unwrap_or_default();
            let had = shard.release(&claim.team, &claim.id, claim.ticket);
            Ok(if had {
                UpdateDecision::Write(shard, ())
            } else {
                UpdateDecision::Keep(())
            })
        })
        .await;
    if let Err(refusal) = released {
        log_event!(Warn, "claim-kept", request = claim.id, error = refusal);
    }
}

fn shard_lane(shard: u64) -> usize {
    usize::try_from(shard).unwrap_or_default() % CLAIM_LANES
}
