//! State of the tasks of one step.

use {
    super::{
        crash_suspicion::CrashSuspicion,
        job_progress::{RecordedAttempt, StepProgress, TaskCrashes, TaskFailures},
        step_advice::StepAdvice,
        task_run::TaskRun,
    },
    crate::names::WorkerName,
    std::sync::Arc,
};

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

/// The tasks of one step in one occurrence. Only the first ones have state: those that may start
/// soon, and all before the last one that a worker or a record has named.
#[derive(Debug, Clone)]
pub(super) struct StepState {
    pub(super) tasks: Vec<TaskState>,
    /// Tasks behind those, none of which has started.
    pub(super) untouched: usize,
    /// Tasks that are not done.
    pub(super) remaining: usize,
    pub(super) has_progress: bool,
    pub(super) advice: StepAdvice,
}

impl StepState {
    /// Creates a step of which no task has run.
    pub(super) fn new(count: usize) -> Self {
        Self {
            tasks: Vec::new(),
            untouched: count,
            remaining: count,
            has_progress: false,
            advice: StepAdvice::default(),
        }
    }

    /// Gives state to this many tasks more, as far as there are so many. Returns to how many.
    pub(super) fn open(&mut self, count: usize) -> usize {
        let opened = count.min(self.untouched);
        self.untouched -= opened;
        let task = TaskState {
            done: self.remaining == 0,
            ..TaskState::default()
        };
        self.tasks.extend(std::iter::repeat_n(task, opened));
        opened
    }

    /// Gives state to a task and those before it.
    pub(super) fn open_to(&mut self, index: u32) {
        let needed = (index as usize + 1).saturating_sub(self.tasks.len());
        if needed <= self.untouched {
            self.open(needed);
        }
    }

    /// Counts the tasks that neither run nor are done.
    pub(super) fn idle(&self) -> usize {
        let untouched = if self.has_untouched() {
            self.untouched
        } else {
            0
        };
        self.tasks.iter().filter(|task| task.is_idle()).count() + untouched
    }

    /// Whether it is not done and has tasks without state.
    pub(super) fn has_untouched(&self) -> bool {
        self.remaining > 0 && self.untouched > 0
    }

    /// Whether a task neither runs nor is done.
    pub(super) fn has_idle(&self) -> bool {
        self.has_untouched() || self.tasks.iter().any(TaskState::is_idle)
    }

    /// Marks all tasks as done.
    pub(super) fn mark_all_done(&mut self) {
        self.tasks.iter_mut().for_each(|task| task.done = true);
        self.remaining = 0;
    }

    /// Whether a task has a run that may not have ended.
    pub(super) fn has_runs(&self) -> bool {
        self.tasks.iter().any(|task| !task.runs.is_empty())
    }

    /// Restores recorded progress.
    pub(super) fn restore(&mut self, recorded: &StepProgress) {
        self.has_progress = true;
        if recorded.all_done {
            self.mark_all_done();
            return;
        }
        for index in &recorded.done {
            self.open_to(*index);
            if let Some(task) = self.tasks.get_mut(*index as usize)
                && !task.done
            {
                task.done = true;
                self.remaining -= 1;
            }
        }
        for failed in &recorded.failures {
            self.open_to(failed.index);
            if let Some(task) = self.tasks.get_mut(failed.index as usize) {
                let highest = failed.runs.iter().copied().max().unwrap_or_default();
                task.last_run = task.last_run.max(highest);
                task.failed_runs.clone_from(&failed.runs);
            }
        }
        for crashed in &recorded.crashes {
            self.open_to(crashed.index);
            if let Some(task) = self.tasks.get_mut(crashed.index as usize) {
                let highest = crashed.runs.iter().map(|crash| crash.run).max();
                task.last_run = task.last_run.max(highest.unwrap_or_default());
                task.suspicion.restore(&crashed.runs);
            }
        }
        for attempt in &recorded.attempts {
            self.open_to(attempt.index);
            if let Some(task) = self.tasks.get_mut(attempt.index as usize) {
                task.last_run = task.last_run.max(attempt.run);
            }
        }
    }

    /// Returns the progress to be recorded.
    pub(super) fn progress(&self, occurrence: u32, step: u16) -> StepProgress {
        let indexed = || (0u32..).zip(&self.tasks);
        let all_done = self.remaining == 0;
        let done = indexed().filter(|(_, task)| task.done && !all_done);
        let failed = indexed().filter(|(_, task)| !task.failed_runs.is_empty() && !task.done);
        let suspected = indexed().filter(|(_, task)| task.suspicion.is_suspected() && !task.done);
        let open_runs = indexed()
            .filter(|(_, task)| !task.done)
            .flat_map(|(index, task)| task.runs.iter().map(move |run| (index, run)));
        let attempts = open_runs.filter_map(|(index, run)| {
            let at = run.recorded_at.as_deref()?.clone();
            let run = run.run;
            Some(RecordedAttempt { index, run, at })
        });
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
            attempts: attempts.collect(),
        }
    }
}
