//! Draining workers, and disrupting their instances within the limits of the steps.

use {
    super::{
        fleet_schedule::FleetSchedule, job_plan::Resources, live_job::LiveJob,
        step_state::TaskState, task_name::TaskName, task_run::TaskRun, worker_order::WorkerOrder,
        worker_status::WorkerStatus,
    },
    crate::{
        collections::{FastMap, FastSet},
        names::{JobName, WorkerName},
    },
};

/// How long after an order for its instance a worker's removal from the list is attributed to
/// the order, in milliseconds. The list shows a removal within some hundred milliseconds.
const DISRUPTION_WINDOW_MS: u64 = 1_500;

impl FleetSchedule {
    /// Sets or lifts a worker's cordon, which keeps new tasks away. Lifting it also clears
    /// the mark of a disruption.
    pub fn set_cordon(&mut self, name: &WorkerName, cordoned: bool) {
        if let Some(status) = self.workers.get_mut(name) {
            status.cordoned = cordoned;
            status.disrupting &= cordoned;
        }
    }

    /// Sets the workers whose instances await maintenance by a wave in progress. Tasks go to
    /// other workers as far as these have room.
    pub(super) fn set_pending_maintenance(&mut self, pending: &FastSet<WorkerName>) {
        let is_changed = |status: &&WorkerStatus| {
            status.pending_maintenance != pending.contains(&status.listed.name)
        };
        let changed = self.workers.values().filter(is_changed);
        let changed: Vec<_> = changed.map(|status| status.listed.name.clone()).collect();
        for name in changed {
            if let Some(status) = self.workers.get_mut(&name) {
                status.pending_maintenance = !status.pending_maintenance;
            }
        }
    }

    /// Sets how many instances may be moved to a pool that lacks room.
    pub(super) fn set_spare_instances(&mut self, count: usize) {
        self.spare_instances = count;
    }

    /// Marks an order for a worker's instance as confirmed. The worker's incarnation is over
    /// once it is unlisted; it goes on if the order was carried out before it started.
    pub fn confirm_disruption(&mut self, name: &WorkerName, now_ms: u64) {
        if let Some(status) = self.workers.get_mut(name) {
            status.disrupted_until_ms = now_ms + DISRUPTION_WINDOW_MS;
            status.may_outlive_order = false;
            status.disrupting = true;
            status.cordoned = true;
        }
    }

    /// Marks a repeated order for a worker's instance as confirmed. The confirmation may be of the
    /// first attempt, which the worker came after: its removal from the list proves nothing.
    pub fn confirm_repeated_disruption(&mut self, name: &WorkerName, now_ms: u64) {
        self.confirm_disruption(name, now_ms);
        if let Some(status) = self.workers.get_mut(name) {
            status.may_outlive_order = true;
        }
    }

    /// Whether a worker runs only long-running tasks, if any.
    pub fn runs_only_long_running(&self, name: &WorkerName) -> bool {
        let long_running = |task: &TaskName| {
            self.jobs
                .get(&task.job)
                .is_some_and(|job| job.record.plan.steps[usize::from(task.step)].long_running)
        };
        self.workers
            .get(name)
            .is_none_or(|status| status.tasks().all(long_running))
    }

    /// Whether an order for a worker's instance loses no end of a run: none of its runs may end by
    /// itself, and all ends that it listed are recorded.
    fn has_settled_runs(&self, name: &WorkerName) -> bool {
        let status = self.workers.get(name);
        status.is_none_or(WorkerStatus::has_recorded_ends) && self.runs_only_long_running(name)
    }

    /// Whether an order for a worker's instance breaks no limit of a step and loses no end of a run.
    pub(super) fn may_be_ordered(&self, name: &WorkerName) -> bool {
        self.allows_disruption(name) && self.has_settled_runs(name)
    }

