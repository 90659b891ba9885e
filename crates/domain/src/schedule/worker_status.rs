//! A worker as the scheduler sees it.

use {
    super::{
        incarnation_order::IncarnationOrder, job_plan::Resources, job_progress::WorkerIncarnation,
        pace_controller::PaceController, task_name::TaskName,
    },
    crate::{
        collections::FastSet,
        names::{CentreName, InstanceName, JobName, PoolName, WorkerName},
    },
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, sync::Arc},
};

/// Consecutive failed runs after which a worker is ejected. Two, since a single failure may be
/// the task's own fault.
const EJECTION_FAILURES: u32 = 2;
/// How long an ejected worker gets no tasks, in milliseconds. Longer than a usual worker
/// fault, which lasts some six seconds.
const EJECTION_MS: u64 = 7_000;

/// A worker as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ListedWorker {
    /// Its name. Each incarnation has a new one, except after a restart under the same name.
    pub name: WorkerName,
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    #[serde(rename = "born-ms")]
    pub started_ms: u64,
    /// The instance that hosts it, if listed.
    pub instance: Option<InstanceName>,
    /// Its address, as host and port.
    pub address: Arc<str>,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// Its data centre.
    pub centre: CentreName,
    /// Labels: its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// Resources that its runs can reserve.
    pub capacity: Resources,
    /// Whether the platform lists it as draining; it leaves soon.
    pub draining: bool,
}

impl ListedWorker {
    /// Returns its incarnation.
    pub(super) fn incarnation(&self) -> WorkerIncarnation {
        WorkerIncarnation {
            worker: self.name.clone(),
            started_ms: self.started_ms,
            instance: self.instance.clone(),
        }
    }
}

/// A run that a worker reports as running.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportedRun {
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Progress, in percent; a long-running task is ready at 100.
    pub progress_percent: f64,
    /// Tail latency in milliseconds for a serving task; processor use in thousandths of a core
    /// for any other.
    pub metric: f64,
}

/// Why a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// The task completed.
    Done,
    /// The task failed.
    Failed,
    /// The scheduler stopped it.
    Stopped,
    /// The worker's lease expired.
    LeaseExpired,
    /// Another member of its gang ended.
    GangMemberEnded,
    /// Its gang did not assemble.
    GangIncomplete,
}

/// A run that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Sequence number of the end, per incarnation of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
    /// Why it ended.
    pub reason: EndReason,
    /// Last checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}

/// A poll of a worker's lists of runs, which may extend its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// New end of the lease on the worker's runs, in milliseconds of its clock; `None` does not
    /// extend it.
    pub lease_until_ms: Option<u64>,
    /// The owner's fencing token.
    pub fencing_token: u64,
    /// Number of the last end that is recorded, so that the worker may drop it and earlier ones.
    pub acknowledged_end: u64,
    /// How long to wait for a run to end, in milliseconds; `None` means no wait.
    pub wait_ms: Option<u64>,
}

/// Runs and run ends that a worker reports.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Start of its incarnation, in milliseconds since the Unix epoch; `None` if not reported.
    pub started_ms: Option<u64>,
    /// Its monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<ReportedRun>,
    /// The first run ends that were not acknowledged yet.
    pub finished: Vec<EndedRun>,
    /// Whether the worker may have more run ends than `finished` lists. A run that is in neither
    /// list may then have ended in any way. Not encoded: the reply of a delegate states it.
    #[serde(skip)]
    pub may_have_more_ends: bool,
    /// Whether it leaves out the runs in progress. Not encoded: the reply of a delegate states it.
    #[serde(skip)]
    pub ends_only: bool,
}

/// Stored state of a worker on which an owner may have left runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkerSnapshot {
    /// The worker.
    pub listed: ListedWorker,
    /// Runs that it may have, if the owner could not reach it and so started nothing more
    /// there. `None` means that its runs are unknown.
    #[serde(rename = "lost")]
    pub unreachable: Option<UnreachableRuns>,
}

