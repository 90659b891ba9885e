//! Which instances move between pools, as their demand rises and falls.

use {
    super::{
        fleet_schedule::{FleetSchedule, PoolLoad},
        instance_plan::{InstanceOrder, InstancePlan},
        pool_need::wanted_instances,
    },
    crate::{
        collections::{FastMap, FastSet},
        names::{InstanceName, PoolName},
    },
};

/// How long a pool keeps instances for demand that it had, in milliseconds. About half of
/// the users' peaks of some four seconds: a lull within a peak empties no pool.
const DEMAND_MEMORY_MS: u64 = 2_000;
/// How long a worker has nothing to do before its instance may leave, in milliseconds.
const IDLE_MS: u64 = 700;
/// How many times its first size a pool is expected to ask for before it was seen: operators
/// size pools by their usual load.
const PEAK_GUESS: usize = 2;

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
        let mut have: FastMap<PoolName, usize> = FastMap::default();
        for seat in self.instances.values() {
            *have.entry(seat.pool.clone()).or_default() += 1;
        }
        let kept_anyway = self.kept_anyway(&loads, &have, &spare);
        let mut lacking: Vec<(usize, PoolName)> = Vec::new();
        let mut lendable: FastMap<PoolName, usize> = FastMap::default();
        let mut returnable: FastMap<PoolName, usize> = FastMap::default();
        for (pool, load) in loads.iter().filter(|(pool, _)| **pool != spare) {
            let now_wanted = wanted_instances(load);
            let entry = self
                .wanted
                .entry(pool.clone())
                .or_insert((now_wanted, now_ms));
            if now_wanted >= entry.0 || now_ms > entry.1 + DEMAND_MEMORY_MS {
                *entry = (now_wanted, now_ms);
            }
            let own = have.get(pool).copied().unwrap_or_default();
            if now_wanted > own {
                lacking.push((now_wanted - own, pool.clone()));
            }
            lendable.insert(pool.clone(), own.saturating_sub(entry.0));
            let kept = entry.0.max(kept_anyway);
            returnable.insert(pool.clone(), own.saturating_sub(kept));
        }
        // The pool that lacks most comes first.
        lacking.sort_by(|a, b| b.cmp(a));
        let mut free = self.free_instances(&spare);
        let idle = self.idle_instances(&spare);
        let mut lent = FastSet::default();
        let mut orders = Vec::new();
        for (lack, pool) in lacking {
            for _ in 0..lack {
                let idle_one = || {
                    let (_, instance, from) = idle.iter().find(|(_, instance, from)| {
                        !lent.contains(instance) && lendable.get(from).is_some_and(|left| *left > 0)
                    })?;
                    Some((instance.clone(), Some(from.clone())))
                };
                let Some((instance, from)) = free.pop().map(|free| (free, None)).or_else(idle_one)
                else {
                    break;
                };
                if let Some(from) = from {
                    lent.insert(instance.clone());
                    take_one(&mut lendable, &from);
                    take_one(&mut returnable, &from);
                }
                orders.push(InstanceOrder::Move {
                    instance,
                    pool: pool.clone(),
                });
            }
        }
        for (since, instance, from) in idle {
            let long = now_ms >= since + IDLE_MS && !lent.contains(&instance);
            if long && returnable.get(&from).is_some_and(|left| *left > 0) {
                take_one(&mut returnable, &from);
                orders.push(InstanceOrder::Move {
                    instance,
                    pool: spare.clone(),
                });
            }
        }
        orders
    }

    /// Instances that each pool keeps, whatever it asks for: what its peak asks for beyond
    /// the orders that the platform takes in a short time, but no more than an equal part
    /// of the fleet.
    fn kept_anyway(
        &mut self,
        loads: &FastMap<PoolName, PoolLoad>,
        have: &FastMap<PoolName, usize>,
        spare: &PoolName,
    ) -> usize {
        for (pool, load) in loads.iter().filter(|(pool, _)| *pool != spare) {
            let first = have.get(pool).copied().unwrap_or_default() * PEAK_GUESS;
            let peak = self.peaks.entry(pool.clone()).or_insert(first);
            *peak = (*peak).max(wanted_instances(load));
        }
        let peak = self.peaks.values().copied().max().unwrap_or_default();
        let equal_part = self.instances.len() / self.peaks.len().max(1);
        peak.saturating_sub(self.reach).min(equal_part)
    }

    fn free_instances(&self, spare: &PoolName) -> Vec<InstanceName> {
        let mut free: Vec<InstanceName> = self
            .instances
            .iter()
            .filter(|(name, seat)| seat.up && seat.pool == *spare && self.may_order(name))
            .map(|(name, _)| name.clone())
            .collect();
        free.sort();
        free
    }

    /// Idle instances outside the spare pool, those first that have been idle longest.
    fn idle_instances(&self, spare: &PoolName) -> Vec<(u64, InstanceName, PoolName)> {
        let mut idle: Vec<(u64, InstanceName, PoolName)> = self
            .instances
            .iter()
            .filter(|(name, seat)| seat.pool != *spare && self.may_order(name))
            .filter_map(|(name, seat)| Some((seat.idle_since_ms?, name.clone(), seat.pool.clone())))
            .collect();
        idle.sort();
        idle
    }
}

fn take_one(left: &mut FastMap<PoolName, usize>, pool: &PoolName) {
    if let Some(left) = left.get_mut(pool) {
        *left = left.saturating_sub(1);
    }
}
