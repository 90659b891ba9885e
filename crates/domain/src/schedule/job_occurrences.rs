//! The occurrences of a job. Only those at work have state.

use {
    super::{
        index_ranges::IndexRanges,
        job_plan::JobPlan,
        step_state::{StepState, TaskState},
    },
    std::collections::BTreeMap,
};

/// Most tasks in the open occurrences of a job, unless a single occurrence has more. Their progress
/// is stored in one record, which grows by up to some 50 bytes a task.
const OPEN_TASKS_MAX: usize = 2_048;
/// Startable tasks beyond which a job opens no further occurrence. More than an entry starts between
/// two planning passes.
const STARTABLE_TASKS_MAX: usize = 256;

/// The occurrences of a job. Which are due follows from the plan and the time. One is opened when
/// its tasks may start soon, or a worker or a record names it, and closed once it has ended.
#[derive(Debug, Clone, Default)]
pub(super) struct JobOccurrences {
    open: BTreeMap<u32, Vec<StepState>>,
    ended: IndexRanges,
    /// Occurrences below this one are open or have ended.
    next: u32,
    /// Occurrences that are due by this owner's clock. Later ones may be open too, if another
    /// owner, whose clock is ahead, started them.
    due: u32,
}

impl JobOccurrences {
    /// Restores the set of those that have ended.
    pub(super) fn restore_ended(&mut self, ended: &IndexRanges) {
        self.ended = ended.clone();
    }

    /// Returns those that have ended.
    pub(super) fn ended(&self) -> &IndexRanges {
        &self.ended
    }

    /// Returns the steps of the open occurrences, each with its occurrence.
    pub(super) fn open(&self) -> impl DoubleEndedIterator<Item = (u32, &Vec<StepState>)> {
        self.open
            .iter()
            .map(|(occurrence, steps)| (*occurrence, steps))
    }

    /// As [`open`](Self::open), to change them.
    pub(super) fn open_mut(&mut self) -> impl Iterator<Item = (u32, &mut Vec<StepState>)> {
        self.open
            .iter_mut()
            .map(|(occurrence, steps)| (*occurrence, steps))
    }

    /// Returns the steps of an open occurrence.
    pub(super) fn steps(&self, occurrence: u32) -> Option<&Vec<StepState>> {
        self.open.get(&occurrence)
    }

    /// Returns the steps of an open occurrence, to change them.
    pub(super) fn steps_mut(&mut self, occurrence: u32) -> Option<&mut Vec<StepState>> {
        self.open.get_mut(&occurrence)
    }

    /// Whether an occurrence has ended.
    pub(super) fn has_ended(&self, occurrence: u32) -> bool {
        self.ended.contains(occurrence)
    }

    /// Whether an occurrence is due.
    pub(super) fn is_due(&self, occurrence: u32) -> bool {
        occurrence < self.due
    }

    /// Whether all occurrences of a plan have ended.
    pub(super) fn all_ended(&self, plan: &JobPlan) -> bool {
        self.ended.has_all(plan.occurrences())
    }

    /// Whether there are occurrences that were not opened yet.
    pub(super) fn has_unopened(&self, plan: &JobPlan) -> bool {
        self.next < plan.occurrences()
    }

    /// Returns how many occurrences are due and were not opened yet; at most, since a few of them
    /// may have been opened out of turn.
    pub(super) fn unopened_due(&self) -> u32 {
        self.due.saturating_sub(self.next)
    }

    /// Opens the next occurrences that are due at a time, as far as their tasks may start soon.
    /// Returns whether it opened one.
    pub(super) fn open_due(&mut self, plan: &JobPlan, wall_ms: u64) -> bool {
        let has_opened = self.open_due_occurrences(plan, wall_ms);
        self.open_startable_tasks(plan);
        has_opened
    }

    fn open_due_occurrences(&mut self, plan: &JobPlan, wall_ms: u64) -> bool {
        self.due = self.due.max(plan.due_occurrences(wall_ms));
        let mut has_opened = false;
        while self.next < self.due {
            if let Some(after) = self.ended.after_range_of(self.next) {
                self.next = after;
                continue;
            }
            if !self.open.contains_key(&self.next) {
                if !self.has_room(plan) {
                    break;
                }
                self.insert(plan, self.next);
                has_opened = true;
            }
            self.next += 1;
        }
        has_opened
    }

