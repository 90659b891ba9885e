//! The owner's writes to the store and the watches that it follows.

use {
    super::{
        fleet_model::FleetModel,
        store_model::{OwnerWrite, StoreChange},
    },
    dotterelshore_domain::schedule::{RowOutcome, WorkerRow, WorkerSnapshot},
    std::collections::BTreeSet,
};

/// Pause before a write of progress, in milliseconds.
const BATCH_PAUSE_MS: u64 = 20;
/// Longest time that ends of an unfinished job stay unrecorded, in milliseconds.
const STEP_BATCH_MS: u64 = 500;
/// Pause after a failed write of progress, in milliseconds.
const FAULT_PAUSE_MS: u64 = 150;
/// Time between comparisons of the stored snapshots with the schedule, in milliseconds.
const SNAPSHOT_CHECK_MS: u64 = 500;
/// Pause after the snapshots could not be stored, in milliseconds.
const SNAPSHOT_RETRY_MS: u64 = 200;
/// Longest time for the answer to a write, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 600;
/// Longest delay of a write without an answer, in milliseconds.
const LATE_WRITE_MS: u64 = 5_000;
/// Share of the writes that take some hundred milliseconds.
const SLOW_WRITES: f64 = 0.25;
/// Share of the writes that get no answer while some do not.
const STUCK_WRITES: f64 = 0.7;
/// Share of the writes that an owner which ends has not sent.
const UNSENT_WRITES: f64 = 0.3;

impl FleetModel {
    /// Commits an owner's write and tells whether it is known to have taken effect.
    pub(super) fn commit(
        &mut self,
        owner: usize,
        write: OwnerWrite,
        then: impl FnOnce(&mut Self, bool) + 'static,
    ) {
        let expecting = self.store.expect(write, self.owners[owner].token);
        let is_final = self.owners[owner].is_ended;
        let then = move |model: &mut Self, applied| {
            if !model.is_aborted(owner, is_final) {
                then(model, applied);
            }
        };
        let is_lossy = self.now_ms < self.windows.store;
        let lot = if is_lossy { self.draw(0..100) } else { 100 };
        let is_of_stuck_kind =
            expecting.write.is_progress() || !self.windows.is_stuck_progress_only;
        let is_stuck = self.now_ms < self.windows.stuck_writes && is_of_stuck_kind;
        if is_stuck && self.chance(STUCK_WRITES) {
            if self.chance(0.5) {
                let delay_ms = self.draw(2..LATE_WRITE_MS);
                self.after(delay_ms, move |model| {
                    model.store.apply(expecting);
                });
            }
            self.after_in_owner(owner, WRITE_TIMEOUT_MS, move |model| then(model, false));
            return;
        }
        if self.is_store_out() || lot < 8 {
            let delay_ms = self.draw(5..WRITE_TIMEOUT_MS);
            self.after_in_owner(owner, delay_ms, move |model| then(model, false));
        } else if lot < 20 {
            let delay_ms = self.draw(WRITE_TIMEOUT_MS..LATE_WRITE_MS);
            self.after(delay_ms, move |model| {
                model.store.apply(expecting);
            });
            self.after_in_owner(owner, WRITE_TIMEOUT_MS, move |model| then(model, false));
        } else {
            // After a lost answer the owner reads back that the write took effect.
            let answer_ms = if lot < 32 {
                WRITE_TIMEOUT_MS
            } else {
                self.draw(2..15)
            };
            let is_slow = self.profile.has_product_records && self.chance(SLOW_WRITES);
            let delay_ms = self.draw(if is_slow { 15..400 } else { 2..15 });
            self.after(delay_ms, move |model| {
                if model.is_aborted(owner, is_final) && model.chance(UNSENT_WRITES) {
                    return;
                }
                let applied = model.store.apply(expecting);
                model.after_in_owner(owner, answer_ms, move |model| then(model, applied));
            });
        }
    }

    /// Whether a write was open when its owner ended its tasks, so that nothing follows from its answer.
    fn is_aborted(&self, owner: usize, is_final: bool) -> bool {
        self.profile.has_product_records && !is_final && self.owners[owner].is_ended
    }

