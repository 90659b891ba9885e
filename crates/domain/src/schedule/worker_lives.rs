//! Workers that are not heard, and which of them can't run anything any more.

use {
    super::{
        fleet_schedule::FleetSchedule,
        instance_plan::{InstanceActivity, ListedInstance},
        worker_seat::WorkerSeat,
    },
    crate::{
        collections::FastMap,
        names::{InstanceName, PoolName, WorkerName},
    },
};

impl FleetSchedule {
    /// Workers of a pool on which an earlier owner may have left something running that is
    /// not known here.
    pub fn unseen_workers(
        &self,
        pool: &PoolName,
        now_ms: u64,
    ) -> impl Iterator<Item = &WorkerSeat> {
        self.workers.values().filter(move |seat| {
            seat.listed.pool == *pool
                && !seat.heard
                && !seat.accounted
                && now_ms <= seat.lease_until_ms
        })
    }

    /// Ends the lives of unlisted workers whose instance has gone on without them, as the
    /// platform lists it: it moved, is maintained, or carries another life. What ran there
    /// ended with the order, and starts elsewhere at once. Returns these workers.
    pub fn end_replaced_lives(&mut self, list: &[ListedInstance]) -> Vec<WorkerName> {
        let instances: FastMap<&InstanceName, &ListedInstance> =
            list.iter().map(|row| (&row.name, row)).collect();
        let ended: Vec<_> = self
            .workers
            .values()
            .filter(|seat| !seat.present && (!seat.heard || !seat.reachable))
            .filter(|seat| {
                let instance = seat.listed.instance.as_ref();
                let row = instance.and_then(|instance| instances.get(instance));
                row.is_some_and(|row| is_replaced(seat, row))
            })
            .map(|seat| seat.listed.name.clone())
            .collect();
        for name in &ended {
            self.release_all(name);
            self.workers.remove(name);
        }
        ended
    }
}

fn is_replaced(seat: &WorkerSeat, row: &ListedInstance) -> bool {
    let other_life = row
        .worker
        .as_ref()
        .is_some_and(|life| *life != seat.listed.name);
    row.activity == InstanceActivity::Away || row.pool != seat.listed.pool || other_life
}
