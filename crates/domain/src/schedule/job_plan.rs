//! The plan of a job, validated when it is submitted.

use {
    crate::names::RackName,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{
        ops::{AddAssign, SubAssign},
        sync::Arc,
    },
};

/// Most steps of a job, to bound memory. Twelve times the largest job that the users describe.
pub const STEPS_MAX: usize = 64;
/// Most tasks of one step. About thirty times the largest step that the users describe.
pub const TASKS_MAX: u32 = 1_000;
/// Most of a resource that a task may need: a million cores, or a petabyte. No worker has more.
pub const NEED_MAX: u64 = 1_000_000_000;
/// Longest body for a job's tasks, in bytes, set by the callers' protocol.
pub const BODY_BYTES_MAX: usize = 4_000;

/// Amounts of processor, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Whether this amount fits beside `used` under `limit`.
    pub fn fits(self, used: Self, limit: Self) -> bool {
        let within = |used: u64, need: u64, limit: u64| {
            used.checked_add(need).is_some_and(|sum| sum <= limit)
        };
        within(used.cpu_milli, self.cpu_milli, limit.cpu_milli)
            && within(used.memory_mb, self.memory_mb, limit.memory_mb)
            && within(used.gpus, self.gpus, limit.gpus)
    }

    /// Returns `count` times this amount.
    #[must_use]
    pub fn times(self, count: u64) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// Returns how many times this amount fits beside `used` under `limit`.
    pub fn count_in(self, used: Self, limit: Self) -> u64 {
        let count = |used: u64, need: u64, limit: u64| match limit.checked_sub(used) {
            Some(free) => free.checked_div(need).unwrap_or(u64::MAX),
            None => 0,
        };
        count(used.cpu_milli, self.cpu_milli, limit.cpu_milli)
            .min(count(used.memory_mb, self.memory_mb, limit.memory_mb))
            .min(count(used.gpus, self.gpus, limit.gpus))
    }

    fn largest(self) -> u64 {
        self.cpu_milli.max(self.memory_mb).max(self.gpus)
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, rhs: Self) {
        self.cpu_milli = self.cpu_milli.saturating_add(rhs.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_add(rhs.memory_mb);
        self.gpus = self.gpus.saturating_add(rhs.gpus);
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, rhs: Self) {
        self.cpu_milli = self.cpu_milli.saturating_sub(rhs.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_sub(rhs.memory_mb);
        self.gpus = self.gpus.saturating_sub(rhs.gpus);
    }
}

/// One step: identical tasks that start once earlier steps are done.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is an independent property that submitters set"
)]
pub struct StepPlan {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// The submitter's rough estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// Indices of the earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Whether tasks resume from checkpoints.
    pub checkpointing: bool,
    /// Whether the tasks form a gang, which runs only as a whole.
    pub gang: bool,
    /// Whether the tasks run faster on one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub requires: Option<Arc<str>>,
    /// The rack that holds the tasks' data.
    pub affinity: Option<RackName>,
    /// Most tasks of the step, per occurrence, on one worker; `None` means unlimited.
    pub anti_affinity: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// The image that the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Target for the tail latency of tasks that serve users, in milliseconds.
    pub target_ms: Option<u64>,
    /// Whether the tasks are best-effort: they use only processor time that others leave.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Most tasks that planned disruptions may make unavailable at the same time; `None` means
    /// unlimited.
    #[serde(rename = "may-miss")]
    pub max_unavailable: Option<u32>,
}

impl StepPlan {
    /// Returns the capacity that a task reserves on its worker.
    pub fn reserved(&self) -> Resources {
        let mut need = self.need;
        if self.best_effort {
            need.cpu_milli = 0;
        }
        need
    }

    /// Returns how many of its tasks start together at least: a gang starts as a whole.
    pub(super) fn least_tasks(&self) -> u32 {
        if self.gang { self.count } else { 1 }
    }

    /// Returns what the tasks that start together at least need.
    pub(super) fn least_start(&self) -> Resources {
        self.need.times(u64::from(self.least_tasks()))
    }

    /// Returns how many tasks of the step should share a worker at most: the anti-affinity
    /// limit and, for long-running tasks, the number that may be unavailable together.
    pub fn max_per_worker(&self) -> u32 {
        let apart = self.anti_affinity.unwrap_or(u32::MAX);
        match self.max_unavailable {
            Some(max_unavailable) if self.long_running => apart.min(max_unavailable.max(1)),
            _ => apart,
        }
    }
}