    /// Wakes the task that records progress.
    pub(super) fn notify_recorder(&mut self, owner: usize) {
        let now_ms = self.now_ms;
        let process = &mut self.owners[owner];
        if !process.leads() {
            return;
        }
        let recorder = &mut process.recorder;
        if recorder.is_writing {
            recorder.is_notified = true;
            return;
        }
        let from_ms = if process.schedule.has_urgent_progress() {
            now_ms
        } else {
            now_ms.max(recorder.last_write_ms + STEP_BATCH_MS)
        };
        let due_ms = from_ms + BATCH_PAUSE_MS;
        if recorder.due_ms.is_some_and(|known_ms| known_ms <= due_ms) {
            return;
        }
        recorder.due_ms = Some(due_ms);
        self.after_in_owner(owner, due_ms - now_ms, move |model| {
            model.record_if_due(owner, due_ms);
        });
    }

    fn record_if_due(&mut self, owner: usize, due_ms: u64) {
        let now_ms = self.now_ms;
        let process = &mut self.owners[owner];
        if !process.leads() || process.recorder.due_ms != Some(due_ms) {
            return;
        }
        process.recorder.due_ms = None;
        process.recorder.is_writing = true;
        if !process.has_authority(now_ms) {
            self.finish_record(owner, false);
            return;
        }
        self.record_progress(owner, move |model, recorded| {
            model.finish_record(owner, recorded);
        });
    }

    fn finish_record(&mut self, owner: usize, recorded: bool) {
        let pause_ms = if recorded { 0 } else { FAULT_PAUSE_MS };
        self.after_in_owner(owner, pause_ms, move |model| {
            let state = &mut model.owners[owner].recorder;
            state.is_writing = false;
            state.last_write_ms = model.now_ms;
            if std::mem::take(&mut state.is_notified) || !recorded {
                model.notify_recorder(owner);
            }
        });
    }

    /// Records all progress so far.
    pub(super) fn record_progress(
        &mut self,
        owner: usize,
        then: impl FnOnce(&mut Self, bool) + 'static,
    ) {
        if self.profile.has_product_records {
            self.record_in_chains(owner, Box::new(then));
            return;
        }
        let batch = self.owners[owner].schedule.take_progress_batch();
        let write = OwnerWrite::Progress(batch.records.clone());
        self.commit(owner, write, move |model, recorded| {
            let schedule = &mut model.owners[owner].schedule;
            if recorded {
                schedule.mark_progress_recorded(&batch);
                if batch
                    .records
                    .iter()
                    .any(|(_, record)| record.attempts() > 0)
                {
                    model.notify_planner(owner);
                }
            } else {
                for (job, _) in &batch.records {
                    schedule.requeue_progress(job);
                }
            }
            then(model, recorded);
        });
    }

    /// Checks the snapshots periodically.
    pub(super) fn start_snapshot_checks(&mut self, owner: usize) {
        self.check_snapshots(owner);
        self.after_in_owner(owner, SNAPSHOT_CHECK_MS, move |model| {
            if model.owners[owner].leads() {
                model.start_snapshot_checks(owner);
            }
        });
    }

    /// Stores the snapshots if they changed, and starts the tasks of the workers in them.
    pub(super) fn check_snapshots(&mut self, owner: usize) {
        if !self.owners[owner].leads() {
            return;
        }
        if self.profile.has_product_records {
            self.check_shards(owner);
            return;
        }
        let snapshots = self.worker_snapshots(owner);
        let names: BTreeSet<_> = snapshots
            .iter()
            .map(|snapshot| (snapshot.listed.name.clone(), snapshot.unreachable.is_some()))
            .collect();
        let process = &mut self.owners[owner];
        let has_authority = process.has_authority(self.now_ms);
        let state = &mut process.snapshots;
        if state.is_busy {
            state.is_notified = true;
            return;
        }
        if state.stored.as_ref() == Some(&names) || !has_authority {
            self.start_stored_workers(owner, &snapshots);
            return;
        }
        state.is_busy = true;
        self.store_snapshots(owner, snapshots.clone(), move |model, stored| {
            let pause_ms = if stored { 0 } else { SNAPSHOT_RETRY_MS };
            model.owners[owner].snapshots.stored = stored.then_some(names);
            model.after_in_owner(owner, pause_ms, move |model| {
                model.start_stored_workers(owner, &snapshots);
                let state = &mut model.owners[owner].snapshots;
                state.is_busy = false;
                if std::mem::take(&mut state.is_notified) {
                    model.check_snapshots(owner);
                }
            });
        });
    }