/// Runs on an unreachable worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct UnreachableRuns {
    /// Tasks and their run numbers.
    pub runs: Vec<(TaskName, u32)>,
    /// Time left of the worker's lease when the snapshot was taken, in milliseconds.
    pub lease_left_ms: u64,
}

/// A worker and the runs placed on it.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is an independent property of the worker"
)]
pub struct WorkerStatus {
    /// The worker as the platform lists it.
    pub listed: ListedWorker,
    /// Whether the platform still lists it.
    pub present: bool,
    /// Resources that its runs reserve.
    pub used: Resources,
    /// Tasks that run or may run there, with their run numbers. A task may have two runs there, if
    /// a start order of an earlier one was carried out late.
    pub runs: FastSet<(TaskName, u32)>,
    /// Whether it has reported its runs to this owner.
    pub reported: bool,
    /// Whether its runs of earlier owners are known from a snapshot, without a report.
    pub runs_known: bool,
    /// Whether its row is of the incarnation that reports. Otherwise its capacity is not known.
    pub(super) has_current_row: bool,
    /// What is known of the order of its incarnations.
    pub(super) incarnations: IncarnationOrder,
    /// Its newest row, if that is of another incarnation, which has not reported.
    pub(super) held_row: Option<ListedWorker>,
    /// Whether it reports a run of a job that is not known, which uses an unknown part of its
    /// capacity.
    pub(super) has_unknown_runs: bool,
    /// When it last listed its runs, in scheduler milliseconds.
    pub(super) runs_listed_ms: u64,
    /// Whether it has listed all its runs and ends to this owner at some time.
    pub(super) has_listed_all: bool,
    /// Whether the next owner may take the runs in the stored snapshot for all that it has.
    pub recorded_unreachable: bool,
    /// Whether it answered its last call.
    pub reachable: bool,
    /// When it last answered, in scheduler milliseconds.
    pub(super) contact_ms: u64,
    /// When it was first found not to answer since then, in scheduler milliseconds.
    pub(super) silent_since_ms: Option<u64>,
    /// End of its lease, in scheduler milliseconds. Until then runs may go on there without a
    /// report.
    pub lease_until_ms: u64,
    /// Until when runs of earlier owners may go on there, in scheduler milliseconds.
    pub(super) orphans_until_ms: u64,
    /// Highest run end that was applied.
    pub applied_end: u64,
    /// Highest run end that is recorded, as are all before it.
    pub recorded_end: u64,
    /// The run ends after it that were applied, each with its job.
    unrecorded_ends: VecDeque<(u64, JobName)>,
    /// Whether it gets no new tasks because its instance is about to be disrupted.
    pub cordoned: bool,
    /// Whether its instance awaits maintenance by a wave in progress.
    pub(super) pending_maintenance: bool,
    /// Whether an order that disrupts its instance is in flight or confirmed.
    pub(super) disrupting: bool,
    /// Until when its removal from the list is attributed to an order for its instance, which
    /// ended all runs there; in scheduler milliseconds.
    pub(super) disrupted_until_ms: u64,
    /// Whether an earlier attempt at that order may have been carried out before this incarnation
    /// started, so that it goes on.
    pub(super) may_outlive_order: bool,
    /// Controls the pace of its best-effort tasks.
    pub(super) pace_controller: PaceController,
    consecutive_failures: u32,
    ejected_until_ms: u64,
}

