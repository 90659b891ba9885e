//! Random faults, and the starts and ends of workers.

use {
    super::{
        fleet_model::{FleetModel, WALL_MS},
        store_model::StoreChange,
        worker_process::{WorkerClock, WorkerProcess},
    },
    dotterelshore_domain::{
        names::{CentreName, InstanceName, PoolName, WorkerName},
        schedule::{EndReason, ListedWorker, Resources},
    },
    std::sync::Arc,
};

/// Instances that host workers.
pub(super) const SLOTS: u64 = 4;
/// Shortest time between two silences of the watches of workers, in milliseconds.
const WATCH_PAUSE_MS: u64 = 2_500;
/// Shortest time between two sets of combined faults, in milliseconds.
const COMBINED_PAUSE_MS: u64 = 2_500;
/// How far the clock of a worker is set back, in milliseconds.
const CLOCK_STEP_MS: u64 = 20_000;

impl FleetModel {
    pub(super) fn start_workers(&mut self) {
        for slot in 0..SLOTS {
            let name = self.new_name(slot);
            self.start_worker(slot, &name);
        }
    }

    pub(super) fn new_name(&mut self, slot: u64) -> WorkerName {
        let number = self.take_number();
        WorkerName::try_from(format!("w-{slot}-{number}")).expect("a name")
    }

    /// Returns a number that was not returned before.
    pub(super) fn take_number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    /// Starts an incarnation and lists it.
    pub(super) fn start_worker(&mut self, slot: u64, name: &WorkerName) {
        let mut started_ms = WALL_MS + self.now_ms;
        if self.profile.has_stale_rows && self.chance(0.2) {
            started_ms -= CLOCK_STEP_MS;
        }
        let label = |text: String| Arc::from(text);
        let listed = ListedWorker {
            name: name.clone(),
            started_ms,
            instance: Some(InstanceName::try_from(format!("host-{slot}")).expect("a name")),
            address: Arc::from(name.as_str()),
            pool: PoolName::try_from("proofs").expect("a name"),
            centre: CentreName::try_from("north").expect("a name"),
            labels: vec![
                label(format!("pair-{}", slot / 2)),
                label(format!("rack-{slot}")),
            ],
            capacity: Resources {
                cpu_milli: 64_000,
                memory_mb: 64_000,
                gpus: 0,
            },
            draining: false,
        };
        let clock = WorkerClock {
            started_ms: self.now_ms,
            offset_ms: self.draw(0..1_000),
            rate: self.draw(980..1_001),
        };
        let life = self.take_number();
        let process = WorkerProcess::new(listed.clone(), life, clock);
        self.oracle
            .note(None, format!("{name} starts as life {life}"));
        self.workers.insert(name.clone(), process);
        let delay_ms = self.draw(20..300);
        self.list_later(listed, life, delay_ms);
    }

    /// Lists a worker after a delay, if it is alive then and the store serves.
    fn list_later(&mut self, listed: ListedWorker, life: u64, delay_ms: u64) {
        self.after(delay_ms, move |model| {
            if !model.is_alive(&listed.name, life) {
                return;
            }
            if model.is_store_out() {
                model.list_later(listed, life, 300);
            } else {
                model.change_store(StoreChange::WorkerListed(listed));
            }
        });
    }

    /// Ends an incarnation with all that it runs.
    pub(super) fn end_worker(&mut self, name: &WorkerName) {
        let Some(process) = self.workers.remove(name) else {
            return;
        };
        for run in &process.runs {
            let reason = EndReason::Stopped;
            self.oracle
                .record_end(&run.task, run.run, process.life, reason, None);
        }
        self.oracle.record_lapse(process.life);
        if self.chance(0.5) {
            // Its connections are reset; otherwise its callers hear nothing.
            self.reset_waits(name);
        }
    }

    pub(super) fn unlist_later(&mut self, name: &WorkerName, delay_ms: u64) {
        let name = name.clone();
        self.after(delay_ms, move |model| {
            if !model.workers.contains_key(&name) && model.store.workers.contains_key(&name) {
                model.change_store(StoreChange::WorkerUnlisted(name));
            }
        });
    }

