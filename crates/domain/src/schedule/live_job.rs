//! A job that is looked after: its tasks, their runs, what ended.

use {
    super::{
        fleet_schedule::PoolLoad,
        job_order::JobUrgency,
        job_plan::{Resources, StepPlan},
        job_progress::{JobRecord, JobState, ProgressRecord, StepProgress, TaskFailures},
        step_advice::StepAdvice,
        task_name::TaskName,
        worker_order::{StopOrder, WorkerOrder},
    },
    crate::names::WorkerName,
    std::{collections::BTreeMap, sync::Arc},
};

/// A late end is worth something up to this multiple of the objective, from the users' rules.
const LATE_MULTIPLE: u64 = 3;

/// The share of its work, in percent, at which a task that lasts is at work.
pub(super) const FULLY_AT_WORK: f64 = 100.0;

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// The order to start it is on its way.
    Ordered,
    /// The order to start it was not answered.
    Unsure,
    /// The worker took it, at this time of the worker's clock.
    Running {
        /// Milliseconds of the worker's clock.
        clock_ms: u64,
    },
    /// It is to be stopped; the worker confirmed it at this time of its clock.
    Stopping {
        /// Milliseconds of the worker's clock, once confirmed.
        clock_ms: Option<u64>,
        /// When the order was last sent, in scheduler milliseconds.
        sent_ms: u64,
    },
}

/// One run of a task.
#[derive(Debug, Clone)]
pub(super) struct TaskRun {
    pub(super) run: u32,
    pub(super) worker: WorkerName,
    pub(super) phase: RunPhase,
    pub(super) since_ms: u64,
    pub(super) progress_percent: f64,
    pub(super) moved_ms: u64,
    /// The pace it was last told, in percent; nothing where that is not known.
    pub(super) paced: Option<u32>,
}

impl TaskRun {
    /// A run of which only its order is known.
    pub(super) fn unsure(worker: WorkerName, run: u32, now_ms: u64) -> Self {
        Self {
            run,
            worker,
            phase: RunPhase::Ordered,
            since_ms: now_ms,
            progress_percent: 0.0,
            moved_ms: now_ms,
            paced: Some(100),
        }
    }

    /// Marks it as to be stopped, and returns the order that stops it.
    pub(super) fn stop(&mut self, task: &TaskName, now_ms: u64) -> WorkerOrder {
        self.phase = RunPhase::Stopping {
            clock_ms: None,
            sent_ms: now_ms,
        };
        WorkerOrder::Stop(StopOrder {
            worker: self.worker.clone(),
            task: task.clone(),
            run: self.run,
        })
    }

    /// Whether it is to be stopped.
    pub(super) fn is_stopping(&self) -> bool {
        matches!(self.phase, RunPhase::Stopping { .. })
    }

    /// Whether a task that lasts was at work, past its startup, when it was last told of.
    pub(super) fn is_full(&self) -> bool {
        matches!(self.phase, RunPhase::Running { .. }) && self.progress_percent >= FULLY_AT_WORK
    }
}

/// One task.
#[derive(Debug, Clone, Default)]
pub(super) struct TaskState {
    pub(super) done: bool,
    pub(super) failed_runs: Vec<u32>,
    pub(super) last_run: u32,
    pub(super) checkpoint: Option<Arc<str>>,
    pub(super) runs: Vec<TaskRun>,
}

impl TaskState {
    pub(super) fn idle(&self) -> bool {
        !self.done && self.runs.is_empty()
    }
}

/// The tasks of one step in one occurrence.
#[derive(Debug, Clone)]
pub(super) struct StepState {
    pub(super) tasks: Vec<TaskState>,
    pub(super) open: usize,
    pub(super) touched: bool,
    pub(super) advice: StepAdvice,
}

/// A job under the scheduler's care.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fact of its own about the job"
)]
pub(super) struct LiveJob {
    pub(super) record: Arc<JobRecord>,
    pub(super) occurrences: BTreeMap<u32, Vec<StepState>>,
    pub(super) next_occurrence: u32,
    /// Occurrences whose time has come here. One that is not due may be open: another owner,
    /// whose clock is ahead, started it.
    due_occurrences: u32,
    pub(super) ended: Option<JobState>,
    pub(super) ended_ms: Option<u64>,
    pub(super) end_recorded: bool,
    pub(super) arrived_ms: u64,
    pub(super) taken_ms: u64,
    pub(super) from_earlier_owner: bool,
    pub(super) held_back: bool,
    pub(super) run_base: u32,
    pub(super) started: bool,
    pub(super) over_share: bool,
    pub(super) runs: usize,
}

