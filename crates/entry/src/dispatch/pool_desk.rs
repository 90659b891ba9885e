//! One pool in one entry: who waits, which targets there are, and who goes next.

use {
    super::{
        run_turn::RunTurn,
        target_load::{TargetLoad, TargetResult},
    },
    crate::{cli::TargetChoice, permits::PermitDesk},
    dotterelshore_domain::{
        collections::FastMap,
        names::{CentreName, EntryName, InstanceName, TeamName},
        queue::{QueueDiscipline, SplitClaim, WaitQueue, fair_split},
    },
    dotterelshore_wire::peer_message::{PoolDemand, TeamDemand},
    std::time::{Duration, Instant},
    tokio::sync::oneshot,
};

/// How long a peer's demand counts after it was last heard.
const DEMAND_LIFE: Duration = Duration::from_millis(1500);
/// How long a peer's idle permits are believed.
const IDLE_LIFE: Duration = Duration::from_millis(600);
/// How many mean runs must fit between a start and the deadline.
const RUN_MEANS_KEPT: f64 = 2.0;
/// Weight of the newest run in the pool's mean length.
const MEAN_GAIN: f64 = 0.05;

/// A target of the pool that takes work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TargetSeat {
    pub(crate) name: InstanceName,
    pub(crate) centre: CentreName,
    pub(crate) address: String,
}

/// A turn granted: a permit of the team and a slot of the target are taken.
#[derive(Debug, Clone)]
pub(crate) struct GrantedTurn {
    pub(crate) team: TeamName,
    pub(crate) seat: TargetSeat,
}

/// Where a turn is awaited. The turn itself goes through it, so that one nobody takes any
/// more gives its permit and slot back.
pub(crate) type TurnSender = oneshot::Sender<RunTurn>;

/// A team in a peer, as it was last heard.
#[derive(Debug, Clone, Copy)]
struct PeerTeam {
    demand: u32,
    idle: u32,
}

#[derive(Debug)]
struct PeerDemand {
    teams: FastMap<TeamName, PeerTeam>,
    /// Whether it wants the others' demand.
    wants: bool,
    heard: Instant,
}

/// How a desk decides.
#[derive(Debug, Clone)]
pub(crate) struct DeskPolicy {
    pub(crate) order: QueueDiscipline,
    pub(crate) choice: TargetChoice,
    pub(crate) centre: CentreName,
    pub(crate) slots: u32,
}

/// How much of the pool this entry may use now.
#[derive(Debug, Default)]
struct EntryAllotment {
    total: u32,
    teams: FastMap<TeamName, u32>,
    contended: bool,
}

/// One pool in one entry.
#[derive(Debug)]
pub(crate) struct PoolDesk {
    policy: DeskPolicy,
    pub(crate) wait_queue: WaitQueue<TurnSender>,
    weights: FastMap<TeamName, u32>,
    running: FastMap<TeamName, u32>,
    running_total: u32,
    seats: Vec<TargetSeat>,
    loads: FastMap<InstanceName, TargetLoad>,
    peers: FastMap<EntryName, PeerDemand>,
    next_seat: usize,
    mean_seconds: f64,
    max_shunned: usize,
}

impl PoolDesk {
    /// An empty desk.
    pub(crate) fn new(policy: DeskPolicy) -> Self {
        Self {
            wait_queue: WaitQueue::new(policy.order),
            policy,
            weights: FastMap::default(),
            running: FastMap::default(),
            running_total: 0,
            seats: Vec::new(),
            loads: FastMap::default(),
            peers: FastMap::default(),
            next_seat: rand::random::<u16>().into(),
            mean_seconds: 0.02,
            max_shunned: 1,
        }
    }

    /// Takes over which targets take work, and how many may be shunned for failing.
    pub(crate) fn set_seats(&mut self, seats: Vec<TargetSeat>, max_shunned: usize) {
        self.seats = seats;
        self.max_shunned = max_shunned;
    }

    /// How many targets take work.
    pub(crate) fn seats(&self) -> usize {
        self.seats.len()
    }

    /// Notes a team's weight.
    pub(crate) fn set_weight(&mut self, team: &TeamName, weight: u32) {
        self.weights.insert(team.clone(), weight);
    }

    /// Notes a peer's demand.
    pub(crate) fn note_demand(&mut self, peer: EntryName, wants: bool, teams: Vec<PoolDemand>) {
        let told = |told: PoolDemand| {
            let team = PeerTeam {
                demand: told.demand,
                idle: told.idle,
            };
            (told.team, team)
        };
        let teams = teams.into_iter().map(told).collect();
        self.peers.insert(
            peer,
            PeerDemand {
                teams,
                wants,
                heard: Instant::now(),
            },
        );
    }

    /// Whether this entry wants the others' demand: somebody waits, or more runs here than
    /// half of an equal part of the pool among `entries`.
    pub(crate) fn wants_demand(&self, entries: u32) -> bool {
        let slots = u32::try_from(self.seats.len())
            .unwrap_or(u32::MAX)
            .saturating_mul(self.policy.slots);
        self.wait_queue.waiting() > 0 || self.running_total > slots / (2 * entries.max(1))
    }

