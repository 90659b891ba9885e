//! Instances as the platform lists them, and the orders for them.

use {
    super::{
        fleet_schedule::FleetSchedule, maintenance_wave::WaveState, order_budget::OrderBudget,
        pool_demand::wanted_instances, wave_cordon::LiftedCordon, worker_order::WorkerOrder,
        worker_status::WorkerStatus,
    },
    crate::{
        collections::{FastMap, FastSet},
        names::{InstanceName, PoolName, WorkerName},
    },
};

/// Longest time that a pool with a shortage should wait because of the platform's order rate,
/// in milliseconds. Instances that can't be ordered within it are kept in the pools instead.
/// About the duration of a move.
const MOVE_WAIT_MS: u64 = 1_000;
/// How long an order for an instance takes precedence over the platform's list, in
/// milliseconds. Longer than the list's lag and the duration of a move.
const ORDER_PRECEDENCE_MS: u64 = 3_000;

/// Activity of an instance, as the platform lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceActivity {
    /// In service, or on standby in the spare pool.
    Up,
    /// Moving or in maintenance; its earlier runs have ended.
    Disrupted,
    /// Down, or in an unknown state.
    Down,
}

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Its name.
    pub name: InstanceName,
    /// Its pool.
    pub pool: PoolName,
    /// Its activity.
    pub activity: InstanceActivity,
    /// The worker that it hosts, if listed.
    pub worker: Option<WorkerName>,
}

/// An order for an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceOrder {
    /// Move it to a pool.
    Move {
        /// The instance.
        instance: InstanceName,
        /// The pool that it moves to.
        pool: PoolName,
    },
    /// Maintain it for a wave.
    Maintain {
        /// The instance.
        instance: InstanceName,
        /// Number of the wave.
        wave: u64,
    },
}

impl InstanceOrder {
    /// Returns the instance that the order is for.
    pub fn instance(&self) -> &InstanceName {
        match self {
            Self::Move { instance, .. } | Self::Maintain { instance, .. } => instance,
        }
    }
}

#[derive(Debug, Clone)]
pub(super) struct InstanceStatus {
    pub(super) pool: PoolName,
    pub(super) up: bool,
    pub(super) worker: Option<WorkerName>,
    pub(super) idle_since_ms: Option<u64>,
    pub(super) ordered_ms: Option<u64>,
    /// The pool that it leaves by an unconfirmed move.
    moving_from: Option<PoolName>,
}

/// Instances, their waves, and the demand of the pools.
#[derive(Debug, Default)]
pub struct InstancePlan {
    pub(super) instances: FastMap<InstanceName, InstanceStatus>,
    pub(super) waves: Vec<WaveState>,
    pub(super) spare: Option<PoolName>,
    pub(super) wanted: FastMap<PoolName, (usize, u64)>,
    pub(super) cooldowns: FastMap<InstanceName, u64>,
    pub(super) peaks: FastMap<PoolName, usize>,
    pub(super) maintenance_ms: u64,
    pub(super) moves_per_wait: usize,
    /// Instances with an unanswered order.
    pub(super) in_flight: FastSet<InstanceName>,
    /// Cordons that were lifted since they were last asked for.
    pub(super) lifted_cordons: Vec<LiftedCordon>,
    budget: OrderBudget,
}

