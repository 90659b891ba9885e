//! A job in the schedule with its tasks and their runs.

use {
    super::{
        job_occurrences::JobOccurrences,
        job_order::JobUrgency,
        job_plan::{Resources, StepPlan},
        job_progress::{JobRecord, JobState, ProgressRecord, StepProgress},
        pool_load::PoolLoad,
        step_state::{StepState, TaskState},
        task_name::TaskName,
        task_run::{RunPhase, TaskRun},
    },
    crate::names::WorkerName,
    std::{cmp::Reverse, sync::Arc},
};

/// Multiple of the objective up to which a late completion still has value, by the users'
/// rules.
const LATE_VALUE_FACTOR: u64 = 3;

/// A job in the schedule.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is an independent property of the job"
)]
pub(super) struct LiveJob {
    pub(super) record: Arc<JobRecord>,
    /// The least of each resource that one of its tasks reserves.
    pub(super) least_need: Resources,
    /// Duration of the critical path of an occurrence, in milliseconds.
    full_path_ms: u64,
    /// Duration of what is left of it in the last occurrence, in milliseconds.
    critical_path_ms: u64,
    pub(super) occurrences: JobOccurrences,
    pub(super) ended: Option<JobState>,
    pub(super) ended_ms: Option<u64>,
    pub(super) end_recorded: bool,
    /// How often in a row the store has rejected the record of its progress.
    pub(super) rejections: u32,
    /// How often in a row the write of that record has failed otherwise, while others took effect.
    pub(super) failed_writes: u32,
    /// Whether its records are to be removed from the store.
    pub(super) removal_ordered: bool,
    pub(super) arrived_ms: u64,
    pub(super) added_ms: u64,
    pub(super) from_earlier_owner: bool,
    awaits_orphans: bool,
    /// Whether a task may be startable. Cleared by a check that finds none, and set by every
    /// change that can make one startable.
    pub(super) may_start: bool,
    pub(super) run_base: u32,
    /// Whether one of its tasks was placed, so that it goes first in the order.
    pub(super) started: bool,
    /// Whether a worker has confirmed the start or the end of one of its tasks.
    pub(super) begun: bool,
    pub(super) over_share: bool,
    pub(super) run_count: usize,
}

impl LiveJob {
    /// Creates a job that arrived at `arrived_ms` and that this owner added at `added_ms`.
    pub(super) fn new(
        record: Arc<JobRecord>,
        arrived_ms: u64,
        added_ms: u64,
        run_base: u32,
    ) -> Self {
        let full_path_ms = record.plan.critical_path_ms(|_| false);
        Self {
            least_need: record.plan.least_reserved(),
            full_path_ms,
            critical_path_ms: full_path_ms,
            record,
            occurrences: JobOccurrences::default(),
            ended: None,
            ended_ms: None,
            end_recorded: false,
            rejections: 0,
            failed_writes: 0,
            removal_ordered: false,
            arrived_ms,
            added_ms,
            from_earlier_owner: run_base > 0,
            awaits_orphans: false,
            may_start: true,
            run_base,
            started: false,
            begun: false,
            over_share: false,
            run_count: 0,
        }
    }

    /// Records that a worker has started a task of it, now or earlier.
    pub(super) fn mark_begun(&mut self) {
        self.started = true;
        self.begun = true;
    }

    /// Restores the recorded progress.
    pub(super) fn restore(&mut self, progress: &ProgressRecord, wall_ms: u64) {
        if let Some(ended) = progress.ended {
            self.ended = Some(ended);
            self.ended_ms = progress.ended_ms;
            self.end_recorded = true;
            self.mark_begun();
            return;
        }
        self.occurrences.restore_ended(&progress.ended_occurrences);
        if !progress.ended_occurrences.is_empty() {
            self.mark_begun();
        }
        for recorded in &progress.step_progress {
            if self.occurrences.has_ended(recorded.occurrence) {
                continue;
            }
            self.open_occurrence(recorded.occurrence);
            let steps = self.occurrences.steps_mut(recorded.occurrence);
            let step = steps.and_then(|steps| steps.get_mut(usize::from(recorded.step)));
            let Some(step) = step else {
                continue;
            };
            step.restore(recorded);
            self.mark_begun();
        }
        for recorded in &progress.step_progress {
            self.occurrences.settle(recorded.occurrence);
        }
        self.open_due_occurrences(wall_ms);
        self.update_critical_path();
    }

