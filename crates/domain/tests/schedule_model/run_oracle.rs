//! Checks what workers observe against the users' rules, and keeps the trace.

use {
    super::job_source::has_culprit,
    dotterelshore_domain::{
        names::{JobName, WorkerName},
        schedule::{EndReason, EndedRun, JobRecord, StepPlan, TaskName},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Write,
    },
};

/// How long starts of a cancelled job are tolerated, in milliseconds.
const CANCEL_BOUND_MS: u64 = 3_000;
/// How much longer its runs are tolerated, in milliseconds.
const STOP_BOUND_MS: u64 = 400;
/// Time after a fault from which no lease expires, in milliseconds: the bound of the rules and a
/// worker's lease.
const LEASE_BOUND_MS: u64 = 3_000 + 4_000;
/// Longest time that a worker which answers gets no tasks without a fault, in milliseconds.
const HELD_BACK_BOUND_MS: u64 = 3_000;
/// Time after a late start from which the bounds count, in milliseconds.
const LATE_START_WINDOW_MS: u64 = 3_000;
/// Crashes under a task after which its starts are counted.
const CRASHES_MAX: usize = 3;
/// The number of such starts that breaks the rule.
const STARTS_AFTER_CRASHES: usize = 3;

/// A run at work.
#[derive(Debug)]
struct ObservedRun {
    started_ms: u64,
    late: bool,
    reported: bool,
}

/// What happened to a task.
#[derive(Debug, Default)]
struct TaskHistory {
    /// Each start: when, and the run.
    starts: Vec<(u64, u32)>,
    /// Each end `done` that may be acknowledged: the incarnation, the number, and when.
    done: Vec<(u64, u64, u64)>,
    /// When the task ended whose acknowledged end is `done`.
    acknowledged_ms: Option<u64>,
    was_done: bool,
    failures: usize,
    /// Workers that it crashed.
    crashes: usize,
    /// Starts since the third crash, without a fault near.
    starts_after_crashes: usize,
    /// When its last run ended.
    last_end_ms: Option<u64>,
}

/// What is known of a job.
#[derive(Debug)]
struct ObservedJob {
    record: JobRecord,
    stored_ms: u64,
    cancelled_ms: Option<u64>,
}

/// The rules on runs, as observed at the workers.
#[derive(Debug, Default)]
pub(super) struct RunOracle {
    now_ms: u64,
    /// Time after a fault from which the bounds count, in milliseconds.
    stable_window_ms: u64,
    /// End of the last fault.
    fault_until_ms: u64,
    at_work: BTreeMap<(TaskName, u32, u64), ObservedRun>,
    tasks: BTreeMap<TaskName, TaskHistory>,
    jobs: BTreeMap<JobName, ObservedJob>,
    trace: Vec<(u64, Option<JobName>, String)>,
    /// The first violation, with its job if it is of one.
    violation: Option<(Option<JobName>, String)>,
}

impl RunOracle {
    pub(super) fn new(stable_window_ms: u64) -> Self {
        Self {
            stable_window_ms,
            ..Self::default()
        }
    }

    pub(super) fn set_now(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
    }

    pub(super) fn note(&mut self, job: Option<&JobName>, text: String) {
        self.trace.push((self.now_ms, job.cloned(), text));
    }

    /// Notes a fault that lasts for a while.
    pub(super) fn record_fault(&mut self, duration_ms: u64, text: String) {
        self.fault_until_ms = self.fault_until_ms.max(self.now_ms + duration_ms);
        self.note(None, text);
    }

    pub(super) fn record_job(&mut self, record: JobRecord) {
        let name = record.name.clone();
        let observed = ObservedJob {
            record,
            stored_ms: self.now_ms,
            cancelled_ms: None,
        };
        self.jobs.insert(name.clone(), observed);
        self.note(Some(&name), format!("job {name} stored"));
    }

    pub(super) fn record_cancel(&mut self, name: &JobName) {
        if let Some(job) = self.jobs.get_mut(name) {
            job.cancelled_ms = Some(self.now_ms);
        }
        self.note(Some(name), format!("cancellation of {name} stored"));
    }

