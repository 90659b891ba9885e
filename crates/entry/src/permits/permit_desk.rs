//! The permits of all teams in this entry.

use {
    crate::node::lock,
    dotterelshore_domain::{
        collections::{FastMap, FastSet},
        names::{EntryStamp, TeamName},
        table::TeamRow,
        team::TeamPermits,
    },
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
const TRY_FIRST: Duration = Duration::from_millis(20);
const TRY_LONGEST: Duration = Duration::from_secs(1);

/// One team's permits here, and what is known of its demand.
#[derive(Debug, Default)]
struct PermitSeat {
    permits: TeamPermits,
    recent_peak: f64,
    waiting: u32,
    next_try: Option<Instant>,
    tries: u32,
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
            .is_some_and(|seat| seat.permits.take())
    }

    /// Returns the permit of a run that surely ended.
    pub(crate) fn end_run(&self, team: &TeamName) {
        if let Some(seat) = lock(&self.teams).get_mut(team) {
            seat.permits.end_run();
            seat.waiting = seat.waiting.saturating_sub(1);
        }
    }

    /// Permits held and in use.
    pub(crate) fn counts(&self, team: &TeamName) -> (u32, u32) {
        lock(&self.teams)
            .get(team)
            .map_or((0, 0), |seat| (seat.permits.held(), seat.permits.running()))
    }

    /// Notes how many of a team wait; wakes the permit task when permits are short.
    pub(crate) fn note_demand(&self, team: &TeamName, waiting: u32) {
        let mut teams = lock(&self.teams);
        let seat = teams.entry(team.clone()).or_default();
        seat.waiting = waiting;
        seat.permits.note_demand(waiting);
        if waiting + seat.permits.running() > seat.permits.held() {
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
        seat.permits.note_demand(waiting);
        if periodic {
            let peak = f64::from(seat.permits.take_peak_demand());
            seat.recent_peak = peak.max(seat.recent_peak * PEAK_DECAY);
        }
        let held = seat.permits.held();
        let demand = waiting + seat.permits.running();
        let wanted = headroom(seat.recent_peak.max(f64::from(demand)))
            .max(base)
            .min(row.ceiling);
        let over_ceiling = held.saturating_sub(row.ceiling);
        let slack = (held / 4).max(1);
        let surplus = if held > wanted + slack {
            held - wanted
        } else {
            over_ceiling
        };
        PermitWish {
            team: row.name.clone(),
            ceiling: row.ceiling,
            wanted,
            surplus: if periodic { surplus } else { over_ceiling },
            short: demand > held && held < row.ceiling,
        }
    }

    /// Whether it is time to try again for permits that were not to be had.
    pub(super) fn may_try(&self, team: &TeamName) -> bool {
        let now = Instant::now();
        lock(&self.teams)
            .get(team)
            .is_some_and(|seat| seat.next_try.is_none_or(|at| at <= now))
    }

    /// Notes whether a try brought permits.
    pub(super) fn note_try(&self, team: &TeamName, brought: bool) {
        let mut teams = lock(&self.teams);
        let seat = teams.entry(team.clone()).or_default();
        if brought {
            seat.tries = 0;
            seat.next_try = None;
            return;
        }
        let pause = TRY_LONGEST.min(TRY_FIRST * 2_u32.pow(seat.tries.min(8)));
        seat.tries += 1;
        seat.next_try = Some(Instant::now() + pause.mul_f64(0.5 + 0.5 * rand::random::<f64>()));
    }

    /// Takes over what the ledger records; says how many permits that brought.
    pub(super) fn confirm(&self, team: &TeamName, recorded: u32) -> u32 {
        let mut teams = lock(&self.teams);
        let seat = teams.entry(team.clone()).or_default();
        let before = seat.permits.held();
        seat.permits.confirm_raise(recorded);
        seat.permits.held() - before
    }

    /// Gives up idle permits before the ledger is lowered; returns what is kept.
    pub(super) fn give_up(&self, team: &TeamName, surplus: u32) -> u32 {
        let mut teams = lock(&self.teams);
        teams
            .entry(team.clone())
            .or_default()
            .permits
            .give_up(surplus)
    }

    /// Gives up idle permits for a peer that is short of them, beyond what waits here.
    /// Returns what is kept, and what of the peer's wish was not met.
    pub(super) fn give_up_for(&self, team: &TeamName, lacking: u32) -> (u32, u32) {
        let mut teams = lock(&self.teams);
        let seat = teams.entry(team.clone()).or_default();
        let spare = seat.permits.idle().saturating_sub(seat.waiting);
        let before = seat.permits.held();
        let kept = seat.permits.give_up(lacking.min(spare));
        let unmet = lacking - (before - kept);
        if unmet > 0 {
            seat.permits.withhold(unmet);
        }
        (kept, unmet.min(seat.permits.withheld()))
    }

    /// Withheld permits whose runs have ended; gives them up and returns what is kept.
    pub(super) fn pay_withheld(&self, team: &TeamName, owed: u32) -> (u32, u32) {
        let mut teams = lock(&self.teams);
        let seat = teams.entry(team.clone()).or_default();
        let payable = owed.min(seat.permits.idle()).min(seat.permits.withheld());
        (seat.permits.give_up(payable), payable)
    }

    /// Lets withheld permits be used again.
    pub(super) fn forgive(&self, team: &TeamName) {
        if let Some(seat) = lock(&self.teams).get_mut(team) {
            seat.permits.withhold(0);
        }
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
