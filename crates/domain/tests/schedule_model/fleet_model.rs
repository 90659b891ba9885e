//! The fleet and its virtual time.

use {
    super::{
        fault_plan::SLOTS,
        instance_orders::{ModelInstance, instances_of},
        lasting_rule::OpenWorkers,
        owner_process::OwnerProcess,
        run_oracle::RunOracle,
        store_model::{StoreChange, StoreModel},
        worker_calls::PendingCall,
        worker_process::WorkerProcess,
    },
    dotterelshore_domain::names::{InstanceName, WorkerName},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        ops::Range,
    },
};

/// Wall-clock time at the start, in milliseconds since the Unix epoch.
pub(super) const WALL_MS: u64 = 1_700_000_000_000;
/// Start of virtual time, in milliseconds.
const START_MS: u64 = 100_000;
/// How long faults are injected, in milliseconds.
const FAULT_PHASE_MS: u64 = 14_000;
/// How long jobs are submitted after the last fault, in milliseconds.
const QUIET_JOBS_MS: u64 = 8_000;
/// Quiet stretch at the end, in milliseconds: calls are carried out up to 12 s late.
const QUIET_PHASE_MS: u64 = 30_000;
/// Time between the oracle's checks, in milliseconds.
const CHECK_PERIOD_MS: u64 = 50;

/// Share of the actions before which a task pauses.
const PAUSES: f64 = 0.08;
/// Longest pause of a task, in milliseconds.
const PAUSE_MAX_MS: u64 = 600;

type Action = Box<dyn FnOnce(&mut FleetModel)>;

/// Which faults are injected, and how strictly the oracle counts.
#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is an independent kind of fault"
)]
pub(crate) struct FaultProfile {
    /// Whether processes, links and the store fail.
    pub(crate) has_faults: bool,
    /// Share of the orders to workers that are carried out late. This is no fault to the oracle.
    pub(crate) late_orders: f64,
    /// Share of the jobs with a task that crashes each worker that starts it, while faults are
    /// injected.
    pub(crate) culprits: f64,
    /// Whether workers restart while the owner's watch of their rows is silent, some of them with
    /// their clocks set back.
    pub(crate) has_stale_rows: bool,
    /// Whether owners keep their records as the product does: progress in several chains, snapshots in
    /// shards, and no answer to a write that is open when they end.
    pub(crate) has_product_records: bool,
    /// Whether workers are cut off while they are unlisted or restart, writes to the store get no
    /// answer and owners end.
    pub(crate) has_combined_faults: bool,
    /// Whether waves of maintenance end the workers of instances, each of which then hosts another one.
    pub(crate) has_waves: bool,
    /// Whether workers restart under their names, unnoticed by the owner, and are cut off soon after. The
    /// owner knows the longest lease that they grant.
    pub(crate) has_unnoticed_restarts: bool,
    /// Whether owners time leases only by a clock that they read shortly before, as the product does.
    pub(crate) has_clock_reads: bool,
    /// Whether tasks of an owner pause between a check and what follows it.
    pub(crate) has_pauses: bool,
    /// Time after a fault from which the oracle's bounds count, in milliseconds.
    pub(crate) stable_window_ms: u64,
}

/// Ends of the current faults of the network and the store, in milliseconds.
#[derive(Debug, Default)]
pub(super) struct FaultWindows {
    /// Until then calls to workers are lost, late or slow.
    pub(super) network: u64,
    /// Until then writes to the store are lost or late, and watches slow.
    pub(super) store: u64,
    /// Until then the owners' watches of the workers' rows deliver nothing.
    pub(super) worker_watch: u64,
    /// Until then no other worker restarts unnoticed.
    pub(super) unnoticed: u64,
    /// Until then no other faults are combined.
    pub(super) combined: u64,
    /// Until then writes to the store get no answer, whether or not they take effect.
    pub(super) stuck_writes: u64,
    /// Whether these are only those of progress.
    pub(super) is_stuck_progress_only: bool,
    /// Until then the store answers nothing.
    pub(super) outage: u64,
}

/// The fleet in virtual time.
pub(crate) struct FleetModel {
    pub(super) now_ms: u64,
    pub(super) rng: StdRng,
    actions: BTreeMap<(u64, u64), Action>,
    sequence: u64,
    pub(super) workers: BTreeMap<WorkerName, WorkerProcess>,
    pub(super) cut_until_ms: BTreeMap<WorkerName, u64>,
    pub(super) calls: BTreeMap<u64, PendingCall>,
    pub(super) store: StoreModel,
    pub(super) owners: Vec<OwnerProcess>,
    pub(super) windows: FaultWindows,
    pub(super) profile: FaultProfile,
    pub(super) oracle: RunOracle,
    pub(super) faults_until_ms: u64,
    pub(super) jobs_until_ms: u64,
    /// Workers that answer and get no tasks, each with the time since when.
    held_back: BTreeMap<WorkerName, u64>,
    pub(super) open_workers: OpenWorkers,
    pub(super) instances: BTreeMap<InstanceName, ModelInstance>,
    /// Numbers of the waves that operators have ordered.
    pub(super) waves: Vec<u64>,
    pub(super) jobs: u64,
    pub(super) numbers: u64,
}

