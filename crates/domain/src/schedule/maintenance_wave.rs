//! Maintenance waves: which instances are disrupted next.

use {
    super::{
        fleet_schedule::FleetSchedule,
        instance_plan::{InstanceOrder, InstancePlan, InstanceStatus},
        wave_cordon::{LiftedCordon, PoolCordons, WaveCordon},
        worker_order::WorkerOrder,
    },
    crate::{
        collections::{FastMap, FastSet},
        names::{InstanceName, WorkerName},
    },
    serde::{Deserialize, Serialize},
};

/// Part of a wave's time after which its second phase starts, in percent. In the first half
/// instances that become idle are maintained, in the second all that are left.
const SECOND_PHASE_PERCENT: u64 = 50;

/// Instances of a wave that are drained at the same time in the first phase.
const FIRST_PHASE_DRAINS_MAX: usize = 1;

/// Time to relocate one long-running task, in milliseconds: some two seconds to stop it, start
/// it elsewhere and get it ready there, and half as much for relocations that have to wait.
const RELOCATION_MS: u64 = 3_000;

/// A maintenance wave as operators specify it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveSpec {
    /// Number of the wave.
    pub number: u64,
    /// The instances.
    pub instances: Vec<InstanceName>,
    /// Time for all of them, in milliseconds.
    pub duration_ms: u64,
    /// Most instances that may be down at the same time.
    pub at_once: usize,
}

/// Stored progress of a maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WaveProgress {
    /// The wave's number.
    pub number: u64,
    /// Instances whose maintenance has started.
    #[serde(rename = "begun")]
    pub started: Vec<InstanceName>,
    /// Instances whose maintenance order is unconfirmed: about to be sent, or sent without an
    /// answer.
    #[serde(default, rename = "asked")]
    pub unconfirmed: Vec<InstanceName>,
    /// Whether the wave is complete.
    pub completed: bool,
    /// When the wave was first seen, in milliseconds since the Unix epoch.
    pub since_wall_ms: u64,
}

#[derive(Debug, Clone)]
pub(super) struct WaveState {
    pub(super) number: u64,
    pub(super) at_once: usize,
    pub(super) members: Vec<InstanceName>,
    pub(super) started: FastMap<InstanceName, u64>,
    pub(super) confirmed: FastSet<InstanceName>,
    /// Instances whose order got no answer or was sent by an earlier owner. They may be down,
    /// and the order is resent until it is answered.
    pub(super) unanswered: FastSet<InstanceName>,
    pub(super) returned: FastSet<InstanceName>,
    cordons: FastMap<InstanceName, WaveCordon>,
    /// Instances whose cordon was lifted since it made no progress, each with the time from which on
    /// its worker may be cordoned again.
    cordon_retries: FastMap<InstanceName, u64>,
    pub(super) completed: bool,
    pub(super) since_wall_ms: u64,
    pub(super) second_phase_ms: u64,
    deadline_ms: u64,
    /// Whether relocating the long-running tasks of pending instances may take all the time
    /// that is left.
    deadline_at_risk: bool,
}

impl InstancePlan {
    /// Adds a wave, with its stored progress if there is any.
    pub fn add_wave(
        &mut self,
        spec: WaveSpec,
        recorded: Option<&WaveProgress>,
        now_ms: u64,
        wall_ms: u64,
    ) {
        let WaveSpec {
            number,
            instances: members,
            duration_ms,
            at_once,
        } = spec;
        if self.waves.iter().any(|wave| wave.number == number) {
            return;
        }
        let since_wall_ms = recorded.map_or(wall_ms, |progress| progress.since_wall_ms);
        let elapsed_ms = wall_ms.saturating_sub(since_wall_ms);
        let first_phase_ms = duration_ms.saturating_mul(SECOND_PHASE_PERCENT) / 100;
        let started = recorded.map_or(&[][..], |progress| &progress.started);
        let unconfirmed = recorded.map_or(&[][..], |progress| &progress.unconfirmed);
        let down = started.iter().chain(unconfirmed);
        self.waves.push(WaveState {
            number,
            at_once,
            members,
            started: down.map(|name| (name.clone(), now_ms)).collect(),
            confirmed: started.iter().cloned().collect(),
            unanswered: unconfirmed.iter().cloned().collect(),
            returned: FastSet::default(),
            cordons: FastMap::default(),
            cordon_retries: FastMap::default(),
            completed: recorded.is_some_and(|progress| progress.completed),
            since_wall_ms,
            second_phase_ms: now_ms.saturating_add(first_phase_ms.saturating_sub(elapsed_ms)),
            deadline_ms: now_ms.saturating_add(duration_ms.saturating_sub(elapsed_ms)),
            deadline_at_risk: false,
        });
    }

