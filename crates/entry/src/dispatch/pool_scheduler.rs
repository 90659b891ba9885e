//! Schedules one pool within one entry: waiting work, available targets, and the next grant.

use {
    super::{
        run_grant::RunGrant,
        target_load::{TargetLoad, TargetOutcome},
    },
    crate::{cli::TargetChoice, permits::PermitRegistry},
    dotterelshore_domain::{
        collections::FastMap,
        names::{CentreName, EntryName, InstanceName, TeamName},
        queue::{QueueDiscipline, WaitQueue, WeightedDemand, fair_split},
    },
    dotterelshore_wire::peer_message::{PoolDemand, TeamCount},
    std::time::{Duration, Instant},
    tokio::sync::oneshot,
};

/// How long a peer's reported demand stays valid.
const PEER_DEMAND_TTL: Duration = Duration::from_millis(1500);
/// How long a peer's reported idle permits stay valid.
const PEER_IDLE_TTL: Duration = Duration::from_millis(600);
/// Number of mean run lengths that must fit between a start and the deadline.
const MEAN_RUNS_BEFORE_DEADLINE: f64 = 2.0;
/// Weight of the newest run in the moving average of the pool's run length.
const MEAN_RUN_SMOOTHING: f64 = 0.05;

/// Name, location and address of a target that accepts work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TargetEndpoint {
    pub(crate) name: InstanceName,
    pub(crate) centre: CentreName,
    pub(crate) address: String,
}

/// A permit of the team and a slot of the target, both reserved for one run.
#[derive(Debug, Clone)]
pub(crate) struct SlotGrant {
    pub(crate) team: TeamName,
    pub(crate) endpoint: TargetEndpoint,
}

/// Sends a grant to the waiting request or job. The channel owns the grant, so a grant whose
/// receiver is gone is dropped and returns its permit and slot.
pub(crate) type GrantSender = oneshot::Sender<RunGrant>;

/// Demand and idle permits of a team, as last reported by a peer.
#[derive(Debug, Clone, Copy)]
struct PeerTeam {
    demand: u32,
    idle: u32,
}

#[derive(Debug)]
struct PeerDemand {
    teams: FastMap<TeamName, PeerTeam>,
    /// Whether the peer asks the other entries to report their demand.
    requests_reports: bool,
    received_at: Instant,
}

/// Settings of a pool's scheduler. `slots` counts the slots of each target.
#[derive(Debug, Clone)]
pub(crate) struct SchedulerPolicy {
    pub(crate) discipline: QueueDiscipline,
    pub(crate) choice: TargetChoice,
    pub(crate) centre: CentreName,
    pub(crate) slots: u32,
}

/// Slots of the pool that this entry may use, in total and by team.
///
/// `teams` is empty while the pool is not contended, and then does not limit any team.
#[derive(Debug, Default)]
struct EntryAllocation {
    total: u32,
    teams: FastMap<TeamName, u32>,
    contended: bool,
}

/// Grants the slots of one pool to the work that waits in this entry.
#[derive(Debug)]
pub(crate) struct PoolScheduler {
    policy: SchedulerPolicy,
    pub(crate) wait_queue: WaitQueue<GrantSender>,
    weights: FastMap<TeamName, u32>,
    running: FastMap<TeamName, u32>,
    running_total: u32,
    targets: Vec<TargetEndpoint>,
    loads: FastMap<InstanceName, TargetLoad>,
    peers: FastMap<EntryName, PeerDemand>,
    next_target: usize,
    mean_run_seconds: f64,
    max_ejected: usize,
}

impl PoolScheduler {
    /// Creates a scheduler without targets and waiting work.
    pub(crate) fn new(policy: SchedulerPolicy) -> Self {
        Self {
            wait_queue: WaitQueue::new(policy.discipline),
            policy,
            weights: FastMap::default(),
            running: FastMap::default(),
            running_total: 0,
            targets: Vec::new(),
            loads: FastMap::default(),
            peers: FastMap::default(),
            next_target: rand::random::<u16>().into(),
            mean_run_seconds: 0.02,
            max_ejected: 1,
        }
    }

    /// Replaces the targets that accept work, and sets how many failing ones may be ejected.
    pub(crate) fn set_targets(&mut self, targets: Vec<TargetEndpoint>, max_ejected: usize) {
        self.targets = targets;
        self.max_ejected = max_ejected;
    }

