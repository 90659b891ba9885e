//! The permits of all teams in this entry.

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

/// Part of its demand that a team's permits are kept above it.
const HEADROOM: f64 = 1.25;
/// What is left of the remembered demand after each period.
const PEAK_DECAY: f64 = 0.85;
/// First and longest pause between tries for permits that are not to be had.
const TRY_FIRST: Duration = Duration::from_millis(10);
const STORE_TRY_LONGEST: Duration = Duration::from_secs(1);
const PEER_TRY_LONGEST: Duration = Duration::from_millis(160);

/// One team's permits here, and what is known of its demand.
#[derive(Debug, Default)]
struct PermitSeat {
    permits: TeamPermits,
    recent_peak: f64,
    waiting: u32,
    /// Owed to peers that have more demand for what they hold.
    owed: u32,
    /// To be given back since the ceiling was lowered.
    over: u32,
    /// Permits that the ledger had free when it was last read.
    free_known: Option<u32>,
    store_tries: TryPause,
    peer_tries: TryPause,
}

/// When something that was not to be had may be tried again.
#[derive(Debug, Default)]
struct TryPause {
    next: Option<Instant>,
    tries: u32,
}

impl TryPause {
    fn is_over(&self) -> bool {
        self.next.is_none_or(|at| at <= Instant::now())
    }

    fn lengthen(&mut self, longest: Duration) {
        let pause = longest.min(TRY_FIRST * 2_u32.pow(self.tries.min(8)));
        self.tries += 1;
        self.next = Some(Instant::now() + jittered_pause(pause));
    }
}

impl PermitSeat {
    fn demand(&self) -> u32 {
        self.waiting + self.permits.running()
    }

    /// Keeps what is owed and what is over from being used again.
    fn withhold(&mut self) {
        self.permits.reserve(self.owed + self.over);
    }
}

/// A debt to another entry, paid as runs end.
#[derive(Debug, Clone)]
pub(super) struct PermitDebt {
    pub(super) team: TeamName,
    pub(super) to: EntryStamp,
    pub(super) permits: u32,
}

/// What should become of a team's permits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PermitWish {
    pub(super) team: TeamName,
    pub(super) ceiling: u32,
    /// What should be held.
    pub(super) wanted: u32,
    /// Permits to give back.
    pub(super) surplus: u32,
    /// Whether somebody waits for want of permits.
    pub(super) short: bool,
}

/// The permits of all teams in this entry.
#[derive(Debug, Default)]
pub(crate) struct PermitDesk {
    teams: Mutex<FastMap<TeamName, PermitSeat>>,
    pub(super) debts: Mutex<Vec<PermitDebt>>,
    /// Shards with a write that may still take effect.
    pub(super) doubtful: Mutex<FastSet<u32>>,
    /// Held by whoever talks to the ledger, so that records and permits keep step.
    pub(super) ledger_turn: AsyncMutex<()>,
    pub(super) short: Notify,
}

impl PermitDesk {
    /// Whether the team could run one more here.
    pub(crate) fn has_idle(&self, team: &TeamName) -> bool {
        lock(&self.teams)
            .get(team)
            .is_some_and(|seat| seat.permits.has_free())
    }

    /// Takes a permit, or says that there is none.
    pub(crate) fn take(&self, team: &TeamName) -> bool {
        lock(&self.teams)
            .get_mut(team)
            .is_some_and(|seat| seat.permits.try_acquire())
    }

    /// Returns the permit of a run that surely ended.
    pub(crate) fn end_run(&self, team: &TeamName) {
        if let Some(seat) = lock(&self.teams).get_mut(team) {
            seat.permits.end_run();
        }
    }

    /// Permits held and in use.
    pub(crate) fn counts(&self, team: &TeamName) -> (u32, u32) {
        lock(&self.teams)
            .get(team)
            .map_or((0, 0), |seat| (seat.permits.held(), seat.permits.running()))
    }

    /// Notes that one more of a team waits; wakes the permit task when no permit is free.
    pub(crate) fn note_arrival(&self, team: &TeamName) {
        let mut teams = lock(&self.teams);
        let seat = teams.entry(team.clone()).or_default();
        if seat.permits.has_free() {
            seat.permits.record_demand(1);
        } else {
            self.short.notify_one();
        }
    }

    /// What should become of a team's permits. A team at rest keeps `base`.
    pub(super) fn wish(
        &self,
        row: &TeamRow,
        base: u32,
        waiting: u32,
        periodic: bool,
    ) -> PermitWish {
        let mut teams = lock(&self.teams);
        let seat = teams.entry(row.name.clone()).or_default();
        seat.waiting = waiting;
        seat.permits.record_demand(waiting);
        if periodic {
            let peak = f64::from(seat.permits.take_peak_demand());
            seat.recent_peak = peak.max(seat.recent_peak * PEAK_DECAY);
        }
        let held = seat.permits.held();
        let demand = f64::from(seat.demand());
        let wanted = headroom(seat.recent_peak.max(demand))
            .max(base)
            .min(row.ceiling);
        let slack = (held / 4).max(1);
        let spare = if periodic && held > wanted + slack {
            held - wanted
        } else {
            0
        };
        PermitWish {
            team: row.name.clone(),
            ceiling: row.ceiling,
            wanted,
            surplus: spare.max(seat.over).max(held.saturating_sub(row.ceiling)),
            short: seat.demand() > held && held < row.ceiling,
        }
    }