    /// Records that an instance's maintenance started, or may have started if the order is not
    /// `confirmed`. Only a confirmed one counts as complete later.
    pub fn record_maintenance_start(
        &mut self,
        instance: &InstanceName,
        number: u64,
        confirmed: bool,
        now_ms: u64,
    ) {
        self.in_flight.remove(instance);
        if let Some(wave) = self.waves.iter_mut().find(|wave| wave.number == number) {
            wave.started.insert(instance.clone(), now_ms);
            if confirmed {
                wave.confirmed.insert(instance.clone());
                wave.unanswered.remove(instance);
            } else {
                wave.unanswered.insert(instance.clone());
            }
            wave.cordons.remove(instance);
        }
        if let Some(status) = self.instances.get_mut(instance) {
            status.up = false;
            status.worker = None;
            status.ordered_ms = Some(now_ms);
        }
    }

    /// Whether an earlier attempt at a maintenance order got no answer.
    pub fn is_repeated(&self, instance: &InstanceName, number: u64) -> bool {
        let wave = self.waves.iter().find(|wave| wave.number == number);
        wave.is_some_and(|wave| wave.unanswered.contains(instance))
    }

    /// Records that a maintenance order was refused. Returns whether an earlier order, whose
    /// answer was lost, may be in force. Then the instance counts as down, which may be why
    /// the order was refused, and the order has to be resent. Otherwise the instance is
    /// pending again, or leaves the wave if it was `removed`.
    pub fn record_maintenance_refusal(
        &mut self,
        instance: &InstanceName,
        number: u64,
        removed: bool,
    ) -> bool {
        self.in_flight.remove(instance);
        if let Some(wave) = self.waves.iter_mut().find(|wave| wave.number == number) {
            if wave.unanswered.contains(instance) && !removed {
                return true;
            }
            wave.unanswered.remove(instance);
            wave.started.remove(instance);
            wave.returned.remove(instance);
            wave.cordons.remove(instance);
            if removed {
                wave.members.retain(|member| member != instance);
            }
        }
        false
    }

    /// Returns the progress of a wave.
    pub fn progress(&self, number: u64) -> Option<WaveProgress> {
        let wave = self.waves.iter().find(|wave| wave.number == number)?;
        let sorted = |names: &mut dyn Iterator<Item = &InstanceName>| {
            let mut names: Vec<_> = names.cloned().collect();
            names.sort();
            names
        };
        let unconfirmed = |name: &&InstanceName| !wave.confirmed.contains(*name);
        Some(WaveProgress {
            number,
            started: sorted(&mut wave.confirmed.iter()),
            unconfirmed: sorted(&mut wave.started.keys().filter(unconfirmed)),
            completed: wave.completed,
            since_wall_ms: wave.since_wall_ms,
        })
    }

    /// Returns what blocks each pending instance of a wave, one line per instance for the log.
    pub fn wave_blockers(&self, number: u64, schedule: &FleetSchedule) -> Vec<String> {
        let Some(wave) = self.waves.iter().find(|wave| wave.number == number) else {
            return Vec::new();
        };
        let pending = wave
            .members
            .iter()
            .filter(|name| !wave.started.contains_key(*name));
        pending
            .map(|name| {
                let Some(status) = self.instances.get(name) else {
                    return format!("{name}:not-listed");
                };
                if !status.up {
                    return format!("{name}:away");
                }
                let Some(worker) = &status.worker else {
                    return format!("{name}:no-worker");
                };
                let runs = schedule
                    .worker(worker)
                    .map_or(0, |status| status.runs.len());
                let allowed = schedule.allows_disruption(worker);
                let cordoned = wave.cordons.contains_key(name);
                let lifted = wave.cordon_retries.contains_key(name);
                format!("{name}:runs={runs},missable={allowed},cordoned={cordoned},lifted={lifted}")
            })
            .collect()
    }

