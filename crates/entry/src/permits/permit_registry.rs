//! The permits that this entry holds of each team.

use {
    crate::node::lock,
    dotterelshore_domain::{
        collections::{FastMap, FastSet},
        names::{EntryStamp, TeamName},
        table::TeamRow,
        team::TeamPermits,
    },
    dotterelshore_wire::{peer_message::PermitRequest, timer_hub::jittered_pause},
    std::{
        sync::Mutex,
        time::{Duration, Instant},
    },
    tokio::sync::{Mutex as AsyncMutex, Notify},
};

/// Ratio of a team's desired permits to its demand.
const HEADROOM_FACTOR: f64 = 1.25;
/// Factor by which the remembered peak demand decays in each balance period.
const PEAK_DECAY: f64 = 0.85;
/// Pause before the ledger or the peers are asked again after they had no permits.
///
/// It doubles from the initial to the maximum value.
const BACKOFF_INITIAL: Duration = Duration::from_millis(10);
const LEDGER_BACKOFF_MAX: Duration = Duration::from_secs(1);
const PEER_BACKOFF_MAX: Duration = Duration::from_millis(160);

/// One team's permits in this entry, and its demand.
#[derive(Debug, Default)]
struct TeamHolding {
    permits: TeamPermits,
    recent_peak: f64,
    waiting: u32,
    /// Permits promised to peers with more demand per permit held.
    owed: u32,
    /// Permits to give back because the ceiling was lowered.
    excess: u32,
    /// Permits left below the ceiling when the ledger was last read.
    ledger_free: Option<u32>,
    ledger_backoff: RetryBackoff,
    peer_backoff: RetryBackoff,
}

/// Exponential backoff of one source of permits.
#[derive(Debug, Default)]
struct RetryBackoff {
    retry_at: Option<Instant>,
    attempts: u32,
}

impl RetryBackoff {
    fn has_elapsed(&self) -> bool {
        self.retry_at.is_none_or(|at| at <= Instant::now())
    }

    fn extend(&mut self, pause_max: Duration) {
        let pause = pause_max.min(BACKOFF_INITIAL * 2_u32.pow(self.attempts.min(8)));
        self.attempts += 1;
        self.retry_at = Some(Instant::now() + jittered_pause(pause));
    }
}

impl TeamHolding {
    fn demand(&self) -> u32 {
        self.waiting + self.permits.running()
    }

    /// Keeps owed and excess permits from being used by new runs.
    fn reserve_outgoing(&mut self) {
        self.permits.reserve(self.owed + self.excess);
    }
}

/// Permits promised to another entry, transferred as runs end.
#[derive(Debug, Clone)]
pub(super) struct PermitDebt {
    pub(super) team: TeamName,
    pub(super) to: EntryStamp,
    pub(super) permits: u32,
}

/// The change that a balance round makes to a team's permits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PermitPlan {
    pub(super) team: TeamName,
    pub(super) ceiling: u32,
    /// Number of permits that this entry should hold.
    pub(super) desired: u32,
    /// Number of permits to give back.
    pub(super) surplus: u32,
    /// Whether work waits because this entry holds too few permits.
    pub(super) shortage: bool,
}

/// The permits that this entry holds of each team, and its debts to peers.
#[derive(Debug, Default)]
pub(crate) struct PermitRegistry {
    teams: Mutex<FastMap<TeamName, TeamHolding>>,
    pub(super) debts: Mutex<Vec<PermitDebt>>,
    /// Ledger shards with a write whose outcome is unknown.
    pub(super) unconfirmed_shards: Mutex<FastSet<u32>>,
    /// Serialises updates of the ledger, so that its records match the permits held here.
    pub(super) ledger_lock: AsyncMutex<()>,
    pub(super) shortage: Notify,
}

impl PermitRegistry {
    /// Whether the team has a permit that a new run can use.
    pub(crate) fn has_free(&self, team: &TeamName) -> bool {
        lock(&self.teams)
            .get(team)
            .is_some_and(|holding| holding.permits.has_free())
    }