impl LiveJob {
    /// A job that arrived, and was taken in by this owner, at these times.
    pub(super) fn new(
        record: Arc<JobRecord>,
        arrived_ms: u64,
        taken_ms: u64,
        run_base: u32,
    ) -> Self {
        Self {
            record,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            due_occurrences: 0,
            ended: None,
            ended_ms: None,
            end_recorded: false,
            arrived_ms,
            taken_ms,
            from_earlier_owner: run_base > 0,
            held_back: false,
            run_base,
            started: false,
            over_share: false,
            runs: 0,
        }
    }

    /// Takes in what was recorded of it.
    pub(super) fn restore(&mut self, progress: &ProgressRecord, wall_ms: u64) {
        if let Some(ended) = progress.ended {
            self.ended = Some(ended);
            self.ended_ms = progress.ended_ms;
            self.end_recorded = true;
            self.started = true;
            return;
        }
        self.open_due(wall_ms);
        for tally in &progress.step_progress {
            self.open_to(tally.occurrence);
            let Some(step) = self
                .occurrences
                .get_mut(&tally.occurrence)
                .and_then(|steps| steps.get_mut(usize::from(tally.step)))
            else {
                continue;
            };
            self.started = true;
            step.restore(tally);
        }
    }

    /// Opens the occurrences that are due.
    pub(super) fn open_due(&mut self, wall_ms: u64) {
        while self.due_occurrences < self.record.plan.occurrences()
            && self.record.plan.due_ms(self.due_occurrences) <= wall_ms
        {
            self.open_to(self.due_occurrences);
            self.due_occurrences += 1;
        }
    }

    /// Opens the occurrences up to one that a worker or a record names, due or not, so that
    /// what runs or ended of it is known. What is not due starts no more tasks.
    pub(super) fn open_to(&mut self, occurrence: u32) {
        while self.next_occurrence <= occurrence
            && self.next_occurrence < self.record.plan.occurrences()
        {
            self.open_next();
        }
    }

    fn open_next(&mut self) {
        let steps = self.record.plan.steps.iter().map(|step| StepState {
            tasks: vec![TaskState::default(); step.count as usize],
            open: step.count as usize,
            touched: false,
            advice: StepAdvice::default(),
        });
        self.occurrences
            .insert(self.next_occurrence, steps.collect());
        self.next_occurrence += 1;
    }

    pub(super) fn task_mut(&mut self, name: &TaskName) -> Option<&mut TaskState> {
        self.step_mut(name)?.tasks.get_mut(name.index as usize)
    }

    pub(super) fn task(&self, name: &TaskName) -> Option<&TaskState> {
        self.step(name)?.tasks.get(name.index as usize)
    }

