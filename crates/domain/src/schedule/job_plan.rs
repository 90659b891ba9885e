//! What a job consists of, checked when it is submitted.

use {
    crate::names::RackName,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{
        ops::{AddAssign, SubAssign},
        sync::Arc,
    },
};

/// Most steps of a job. Twelve times the largest that the users name, as a guard on memory.
pub const STEPS_MAX: usize = 64;
/// Most tasks of one step. About thirty times the largest that the users name.
pub const TASKS_MAX: u32 = 1_000;
/// Longest text handed to a job's tasks, in bytes, from the callers' protocol.
pub const BODY_BYTES_MAX: usize = 4_000;

/// Processor, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_milli: u64,
    /// Megabytes of memory.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Whether this much more fits beside `used` under `limit`.
    pub fn fits(self, used: Self, limit: Self) -> bool {
        used.cpu_milli + self.cpu_milli <= limit.cpu_milli
            && used.memory_mb + self.memory_mb <= limit.memory_mb
            && used.gpus + self.gpus <= limit.gpus
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, rhs: Self) {
        self.cpu_milli += rhs.cpu_milli;
        self.memory_mb += rhs.memory_mb;
        self.gpus += rhs.gpus;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, rhs: Self) {
        self.cpu_milli = self.cpu_milli.saturating_sub(rhs.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_sub(rhs.memory_mb);
        self.gpus = self.gpus.saturating_sub(rhs.gpus);
    }
}

/// One step: tasks that are alike and start when earlier steps are done.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a property of its own that submitters set"
)]
pub struct StepPlan {
    /// Tasks of the step.
    pub count: u32,
    /// What each task needs.
    pub need: Resources,
    /// The submitter's rough estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Whether tasks resume from checkpoints.
    pub checkpointing: bool,
    /// Whether the tasks work only all together.
    pub gang: bool,
    /// Whether the tasks are faster on one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub requires: Option<Arc<str>>,
    /// The rack that holds the data.
    pub affinity: Option<RackName>,
    /// Most tasks of the step, of one occurrence, on one worker; nothing where unlimited.
    pub anti_affinity: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Tail latency to stay below, in milliseconds, for tasks that serve users.
    pub target_ms: Option<u64>,
    /// Whether the tasks use only processor time that others leave.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Most tasks that planned stops may take away at the same time.
    #[serde(rename = "may-miss")]
    pub max_unavailable: Option<u32>,
}

impl StepPlan {
    /// What a task of the step reserves of a worker's capacity.
    pub fn reserved(&self) -> Resources {
        let mut need = self.need;
        if self.best_effort {
            need.cpu_milli = 0;
        }
        need
    }

    /// Tasks of the step that should share a worker at most: what may run together, and,
    /// for tasks that last, what may be missed together.
    pub fn most_together(&self) -> u32 {
        let apart = self.anti_affinity.unwrap_or(u32::MAX);
        match self.max_unavailable {
            Some(max_unavailable) if self.long_running => apart.min(max_unavailable.max(1)),
            _ => apart,
        }
    }
}

/// Why a job's plan was not taken.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PlanFault {
    /// It has no steps or too many.
    #[snafu(display("a job has 1 to {STEPS_MAX} steps, not {steps}"))]
    Steps {
        /// Steps found.
        steps: usize,
    },
    /// A step has no tasks or too many.
    #[snafu(display("step {step} has {count} tasks; 1 to {TASKS_MAX} are allowed"))]
    Count {
        /// The step.
        step: usize,
        /// Tasks found.
        count: u32,
    },
    /// A step waits for itself or a later one.
    #[snafu(display("step {step} waits for step {after}, which is not an earlier one"))]
    Order {
        /// The step.
        step: usize,
        /// What it waits for.
        after: u16,
    },
    /// The text for the tasks is too long.
    #[snafu(display("the task text has {bytes} bytes; at most {BODY_BYTES_MAX} are allowed"))]
    Body {
        /// Its length in bytes.
        bytes: usize,
    },
}

/// What a job consists of.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobPlan {
    /// The text that each task is started with.
    pub task_body: Arc<str>,
    /// The steps.
    pub steps: Vec<StepPlan>,
    /// How often the steps run at set times; 0 for once, at once.
    #[serde(default, rename = "times")]
    pub repeat_count: u32,
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub start_at_ms: u64,
    /// Milliseconds between occurrences.
    #[serde(default)]
    pub interval_ms: u64,
}

impl JobPlan {
    /// Checks the plan against the rules for steps.
    ///
    /// # Errors
    ///
    /// The first [`PlanFault`] found.
    pub fn check(self) -> Result<Self, PlanFault> {
        let steps = self.steps.len();
        if steps == 0 || steps > STEPS_MAX {
            return Err(PlanFault::Steps { steps });
        }
        if self.task_body.len() > BODY_BYTES_MAX {
            let bytes = self.task_body.len();
            return Err(PlanFault::Body { bytes });
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > TASKS_MAX {
                let count = step.count;
                return Err(PlanFault::Count {
                    step: number,
                    count,
                });
            }
            if let Some(after) = step
                .after
                .iter()
                .find(|after| usize::from(**after) >= number)
            {
                return Err(PlanFault::Order {
                    step: number,
                    after: *after,
                });
            }
        }
        Ok(self)
    }

    /// Occurrences of the steps.
    pub fn occurrences(&self) -> u32 {
        self.repeat_count.max(1)
    }

    /// When an occurrence is due, in milliseconds since the Unix epoch; 0 for at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.repeat_count == 0 {
            return 0;
        }
        self.start_at_ms + u64::from(occurrence) * self.interval_ms
    }

    /// Whether its tasks run until the job is cancelled.
    pub fn long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Estimated work of the tasks that end by themselves, in thousandths of a core times
    /// milliseconds.
    pub fn work(&self) -> u64 {
        let steps = self.steps.iter().filter(|step| !step.long_running);
        steps
            .map(|step| u64::from(step.count) * step.reserved().cpu_milli * step.estimate_ms)
            .sum()
    }

    /// Estimated milliseconds of the longest chain of steps that are not `done`.
    pub fn critical_path_ms(&self, done: impl Fn(usize) -> bool) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let begin = step.after.iter().map(|after| ends[usize::from(*after)]);
            let begin = begin.max().unwrap_or(0);
            let own = if done(number) { 0 } else { step.estimate_ms };
            ends.push(begin + own);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}