    /// Whether the ledger is worth asking for more of a team's permits now.
    pub(super) fn may_ask_store(&self, team: &TeamName, periodic: bool) -> bool {
        let teams = lock(&self.teams);
        let Some(seat) = teams.get(team) else {
            return true;
        };
        (periodic || seat.free_known != Some(0)) && seat.store_tries.is_over()
    }

    /// Whether peers are worth asking for a team's permits now.
    pub(super) fn may_ask_peers(&self, team: &TeamName) -> bool {
        lock(&self.teams)
            .get(team)
            .is_some_and(|seat| seat.peer_tries.is_over())
    }

    /// Notes whether the ledger gave permits.
    pub(super) fn note_store_try(&self, team: &TeamName, brought: bool) {
        let mut teams = lock(&self.teams);
        let seat = teams.entry(team.clone()).or_default();
        if brought {
            seat.store_tries = TryPause::default();
        } else {
            seat.store_tries.lengthen(STORE_TRY_LONGEST);
        }
    }

    /// Notes whether peers gave permits; if so, the ledger is worth reading at once.
    pub(super) fn note_peer_try(&self, team: &TeamName, brought: bool) {
        let mut teams = lock(&self.teams);
        let seat = teams.entry(team.clone()).or_default();
        if brought {
            seat.peer_tries = TryPause::default();
            seat.store_tries = TryPause::default();
            seat.free_known = None;
        } else {
            seat.peer_tries.lengthen(PEER_TRY_LONGEST);
        }
    }

    /// Takes over what the ledger records; says how many permits that brought.
    pub(super) fn confirm(&self, team: &TeamName, recorded: u32) -> u32 {
        let mut teams = lock(&self.teams);
        let seat = teams.entry(team.clone()).or_default();
        let before = seat.permits.held();
        seat.permits.raise_to(recorded);
        seat.permits.held() - before
    }

    /// Notes what the ledger grants of a team in all, against its ceiling. Each entry gives
    /// back its part of what is granted beyond.
    pub(super) fn note_granted(&self, team: &TeamName, granted: u32, ceiling: u32) {
        let mut teams = lock(&self.teams);
        let seat = teams.entry(team.clone()).or_default();
        let excess = granted.saturating_sub(ceiling);
        seat.free_known = Some(ceiling.saturating_sub(granted));
        seat.over = (excess * seat.permits.held()).div_ceil(granted.max(1));
        seat.withhold();
    }

    /// Gives up idle permits before the ledger is lowered; returns what is kept.
    pub(super) fn give_up(&self, team: &TeamName, surplus: u32) -> u32 {
        let mut teams = lock(&self.teams);
        teams
            .entry(team.clone())
            .or_default()
            .permits
            .release_idle(surplus)
    }

    /// Gives up idle permits for a peer that is short of them, beyond what waits here.
    /// Returns what is kept, and what is owed: as much as the peer's demand, against that
    /// here, entitles it to.
    pub(super) fn give_up_for(&self, want: &PermitRequest) -> (u32, u32) {
        let mut teams = lock(&self.teams);
        let seat = teams.entry(want.team.clone()).or_default();
        let spare = seat.permits.free().saturating_sub(seat.waiting);
        let before = seat.permits.held();
        let kept = seat.permits.release_idle(want.lacking.min(spare));
        let given = before - kept;
        let demand = seat.demand() + want.demand;
        let entitled = (before + want.held) * want.demand / demand.max(1);
        let unmet = want.lacking - given;
        seat.owed = entitled.saturating_sub(want.held + given).min(unmet);
        seat.withhold();
        (kept, seat.owed)
    }

    /// Gives up owed permits whose runs have ended; returns what is kept and what is paid.
    pub(super) fn pay_owed(&self, team: &TeamName, owed: u32) -> (u32, u32) {
        let mut teams = lock(&self.teams);
        let seat = teams.entry(team.clone()).or_default();
        let payable = owed.min(seat.permits.idle());
        let before = seat.permits.held();
        let kept = seat.permits.release_idle(payable);
        let paid = before - kept;
        seat.owed = owed - paid;
        seat.withhold();
        (kept, paid)
    }

    /// Lets owed permits be used again.
    pub(super) fn forgive(&self, team: &TeamName) {
        if let Some(seat) = lock(&self.teams).get_mut(team) {
            seat.owed = 0;
            seat.withhold();
        }
    }

    /// Permits of a team that nothing uses or waits for here.
    pub(crate) fn spare(&self, team: &TeamName) -> u32 {
        let teams = lock(&self.teams);
        teams
            .get(team)
            .map_or(0, |seat| seat.permits.free().saturating_sub(seat.waiting))
    }

    /// Teams with permits here.
    pub(super) fn holding(&self) -> Vec<TeamName> {
        let teams = lock(&self.teams);
        teams
            .iter()
            .filter(|(_, seat)| seat.permits.held() > 0)
            .map(|(team, _)| team.clone())
            .collect()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "demand is small and not negative"
)]
fn headroom(peak: f64) -> u32 {
    (peak * HEADROOM).ceil() as u32
}