    /// Opens the next occurrences that are due, as far as their tasks may start soon.
    pub(super) fn open_due_occurrences(&mut self, wall_ms: u64) {
        if self.occurrences.open_due(&self.record.plan, wall_ms) {
            self.may_start = true;
            self.update_critical_path();
        }
    }

    /// Gives state to a task that a worker or a record names.
    pub(super) fn open_task(&mut self, task: &TaskName) {
        self.open_occurrence(task.occurrence);
        if let Some(step) = self.step_mut(task) {
            step.open_to(task.index);
        }
    }

    fn open_occurrence(&mut self, occurrence: u32) {
        if self.occurrences.open_named(&self.record.plan, occurrence) {
            self.update_critical_path();
        }
    }

    /// Whether an occurrence has ended and none of its runs is known.
    pub(super) fn is_closed(&self, occurrence: u32) -> bool {
        self.occurrences.has_ended(occurrence) && self.occurrences.steps(occurrence).is_none()
    }

    /// Whether occurrences are to be opened at a later time.
    pub(super) fn has_occurrences_to_come(&self) -> bool {
        self.occurrences.has_unopened(&self.record.plan)
    }

    /// Updates the critical path, which each planning pass reads, after a change of the steps.
    fn update_critical_path(&mut self) {
        let plan = &self.record.plan;
        let last = self.occurrences.open().next_back();
        self.critical_path_ms = last.map_or(self.full_path_ms, |(_, steps)| {
            plan.critical_path_ms(|step| steps[step].remaining == 0)
        });
    }

    pub(super) fn task_mut(&mut self, name: &TaskName) -> Option<&mut TaskState> {
        self.step_mut(name)?.tasks.get_mut(name.index as usize)
    }

    pub(super) fn task(&self, name: &TaskName) -> Option<&TaskState> {
        self.step(name)?.tasks.get(name.index as usize)
    }

    /// Returns the plan of a task's step.
    pub(super) fn plan_of(&self, task: &TaskName) -> &StepPlan {
        &self.record.plan.steps[usize::from(task.step)]
    }

    /// Returns the tasks under which workers have crashed and that are not cleared.
    pub(super) fn suspected_tasks(&self) -> impl Iterator<Item = (TaskName, &TaskState)> {
        let tasks = self.occurrences.tasks();
        let suspected = tasks.filter(|(_, _, _, task)| task.suspicion.is_suspected());
        suspected.map(|(occurrence, step, index, task)| {
            let name = TaskName {
                job: self.record.name.clone(),
                occurrence,
                step,
                index,
            };
            (name, task)
        })
    }

    /// Whether one of its tasks may only run in a trial.
    pub(super) fn needs_trial(&self) -> bool {
        let mut suspected = self.suspected_tasks();
        suspected.any(|(_, task)| task.suspicion.needs_trial())
    }

    /// Whether one of its tasks has a run whose start waits for its record.
    pub(super) fn has_planned_runs(&self) -> bool {
        let mut runs = self.occurrences.tasks().flat_map(|(.., task)| &task.runs);
        runs.any(|run| run.phase == RunPhase::Planned)
    }

    /// Whether a crash points to one of its tasks alone.
    pub(super) fn has_crash_proof(&self) -> bool {
        let mut suspected = self.suspected_tasks();
        suspected.any(|(_, task)| task.suspicion.has_proof())
    }

    /// Whether a crash may have come some time after the start of one of its tasks.
    pub(super) fn has_late_crash(&self) -> bool {
        let mut suspected = self.suspected_tasks();
        suspected.any(|(_, task)| task.suspicion.has_late_crash())
    }

    /// How likely its most suspected task causes crashes, to compare with other jobs.
    pub(super) fn likelihood(&self) -> (usize, Reverse<u64>) {
        let suspected = self.suspected_tasks();
        let likelihoods = suspected.map(|(_, task)| task.suspicion.likelihood());
        likelihoods.max().unwrap_or_default()
    }

