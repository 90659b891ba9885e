//! Workers as they are listed, and the ends of their incarnations.

use {
    super::{
        fleet_schedule::FleetSchedule,
        run_tracking::DropReason,
        task_name::TaskName,
        worker_status::{ListedWorker, WorkerStatus},
    },
    crate::names::WorkerName,
};

impl FleetSchedule {
    /// Adds or updates a listed worker and returns whether anything changed. A new incarnation
    /// of the worker ends all runs that the one before has listed; one that it has not may have
    /// been started at the new incarnation.
    pub fn upsert_worker(&mut self, mut listed: ListedWorker) -> bool {
        if let Some(known) = self.workers.get_mut(&listed.name) {
            if listed.started_ms == 0 {
                listed.started_ms = known.listed.started_ms;
            }
            if known.present && known.listed == listed {
                known.has_current_row = true;
                return false;
            }
            if known.listed.started_ms != listed.started_ms {
                self.newly_listed.push(listed.name.clone());
                self.replace_incarnation(listed);
                return true;
            }
        }
        let orphans_until_ms = self.orphans_until_ms;
        let status = self.workers.get_or_insert_with(listed.name.clone(), || {
            WorkerStatus::new(listed.clone(), orphans_until_ms)
        });
        if !status.present || !status.reported {
            self.newly_listed.push(listed.name.clone());
        }
        status.listed = listed;
        status.has_current_row = true;
        status.present = true;
        true
    }

    /// Takes the workers that were listed since the last call.
    pub fn take_newly_listed(&mut self) -> Vec<WorkerName> {
        std::mem::take(&mut self.newly_listed)
    }

    fn replace_incarnation(&mut self, listed: ListedWorker) {
        let name = listed.name.clone();
        self.attribute_crash(&name, DropReason::Replaced);
        let Some(earlier) = self.workers.get_mut(&name) else {
            return;
        };
        let may_go_on = |(task, run): &(TaskName, u32)| {
            let job = self.jobs.get(&task.job);
            job.is_some_and(|job| job.may_run_at_next(task, &name, *run))
        };
        let lease_until_ms = earlier.lease_until_ms;
        let carried: Vec<_> = earlier.runs.extract_if(may_go_on).collect();
        let mut status = WorkerStatus::new(listed, self.orphans_until_ms);
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
            self.workers.remove(&name);
        }
    }

    /// Marks a worker as no longer listed. Its runs may go on until its lease expires, unless
    /// an order that was sent once just disrupted its instance: then they are released at once.
    pub fn unlist_worker(&mut self, name: &WorkerName, now_ms: u64) {
        let Some(status) = self.workers.get_mut(name) else {
            return;
        };
        status.present = false;
        if now_ms < status.disrupted_until_ms && !status.may_outlive_order {
            self.drop_runs(name, DropReason::Disrupted);
            self.workers.remove(name);
        }
    }
}
