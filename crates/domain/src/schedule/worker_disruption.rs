//! Emptying workers, and taking their instances down within what steps may miss.

use {
    super::{
        fleet_schedule::FleetSchedule,
        live_job::{LiveJob, TaskRun, TaskState},
        task_name::TaskName,
        worker_order::WorkerOrder,
        worker_status::WorkerStatus,
    },
    crate::{
        collections::{FastMap, FastSet},
        names::{JobName, WorkerName},
    },
};

/// How long after an order for its instance a worker's removal from the list is taken as
/// its work, in milliseconds. The list tells within some hundred.
const TAKEN_DOWN_MS: u64 = 1_500;

impl FleetSchedule {
    /// Keeps new tasks away from a worker, or no longer.
    pub fn set_cordon(&mut self, name: &WorkerName, cordoned: bool) {
        if let Some(seat) = self.workers.get_mut(name) {
            seat.cordoned = cordoned;
            seat.taking_down &= cordoned;
        }
    }

    /// Sets which workers' instances are still to be taken down by waves that run: work goes
    /// to the others as far as they have room.
    pub(super) fn set_due(&mut self, due: &FastSet<WorkerName>) {
        for (name, seat) in &mut self.workers {
            seat.due = due.contains(name);
        }
    }

    /// Takes note that an order for a worker's instance was confirmed. If the order had been
    /// carried out before, this life of the worker goes on: it is over once it is unlisted.
    pub fn confirm_disruption(&mut self, name: &WorkerName, now_ms: u64) {
        if let Some(seat) = self.workers.get_mut(name) {
            seat.taken_down_until_ms = now_ms + TAKEN_DOWN_MS;
            seat.taking_down = true;
            seat.cordoned = true;
        }
    }

    /// Whether nothing but tasks that last runs on a worker.
    pub fn runs_only_long_running(&self, name: &WorkerName) -> bool {
        let lasting = |task: &TaskName| {
            self.jobs
                .get(&task.job)
                .is_some_and(|job| job.record.plan.steps[usize::from(task.step)].long_running)
        };
        self.workers
            .get(name)
            .is_none_or(|seat| seat.runs.keys().all(lasting))
    }

    /// Whether a worker's instance may be taken down: what runs there is known, and every step
    /// that lasts misses no more tasks then than it may, those that are not at work for any
    /// cause counted.
    pub fn allows_disruption(&self, name: &WorkerName) -> bool {
        let Some(seat) = self.workers.get(name) else {
            return true;
        };
        if !seat.reported && !seat.runs_known {
            return false;
        }
        seat.runs.keys().all(|task| {
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
            let away_or_here = |task: &&TaskState| {
                !task
                    .runs
                    .iter()
                    .any(|run| self.at_work(run) && run.worker != *name)
            };
            step.tasks.iter().filter(away_or_here).count() <= max_unavailable as usize
        })
    }

    /// How many times tasks of one step that lasts have to move, one lot after another, until
    /// none is left on due workers; of the step that takes longest.
    pub(super) fn longest_move_out(&self) -> u64 {
        let mut due: FastMap<(&JobName, u32, u16), u64> = FastMap::default();
        for seat in self.workers.values().filter(|seat| seat.due) {
            for task in seat.runs.keys() {
                *due.entry((&task.job, task.occurrence, task.step))
                    .or_default() += 1;
            }
        }
        let lots = due.into_iter().filter_map(|((job, _, step), tasks)| {
            let job = self.jobs.get(job)?;
            let plan = &job.record.plan.steps[usize::from(step)];
            let max_unavailable = plan.max_unavailable.filter(|_| plan.long_running)?;
            Some(tasks.div_ceil(u64::from(max_unavailable.max(1))))
        });
        lots.max().unwrap_or_default()
    }

    /// Whether a task that lasts has started on a worker and is not at work yet: the next of its
    /// step may move once it is.
    pub fn has_unready_task(&self, name: &WorkerName) -> bool {
        let Some(seat) = self.workers.get(name) else {
            return false;
        };
        seat.runs.iter().any(|(task, number)| {
            let job = self.jobs.get(&task.job);
            let lasts = |job: &&LiveJob| {
                let step = &job.record.plan.steps[usize::from(task.step)];
                step.long_running && !step.best_effort
            };
            let state = job.filter(lasts).and_then(|job| job.task(task));
            state.is_some_and(|state| {
                let mut runs = state.runs.iter().filter(|run| run.run == *number);
                runs.any(|run| run.worker == *name && !run.is_full() && !run.is_stopping())
            })
        })
    }

    /// Whether a run is at work, as far as its worker still tells.
    fn at_work(&self, run: &TaskRun) -> bool {
        let told = |seat: &WorkerStatus| seat.reported && seat.reachable && !seat.taking_down;
        run.is_full() && self.workers.get(&run.worker).is_some_and(told)
    }

    /// Tasks of a task's step that are not at work.
    fn away(&self, task: &TaskName) -> usize {
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task));
        let away = |task: &&TaskState| !task.runs.iter().any(|run| self.at_work(run));
        step.map_or(0, |step| step.tasks.iter().filter(away).count())
    }

    /// Stops tasks that last on a worker, so that they go on elsewhere: of each step as many
    /// as it may miss.
    pub fn drain_worker(&mut self, name: &WorkerName, now_ms: u64) -> Vec<WorkerOrder> {
        let Some(seat) = self.workers.get(name) else {
            return Vec::new();
        };
        let tasks: Vec<_> = seat.runs.keys().cloned().collect();
        let mut orders = Vec::new();
        for task in tasks {
            let away = self.away(&task);
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let plan = &job.record.plan.steps[usize::from(task.step)];
            if !plan.long_running {
                continue;
            }
            let max_unavailable = plan
                .max_unavailable
                .map_or(usize::MAX, |max_unavailable| max_unavailable as usize);
            let Some(state) = job.task_mut(&task) else {
                continue;
            };
            let stoppable = |run: &&mut TaskRun| run.worker == *name && run.is_full();
            if let Some(run) = state.runs.iter_mut().find(stoppable)
                && away < max_unavailable
            {
                orders.push(run.stop(&task, now_ms));
            }
        }
        orders
    }

    /// Takes note that a worker's instance is about to be taken down: its tasks count as
    /// not at work from now on, whatever it still lists.
    pub fn begin_disruption(&mut self, name: &WorkerName) {
        if let Some(seat) = self.workers.get_mut(name) {
            seat.cordoned = true;
            seat.taking_down = true;
        }
    }
}