    /// Injects random faults from time to time. Later, while jobs still arrive, workers only
    /// drain.
    pub(super) fn inject_faults(&mut self) {
        if self.now_ms >= self.jobs_until_ms {
            return;
        }
        if self.profile.has_stale_rows && self.now_ms < self.faults_until_ms {
            self.restart_behind_silent_watch();
        }
        if self.profile.has_combined_faults && self.now_ms < self.faults_until_ms {
            self.combine_faults();
        }
        if self.profile.has_unnoticed_restarts && self.now_ms < self.faults_until_ms {
            self.restart_unnoticed();
        }
        let is_quiet = !self.profile.has_faults || self.now_ms >= self.faults_until_ms;
        match self.draw(0..14) {
            _ if is_quiet => self.drain_worker(),
            0 | 1 => self.fault_network(),
            2 => self.fault_store(),
            3 => self.crash_worker(),
            4 => self.drain_worker(),
            5 => self.hide_worker(),
            6 | 7 => self.cut_worker(),
            8 | 9 => self.stop_owner(),
            10 => self.kill_owner(),
            11 | 12 => self.freeze_owner(),
            _ => self.cancel_some(),
        }
        let pause_ms = self.draw(300..2_500);
        self.after(pause_ms, Self::inject_faults);
    }

    /// Silences the owners' watches of the workers' rows, and restarts a worker meanwhile. Not again
    /// soon: a task under which workers crash again and again may be given up.
    fn restart_behind_silent_watch(&mut self) {
        if self.now_ms < self.windows.worker_watch + WATCH_PAUSE_MS {
            return;
        }
        let duration_ms = self.draw(1_000..3_200);
        self.windows.worker_watch = self.now_ms + duration_ms;
        let text = format!("fault: watches of workers are silent for {duration_ms} ms");
        self.oracle.record_fault(duration_ms, text);
        let delay_ms = self.draw(0..1_500);
        self.after(delay_ms, |model| {
            let (slot, name) = model.draw_worker();
            if model.workers.contains_key(&name) {
                model.end_worker(&name);
                model
                    .oracle
                    .record_fault(0, format!("fault: {name} restarts"));
                let restart_ms = model.draw(100..800);
                model.after(restart_ms, move |model| model.start_worker(slot, &name));
            }
        });
    }

    fn fault_network(&mut self) {
        let duration_ms = self.draw(500..4_000);
        self.windows.network = self.now_ms + duration_ms;
        let text = format!("fault: calls lost, late or slow for {duration_ms} ms");
        self.oracle.record_fault(duration_ms, text);
    }

    fn fault_store(&mut self) {
        let duration_ms = self.draw(500..3_500);
        let is_out = self.chance(0.5);
        let until_ms = self.now_ms + duration_ms;
        if is_out {
            self.windows.outage = until_ms;
        } else {
            self.windows.store = until_ms;
        }
        let text = format!("fault: store out={is_out} for {duration_ms} ms");
        self.oracle.record_fault(duration_ms, text);
    }

    fn draw_worker(&mut self) -> (u64, WorkerName) {
        let slot = self.draw(0..SLOTS);
        let prefix = format!("w-{slot}-");
        let mut names = self.workers.keys();
        let name = names.rfind(|name| name.as_str().starts_with(&prefix));
        (slot, name.cloned().unwrap_or_else(|| self.new_name(slot)))
    }

    /// Crashes a worker and restarts it, under its name or a new one.
    fn crash_worker(&mut self) {
        let (_, name) = self.draw_worker();
        if self.workers.contains_key(&name) {
            let restart_ms = self.crash_named(&name);
            let text = format!("fault: {name} crashes");
            self.oracle.record_fault(restart_ms, text);
        }
    }

    /// Crashes this worker, and restarts it under its name or a new one. Returns when.
    pub(super) fn crash_named(&mut self, name: &WorkerName) -> u64 {
        let slot = slot_of(name);
        self.end_worker(name);
        let (restart_ms, unlist_ms) = (self.draw(200..3_000), self.draw(800..2_500));
        let next = if self.chance(0.5) {
            name.clone()
        } else {
            self.new_name(slot)
        };
        let text = format!("{name} crashed, restarts as {next} in {restart_ms} ms");
        self.oracle.note(None, text);
        self.unlist_later(name, unlist_ms);
        self.after(restart_ms, move |model| model.start_worker(slot, &next));
        restart_ms
    }

    /// Drains a worker, which then leaves and is replaced.
    fn drain_worker(&mut self) {
        let (slot, name) = self.draw_worker();
        let Some(process) = self.workers.get_mut(&name) else {
            return;
        };
        let row = self.store.workers.get(&name);
        if row.is_none_or(|row| row.listed != process.listed) || self.is_store_out() {
            return;
        }
        let mut listed = self.store.workers[&name].listed.clone();
        listed.draining = true;
        let life = self.workers[&name].life;
        let (leave_ms, replace_ms) = (self.draw(500..4_000), self.draw(300..2_000));
        let unlist_ms = self.draw(0..400);
        let text = format!("{name} drains and leaves in {leave_ms} ms");
        self.oracle.note(None, text);
        self.change_store(StoreChange::WorkerListed(listed));
        self.after(leave_ms, move |model| {
            if !model.is_alive(&name, life) {
                return;
            }
            model.end_worker(&name);
            model.unlist_later(&name, unlist_ms);
            let next = model.new_name(slot);
            model.after(replace_ms, move |model| model.start_worker(slot, &next));
        });
    }

