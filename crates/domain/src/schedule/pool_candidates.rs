//! The workers of each pool that accept tasks, in the order in which they are chosen.

use {
    super::{job_plan::Resources, worker_status::WorkerStatus},
    crate::{
        collections::{FastMap, FastSet},
        names::{PoolName, WorkerName},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// A worker that accepts tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Candidate {
    pub(super) name: WorkerName,
    /// Resources that its runs reserve.
    pub(super) used: Resources,
    pub(super) capacity: Resources,
    pub(super) pending_maintenance: bool,
}

impl Candidate {
    /// Whether a need fits beside what its runs reserve.
    pub(super) fn has_room(&self, need: Resources) -> bool {
        need.fits(self.used, self.capacity)
    }

    fn free(&self) -> Resources {
        let mut free = self.capacity;
        free -= self.used;
        free
    }
}

/// Levels by which free processor and free memory are told apart. A search looks at the candidates
/// of one level one by one, and passes over those below.
const LEVELS: u64 = 32;

/// Candidates with about as much free: whether their instances await maintenance, and the levels of
/// their free processor and memory.
type RoomCell = (bool, u64, u64);

/// The candidates of one pool. Those of which the least processor is free come first, so that large
/// tasks find room too and idle instances can leave the pool; those with pending maintenance come
/// last.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolCandidates {
    candidates: FastMap<WorkerName, Candidate>,
    /// By cell, the free processor of each candidate in thousandths of a core, and its name.
    cells: BTreeMap<RoomCell, BTreeSet<(u64, WorkerName)>>,
    in_use: Resources,
    capacity: Resources,
    /// The most that a candidate has had of each resource, which sets the size of the levels.
    largest: Resources,
}

impl FromIterator<Candidate> for PoolCandidates {
    fn from_iter<I: IntoIterator<Item = Candidate>>(iter: I) -> Self {
        let mut candidates = Self::default();
        for candidate in iter {
            candidates.insert(candidate);
        }
        candidates
    }
}

impl PoolCandidates {
    /// Adds a candidate, or replaces what is known of it.
    pub(super) fn insert(&mut self, candidate: Candidate) {
        if self.candidates.get(&candidate.name) == Some(&candidate) {
            return;
        }
        self.remove(&candidate.name);
        self.fit_levels(candidate.capacity);
        self.in_use += candidate.used;
        self.capacity += candidate.capacity;
        self.enter_cell(&candidate);
        self.candidates.insert(candidate.name.clone(), candidate);
    }

    pub(super) fn remove(&mut self, name: &WorkerName) {
        let Some(candidate) = self.candidates.remove(name) else {
            return;
        };
        let cell = self.cell_of(&candidate);
        if let Some(members) = self.cells.get_mut(&cell) {
            members.remove(&(candidate.free().cpu_milli, candidate.name));
            if members.is_empty() {
                self.cells.remove(&cell);
            }
        }
        self.in_use -= candidate.used;
        self.capacity -= candidate.capacity;
    }

    /// Reserves resources on a candidate.
    pub(super) fn reserve(&mut self, name: &WorkerName, need: Resources) {
        if let Some(mut candidate) = self.candidates.get(name).cloned() {
            candidate.used += need;
            self.insert(candidate);
        }
    }

    /// Enlarges the levels for a candidate of this capacity.
    fn fit_levels(&mut self, capacity: Resources) {
        if capacity.fits(Resources::default(), self.largest) {
            return;
        }
        self.largest.cpu_milli = self.largest.cpu_milli.max(capacity.cpu_milli);
        self.largest.memory_mb = self.largest.memory_mb.max(capacity.memory_mb);
        self.largest.gpus = self.largest.gpus.max(capacity.gpus);
        self.cells.clear();
        let candidates = std::mem::take(&mut self.candidates);
        for candidate in candidates.values() {
            self.enter_cell(candidate);
        }
        self.candidates = candidates;
    }

    fn enter_cell(&mut self, candidate: &Candidate) {
        let member = (candidate.free().cpu_milli, candidate.name.clone());
        let cell = self.cell_of(candidate);
        self.cells.entry(cell).or_default().insert(member);
    }

    fn cell_of(&self, candidate: &Candidate) -> RoomCell {
        let (cpu_level, memory_level) = self.levels(candidate.free());
        (candidate.pending_maintenance, cpu_level, memory_level)
    }

    /// Returns the levels of an amount of processor and memory.
    fn levels(&self, amount: Resources) -> (u64, u64) {
        let level = |amount: u64, largest: u64| amount.saturating_mul(LEVELS) / largest.max(1);
        (
            level(amount.cpu_milli, self.largest.cpu_milli),
            level(amount.memory_mb, self.largest.memory_mb),
        )
    }

