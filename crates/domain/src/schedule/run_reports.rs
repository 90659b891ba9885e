//! Applies the workers' reports of their runs to the schedule.

use {
    super::{
        crash_blame::SAFE_RUN_MS,
        fleet_schedule::FleetSchedule,
        job_progress::JobState,
        run_notice::{KnownRun, RunNotice},
        run_tracking::DropReason,
        task_name::TaskName,
        task_run::{RunPhase, TaskRun},
        worker_order::{StopOrder, WorkerOrder},
        worker_status::{EndReason, EndedRun, ReportedRun, WorkerReport},
    },
    crate::names::WorkerName,
    std::sync::Arc,
};

/// Delay before an unconfirmed stop is resent, in milliseconds. Some hundred times an
/// undisturbed round trip.
pub(super) const STOP_RESEND_MS: u64 = 400;
/// How long an unanswered start may appear in the worker's reports before a stop rules it out,
/// in milliseconds. Some tens of round trips.
const UNCONFIRMED_START_MS: u64 = 200;
/// A worker that still answers with less than this left of its disruption window, in
/// milliseconds, or later, was not disrupted by the order.
const SURVIVAL_WINDOW_MS: u64 = 1_000;

impl FleetSchedule {
    /// Applies a worker's report and returns the orders that follow.
    pub fn apply_report(
        &mut self,
        worker: &WorkerName,
        report: &WorkerReport,
        now_ms: u64,
        wall_ms: u64,
    ) -> Vec<WorkerOrder> {
        let Some(status) = self.workers.get(worker) else {
            return Vec::new();
        };
        let reported_ms = report.started_ms.unwrap_or(status.listed.started_ms);
        if !self.apply_reported_start(worker, reported_ms) {
            return Vec::new();
        }
        self.resolve_lapsed(worker);
        self.end_replaced_workers(worker);
        let mut orders = Vec::new();
        let mut lists_all = !report.may_have_more_ends;
        for end in &report.finished {
            let applied = self
                .workers
                .get(worker)
                .map_or(0, |status| status.applied_end);
            if end.number <= applied {
                continue;
            }
            if !self.apply_end(worker, end, now_ms, wall_ms, &mut orders) {
                lists_all = false;
                break;
            }
            if let Some(status) = self.workers.get_mut(worker) {
                status.mark_end_applied(end.number, end.task.job.clone());
            }
        }
        if !report.ends_only {
            self.apply_runs(worker, report, lists_all, now_ms, &mut orders);
        }
        if let Some(status) = self.workers.get_mut(worker) {
            status.reachable = true;
            status.contact_ms = now_ms;
            status.silent_since_ms = None;
            if status.disrupted_until_ms > 0
                && now_ms + SURVIVAL_WINDOW_MS > status.disrupted_until_ms
            {
                // The worker answers long after the order: the order was carried out before
                // this incarnation started.
                status.disrupted_until_ms = 0;
                status.disrupting = false;
                status.cordoned = false;
            }
        }
        orders
    }

    /// Applies the runs that a worker reports; `lists_all` means that all its ends are applied.
    fn apply_runs(
        &mut self,
        worker: &WorkerName,
        report: &WorkerReport,
        lists_all: bool,
        now_ms: u64,
        orders: &mut Vec<WorkerOrder>,
    ) {
        let mut has_unknown_runs = false;
        for reported in &report.running {
            has_unknown_runs |=
                !self.apply_reported_run(worker, reported, report.clock_ms, now_ms, orders);
        }
        if lists_all {
            self.release_missing(worker, report);
        }
        orders.extend(self.pace_best_effort(worker, report, now_ms));
        if let Some(status) = self.workers.get_mut(worker) {
            status.reported = true;
            status.has_unknown_runs = has_unknown_runs;
            status.has_listed_all |= lists_all;
            status.runs_listed_ms = now_ms;
        }
    }

