//! Claims on the identifiers of non-idempotent requests.

use {
    crate::{
        codes::{Refusal, ResultCode},
        names::{KeyDigest, RequestName, TeamName},
    },
    serde::{Deserialize, Serialize},
};

/// How many records the claims are spread over.
pub const CLAIM_SHARDS: u64 = 256;

/// A claim's short identity: the first 16 hexadecimal digits of its digest.
fn claim_mark(team: &TeamName, id: &RequestName) -> u64 {
    let digest = KeyDigest::of(&format!("{team}/{id}"));
    u64::from_str_radix(&digest.as_str()[..16], 16).unwrap_or_default()
}

/// The record that holds a request's claim, the same on every entry.
pub fn claim_shard(team: &TeamName, id: &RequestName) -> u64 {
    claim_mark(team, id) % CLAIM_SHARDS
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClaimMark {
    mark: u64,
    ticket: u64,
    at_ms: u64,
}

/// The identifiers taken lately, one record a shard. Whoever gets its ticket into the
/// record may send the request once; everybody else may not.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    marks: Vec<ClaimMark>,
}

impl ClaimShard {
    /// Takes the identifier under a ticket drawn for this try, dropping marks older than
    /// `retention_ms`. Taking it again under the same ticket changes nothing.
    ///
    /// # Errors
    ///
    /// `AlreadyClaimed` if it was taken under another ticket; the work may have run.
    pub fn claim(
        &mut self,
        team: &TeamName,
        id: &RequestName,
        ticket: u64,
        now_ms: u64,
        retention_ms: u64,
    ) -> Result<(), Refusal> {
        let mark = claim_mark(team, id);
        if let Some(taken) = self.marks.iter().find(|taken| taken.mark == mark) {
            if taken.ticket == ticket {
                return Ok(());
            }
            let detail =
                format!("a request with identifier '{id}' was taken before, and may have run");
            return Err(Refusal::unknown(ResultCode::AlreadyClaimed, detail));
        }
        self.marks
            .retain(|taken| taken.at_ms.saturating_add(retention_ms) >= now_ms);
        self.marks.push(ClaimMark {
            mark,
            ticket,
            at_ms: now_ms,
        });
        Ok(())
    }

    /// Gives an identifier back, for a request that surely did not run; says whether
    /// the ticket had it.
    pub fn release(&mut self, team: &TeamName, id: &RequestName, ticket: u64) -> bool {
        let mark = claim_mark(team, id);
        let before = self.marks.len();
        self.marks
            .retain(|taken| taken.mark != mark || taken.ticket != ticket);
        self.marks.len() < before
    }

    /// How many identifiers are kept.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }
}