    /// Whether another entry wants this one's demand.
    pub(crate) fn is_wanted(&self) -> bool {
        self.peers
            .values()
            .any(|peer| peer.wants && peer.heard.elapsed() < DEMAND_LIFE)
    }

    /// Teams that a peer has demand of and this entry has none of.
    pub(crate) fn teams_elsewhere(&self) -> Vec<TeamName> {
        let fresh = self
            .peers
            .values()
            .filter(|peer| peer.heard.elapsed() < DEMAND_LIFE);
        let wanted = fresh
            .flat_map(|peer| &peer.teams)
            .filter(|(_, told)| told.demand > 0);
        let mut teams: Vec<TeamName> = wanted.map(|(team, _)| team.clone()).collect();
        teams.sort();
        teams.dedup();
        teams
    }

    /// The peer with most idle permits of a team, as last heard. Each asking counts one of
    /// them as used until the peer is heard again.
    pub(crate) fn idle_peer(&mut self, team: &TeamName) -> Option<EntryName> {
        let fresh = self
            .peers
            .iter_mut()
            .filter(|(_, peer)| peer.heard.elapsed() < IDLE_LIFE);
        let told = fresh.filter_map(|(name, peer)| Some((name, peer.teams.get_mut(team)?)));
        let (name, told) = told.max_by_key(|(_, told)| told.idle)?;
        if told.idle == 0 {
            return None;
        }
        told.idle -= 1;
        Some(name.clone())
    }

    /// This entry's demand, waiting and running.
    pub(crate) fn own_demand(&self) -> Vec<TeamDemand> {
        let mut demand: FastMap<&TeamName, u32> = FastMap::default();
        for (team, running) in self.running.iter().filter(|(_, running)| **running > 0) {
            *demand.entry(team).or_default() += running;
        }
        for (team, waiting) in self.wait_queue.waiting_by_team() {
            *demand.entry(team).or_default() += waiting;
        }
        demand
            .into_iter()
            .map(|(team, demand)| TeamDemand {
                team: team.clone(),
                demand,
            })
            .collect()
    }

    /// Runs of this entry on a target that have not ended.
    pub(crate) fn running_on(&self, target: &InstanceName) -> u32 {
        self.loads.get(target).map_or(0, TargetLoad::mine)
    }

    /// Runs of this entry that have not ended.
    pub(crate) fn running_total(&self) -> u32 {
        self.running_total
    }

    /// How many of each waiting team could go at once if permits were no matter: no more
    /// than this entry's part of the pool lets run.
    pub(crate) fn useful_waiting(&self) -> Vec<(TeamName, u32)> {
        let allotment = self.allotment();
        let useful = |team: &TeamName, waiting: u32| {
            let running = self.running.get(team).copied().unwrap_or_default();
            let part = allotment.teams.get(team).copied().unwrap_or(1);
            if allotment.contended {
                waiting.min(part.saturating_sub(running))
            } else {
                waiting
            }
        };
        let waiting = self.wait_queue.waiting_by_team();
        waiting
            .map(|(team, waiting)| (team.clone(), useful(team, waiting)))
            .collect()
    }

    /// Grants the next turn, if somebody may go and a target takes work.
    pub(crate) fn grant(&mut self, permits: &PermitDesk) -> Option<(TurnSender, GrantedTurn)> {
        let allotment = self.allotment();
        loop {
            if self.wait_queue.waiting() == 0 || self.running_total >= allotment.total {
                return None;
            }
            let seat = self.choose_seat(None)?;
            let running = &self.running;
            let may_go = |team: &TeamName| {
                let running = running.get(team).copied().unwrap_or_default();
                let within = !allotment.contended
                    || running < allotment.teams.get(team).copied().unwrap_or(1);
                within && permits.has_idle(team)
            };
            let ticket = self.wait_queue.dequeue(may_go)?;
            if ticket.waiter.is_closed() || !permits.take(&ticket.team) {
                continue;
            }
            self.begin_on(&seat);
            *self.running.entry(ticket.team.clone()).or_default() += 1;
            self.running_total += 1;
            return Some((
                ticket.waiter,
                GrantedTurn {
                    team: ticket.team,
                    seat,
                },
            ));
        }
    }

    /// Whether work that joins now would go at once, as far as targets are concerned.
    pub(crate) fn has_room(&mut self) -> bool {
        self.wait_queue.waiting() == 0
            && self.running_total < self.allotment().total
            && self.choose_seat(None).is_some()
    }

    /// Another target for a turn that its target refused.
    pub(crate) fn reseat(&mut self, refused: &TargetSeat) -> Option<TargetSeat> {
        let seat = self.choose_seat(Some(&refused.name))?;
        self.end_on(&refused.name);
        self.begin_on(&seat);
        Some(seat)
    }

    /// Ends a turn whose run surely ended, after `spent` of a slot.
    pub(crate) fn end_turn(&mut self, turn: &GrantedTurn, spent: Duration) {
        self.end_on(&turn.seat.name);
        if let Some(running) = self.running.get_mut(&turn.team) {
            *running = running.saturating_sub(1);
        }
        self.running_total = self.running_total.saturating_sub(1);
        self.wait_queue.settle_cost(&turn.team, spent.as_secs_f64());
        self.mean_seconds += MEAN_GAIN * (spent.as_secs_f64() - self.mean_seconds);
    }

