//! Starts that are recorded before they are ordered, so that the next owner knows of them.
//!
//! Most starts need no record: the workers tell. A worker that has crashed does not. A task that may
//! have crashed its worker starts again only once the attempt is stored, so that each later crash
//! under it counts, whichever owner sees it.

use {
    super::{
        fleet_schedule::FleetSchedule,
        job_progress::{ProgressRecord, RecordedAttempt},
        live_job::LiveJob,
        step_state::StepState,
        task_name::TaskName,
        task_run::{RunPhase, TaskRun},
        worker_order::{StartOrder, WorkerOrder},
        worker_status::WorkerStatus,
    },
    crate::names::{JobName, WorkerName},
    std::sync::Arc,
};

/// A planned start whose attempt is stored.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RecordedStart {
    task: TaskName,
    run: u32,
    worker: WorkerName,
}

impl FleetSchedule {
    /// Whether starts of a job's tasks that are not suspected are recorded too: an owner before may
    /// have started them, and a worker has crashed since of which this owner knows no runs.
    pub(super) fn records_all_starts(&self, job: &LiveJob) -> bool {
        let has_unknown_runs = self.pools_with_unknown_runs.contains(&job.record.pool);
        job.awaits_orphans() || job.from_earlier_owner && has_unknown_runs
    }

    /// Whether starts wait until the progress of their jobs is recorded.
    pub fn has_planned_starts(&self) -> bool {
        !self.planned.is_empty()
    }

    /// Queues the record of a job with planned starts.
    pub(super) fn record_planned(&mut self, name: &JobName) {
        self.dirty.insert(name.clone());
        self.planned.insert(name.clone());
    }

    /// Notes the planned starts that a stored record has.
    pub(super) fn mark_attempts_recorded(&mut self, name: &JobName, progress: &ProgressRecord) {
        for step in &progress.step_progress {
            let starts = step.attempts.iter().map(|attempt| RecordedStart {
                task: step.task(name, attempt.index),
                run: attempt.run,
                worker: attempt.at.worker.clone(),
            });
            self.recorded_starts.extend(starts);
        }
    }

    /// Returns the orders of the planned starts that are recorded. Those whose worker accepts no
    /// tasks any more are given up.
    pub(super) fn order_recorded_starts(&mut self, now_ms: u64) -> Vec<WorkerOrder> {
        let mut orders = Vec::new();
        let mut starts = std::mem::take(&mut self.recorded_starts);
        starts.sort_unstable();
        for RecordedStart { task, run, worker } in starts {
            let status = self.workers.get(&worker);
            let accepts_tasks = status.is_some_and(|status| status.accepts_tasks(now_ms));
            let known = self.find_run(&worker, &task, run);
            let Some(known) = known.filter(|known| known.phase == RunPhase::Planned) else {
                continue;
            };
            if !accepts_tasks {
                self.release(&task, &worker, run);
                continue;
            }
            known.phase = RunPhase::Ordered;
            known.phase_since_ms = now_ms;
            known.ordered_ms = now_ms;
            let order = self.start_order(task, worker, run, now_ms);
            orders.extend(order.map(WorkerOrder::Start));
        }
        orders
    }

    /// Returns the order that starts a run, with the checkpoint that it resumes from.
    pub(super) fn start_order(
        &self,
        task: TaskName,
        worker: WorkerName,
        run: u32,
        now_ms: u64,
    ) -> Option<StartOrder> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(&task)?;
        let checkpoint = if job.plan_of(&task).gang {
            step.tasks.iter().find_map(|task| task.checkpoint.clone())
        } else {
            job.task(&task)?.checkpoint.clone()
        };
        let advice = job.record.advised.then_some(&step.advice);
        let ticket = |status: &WorkerStatus| advice?.ticket(status, now_ms).cloned();
        Some(StartOrder {
            ticket: self.workers.get(&worker).and_then(ticket),
            body: Arc::clone(&job.record.plan.task_body),
            worker,
            task,
            run,
            checkpoint,
        })
    }

    /// Notes what the record of a job that an earlier owner stored leaves open: recorded attempts,
    /// and crashes that are not confirmed.
    pub(super) fn restore_open_runs(
        &mut self,
        name: &JobName,
        progress: &ProgressRecord,
        now_ms: u64,
    ) {
        for step in &progress.step_progress {
            let task = |index| step.task(name, index);
            for crashed in &step.crashes {
                for crash in &crashed.runs {
                    if let Some(at) = &crash.unconfirmed_at {
                        self.restore_lapsed(at, (task(crashed.index), crash.run), now_ms);
                    }
                }
            }
            let attempts = step.attempts.iter();
            let attempts = attempts.map(|attempt| (task(attempt.index), attempt.clone()));
            self.restored_attempts.extend(attempts);
        }
    }

    /// Restores the attempts that earlier owners have recorded, once all snapshots are restored and
    /// before rows of workers are applied. Each counts as a run on its worker until the worker or
    /// its successor tells; one whose worker is gone from the snapshots went with it.
    pub fn restore_attempts(&mut self, now_ms: u64) {
        for (task, attempt) in std::mem::take(&mut self.restored_attempts) {
            let status = self.workers.get(&attempt.at.worker);
            let incarnation = status.map(|status| status.listed.started_ms);
            if incarnation == Some(attempt.at.started_ms) {
                self.restore_attempt(&task, &attempt, now_ms);
                continue;
            }
            // A later incarnation in a snapshot is proof.
            let confirmed = incarnation.is_some();
            self.suspect_lost_attempt(&task, &attempt, confirmed);
            if !confirmed {
                self.restore_lapsed(&attempt.at, (task, attempt.run), now_ms);
            }
        }
    }

    fn restore_attempt(&mut self, task: &TaskName, attempt: &RecordedAttempt, now_ms: u64) {
        let worker = &attempt.at.worker;
        let state = self.jobs.get_mut(&task.job);
        let state = state.and_then(|job| job.task_mut(task));
        let Some(state) = state.filter(|state| !state.done) else {
            return;
        };
        let recorded_at = Some(Box::new(attempt.at.clone()));
        if let Some(known) = state.run_on_mut(worker, attempt.run) {
            known.recorded_at = recorded_at;
            return;
        }
        state.runs.push(TaskRun {
            recorded_at,
            ..TaskRun::restored(worker.clone(), attempt.run, now_ms)
        });
        self.reserve(task, worker, attempt.run);
    }
}

impl StepState {
    /// Whether a worker has crashed under one of its tasks.
    pub(super) fn has_suspects(&self) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|task| task.suspicion.is_suspected())
    }
}