/// Why a job's plan is invalid.
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
    /// A step depends on itself or a later one.
    #[snafu(display("step {step} waits for step {after}, which is not an earlier one"))]
    Order {
        /// The step.
        step: usize,
        /// The step that it depends on.
        after: u16,
    },
    /// A task needs more than any worker has.
    #[snafu(display("step {step} needs more than {NEED_MAX} of a resource for each task"))]
    Need {
        /// The step.
        step: usize,
    },
    /// The body for the tasks is too long.
    #[snafu(display("the task text has {bytes} bytes; at most {BODY_BYTES_MAX} are allowed"))]
    Body {
        /// Its length in bytes.
        bytes: usize,
    },
}

/// The plan of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobPlan {
    /// Body that each task is started with.
    pub task_body: Arc<str>,
    /// The steps.
    pub steps: Vec<StepPlan>,
    /// Number of timed occurrences; 0 means a single one that starts at once.
    #[serde(default, rename = "times")]
    pub timed_occurrences: u32,
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub start_at_ms: u64,
    /// Time between occurrences, in milliseconds.
    #[serde(default)]
    pub interval_ms: u64,
}

impl JobPlan {
    /// Validates the plan.
    ///
    /// # Errors
    ///
    /// Returns the first [`PlanFault`] found.
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
            if step.need.largest() > NEED_MAX {
                return Err(PlanFault::Need { step: number });
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

    /// Returns the least of each resource that a task of any step reserves.
    pub(super) fn least_reserved(&self) -> Resources {
        let needs = self.steps.iter().map(StepPlan::reserved);
        let least = needs.reduce(|least, need| Resources {
            cpu_milli: least.cpu_milli.min(need.cpu_milli),
            memory_mb: least.memory_mb.min(need.memory_mb),
            gpus: least.gpus.min(need.gpus),
        });
        least.unwrap_or_default()
    }

    /// Returns the number of occurrences, at least one.
    pub fn occurrences(&self) -> u32 {
        self.timed_occurrences.max(1)
    }

    /// Returns when an occurrence is due, in milliseconds since the Unix epoch; 0 means at
    /// once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.timed_occurrences == 0 {
            return 0;
        }
        let since_first_ms = u64::from(occurrence).saturating_mul(self.interval_ms);
        self.start_at_ms.saturating_add(since_first_ms)
    }

    /// Returns the number of occurrences that are due at a time, in milliseconds since the Unix
    /// epoch.
    pub(super) fn due_occurrences(&self, wall_ms: u64) -> u32 {
        if self.timed_occurrences == 0 {
            return 1;
        }
        let Some(since_first_ms) = wall_ms.checked_sub(self.start_at_ms) else {
            return 0;
        };
        let later = since_first_ms.checked_div(self.interval_ms);
        let due = later.map_or(u64::MAX, |later| later.saturating_add(1));
        u32::try_from(due).map_or(self.timed_occurrences, |due| {
            due.min(self.timed_occurrences)
        })
    }

    /// Returns the number of tasks in each occurrence.
    pub(super) fn tasks_per_occurrence(&self) -> usize {
        self.steps.iter().map(|step| step.count as usize).sum()
    }

    /// Whether some of its steps run as gangs.
    pub(super) fn has_gang(&self) -> bool {
        self.steps.iter().any(|step| step.gang)
    }

    /// Whether some of its tasks run until the job is cancelled.
    pub fn long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the estimated work of all tasks but the long-running ones, in thousandths of a
    /// core times milliseconds.
    pub fn work(&self) -> u64 {
        let steps = self.steps.iter().filter(|step| !step.long_running);
        let works = steps.map(|step| {
            let reserved_milli = u64::from(step.count).saturating_mul(step.reserved().cpu_milli);
            reserved_milli.saturating_mul(step.estimate_ms)
        });
        works.fold(0, u64::saturating_add)
    }

    /// Returns the estimated duration of the critical path, in milliseconds, leaving out the
    /// steps that are `done`.
    pub fn critical_path_ms(&self, done: impl Fn(usize) -> bool) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let begin = step.after.iter().map(|after| ends[usize::from(*after)]);
            let begin = begin.max().unwrap_or(0);
            let own = if done(number) { 0 } else { step.estimate_ms };
            ends.push(begin.saturating_add(own));
        }
        ends.into_iter().max().unwrap_or(0)
    }
}
