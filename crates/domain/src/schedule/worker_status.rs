//! A worker as the scheduler knows it.

use {
    super::{job_plan::Resources, pace_controller::PaceController, task_name::TaskName},
    crate::{
        collections::FastMap,
        names::{CentreName, InstanceName, PoolName, WorkerName},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Failed runs in a row, with no run done between, after which a worker is passed over.
/// Two, since one failure may be the task's own fault.
const FAILURES_IN_ROW: u32 = 2;
/// How long a worker that fails everything is passed over before it is tried again, in
/// milliseconds. Longer than the users' usual fault of some six seconds.
const PASS_OVER_MS: u64 = 7_000;

/// A worker as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ListedWorker {
    /// Its name, new with each life but for restarts under one name.
    pub name: WorkerName,
    /// When this life began, in milliseconds since the Unix epoch.
    #[serde(rename = "born-ms")]
    pub started_ms: u64,
    /// The instance it lives on, where told.
    pub instance: Option<InstanceName>,
    /// Host and port.
    pub address: Arc<str>,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// Its data centre.
    pub centre: CentreName,
    /// Labels: its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// What it holds at most.
    pub capacity: Resources,
    /// Whether it leaves soon.
    pub draining: bool,
}

/// A task that a worker says is running.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportedRun {
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
    /// Its newest checkpoint, empty for none.
    pub checkpoint: Arc<str>,
    /// How far it is at work, in percent.
    pub progress_percent: f64,
    /// Tail latency in milliseconds for a task that serves, else thousandths of a core.
    pub metric: f64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// It finished its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped by order.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangMemberEnded,
    /// It waited in vain for its gang.
    GangIncomplete,
}

/// A run that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Its number in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Its last checkpoint, empty for none.
    pub checkpoint: Arc<str>,
}

/// What a worker says of its runs.
#[derive(Debug, Clone, Default)]
pub struct WorkerReport {
    /// When its life began, in milliseconds since the Unix epoch, where told.
    pub started_ms: Option<u64>,
    /// Its own steady clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<ReportedRun>,
    /// What ended and was not acknowledged.
    pub finished: Vec<EndedRun>,
}

/// A worker on which an owner may have left something running, as recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkerSnapshot {
    /// The worker.
    pub listed: ListedWorker,
    /// What it may run, where the owner had lost touch with it and so started nothing more
    /// there; else nothing is known of its runs.
    #[serde(rename = "lost")]
    pub unreachable: Option<UnreachableRuns>,
}

/// Runs on a worker that does not answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct UnreachableRuns {
    /// The tasks and the numbers of their runs.
    pub runs: Vec<(TaskName, u32)>,
    /// What was left of its lease when this was recorded, in milliseconds.
    pub lease_left_ms: u64,
}

/// A worker and what the scheduler placed there.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fact of its own about the worker"
)]
pub struct WorkerStatus {
    /// What the platform lists.
    pub listed: ListedWorker,
    /// Whether the platform still lists it.
    pub present: bool,
    /// What placed tasks reserve.
    pub used: Resources,
    /// Runs that are or may be there, each with its number.
    pub runs: FastMap<TaskName, u32>,
    /// Whether its lists were read under the present ownership.
    pub reported: bool,
    /// Whether all that an earlier owner left there is known, though it was not heard.
    pub runs_known: bool,
    /// Whether the newest record of the workers may name it as lost.
    pub recorded_unreachable: bool,
    /// Whether its last call was answered.
    pub reachable: bool,
    /// Until when something may run there unseen, in scheduler milliseconds.
    pub lease_until_ms: u64,
    /// Highest end that was taken in.
    pub seen_end: u64,
    /// Highest end that is recorded.
    pub recorded_end: u64,
    /// Whether new tasks are kept away because the instance will be taken down.
    pub cordoned: bool,
    /// Whether its instance is still to be taken down by a wave that runs.
    pub(super) due: bool,
    /// Whether an order that takes its instance down is under way or was confirmed.
    pub(super) taking_down: bool,
    /// Until when its removal from the list is taken as the work of an order for its
    /// instance, which ended all that ran there; in scheduler milliseconds.
    pub(super) taken_down_until_ms: u64,
    /// The pace of tasks that fill there.
    pub(super) pace: PaceController,
    failures: u32,
    pass_over_until_ms: u64,
}

impl WorkerStatus {
    /// A worker of which nothing is known but its listing.
    pub fn new(listed: ListedWorker, lease_until_ms: u64) -> Self {
        Self {
            listed,
            present: true,
            used: Resources::default(),
            runs: FastMap::default(),
            reported: false,
            runs_known: false,
            recorded_unreachable: false,
            reachable: true,
            lease_until_ms,
            seen_end: 0,
            recorded_end: 0,
            cordoned: false,
            due: false,
            taking_down: false,
            taken_down_until_ms: 0,
            pace: PaceController::default(),
            failures: 0,
            pass_over_until_ms: 0,
        }
    }

    /// Whether new tasks may be placed on it.
    pub fn accepts_tasks(&self, now_ms: u64) -> bool {
        self.present
            && self.reported
            && self.reachable
            && !self.recorded_unreachable
            && !self.cordoned
            && !self.listed.draining
            && now_ms >= self.pass_over_until_ms
    }

    /// Takes note of how a run ended that was not stopped by order.
    pub fn record_outcome(&mut self, done: bool, now_ms: u64) {
        if done {
            self.failures = 0;
            self.pass_over_until_ms = 0;
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURES_IN_ROW {
            self.pass_over_until_ms = now_ms + PASS_OVER_MS;
        }
    }

    /// Passes the worker over for a while, as when its tasks stand still.
    pub fn eject(&mut self, now_ms: u64) {
        self.pass_over_until_ms = now_ms + PASS_OVER_MS;
    }

    /// Whether it has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.listed.labels.iter().any(|own| &**own == label)
    }
}
