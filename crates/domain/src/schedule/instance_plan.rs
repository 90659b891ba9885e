//! Which instances move between pools, and which are taken down for maintenance.

use {
    super::{
        fleet_schedule::{FleetSchedule, PoolLoad},
        maintenance_wave::WaveState,
        order_budget::OrderBudget,
        pool_need::wanted_instances,
        worker_order::WorkerOrder,
    },
    crate::{
        collections::{FastMap, FastSet},
        names::{InstanceName, PoolName, WorkerName},
    },
};

/// How long a pool keeps instances for demand that it had, in milliseconds. About half of
/// the users' peaks of some four seconds: a lull within a peak empties no pool.
const DEMAND_MEMORY_MS: u64 = 2_000;
/// How long a worker has nothing to do before its instance may leave, in milliseconds.
const IDLE_MS: u64 = 700;
/// How long a pool that lacks instances should wait for orders that the platform takes only
/// so fast, in milliseconds: what can't be ordered within it is kept in the pools instead.
/// About what a move takes by itself.
const REACH_MS: u64 = 1_000;
/// How many times its first size a pool is expected to ask for before it was seen: operators
/// size pools by their usual load.
const PEAK_GUESS: usize = 2;
/// How long an order for an instance stands before the platform's list is believed over
/// it, in milliseconds. Longer than the list lags and a move takes.
const ORDER_MEMORY_MS: u64 = 3_000;

/// What an instance is doing, as the platform lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceActivity {
    /// It works, or stands by in the spare pool.
    Up,
    /// It moves or is maintained: nothing of before runs there.
    Away,
    /// It is down, or in a state that is not known here.
    Down,
}

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Its name.
    pub name: InstanceName,
    /// Its pool.
    pub pool: PoolName,
    /// What it is doing.
    pub activity: InstanceActivity,
    /// The worker's life on it, where told.
    pub worker: Option<WorkerName>,
}

/// An order for an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceOrder {
    /// Move it to a pool.
    Move {
        /// The instance.
        instance: InstanceName,
        /// Where it goes.
        pool: PoolName,
    },
    /// Take it down for a wave.
    Maintain {
        /// The instance.
        instance: InstanceName,
        /// The wave.
        wave: u64,
    },
}

impl InstanceOrder {
    /// The instance that it is for.
    pub fn instance(&self) -> &InstanceName {
        match self {
            Self::Move { instance, .. } | Self::Maintain { instance, .. } => instance,
        }
    }
}

#[derive(Debug, Clone)]
pub(super) struct InstanceSeat {
    pub(super) pool: PoolName,
    pub(super) up: bool,
    pub(super) worker: Option<WorkerName>,
    pub(super) idle_since_ms: Option<u64>,
    pub(super) ordered_ms: Option<u64>,
    /// The pool that it leaves by a move that is not confirmed.
    leaves: Option<PoolName>,
}

/// Instances, their waves, and what pools need.
#[derive(Debug, Default)]
pub struct InstancePlan {
    pub(super) instances: FastMap<InstanceName, InstanceSeat>,
    pub(super) waves: Vec<WaveState>,
    pub(super) spare: Option<PoolName>,
    pub(super) wanted: FastMap<PoolName, (usize, u64)>,
    pub(super) resting: FastMap<InstanceName, u64>,
    pub(super) peaks: FastMap<PoolName, usize>,
    pub(super) upkeep_ms: u64,
    pub(super) reach: usize,
    /// Instances with an order that was sent and not answered yet.
    pub(super) under_way: FastSet<InstanceName>,
    budget: OrderBudget,
}

