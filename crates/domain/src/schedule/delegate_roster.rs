//! Which entries carry the owner's calls to which workers.
//!
//! One owner makes all decisions. In a large fleet its processor does not suffice for the calls
//! to all workers, so it hands them to other entries, its delegates.

use {
    crate::{
        collections::{FastMap, FastSet},
        names::{CentreName, EntryName, WorkerName},
    },
    std::cmp::Reverse,
};

/// Workers whose calls an entry can carry with one core, beside its callers.
const WORKERS_PER_CORE: f64 = 150.0;
/// Workers whose calls an entry can carry with one Mbit/s of its network link.
const WORKERS_PER_MBPS: f64 = 4.0;
/// Workers of a fleet, per core of the owner, above which the owner calls none of them itself.
/// It calls all workers of a fleet of half that size.
const FLEET_PER_OWNER_CORE: f64 = 400.0;
/// How long a delegate gets no workers after its first failure, in milliseconds; twice as long
/// after each further one.
const FAILURE_PAUSE_MS: u64 = 3_000;
/// Number of failures after which the pause grows no more.
const FAILURES_MAX: u32 = 5;
/// Failed delegates of one data centre after which the data centre may be cut off, so that its
/// other entries are not tried one after the other.
const CUT_OFF_FAILURES: usize = 2;

/// An entry that may become a delegate.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryResources {
    /// Its name.
    pub name: EntryName,
    /// Its data centre.
    pub centre: CentreName,
    /// Its processor share, in cores.
    pub cores: f64,
    /// Capacity of its network link, in Mbit/s.
    pub link_mbps: f64,
}

impl EntryResources {
    /// Returns the number of workers whose calls the entry can carry.
    fn capacity(&self) -> usize {
        let workers = (self.cores * WORKERS_PER_CORE).min(self.link_mbps * WORKERS_PER_MBPS);
        floor_count(workers)
    }
}

#[derive(Debug)]
struct DelegateStatus {
    resources: EntryResources,
    capacity: usize,
    workers: usize,
    failures: u32,
    available_from_ms: u64,
}

impl DelegateStatus {
    /// Its place in the order for a worker of a data centre; the lowest is chosen.
    fn rank(&self, centre: &CentreName) -> (bool, bool, Reverse<usize>, &EntryName) {
        (
            self.resources.centre != *centre,
            self.workers == 0,
            Reverse(self.capacity),
            &self.resources.name,
        )
    }
}

/// Assigns workers to the entries that carry the owner's calls to them.
#[derive(Debug, Default)]
pub struct DelegateRoster {
    owner_cores: f64,
    delegates: FastMap<EntryName, DelegateStatus>,
    routes: FastMap<WorkerName, EntryName>,
}

impl DelegateRoster {
    /// Creates a roster without delegates, for an owner with this many cores.
    pub fn new(owner_cores: f64) -> Self {
        Self {
            owner_cores,
            ..Self::default()
        }
    }

    /// Adds an entry, or updates one that is known. A restarted entry is available at once.
    pub fn upsert_entry(&mut self, resources: EntryResources) {
        let capacity = resources.capacity();
        let status = self
            .delegates
            .entry(resources.name.clone())
            .or_insert_with(|| DelegateStatus {
                resources: resources.clone(),
                capacity,
                workers: 0,
                failures: 0,
                available_from_ms: 0,
            });
        status.resources = resources;
        status.capacity = capacity;
        status.available_from_ms = 0;
    }

    /// Removes an entry. Its workers are assigned elsewhere.
    pub fn remove_entry(&mut self, name: &EntryName) {
        self.delegates.remove(name);
        self.routes.retain(|_, delegate| delegate != name);
    }

    /// Takes all workers from a delegate that does not answer, for a while.
    pub fn mark_failed(&mut self, name: &EntryName, now_ms: u64) {
        let Some(status) = self.delegates.get_mut(name) else {
            return;
        };
        status.available_from_ms = now_ms + (FAILURE_PAUSE_MS << status.failures);
        status.failures = (status.failures + 1).min(FAILURES_MAX);
        status.workers = 0;
        self.routes.retain(|_, delegate| delegate != name);
    }

    /// Records that a delegate answers.
    pub fn mark_answering(&mut self, name: &EntryName) {
        if let Some(status) = self.delegates.get_mut(name) {
            status.failures = 0;
        }
    }