impl InstancePlan {
    /// Creates a plan without instances. Maintenance takes `maintenance_ms`, and the platform
    /// accepts `orders_per_s` orders per second.
    pub fn new(maintenance_ms: u64, orders_per_s: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a rate is not negative and far below the largest value"
        )]
        let moves_per_wait = (orders_per_s * MOVE_WAIT_MS as f64 / 1e3) as usize;
        Self {
            maintenance_ms,
            moves_per_wait,
            budget: OrderBudget::new(orders_per_s),
            ..Self::default()
        }
    }

    /// Sets the spare pool, whose instances are powered off.
    pub fn set_spare(&mut self, spare: Option<PoolName>) {
        self.spare = spare;
    }

    /// Keeps an instance free of orders until this time, because an earlier owner sent one for
    /// it just before.
    pub fn set_cooldown(&mut self, instance: &InstanceName, until_ms: u64) {
        self.cooldowns.insert(instance.clone(), until_ms);
    }

    /// Applies the platform's list of instances. Recent orders take precedence over it.
    pub fn apply_instance_list(&mut self, list: Vec<ListedInstance>, now_ms: u64) {
        let listed: FastSet<_> = list.iter().map(|row| row.name.clone()).collect();
        self.instances.retain(|name, _| listed.contains(name));
        for row in list {
            let up = row.activity == InstanceActivity::Up;
            let status = self
                .instances
                .entry(row.name)
                .or_insert_with(|| InstanceStatus {
                    pool: row.pool.clone(),
                    up,
                    worker: None,
                    idle_since_ms: None,
                    ordered_ms: None,
                    moving_from: None,
                });
            if status
                .ordered_ms
                .is_some_and(|at| now_ms < at + ORDER_PRECEDENCE_MS && row.pool != status.pool)
            {
                continue;
            }
            status.pool = row.pool;
            status.up = up;
        }
        for wave in &mut self.waves {
            let confirmed = wave
                .started
                .iter()
                .filter(|(name, _)| wave.confirmed.contains(*name));
            for (name, started_ms) in confirmed {
                let up = self.instances.get(name).is_none_or(|status| status.up);
                if up && now_ms >= started_ms + self.maintenance_ms {
                    wave.returned.insert(name.clone());
                }
            }
        }
    }

    /// Records that an instance was moved to a pool.
    pub fn confirm_move(&mut self, instance: &InstanceName, pool: &PoolName, now_ms: u64) {
        self.in_flight.remove(instance);
        if let Some(status) = self.instances.get_mut(instance) {
            status.pool = pool.clone();
            status.up = false;
            status.worker = None;
            status.idle_since_ms = None;
            status.ordered_ms = Some(now_ms);
            status.moving_from = None;
        }
    }

    /// Records that a move got no answer. The worker gets no tasks until the platform's list
    /// shows whether it was carried out.
    pub fn mark_move_unconfirmed(&mut self, instance: &InstanceName, now_ms: u64) {
        self.in_flight.remove(instance);
        if let Some(status) = self.instances.get_mut(instance) {
            status.ordered_ms = Some(now_ms);
        }
    }

    /// Undoes a move that was refused.
    pub fn revert_move(&mut self, instance: &InstanceName) {
        self.in_flight.remove(instance);
        if let Some(status) = self.instances.get_mut(instance)
            && let Some(origin) = status.moving_from.take()
        {
            status.pool = origin;
            status.ordered_ms = None;
        }
    }

    /// Returns the worker that an instance hosts.
    pub fn worker_of(&self, instance: &InstanceName) -> Option<&WorkerName> {
        self.instances.get(instance)?.worker.as_ref()
    }

    /// Returns one line per pool for the log: its instances, the number that its load calls
    /// for, and the work that runs, waits and arrives there, in cores.
    pub fn pool_summaries(&self, schedule: &FleetSchedule, now_ms: u64) -> Vec<String> {
        let loads = schedule.pool_loads(now_ms);
        let summaries = loads.iter().map(|(pool, load)| {
            let own = self.instances.values().filter(|status| status.pool == *pool);
            let up = own.clone().filter(|status| status.up).count();
            let idle = own
                .clone()
                .filter(|status| status.idle_since_ms.is_some())
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
        summaries.collect()
    }

    /// Returns the next orders for instances, as many as the platform accepts, and stops for
    /// workers that are drained. An instance counts as ordered until its order is answered,
    /// and its worker gets no tasks.
    pub fn plan(
        &mut self,
        schedule: &mut FleetSchedule,
        now_ms: u64,
    ) -> (Vec<InstanceOrder>, Vec<WorkerOrder>) {
        self.update_workers(schedule, now_ms);
        self.cooldowns.retain(|_, until_ms| now_ms < *until_ms);
        let remaining = self.budget.remaining(now_ms);
        let (mut orders, stops) = self.plan_maintenance(schedule, now_ms, remaining);
        self.admit(&mut orders, now_ms);
        let mut moves = self.plan_moves(schedule, now_ms);
        self.admit(&mut moves, now_ms);
        for order in &moves {
            if let InstanceOrder::Move { instance, pool } = order {
                self.begin_move(instance, pool, schedule, now_ms);
            }
        }
        orders.extend(moves);
        (orders, stops)
    }

    pub(super) fn remaining_orders(&mut self, now_ms: u64) -> usize {
        self.budget.remaining(now_ms)
    }

    /// Truncates the orders to what the platform accepts now, and marks them as in flight.
    pub(super) fn admit(&mut self, orders: &mut Vec<InstanceOrder>, now_ms: u64) {
        orders.truncate(self.budget.remaining(now_ms));
        self.budget.record(now_ms, orders.len());
        let instances = orders.iter().map(|order| order.instance().clone());
        self.in_flight.extend(instances);
    }

    fn begin_move(
        &mut self,
        instance: &InstanceName,
        pool: &PoolName,
        schedule: &mut FleetSchedule,
        now_ms: u64,
    ) {
        let Some(status) = self.instances.get_mut(instance) else {
            return;
        };
        if let Some(worker) = &status.worker {
            schedule.begin_disruption(worker);
        }
        status.moving_from = Some(std::mem::replace(&mut status.pool, pool.clone()));
        status.up = false;
        status.idle_since_ms = None;
        status.ordered_ms = Some(now_ms);
    }

    /// Updates each instance's worker and whether it is idle.
    pub(super) fn update_workers(&mut self, schedule: &mut FleetSchedule, now_ms: u64) {
        let hosted = hosted_workers(schedule);
        let mut stayed = Vec::new();
        for (name, status) in &mut self.instances {
            let worker = hosted.get(name).map(|(_, worker)| *worker);
            let worker_name = worker.map(|worker| &worker.listed.name);
            if status.worker.as_ref() != worker_name {
                status.worker = worker_name.cloned();
            }
            let list_trusted = status
                .ordered_ms
                .is_none_or(|at| now_ms >= at + ORDER_PRECEDENCE_MS);
            if list_trusted && !self.in_flight.contains(name) && status.moving_from.take().is_some()
            {
                // The unanswered move did not happen in time: a worker that stayed gets tasks
                // again.
                stayed.extend(status.worker.clone());
            }
            // A worker's report is newer than the list.
            status.up |=
                worker.is_some_and(|worker| worker.listed.pool == status.pool && worker.reported);
            let idle = status.up
                && worker.is_some_and(|worker| {
                    worker.reported && worker.reachable && worker.runs.is_empty()
                });
            if idle {
                status.idle_since_ms.get_or_insert(now_ms);
            } else {
                status.idle_since_ms = None;
            }
        }
        for worker in stayed {
            schedule.set_cordon(&worker, false);
        }
    }

    pub(super) fn accepts_order(&self, instance: &InstanceName) -> bool {
        !self.in_flight.contains(instance) && !self.cooldowns.contains_key(instance)
    }
}

/// Returns the worker that each instance hosts, with its rank: the newest of those that answer, else
/// the newest.
fn hosted_workers(
    schedule: &FleetSchedule,
) -> FastMap<&InstanceName, ((bool, u64), &WorkerStatus)> {
    let mut hosted: FastMap<&InstanceName, ((bool, u64), &WorkerStatus)> = FastMap::default();
    for status in schedule.workers() {
        let Some(instance) = &status.listed.instance else {
            continue;
        };
        let answers = status.present && status.reported && status.reachable;
        let rank = (answers, status.listed.started_ms);
        if hosted.get(instance).is_none_or(|(best, _)| *best < rank) {
            hosted.insert(instance, (rank, status));
        }
    }
    hosted
}