    /// Whether a run may have been started at the next incarnation of its worker: this owner
    /// ordered it, and the incarnation before has not listed it.
    pub(super) fn may_run_at_next(&self, task: &TaskName, worker: &WorkerName, run: u32) -> bool {
        let state = self.task(task);
        let known = state.and_then(|state| state.run_on(worker, run));
        let was_ordered = |phase| !matches!(phase, RunPhase::Planned | RunPhase::Restored);
        known.is_some_and(|run| !run.is_reported && was_ordered(run.phase))
    }

    /// Whether a step's occurrence is due and the steps that it depends on are done.
    pub(super) fn is_ready(&self, occurrence: u32, step: usize) -> bool {
        self.occurrences
            .is_ready(&self.record.plan, occurrence, step)
    }

    /// Marks a task, or all tasks of a gang, as done. Returns whether that changed anything.
    pub(super) fn mark_done(&mut self, name: &TaskName) -> bool {
        let gang = self.record.plan.steps[usize::from(name.step)].gang;
        let Some(step) = self.step_mut(name) else {
            return false;
        };
        step.has_progress = true;
        let before = step.remaining;
        if gang {
            step.mark_all_done();
        } else if let Some(task) = step.tasks.get_mut(name.index as usize)
            && !task.done
        {
            task.done = true;
            step.remaining -= 1;
        }
        let is_changed = before != step.remaining;
        let is_step_done = is_changed && step.remaining == 0;
        self.may_start |= is_changed;
        if is_step_done {
            self.occurrences.settle(name.occurrence);
            self.update_critical_path();
        }
        is_changed
    }

    /// Removes a run and returns it, if the task had it.
    pub(super) fn remove_run(
        &mut self,
        task: &TaskName,
        worker: &WorkerName,
        run: u32,
    ) -> Option<TaskRun> {
        let runs = &mut self.task_mut(task)?.runs;
        let is_known = |known: &TaskRun| known.run == run && known.worker == *worker;
        let removed = runs.remove(runs.iter().position(is_known)?);
        self.run_count -= 1;
        self.may_start = true;
        self.occurrences.settle(task.occurrence);
        Some(removed)
    }

    /// Whether its tasks wait until orphaned runs of earlier owners have surely ended.
    pub(super) fn awaits_orphans(&self) -> bool {
        self.awaits_orphans
    }

    /// Sets whether its tasks wait for orphaned runs.
    pub(super) fn set_awaits_orphans(&mut self, awaits_orphans: bool) {
        self.may_start |= self.awaits_orphans != awaits_orphans;
        self.awaits_orphans = awaits_orphans;
    }

    /// Whether some step may start a task that neither runs nor is done.
    pub(super) fn has_startable_task(&mut self) -> bool {
        if self.may_start {
            let may_start = self.startable_steps().any(|(_, _, step)| step.has_idle());
            self.may_start = may_start;
        }
        self.may_start
    }

    /// Whether every task of every occurrence is done.
    pub(super) fn all_done(&self) -> bool {
        self.occurrences.all_ended(&self.record.plan)
    }

    /// Returns the step of a task, to change it.
    pub(super) fn step_mut(&mut self, task: &TaskName) -> Option<&mut StepState> {
        let steps = self.occurrences.steps_mut(task.occurrence)?;
        steps.get_mut(usize::from(task.step))
    }

    /// Returns a step of an open occurrence.
    pub(super) fn step_at(&self, occurrence: u32, step: usize) -> Option<&StepState> {
        self.occurrences.steps(occurrence)?.get(step)
    }

    /// Returns the step of a task.
    pub(super) fn step(&self, task: &TaskName) -> Option<&StepState> {
        self.step_at(task.occurrence, usize::from(task.step))
    }

    /// Adds the demand of its ready tasks to its pool's load.
    pub(super) fn add_load(&self, load: &mut PoolLoad) {
        for (occurrence, steps) in self.occurrences.open() {
            for (number, step) in steps.iter().enumerate() {
                let plan = &self.record.plan.steps[number];
                if plan.long_running {
                    load.spread = load.spread.max(spread_width(plan));
                }
                if step.remaining == 0 || !self.is_ready(occurrence, number) {
                    continue;
                }
                let idle = step.idle() as u64;
                load.add_waiting(idle, plan.reserved());
                if plan.long_running {
                    load.long_running_waiting += usize::try_from(idle).unwrap_or(usize::MAX);
                }
            }
        }
        for (step, tasks) in self.unopened_tasks() {
            load.add_waiting(tasks, step.reserved());
        }
    }

