//! A job in the schedule with its tasks and their runs.

use {
    super::{
        crash_suspicion::CrashSuspicion,
        job_order::JobUrgency,
        job_plan::{Resources, StepPlan},
        job_progress::{
            JobRecord, JobState, ProgressRecord, StepProgress, TaskCrashes, TaskFailures,
        },
        pool_load::PoolLoad,
        step_advice::StepAdvice,
        task_name::TaskName,
        task_run::{RunPhase, TaskRun},
    },
    crate::names::WorkerName,
    std::{cmp::Reverse, collections::BTreeMap, sync::Arc},
};

/// Multiple of the objective up to which a late completion still has value, by the users'
/// rules.
const LATE_VALUE_FACTOR: u64 = 3;

/// State of one task.
#[derive(Debug, Clone, Default)]
pub(super) struct TaskState {
    pub(super) done: bool,
    pub(super) failed_runs: Vec<u32>,
    pub(super) suspicion: CrashSuspicion,
    pub(super) last_run: u32,
    pub(super) checkpoint: Option<Arc<str>>,
    pub(super) runs: Vec<TaskRun>,
}

impl TaskState {
    pub(super) fn is_idle(&self) -> bool {
        !self.done && self.runs.is_empty()
    }

    /// Returns the run with this number on a worker.
    pub(super) fn run_on(&self, worker: &WorkerName, run: u32) -> Option<&TaskRun> {
        let mut runs = self.runs.iter();
        runs.find(|known| known.run == run && known.worker == *worker)
    }

    /// Returns the run with this number on a worker, to change it.
    pub(super) fn run_on_mut(&mut self, worker: &WorkerName, run: u32) -> Option<&mut TaskRun> {
        let mut runs = self.runs.iter_mut();
        runs.find(|known| known.run == run && known.worker == *worker)
    }
}