    /// Stops the tasks on a worker that end by themselves, so that the ends of their runs are listed
    /// before its instance is disrupted.
    pub(super) fn stop_finite_runs(&mut self, name: &WorkerName, now_ms: u64) -> Vec<WorkerOrder> {
        let Some(status) = self.workers.get(name).filter(|status| status.reachable) else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for (task, number) in &status.runs {
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            if job.record.plan.steps[usize::from(task.step)].long_running {
                continue;
            }
            let run = job.task_mut(task).and_then(|t| t.run_on_mut(name, *number));
            if let Some(run) = run.filter(|run| !run.is_stopping()) {
                orders.push(run.stop(task, now_ms));
            }
        }
        orders
    }

    /// Whether a worker's instance may be disrupted. This requires that its runs are known and
    /// that no long-running step would exceed its limit of unavailable tasks, counting those
    /// that are unavailable for any other reason.
    pub fn allows_disruption(&self, name: &WorkerName) -> bool {
        let Some(status) = self.workers.get(name) else {
            return true;
        };
        if !status.reported && !status.runs_known {
            return false;
        }
        status.tasks().all(|task| {
            let Some(job) = self.jobs.get(&task.job) else {
                return true;
            };
            let plan = &job.record.plan.steps[usize::from(task.step)];
            let Some(max_unavailable) = plan.max_unavailable.filter(|_| plan.long_running) else {
                return true;
            };
            let Some(step) = job.step(task) else {
                return true;
            };
            let unavailable_after = |task: &&TaskState| {
                !task
                    .runs
                    .iter()
                    .any(|run| self.is_available(run) && run.worker != *name)
            };
            let unavailable = step.tasks.iter().filter(unavailable_after).count() + step.untouched;
            unavailable <= max_unavailable as usize
        })
    }

    /// Returns the number of rounds in which long-running tasks leave workers with pending
    /// maintenance, each round within the limit of the step; the highest of all steps.
    pub(super) fn max_relocation_rounds(&self) -> u64 {
        let mut pending: FastMap<(&JobName, u32, u16), u64> = FastMap::default();
        for status in self
            .workers
            .values()
            .filter(|status| status.pending_maintenance)
        {
            for task in status.tasks() {
                *pending
                    .entry((&task.job, task.occurrence, task.step))
                    .or_default() += 1;
            }
        }
        let rounds = pending.into_iter().filter_map(|((job, _, step), tasks)| {
            let job = self.jobs.get(job)?;
            let plan = &job.record.plan.steps[usize::from(step)];
            let max_unavailable = plan.max_unavailable.filter(|_| plan.long_running)?;
            Some(tasks.div_ceil(u64::from(max_unavailable.max(1))))
        });
        rounds.max().unwrap_or_default()
    }

    /// Whether a worker has a run of a step that limits its unavailable tasks, which is being stopped,
    /// or is ready and may go to another worker.
    pub(super) fn has_relocatable_task(&self, name: &WorkerName, now_ms: u64) -> bool {
        let Some(status) = self.workers.get(name) else {
            return false;
        };
        status.runs.iter().any(|(task, number)| {
            let is_limited = |job: &&LiveJob| {
                let step = &job.record.plan.steps[usize::from(task.step)];
                step.long_running && step.max_unavailable.is_some()
            };
            let job = self.jobs.get(&task.job).filter(is_limited);
            let run = job.and_then(|job| job.task(task)?.run_on(name, *number));
            run.is_some_and(|run| {
                run.is_stopping()
                    || run.is_serving() && self.has_place_elsewhere(task, name, now_ms)
            })
        })
    }

    /// Whether a long-running task may be stopped so that it moves to another worker.
    fn may_relocate(&self, task: &TaskName, name: &WorkerName, now_ms: u64) -> bool {
        let job = self.jobs.get(&task.job);
        let plan = job.map(|job| &job.record.plan.steps[usize::from(task.step)]);
        let Some(plan) = plan.filter(|plan| plan.long_running) else {
            return false;
        };
        let max_unavailable = plan.max_unavailable.map_or(usize::MAX, |max| max as usize);
        self.count_unavailable(task) < max_unavailable
            && self.has_place_elsewhere(task, name, now_ms)
    }

