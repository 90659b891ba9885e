//! A worker process by the platform's protocol: runs, leases, fencing tokens and ends.

use {
    dotterelshore_domain::schedule::{
        EndReason, EndedRun, ListedWorker, ReportedRun, Resources, StartOrder, StartRefusal,
        TaskName, WorkerReport,
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Longest lease that a worker grants, in milliseconds.
pub(super) const LEASE_MAX_MS: u64 = 10_000;
/// Ends in one report. Far fewer than the platform's workers list, so that lists are often cut off.
const ENDS_MAX: usize = 3;

/// How a run goes on if nobody stops it.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunScript {
    /// Work until the task is done, in milliseconds; the startup of a long-running task.
    pub(super) work_ms: u64,
    pub(super) long_running: bool,
    /// When it fails, in milliseconds after its start.
    pub(super) fails_after_ms: Option<u64>,
    /// Whether it crashes its worker soon after its start.
    pub(super) crashes: bool,
    pub(super) need: Resources,
}

/// A run at a worker.
#[derive(Debug, Clone)]
pub(super) struct WorkerRun {
    pub(super) task: TaskName,
    pub(super) run: u32,
    pub(super) started_ms: u64,
    pub(super) script: RunScript,
    pub(super) stopping: bool,
}

/// The result of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartOutcome {
    Started,
    AlreadyThere,
    Refused(StartRefusal),
}

/// A worker's steady clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkerClock {
    pub(super) started_ms: u64,
    pub(super) offset_ms: u64,
    /// Clock milliseconds per 1,000 ms.
    pub(super) rate: u64,
}

impl WorkerClock {
    pub(super) fn read(&self, now_ms: u64) -> u64 {
        self.offset_ms + (now_ms - self.started_ms) * self.rate / 1_000
    }

    /// Returns the time from which the clock is past a reading.
    pub(super) fn time_past(&self, clock_ms: u64) -> u64 {
        self.started_ms + (clock_ms.saturating_sub(self.offset_ms) + 1) * 1_000 / self.rate + 1
    }
}

/// One incarnation of a worker.
#[derive(Debug)]
pub(super) struct WorkerProcess {
    pub(super) listed: ListedWorker,
    /// Distinguishes the incarnations of all workers.
    pub(super) life: u64,
    pub(super) clock: WorkerClock,
    pub(super) runs: Vec<WorkerRun>,
    pub(super) lease_until_ms: u64,
    token: u64,
    highest_runs: BTreeMap<TaskName, u32>,
    ends: Vec<EndedRun>,
    last_end: u64,
}

impl WorkerProcess {
    pub(super) fn new(listed: ListedWorker, life: u64, clock: WorkerClock) -> Self {
        Self {
            listed,
            life,
            clock,
            runs: Vec::new(),
            lease_until_ms: 0,
            token: 0,
            highest_runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    /// Returns the processor capacity that no run reserves, in thousandths of a core.
    pub(super) fn free_cpu_milli(&self) -> u64 {
        let used: u64 = self.runs.iter().map(|run| run.script.need.cpu_milli).sum();
        self.listed.capacity.cpu_milli.saturating_sub(used)
    }

    /// Whether a call has an outdated fencing token; otherwise its token becomes the current one.
    pub(super) fn refuses_token(&mut self, token: u64) -> bool {
        if token < self.token {
            return true;
        }
        self.token = token;
        false
    }

    pub(super) fn extend_lease(&mut self, until_ms: u64, now_ms: u64) {
        let latest_ms = self.clock.read(now_ms) + LEASE_MAX_MS;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(latest_ms));
    }

    pub(super) fn start(
        &mut self,
        order: &StartOrder,
        lease_until_ms: u64,
        script: RunScript,
        now_ms: u64,
    ) -> StartOutcome {
        if lease_until_ms < self.clock.read(now_ms) {
            return StartOutcome::Refused(StartRefusal::Late);
        }
        self.extend_lease(lease_until_ms, now_ms);
        if self.find(&order.task, order.run).is_some() {
            return StartOutcome::AlreadyThere;
        }
        let highest = self.highest_runs.get(&order.task);
        if highest.is_some_and(|highest| order.run <= *highest) {
            return StartOutcome::Refused(StartRefusal::Outdated);
        }
        let mut used = Resources::default();
        for run in &self.runs {
            used += run.script.need;
        }
        if !script.need.fits(used, self.listed.capacity) {
            return StartOutcome::Refused(StartRefusal::NoRoom);
        }
        self.runs.push(WorkerRun {
            task: order.task.clone(),
            run: order.run,
            started_ms: now_ms,
            script,
            stopping: false,
        });
        StartOutcome::Started
    }

    /// Begins to stop a run and returns whether it is there. A run that is not is ruled out.
    pub(super) fn stop(&mut self, task: &TaskName, run: u32) -> bool {
        self.rule_out(task, run);
        let mut runs = self.runs.iter_mut();
        let found = runs.find(|known| known.run == run && known.task == *task);
        found.is_some_and(|known| !std::mem::replace(&mut known.stopping, true))
    }

    pub(super) fn find(&self, task: &TaskName, run: u32) -> Option<&WorkerRun> {
        let mut runs = self.runs.iter();
        runs.find(|known| known.run == run && known.task == *task)
    }

    /// Ends a run and lists its end.
    pub(super) fn end(&mut self, task: &TaskName, run: u32, reason: EndReason) -> u64 {
        self.runs
            .retain(|known| known.run != run || known.task != *task);
        self.rule_out(task, run);
        self.last_end += 1;
        self.ends.push(EndedRun {
            number: self.last_end,
            task: task.clone(),
            run,
            reason,
            checkpoint: Arc::from(""),
        });
        self.last_end
    }

    fn rule_out(&mut self, task: &TaskName, run: u32) {
        let highest = self.highest_runs.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
    }

    /// Forgets acknowledged ends and returns them.
    pub(super) fn acknowledge(&mut self, number: u64) -> Vec<EndedRun> {
        let (acknowledged, kept) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition(|end| end.number <= number);
        self.ends = kept;
        acknowledged
    }

    pub(super) fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    pub(super) fn report(&self, now_ms: u64) -> WorkerReport {
        let running = self.runs.iter().map(|run| ReportedRun {
            task: run.task.clone(),
            run: run.run,
            checkpoint: Arc::from(""),
            progress_percent: progress_percent(run, now_ms),
            metric: 0.0,
        });
        WorkerReport {
            started_ms: Some(self.listed.started_ms),
            clock_ms: self.clock.read(now_ms),
            running: running.collect(),
            finished: self.ends.iter().take(ENDS_MAX).cloned().collect(),
            may_have_more_ends: self.ends.len() >= ENDS_MAX,
            ends_only: false,
        }
    }
}

fn progress_percent(run: &WorkerRun, now_ms: u64) -> f64 {
    let elapsed_ms = now_ms - run.started_ms;
    let share = (elapsed_ms * 1_000_000 / run.script.work_ms.max(1)).min(1_000_000);
    f64::from(u32::try_from(share).unwrap_or(u32::MAX)) / 10_000.0
}
