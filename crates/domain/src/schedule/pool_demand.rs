//! Number of instances that a pool's load calls for.

use super::pool_load::PoolLoad;

/// Headroom of a pool over its current load, in percent. It serves work that arrives while
/// another instance is being moved in.
const HEADROOM_PERCENT: u64 = 15;

/// Fewest instances of a pool in use, so that room is left after one crash.
const POOL_MIN: usize = 3;

/// Returns the number of instances that a pool's load fills, with headroom.
pub(super) fn wanted_instances(load: &PoolLoad) -> usize {
    let instances_for = |required: u64, per_instance: u64| {
        let headroom = required.saturating_mul(HEADROOM_PERCENT) / 100;
        let required = required.saturating_add(headroom);
        usize::try_from(required.div_ceil(per_instance.max(1))).unwrap_or(usize::MAX)
    };
    let current = load.reserved_milli.saturating_add(load.waiting_milli);
    let by_cpu = instances_for(current.max(load.arriving_milli), load.worker_milli);
    let by_memory = instances_for(load.memory_mb, load.worker_memory_mb);
    let count = by_cpu.max(by_memory).max(load.spread).max(POOL_MIN);
    // A long-running task without room on any available worker needs one more.
    let for_waiting = if load.long_running_waiting > 0 {
        load.available + load.unavailable + 1
    } else {
        0
    };
    count.max(for_waiting)
}