    /// Whether another worker may take a long-running task from this one, once the tasks there that
    /// end by themselves have ended, or a spare instance may join the pool.
    fn has_place_elsewhere(&self, task: &TaskName, name: &WorkerName, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let plan = &job.record.plan.steps[usize::from(task.step)];
        let mut others = self.workers.values();
        self.spare_instances > 0
            || others.any(|other| {
                other.listed.name != *name
                    && other.listed.pool == job.record.pool
                    && other.accepts_tasks(now_ms)
                    && other.is_eligible(plan, task)
                    && plan
                        .reserved()
                        .count_in(self.reserved_for_good(other), other.listed.capacity)
                        > 0
            })
    }

    /// Returns what the long-running tasks on a worker reserve.
    fn reserved_for_good(&self, worker: &WorkerStatus) -> Resources {
        let mut reserved = Resources::default();
        for task in worker.tasks() {
            let job = self.jobs.get(&task.job);
            let plan = job.map(|job| &job.record.plan.steps[usize::from(task.step)]);
            if let Some(plan) = plan.filter(|plan| plan.long_running) {
                reserved += plan.reserved();
            }
        }
        reserved
    }

    /// Whether a long-running task on a worker, best-effort ones aside, has started and is not
    /// ready yet. Once it is, the next task of its step may be relocated.
    pub fn has_unready_task(&self, name: &WorkerName) -> bool {
        let Some(status) = self.workers.get(name) else {
            return false;
        };
        status.runs.iter().any(|(task, number)| {
            let job = self.jobs.get(&task.job);
            let must_become_ready = |job: &&LiveJob| {
                let step = &job.record.plan.steps[usize::from(task.step)];
                step.long_running && !step.best_effort
            };
            let state = job.filter(must_become_ready).and_then(|job| job.task(task));
            let run = state.and_then(|state| state.run_on(name, *number));
            run.is_some_and(|run| !run.is_serving() && !run.is_stopping())
        })
    }

    /// Whether a run is ready on a worker that reports and is not being disrupted.
    fn is_available(&self, run: &TaskRun) -> bool {
        let reports =
            |status: &WorkerStatus| status.reported && status.reachable && !status.disrupting;
        run.is_serving() && self.workers.get(&run.worker).is_some_and(reports)
    }

    /// Counts the unavailable tasks in a task's step.
    fn count_unavailable(&self, task: &TaskName) -> usize {
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task));
        let unavailable = |task: &&TaskState| !task.runs.iter().any(|run| self.is_available(run));
        step.map_or(0, |step| {
            step.tasks.iter().filter(unavailable).count() + step.untouched
        })
    }

    /// Stops long-running tasks on a worker that may move elsewhere, of each step as many as may be
    /// unavailable.
    pub fn drain_worker(&mut self, name: &WorkerName, now_ms: u64) -> Vec<WorkerOrder> {
        let Some(status) = self.workers.get(name) else {
            return Vec::new();
        };
        let tasks: FastSet<_> = status.tasks().cloned().collect();
        let mut orders = Vec::new();
        for task in tasks {
            if !self.may_relocate(&task, name, now_ms) {
                continue;
            }
            let job = self.jobs.get_mut(&task.job);
            let Some(state) = job.and_then(|job| job.task_mut(&task)) else {
                continue;
            };
            let stoppable = |run: &&mut TaskRun| run.worker == *name && run.is_serving();
            if let Some(run) = state.runs.iter_mut().find(stoppable) {
                orders.push(run.stop(&task, now_ms));
            }
        }
        orders
    }

    /// Marks a worker's instance as about to be disrupted. Its tasks count as unavailable from
    /// now on, whatever it still reports.
    pub fn begin_disruption(&mut self, name: &WorkerName) {
        if let Some(status) = self.workers.get_mut(name) {
            status.cordoned = true;
            status.disrupting = true;
        }
    }
}