    /// Returns the number of targets that accept work.
    pub(crate) fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Sets a team's weight.
    pub(crate) fn set_weight(&mut self, team: &TeamName, weight: u32) {
        self.weights.insert(team.clone(), weight);
    }

    /// Stores the demand that a peer reports, and replaces its previous report.
    pub(crate) fn record_demand(
        &mut self,
        peer: EntryName,
        requests_reports: bool,
        teams: Vec<PoolDemand>,
    ) {
        let peer_team = |demand: PoolDemand| {
            let team = PeerTeam {
                demand: demand.demand,
                idle: demand.idle,
            };
            (demand.team, team)
        };
        let teams = teams.into_iter().map(peer_team).collect();
        self.peers.insert(
            peer,
            PeerDemand {
                teams,
                requests_reports,
                received_at: Instant::now(),
            },
        );
    }

    /// Whether this entry needs the demand of the other entries.
    ///
    /// It does while work waits, or while it uses more than half of the slots that an equal
    /// split of the pool among `entries` would give it.
    pub(crate) fn needs_peer_demand(&self, entries: u32) -> bool {
        let slots = u32::try_from(self.targets.len())
            .unwrap_or(u32::MAX)
            .saturating_mul(self.policy.slots);
        self.wait_queue.waiting() > 0 || self.running_total > slots / (2 * entries.max(1))
    }

    /// Whether a peer currently asks for this entry's demand.
    pub(crate) fn has_peer_interest(&self) -> bool {
        self.peers
            .values()
            .any(|peer| peer.requests_reports && peer.received_at.elapsed() < PEER_DEMAND_TTL)
    }

    /// Returns the teams for which a peer currently reports demand, sorted by name.
    pub(crate) fn peer_teams(&self) -> Vec<TeamName> {
        let fresh = self
            .peers
            .values()
            .filter(|peer| peer.received_at.elapsed() < PEER_DEMAND_TTL);
        let with_demand = fresh
            .flat_map(|peer| &peer.teams)
            .filter(|(_, reported)| reported.demand > 0);
        let mut teams: Vec<TeamName> = with_demand.map(|(team, _)| team.clone()).collect();
        teams.sort();
        teams.dedup();
        teams
    }

    /// Picks the peer that reported the most idle permits of a team.
    ///
    /// Each call counts one of these permits as used until the peer's next report.
    pub(crate) fn take_idle_peer(&mut self, team: &TeamName) -> Option<EntryName> {
        let fresh = self
            .peers
            .iter_mut()
            .filter(|(_, peer)| peer.received_at.elapsed() < PEER_IDLE_TTL);
        let reported = fresh.filter_map(|(name, peer)| Some((name, peer.teams.get_mut(team)?)));
        let (name, reported) = reported.max_by_key(|(_, reported)| reported.idle)?;
        if reported.idle == 0 {
            return None;
        }
        reported.idle -= 1;
        Some(name.clone())
    }

    /// Returns this entry's demand by team: waiting and running work.
    pub(crate) fn own_demand(&self) -> Vec<TeamCount> {
        let mut demand: FastMap<&TeamName, u32> = FastMap::default();
        for (team, running) in self.running.iter().filter(|(_, running)| **running > 0) {
            *demand.entry(team).or_default() += running;
        }
        for (team, waiting) in self.wait_queue.waiting_by_team() {
            *demand.entry(team).or_default() += waiting;
        }
        demand
            .into_iter()
            .map(|(team, demand)| TeamCount {
                team: team.clone(),
                count: demand,
            })
            .collect()
    }

    /// Returns the number of this entry's unfinished runs on a target.
    pub(crate) fn running_on(&self, target: &InstanceName) -> u32 {
        self.loads.get(target).map_or(0, TargetLoad::own_runs)
    }

    /// Returns the number of this entry's unfinished runs.
    pub(crate) fn running_total(&self) -> u32 {
        self.running_total
    }