impl WorkerStatus {
    /// Creates the status of a worker that has not reported yet. Runs of earlier owners may go on
    /// there until `orphans_until_ms`.
    pub fn new(listed: ListedWorker, orphans_until_ms: u64) -> Self {
        Self {
            listed,
            present: true,
            used: Resources::default(),
            runs: FastSet::default(),
            reported: false,
            runs_known: false,
            has_current_row: true,
            incarnations: IncarnationOrder::default(),
            held_row: None,
            has_unknown_runs: false,
            runs_listed_ms: 0,
            has_listed_all: false,
            recorded_unreachable: false,
            reachable: true,
            contact_ms: 0,
            silent_since_ms: None,
            lease_until_ms: orphans_until_ms,
            orphans_until_ms,
            applied_end: 0,
            recorded_end: 0,
            unrecorded_ends: VecDeque::new(),
            cordoned: false,
            pending_maintenance: false,
            disrupting: false,
            disrupted_until_ms: 0,
            may_outlive_order: false,
            pace_controller: PaceController::default(),
            consecutive_failures: 0,
            ejected_until_ms: 0,
        }
    }

    /// Returns the tasks of its runs.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskName> {
        self.runs.iter().map(|(task, _)| task)
    }

    /// Whether it accepts new tasks.
    pub fn accepts_tasks(&self, now_ms: u64) -> bool {
        self.present
            && self.reported
            && self.has_current_row
            && !self.has_unknown_runs
            && self.reachable
            && !self.recorded_unreachable
            && !self.cordoned
            && !self.listed.draining
            && !self.is_ejected(now_ms)
    }

    /// Whether it gets no tasks for a while because of failures.
    pub(super) fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Whether it may have orphaned runs, which an earlier owner started and this one does not
    /// know, or ends of such runs that it has not listed yet.
    pub(super) fn may_have_orphans(&self, now_ms: u64) -> bool {
        let until_ms = if self.reported {
            self.lease_until_ms
        } else {
            self.orphans_until_ms
        };
        !self.knows_runs() && now_ms <= until_ms
    }

    /// Whether the next owner may take the stored runs for those of this next incarnation. It tells
    /// them apart by the row if that has a later start.
    pub(super) fn is_recorded_for(&self, next: &ListedWorker) -> bool {
        self.recorded_unreachable && next.started_ms <= self.listed.started_ms
    }

    /// Whether all its runs are known, from a report or a snapshot.
    pub(super) fn knows_runs(&self) -> bool {
        self.has_listed_all || self.runs_known
    }

    /// Whether it does not answer, has no other runs than those known, and has listed no end that
    /// is not recorded: the next owner would start its task again.
    pub(super) fn is_silent_with_known_runs(&self, now_ms: u64) -> bool {
        !self.reachable && !self.may_have_orphans(now_ms) && self.has_recorded_ends()
    }

    /// Whether all ends that it listed are recorded.
    pub(super) fn has_recorded_ends(&self) -> bool {
        self.applied_end <= self.recorded_end
    }

    /// Notes that a run end of a job was applied.
    pub(super) fn mark_end_applied(&mut self, number: u64, job: JobName) {
        self.applied_end = number;
        self.unrecorded_ends.push_back((number, job));
    }

    /// Marks the run ends up to `number` as recorded, as far as the progress of their jobs is. An end
    /// can't be acknowledged before those ahead of it.
    pub(super) fn mark_ends_recorded(&mut self, number: u64, unrecorded: &FastSet<JobName>) {
        while let Some((end, job)) = self.unrecorded_ends.front() {
            if *end > number || unrecorded.contains(job) {
                return;
            }
            self.recorded_end = *end;
            self.unrecorded_ends.pop_front();
        }
    }

    /// Records the outcome of a run that was not stopped. Consecutive failures eject the
    /// worker.
    pub fn record_outcome(&mut self, done: bool, now_ms: u64) {
        if done {
            self.consecutive_failures = 0;
            self.ejected_until_ms = 0;
            return;
        }
        self.consecutive_failures += 1;
        if self.consecutive_failures >= EJECTION_FAILURES {
            self.ejected_until_ms = now_ms + EJECTION_MS;
        }
    }

    /// Ejects the worker for a while, as when its tasks stall.
    pub fn eject(&mut self, now_ms: u64) {
        self.ejected_until_ms = now_ms + EJECTION_MS;
    }

    /// Whether it has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.listed.labels.iter().any(|own| &**own == label)
    }
}
