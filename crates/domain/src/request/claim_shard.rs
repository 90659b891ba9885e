//! Claims on the identifiers of non-idempotent requests.

use {
    crate::{
        codes::{Refusal, ResultCode},
        names::{KeyDigest, RequestName, TeamName},
    },
    serde::{Deserialize, Serialize},
};

/// Number of records that the claims are sharded over.
pub const CLAIM_SHARDS: u64 = 256;

/// Returns a claim's fingerprint: the first 64 bits of the digest of team and identifier.
fn claim_fingerprint(team: &TeamName, id: &RequestName) -> u64 {
    let digest = KeyDigest::of(&format!("{team}/{id}"));
    u64::from_str_radix(&digest.as_str()[..16], 16).unwrap_or_default()
}

/// Returns the shard of a request's claim, the same on every entry.
pub fn claim_shard(team: &TeamName, id: &RequestName) -> u64 {
    claim_fingerprint(team, id) % CLAIM_SHARDS
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordedClaim {
    #[serde(rename = "mark")]
    fingerprint: u64,
    ticket: u64,
    at_ms: u64,
}

/// The recently claimed identifiers of one shard. The entry whose ticket is recorded may
/// send the request once; no other entry may send it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    #[serde(rename = "marks")]
    claims: Vec<RecordedClaim>,
}

impl ClaimShard {
    /// Claims the identifier under a random `ticket` chosen for this attempt, and drops
    /// claims older than `retention_ms`. Idempotent for the same ticket.
    ///
    /// # Errors
    ///
    /// `AlreadyClaimed` if it was claimed under another ticket; the work may have run.
    pub fn claim(
        &mut self,
        team: &TeamName,
        id: &RequestName,
        ticket: u64,
        now_ms: u64,
        retention_ms: u64,
    ) -> Result<(), Refusal> {
        let fingerprint = claim_fingerprint(team, id);
        if let Some(claim) = self
            .claims
            .iter()
            .find(|claim| claim.fingerprint == fingerprint)
        {
            if claim.ticket == ticket {
                return Ok(());
            }
            let detail =
                format!("a request with identifier '{id}' was taken before, and may have run");
            return Err(Refusal::unknown(ResultCode::AlreadyClaimed, detail));
        }
        self.claims
            .retain(|claim| claim.at_ms.saturating_add(retention_ms) >= now_ms);
        self.claims.push(RecordedClaim {
            fingerprint,
            ticket,
            at_ms: now_ms,
        });
        Ok(())
    }

    /// Releases the claim of a request that definitely did not run; returns whether the
    /// ticket held it.
    pub fn release(&mut self, team: &TeamName, id: &RequestName, ticket: u64) -> bool {
        let fingerprint = claim_fingerprint(team, id);
        let before = self.claims.len();
        self.claims
            .retain(|claim| claim.fingerprint != fingerprint || claim.ticket != ticket);
        self.claims.len() < before
    }

    /// Returns the number of recorded claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is recorded.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