impl InstancePlan {
    /// A plan that knows no instance; maintenance takes `upkeep_ms`, and the platform takes
    /// so many orders a second.
    pub fn new(upkeep_ms: u64, orders_per_s: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a rate is not negative and far below what fits"
        )]
        let reach = (orders_per_s * REACH_MS as f64 / 1e3) as usize;
        Self {
            upkeep_ms,
            reach,
            budget: OrderBudget::new(orders_per_s),
            ..Self::default()
        }
    }

    /// Sets the pool whose instances are switched off.
    pub fn set_spare(&mut self, spare: Option<PoolName>) {
        self.spare = spare;
    }

    /// Leaves an instance alone until this time: an earlier owner ordered it just before.
    pub fn rest(&mut self, instance: &InstanceName, until_ms: u64) {
        self.resting.insert(instance.clone(), until_ms);
    }

    /// Takes in the platform's list. What was ordered lately is believed over it.
    pub fn take_list(&mut self, list: Vec<ListedInstance>, now_ms: u64) {
        let listed: FastSet<_> = list.iter().map(|row| row.name.clone()).collect();
        self.instances.retain(|name, _| listed.contains(name));
        for row in list {
            let up = row.activity == InstanceActivity::Up;
            let seat = self
                .instances
                .entry(row.name)
                .or_insert_with(|| InstanceSeat {
                    pool: row.pool.clone(),
                    up,
                    worker: None,
                    idle_since_ms: None,
                    ordered_ms: None,
                    leaves: None,
                });
            if seat
                .ordered_ms
                .is_some_and(|at| now_ms < at + ORDER_MEMORY_MS && row.pool != seat.pool)
            {
                continue;
            }
            seat.pool = row.pool;
            seat.up = up;
        }
        for wave in &mut self.waves {
            let confirmed = wave
                .begun
                .iter()
                .filter(|(name, _)| wave.confirmed.contains(*name));
            for (name, begun_ms) in confirmed {
                let up = self.instances.get(name).is_none_or(|seat| seat.up);
                if up && now_ms >= begun_ms + self.upkeep_ms {
                    wave.back.insert(name.clone());
                }
            }
        }
    }

    /// Takes note that an instance was moved to a pool.
    pub fn moved(&mut self, instance: &InstanceName, pool: &PoolName, now_ms: u64) {
        self.under_way.remove(instance);
        if let Some(seat) = self.instances.get_mut(instance) {
            seat.pool = pool.clone();
            seat.up = false;
            seat.worker = None;
            seat.idle_since_ms = None;
            seat.ordered_ms = Some(now_ms);
            seat.leaves = None;
        }
    }

    /// Takes note that a move got no answer: what the platform lists decides in a while, and
    /// the worker takes no work until then.
    pub fn move_unsure(&mut self, instance: &InstanceName, now_ms: u64) {
        self.under_way.remove(instance);
        if let Some(seat) = self.instances.get_mut(instance) {
            seat.ordered_ms = Some(now_ms);
        }
    }

    /// Takes note that a move was refused.
    pub fn move_refused(&mut self, instance: &InstanceName) {
        self.under_way.remove(instance);
        if let Some(seat) = self.instances.get_mut(instance)
            && let Some(left) = seat.leaves.take()
        {
            seat.pool = left;
            seat.ordered_ms = None;
        }
    }

    /// The worker's life on an instance.
    pub fn worker_of(&self, instance: &InstanceName) -> Option<&WorkerName> {
        self.instances.get(instance)?.worker.as_ref()
    }

    /// Each pool's instances, how many its work asks for, and what runs and waits there in
    /// cores; one line a pool, for the log.
    pub fn pool_lines(&self, schedule: &FleetSchedule, now_ms: u64) -> Vec<String> {
        let loads = schedule.pool_loads(now_ms);
        let lines = loads.iter().map(|(pool, load)| {
            let own = self.instances.values().filter(|seat| seat.pool == *pool);
            let up = own.clone().filter(|seat| seat.up).count();
            let idle = own
                .clone()
                .filter(|seat| seat.idle_since_ms.is_some())
                .count();
            format!(
                "{pool}:instances={},up={up},idle={idle},unseen={},wanted={},running={},waiting={},arriving={}",
                own.count(),
                schedule.unseen_workers(pool, now_ms).count(),
                wanted_instances(load),
                load.reserved_milli / 1000,
                load.waiting_milli / 1000,
                load.arriving_milli / 1000
            )
        });
        lines.collect()
    }

    /// What to order next, of instances and of workers that are emptied: no more than the
    /// platform takes. Each instance counts as ordered until its order is answered, and its
    /// worker takes no work.
    pub fn plan(
        &mut self,
        schedule: &mut FleetSchedule,
        now_ms: u64,
    ) -> (Vec<InstanceOrder>, Vec<WorkerOrder>) {
        self.note_workers(schedule, now_ms);
        self.resting.retain(|_, until_ms| now_ms < *until_ms);
        let left = self.budget.left(now_ms);
        let (mut orders, stops) = self.plan_maintenance(schedule, now_ms, left);
        self.begin(&mut orders, now_ms);
        let mut moves = self.plan_moves(schedule, now_ms);
        self.begin(&mut moves, now_ms);
        for order in &moves {
            if let InstanceOrder::Move { instance, pool } = order {
                self.move_begins(instance, pool, schedule, now_ms);
            }
        }
        orders.extend(moves);
        (orders, stops)
    }

    pub(super) fn orders_left(&mut self, now_ms: u64) -> usize {
        self.budget.left(now_ms)
    }

    /// Keeps as many orders as the platform takes now, and counts them as under way.
    pub(super) fn begin(&mut self, orders: &mut Vec<InstanceOrder>, now_ms: u64) {
        orders.truncate(self.budget.left(now_ms));
        self.budget.take(now_ms, orders.len());
        let instances = orders.iter().map(|order| order.instance().clone());
        self.under_way.extend(instances);
    }

    fn move_begins(
        &mut self,
        instance: &InstanceName,
        pool: &PoolName,
        schedule: &mut FleetSchedule,
        now_ms: u64,
    ) {
        let Some(seat) = self.instances.get_mut(instance) else {
            return;
        };
        if let Some(worker) = &seat.worker {
            schedule.note_taken_down(worker);
        }
        seat.leaves = Some(std::mem::replace(&mut seat.pool, pool.clone()));
        seat.up = false;
        seat.idle_since_ms = None;
        seat.ordered_ms = Some(now_ms);
    }

    /// Takes note of each instance's worker and whether it has nothing to do.
    pub(super) fn note_workers(&mut self, schedule: &mut FleetSchedule, now_ms: u64) {
        let mut lives: FastMap<InstanceName, (u64, WorkerName, PoolName)> = FastMap::default();
        for seat in schedule.workers() {
            let Some(instance) = &seat.listed.instance else {
                continue;
            };
            let own = &seat.listed;
            if lives
                .get(instance)
                .is_none_or(|(born, ..)| *born < own.born_ms)
            {
                let life = (own.born_ms, own.name.clone(), own.pool.clone());
                lives.insert(instance.clone(), life);
            }
        }
        for (name, seat) in &mut self.instances {
            seat.worker = lives.get(name).map(|(_, worker, _)| worker.clone());
            let believed = seat
                .ordered_ms
                .is_none_or(|at| now_ms >= at + ORDER_MEMORY_MS);
            if believed && !self.under_way.contains(name) && seat.leaves.take().is_some() {
                // The move without an answer had its time: a worker that stayed takes work.
                if let Some(worker) = &seat.worker {
                    schedule.set_cordon(worker, false);
                }
            }
            // A worker that is heard is a newer sign than the list.
            seat.up |= lives.get(name).is_some_and(|(_, worker, pool)| {
                *pool == seat.pool && schedule.worker(worker).is_some_and(|seat| seat.heard)
            });
            let idle = seat.up
                && seat.worker.as_ref().is_some_and(|worker| {
                    schedule
                        .worker(worker)
                        .is_some_and(|seat| seat.heard && seat.reachable && seat.runs.is_empty())
                });
            if idle {
                seat.idle_since_ms.get_or_insert(now_ms);
            } else {
                seat.idle_since_ms = None;
            }
        }
    }

    fn plan_moves(&mut self, schedule: &FleetSchedule, now_ms: u64) -> Vec<InstanceOrder> {
        let Some(spare) = self.spare.clone() else {
            return Vec::new();
        };
        let loads = schedule.pool_loads(now_ms);
        let mut have: FastMap<PoolName, usize> = FastMap::default();
        for seat in self.instances.values() {
            *have.entry(seat.pool.clone()).or_default() += 1;
        }
        let kept_anyway = self.kept_anyway(&loads, &have, &spare);
        let mut lacking: Vec<(usize, PoolName)> = Vec::new();
        let mut lendable: FastMap<PoolName, usize> = FastMap::default();
        let mut returnable: FastMap<PoolName, usize> = FastMap::default();
        for (pool, load) in loads.iter().filter(|(pool, _)| **pool != spare) {
            let now_wanted = wanted_instances(load);
            let entry = self
                .wanted
                .entry(pool.clone())
                .or_insert((now_wanted, now_ms));
            if now_wanted >= entry.0 || now_ms > entry.1 + DEMAND_MEMORY_MS {
                *entry = (now_wanted, now_ms);
            }
            let own = have.get(pool).copied().unwrap_or_default();
            if now_wanted > own {
                lacking.push((now_wanted - own, pool.clone()));
            }
            lendable.insert(pool.clone(), own.saturating_sub(entry.0));
            let kept = entry.0.max(kept_anyway);
            returnable.insert(pool.clone(), own.saturating_sub(kept));
        }
        // The pool that lacks most comes first.
        lacking.sort_by(|a, b| b.cmp(a));
        let mut free = self.free_instances(&spare);
        let idle = self.idle_instances(&spare);
        let mut lent = FastSet::default();
        let mut orders = Vec::new();
        for (lack, pool) in lacking {
            for _ in 0..lack {
                let idle_one = || {
                    let (_, instance, from) = idle.iter().find(|(_, instance, from)| {
                        !lent.contains(instance) && lendable.get(from).is_some_and(|left| *left > 0)
                    })?;
                    Some((instance.clone(), Some(from.clone())))
                };
                let Some((instance, from)) = free.pop().map(|free| (free, None)).or_else(idle_one)
                else {
                    break;
                };
                if let Some(from) = from {
                    lent.insert(instance.clone());
                    take_one(&mut lendable, &from);
                    take_one(&mut returnable, &from);
                }
                orders.push(InstanceOrder::Move {
                    instance,
                    pool: pool.clone(),
                });
            }
        }
        for (since, instance, from) in idle {
            let long = now_ms >= since + IDLE_MS && !lent.contains(&instance);
            if long && returnable.get(&from).is_some_and(|left| *left > 0) {
                take_one(&mut returnable, &from);
                orders.push(InstanceOrder::Move {
                    instance,
                    pool: spare.clone(),
                });
            }
        }
        orders
    }

    /// Instances that each pool keeps, whatever it asks for: what its peak asks for beyond
    /// the orders that the platform takes in a short time, but no more than an equal part
    /// of the fleet.
    fn kept_anyway(
        &mut self,
        loads: &FastMap<PoolName, PoolLoad>,
        have: &FastMap<PoolName, usize>,
        spare: &PoolName,
    ) -> usize {
        for (pool, load) in loads.iter().filter(|(pool, _)| *pool != spare) {
            let first = have.get(pool).copied().unwrap_or_default() * PEAK_GUESS;
            let peak = self.peaks.entry(pool.clone()).or_insert(first);
            *peak = (*peak).max(wanted_instances(load));
        }
        let peak = self.peaks.values().copied().max().unwrap_or_default();
        let equal_part = self.instances.len() / self.peaks.len().max(1);
        peak.saturating_sub(self.reach).min(equal_part)
    }

    pub(super) fn may_order(&self, instance: &InstanceName) -> bool {
        !self.under_way.contains(instance) && !self.resting.contains_key(instance)
    }

    fn free_instances(&self, spare: &PoolName) -> Vec<InstanceName> {
        let mut free: Vec<InstanceName> = self
            .instances
            .iter()
            .filter(|(name, seat)| seat.up && seat.pool == *spare && self.may_order(name))
            .map(|(name, _)| name.clone())
            .collect();
        free.sort();
        free
    }

    /// Idle instances outside the spare pool, those first that have been idle longest.
    fn idle_instances(&self, spare: &PoolName) -> Vec<(u64, InstanceName, PoolName)> {
        let mut idle: Vec<(u64, InstanceName, PoolName)> = self
            .instances
            .iter()
            .filter(|(name, seat)| seat.pool != *spare && self.may_order(name))
            .filter_map(|(name, seat)| Some((seat.idle_since_ms?, name.clone(), seat.pool.clone())))
            .collect();
        idle.sort();
        idle
    }
}

fn take_one(left: &mut FastMap<PoolName, usize>, pool: &PoolName) {
    if let Some(left) = left.get_mut(pool) {
        *left = left.saturating_sub(1);
    }
}