    /// Returns how much waiting work of each team could start now if permits did not limit it.
    ///
    /// In a contended pool this is at most the team's unused part of this entry's allocation.
    pub(crate) fn waiting_within_share(&self) -> Vec<(TeamName, u32)> {
        let allocation = self.allocation();
        let within_share = |team: &TeamName, waiting: u32| {
            let running = self.running.get(team).copied().unwrap_or_default();
            let share = allocation.teams.get(team).copied().unwrap_or(1);
            if allocation.contended {
                waiting.min(share.saturating_sub(running))
            } else {
                waiting
            }
        };
        let waiting = self.wait_queue.waiting_by_team();
        waiting
            .map(|(team, waiting)| (team.clone(), within_share(team, waiting)))
            .collect()
    }

    /// Grants a slot to the next eligible waiter; `None` if none is eligible or no target is free.
    pub(crate) fn grant_next(
        &mut self,
        permits: &PermitRegistry,
    ) -> Option<(GrantSender, SlotGrant)> {
        let allocation = self.allocation();
        loop {
            if self.wait_queue.waiting() == 0 || self.running_total >= allocation.total {
                return None;
            }
            let endpoint = self.choose_target(None)?;
            let running = &self.running;
            let is_eligible = |team: &TeamName| {
                let running = running.get(team).copied().unwrap_or_default();
                let within = !allocation.contended
                    || running < allocation.teams.get(team).copied().unwrap_or(1);
                within && permits.has_free(team)
            };
            let item = self.wait_queue.dequeue(is_eligible)?;
            if item.waiter.is_closed() || !permits.try_acquire(&item.team) {
                continue;
            }
            self.add_run_on(&endpoint);
            *self.running.entry(item.team.clone()).or_default() += 1;
            self.running_total += 1;
            return Some((
                item.waiter,
                SlotGrant {
                    team: item.team,
                    endpoint,
                },
            ));
        }
    }

    /// Whether new work would start at once, permits aside.
    pub(crate) fn has_capacity(&mut self) -> bool {
        self.wait_queue.waiting() == 0
            && self.running_total < self.allocation().total
            && self.choose_target(None).is_some()
    }

    /// Moves a grant to another target after the current one ran nothing.
    ///
    /// Returns `None`, and leaves the grant where it is, if no other target accepts work.
    pub(crate) fn reassign(&mut self, current: &TargetEndpoint) -> Option<TargetEndpoint> {
        let endpoint = self.choose_target(Some(&current.name))?;
        self.remove_run_on(&current.name);
        self.add_run_on(&endpoint);
        Some(endpoint)
    }

    /// Frees the slot that a finished run used for `slot_time`.
    pub(crate) fn end_run(&mut self, grant: &SlotGrant, slot_time: Duration) {
        self.remove_run_on(&grant.endpoint.name);
        if let Some(running) = self.running.get_mut(&grant.team) {
            *running = running.saturating_sub(1);
        }
        self.running_total = self.running_total.saturating_sub(1);
        self.wait_queue
            .settle_cost(&grant.team, slot_time.as_secs_f64());
        self.mean_run_seconds +=
            MEAN_RUN_SMOOTHING * (slot_time.as_secs_f64() - self.mean_run_seconds);
    }

    /// Records the outcome of an exchange with a target, and ejects it if it keeps failing.
    ///
    /// A reachable target is ejected only while fewer than `max_ejected` targets are.
    pub(crate) fn record_outcome(&mut self, target: &InstanceName, outcome: TargetOutcome) {
        let now = Instant::now();
        let ejected = self
            .loads
            .values()
            .filter(|load| load.is_ejected(now))
            .count();
        let may_eject = ejected < self.max_ejected;
        self.loads
            .entry(target.clone())
            .or_default()
            .record_outcome(outcome, self.policy.slots, may_eject, now);
    }

    /// Estimates how long a new request of the team would wait.
    pub(crate) fn expected_wait(&self, team: &TeamName) -> Duration {
        let allocation = self.allocation();
        let slots = if allocation.contended {
            allocation.teams.get(team).copied().unwrap_or(1)
        } else {
            allocation.total
        };
        let slots = f64::from(slots.max(1));
        let ahead = if allocation.contended {
            self.wait_queue.waiting_of(team)
        } else {
            self.wait_queue.waiting()
        };
        Duration::from_secs_f64(
            (f64::from(ahead) / slots * self.mean_run_seconds.max(0.0)).min(3600.0),
        )
    }

