//! How many instances a pool's work asks for.

use super::fleet_schedule::PoolLoad;

/// Instances that a pool has beyond those that its present work fills, in hundredths of
/// these: the room for work that comes while an instance is under way.
const HEADROOM_PERCENT: u64 = 15;

/// Fewest instances of a pool that is in use, so that one crash leaves room.
const POOL_MIN: usize = 3;

/// Instances that a pool's work fills, with some headroom.
pub(super) fn wanted_instances(load: &PoolLoad) -> usize {
    let filled = |asked: u64, one: u64| {
        let asked = asked + asked * HEADROOM_PERCENT / 100;
        usize::try_from(asked.div_ceil(one.max(1))).unwrap_or(usize::MAX)
    };
    let present = load.reserved_milli + load.waiting_milli;
    let by_processor = filled(present.max(load.arriving_milli), load.worker_milli);
    let by_memory = filled(load.memory_mb, load.worker_memory_mb);
    let count = by_processor.max(by_memory).max(load.spread).max(POOL_MIN);
    // A task that lasts and finds no worker among the open ones needs a further one.
    let apart = if load.lasting_waiting > 0 {
        load.open + load.closed + 1
    } else {
        0
    };
    count.max(apart)
}