    /// Removes a worker from the list for a while, though it is alive.
    fn hide_worker(&mut self) {
        let (_, name) = self.draw_worker();
        let process = self.workers.get(&name);
        let Some(listed) = process.map(|process| process.listed.clone()) else {
            return;
        };
        // A worker is not listed again by the row of its life before.
        let row = self.store.workers.get(&name);
        if row.is_none_or(|row| row.listed != listed) {
            return;
        }
        let duration_ms = self.draw(300..6_000);
        let text = format!("fault: {name} is unlisted for {duration_ms} ms");
        self.oracle.record_fault(duration_ms, text);
        let life = self.workers[&name].life;
        self.change_store(StoreChange::WorkerUnlisted(name));
        self.list_later(listed, life, duration_ms);
    }

    /// Restarts a worker while the watches of workers are silent, cuts it off soon after and, in many
    /// cases, ends the owner meanwhile.
    fn restart_unnoticed(&mut self) {
        let (slot, name) = self.draw_worker();
        let process = self.workers.get(&name);
        let Some(life) = process.map(|process| process.life) else {
            return;
        };
        if self.now_ms < self.windows.unnoticed {
            return;
        }
        let silent_ms = self.draw(3_000..9_000);
        self.windows.worker_watch = self.now_ms + silent_ms;
        let restart_ms = self.draw(5..150);
        let cut_ms = restart_ms + self.draw(0..2_000);
        let duration_ms = self.draw(5_000..11_000);
        self.windows.unnoticed = self.now_ms + cut_ms + duration_ms;
        let text = format!("fault: watches of workers are silent for {silent_ms} ms");
        self.oracle.record_fault(silent_ms, text);
        self.restart_named(slot, &name, life, restart_ms);
        let stop_ms = cut_ms + self.draw(0..3_000);
        self.after(cut_ms, move |model| model.cut_named(name, duration_ms));
        if self.chance(0.6) {
            self.after(stop_ms, |model| {
                if model.chance(0.5) {
                    model.stop_owner();
                } else {
                    model.kill_owner();
                }
            });
        }
    }

    /// Cuts a worker off while it is unlisted for a time or restarts, the store is slow to write, and
    /// the owner ends.
    fn combine_faults(&mut self) {
        if self.now_ms < self.windows.combined {
            return;
        }
        let (slot, name) = self.draw_worker();
        let process = self.workers.get(&name);
        let Some((listed, life)) = process.map(|process| (process.listed.clone(), process.life))
        else {
            return;
        };
        let row = self.store.workers.get(&name);
        if self.is_store_out() || row.is_none_or(|row| row.listed != listed) {
            return;
        }
        if self.chance(0.5) {
            self.hand_over_beside_open_writes(name);
            return;
        }
        let (cut_ms, duration_ms) = (self.draw(0..1_500), self.draw(600..7_000));
        self.windows.combined = self.now_ms + cut_ms + duration_ms + COMBINED_PAUSE_MS;
        let cut_name = name.clone();
        self.after(cut_ms, move |model| model.cut_named(cut_name, duration_ms));
        if self.chance(0.2) {
            let end_ms = cut_ms + self.draw(0..duration_ms);
            let restart_ms = self.draw(100..duration_ms);
            let name = name.clone();
            self.after(end_ms, move |model| {
                model.restart_named(slot, &name, life, restart_ms);
            });
        } else if self.chance(0.5) {
            let text = format!("fault: {name} is unlisted");
            self.oracle.record_fault(cut_ms + duration_ms, text);
            self.change_store(StoreChange::WorkerUnlisted(name.clone()));
            let delay_ms = (cut_ms + duration_ms + self.draw(0..1_000)).saturating_sub(400);
            self.list_later(listed, life, delay_ms);
        }
        if self.chance(0.7) {
            let delay_ms = self.draw(0..cut_ms + duration_ms);
            let (stuck_ms, of_progress) = (self.draw(500..3_500), self.chance(0.5));
            self.after(delay_ms, move |model| {
                model.keep_writes_open(stuck_ms, of_progress);
            });
        }
        let delay_ms = cut_ms + 400 + self.draw(0..duration_ms + 500);
        self.after(delay_ms, move |model| model.end_owner_beside(name));
    }

