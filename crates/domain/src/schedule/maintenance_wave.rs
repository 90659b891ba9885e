//! Waves of maintenance: which due instances are taken down next.

use {
    super::{
        fleet_schedule::FleetSchedule,
        instance_plan::{InstanceOrder, InstancePlan, InstanceSeat},
        worker_order::WorkerOrder,
    },
    crate::{
        collections::{FastMap, FastSet},
        names::{InstanceName, WorkerName},
    },
    serde::{Deserialize, Serialize},
};

/// Part of a wave's time after which it hurries, in hundredths: half of its time is for
/// instances that have nothing to do at some moment, the other half for all that is left.
const HURRY_PERCENT: u64 = 50;

/// Instances of a wave that are emptied at the same time before it hurries.
const CORDONS_EARLY: usize = 1;

/// Time for one task that lasts to move, in milliseconds: to be stopped, started elsewhere and
/// at work there, some two seconds, and half as much for moves that have to wait.
const MOVE_OUT_MS: u64 = 3_000;

/// How long a due instance waits for its running tasks to end before they are cut off, in
/// milliseconds. Longer than most tasks of the users, some two seconds.
const CORDON_MS: u64 = 2_500;

/// An order to maintain instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveOrder {
    /// Its number.
    pub number: u64,
    /// The instances.
    pub instances: Vec<InstanceName>,
    /// Time for all of them, in milliseconds.
    pub duration_ms: u64,
    /// Most that may be down at the same time.
    pub at_once: usize,
}

/// A wave of maintenance and how far it is, as recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WaveProgress {
    /// The wave's number.
    pub number: u64,
    /// Instances whose maintenance has begun.
    #[serde(rename = "begun")]
    pub started: Vec<InstanceName>,
    /// Instances whose maintenance was ordered, or is about to be, without an answer yet.
    #[serde(default, rename = "asked")]
    pub unconfirmed: Vec<InstanceName>,
    /// Whether all of it is done.
    pub completed: bool,
    /// When it was first seen, in milliseconds since the Unix epoch.
    pub since_wall_ms: u64,
}

#[derive(Debug, Clone)]
pub(super) struct WaveState {
    pub(super) number: u64,
    pub(super) at_once: usize,
    pub(super) due: Vec<InstanceName>,
    pub(super) started: FastMap<InstanceName, u64>,
    pub(super) confirmed: FastSet<InstanceName>,
    /// Instances with an order whose answer was lost, or was another owner's: they may be
    /// down, and are ordered again until there is an answer.
    pub(super) unanswered: FastSet<InstanceName>,
    pub(super) back: FastSet<InstanceName>,
    pub(super) cordoned: FastMap<InstanceName, u64>,
    pub(super) completed: bool,
    pub(super) since_wall_ms: u64,
    pub(super) hurry_ms: u64,
    until_ms: u64,
    /// Whether tasks that last on due instances may take as long to move as is left.
    pressed: bool,
}

impl InstancePlan {
    /// Takes in an order for a wave, and what is recorded of it.
    pub fn add_wave(
        &mut self,
        order: WaveOrder,
        recorded: Option<&WaveProgress>,
        now_ms: u64,
        wall_ms: u64,
    ) {
        let WaveOrder {
            number,
            instances: due,
            duration_ms,
            at_once,
        } = order;
        if self.waves.iter().any(|wave| wave.number == number) {
            return;
        }
        let since_wall_ms = recorded.map_or(wall_ms, |progress| progress.since_wall_ms);
        let passed_ms = wall_ms.saturating_sub(since_wall_ms);
        let hurry_after_ms = duration_ms * HURRY_PERCENT / 100;
        let started = recorded.map_or(&[][..], |progress| &progress.started);
        let unconfirmed = recorded.map_or(&[][..], |progress| &progress.unconfirmed);
        let down = started.iter().chain(unconfirmed);
        self.waves.push(WaveState {
            number,
            at_once,
            due,
            started: down.map(|name| (name.clone(), now_ms)).collect(),
            confirmed: started.iter().cloned().collect(),
            unanswered: unconfirmed.iter().cloned().collect(),
            back: FastSet::default(),
            cordoned: FastMap::default(),
            completed: recorded.is_some_and(|progress| progress.completed),
            since_wall_ms,
            hurry_ms: now_ms + hurry_after_ms.saturating_sub(passed_ms),
            until_ms: now_ms + duration_ms.saturating_sub(passed_ms),
            pressed: false,
        });
    }

    /// Takes note that an instance's maintenance began, or may have begun where the order was
    /// not `confirmed`; only a confirmed one counts as done later.
    pub fn record_maintenance_start(
        &mut self,
        instance: &InstanceName,
        number: u64,
        confirmed: bool,
        now_ms: u64,
    ) {
        self.under_way.remove(instance);
        if let Some(wave) = self.waves.iter_mut().find(|wave| wave.number == number) {
            wave.started.insert(instance.clone(), now_ms);
            if confirmed {
                wave.confirmed.insert(instance.clone());
                wave.unanswered.remove(instance);
            } else {
                wave.unanswered.insert(instance.clone());
            }
            wave.cordoned.remove(instance);
        }
        if let Some(seat) = self.instances.get_mut(instance) {
            seat.up = false;
            seat.worker = None;
            seat.ordered_ms = Some(now_ms);
        }
    }

