//! Parts of the worker snapshots that are stored by themselves, so that a change of one worker
//! does not write the snapshots of the whole fleet.

use {
    super::{fleet_schedule::FleetSchedule, worker_status::WorkerSnapshot},
    crate::{
        collections::{FastMap, FastSet},
        names::WorkerName,
    },
    std::{borrow::Cow, fmt},
};

/// Number of shards. A shard of the largest planned fleet has some eighty workers.
const SHARDS: u8 = 64;

/// Most runs that one shard lists, some 60 bytes each: a shard has to fit in a value of the store, and
/// those of one write in its link's time.
const RUNS_MAX: usize = 2_000;

/// A part of the worker snapshots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SnapshotShard(u8);

impl SnapshotShard {
    /// Returns the shard of a worker, by a hash of its name.
    pub fn of_worker(name: &WorkerName) -> Self {
        let hash = name
            .as_str()
            .bytes()
            .fold(0u8, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte));
        Self(hash % SHARDS)
    }

    /// Returns all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }
}

/// Returns snapshots as they are stored: a shard whose workers have too many runs leaves out the
/// longest lists. To the next owner these workers may have any runs until their leases end.
pub fn storable_snapshots(snapshots: &[WorkerSnapshot]) -> Cow<'_, [WorkerSnapshot]> {
    if snapshots.iter().map(run_count).sum::<usize>() <= RUNS_MAX {
        return Cow::Borrowed(snapshots);
    }
    let mut storable = snapshots.to_vec();
    storable.sort_by_cached_key(|snapshot| {
        let shard = SnapshotShard::of_worker(&snapshot.listed.name);
        (shard, run_count(snapshot))
    });
    for shard in storable.chunk_by_mut(|one, next| {
        SnapshotShard::of_worker(&one.listed.name) == SnapshotShard::of_worker(&next.listed.name)
    }) {
        let mut runs = 0;
        for snapshot in shard {
            runs += run_count(snapshot);
            if runs > RUNS_MAX {
                snapshot.unreachable = None;
            }
        }
    }
    Cow::Owned(storable)
}

fn run_count(snapshot: &WorkerSnapshot) -> usize {
    let unreachable = snapshot.unreachable.as_ref();
    unreachable.map_or(0, |unreachable| unreachable.runs.len())
}

impl fmt::Display for SnapshotShard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The workers of the snapshots that are stored, and whether they are listed there as unreachable.
#[derive(Debug, Default)]
pub struct StoredSnapshots {
    workers: FastMap<WorkerName, bool>,
    /// Shards whose last write succeeded.
    written: FastSet<SnapshotShard>,
}

impl StoredSnapshots {
    /// Whether a worker is in a stored snapshot.
    pub fn contains(&self, worker: &WorkerName) -> bool {
        self.workers.contains_key(worker)
    }

    /// Whether the last write of every shard succeeded.
    pub fn is_complete(&self) -> bool {
        self.written.len() == usize::from(SHARDS)
    }

    /// Returns the shards of those of some workers that no stored snapshot has as reachable.
    pub fn shards_without(&self, workers: &[WorkerName]) -> Vec<SnapshotShard> {
        let missing = workers
            .iter()
            .filter(|name| self.workers.get(*name) != Some(&false));
        let mut shards: Vec<_> = missing.map(SnapshotShard::of_worker).collect();
        shards.sort_unstable();
        shards.dedup();
        shards
    }

    /// Returns the shards that differ from the schedule, or whose last write may have failed.
    pub fn outdated_shards(&self, schedule: &FleetSchedule, now_ms: u64) -> Vec<SnapshotShard> {
        let mut outdated: FastSet<_> = SnapshotShard::all()
            .filter(|shard| !self.written.contains(shard))
            .collect();
        for status in schedule.workers() {
            let name = &status.listed.name;
            if self.workers.get(name) != Some(&status.is_silent_with_known_runs(now_ms)) {
                outdated.insert(SnapshotShard::of_worker(name));
            }
        }
        let gone = self.workers.keys();
        let gone = gone.filter(|name| schedule.worker(name).is_none());
        outdated.extend(gone.map(SnapshotShard::of_worker));
        let mut outdated: Vec<_> = outdated.into_iter().collect();
        outdated.sort_unstable();
        outdated
    }

    /// Marks shards whose write begins: until it succeeds, they are outdated.
    pub fn begin_write(&mut self, shards: &[SnapshotShard]) {
        self.written.retain(|shard| !shards.contains(shard));
    }

    /// Records that shards were stored with these snapshots.
    pub fn finish_write(&mut self, shards: &[SnapshotShard], snapshots: &[WorkerSnapshot]) {
        self.workers
            .retain(|name, _| !shards.contains(&SnapshotShard::of_worker(name)));
        let stored = snapshots.iter();
        let stored = stored.map(|snapshot| {
            let is_unreachable = snapshot.unreachable.is_some();
            (snapshot.listed.name.clone(), is_unreachable)
        });
        self.workers.extend(stored);
        self.written.extend(shards);
    }
}
