//! The stored allocation of each team's permits to entries.

use {
    crate::{
        collections::FastMap,
        names::{EntryStamp, TeamName},
    },
    serde::{Deserialize, Serialize},
};

/// Number of ledger records that the teams are sharded over.
pub const LEDGER_SHARDS: u32 = 64;

/// Returns the shard of a team's ledger record, the same on every entry.
pub fn ledger_shard(team: &TeamName) -> u32 {
    let digest = crate::names::KeyDigest::of(team.as_str());
    let prefix = u32::from_str_radix(&digest.as_str()[..8], 16).unwrap_or_default();
    prefix % LEDGER_SHARDS
}

/// The permits of one team that one entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PermitHolding {
    entry: EntryStamp,
    permits: u32,
}

/// The permits of the teams in one shard, by holder. The stored record is
/// authoritative: an entry may use at most the permits under its own stamp.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitLedger {
    teams: FastMap<TeamName, Vec<PermitHolding>>,
}

impl PermitLedger {
    /// Returns the team's permits granted to all holders together.
    pub fn granted(&self, team: &TeamName) -> u32 {
        let holdings = self.teams.get(team);
        holdings.map_or(0, |holdings| {
            holdings.iter().map(|holding| holding.permits).sum()
        })
    }

    /// Returns the team's permits that the entry may use.
    pub fn held(&self, team: &TeamName, entry: &EntryStamp) -> u32 {
        let holdings = self.teams.get(team).map_or(&[][..], Vec::as_slice);
        holdings
            .iter()
            .find(|holding| holding.entry == *entry)
            .map_or(0, |holding| holding.permits)
    }

    /// Raises the entry's permits towards `wanted` as far as the ceiling allows and
    /// returns its new total. Idempotent.
    pub fn raise(&mut self, team: &TeamName, entry: &EntryStamp, wanted: u32, ceiling: u32) -> u32 {
        let held = self.held(team, entry);
        let free = ceiling.saturating_sub(self.granted(team));
        let reached = wanted.min(held + free).max(held);
        self.set(team, entry, reached);
        reached
    }

    /// Lowers the entry's permits to at most `kept` and returns the number freed.
    pub fn lower(&mut self, team: &TeamName, entry: &EntryStamp, kept: u32) -> u32 {
        let held = self.held(team, entry);
        let kept = kept.min(held);
        self.set(team, entry, kept);
        held - kept
    }

    /// Removes an entry that has terminated and whose work has ended; returns the number
    /// of permits freed.
    pub fn remove_entry(&mut self, entry: &EntryStamp) -> u32 {
        let mut freed = 0;
        for holdings in self.teams.values_mut() {
            freed += holdings
                .iter()
                .filter(|holding| holding.entry == *entry)
                .map(|holding| holding.permits)
                .sum::<u32>();
            holdings.retain(|holding| holding.entry != *entry);
        }
        self.teams.retain(|_, holdings| !holdings.is_empty());
        freed
    }

    fn set(&mut self, team: &TeamName, entry: &EntryStamp, permits: u32) {
        let holdings = self.teams.entry(team.clone()).or_default();
        holdings.retain(|holding| holding.entry != *entry);
        if permits > 0 {
            holdings.push(PermitHolding {
                entry: entry.clone(),
                permits,
            });
        }
        if holdings.is_empty() {
            self.teams.remove(team);
        }
    }
}