/// The tasks of one step in one occurrence.
#[derive(Debug, Clone)]
pub(super) struct StepState {
    pub(super) tasks: Vec<TaskState>,
    pub(super) remaining: usize,
    pub(super) has_progress: bool,
    pub(super) advice: StepAdvice,
}

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
    pub(super) occurrences: BTreeMap<u32, Vec<StepState>>,
    pub(super) next_occurrence: u32,
    /// Occurrences that are due by this owner's clock. Later ones may exist too, if another
    /// owner, whose clock is ahead, started them.
    due_occurrences: u32,
    pub(super) ended: Option<JobState>,
    pub(super) ended_ms: Option<u64>,
    pub(super) end_recorded: bool,
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
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            due_occurrences: 0,
            ended: None,
            ended_ms: None,
            end_recorded: false,
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
        self.create_due_occurrences(wall_ms);
        for recorded in &progress.step_progress {
            self.create_occurrences_to(recorded.occurrence);
            let Some(step) = self
                .occurrences
                .get_mut(&recorded.occurrence)
                .and_then(|steps| steps.get_mut(usize::from(recorded.step)))
            else {
                continue;
            };
            step.restore(recorded);
            self.mark_begun();
        }
        self.update_critical_path();
    }

    /// Creates the occurrences that are due.
    pub(super) fn create_due_occurrences(&mut self, wall_ms: u64) {
        while self.due_occurrences < self.record.plan.occurrences()
            && self.record.plan.due_ms(self.due_occurrences) <= wall_ms
        {
            self.create_occurrences_to(self.due_occurrences);
            self.due_occurrences += 1;
            self.may_start = true;
        }
    }

    /// Creates the occurrences up to one that a worker or a record names, due or not, so that
    /// its runs and ends are tracked. Occurrences that are not due start no more tasks.
    pub(super) fn create_occurrences_to(&mut self, occurrence: u32) {
        let first = self.next_occurrence;
        while self.next_occurrence <= occurrence
            && self.next_occurrence < self.record.plan.occurrences()
        {
            self.create_next_occurrence();
        }
        if self.next_occurrence > first {
            self.update_critical_path();
        }
    }

    /// Whether occurrences become due at a later time.
    pub(super) fn has_occurrences_to_come(&self) -> bool {
        self.due_occurrences < self.record.plan.occurrences()
    }

    fn create_next_occurrence(&mut self) {
        let steps = self.record.plan.steps.iter().map(|step| StepState {
            tasks: vec![TaskState::default(); step.count as usize],
            remaining: step.count as usize,
            has_progress: false,
            advice: StepAdvice::default(),
        });
        self.occurrences
            .insert(self.next_occurrence, steps.collect());
        self.next_occurrence += 1;
    }

    /// Updates the critical path, which each planning pass reads, after a change of the steps.
    fn update_critical_path(&mut self) {
        let plan = &self.record.plan;
        let last = self.occurrences.values().next_back();
        self.critical_path_ms = last.map_or(self.full_path_ms, |steps| {
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
        let steps = self.occurrences.iter().flat_map(|(occurrence, steps)| {
            let numbered = (0u16..).zip(steps);
            numbered.map(move |(number, step)| (*occurrence, number, step))
        });
        steps.flat_map(move |(occurrence, step, state)| {
            let tasks = (0u32..).zip(&state.tasks);
            let suspected = tasks.filter(|(_, task)| task.suspicion.is_suspected());
            suspected.map(move |(index, task)| {
                let name = TaskName {
                    job: self.record.name.clone(),
                    occurrence,
                    step,
                    index,
                };
                (name, task)
            })
        })
    }

    /// Whether one of its tasks may only run in a trial.
    pub(super) fn needs_trial(&self) -> bool {
        let mut suspected = self.suspected_tasks();
        suspected.any(|(_, task)| task.suspicion.needs_trial())
    }

    /// Marks the crashes in a stored record as recorded.
    pub(super) fn mark_crashes_recorded(&mut self, stored: &ProgressRecord) {
        for step in &stored.step_progress {
            let steps = self.occurrences.get_mut(&step.occurrence);
            let Some(state) = steps.and_then(|steps| steps.get_mut(usize::from(step.step))) else {
                continue;
            };
            for crashed in &step.crashes {
                if let Some(task) = state.tasks.get_mut(crashed.index as usize) {
                    task.suspicion.mark_recorded(&crashed.runs);
                    self.may_start = true;
                }
            }
        }
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
        known.is_some_and(|run| !run.is_reported && run.phase != RunPhase::Restored)
    }

    /// Whether a step's occurrence is due and the steps that it depends on are done.
    pub(super) fn is_ready(&self, occurrence: u32, step: usize) -> bool {
        if occurrence >= self.due_occurrences {
            return false;
        }
        let Some(steps) = self.occurrences.get(&occurrence) else {
            return false;
        };
        self.record.plan.steps[step]
            .after
            .iter()
            .all(|after| steps[usize::from(*after)].remaining == 0)
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
            step.tasks.iter_mut().for_each(|task| task.done = true);
            step.remaining = 0;
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
            self.update_critical_path();
        }
        is_changed
    }

    /// Removes a run. Returns whether the task had it.
    pub(super) fn remove_run(&mut self, task: &TaskName, worker: &WorkerName, run: u32) -> bool {
        let Some(state) = self.task_mut(task) else {
            return false;
        };
        let before = state.runs.len();
        state
            .runs
            .retain(|known| known.run != run || known.worker != *worker);
        let is_removed = state.runs.len() < before;
        if is_removed {
            self.run_count -= 1;
            self.may_start = true;
        }
        is_removed
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
            let has_idle = |step: &StepState| step.tasks.iter().any(TaskState::is_idle);
            let may_start = self.startable_steps().any(|(_, _, step)| has_idle(step));
            self.may_start = may_start;
        }
        self.may_start
    }

    /// Whether every task of every occurrence is done.
    pub(super) fn all_done(&self) -> bool {
        self.next_occurrence == self.record.plan.occurrences()
            && self
                .occurrences
                .values()
                .all(|steps| steps.iter().all(|step| step.remaining == 0))
    }

    /// Returns the step of a task, to change it.
    pub(super) fn step_mut(&mut self, task: &TaskName) -> Option<&mut StepState> {
        let steps = self.occurrences.get_mut(&task.occurrence)?;
        steps.get_mut(usize::from(task.step))
    }

    /// Returns the step of a task.
    pub(super) fn step(&self, task: &TaskName) -> Option<&StepState> {
        let steps = self.occurrences.get(&task.occurrence)?;
        steps.get(usize::from(task.step))
    }

    /// Adds the demand of its ready tasks to its pool's load.
    pub(super) fn add_load(&self, load: &mut PoolLoad) {
        for (occurrence, steps) in &self.occurrences {
            for (number, step) in steps.iter().enumerate() {
                let plan = &self.record.plan.steps[number];
                if plan.long_running {
                    load.spread = load.spread.max(spread_width(plan));
                }
                if step.remaining == 0 || !self.is_ready(*occurrence, number) {
                    continue;
                }
                let idle = step.tasks.iter().filter(|task| task.is_idle()).count() as u64;
                load.add_waiting(idle, plan.reserved());
                if plan.long_running {
                    load.long_running_waiting += usize::try_from(idle).unwrap_or(usize::MAX);
                }
            }
        }
    }

    /// Sums the resources of ready tasks that are not known to run.
    pub(super) fn ready_need(&self) -> Resources {
        let mut need = Resources::default();
        for (_, number, step) in self.ready_steps() {
            let task_need = self.record.plan.steps[number].need;
            for _ in step.tasks.iter().filter(|task| task.is_idle()) {
                need += task_need;
            }
        }
        need
    }

    /// Returns the steps that are ready and not done, each as occurrence, number and state.
    pub(super) fn ready_steps(&self) -> impl Iterator<Item = (u32, usize, &StepState)> {
        let steps = self.occurrences.iter().flat_map(|(occurrence, steps)| {
            let numbered = steps.iter().enumerate();
            numbered.map(move |(number, step)| (*occurrence, number, step))
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
        let step_progress = if self.ended.is_some() {
            Vec::new()
        } else {
            self.step_progress()
        };
        ProgressRecord {
            ended: self.ended,
            ended_ms: self.ended_ms,
            step_progress,
        }
    }

    fn step_progress(&self) -> Vec<StepProgress> {
        let mut step_progress = Vec::new();
        for (occurrence, steps) in &self.occurrences {
            for (number, step) in steps
                .iter()
                .enumerate()
                .filter(|(_, step)| step.has_progress)
            {
                step_progress
                    .push(step.progress(*occurrence, u16::try_from(number).unwrap_or(u16::MAX)));
            }
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

impl StepState {
    fn restore(&mut self, recorded: &StepProgress) {
        self.has_progress = true;
        if recorded.all_done {
            self.tasks.iter_mut().for_each(|task| task.done = true);
            self.remaining = 0;
            return;
        }
        for index in &recorded.done {
            if let Some(task) = self.tasks.get_mut(*index as usize)
                && !task.done
            {
                task.done = true;
                self.remaining -= 1;
            }
        }
        for failed in &recorded.failures {
            if let Some(task) = self.tasks.get_mut(failed.index as usize) {
                let highest = failed.runs.iter().copied().max().unwrap_or_default();
                task.last_run = task.last_run.max(highest);
                task.failed_runs.clone_from(&failed.runs);
            }
        }
        for crashed in &recorded.crashes {
            if let Some(task) = self.tasks.get_mut(crashed.index as usize) {
                let highest = crashed.runs.iter().map(|crash| crash.run).max();
                task.last_run = task.last_run.max(highest.unwrap_or_default());
                task.suspicion.restore(&crashed.runs);
            }
        }
    }

    fn progress(&self, occurrence: u32, step: u16) -> StepProgress {
        let indexed = || (0u32..).zip(&self.tasks);
        let all_done = self.remaining == 0;
        let done = indexed().filter(|(_, task)| task.done && !all_done);
        let failed = indexed().filter(|(_, task)| !task.failed_runs.is_empty() && !task.done);
        let suspected = indexed().filter(|(_, task)| task.suspicion.is_suspected() && !task.done);
        StepProgress {
            occurrence,
            step,
            all_done,
            done: done.map(|(index, _)| index).collect(),
            failures: failed
                .map(|(index, task)| TaskFailures {
                    index,
                    runs: task.failed_runs.clone(),
                })
                .collect(),
            crashes: suspected
                .map(|(index, task)| TaskCrashes {
                    index,
                    runs: task.suspicion.crashes().to_vec(),
                })
                .collect(),
        }
    }
}