    /// Takes note that an order for an instance's maintenance was refused. Tells whether an
    /// earlier order, whose answer was lost, may be in force: then the instance counts as
    /// down, which may be why it was refused, and has to be asked for again. Else it is due.
    pub fn record_maintenance_refusal(
        &mut self,
        instance: &InstanceName,
        number: u64,
        gone: bool,
    ) -> bool {
        self.under_way.remove(instance);
        if let Some(wave) = self.waves.iter_mut().find(|wave| wave.number == number) {
            if wave.unanswered.contains(instance) && !gone {
                return true;
            }
            wave.unanswered.remove(instance);
            wave.started.remove(instance);
            wave.back.remove(instance);
            wave.cordoned.remove(instance);
            if gone {
                wave.due.retain(|due| due != instance);
            }
        }
        false
    }

    /// How far a wave is.
    pub fn progress(&self, number: u64) -> Option<WaveProgress> {
        let wave = self.waves.iter().find(|wave| wave.number == number)?;
        let sorted = |names: &mut dyn Iterator<Item = &InstanceName>| {
            let mut names: Vec<_> = names.cloned().collect();
            names.sort();
            names
        };
        let open = |name: &&InstanceName| !wave.confirmed.contains(*name);
        Some(WaveProgress {
            number,
            started: sorted(&mut wave.confirmed.iter()),
            unconfirmed: sorted(&mut wave.started.keys().filter(open)),
            completed: wave.completed,
            since_wall_ms: wave.since_wall_ms,
        })
    }

    /// What holds up the instances of a wave that are still due, one line each, for the log.
    pub fn wave_blockers(&self, number: u64, schedule: &FleetSchedule) -> Vec<String> {
        let Some(wave) = self.waves.iter().find(|wave| wave.number == number) else {
            return Vec::new();
        };
        let due = wave
            .due
            .iter()
            .filter(|name| !wave.started.contains_key(*name));
        due.map(|name| {
            let Some(seat) = self.instances.get(name) else {
                return format!("{name}:not-listed");
            };
            if !seat.up {
                return format!("{name}:away");
            }
            let Some(worker) = &seat.worker else {
                return format!("{name}:no-worker");
            };
            let runs = schedule.worker(worker).map_or(0, |seat| seat.runs.len());
            let missable = schedule.allows_disruption(worker);
            let cordoned = wave.cordoned.contains_key(name);
            format!("{name}:runs={runs},missable={missable},cordoned={cordoned}")
        })
        .collect()
    }

    /// Takes note of waves that have come to their end, and returns those that have since the
    /// last call.
    pub fn complete_waves(&mut self) -> Vec<u64> {
        let mut ended = Vec::new();
        for wave in &mut self.waves {
            let done = wave
                .due
                .iter()
                .all(|name| wave.back.contains(name) && wave.confirmed.contains(name));
            if done && !wave.completed {
                wave.completed = true;
                ended.push(wave.number);
            }
        }
        ended
    }

    /// Orders for maintenance that got no answer, to be sent again: of those instances that
    /// may be taken down now, should the order not have been carried out before.
    pub fn resend_unanswered(
        &mut self,
        schedule: &mut FleetSchedule,
        now_ms: u64,
    ) -> Vec<InstanceOrder> {
        self.note_workers(schedule, now_ms);
        let most = self.orders_left(now_ms);
        let mut orders = Vec::new();
        for wave in &self.waves {
            for instance in &wave.unanswered {
                if orders.len() >= most || !self.may_order(instance) {
                    continue;
                }
                if let Some(worker) = self.worker_of(instance) {
                    if !schedule.allows_disruption(worker) {
                        continue;
                    }
                    // Of two that carry tasks of one step, the second has to wait.
                    schedule.begin_disruption(worker);
                }
                orders.push(InstanceOrder::Maintain {
                    instance: instance.clone(),
                    wave: wave.number,
                });
            }
        }
        self.begin(&mut orders, now_ms);
        orders
    }

    fn due_workers(&self) -> FastSet<WorkerName> {
        let running = self.waves.iter().filter(|wave| !wave.completed);
        let due = running.flat_map(|wave| {
            let open = |name: &&InstanceName| !wave.started.contains_key(*name);
            wave.due.iter().filter(open)
        });
        due.filter_map(|name| self.worker_of(name).cloned())
            .collect()
    }