impl FleetModel {
    /// Plays a seed.
    pub(crate) fn play(seed: u64, profile: FaultProfile) -> Self {
        let mut model = Self {
            now_ms: START_MS,
            rng: StdRng::seed_from_u64(seed),
            actions: BTreeMap::new(),
            sequence: 0,
            workers: BTreeMap::new(),
            cut_until_ms: BTreeMap::new(),
            calls: BTreeMap::new(),
            store: StoreModel::default(),
            owners: Vec::new(),
            windows: FaultWindows::default(),
            profile,
            oracle: RunOracle::new(profile.stable_window_ms),
            faults_until_ms: START_MS + FAULT_PHASE_MS,
            jobs_until_ms: START_MS + FAULT_PHASE_MS + QUIET_JOBS_MS,
            held_back: BTreeMap::new(),
            open_workers: OpenWorkers::default(),
            instances: instances_of(SLOTS),
            waves: Vec::new(),
            jobs: 0,
            numbers: 0,
        };
        model.oracle.set_now(START_MS);
        model.start_workers();
        model.await_claim();
        model.after(1_000, Self::submit_jobs);
        model.after(2_000, Self::inject_faults);
        if profile.has_waves {
            model.start_waves();
        }
        model.check_periodically();
        model.run_until(START_MS + FAULT_PHASE_MS + QUIET_PHASE_MS);
        model.oracle.check_final();
        model
    }

    /// Returns the first violation with its trace.
    pub(crate) fn violation(&self) -> Option<String> {
        self.oracle.violation()
    }

    /// Returns the whole trace.
    pub(crate) fn trace(&self) -> Vec<String> {
        self.oracle.trace()
    }

    fn run_until(&mut self, end_ms: u64) {
        while let Some(((at_ms, _), action)) = self.actions.pop_first() {
            if at_ms > end_ms {
                return;
            }
            self.now_ms = at_ms;
            self.oracle.set_now(at_ms);
            action(self);
        }
    }

    fn check_periodically(&mut self) {
        self.oracle.check_cancelled();
        self.check_held_back();
        self.check_missing_tasks();
        self.after(CHECK_PERIOD_MS, Self::check_periodically);
    }

    /// Checks that no worker that answers is held back as unreachable for long.
    fn check_held_back(&mut self) {
        let process = self.current_owner().map(|owner| &self.owners[owner]);
        let workers = process
            .into_iter()
            .flat_map(|process| process.schedule.workers());
        let held_back = workers
            .filter(|status| status.present && status.reported && status.reachable)
            .filter(|status| status.recorded_unreachable);
        let held_back: BTreeSet<_> = held_back.map(|status| status.listed.name.clone()).collect();
        self.held_back.retain(|name, _| held_back.contains(name));
        for name in held_back {
            let since_ms = *self.held_back.entry(name.clone()).or_insert(self.now_ms);
            self.oracle.check_held_back(&name, since_ms);
        }
    }

    /// Acts after a delay.
    pub(super) fn after(&mut self, delay_ms: u64, action: impl FnOnce(&mut Self) + 'static) {
        self.sequence += 1;
        let key = (self.now_ms + delay_ms, self.sequence);
        self.actions.insert(key, Box::new(action));
    }

    /// Acts in an owner's process after a delay: later if it is frozen then, never if it was
    /// killed.
    pub(super) fn after_in_owner(
        &mut self,
        owner: usize,
        delay_ms: u64,
        action: impl FnOnce(&mut Self) + 'static,
    ) {
        self.after(delay_ms, move |model| {
            model.act_in_owner(owner, Box::new(action));
        });
    }

    fn act_in_owner(&mut self, owner: usize, action: Action) {
        let process = &self.owners[owner];
        if process.is_killed {
            return;
        }
        let frozen_ms = process.frozen_until_ms.saturating_sub(self.now_ms);
        if frozen_ms > 0 {
            let delay_ms = frozen_ms + self.draw(0..20);
            self.after(delay_ms, move |model| model.act_in_owner(owner, action));
        } else {
            action(self);
        }
    }

    pub(super) fn draw(&mut self, range: Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    pub(super) fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    /// Returns for how long a task of an owner pauses before its next action, in milliseconds.
    pub(super) fn draw_pause(&mut self) -> Option<u64> {
        let may_pause = self.profile.has_pauses && self.now_ms < self.faults_until_ms;
        (may_pause && self.chance(PAUSES)).then(|| self.draw(1..PAUSE_MAX_MS))
    }

    /// Acts in an owner's process at once, or after a pause.
    pub(super) fn act_after_pause(
        &mut self,
        owner: usize,
        action: impl FnOnce(&mut Self) + 'static,
    ) {
        match self.draw_pause() {
            Some(pause_ms) => self.after_in_owner(owner, pause_ms, action),
            None => action(self),
        }
    }

    pub(super) fn wall_ms(&self) -> u64 {
        WALL_MS + self.now_ms
    }

    pub(super) fn is_store_out(&self) -> bool {
        self.now_ms < self.windows.outage
    }

    /// Changes a record in the store, which the owners' watches deliver.
    pub(super) fn change_store(&mut self, change: StoreChange) {
        let of_jobs = matches!(
            change,
            StoreChange::JobAdded(_) | StoreChange::JobCancelled(_)
        );
        self.store.change(change);
        for owner in 0..self.owners.len() {
            if !self.owners[owner].is_ended {
                let mut delay_ms = self.watch_delay();
                if !of_jobs {
                    delay_ms += self.windows.worker_watch.saturating_sub(self.now_ms);
                }
                self.after_in_owner(owner, delay_ms, move |model| {
                    if of_jobs {
                        model.deliver_jobs(owner);
                    } else {
                        model.deliver_workers(owner);
                    }
                });
            }
        }
    }

    fn watch_delay(&mut self) -> u64 {
        let outage_ms = self.windows.outage.saturating_sub(self.now_ms);
        let is_slow = self.now_ms < self.windows.store && self.chance(0.15);
        let range = if is_slow { 300..2_800 } else { 2..20 };
        outage_ms + self.draw(range)
    }
}