    /// Gives state to the tasks of ready steps that may start soon; to those of a gang as a whole.
    fn open_startable_tasks(&mut self, plan: &JobPlan) {
        let mut startable = 0;
        for steps in self.open.range_mut(..self.due).map(|(_, steps)| steps) {
            for number in 0..steps.len() {
                if !steps[number].has_untouched() || !is_ready(plan, steps, number) {
                    continue;
                }
                let step = &mut steps[number];
                startable += step.idle() - step.untouched;
                let missing = STARTABLE_TASKS_MAX.saturating_sub(startable);
                let is_gang = plan.steps[number].gang;
                startable += step.open(if is_gang { usize::MAX } else { missing });
            }
        }
    }

    /// Opens an occurrence that a worker or a record names, due or not, so that its runs and ends
    /// are tracked. One that is not due starts no more tasks, and one that has ended none at all.
    /// Returns whether it was opened now.
    pub(super) fn open_named(&mut self, plan: &JobPlan, occurrence: u32) -> bool {
        let is_new = occurrence < plan.occurrences() && !self.open.contains_key(&occurrence);
        if is_new {
            self.insert(plan, occurrence);
        }
        is_new
    }

    fn insert(&mut self, plan: &JobPlan, occurrence: u32) {
        let steps = plan.steps.iter();
        let mut steps: Vec<_> = steps
            .map(|step| StepState::new(step.count as usize))
            .collect();
        if self.has_ended(occurrence) {
            steps.iter_mut().for_each(StepState::mark_all_done);
        }
        self.open.insert(occurrence, steps);
    }

    /// Ends an occurrence if all of its tasks are done, and closes it once it also has no runs.
    pub(super) fn settle(&mut self, occurrence: u32) {
        let Some(steps) = self.open.get(&occurrence) else {
            return;
        };
        if steps.iter().any(|step| step.remaining > 0) {
            return;
        }
        let has_runs = steps.iter().any(StepState::has_runs);
        self.ended.insert(occurrence);
        if !has_runs {
            self.open.remove(&occurrence);
        }
    }

    /// Whether another occurrence may be opened.
    fn has_room(&self, plan: &JobPlan) -> bool {
        let per_occurrence = plan.tasks_per_occurrence();
        let open_tasks = self.open.len().saturating_mul(per_occurrence);
        let fits = open_tasks.saturating_add(per_occurrence) <= OPEN_TASKS_MAX;
        (self.open.is_empty() || fits) && !self.has_many_startable(plan)
    }

    /// Whether the open occurrences that are due have tasks enough to start. Looks at the newest
    /// ones first: their tasks have started last.
    fn has_many_startable(&self, plan: &JobPlan) -> bool {
        let mut startable = 0;
        for (_, steps) in self.open.range(..self.due).rev() {
            for (number, step) in steps.iter().enumerate() {
                if is_ready(plan, steps, number) {
                    startable += step.idle();
                }
            }
            if startable >= STARTABLE_TASKS_MAX {
                return true;
            }
        }
        false
    }

    /// Whether a step's occurrence is due and open, and the steps that it depends on are done.
    pub(super) fn is_ready(&self, plan: &JobPlan, occurrence: u32, step: usize) -> bool {
        let steps = self.steps(occurrence).filter(|_| self.is_due(occurrence));
        steps.is_some_and(|steps| is_ready(plan, steps, step))
    }

    /// Returns the tasks of the open occurrences, each with its occurrence, step and index.
    pub(super) fn tasks(&self) -> impl Iterator<Item = (u32, u16, u32, &TaskState)> {
        let steps = self.open().flat_map(|(occurrence, steps)| {
            let numbered = (0u16..).zip(steps);
            numbered.map(move |(number, step)| (occurrence, number, step))
        });
        steps.flat_map(|(occurrence, number, step)| {
            let tasks = (0u32..).zip(&step.tasks);
            tasks.map(move |(index, task)| (occurrence, number, index, task))
        })
    }
}

/// Whether the steps that a step depends on are done.
fn is_ready(plan: &JobPlan, steps: &[StepState], step: usize) -> bool {
    let mut after = plan.steps[step].after.iter();
    after.all(|after| steps[usize::from(*after)].remaining == 0)
}
