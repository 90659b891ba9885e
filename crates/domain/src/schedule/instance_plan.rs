//! Instances, what is ordered of them, and what the platform lists.

use {
    super::{
        fleet_schedule::FleetSchedule, maintenance_wave::WaveState, order_budget::OrderBudget,
        pool_need::wanted_instances, worker_order::WorkerOrder,
    },
    crate::{
        collections::{FastMap, FastSet},
        names::{InstanceName, PoolName, WorkerName},
    },
};

/// How long a pool that lacks instances should wait for orders that the platform takes only
/// so fast, in milliseconds: what can't be ordered within it is kept in the pools instead.
/// About what a move takes by itself.
const REACH_MS: u64 = 1_000;
/// How long an order for an instance stands before the platform's list is believed over
/// it, in milliseconds. Longer than the list lags and a move takes.
const ORDER_MEMORY_MS: u64 = 3_000;

/// What an instance is doing, as the platform lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceActivity {
    /// It works, or stands by in the spare pool.
    Up,
    /// It moves or is maintained: nothing of before runs there.
    Disrupted,
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
    pub fn set_cooldown(&mut self, instance: &InstanceName, until_ms: u64) {
        self.resting.insert(instance.clone(), until_ms);
    }

    /// Takes in the platform's list. What was ordered lately is believed over it.
    pub fn apply_instance_list(&mut self, list: Vec<ListedInstance>, now_ms: u64) {
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
                .started
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
    pub fn confirm_move(&mut self, instance: &InstanceName, pool: &PoolName, now_ms: u64) {
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
    pub fn mark_move_unconfirmed(&mut self, instance: &InstanceName, now_ms: u64) {
        self.under_way.remove(instance);
        if let Some(seat) = self.instances.get_mut(instance) {
            seat.ordered_ms = Some(now_ms);
        }
    }

    /// Takes note that a move was refused.
    pub fn revert_move(&mut self, instance: &InstanceName) {
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
    pub fn pool_summaries(&self, schedule: &FleetSchedule, now_ms: u64) -> Vec<String> {
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
                schedule.workers_with_orphans(pool, now_ms).count(),
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
            schedule.begin_disruption(worker);
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
                .is_none_or(|(born, ..)| *born < own.started_ms)
            {
                let life = (own.started_ms, own.name.clone(), own.pool.clone());
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
                *pool == seat.pool && schedule.worker(worker).is_some_and(|seat| seat.reported)
            });
            let idle = seat.up
                && seat.worker.as_ref().is_some_and(|worker| {
                    schedule
                        .worker(worker)
                        .is_some_and(|seat| seat.reported && seat.reachable && seat.runs.is_empty())
                });
            if idle {
                seat.idle_since_ms.get_or_insert(now_ms);
            } else {
                seat.idle_since_ms = None;
            }
        }
    }

    pub(super) fn may_order(&self, instance: &InstanceName) -> bool {
        !self.under_way.contains(instance) && !self.resting.contains_key(instance)
    }
}
