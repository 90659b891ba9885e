//! Load of the pools and the size of their workers.

use {
    super::{fleet_schedule::FleetSchedule, job_plan::Resources},
    crate::{
        collections::{FastMap, FastSet},
        names::PoolName,
    },
};

/// Load of a pool and the size of its workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Reserved by runs, in thousandths of a core.
    pub reserved_milli: u64,
    /// Requested by ready tasks without a run, in thousandths of a core.
    pub waiting_milli: u64,
    /// Needed to keep up with the arrival rate, in thousandths of a core.
    pub arriving_milli: u64,
    /// Capacity of one worker, in thousandths of a core.
    pub worker_milli: u64,
    /// Memory that runs reserve and ready tasks request, in megabytes.
    pub memory_mb: u64,
    /// Memory of one worker, in megabytes.
    pub worker_memory_mb: u64,
    /// Fewest workers over which the tasks of one long-running step have to be spread.
    pub spread: usize,
    /// Long-running tasks that wait for a worker.
    pub long_running_waiting: usize,
    /// Workers that accept new tasks.
    pub available: usize,
    /// Listed workers that have reported but accept no new tasks.
    pub unavailable: usize,
}

impl PoolLoad {
    fn add_reserved(&mut self, used: Resources) {
        self.reserved_milli = self.reserved_milli.saturating_add(used.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_add(used.memory_mb);
    }

    pub(super) fn add_waiting(&mut self, tasks: u64, need: Resources) {
        let waiting_milli = tasks.saturating_mul(need.cpu_milli);
        self.waiting_milli = self.waiting_milli.saturating_add(waiting_milli);
        let memory_mb = tasks.saturating_mul(need.memory_mb);
        self.memory_mb = self.memory_mb.saturating_add(memory_mb);
    }

    fn fit_worker(&mut self, capacity: Resources) {
        self.worker_milli = self.worker_milli.max(capacity.cpu_milli);
        self.worker_memory_mb = self.worker_memory_mb.max(capacity.memory_mb);
    }

    /// Whether tasks run, wait or arrive.
    fn has_demand(&self) -> bool {
        let milli = self.reserved_milli.max(self.waiting_milli);
        milli.max(self.arriving_milli).max(self.memory_mb) > 0
            || self.spread.max(self.long_running_waiting) > 0
    }
}

impl FleetSchedule {
    /// Returns the load of each pool that has a demand or a worker that has reported. Workers
    /// that have not reported determine a pool's size of workers only if all of them have not.
    pub fn pool_loads(&self, now_ms: u64) -> FastMap<PoolName, PoolLoad> {
        let reported = self.workers.values().filter(|status| status.reported);
        let reporting: FastSet<_> = reported.map(|status| status.listed.pool.clone()).collect();
        let mut loads: FastMap<PoolName, PoolLoad> = FastMap::default();
        for status in self.workers.values() {
            let load = loads.entry(status.listed.pool.clone()).or_default();
            load.add_reserved(status.used);
            if status.reported || !reporting.contains(&status.listed.pool) {
                load.fit_worker(status.listed.capacity);
            }
            if status.accepts_tasks(now_ms) {
                load.available += 1;
            } else if status.present && status.reported {
                load.unavailable += 1;
            }
        }
        for (pool, names) in &self.active {
            let load = loads.entry(pool.clone()).or_default();
            for job in names.iter().filter_map(|name| self.jobs.get(name)) {
                job.add_load(load);
            }
        }
        for (pool, arrivals) in &self.arrivals {
            loads.entry(pool.clone()).or_default().arriving_milli = arrivals.required_milli(now_ms);
        }
        loads.retain(|pool, load| reporting.contains(pool) || load.has_demand());
        let typical_milli = loads.values().map(|load| load.worker_milli).max();
        let typical_memory_mb = loads.values().map(|load| load.worker_memory_mb).max();
        for load in loads.values_mut().filter(|load| load.worker_milli == 0) {
            load.worker_milli = typical_milli.unwrap_or_default();
            load.worker_memory_mb = typical_memory_mb.unwrap_or_default();
        }
        loads
    }
}