    /// Returns the latest start that leaves time for a run of usual length before `deadline`.
    pub(crate) fn latest_start(&self, deadline: Instant) -> Instant {
        let reserve = Duration::from_secs_f64(
            (MEAN_RUNS_BEFORE_DEADLINE * self.mean_run_seconds).clamp(0.0, 3600.0),
        );
        deadline.checked_sub(reserve).unwrap_or(deadline)
    }

    /// Computes this entry's allocation of the pool.
    ///
    /// The pool is split among teams by weight and demand, and each team's share among the
    /// entries by demand.
    fn allocation(&self) -> EntryAllocation {
        let capacity = u32::try_from(self.targets.len())
            .unwrap_or(u32::MAX)
            .saturating_mul(self.policy.slots);
        let own_demand = self.own_demand();
        let mut demand_by_team: FastMap<&TeamName, u32> = own_demand
            .iter()
            .map(|demand| (&demand.team, demand.count))
            .collect();
        let fresh = self
            .peers
            .values()
            .filter(|peer| peer.received_at.elapsed() < PEER_DEMAND_TTL);
        for (team, reported) in fresh.flat_map(|peer| &peer.teams) {
            *demand_by_team.entry(team).or_default() += reported.demand;
        }
        let demand: u32 = demand_by_team.values().sum();
        if demand <= capacity {
            return EntryAllocation {
                total: capacity,
                teams: FastMap::default(),
                contended: false,
            };
        }
        let teams: Vec<(&TeamName, u32)> = demand_by_team.into_iter().collect();
        let weighted_demands: Vec<WeightedDemand> = teams
            .iter()
            .map(|(team, demand)| self.weighted_demand(team, *demand))
            .collect();
        let shares = fair_split(f64::from(capacity), &weighted_demands);
        let mut allocation = EntryAllocation {
            contended: true,
            ..EntryAllocation::default()
        };
        let mut total = 0.0;
        for ((team, fleet_demand), team_share) in teams.iter().zip(shares) {
            let Some(team_demand) = own_demand.iter().find(|demand| demand.team == **team) else {
                continue;
            };
            let share =
                team_share * f64::from(team_demand.count) / f64::from((*fleet_demand).max(1));
            total += share;
            allocation.teams.insert((*team).clone(), round_up(share));
        }
        allocation.total = round_up(total);
        allocation
    }

    fn weighted_demand(&self, team: &TeamName, demand: u32) -> WeightedDemand {
        let weight = self.weights.get(team).copied().unwrap_or(1);
        WeightedDemand {
            weight: f64::from(weight),
            amount: f64::from(demand),
        }
    }

    /// Chooses the least busy target that accepts work, preferring those in this data centre.
    ///
    /// With [`TargetChoice::RoundRobin`] it is the next target in rotation that accepts work.
    fn choose_target(&mut self, excluded: Option<&InstanceName>) -> Option<TargetEndpoint> {
        let now = Instant::now();
        let count = self.targets.len();
        self.next_target = self.next_target.wrapping_add(1);
        let rotated = (0..count).map(|offset| &self.targets[(self.next_target + offset) % count]);
        let idle = TargetLoad::default();
        let load = |endpoint: &TargetEndpoint| self.loads.get(&endpoint.name).unwrap_or(&idle);
        let mut available = rotated.filter(|endpoint| {
            Some(&endpoint.name) != excluded && load(endpoint).accepts_work(self.policy.slots, now)
        });
        if self.policy.choice == TargetChoice::RoundRobin {
            return available.next().cloned();
        }
        available
            .min_by_key(|endpoint| {
                (
                    endpoint.centre != self.policy.centre,
                    load(endpoint).busy(now),
                )
            })
            .cloned()
    }

    fn add_run_on(&mut self, endpoint: &TargetEndpoint) {
        self.loads
            .entry(endpoint.name.clone())
            .or_default()
            .add_run();
    }

    fn remove_run_on(&mut self, target: &InstanceName) {
        if let Some(load) = self.loads.get_mut(target) {
            load.remove_run();
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "shares are small and not negative"
)]
fn round_up(share: f64) -> u32 {
    /// Absorbs floating-point error, so that an integral share is not rounded up.
    const SLACK: f64 = 1e-6;
    ((share - SLACK).ceil() as u32).max(1)
}