    /// What to take down next, no more than `most`, and which tasks that last to stop so that
    /// more can follow.
    pub(super) fn plan_maintenance(
        &mut self,
        schedule: &mut FleetSchedule,
        now_ms: u64,
        most: usize,
    ) -> (Vec<InstanceOrder>, Vec<WorkerOrder>) {
        let mut orders = Vec::new();
        let mut stops = Vec::new();
        schedule.set_due(&self.due_workers());
        let moves_out_by_ms = now_ms + schedule.longest_move_out() * MOVE_OUT_MS;
        let Self {
            waves,
            instances,
            resting,
            under_way,
            ..
        } = self;
        for wave in waves.iter_mut().filter(|wave| !wave.completed) {
            wave.pressed = moves_out_by_ms >= wave.until_ms;
            let unanswered: Vec<_> = wave.unanswered.iter().cloned().collect();
            for name in unanswered.iter().filter(|name| !under_way.contains(*name)) {
                let worker = instances.get(name).and_then(|seat| seat.worker.as_ref());
                if let Some(worker) = worker.filter(|worker| !schedule.allows_disruption(worker)) {
                    stops.extend(wave.empty(name, worker, schedule, now_ms));
                }
            }
            let mut room = wave.at_once.saturating_sub(wave.down());
            for (name, worker) in wave.due_now(instances, resting, under_way, schedule) {
                if room == 0 {
                    break;
                }
                if wave.is_ready(&name, worker.as_ref(), schedule, now_ms) {
                    if orders.len() >= most {
                        break;
                    }
                    room -= 1;
                    if let Some(worker) = &worker {
                        schedule.begin_disruption(worker);
                    }
                    wave.started.insert(name.clone(), now_ms);
                    orders.push(InstanceOrder::Maintain {
                        instance: name,
                        wave: wave.number,
                    });
                } else if let Some(worker) = &worker {
                    stops.extend(wave.empty(&name, worker, schedule, now_ms));
                }
            }
        }
        (orders, stops)
    }
}

impl WaveState {
    /// Instances that are down, or may be, for this wave.
    fn down(&self) -> usize {
        let started = self.started.keys();
        started.filter(|name| !self.back.contains(*name)).count()
    }

    /// Due instances that are up, with their workers: those being emptied first, then those
    /// with the least to do.
    fn due_now(
        &self,
        instances: &FastMap<InstanceName, InstanceSeat>,
        resting: &FastMap<InstanceName, u64>,
        under_way: &FastSet<InstanceName>,
        schedule: &FleetSchedule,
    ) -> Vec<(InstanceName, Option<WorkerName>)> {
        let mut due: Vec<_> = self
            .due
            .iter()
            .filter(|name| !self.started.contains_key(*name) && !resting.contains_key(*name))
            .filter(|name| !under_way.contains(*name))
            .filter_map(|name| {
                let seat = instances.get(name).filter(|seat| seat.up)?;
                let worker = seat.worker.as_ref();
                let runs = worker.and_then(|worker| schedule.worker(worker));
                let runs = runs.map_or(0, |seat| seat.runs.len());
                let emptied = self.cordoned.contains_key(name);
                Some((!emptied, runs, name.clone(), seat.worker.clone()))
            })
            .collect();
        due.sort();
        let due = due.into_iter();
        due.map(|(_, _, name, worker)| (name, worker)).collect()
    }

    /// Whether an instance may be taken down now: nothing but tasks that may be missed runs
    /// there, or the others had their time to end.
    fn is_ready(
        &self,
        name: &InstanceName,
        worker: Option<&WorkerName>,
        schedule: &FleetSchedule,
        now_ms: u64,
    ) -> bool {
        let Some(worker) = worker else {
            return true;
        };
        let reachable = schedule.worker(worker).is_none_or(|seat| seat.reachable);
        let since = self.cordoned.get(name);
        let waited = since.is_some_and(|since| now_ms > since + CORDON_MS);
        reachable
            && schedule.allows_disruption(worker)
            && (waited || schedule.runs_only_long_running(worker))
    }

    /// Keeps new tasks away from an instance's worker, if not too many are being emptied, and
    /// stops tasks that last there, as far as they may be missed. Early in the wave a worker
    /// that runs nothing else is emptied as soon as one of its tasks may be missed: these have
    /// to move once in any case, and few of a step may move at a time. Where that would take
    /// longer than the wave has, busy workers are emptied in the same way.
    fn empty(
        &mut self,
        name: &InstanceName,
        worker: &WorkerName,
        schedule: &mut FleetSchedule,
        now_ms: u64,
    ) -> Vec<WorkerOrder> {
        let may_end_here = schedule.allows_disruption(worker);
        if !self.cordoned.contains_key(name) {
            let hurries = now_ms >= self.hurry_ms;
            let most = if hurries { self.at_once } else { CORDONS_EARLY };
            let moves_on = !hurries
                && !may_end_here
                && (self.pressed || schedule.runs_only_long_running(worker));
            if moves_on {
                let stops = schedule.drain_worker(worker, now_ms);
                if !stops.is_empty() {
                    self.cordon(name, worker, schedule, now_ms);
                }
                return stops;
            }
            if self.cordoned.len() >= most {
                return Vec::new();
            }
            self.cordon(name, worker, schedule, now_ms);
        }
        if may_end_here {
            return Vec::new();
        }
        schedule.drain_worker(worker, now_ms)
    }

    fn cordon(
        &mut self,
        name: &InstanceName,
        worker: &WorkerName,
        schedule: &mut FleetSchedule,
        now_ms: u64,
    ) {
        self.cordoned.insert(name.clone(), now_ms);
        schedule.set_cordon(worker, true);
    }
}