    pub(super) fn record_start(&mut self, task: &TaskName, run: u32, life: u64, late: bool) {
        let kind = if late { "late start" } else { "start" };
        self.note(
            Some(&task.job),
            format!("{kind} of {task} run {run} at life {life}"),
        );
        if self.at_work.keys().any(|(other, ..)| other == task) {
            self.fail(&task.job, format!("two runs of {task} at work"));
        }
        let history = self.tasks.entry(task.clone()).or_default();
        history.starts.push((self.now_ms, run));
        if history.acknowledged_ms.is_some() {
            self.fail(
                &task.job,
                format!("{task} starts after its acknowledged end"),
            );
        }
        let is_calm = self.now_ms > self.fault_until_ms + self.stable_window_ms;
        let history = self.tasks.entry(task.clone()).or_default();
        if history.crashes >= CRASHES_MAX && is_calm && !late {
            history.starts_after_crashes += 1;
            if history.starts_after_crashes >= STARTS_AFTER_CRASHES {
                let text = format!("{task} starts again and again after {CRASHES_MAX} crashes");
                self.fail(&task.job, text);
            }
        }
        self.check_order(task);
        let cancelled_ms = self.jobs.get(&task.job).and_then(|job| job.cancelled_ms);
        let from_ms = cancelled_ms.map(|at_ms| at_ms.max(self.fault_until_ms));
        if !late && from_ms.is_some_and(|from_ms| self.now_ms > from_ms + CANCEL_BOUND_MS) {
            self.fail(&task.job, format!("{task} starts after its cancellation"));
        }
        let observed = ObservedRun {
            started_ms: self.now_ms,
            late,
            reported: false,
        };
        self.at_work.insert((task.clone(), run, life), observed);
    }

    /// Records that a task crashed its worker.
    pub(super) fn record_crash(&mut self, task: &TaskName) {
        self.note(Some(&task.job), format!("{task} crashes its worker"));
        self.tasks.entry(task.clone()).or_default().crashes += 1;
    }

    /// Checks that the steps which a task depends on are done.
    fn check_order(&mut self, task: &TaskName) {
        let Some(job) = self.jobs.get(&task.job) else {
            self.fail(&task.job, format!("{task} is of no stored job"));
            return;
        };
        let steps = &job.record.plan.steps;
        let after = steps[usize::from(task.step)].after.iter();
        let is_done = |step: &u16| {
            (0..steps[usize::from(*step)].count).all(|index| {
                let earlier = TaskName {
                    step: *step,
                    index,
                    ..task.clone()
                };
                self.tasks
                    .get(&earlier)
                    .is_some_and(|history| history.was_done)
            })
        };
        if !after.into_iter().all(is_done) {
            self.fail(&task.job, format!("{task} starts before its turn"));
        }
    }

    /// Records the end of a run; `number` is `None` if the worker does not list it.
    pub(super) fn record_end(
        &mut self,
        task: &TaskName,
        run: u32,
        life: u64,
        reason: EndReason,
        number: Option<u64>,
    ) {
        self.note(
            Some(&task.job),
            format!("end of {task} run {run} at life {life}: {reason:?}, listed as {number:?}"),
        );
        self.at_work.remove(&(task.clone(), run, life));
        let history = self.tasks.entry(task.clone()).or_default();
        history.last_end_ms = Some(self.now_ms);
        match (reason, number) {
            (EndReason::Done, Some(number)) => {
                history.was_done = true;
                history.done.push((life, number, self.now_ms));
            }
            (EndReason::Failed, _) => history.failures += 1,
            (EndReason::LeaseExpired, _) if self.now_ms > self.fault_until_ms + LEASE_BOUND_MS => {
                self.fail(
                    &task.job,
                    format!("the lease of {task} expired without a fault"),
                );
            }
            _ => {}
        }
    }

    /// Records that a worker lost its runs, or its lease expired: earlier ends there no longer
    /// count as acknowledged.
    pub(super) fn record_lapse(&mut self, life: u64) {
        for history in self.tasks.values_mut() {
            history.done.retain(|(at_life, ..)| *at_life != life);
        }
    }

    pub(super) fn record_acknowledged(&mut self, life: u64, end: &EndedRun) {
        let task = &end.task;
        self.note(
            Some(&task.job),
            format!("end {} of {task} acknowledged at life {life}", end.number),
        );
        let Some(history) = self.tasks.get_mut(task) else {
            return;
        };
        let known =
            |(at_life, number, _): &&(u64, u64, u64)| *at_life == life && *number == end.number;
        let Some((_, _, ended_ms)) = history.done.iter().find(known).copied() else {
            return;
        };
        let restarted = history.starts.iter().any(|(at_ms, _)| *at_ms > ended_ms);
        history.acknowledged_ms = Some(ended_ms);
        if restarted {
            self.fail(
                &task.job,
                format!("{task} started after an end that counts"),
            );
        }
    }

    /// Checks that no run of a cancelled job is past its bound.
    pub(super) fn check_cancelled(&mut self) {
        let mut overdue = Vec::new();
        for ((task, run, life), observed) in &mut self.at_work {
            let cancelled_ms = self.jobs.get(&task.job).and_then(|job| job.cancelled_ms);
            let Some(cancelled_ms) = cancelled_ms else {
                continue;
            };
            let mut from_ms = cancelled_ms.max(self.fault_until_ms + self.stable_window_ms);
            if observed.late {
                from_ms = from_ms.max(observed.started_ms + LATE_START_WINDOW_MS);
            }
            let is_overdue = self.now_ms > from_ms + CANCEL_BOUND_MS + STOP_BOUND_MS;
            if is_overdue && !std::mem::replace(&mut observed.reported, true) {
                overdue.push((task.clone(), *run, *life));
            }
        }
        for (task, run, life) in overdue {
            let text =
                format!("{task} run {run} at life {life} runs on, and its job was cancelled");
            self.fail(&task.job, text);
        }
    }