    /// Takes a permit for a run, and returns whether one was free.
    pub(crate) fn try_acquire(&self, team: &TeamName) -> bool {
        lock(&self.teams)
            .get_mut(team)
            .is_some_and(|holding| holding.permits.try_acquire())
    }

    /// Frees the permit of a run that has ended.
    pub(crate) fn end_run(&self, team: &TeamName) {
        if let Some(holding) = lock(&self.teams).get_mut(team) {
            holding.permits.end_run();
        }
    }

    /// Returns the number of permits held and the number in use.
    pub(crate) fn counts(&self, team: &TeamName) -> (u32, u32) {
        lock(&self.teams).get(team).map_or((0, 0), |holding| {
            (holding.permits.held(), holding.permits.running())
        })
    }

    /// Adds one waiter to a team's demand, or wakes the permit task if no permit is free.
    pub(crate) fn record_arrival(&self, team: &TeamName) {
        let mut teams = lock(&self.teams);
        let holding = teams.entry(team.clone()).or_default();
        if holding.permits.has_free() {
            holding.permits.record_demand(1);
        } else {
            self.shortage.notify_one();
        }
    }

    /// Plans the change to a team's permits; a team without demand keeps `base` permits.
    ///
    /// Only periodic rounds decay the remembered peak demand and give back permits that exceed the
    /// desired number. Permits beyond the ceiling are given back in every round.
    pub(super) fn plan(
        &self,
        row: &TeamRow,
        base: u32,
        waiting: u32,
        periodic: bool,
    ) -> PermitPlan {
        let mut teams = lock(&self.teams);
        let holding = teams.entry(row.name.clone()).or_default();
        holding.waiting = waiting;
        holding.permits.record_demand(waiting);
        if periodic {
            let peak = f64::from(holding.permits.take_peak_demand());
            holding.recent_peak = peak.max(holding.recent_peak * PEAK_DECAY);
        }
        let held = holding.permits.held();
        let demand = f64::from(holding.demand());
        let desired = with_headroom(holding.recent_peak.max(demand))
            .max(base)
            .min(row.ceiling);
        let tolerance = (held / 4).max(1);
        let surplus = if periodic && held > desired + tolerance {
            held - desired
        } else {
            0
        };
        PermitPlan {
            team: row.name.clone(),
            ceiling: row.ceiling,
            desired,
            surplus: surplus
                .max(holding.excess)
                .max(held.saturating_sub(row.ceiling)),
            shortage: holding.demand() > held && held < row.ceiling,
        }
    }

    /// Whether to ask the ledger for more permits of a team now.
    pub(super) fn should_ask_ledger(&self, team: &TeamName, periodic: bool) -> bool {
        let teams = lock(&self.teams);
        let Some(holding) = teams.get(team) else {
            return true;
        };
        (periodic || holding.ledger_free != Some(0)) && holding.ledger_backoff.has_elapsed()
    }

    /// Whether to ask the peers for permits of a team now.
    pub(super) fn should_ask_peers(&self, team: &TeamName) -> bool {
        lock(&self.teams)
            .get(team)
            .is_some_and(|holding| holding.peer_backoff.has_elapsed())
    }

    /// Records whether the ledger gave permits, and adjusts its backoff.
    pub(super) fn record_ledger_result(&self, team: &TeamName, gained: bool) {
        let mut teams = lock(&self.teams);
        let holding = teams.entry(team.clone()).or_default();
        if gained {
            holding.ledger_backoff = RetryBackoff::default();
        } else {
            holding.ledger_backoff.extend(LEDGER_BACKOFF_MAX);
        }
    }

    /// Records whether peers gave permits, and adjusts their backoff.
    ///
    /// If they did, the ledger is read at once, because the transfer is recorded there.
    pub(super) fn record_peer_reply(&self, team: &TeamName, gained: bool) {
        let mut teams = lock(&self.teams);
        let holding = teams.entry(team.clone()).or_default();
        if gained {
            holding.peer_backoff = RetryBackoff::default();
            holding.ledger_backoff = RetryBackoff::default();
            holding.ledger_free = None;
        } else {
            holding.peer_backoff.extend(PEER_BACKOFF_MAX);
        }
    }

