//! Workers as they are listed, and the ends of their incarnations.

use {
    super::{
        fleet_schedule::FleetSchedule,
        run_tracking::DropReason,
        task_name::TaskName,
        worker_status::{ListedWorker, WorkerStatus},
    },
    crate::{collections::FastSet, names::WorkerName},
};

/// A worker's row in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerRow {
    /// The worker.
    pub listed: ListedWorker,
    /// The store's revision at the row's last change.
    pub revision: u64,
}

/// What became of a worker's row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowOutcome {
    /// The schedule has changed.
    Applied,
    /// The row repeats what is known.
    Unchanged,
    /// A newer change of the row was applied before.
    Outdated,
    /// The worker's runs are those of another incarnation, which goes on until it is found to be over.
    Held,
}

impl FleetSchedule {
    /// Applies a worker's row, unless a newer change of it is known.
    pub fn apply_row(&mut self, row: WorkerRow) -> RowOutcome {
        let WorkerRow { listed, revision } = row;
        if let Some(known) = self.workers.get_untracked(&listed.name)
            && !known.incarnations.advance_row(revision)
        {
            return RowOutcome::Outdated;
        }
        let name = listed.name.clone();
        let outcome = self.upsert_worker(listed);
        if let Some(status) = self.workers.get_untracked(&name) {
            status.incarnations.advance_row(revision);
        }
        outcome
    }

    /// Applies the removal of a worker's row, unless a newer change of it is known. Returns whether
    /// it was applied.
    pub fn remove_row(&mut self, name: &WorkerName, revision: u64, now_ms: u64) -> bool {
        let known = self.workers.get_untracked(name);
        if !known.is_some_and(|known| known.incarnations.advance_row(revision)) {
            return false;
        }
        self.unlist_worker(name, now_ms);
        true
    }

    /// Applies a whole list, read at a store revision: its rows, and the removal of all others.
    pub fn apply_row_list(&mut self, rows: Vec<WorkerRow>, revision: u64, now_ms: u64) {
        let listed: FastSet<_> = rows.iter().map(|row| row.listed.name.clone()).collect();
        for row in rows {
            self.apply_row(row);
        }
        let missing: Vec<_> = self
            .workers()
            .filter(|status| status.present && !listed.contains(&status.listed.name))
            .map(|status| status.listed.name.clone())
            .collect();
        for name in missing {
            self.remove_row(&name, revision, now_ms);
        }
    }

    /// Adds or updates a listed worker. A new incarnation of the worker ends all runs that the one
    /// before has listed; one that it has not may have been started at the new incarnation.
    pub fn upsert_worker(&mut self, mut listed: ListedWorker) -> RowOutcome {
        if let Some(known) = self.workers.get_mut(&listed.name) {
            if listed.started_ms == 0 {
                listed.started_ms = known.listed.started_ms;
            }
            if known.present && known.listed == listed {
                known.has_current_row = true;
                known.held_row = None;
                return RowOutcome::Unchanged;
            }
            let newest_ms = known.listed.started_ms;
            if listed.started_ms != newest_ms {
                let knows_runs = known.reported || known.runs_known;
                let order = &known.incarnations;
                if !order.row_follows(listed.started_ms, newest_ms, knows_runs) {
                    known.held_row = Some(listed);
                    return RowOutcome::Held;
                }
                self.replace_incarnation(listed);
                return RowOutcome::Applied;
            }
        }
        let orphans_until_ms = self.orphans_until_ms;
        let is_recorded = self.departed_unreachable.remove(&listed.name);
        let status = self.workers.get_or_insert_with(listed.name.clone(), || {
            WorkerStatus::new(listed.clone(), orphans_until_ms)
        });
        status.recorded_unreachable |= is_recorded;
        if !status.present || !status.reported {
            self.newly_listed.push(listed.name.clone());
        }
        status.listed = listed;
        status.has_current_row = true;
        status.held_row = None;
        status.present = true;
        RowOutcome::Applied
    }

    /// Applies the incarnation that a report is of. Returns whether the report is of the newest one.
    pub(super) fn apply_reported_start(&mut self, name: &WorkerName, reported_ms: u64) -> bool {
        let Some(status) = self.workers.get_mut(name) else {
            return false;
        };
        let newest_ms = status.listed.started_ms;
        let follows = status.incarnations.report_follows(reported_ms, newest_ms);
        if !follows {
            return reported_ms == newest_ms;
        }
        let present = status.present;
        let held = status.held_row.take();
        let row = held.filter(|row| row.started_ms == reported_ms);
        let has_current_row = row.is_some();
        let listed = row.unwrap_or_else(|| ListedWorker {
            started_ms: reported_ms,
            ..status.listed.clone()
        });
        self.replace_incarnation(listed);
        if let Some(status) = self.workers.get_mut(name) {
            status.present = present;
            status.has_current_row = has_current_row;
        }
        true
    }