    /// Returns when the last fault ended.
    pub(super) fn fault_until_ms(&self) -> u64 {
        self.fault_until_ms
    }

    /// Returns the tasks that last and are not at work, each with the time since when, and its step.
    /// Those of jobs with a culprit may be.
    pub(super) fn missing_tasks(&self) -> Vec<(TaskName, u64, StepPlan)> {
        let at_work: BTreeSet<_> = self.at_work.keys().map(|(task, ..)| task).collect();
        let mut missing = Vec::new();
        for job in self.jobs.values() {
            if job.cancelled_ms.is_some() || has_culprit(&job.record) {
                continue;
            }
            for (task, long_running) in tasks_of(&job.record) {
                if long_running && !at_work.contains(&task) {
                    let history = self.tasks.get(&task);
                    let end_ms = history.and_then(|history| history.last_end_ms);
                    let step = job.record.plan.steps[usize::from(task.step)].clone();
                    missing.push((task, end_ms.unwrap_or(job.stored_ms), step));
                }
            }
        }
        missing
    }

    /// Records that a task is missing for too long.
    pub(super) fn fail_missing(&mut self, task: &TaskName, since_ms: u64, reason: &str) {
        if self.violation.is_none() {
            let text = format!("{task} is to last, and is not at work since {since_ms}: {reason}");
            self.fail(&task.job, text);
        }
    }

    /// Checks the state after the quiet stretch at the end.
    pub(super) fn check_final(&mut self) {
        let mut faults = Vec::new();
        for (name, job) in &self.jobs {
            let tasks = self.tasks.range(first_task(name)..);
            let tasks = tasks.take_while(|(task, _)| task.job == *name);
            let attempts = job.record.attempts as usize;
            let failed = tasks
                .into_iter()
                .any(|(_, history)| history.failures >= attempts);
            let at_work = |task: &TaskName| self.at_work.keys().any(|(other, ..)| other == task);
            let is_done = |task: &TaskName| {
                let history = self.tasks.get(task);
                history.is_some_and(|history| history.was_done)
            };
            let ended = job.cancelled_ms.is_some() || failed;
            if !ended && has_culprit(&job.record) {
                continue;
            }
            for (task, long_running) in tasks_of(&job.record) {
                let fault = match (ended, long_running) {
                    (false, true) if !at_work(&task) => "is not at work",
                    (false, false) if !is_done(&task) => "is not done",
                    (false, false) | (true, _) if at_work(&task) => "is at work, and its job ended",
                    _ => continue,
                };
                faults.push((
                    name.clone(),
                    format!("{task} {fault} after the quiet stretch"),
                ));
            }
        }
        for (name, fault) in faults {
            self.fail(&name, fault);
        }
    }

    /// Checks a worker that answers and gets no tasks.
    pub(super) fn check_held_back(&mut self, worker: &WorkerName, since_ms: u64) {
        let since_ms = since_ms.max(self.fault_until_ms);
        if self.now_ms > since_ms + HELD_BACK_BOUND_MS && self.violation.is_none() {
            let text = format!("{worker} answers, and is held back as unreachable");
            self.violation = Some((None, text));
        }
    }

    fn fail(&mut self, job: &JobName, text: String) {
        self.note(Some(job), format!("VIOLATION: {text}"));
        if self.violation.is_none() {
            self.violation = Some((Some(job.clone()), text));
        }
    }

    /// Returns the whole trace, to compare two runs.
    pub(super) fn trace(&self) -> Vec<String> {
        let lines = self.trace.iter();
        lines
            .map(|(at_ms, _, text)| format!("{at_ms:>6} {text}"))
            .collect()
    }

    /// Returns the first violation with the trace of its job, faults and owners.
    pub(super) fn violation(&self) -> Option<String> {
        let (job, text) = self.violation.as_ref()?;
        let mut lines = format!("{text}\n");
        for (at_ms, of_job, line) in &self.trace {
            if of_job
                .as_ref()
                .is_none_or(|of_job| Some(of_job) == job.as_ref())
            {
                writeln!(lines, "{at_ms:>6} {line}").expect("writing to a string");
            }
        }
        Some(lines)
    }
}

fn first_task(job: &JobName) -> TaskName {
    TaskName {
        job: job.clone(),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

/// Returns the tasks of a job, each with whether it is long-running.
fn tasks_of(record: &JobRecord) -> Vec<(TaskName, bool)> {
    let mut tasks = Vec::new();
    for (number, step) in (0u16..).zip(&record.plan.steps) {
        for index in 0..step.count {
            let task = TaskName {
                step: number,
                index,
                ..first_task(&record.name)
            };
            tasks.push((task, step.long_running));
        }
    }
    tasks
}