    /// Takes all workers from a delegate that shuts down. It gets none until its row changes.
    pub fn mark_leaving(&mut self, name: &EntryName) {
        if let Some(status) = self.delegates.get_mut(name) {
            status.available_from_ms = u64::MAX;
            status.workers = 0;
        }
        self.routes.retain(|_, delegate| delegate != name);
    }

    /// Returns the delegate that carries the calls to a worker; `None` if the owner itself calls
    /// it.
    pub fn delegate_of(&self, worker: &WorkerName) -> Option<&EntryName> {
        self.routes.get(worker)
    }

    /// Returns the delegates that have workers.
    pub fn delegates_in_use(&self) -> impl Iterator<Item = &EntryName> {
        let in_use = self
            .delegates
            .iter()
            .filter(|(_, status)| status.workers > 0);
        in_use.map(|(name, _)| name)
    }

    /// Assigns the workers of the fleet. A worker keeps its delegate as long as that is available.
    pub fn assign(&mut self, fleet: &[(WorkerName, CentreName)], now_ms: u64) {
        let present: FastSet<_> = fleet.iter().map(|(name, _)| name).collect();
        self.routes.retain(|worker, _| present.contains(worker));
        self.count_workers();
        self.assign_new(fleet, fleet.len(), now_ms);
    }

    /// Assigns those of some workers that have no delegate, in a fleet of this size.
    pub fn assign_new(&mut self, new: &[(WorkerName, CentreName)], fleet_size: usize, now_ms: u64) {
        let own_share = self.own_share(fleet_size);
        let direct: Vec<_> = new
            .iter()
            .filter(|(name, _)| !self.routes.contains_key(name))
            .collect();
        let called_by_owner = fleet_size.saturating_sub(self.routes.len());
        let excess = match own_share {
            // Routes of workers that left since the last assignment count until the next.
            0 => direct.len(),
            _ => called_by_owner.saturating_sub(own_share),
        };
        let cut_off = self.centres_cut_off(now_ms);
        for (worker, centre) in direct.into_iter().rev().take(excess) {
            let Some(delegate) = self.choose_delegate(centre, &cut_off, now_ms) else {
                return;
            };
            if let Some(status) = self.delegates.get_mut(&delegate) {
                status.workers += 1;
            }
            self.routes.insert(worker.clone(), delegate);
        }
    }

    /// Returns how many workers of a fleet the owner calls itself: all of a small fleet, and none
    /// of a large one, where planning needs its processor.
    fn own_share(&self, fleet: usize) -> usize {
        let limit = floor_count(self.owner_cores * FLEET_PER_OWNER_CORE);
        limit.saturating_sub(fleet).min(limit / 2)
    }

    fn count_workers(&mut self) {
        for status in self.delegates.values_mut() {
            status.workers = 0;
        }
        for delegate in self.routes.values() {
            if let Some(status) = self.delegates.get_mut(delegate) {
                status.workers += 1;
            }
        }
    }

    /// Returns the data centres of which several delegates failed.
    fn centres_cut_off(&self, now_ms: u64) -> FastSet<CentreName> {
        let mut failed: FastMap<&CentreName, usize> = FastMap::default();
        for status in self.delegates.values() {
            if now_ms < status.available_from_ms && status.failures > 0 {
                *failed.entry(&status.resources.centre).or_default() += 1;
            }
        }
        let cut_off = failed
            .into_iter()
            .filter(|(_, count)| *count >= CUT_OFF_FAILURES);
        cut_off.map(|(centre, _)| centre.clone()).collect()
    }

    /// Chooses a delegate with room: one of the worker's data centre first, then one that has
    /// workers already, so that the owner talks to few.
    fn choose_delegate(
        &self,
        centre: &CentreName,
        cut_off: &FastSet<CentreName>,
        now_ms: u64,
    ) -> Option<EntryName> {
        let has_room = |status: &&DelegateStatus| {
            status.workers < status.capacity
                && now_ms >= status.available_from_ms
                && !cut_off.contains(&status.resources.centre)
        };
        let in_rank =
            |a: &&DelegateStatus, b: &&DelegateStatus| a.rank(centre).cmp(&b.rank(centre));
        let chosen = self.delegates.values().filter(has_room).min_by(in_rank)?;
        Some(chosen.resources.name.clone())
    }
}

/// Rounds a number of workers down; 0 if it is negative or no number.
fn floor_count(workers: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates"
    )]
    let count = workers as usize;
    count
}