    /// Raises the permits held here to the number that the ledger records; returns the increase.
    pub(super) fn confirm(&self, team: &TeamName, recorded: u32) -> u32 {
        let mut teams = lock(&self.teams);
        let holding = teams.entry(team.clone()).or_default();
        let before = holding.permits.held();
        holding.permits.raise_to(recorded);
        holding.permits.held() - before
    }

    /// Records a team's permits granted to all entries, and its ceiling.
    ///
    /// If they exceed the ceiling, this entry gives back its proportional part of the excess.
    pub(super) fn record_granted(&self, team: &TeamName, granted: u32, ceiling: u32) {
        let mut teams = lock(&self.teams);
        let holding = teams.entry(team.clone()).or_default();
        let fleet_excess = granted.saturating_sub(ceiling);
        holding.ledger_free = Some(ceiling.saturating_sub(granted));
        holding.excess = (fleet_excess * holding.permits.held()).div_ceil(granted.max(1));
        holding.reserve_outgoing();
    }

    /// Releases up to `surplus` idle permits, and returns the number still held.
    ///
    /// This precedes the update of the ledger, so that no permit is in use after it is given back.
    pub(super) fn release_idle(&self, team: &TeamName, surplus: u32) -> u32 {
        let mut teams = lock(&self.teams);
        teams
            .entry(team.clone())
            .or_default()
            .permits
            .release_idle(surplus)
    }

    /// Releases idle permits that no waiting work needs, for a peer that requests them.
    ///
    /// Returns the number still held and the number owed to the peer. The peer is entitled to
    /// a part of both entries' permits in proportion to its demand.
    pub(super) fn release_to_peer(&self, request: &PermitRequest) -> (u32, u32) {
        let mut teams = lock(&self.teams);
        let holding = teams.entry(request.team.clone()).or_default();
        let spare = holding.permits.free().saturating_sub(holding.waiting);
        let before = holding.permits.held();
        let kept = holding.permits.release_idle(request.lacking.min(spare));
        let given = before - kept;
        let demand = holding.demand() + request.demand;
        let entitled = (before + request.held) * request.demand / demand.max(1);
        let unmet = request.lacking - given;
        holding.owed = entitled.saturating_sub(request.held + given).min(unmet);
        holding.reserve_outgoing();
        (kept, holding.owed)
    }

    /// Releases owed permits whose runs have ended; returns the numbers still held and released.
    pub(super) fn pay_debt(&self, team: &TeamName, owed: u32) -> (u32, u32) {
        let mut teams = lock(&self.teams);
        let holding = teams.entry(team.clone()).or_default();
        let payable = owed.min(holding.permits.idle());
        let before = holding.permits.held();
        let kept = holding.permits.release_idle(payable);
        let paid = before - kept;
        holding.owed = owed - paid;
        holding.reserve_outgoing();
        (kept, paid)
    }

    /// Cancels a team's debt, so that the owed permits can be used again.
    pub(super) fn cancel_debt(&self, team: &TeamName) {
        if let Some(holding) = lock(&self.teams).get_mut(team) {
            holding.owed = 0;
            holding.reserve_outgoing();
        }
    }

    /// Returns the number of a team's permits that no run uses and no waiting work needs.
    pub(crate) fn spare(&self, team: &TeamName) -> u32 {
        let teams = lock(&self.teams);
        teams.get(team).map_or(0, |holding| {
            holding.permits.free().saturating_sub(holding.waiting)
        })
    }

    /// Returns the teams of which this entry holds permits.
    pub(super) fn teams_with_permits(&self) -> Vec<TeamName> {
        let teams = lock(&self.teams);
        teams
            .iter()
            .filter(|(_, holding)| holding.permits.held() > 0)
            .map(|(team, _)| team.clone())
            .collect()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "demand is small and not negative"
)]
fn with_headroom(peak: f64) -> u32 {
    (peak * HEADROOM_FACTOR).ceil() as u32
}