    /// Notes what became of an exchange with a target.
    pub(crate) fn note_result(&mut self, target: &InstanceName, result: TargetResult) {
        let now = Instant::now();
        let shunned = self
            .loads
            .values()
            .filter(|load| load.is_shunned(now))
            .count();
        let may_shun = shunned < self.max_shunned;
        self.loads.entry(target.clone()).or_default().note(
            result,
            self.policy.slots,
            may_shun,
            now,
        );
    }

    /// How long a request of the team that joins now is likely to wait.
    pub(crate) fn expected_wait(&self, team: &TeamName) -> Duration {
        let allotment = self.allotment();
        let lanes = if allotment.contended {
            allotment.teams.get(team).copied().unwrap_or(1)
        } else {
            allotment.total
        };
        let lanes = f64::from(lanes.max(1));
        let ahead = if allotment.contended {
            self.wait_queue.waiting_of(team)
        } else {
            self.wait_queue.waiting()
        };
        Duration::from_secs_f64((f64::from(ahead) / lanes * self.mean_seconds.max(0.0)).min(3600.0))
    }

    /// The latest start that leaves time for a run of usual length.
    pub(crate) fn latest_start(&self, deadline: Instant) -> Instant {
        let usual =
            Duration::from_secs_f64((RUN_MEANS_KEPT * self.mean_seconds).clamp(0.0, 3600.0));
        deadline.checked_sub(usual).unwrap_or(deadline)
    }

    /// This entry's part of the pool: the pool is split among teams by weight and
    /// demand, and a team's part among entries by demand.
    fn allotment(&self) -> EntryAllotment {
        let capacity = u32::try_from(self.seats.len())
            .unwrap_or(u32::MAX)
            .saturating_mul(self.policy.slots);
        let own = self.own_demand();
        let mut fleet: FastMap<&TeamName, u32> = own
            .iter()
            .map(|demand| (&demand.team, demand.demand))
            .collect();
        let fresh = self
            .peers
            .values()
            .filter(|peer| peer.heard.elapsed() < DEMAND_LIFE);
        for (team, told) in fresh.flat_map(|peer| &peer.teams) {
            *fleet.entry(team).or_default() += told.demand;
        }
        let demand: u32 = fleet.values().sum();
        if demand <= capacity {
            return EntryAllotment {
                total: capacity,
                teams: FastMap::default(),
                contended: false,
            };
        }
        let teams: Vec<(&TeamName, u32)> = fleet.into_iter().collect();
        let claims: Vec<SplitClaim> = teams
            .iter()
            .map(|(team, demand)| self.claim(team, *demand))
            .collect();
        let grants = fair_split(f64::from(capacity), &claims);
        let mut allotment = EntryAllotment {
            contended: true,
            ..EntryAllotment::default()
        };
        let mut total = 0.0;
        for ((team, fleet_demand), grant) in teams.iter().zip(grants) {
            let Some(mine) = own.iter().find(|demand| demand.team == **team) else {
                continue;
            };
            let part = grant * f64::from(mine.demand) / f64::from((*fleet_demand).max(1));
            total += part;
            allotment.teams.insert((*team).clone(), round_up(part));
        }
        allotment.total = round_up(total);
        allotment
    }

    fn claim(&self, team: &TeamName, demand: u32) -> SplitClaim {
        let weight = self.weights.get(team).copied().unwrap_or(1);
        SplitClaim {
            weight: f64::from(weight),
            demand: f64::from(demand),
        }
    }

    /// The least busy target that takes work, of this data centre if there is one.
    fn choose_seat(&mut self, but: Option<&InstanceName>) -> Option<TargetSeat> {
        let now = Instant::now();
        let count = self.seats.len();
        self.next_seat = self.next_seat.wrapping_add(1);
        let turned = (0..count).map(|offset| &self.seats[(self.next_seat + offset) % count]);
        let idle = TargetLoad::default();
        let load = |seat: &TargetSeat| self.loads.get(&seat.name).unwrap_or(&idle);
        let mut open = turned.filter(|seat| {
            Some(&seat.name) != but && load(seat).takes_work(self.policy.slots, now)
        });
        if self.policy.choice == TargetChoice::RoundRobin {
            return open.next().cloned();
        }
        open.min_by_key(|seat| (seat.centre != self.policy.centre, load(seat).busy(now)))
            .cloned()
    }

    fn begin_on(&mut self, seat: &TargetSeat) {
        self.loads.entry(seat.name.clone()).or_default().begin();
    }

    fn end_on(&mut self, target: &InstanceName) {
        if let Some(load) = self.loads.get_mut(target) {
            load.end();
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "parts are small and not negative"
)]
fn round_up(part: f64) -> u32 {
    /// Keeps a whole part whole in spite of rounding.
    const SLACK: f64 = 1e-6;
    ((part - SLACK).ceil() as u32).max(1)
}