    /// Whether a step's occurrence is due and the steps that it waits for are done.
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
            .all(|after| steps[usize::from(*after)].open == 0)
    }

    /// Marks a task, or the whole step of a gang, as done. Tells whether that was new.
    pub(super) fn mark_done(&mut self, name: &TaskName) -> bool {
        let gang = self.record.plan.steps[usize::from(name.step)].gang;
        let Some(step) = self.step_mut(name) else {
            return false;
        };
        step.touched = true;
        let before = step.open;
        if gang {
            step.tasks.iter_mut().for_each(|task| task.done = true);
            step.open = 0;
        } else if let Some(task) = step.tasks.get_mut(name.index as usize)
            && !task.done
        {
            task.done = true;
            step.open -= 1;
        }
        before != step.open
    }

    /// Whether every task of every occurrence is done.
    pub(super) fn all_done(&self) -> bool {
        self.next_occurrence == self.record.plan.occurrences()
            && self
                .occurrences
                .values()
                .all(|steps| steps.iter().all(|step| step.open == 0))
    }

    /// The step of a task, to change it.
    pub(super) fn step_mut(&mut self, task: &TaskName) -> Option<&mut StepState> {
        let steps = self.occurrences.get_mut(&task.occurrence)?;
        steps.get_mut(usize::from(task.step))
    }

    /// The step of a task.
    pub(super) fn step(&self, task: &TaskName) -> Option<&StepState> {
        let steps = self.occurrences.get(&task.occurrence)?;
        steps.get(usize::from(task.step))
    }

    /// Adds what its ready tasks ask for to its pool's load.
    pub(super) fn add_load(&self, load: &mut PoolLoad) {
        for (occurrence, steps) in &self.occurrences {
            for (number, step) in steps.iter().enumerate() {
                let plan = &self.record.plan.steps[number];
                if plan.long_running {
                    load.spread = load.spread.max(spread_of(plan));
                }
                if step.open == 0 || !self.is_ready(*occurrence, number) {
                    continue;
                }
                let idle = step.tasks.iter().filter(|task| task.idle()).count() as u64;
                load.waiting_milli += idle * plan.reserved().cpu_milli;
                load.memory_mb += idle * plan.reserved().memory_mb;
                if plan.long_running {
                    load.lasting_waiting += usize::try_from(idle).unwrap_or(usize::MAX);
                }
            }
        }
    }

    /// What its ready tasks need that are not known to run.
    pub(super) fn ready_need(&self) -> Resources {
        let mut need = Resources::default();
        for (_, number, step) in self.ready_steps() {
            let one = self.record.plan.steps[number].need;
            for _ in step.tasks.iter().filter(|task| task.idle()) {
                need += one;
            }
        }
        need
    }

    /// Steps that are due, ready and not done: occurrence, number and state of each.
    pub(super) fn ready_steps(&self) -> impl Iterator<Item = (u32, usize, &StepState)> {
        let steps = self.occurrences.iter().flat_map(|(occurrence, steps)| {
            let numbered = steps.iter().enumerate();
            numbered.map(move |(number, step)| (*occurrence, number, step))
        });
        steps.filter(|(occurrence, number, step)| {
            step.open > 0 && self.is_ready(*occurrence, *number)
        })
    }

    /// Steps that may start tasks now: ready ones, but for those of which something may run
    /// unseen.
    pub(super) fn startable_steps(&self) -> impl Iterator<Item = (u32, usize, &StepState)> {
        self.ready_steps()
            .filter(|(_, number, _)| !self.held_back || self.record.plan.steps[*number].speculative)
    }

    pub(super) fn urgency(&self) -> JobUrgency {
        let plan = &self.record.plan;
        let whole = plan.critical_path_ms(|_| false);
        let critical_path_ms = self
            .occurrences
            .values()
            .next_back()
            .map_or(whole, |steps| {
                plan.critical_path_ms(|step| steps[step].open == 0)
            });
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a objective_factor of some units of some seconds fits"
        )]
        let stretched = (self.record.objective_factor * whole as f64) as u64;
        let objective = stretched + self.record.target_latency_ms;
        JobUrgency {
            priority: self.record.priority,
            long_running: plan.long_running(),
            started: self.started,
            over_share: self.over_share,
            arrived_ms: self.arrived_ms,
            objective_ms: self.arrived_ms + objective,
            critical_path_ms,
            late_ms: self.arrived_ms + LATE_MULTIPLE * objective,
        }
    }

    /// What is to be recorded of it.
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
            for (number, step) in steps.iter().enumerate().filter(|(_, step)| step.touched) {
                step_progress
                    .push(step.tally(*occurrence, u16::try_from(number).unwrap_or(u16::MAX)));
            }
        }
        step_progress
    }

    pub(super) fn state(&self) -> JobState {
        match self.ended {
            Some(JobState::Cancelled) => JobState::Cancelled,
            Some(state) if self.end_recorded => state,
            Some(_) => JobState::Running,
            None if self.started => JobState::Running,
            None => JobState::Queued,
        }
    }
}

/// Workers over which a step that lasts is spread, so that one that is taken down ends no
/// more tasks than may be missed.
fn spread_of(plan: &StepPlan) -> usize {
    let apart = plan.count.div_ceil(plan.most_together().max(1));
    usize::try_from(apart).unwrap_or(usize::MAX)
}

impl StepState {
    fn restore(&mut self, tally: &StepProgress) {
        self.touched = true;
        if tally.all_done {
            self.tasks.iter_mut().for_each(|task| task.done = true);
            self.open = 0;
            return;
        }
        for index in &tally.done {
            if let Some(task) = self.tasks.get_mut(*index as usize)
                && !task.done
            {
                task.done = true;
                self.open -= 1;
            }
        }
        for failed in &tally.failures {
            if let Some(task) = self.tasks.get_mut(failed.index as usize) {
                let highest = failed.runs.iter().copied().max().unwrap_or_default();
                task.last_run = task.last_run.max(highest);
                task.failed_runs.clone_from(&failed.runs);
            }
        }
    }

    fn tally(&self, occurrence: u32, step: u16) -> StepProgress {
        let indexed = || (0u32..).zip(&self.tasks);
        let all_done = self.open == 0;
        let done = indexed().filter(|(_, task)| task.done && !all_done);
        let failed = indexed().filter(|(_, task)| !task.failed_runs.is_empty() && !task.done);
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
        }
    }
}