    /// Marks finished waves as complete, and returns those that finished since the last call.
    pub fn complete_waves(&mut self) -> Vec<u64> {
        let mut ended = Vec::new();
        for wave in &mut self.waves {
            let done = wave
                .members
                .iter()
                .all(|name| wave.returned.contains(name) && wave.confirmed.contains(name));
            if done && !wave.completed {
                wave.completed = true;
                ended.push(wave.number);
            }
        }
        ended
    }

    /// Returns the unanswered maintenance orders to resend: those for instances that may be
    /// disrupted now without losing the end of a run, in case the first order was not carried out.
    pub fn resend_unanswered(
        &mut self,
        schedule: &mut FleetSchedule,
        now_ms: u64,
    ) -> Vec<InstanceOrder> {
        if self.waves.iter().all(|wave| wave.unanswered.is_empty()) {
            return Vec::new();
        }
        self.update_workers(schedule, now_ms);
        let limit = self.remaining_orders(now_ms);
        let mut orders: Vec<InstanceOrder> = Vec::new();
        for wave in &self.waves {
            for instance in &wave.unanswered {
                let is_ordered = orders.iter().any(|order| order.instance() == instance);
                if orders.len() >= limit || is_ordered || !self.accepts_order(instance) {
                    continue;
                }
                if let Some(worker) = self.worker_of(instance) {
                    if !schedule.may_be_ordered(worker) {
                        continue;
                    }
                    // The worker's tasks count as unavailable from here, so that another
                    // worker with tasks of the same step has to wait.
                    schedule.begin_disruption(worker);
                }
                orders.push(InstanceOrder::Maintain {
                    instance: instance.clone(),
                    wave: wave.number,
                });
            }
        }
        self.admit(&mut orders, now_ms);
        orders
    }

    fn pending_workers(&self) -> FastSet<WorkerName> {
        let running = self.waves.iter().filter(|wave| !wave.completed);
        let pending = running.flat_map(|wave| {
            let not_started = |name: &&InstanceName| !wave.started.contains_key(*name);
            wave.members.iter().filter(not_started)
        });
        pending
            .filter_map(|name| self.worker_of(name).cloned())
            .collect()
    }

    /// Returns at most `limit` maintenance orders, and stops for long-running tasks so that
    /// more instances can follow.
    pub(super) fn plan_maintenance(
        &mut self,
        schedule: &mut FleetSchedule,
        now_ms: u64,
        limit: usize,
    ) -> (Vec<InstanceOrder>, Vec<WorkerOrder>) {
        let mut orders = Vec::new();
        let mut stops = Vec::new();
        schedule.set_pending_maintenance(&self.pending_workers());
        let spare = self.spare.as_ref();
        schedule.set_spare_instances(spare.map_or(0, |spare| self.free_instances(spare).len()));
        let mut pool_cordons = PoolCordons::of(schedule);
        let relocated_by_ms = now_ms + schedule.max_relocation_rounds() * RELOCATION_MS;
        let Self {
            waves,
            instances,
            cooldowns,
            in_flight,
            ..
        } = self;
        for wave in waves.iter_mut().filter(|wave| !wave.completed) {
            wave.retain_cordons(instances, schedule);
            wave.deadline_at_risk = relocated_by_ms >= wave.deadline_ms;
            let unanswered: Vec<_> = wave.unanswered.iter().cloned().collect();
            for name in unanswered.iter().filter(|name| !in_flight.contains(*name)) {
                let worker = instances
                    .get(name)
                    .and_then(|status| status.worker.as_ref());
                if let Some(worker) = worker.filter(|worker| !schedule.may_be_ordered(worker)) {
                    // Its order has cordoned it.
                    wave.keep_cordon(name, worker, schedule, now_ms);
                    stops.extend(wave.drain(name, worker, schedule, &mut pool_cordons, now_ms));
                }
            }
            let mut room = wave.at_once.saturating_sub(wave.down_count());
            for (name, worker) in wave.candidates(instances, cooldowns, in_flight, schedule) {
                if room == 0 {
                    break;
                }
                let is_ordered = |order: &InstanceOrder| *order.instance() == name;
                if orders.iter().any(is_ordered) {
                    continue;
                }
                if wave.is_ready(worker.as_ref(), schedule, now_ms) {
                    if orders.len() >= limit {
                        break;
                    }
                    if let Some(worker) = &worker {
                        if !pool_cordons.admit(schedule.worker(worker)) {
                            continue;
                        }
                        schedule.begin_disruption(worker);
                    }
                    room -= 1;
                    wave.started.insert(name.clone(), now_ms);
                    orders.push(InstanceOrder::Maintain {
                        instance: name,
                        wave: wave.number,
                    });
                } else if let Some(worker) = &worker {
                    stops.extend(wave.drain(&name, worker, schedule, &mut pool_cordons, now_ms));
                }
            }
        }
        self.lift_stalled_cordons(schedule, now_ms);
        (orders, stops)
    }