    /// Returns the first steps of the occurrences that are due and not open, each with the number
    /// of its tasks in all of them.
    fn unopened_tasks(&self) -> impl Iterator<Item = (&StepPlan, u64)> {
        let occurrences = u64::from(self.occurrences.unopened_due());
        let steps = self.record.plan.steps.iter();
        let first = steps.filter(move |step| occurrences > 0 && step.after.is_empty());
        first.map(move |step| (step, occurrences.saturating_mul(step.count.into())))
    }

    /// Sums the resources of ready tasks that are not known to run.
    pub(super) fn ready_need(&self) -> Resources {
        let mut need = Resources::default();
        for (_, number, step) in self.ready_steps() {
            let task_need = self.record.plan.steps[number].need;
            need += task_need.times(step.idle() as u64);
        }
        for (step, tasks) in self.unopened_tasks() {
            need += step.need.times(tasks);
        }
        need
    }

    /// Returns the steps that are ready and not done, each as occurrence, number and state.
    pub(super) fn ready_steps(&self) -> impl Iterator<Item = (u32, usize, &StepState)> {
        let steps = self.occurrences.open().flat_map(|(occurrence, steps)| {
            let numbered = steps.iter().enumerate();
            numbered.map(move |(number, step)| (occurrence, number, step))
        });
        steps.filter(|(occurrence, number, step)| {
            step.remaining > 0 && self.is_ready(*occurrence, *number)
        })
    }

    /// Returns the steps that may start tasks now. A job that may have orphaned runs starts
    /// only speculative tasks.
    pub(super) fn startable_steps(&self) -> impl Iterator<Item = (u32, usize, &StepState)> {
        self.ready_steps().filter(|(_, number, _)| {
            !self.awaits_orphans || self.record.plan.steps[*number].speculative
        })
    }

    pub(super) fn urgency(&self) -> JobUrgency {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a small multiple of a few seconds fits"
        )]
        let scaled_ms = (self.record.objective_factor * self.full_path_ms as f64) as u64;
        let objective_ms = scaled_ms.saturating_add(self.record.target_latency_ms);
        let late_ms = objective_ms.saturating_mul(LATE_VALUE_FACTOR);
        JobUrgency {
            priority: self.record.priority,
            long_running: self.record.plan.long_running(),
            started: self.started,
            over_share: self.over_share,
            arrived_ms: self.arrived_ms,
            objective_ms: self.arrived_ms.saturating_add(objective_ms),
            critical_path_ms: self.critical_path_ms,
            late_deadline_ms: self.arrived_ms.saturating_add(late_ms),
        }
    }

    /// Returns the progress to be recorded.
    pub(super) fn progress(&self) -> ProgressRecord {
        let (ended_occurrences, step_progress) = if self.ended.is_some() {
            Default::default()
        } else {
            (self.occurrences.ended().clone(), self.step_progress())
        };
        ProgressRecord {
            ended: self.ended,
            ended_ms: self.ended_ms,
            ended_occurrences,
            step_progress,
        }
    }

    fn step_progress(&self) -> Vec<StepProgress> {
        let mut step_progress = Vec::new();
        for (occurrence, steps) in self.occurrences.open() {
            if self.occurrences.has_ended(occurrence) {
                continue;
            }
            let numbered = (0u16..).zip(steps);
            let changed = numbered.filter(|(_, step)| step.has_progress);
            step_progress.extend(changed.map(|(number, step)| step.progress(occurrence, number)));
        }
        step_progress
    }

    pub(super) fn state(&self) -> JobState {
        match self.ended {
            Some(JobState::Cancelled) => JobState::Cancelled,
            Some(state) if self.end_recorded => state,
            Some(_) => JobState::Running,
            None if self.begun => JobState::Running,
            None => JobState::Queued,
        }
    }
}

/// Returns the number of workers over which a long-running step is spread, so that disrupting
/// one of them makes no more tasks unavailable than allowed.
fn spread_width(plan: &StepPlan) -> usize {
    let workers = plan.count.div_ceil(plan.max_per_worker().max(1));
    usize::try_from(workers).unwrap_or(usize::MAX)
}
