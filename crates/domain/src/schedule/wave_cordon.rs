//! Workers that waves keep from new tasks, and what ends that.

use {
    super::{fleet_schedule::FleetSchedule, worker_status::WorkerStatus},
    crate::{
        collections::FastMap,
        names::{InstanceName, PoolName, WorkerName},
    },
};

/// How long a cordoned instance waits for its tasks to end before they are cut off, in
/// milliseconds. Longer than most of the users' tasks, which take some two seconds.
const DRAIN_TIMEOUT_MS: u64 = 2_500;
/// How long a cordon outlasts the last progress towards the disruption, in milliseconds: the time to
/// relocate one long-running task.
const STALLED_CORDON_MS: u64 = 3_000;
/// How long a worker whose cordon was lifted is not cordoned again, in milliseconds. Its tasks start
/// there again meanwhile, and are not stopped each time.
const RETRY_PAUSE_MS: u64 = 6_000;
/// Part of a pool's workers that may be cordoned at the same time.
const CORDONED_PERCENT: usize = 50;

/// Keeps a worker from new tasks until its instance is disrupted, as long as that gets closer.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaveCordon {
    since_ms: u64,
    progress_ms: u64,
}

impl WaveCordon {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            progress_ms: now_ms,
        }
    }

    /// Whether the tasks that end by themselves have had their time to do so.
    pub(super) fn is_drained(&self, now_ms: u64) -> bool {
        now_ms > self.since_ms + DRAIN_TIMEOUT_MS
    }

    /// Notes progress: a task was stopped, or those that end by themselves have time left.
    pub(super) fn record_progress(&mut self, now_ms: u64) {
        self.progress_ms = now_ms;
    }

    /// Whether there was no progress for so long that the worker is better at work.
    pub(super) fn is_stalled(&self, now_ms: u64) -> bool {
        now_ms >= self.progress_ms + STALLED_CORDON_MS
    }

    /// Returns from when on the worker may be cordoned again, once this cordon is lifted.
    pub(super) fn retry_ms(now_ms: u64) -> u64 {
        now_ms + RETRY_PAUSE_MS
    }
}

/// A worker that gets tasks again, since its wave came no closer to its maintenance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiftedCordon {
    /// The instance that the wave names.
    pub instance: InstanceName,
    /// Its worker.
    pub worker: WorkerName,
}

/// The listed workers of each pool, and how many of them are cordoned.
#[derive(Debug, Default)]
pub(super) struct PoolCordons {
    counts: FastMap<PoolName, (usize, usize)>,
}

impl PoolCordons {
    pub(super) fn of(schedule: &FleetSchedule) -> Self {
        let mut cordons = Self::default();
        for status in schedule.workers().filter(|status| status.present) {
            let pool = status.listed.pool.clone();
            let (listed, cordoned) = cordons.counts.entry(pool).or_default();
            *listed += 1;
            *cordoned += usize::from(status.cordoned);
        }
        cordons
    }

    /// Whether one more worker of a pool may be cordoned: one in any case, and up to half of them.
    pub(super) fn allows(&self, worker: Option<&WorkerStatus>) -> bool {
        let count = worker.and_then(|worker| self.counts.get(&worker.listed.pool));
        count.is_none_or(|(listed, cordoned)| {
            (cordoned + 1) * 100 <= listed * CORDONED_PERCENT || *cordoned == 0
        })
    }

    /// Counts a worker that is about to be cordoned, if it may be. One that is cordoned counts.
    pub(super) fn admit(&mut self, worker: Option<&WorkerStatus>) -> bool {
        let Some(worker) = worker.filter(|worker| worker.present && !worker.cordoned) else {
            return true;
        };
        let is_allowed = self.allows(Some(worker));
        if let Some((_, cordoned)) = self.counts.get_mut(&worker.listed.pool) {
            *cordoned += usize::from(is_allowed);
        }
        is_allowed
    }
}

impl FleetSchedule {
    /// Lets a worker get tasks again, unless an order for its instance was confirmed. The mark of an
    /// unanswered order stays.
    pub(super) fn lift_cordon(&mut self, name: &WorkerName) {
        if let Some(status) = self.workers.get_mut(name) {
            status.cordoned = status.disrupted_until_ms > 0;
        }
    }
}
