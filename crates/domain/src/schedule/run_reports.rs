//! What workers say of their runs, taken into the schedule.

use {
    super::{
        fleet_schedule::FleetSchedule,
        job_progress::JobState,
        live_job::{FULLY_AT_WORK, RunPhase, TaskRun},
        task_name::TaskName,
        worker_order::{StopOrder, WorkerOrder},
        worker_status::{EndedRun, ReportedRun, RunOutcome, WorkerReport},
    },
    crate::names::WorkerName,
    std::sync::Arc,
};

/// How long a stop that was not confirmed waits before it is sent again, in milliseconds.
/// Some hundred times an undisturbed round trip.
const STOP_AGAIN_MS: u64 = 400;
/// How long a start that was not answered is looked for in the worker's lists before it is
/// ruled out by a stop, in milliseconds. Some tens of round trips.
const UNSURE_MS: u64 = 200;
/// How long a run's progress, told in hundredths, stays the same before the run counts as
/// standing still, in milliseconds. Longer than a look waits, and the users' tasks take a
/// second or a few: a run that still works has moved by then, even six times slowed.
const STANDS_STILL_MS: u64 = 1_800;
/// A worker that still answers when its order's window has less than this left, in
/// milliseconds, was not taken down by the order.
const ANSWERS_STILL_MS: u64 = 1_000;

impl FleetSchedule {
    /// Takes in a worker's lists and returns the orders that follow.
    pub fn apply_report(
        &mut self,
        worker: &WorkerName,
        report: &WorkerReport,
        now_ms: u64,
        wall_ms: u64,
    ) -> Vec<WorkerOrder> {
        let Some(seat) = self.workers.get_mut(worker) else {
            return Vec::new();
        };
        if report
            .started_ms
            .is_some_and(|born| born != seat.listed.started_ms)
        {
            if report.started_ms < Some(seat.listed.started_ms) {
                return Vec::new();
            }
            let mut listed = seat.listed.clone();
            listed.started_ms = report.started_ms.unwrap_or_default();
            let present = seat.present;
            self.upsert_worker(listed);
            if !present {
                self.unlist_worker(worker, now_ms);
            }
        }
        let mut orders = Vec::new();
        for end in &report.finished {
            let seen = self.workers.get(worker).map_or(0, |seat| seat.seen_end);
            if end.number <= seen {
                continue;
            }
            if !self.take_end(worker, end, now_ms, wall_ms, &mut orders) {
                break;
            }
            if let Some(seat) = self.workers.get_mut(worker) {
                seat.seen_end = end.number;
            }
        }
        for row in &report.running {
            self.take_row(worker, row, report.clock_ms, now_ms, &mut orders);
        }
        self.drop_missing(worker, report);
        orders.extend(self.pace_fillers(worker, report, now_ms));
        if let Some(seat) = self.workers.get_mut(worker) {
            seat.reported = true;
            seat.reachable = true;
            if now_ms < seat.taken_down_until_ms
                && now_ms + ANSWERS_STILL_MS > seat.taken_down_until_ms
            {
                // It answers long after the order: the order had been carried out before.
                seat.taken_down_until_ms = 0;
                seat.taking_down = false;
                seat.cordoned = false;
            }
        }
        orders
    }