    pub(super) fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Returns all candidates, in any order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.values()
    }

    /// Returns the cells that may have room for a need, in their order.
    fn cells_with_room(
        &self,
        need: Resources,
    ) -> impl Iterator<Item = (&RoomCell, &BTreeSet<(u64, WorkerName)>)> {
        let (cpu_level, memory_level) = self.levels(need);
        let cells = [false, true].into_iter().flat_map(move |is_pending| {
            let with_processor = (is_pending, cpu_level, 0)..=(is_pending, u64::MAX, u64::MAX);
            self.cells.range(with_processor)
        });
        cells.filter(move |((_, _, memory), _)| *memory >= memory_level)
    }

    /// Returns the candidates that have room for a need, about in their order.
    pub(super) fn with_room(&self, need: Resources) -> impl Iterator<Item = &Candidate> {
        let members = self.cells_with_room(need).flat_map(|(_, members)| members);
        members
            .map(|(_, name)| &self.candidates[name])
            .filter(move |candidate| candidate.has_room(need))
    }

    /// Returns the first candidate that has room for a need and is accepted.
    pub(super) fn first_with_room(
        &self,
        need: Resources,
        mut accepts: impl FnMut(&Candidate) -> bool,
    ) -> Option<&Candidate> {
        let mut first: Option<(bool, u64, u64, &Candidate)> = None;
        for ((is_pending, cpu_level, _), members) in self.cells_with_room(need) {
            if first
                .is_some_and(|(pending, level, ..)| (pending, level) != (*is_pending, *cpu_level))
            {
                break;
            }
            for (free_milli, name) in members {
                if first.is_some_and(|(_, _, least_milli, _)| least_milli <= *free_milli) {
                    break;
                }
                let candidate = &self.candidates[name];
                if candidate.has_room(need) && accepts(candidate) {
                    first = Some((*is_pending, *cpu_level, *free_milli, candidate));
                    break;
                }
            }
        }
        first.map(|(.., candidate)| candidate)
    }

    /// Returns the resources in use and the capacity of all candidates.
    pub(super) fn totals(&self) -> (Resources, Resources) {
        (self.in_use, self.capacity)
    }
}

/// The candidates of all pools, kept between planning passes.
#[derive(Debug, Clone, Default)]
pub(super) struct FleetCandidates {
    pools: FastMap<PoolName, PoolCandidates>,
    pool_of: FastMap<WorkerName, PoolName>,
    /// Workers that accept tasks again after some time, by no change of theirs.
    ejected: FastSet<WorkerName>,
}

impl FleetCandidates {
    /// Updates what is known of a worker; `None` if it is gone.
    pub(super) fn update(&mut self, name: &WorkerName, status: Option<&WorkerStatus>, now_ms: u64) {
        let accepting = status.filter(|status| status.accepts_tasks(now_ms));
        self.ejected.remove(name);
        if status.is_some_and(|status| accepting.is_none() && status.is_ejected(now_ms)) {
            self.ejected.insert(name.clone());
        }
        let pool = accepting.map(|status| &status.listed.pool);
        if self.pool_of.get(name) != pool
            && let Some(earlier) = self.pool_of.remove(name)
            && let Some(candidates) = self.pools.get_mut(&earlier)
        {
            candidates.remove(name);
        }
        let Some(status) = accepting else {
            return;
        };
        let pool = status.listed.pool.clone();
        let candidate = Candidate {
            name: name.clone(),
            used: status.used,
            capacity: status.listed.capacity,
            pending_maintenance: status.pending_maintenance,
        };
        self.pools
            .entry(pool.clone())
            .or_default()
            .insert(candidate);
        self.pool_of.insert(name.clone(), pool);
    }

    /// Takes the workers that accept tasks again after some time.
    pub(super) fn take_ejected(&mut self) -> FastSet<WorkerName> {
        std::mem::take(&mut self.ejected)
    }

    /// Takes the candidates of a pool.
    pub(super) fn take_pool(&mut self, pool: &PoolName) -> PoolCandidates {
        self.pools.remove(pool).unwrap_or_default()
    }

    /// Returns the candidates of a pool that were taken.
    pub(super) fn return_pool(&mut self, pool: &PoolName, candidates: PoolCandidates) {
        self.pools.insert(pool.clone(), candidates);
    }
}

/// Returns the resources in use and the capacity of some candidates.
pub(super) fn use_of(candidates: &[Candidate]) -> (Resources, Resources) {
    let mut in_use = Resources::default();
    let mut capacity = Resources::default();
    for candidate in candidates {
        in_use += candidate.used;
        capacity += candidate.capacity;
    }
    (in_use, capacity)
}