    /// Cuts a worker off and then shuts the owner down, while writes of progress get no answer.
    fn hand_over_beside_open_writes(&mut self, name: WorkerName) {
        let (stuck_ms, cut_ms) = (self.draw(1_500..3_000), self.draw(200..1_200));
        let duration_ms = self.draw(1_300..3_300);
        self.windows.combined = self.now_ms + cut_ms + duration_ms + COMBINED_PAUSE_MS;
        self.keep_writes_open(stuck_ms, true);
        self.after(cut_ms, move |model| model.cut_named(name, duration_ms));
        let stop_ms = cut_ms + self.draw(400..2_500);
        self.after(stop_ms, Self::stop_owner);
    }

    fn keep_writes_open(&mut self, duration_ms: u64, of_progress: bool) {
        let text = format!("fault: writes get no answer for {duration_ms} ms");
        self.oracle.record_fault(duration_ms, text);
        self.windows.stuck_writes = self.now_ms + duration_ms;
        self.windows.is_stuck_progress_only = of_progress;
    }

    fn cut_named(&mut self, name: WorkerName, duration_ms: u64) {
        let text = format!("fault: {name} is cut off for {duration_ms} ms");
        self.oracle.record_fault(duration_ms, text);
        let until_ms = self.cut_until_ms.get(&name).copied().unwrap_or_default();
        let until_ms = until_ms.max(self.now_ms + duration_ms);
        self.cut_until_ms.insert(name, until_ms);
    }

    /// Ends an incarnation, and starts the next one under its name.
    fn restart_named(&mut self, slot: u64, name: &WorkerName, life: u64, restart_ms: u64) {
        if !self.is_alive(name, life) {
            return;
        }
        self.end_worker(name);
        let text = format!("fault: {name} restarts in {restart_ms} ms");
        self.oracle.record_fault(restart_ms, text);
        let name = name.clone();
        self.after(restart_ms, move |model| model.start_worker(slot, &name));
    }

    /// Ends the owner, in many cases while a worker is cut off again.
    fn end_owner_beside(&mut self, name: WorkerName) {
        if self.chance(0.5) {
            let cut_ms = self.draw(500..4_000);
            self.cut_named(name, cut_ms);
        }
        match self.draw(0..4) {
            0 | 1 => self.stop_owner(),
            2 => self.kill_owner(),
            _ => self.freeze_owner(),
        }
    }

    /// Cuts a worker off for a while.
    fn cut_worker(&mut self) {
        let (_, name) = self.draw_worker();
        let duration_ms = self.draw(300..7_000);
        let text = format!("fault: {name} is cut off for {duration_ms} ms");
        self.oracle.record_fault(duration_ms, text);
        self.cut_until_ms.insert(name, self.now_ms + duration_ms);
        self.end_owner_soon();
        self.cancel_some();
    }

    /// In many cases, ends the owner while another fault lasts.
    fn end_owner_soon(&mut self) {
        if self.chance(0.5) {
            let delay_ms = self.draw(300..2_500);
            self.after(delay_ms, |model| {
                if model.chance(0.7) {
                    model.stop_owner();
                } else {
                    model.kill_owner();
                }
            });
        }
    }

    /// Cancels some open jobs within the next seconds.
    fn cancel_some(&mut self) {
        let names: Vec<_> = self.store.jobs.keys().rev().take(8).cloned().collect();
        for name in names {
            if self.chance(0.25) {
                let delay_ms = self.draw(0..2_500);
                self.cancel_later(name, delay_ms);
            }
        }
    }

    fn stop_owner(&mut self) {
        if let Some(owner) = self.current_owner() {
            self.oracle
                .record_fault(0, format!("fault: owner {owner} shuts down"));
            self.shut_down(owner);
            self.cancel_some();
        }
    }

    fn kill_owner(&mut self) {
        if let Some(owner) = self.current_owner() {
            self.oracle
                .record_fault(0, format!("fault: owner {owner} is killed"));
            self.owners[owner].is_killed = true;
            self.cancel_some();
        }
    }

    fn freeze_owner(&mut self) {
        if let Some(owner) = self.current_owner() {
            let duration_ms = self.draw(300..6_000);
            let text = format!("fault: owner {owner} freezes for {duration_ms} ms");
            self.oracle.record_fault(duration_ms, text);
            self.owners[owner].frozen_until_ms = self.now_ms + duration_ms;
            self.cancel_some();
        }
    }
}

/// Returns the number of the instance that hosts a worker.
pub(super) fn slot_of(name: &WorkerName) -> u64 {
    let mut parts = name.as_str().split('-');
    let slot = parts.nth(1).and_then(|slot| slot.parse().ok());
    slot.expect("a name of the model")
}