    /// Replaces an incarnation whose lease has expired by that of the row that was held meanwhile.
    /// Returns whether there is such a row.
    pub(super) fn adopt_held_row(&mut self, name: &WorkerName) -> bool {
        let Some(earlier) = self.workers.get_mut(name) else {
            return false;
        };
        let Some(listed) = earlier.held_row.take() else {
            return false;
        };
        let recorded_unreachable = earlier.is_recorded_for(&listed);
        let mut status = WorkerStatus::new(listed, self.orphans_until_ms);
        status.recorded_unreachable = recorded_unreachable;
        status.incarnations = std::mem::take(&mut earlier.incarnations);
        self.workers.insert(name.clone(), status);
        self.newly_listed.push(name.clone());
        true
    }

    /// Takes the workers that were listed since the last call.
    pub fn take_newly_listed(&mut self) -> Vec<WorkerName> {
        std::mem::take(&mut self.newly_listed)
    }

    fn replace_incarnation(&mut self, listed: ListedWorker) {
        let name = listed.name.clone();
        self.newly_listed.push(name.clone());
        self.attribute_crash(&name, DropReason::Replaced);
        let Some(earlier) = self.workers.get_mut(&name) else {
            return;
        };
        let may_go_on = |(task, run): &(TaskName, u32)| {
            let job = self.jobs.get(&task.job);
            job.is_some_and(|job| job.may_run_at_next(task, &name, *run))
        };
        let lease_until_ms = earlier.lease_until_ms;
        let recorded_unreachable = earlier.is_recorded_for(&listed);
        let incarnations = std::mem::take(&mut earlier.incarnations);
        let carried: Vec<_> = earlier.runs.extract_if(may_go_on).collect();
        let mut status = WorkerStatus::new(listed, self.orphans_until_ms);
        status.incarnations = incarnations;
        status.recorded_unreachable = recorded_unreachable;
        status.runs_known = !carried.is_empty();
        status.lease_until_ms = status
            .lease_until_ms
            .max(lease_until_ms + self.unnoticed_restart_ms());
        self.drop_runs(&name, DropReason::Replaced);
        for (task, number) in carried {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            status.used += job.record.plan.steps[usize::from(task.step)].reserved();
            if let Some(run) = self.find_run(&name, &task, number) {
                run.carry_over();
            }
            status.runs.insert((task, number));
        }
        self.workers.insert(name, status);
    }

    /// Whether a worker reports as another incarnation than its row is of, so that its row has to be
    /// read before it gets tasks.
    pub fn lacks_current_row(&self, name: &WorkerName) -> bool {
        let status = self.workers.get(name);
        status.is_some_and(|status| !status.has_current_row)
    }

    /// Ends the runs of earlier workers on the instance of a worker that reports for the first
    /// time. Its row alone is no proof: another writer may have written it.
    pub(super) fn end_replaced_workers(&mut self, name: &WorkerName) {
        let Some(status) = self.workers.get(name).filter(|status| !status.reported) else {
            return;
        };
        let listed = status.listed.clone();
        let replaced: Vec<_> = self
            .workers
            .values()
            .map(|status| &status.listed)
            .filter(|own| {
                own.instance.is_some()
                    && own.instance == listed.instance
                    && own.name != listed.name
                    && own.started_ms < listed.started_ms
            })
            .map(|own| own.name.clone())
            .collect();
        for name in replaced {
            self.attribute_crash(&name, DropReason::Replaced);
            self.drop_runs(&name, DropReason::Replaced);
            self.remove_worker(&name);
        }
    }

    /// Marks a worker as no longer listed. Its runs may go on until its lease expires, unless
    /// an order that was sent once just disrupted its instance: then they are released at once.
    pub fn unlist_worker(&mut self, name: &WorkerName, now_ms: u64) {
        let Some(status) = self.workers.get_mut(name) else {
            return;
        };
        status.present = false;
        status.held_row = None;
        if now_ms < status.disrupted_until_ms && !status.may_outlive_order {
            self.drop_runs(name, DropReason::Disrupted);
            self.remove_worker(name);
        }
    }
}
