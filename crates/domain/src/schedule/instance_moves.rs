//! Moves of instances between pools as demand rises and falls.

use {
    super::{
        fleet_schedule::FleetSchedule,
        instance_plan::{InstanceOrder, InstancePlan},
        pool_demand::wanted_instances,
        pool_load::PoolLoad,
    },
    crate::{
        collections::{FastMap, FastSet},
        names::{InstanceName, PoolName},
    },
};

/// How long a pool keeps instances after its demand fell, in milliseconds. About half of the
/// users' peaks of some four seconds, so that a lull within a peak does not shrink the pool.
const DEMAND_HOLD_MS: u64 = 2_000;
/// How long a worker has to be idle before its instance may leave the pool, in milliseconds.
const IDLE_RELEASE_MS: u64 = 700;
/// Assumed peak of a pool, as a multiple of its initial size, until a higher one is seen.
/// Operators size pools by their usual load.
const INITIAL_PEAK_FACTOR: usize = 2;

impl InstancePlan {
    pub(super) fn plan_moves(
        &mut self,
        schedule: &FleetSchedule,
        now_ms: u64,
    ) -> Vec<InstanceOrder> {
        let Some(spare) = self.spare.clone() else {
            return Vec::new();
        };
        let loads = schedule.pool_loads(now_ms);
        let mut counts: FastMap<PoolName, usize> = FastMap::default();
        for status in self.instances.values() {
            *counts.entry(status.pool.clone()).or_default() += 1;
        }
        let reserve_count = self.reserve_count(&loads, &counts, &spare);
        let mut shortages: Vec<(usize, PoolName)> = Vec::new();
        let mut lendable: FastMap<PoolName, usize> = FastMap::default();
        let mut returnable: FastMap<PoolName, usize> = FastMap::default();
        for (pool, load) in loads.iter().filter(|(pool, _)| **pool != spare) {
            let wanted = wanted_instances(load);
            let entry = self.wanted.entry(pool.clone()).or_insert((wanted, now_ms));
            if wanted >= entry.0 || now_ms > entry.1 + DEMAND_HOLD_MS {
                *entry = (wanted, now_ms);
            }
            let own = counts.get(pool).copied().unwrap_or_default();
            if wanted > own {
                shortages.push((wanted - own, pool.clone()));
            }
            lendable.insert(pool.clone(), own.saturating_sub(entry.0));
            let kept = entry.0.max(reserve_count);
            returnable.insert(pool.clone(), own.saturating_sub(kept));
        }
        // The pool with the largest shortage comes first.
        shortages.sort_by(|a, b| b.cmp(a));
        let mut free = self.free_instances(&spare);
        let idle = self.idle_instances(&spare);
        let mut lent = FastSet::default();
        let mut orders = Vec::new();
        for (shortage, pool) in shortages {
            for _ in 0..shortage {
                let borrow_idle = || {
                    let (_, instance, from) = idle.iter().find(|(_, instance, from)| {
                        !lent.contains(instance)
                            && lendable.get(from).is_some_and(|count| *count > 0)
                    })?;
                    Some((instance.clone(), Some(from.clone())))
                };
                let Some((instance, from)) =
                    free.pop().map(|free| (free, None)).or_else(borrow_idle)
                else {
                    break;
                };
                if let Some(from) = from {
                    lent.insert(instance.clone());
                    decrement(&mut lendable, &from);
                    decrement(&mut returnable, &from);
                }
                orders.push(InstanceOrder::Move {
                    instance,
                    pool: pool.clone(),
                });
            }
        }
        for (since, instance, from) in idle {
            let idle_long_enough = now_ms >= since + IDLE_RELEASE_MS && !lent.contains(&instance);
            if idle_long_enough && returnable.get(&from).is_some_and(|count| *count > 0) {
                decrement(&mut returnable, &from);
                orders.push(InstanceOrder::Move {
                    instance,
                    pool: spare.clone(),
                });
            }
        }
        orders
    }

    /// Returns how many instances each pool keeps whatever its demand: the highest peak of any
    /// pool, less the orders that the platform accepts within `MOVE_WAIT_MS`, but no more than
    /// an equal share of the fleet.
    fn reserve_count(
        &mut self,
        loads: &FastMap<PoolName, PoolLoad>,
        counts: &FastMap<PoolName, usize>,
        spare: &PoolName,
    ) -> usize {
        for (pool, load) in loads.iter().filter(|(pool, _)| *pool != spare) {
            let initial = counts.get(pool).copied().unwrap_or_default() * INITIAL_PEAK_FACTOR;
            let peak = self.peaks.entry(pool.clone()).or_insert(initial);
            *peak = (*peak).max(wanted_instances(load));
        }
        let peak = self.peaks.values().copied().max().unwrap_or_default();
        let equal_share = self.instances.len() / self.peaks.len().max(1);
        peak.saturating_sub(self.moves_per_wait).min(equal_share)
    }

    /// Returns the instances of the spare pool that may be moved.
    pub(super) fn free_instances(&self, spare: &PoolName) -> Vec<InstanceName> {
        let mut free: Vec<InstanceName> = self
            .instances
            .iter()
            .filter(|(name, status)| status.up && status.pool == *spare && self.accepts_order(name))
            .map(|(name, _)| name.clone())
            .collect();
        free.sort();
        free
    }

    /// Returns the idle instances outside the spare pool, the longest idle first.
    fn idle_instances(&self, spare: &PoolName) -> Vec<(u64, InstanceName, PoolName)> {
        let mut idle: Vec<(u64, InstanceName, PoolName)> = self
            .instances
            .iter()
            .filter(|(name, status)| status.pool != *spare && self.accepts_order(name))
            .filter_map(|(name, status)| {
                Some((status.idle_since_ms?, name.clone(), status.pool.clone()))
            })
            .collect();
        idle.sort();
        idle
    }
}

fn decrement(counts: &mut FastMap<PoolName, usize>, pool: &PoolName) {
    if let Some(count) = counts.get_mut(pool) {
        *count = count.saturating_sub(1);
    }
}