    /// Takes in one end. Tells whether it may be acknowledged once recorded.
    fn take_end(
        &mut self,
        worker: &WorkerName,
        end: &EndedRun,
        now_ms: u64,
        wall_ms: u64,
        orders: &mut Vec<WorkerOrder>,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            // The job's record may still be on its way from the store.
            return now_ms > self.orphans_until_ms;
        };
        job.open_to(end.task.occurrence);
        if job.task(&end.task).is_none() {
            return true;
        }
        let step = &job.record.plan.steps[usize::from(end.task.step)];
        let (long_running, gang) = (step.long_running, step.gang);
        let attempts = job.record.attempts;
        self.release(&end.task, worker, end.run);
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return true;
        };
        job.started = true;
        if let Some(task) = job.task_mut(&end.task) {
            task.last_run = task.last_run.max(end.run);
            if !end.checkpoint.is_empty() {
                task.checkpoint = Some(Arc::clone(&end.checkpoint));
            }
        }
        let mut failed_for_good = false;
        match end.outcome {
            RunOutcome::Done if !long_running => {
                let news = job.mark_done(&end.task);
                let all_done = job.all_done();
                let open = job.ended.is_none();
                if news && open {
                    self.dirty.insert(end.task.job.clone());
                }
                if let Some(seat) = self.workers.get_mut(worker) {
                    seat.record_outcome(true, now_ms);
                }
                if !gang {
                    self.stop_copies(&end.task, now_ms, orders);
                }
                if all_done && open {
                    let ended = self.end_job(&end.task.job, JobState::Completed, now_ms, wall_ms);
                    orders.extend(ended);
                }
            }
            RunOutcome::Failed => {
                if let Some(task) = job.task_mut(&end.task)
                    && !long_running
                    && !task.failed_runs.contains(&end.run)
                {
                    task.failed_runs.push(end.run);
                    failed_for_good = task.failed_runs.len() >= attempts as usize && !task.done;
                }
                let open = job.ended.is_none();
                if !long_running && open {
                    if let Some(step) = job.step_mut(&end.task) {
                        step.touched = true;
                    }
                    self.dirty.insert(end.task.job.clone());
                }
                if let Some(seat) = self.workers.get_mut(worker) {
                    seat.record_outcome(false, now_ms);
                }
                if failed_for_good && open {
                    let ended = self.end_job(&end.task.job, JobState::Failed, now_ms, wall_ms);
                    orders.extend(ended);
                }
            }
            RunOutcome::Done
            | RunOutcome::Stopped
            | RunOutcome::LeaseExpired
            | RunOutcome::GangMemberEnded
            | RunOutcome::GangIncomplete => {}
        }
        true
    }

    fn stop_copies(&mut self, task: &TaskName, now_ms: u64, orders: &mut Vec<WorkerOrder>) {
        let Some(state) = self
            .jobs
            .get_mut(&task.job)
            .and_then(|job| job.task_mut(task))
        else {
            return;
        };
        for run in &mut state.runs {
            if !run.is_stopping() {
                orders.push(run.stop(task, now_ms));
            }
        }
    }

    fn take_row(
        &mut self,
        worker: &WorkerName,
        row: &ReportedRun,
        clock_ms: u64,
        now_ms: u64,
        orders: &mut Vec<WorkerOrder>,
    ) {
        let unwanted = || {
            WorkerOrder::Stop(StopOrder {
                worker: worker.clone(),
                task: row.task.clone(),
                run: row.run,
            })
        };
        self.drop_superseded(row);
        let Some(job) = self.jobs.get_mut(&row.task.job) else {
            if now_ms > self.orphans_until_ms {
                orders.push(unwanted());
            }
            return;
        };
        let open = job.ended.is_none();
        let plan = job.record.plan.steps.get(usize::from(row.task.step));
        let copies = plan.is_some_and(|step| step.speculative);
        let best_effort = plan.is_some_and(|step| step.best_effort);
        job.started = true;
        job.open_to(row.task.occurrence);
        let Some(task) = job.task_mut(&row.task) else {
            orders.push(unwanted());
            return;
        };
        let done = task.done;
        if let Some(run) = task
            .runs
            .iter_mut()
            .find(|run| run.run == row.run && run.worker == *worker)
        {
            if matches!(run.phase, RunPhase::Ordered | RunPhase::Unsure) {
                run.phase = RunPhase::Running { clock_ms };
            }
            if run.progress_percent.to_bits() != row.progress_percent.to_bits() {
                run.progress_percent = row.progress_percent;
                run.moved_ms = now_ms;
            }
            let stands_still = !best_effort
                && matches!(run.phase, RunPhase::Running { .. })
                && row.progress_percent < FULLY_AT_WORK
                && now_ms > run.moved_ms.max(run.since_ms) + STANDS_STILL_MS;
            if stands_still {
                orders.push(run.stop(&row.task, now_ms));
            }
            if !row.checkpoint.is_empty() {
                task.checkpoint = Some(Arc::clone(&row.checkpoint));
            }
            if stands_still && let Some(seat) = self.workers.get_mut(worker) {
                seat.eject(now_ms);
            }
            return;
        }
        let alone = task.runs.is_empty() || copies;
        task.last_run = task.last_run.max(row.run);
        let mut run = TaskRun {
            run: row.run,
            worker: worker.clone(),
            phase: RunPhase::Running { clock_ms },
            since_ms: now_ms,
            progress_percent: row.progress_percent,
            moved_ms: now_ms,
            paced: None,
        };
        let wanted = open && !done && alone;
        if !wanted {
            orders.push(run.stop(&row.task, now_ms));
        }
        task.runs.push(run);
        self.reserve(&row.task, worker, row.run);
    }

    /// Frees runs that an earlier owner had recorded as lost and then followed by the one that
    /// a worker lists.
    fn drop_superseded(&mut self, row: &ReportedRun) {
        let Some(task) = self
            .jobs
            .get(&row.task.job)
            .and_then(|job| job.task(&row.task))
        else {
            return;
        };
        let recorded_only = |run: &&TaskRun| {
            let seat = self.workers.get(&run.worker);
            run.run < row.run && seat.is_some_and(|seat| seat.runs_known && !seat.reported)
        };
        let superseded: Vec<_> = task.runs.iter().filter(recorded_only).cloned().collect();
        for run in superseded {
            self.release(&row.task, &run.worker, run.run);
        }
    }

    /// Frees runs that a worker's newer lists no longer name.
    fn drop_missing(&mut self, worker: &WorkerName, report: &WorkerReport) {
        let Some(seat) = self.workers.get(worker) else {
            return;
        };
        let mut missing = Vec::new();
        for (task, run) in &seat.runs {
            if report
                .running
                .iter()
                .any(|row| row.run == *run && row.task == *task)
            {
                continue;
            }
            let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
            let known = state.and_then(|state| {
                state
                    .runs
                    .iter()
                    .find(|known| known.run == *run && known.worker == *worker)
            });
            let gone = known.is_none_or(|known| match known.phase {
                // What an earlier owner ordered starts no more: the worker saw this token.
                RunPhase::Ordered if !seat.reported => true,
                RunPhase::Ordered | RunPhase::Unsure => false,
                RunPhase::Running { clock_ms } => report.clock_ms > clock_ms,
                RunPhase::Stopping { clock_ms, .. } => {
                    clock_ms.is_some_and(|clock_ms| report.clock_ms > clock_ms)
                }
            });
            if gone {
                missing.push((task.clone(), *run));
            }
        }
        for (task, run) in missing {
            self.release(&task, worker, run);
        }
    }

    /// Moves time on: leases that ran out, stops to send again, starts to rule out. Unless
    /// this is surely the sole owner, another one may extend leases, and none counts as run
    /// out.
    pub fn tick(&mut self, now_ms: u64, sole_owner: bool) -> Vec<WorkerOrder> {
        let lapsed: Vec<_> = self
            .workers
            .values()
            .filter(|_| sole_owner)
            .filter(|seat| !(seat.present && seat.reachable) && now_ms > seat.lease_until_ms)
            .map(|seat| (seat.listed.name.clone(), seat.present))
            .collect();
        for (name, present) in lapsed {
            self.release_all(&name);
            if !present {
                self.workers.remove(&name);
            }
        }
        let mut orders = Vec::new();
        let placed: Vec<_> = self
            .workers
            .values()
            .flat_map(|seat| {
                seat.runs
                    .iter()
                    .map(|(task, run)| (seat.listed.name.clone(), task.clone(), *run))
            })
            .collect();
        for (worker, task, number) in placed {
            let Some(run) = self.find_run(&worker, &task, number) else {
                continue;
            };
            let again = match run.phase {
                RunPhase::Unsure => now_ms > run.since_ms + UNSURE_MS,
                RunPhase::Stopping {
                    clock_ms: None,
                    sent_ms,
                } => now_ms > sent_ms + STOP_AGAIN_MS,
                _ => false,
            };
            if again {
                orders.push(run.stop(&task, now_ms));
            }
        }
        orders
    }

    pub(super) fn find_run(
        &mut self,
        worker: &WorkerName,
        task: &TaskName,
        run: u32,
    ) -> Option<&mut TaskRun> {
        let state = self.jobs.get_mut(&task.job)?.task_mut(task)?;
        state
            .runs
            .iter_mut()
            .find(|known| known.run == run && known.worker == *worker)
    }
}