    /// Lifts the cordons that have made no progress, unless another wave keeps the worker.
    fn lift_stalled_cordons(&mut self, schedule: &mut FleetSchedule, now_ms: u64) {
        let mut lifted = Vec::new();
        for wave in &mut self.waves {
            wave.cordon_retries.retain(|_, retry_ms| now_ms < *retry_ms);
            let stalled = wave
                .cordons
                .extract_if(|_, cordon| cordon.is_stalled(now_ms));
            let stalled: Vec<_> = stalled.map(|(name, _)| name).collect();
            for name in &stalled {
                let retry_ms = WaveCordon::retry_ms(now_ms);
                wave.cordon_retries.insert(name.clone(), retry_ms);
            }
            lifted.extend(stalled);
        }
        for name in lifted {
            let is_kept = self.in_flight.contains(&name)
                || self
                    .waves
                    .iter()
                    .any(|wave| wave.cordons.contains_key(&name));
            if let Some(worker) = self.worker_of(&name).filter(|_| !is_kept).cloned() {
                schedule.lift_cordon(&worker);
                self.lifted_cordons.push(LiftedCordon {
                    instance: name,
                    worker,
                });
            }
        }
    }

    /// Takes the cordons that were lifted since the last call.
    pub fn take_lifted_cordons(&mut self) -> Vec<LiftedCordon> {
        std::mem::take(&mut self.lifted_cordons)
    }
}

impl WaveState {
    /// Counts the instances that are or may be down for this wave.
    fn down_count(&self) -> usize {
        let started = self.started.keys();
        started
            .filter(|name| !self.returned.contains(*name))
            .count()
    }

    /// Returns the pending instances that are up, with their workers: those being drained
    /// first, then those with the fewest runs.
    fn candidates(
        &self,
        instances: &FastMap<InstanceName, InstanceStatus>,
        cooldowns: &FastMap<InstanceName, u64>,
        in_flight: &FastSet<InstanceName>,
        schedule: &FleetSchedule,
    ) -> Vec<(InstanceName, Option<WorkerName>)> {
        let mut pending: Vec<_> = self
            .members
            .iter()
            .filter(|name| !self.started.contains_key(*name) && !cooldowns.contains_key(*name))
            .filter(|name| !in_flight.contains(*name))
            .filter_map(|name| {
                let status = instances.get(name).filter(|status| status.up)?;
                let worker = status.worker.as_ref();
                let runs = worker.and_then(|worker| schedule.worker(worker));
                let runs = runs.map_or(0, |status| status.runs.len());
                let draining = self.cordons.contains_key(name);
                Some((!draining, runs, name.clone(), status.worker.clone()))
            })
            .collect();
        pending.sort();
        let pending = pending.into_iter();
        pending.map(|(_, _, name, worker)| (name, worker)).collect()
    }

    /// Drops the cordons whose worker gets tasks again, or was replaced by one that does.
    fn retain_cordons(
        &mut self,
        instances: &FastMap<InstanceName, InstanceStatus>,
        schedule: &FleetSchedule,
    ) {
        self.cordons.retain(|name, _| {
            let worker = instances.get(name).and_then(|own| own.worker.as_ref());
            let status = worker.and_then(|worker| schedule.worker(worker));
            status.is_some_and(|status| status.cordoned)
        });
    }

