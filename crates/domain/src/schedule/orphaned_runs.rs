//! Workers that are not heard, and which of them can't run anything any more.

use {
    super::{
        fleet_schedule::FleetSchedule,
        instance_plan::{InstanceActivity, ListedInstance},
        worker_status::WorkerStatus,
    },
    crate::{
        collections::FastMap,
        names::{InstanceName, PoolName, WorkerName},
    },
};

impl FleetSchedule {
    /// Workers of a pool on which an earlier owner may have left something running that is
    /// not known here.
    pub fn workers_with_orphans(
        &self,
        pool: &PoolName,
        now_ms: u64,
    ) -> impl Iterator<Item = &WorkerStatus> {
        self.workers.values().filter(move |seat| {
            seat.listed.pool == *pool
                && !seat.reported
                && !seat.runs_known
                && now_ms <= seat.lease_until_ms
        })
    }

    /// Ends the lives of unlisted workers whose instance has gone on without them, as the
    /// platform lists it: it moved, is maintained, or carries another life. What ran there
    /// ended with the order, and starts elsewhere at once. Returns these workers.
    pub fn remove_replaced_workers(&mut self, list: &[ListedInstance]) -> Vec<WorkerName> {
        let instances: FastMap<&InstanceName, &ListedInstance> =
            list.iter().map(|row| (&row.name, row)).collect();
        let ended: Vec<_> = self
            .workers
            .values()
            .filter(|seat| !seat.present && (!seat.reported || !seat.reachable))
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

fn is_replaced(seat: &WorkerStatus, row: &ListedInstance) -> bool {
    let other_life = row
        .worker
        .as_ref()
        .is_some_and(|life| *life != seat.listed.name);
    row.activity == InstanceActivity::Disrupted || row.pool != seat.listed.pool || other_life
}
