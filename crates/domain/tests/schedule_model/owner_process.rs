//! A process that owns the schedule, with the state of its tasks.

use {
    super::instance_orders::InstanceTask,
    dotterelshore_domain::{
        names::WorkerName,
        schedule::{FleetSchedule, StartOrder, StopOrder, StoredSnapshots, WorkerClock},
    },
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// How long an owner may give orders after its last successful renewal, in milliseconds.
pub(super) const AUTHORITY_MS: u64 = 3_800;
/// Lease of the owner's key, in milliseconds.
pub(super) const OWNER_LEASE_MS: u64 = 1_200;
/// How long an owner may still give orders after another claim, in milliseconds.
pub(super) const AUTHORITY_OVERLAP_MS: u64 = AUTHORITY_MS - OWNER_LEASE_MS;

/// The tasks of a worker.
#[derive(Debug)]
pub(super) struct WorkerTasks {
    /// Distinguishes these tasks from later ones of the same worker.
    pub(super) number: u64,
    pub(super) starts: VecDeque<StartOrder>,
    pub(super) is_starting: bool,
    pub(super) stops: VecDeque<StopOrder>,
    pub(super) stops_in_flight: usize,
    /// The worker's clock, and when it was read.
    pub(super) reading: Option<(u64, u64)>,
    /// Its clock, if leases are timed only by a fresh reading.
    pub(super) clock: WorkerClock,
    pub(super) is_unreachable: bool,
    pub(super) started_ms: u64,
}

/// The state of the task that records progress.
#[derive(Debug, Default)]
pub(super) struct RecorderState {
    pub(super) due_ms: Option<u64>,
    pub(super) is_writing: bool,
    pub(super) is_notified: bool,
    pub(super) last_write_ms: u64,
}

/// The state of the task that stores the snapshots.
#[derive(Debug, Default)]
pub(super) struct SnapshotState {
    pub(super) stored: Option<BTreeSet<(WorkerName, bool)>>,
    pub(super) is_busy: bool,
    pub(super) is_notified: bool,
    /// The shards that are stored, if the snapshots are stored in shards.
    pub(super) shards: StoredSnapshots,
    pub(super) is_check_due: bool,
}

/// A process from its claim on.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is an independent property of the process"
)]
pub(super) struct OwnerProcess {
    pub(super) schedule: FleetSchedule,
    pub(super) token: u64,
    pub(super) term: u32,
    pub(super) authority_until_ms: u64,
    pub(super) frozen_until_ms: u64,
    pub(super) is_restored: bool,
    /// Whether its ownership has ended.
    pub(super) is_ended: bool,
    pub(super) is_killed: bool,
    pub(super) tasks: BTreeMap<WorkerName, WorkerTasks>,
    pub(super) is_plan_notified: bool,
    pub(super) is_planning: bool,
    pub(super) recorder: RecorderState,
    pub(super) snapshots: SnapshotState,
    pub(super) instances: InstanceTask,
    /// Store revisions up to which the two watches have delivered.
    pub(super) job_revision: u64,
    pub(super) worker_revision: u64,
}

impl OwnerProcess {
    pub(super) fn new(token: u64, term: u32, sent_ms: u64) -> Self {
        Self {
            schedule: FleetSchedule::default(),
            token,
            term,
            authority_until_ms: sent_ms + AUTHORITY_MS,
            frozen_until_ms: 0,
            is_restored: false,
            is_ended: false,
            is_killed: false,
            tasks: BTreeMap::new(),
            is_plan_notified: false,
            is_planning: false,
            recorder: RecorderState::default(),
            snapshots: SnapshotState::default(),
            instances: InstanceTask::default(),
            job_revision: 0,
            worker_revision: 0,
        }
    }

    pub(super) fn has_authority(&self, now_ms: u64) -> bool {
        !self.is_ended && now_ms < self.authority_until_ms
    }

    pub(super) fn sole_owner_until_ms(&self) -> u64 {
        self.authority_until_ms.saturating_sub(AUTHORITY_OVERLAP_MS)
    }

    /// Whether its tasks run: after the takeover, until its ownership ends.
    pub(super) fn leads(&self) -> bool {
        self.is_restored && !self.is_ended
    }
}