    /// Returns the snapshots in an order that does not depend on a hash map.
    pub(super) fn worker_snapshots(&self, owner: usize) -> Vec<WorkerSnapshot> {
        let mut snapshots = self.owners[owner].schedule.worker_snapshots(self.now_ms);
        snapshots.sort_by_key(|snapshot| snapshot.listed.name.clone());
        for unreachable in snapshots
            .iter_mut()
            .filter_map(|row| row.unreachable.as_mut())
        {
            unreachable.runs.sort();
        }
        snapshots
    }

    pub(super) fn store_snapshots(
        &mut self,
        owner: usize,
        snapshots: Vec<WorkerSnapshot>,
        then: impl FnOnce(&mut Self, bool) + 'static,
    ) {
        self.owners[owner].schedule.begin_snapshot_write(&snapshots);
        let unreachable = snapshots.iter().filter(|row| row.unreachable.is_some());
        let unreachable: Vec<_> = unreachable.map(|row| row.listed.name.to_string()).collect();
        let write = OwnerWrite::Snapshots(snapshots.clone());
        self.commit(owner, write, move |model, stored| {
            let text =
                format!("owner {owner} stores snapshots, unreachable {unreachable:?}: {stored}");
            model.oracle.note(None, text);
            if stored {
                let schedule = &mut model.owners[owner].schedule;
                schedule.finish_snapshot_write(&snapshots);
            }
            then(model, stored);
        });
    }

    fn start_stored_workers(&mut self, owner: usize, snapshots: &[WorkerSnapshot]) {
        for snapshot in snapshots {
            let name = &snapshot.listed.name;
            let process = &self.owners[owner];
            let stored = process.snapshots.stored.as_ref();
            let is_stored =
                stored.is_some_and(|stored| stored.iter().any(|(known, _)| known == name));
            if is_stored && process.leads() && process.has_authority(self.now_ms) {
                self.start_worker_tasks(owner, name, snapshot.listed.started_ms);
            }
        }
    }

    /// Delivers changes to jobs that the owner's watch has not delivered yet.
    pub(super) fn deliver_jobs(&mut self, owner: usize) {
        let (now_ms, wall_ms) = (self.now_ms, self.wall_ms());
        let process = &mut self.owners[owner];
        if !process.leads() {
            return;
        }
        let changes = self.store.changes_after(process.job_revision);
        process.job_revision = self.store.revision;
        for (_, change) in changes {
            let schedule = &mut self.owners[owner].schedule;
            let orders = match change {
                StoreChange::JobAdded(record) => {
                    schedule.add_job(record, None, 0, now_ms, wall_ms);
                    Vec::new()
                }
                StoreChange::JobCancelled(job) => {
                    let orders = schedule.cancel(&job, now_ms, wall_ms);
                    let text = format!("owner {owner} applies the cancellation of {job}");
                    self.oracle.note(Some(&job), text);
                    orders
                }
                _ => continue,
            };
            self.dispatch(owner, orders);
            self.notify_planner(owner);
            self.notify_recorder(owner);
        }
    }

    /// Delivers changes to the list of workers that the owner's watch has not delivered yet.
    pub(super) fn deliver_workers(&mut self, owner: usize) {
        let now_ms = self.now_ms;
        let process = &mut self.owners[owner];
        if !process.leads() {
            return;
        }
        let changes = self.store.changes_after(process.worker_revision);
        process.worker_revision = self.store.revision;
        let mut is_listed = false;
        for (revision, change) in changes {
            match change {
                StoreChange::WorkerListed(listed) => {
                    let row = WorkerRow { listed, revision };
                    is_listed |= process.schedule.apply_row(row) == RowOutcome::Applied;
                }
                StoreChange::WorkerUnlisted(name) => {
                    process.schedule.remove_row(&name, revision, now_ms);
                }
                _ => {}
            }
        }
        if is_listed && self.profile.has_product_records {
            self.notify_shards(owner);
        } else if is_listed {
            self.check_snapshots(owner);
        }
        self.notify_planner(owner);
    }
}