    /// Whether an instance may be disrupted now. Its worker has to be reachable, its
    /// long-running tasks have to be within the limits of their steps, and its other tasks
    /// have to be done or stopped, with their ends recorded.
    fn is_ready(&self, worker: Option<&WorkerName>, schedule: &FleetSchedule, now_ms: u64) -> bool {
        let Some(worker) = worker else {
            return true;
        };
        let reachable = schedule
            .worker(worker)
            .is_none_or(|status| status.reachable);
        reachable
            && schedule.may_be_ordered(worker)
            && !self.relocates_first(worker, schedule, now_ms)
    }

    /// Whether a worker's tasks are stopped and start elsewhere before its instance is disrupted,
    /// although their steps allow a disruption. A stopped task starts elsewhere at once, one that
    /// an order for its instance ended only when the worker is unlisted.
    fn relocates_first(&self, worker: &WorkerName, schedule: &FleetSchedule, now_ms: u64) -> bool {
        self.deadline_at_risk && schedule.has_relocatable_task(worker, now_ms)
    }

    /// Stops long-running tasks on an instance's worker within the limits of their steps, and cordons
    /// the worker if that brings its disruption closer and not too many are being drained. Tasks that
    /// have not ended by themselves after some time are stopped too.
    ///
    /// In the first phase, a worker that runs nothing else is drained as soon as one of its
    /// tasks may be unavailable: these tasks have to move once in any case, and few of a step
    /// may move at a time. If relocating them would take longer than the wave has left, busy
    /// workers are drained in the same way.
    fn drain(
        &mut self,
        name: &InstanceName,
        worker: &WorkerName,
        schedule: &mut FleetSchedule,
        pool_cordons: &mut PoolCordons,
        now_ms: u64,
    ) -> Vec<WorkerOrder> {
        let allows_disruption =
            schedule.allows_disruption(worker) && !self.relocates_first(worker, schedule, now_ms);
        let is_cordoned = self.cordons.contains_key(name);
        if !is_cordoned
            && !self.may_cordon(
                name,
                worker,
                allows_disruption,
                schedule,
                pool_cordons,
                now_ms,
            )
        {
            return Vec::new();
        }
        let is_drained = self
            .cordons
            .get(name)
            .is_some_and(|cordon| cordon.is_drained(now_ms));
        let stops = match (allows_disruption, is_drained) {
            (false, _) => schedule.drain_worker(worker, now_ms),
            (true, true) => schedule.stop_finite_runs(worker, now_ms),
            (true, false) => Vec::new(),
        };
        if let Some(cordon) = self.cordons.get_mut(name) {
            if !stops.is_empty() || allows_disruption && !cordon.is_drained(now_ms) {
                cordon.record_progress(now_ms);
            }
        } else if allows_disruption || !stops.is_empty() {
            pool_cordons.admit(schedule.worker(worker));
            self.cordons.insert(name.clone(), WaveCordon::new(now_ms));
            schedule.set_cordon(worker, true);
        }
        stops
    }

    /// Whether an instance's worker may be cordoned, as far as others are.
    fn may_cordon(
        &self,
        name: &InstanceName,
        worker: &WorkerName,
        allows_disruption: bool,
        schedule: &FleetSchedule,
        pool_cordons: &PoolCordons,
        now_ms: u64,
    ) -> bool {
        if self.cordon_retries.contains_key(name) || !pool_cordons.allows(schedule.worker(worker)) {
            return false;
        }
        let second_phase = now_ms >= self.second_phase_ms;
        let limit = if second_phase {
            self.at_once
        } else {
            FIRST_PHASE_DRAINS_MAX
        };
        let drains_early = !second_phase
            && !allows_disruption
            && (self.deadline_at_risk || schedule.runs_only_long_running(worker));
        drains_early || self.cordons.len() < limit
    }

    /// Takes over the cordon of a worker for which an order was sent, to lift it if need be.
    fn keep_cordon(
        &mut self,
        name: &InstanceName,
        worker: &WorkerName,
        schedule: &FleetSchedule,
        now_ms: u64,
    ) {
        if schedule
            .worker(worker)
            .is_some_and(|status| status.cordoned)
        {
            self.cordons
                .entry(name.clone())
                .or_insert_with(|| WaveCordon::new(now_ms));
        }
    }
}
