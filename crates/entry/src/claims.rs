//! Claims on the identifiers of non-idempotent requests, recorded before the requests run.

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

/// Number of locks that serialise this entry's writes of the same claim shard.
///
/// Without them, concurrent claims of one entry would conflict in the store.
const CLAIM_LOCKS: usize = 64;
/// `Retry-After` of a refusal because the store did not record a claim.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Locks that serialise this entry's claims by shard.
#[derive(Debug)]
pub(crate) struct ClaimLocks {
    locks: Vec<Mutex<()>>,
}

impl Default for ClaimLocks {
    fn default() -> Self {
        Self {
            locks: (0..CLAIM_LOCKS).map(|_| Mutex::new(())).collect(),
        }
    }
}

/// A recorded claim on an identifier; the ticket distinguishes it from other claims.
#[derive(Debug)]
pub(crate) struct RequestClaim {
    team: TeamName,
    id: RequestName,
    ticket: u64,
}

/// Claims an identifier for one request.
///
/// # Errors
///
/// Refuses with [`ResultCode::AlreadyClaimed`] if the identifier is claimed, and with
/// [`ResultCode::ClaimUnrecorded`] if the claim can't be recorded.
pub(crate) async fn claim(
    node: &EntryNode,
    team: &TeamName,
    id: &RequestName,
) -> Result<RequestClaim, Refusal> {
    let ticket = rand::random();
    let shard = claim_shard(team, id);
    let _guard = node.claims.locks[lock_index(shard)].lock().await;
    let retention_ms = u64::try_from(node.settings.claim_retention.as_millis()).unwrap_or(u64::MAX);
    let recorded = node
        .store
        .update(&format!("claim/{shard:03}"), |shard: Option<ClaimShard>| {
            let mut shard = shard.unwrap_or_default();
            shard.claim(team, id, ticket, unix_millis(), retention_ms)?;
            Ok(UpdateDecision::Write(shard, ()))
        })
        .await;
    let claimed = recorded.map(|()| RequestClaim {
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

/// Releases a claim after its request did not run.
pub(crate) async fn release(node: &EntryNode, claim: RequestClaim) {
    let shard = claim_shard(&claim.team, &claim.id);
    let _guard = node.claims.locks[lock_index(shard)].lock().await;
    let released = node
        .store
        .update(&format!("claim/{shard:03}"), |shard: Option<ClaimShard>| {
            let mut shard = shard.unwrap_or_default();
            let was_held = shard.release(&claim.team, &claim.id, claim.ticket);
            Ok(if was_held {
                UpdateDecision::Write(shard, ())
            } else {
                UpdateDecision::Keep(())
            })
        })
        .await;
    if let Err(refusal) = released {
        log_event!(
            Warn,
            "claim-release-failed",
            request = claim.id,
            error = refusal
        );
    }
}

fn lock_index(shard: u64) -> usize {
    usize::try_from(shard).unwrap_or_default() % CLAIM_LOCKS
}