    /// Applies one run end. Returns whether it may be acknowledged once recorded.
    fn apply_end(
        &mut self,
        worker: &WorkerName,
        end: &EndedRun,
        now_ms: u64,
        wall_ms: u64,
        orders: &mut Vec<WorkerOrder>,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            // The job's record may not have arrived from the store yet.
            return now_ms > self.orphans_until_ms;
        };
        if !job.is_closed(end.task.occurrence) {
            job.open_task(&end.task);
        }
        if job.task(&end.task).is_none() {
            return true;
        }
        let step = &job.record.plan.steps[usize::from(end.task.step)];
        let (long_running, gang) = (step.long_running, step.gang);
        let attempts = job.record.attempts;
        if !self.release(&end.task, worker, end.run) {
            self.note_unknown_end(worker, end);
        }
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return true;
        };
        job.mark_begun();
        if let Some(task) = job.task_mut(&end.task) {
            task.last_run = task.last_run.max(end.run);
            if !end.checkpoint.is_empty() {
                task.checkpoint = Some(Arc::clone(&end.checkpoint));
            }
        }
        let mut out_of_attempts = false;
        if matches!(end.reason, EndReason::Done | EndReason::Failed) {
            self.clear_suspicion(&end.task);
        }
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return true;
        };
        match end.reason {
            EndReason::Done if !long_running => {
                let changed = job.mark_done(&end.task);
                let all_done = job.all_done();
                let active = job.ended.is_none();
                if changed && active {
                    self.dirty.insert(end.task.job.clone());
                }
                if let Some(status) = self.workers.get_mut(worker) {
                    status.record_outcome(true, now_ms);
                }
                if !gang {
                    self.stop_copies(&end.task, now_ms, orders);
                }
                if all_done && active {
                    let stops = self.end_job(&end.task.job, JobState::Completed, now_ms, wall_ms);
                    orders.extend(stops);
                }
            }
            EndReason::Failed => {
                if let Some(task) = job.task_mut(&end.task)
                    && !long_running
                    && !task.failed_runs.contains(&end.run)
                {
                    task.failed_runs.push(end.run);
                    out_of_attempts = task.failed_runs.len() >= attempts as usize && !task.done;
                }
                let active = job.ended.is_none();
                if !long_running && active {
                    if let Some(step) = job.step_mut(&end.task) {
                        step.has_progress = true;
                    }
                    self.dirty.insert(end.task.job.clone());
                }
                if let Some(status) = self.workers.get_mut(worker) {
                    status.record_outcome(false, now_ms);
                }
                if out_of_attempts && active {
                    let stops = self.end_job(&end.task.job, JobState::Failed, now_ms, wall_ms);
                    orders.extend(stops);
                }
            }
            EndReason::Done
            | EndReason::Stopped
            | EndReason::LeaseExpired
            | EndReason::GangMemberEnded
            | EndReason::GangIncomplete => {}
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

    /// Applies one run that a worker reports. Returns whether its job is known.
    fn apply_reported_run(
        &mut self,
        worker: &WorkerName,
        reported: &ReportedRun,
        clock_ms: u64,
        now_ms: u64,
        orders: &mut Vec<WorkerOrder>,
    ) -> bool {
        let unwanted = || {
            WorkerOrder::Stop(StopOrder {
                worker: worker.clone(),
                task: reported.task.clone(),
                run: reported.run,
            })
        };
        self.release_superseded(reported);
        let Some(job) = self.jobs.get_mut(&reported.task.job) else {
            if now_ms > self.orphans_until_ms {
                orders.push(unwanted());
            }
            return false;
        };
        let active = job.ended.is_none();
        let plan = job.record.plan.steps.get(usize::from(reported.task.step));
        let speculative = plan.is_some_and(|step| step.speculative);
        let best_effort = plan.is_some_and(|step| step.best_effort);
        // The progress of a task that lasts is that of its start.
        let ends = plan.filter(|step| !step.long_running);
        let estimate_ms = ends.map_or(0, |step| step.estimate_ms);
        job.mark_begun();
        job.open_task(&reported.task);
        let Some(task) = job.task_mut(&reported.task) else {
            orders.push(unwanted());
            return true;
        };
        let needed = active && !task.done;
        if let Some(run) = task.run_on_mut(worker, reported.run) {
            run.update(reported, clock_ms, now_ms);
            let stalled = needed && !best_effort && run.is_stalled(estimate_ms, now_ms);
            if stalled || !needed && !run.is_stopping() {
                orders.push(run.stop(&reported.task, now_ms));
            }
            let is_safe = run.age_ms(now_ms) >= SAFE_RUN_MS;
            if is_safe && run.recorded_at.take().is_some() {
                self.dirty.insert(reported.task.job.clone());
            }
            if !reported.checkpoint.is_empty() {
                task.checkpoint = Some(Arc::clone(&reported.checkpoint));
            }
            if is_safe && task.suspicion.is_suspected() {
                self.clear_suspicion(&reported.task);
            }
            if stalled && let Some(status) = self.workers.get_mut(worker) {
                status.eject(now_ms);
            }
            return true;
        }
        let sole_run = task.runs.is_empty() || speculative;
        task.last_run = task.last_run.max(reported.run);
        let mut run = TaskRun {
            run: reported.run,
            worker: worker.clone(),
            phase: RunPhase::Running { clock_ms },
            phase_since_ms: now_ms,
            is_reported: true,
            ordered_ms: now_ms,
            begun_ms: Some(now_ms),
            from_earlier_owner: true,
            recorded_at: None,
            progress_percent: reported.progress_percent,
            progressed_ms: now_ms,
            pace_percent: None,
            paced_ms: now_ms,
        };
        if !(needed && sole_run) {
            orders.push(run.stop(&reported.task, now_ms));
        }
        task.runs.push(run);
        self.reserve(&reported.task, worker, reported.run);
        self.note_second_run(worker, reported);
        true
    }

    fn note_second_run(&mut self, worker: &WorkerName, reported: &ReportedRun) {
        let found = KnownRun {
            task: reported.task.clone(),
            run: reported.run,
            worker: worker.clone(),
        };
        if let Some(known) = self.known_beside(&found) {
            self.run_notices.push(RunNotice::SecondRun { found, known });
        }
    }

    fn note_unknown_end(&mut self, worker: &WorkerName, end: &EndedRun) {
        let found = KnownRun {
            task: end.task.clone(),
            run: end.run,
            worker: worker.clone(),
        };
        if let Some(known) = self.known_beside(&found) {
            let reason = end.reason;
            self.run_notices.push(RunNotice::UnknownEnd {
                found,
                reason,
                known,
            });
        }
    }

    /// Releases runs that are known only from a snapshot and were replaced by the newer run
    /// that a worker reports.
    fn release_superseded(&mut self, reported: &ReportedRun) {
        let Some(task) = self
            .jobs
            .get(&reported.task.job)
            .and_then(|job| job.task(&reported.task))
        else {
            return;
        };
        let recorded_only = |run: &&TaskRun| {
            let status = self.workers.get(&run.worker);
            run.run < reported.run
                && (run.phase == RunPhase::Restored
                    || status.is_some_and(|status| status.runs_known && !status.reported))
        };
        let superseded: Vec<_> = task.runs.iter().filter(recorded_only).cloned().collect();
        for run in superseded {
            self.release(&reported.task, &run.worker, run.run);
            let released = KnownRun {
                task: reported.task.clone(),
                run: run.run,
                worker: run.worker,
            };
            let by_run = reported.run;
            self.run_notices
                .push(RunNotice::Superseded { released, by_run });
        }
    }

    /// Releases runs that a worker's newer report no longer lists. The report has to list all ends,
    /// and all of them have to be applied: a run whose end is not known yet may be done.
    fn release_missing(&mut self, worker: &WorkerName, report: &WorkerReport) {
        let Some(status) = self.workers.get(worker) else {
            return;
        };
        let mut missing = Vec::new();
        for (task, run) in &status.runs {
            if report
                .running
                .iter()
                .any(|reported| reported.run == *run && reported.task == *task)
            {
                continue;
            }
            let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
            let known = state.and_then(|state| state.run_on(worker, *run));
            let ended = known.is_none_or(|known| match known.phase {
                // A start order of an earlier owner is void now: the worker has seen this
                // owner's fencing token.
                RunPhase::Restored => true,
                RunPhase::Planned | RunPhase::Ordered | RunPhase::Unconfirmed => false,
                RunPhase::Running { clock_ms } => report.clock_ms > clock_ms,
                RunPhase::Stopping { clock_ms, .. } => {
                    clock_ms.is_some_and(|clock_ms| report.clock_ms > clock_ms)
                }
            });
            if ended {
                missing.push((task.clone(), *run));
            }
        }
        for (task, run) in missing {
            self.release(&task, worker, run);
            let worker = worker.clone();
            let released = KnownRun { task, run, worker };
            self.run_notices.push(RunNotice::NotListed { released });
        }
    }

    /// Releases the runs of workers whose lease expired. Returns the stop orders to resend and
    /// those that rule out unconfirmed starts. Without `sole_owner`, another owner may have
    /// extended the leases, and none counts as expired.
    pub fn tick(&mut self, now_ms: u64, sole_owner: bool) -> Vec<WorkerOrder> {
        for (_, status) in self.workers.iter_untracked() {
            if !status.reachable {
                status.silent_since_ms.get_or_insert(now_ms);
            }
        }
        let expired: Vec<_> = self
            .workers
            .values()
            .filter(|_| sole_owner)
            .filter(|status| {
                !(status.present && status.reachable) && now_ms > status.lease_until_ms
            })
            .map(|status| (status.listed.name.clone(), status.present))
            .collect();
        for (name, present) in expired {
            self.attribute_crash(&name, DropReason::LeaseExpired);
            self.drop_runs(&name, DropReason::LeaseExpired);
            if !self.adopt_held_row(&name) && !present {
                self.remove_worker(&name);
            }
        }
        let due: Vec<_> = self
            .workers
            .values()
            .flat_map(|status| {
                let runs = status.runs.iter();
                runs.map(|(task, number)| (&status.listed.name, task, *number))
            })
            .filter(|(worker, task, number)| {
                let job = self.jobs.get(&task.job);
                let state = job.and_then(|job| job.task(task));
                let run = state.and_then(|state| state.run_on(worker, *number));
                run.is_some_and(|run| is_stop_due(run, now_ms))
            })
            .map(|(worker, task, number)| (worker.clone(), task.clone(), number))
            .collect();
        let mut orders = Vec::new();
        for (worker, task, number) in due {
            if let Some(run) = self.find_run(&worker, &task, number) {
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
        state.run_on_mut(worker, run)
    }
}

/// Whether a run's stop has to be sent again, or one has to rule out an unconfirmed start.
fn is_stop_due(run: &TaskRun, now_ms: u64) -> bool {
    match run.phase {
        RunPhase::Unconfirmed => now_ms > run.phase_since_ms + UNCONFIRMED_START_MS,
        RunPhase::Stopping {
            clock_ms: None,
            ordered_ms,
            sent_ms,
        } => now_ms > ordered_ms.max(sent_ms.unwrap_or_default()) + STOP_RESEND_MS,
        RunPhase::Planned
        | RunPhase::Restored
        | RunPhase::Ordered
        | RunPhase::Running { .. }
        | RunPhase::Stopping { .. } => false,
    }
}
