//! Workers that may have orphaned runs of earlier owners, and those that no longer can.

use {
    super::{
        fleet_schedule::FleetSchedule,
        instance_plan::{InstanceActivity, ListedInstance},
        run_tracking::DropReason,
        worker_status::WorkerStatus,
    },
    crate::{
        collections::FastMap,
        names::{InstanceName, PoolName, WorkerName},
    },
};

impl FleetSchedule {
    /// Returns the workers of a pool that may have orphaned runs.
    pub fn workers_with_orphans(
        &self,
        pool: &PoolName,
        now_ms: u64,
    ) -> impl Iterator<Item = &WorkerStatus> {
        self.workers
            .values()
            .filter(move |status| status.listed.pool == *pool && status.may_have_orphans(now_ms))
    }

    /// Removes unlisted workers whose instance no longer hosts them according to the
    /// platform's list: it moved, is in maintenance or hosts another worker. Their runs ended
    /// with the order for the instance, so that the tasks can start elsewhere at once. Returns
    /// the removed workers.
    pub fn remove_replaced_workers(&mut self, list: &[ListedInstance]) -> Vec<WorkerName> {
        let instances: FastMap<&InstanceName, &ListedInstance> =
            list.iter().map(|row| (&row.name, row)).collect();
        let ended: Vec<_> = self
            .workers
            .values()
            .filter(|status| !status.present && (!status.reported || !status.reachable))
            .filter(|status| {
                let instance = status.listed.instance.as_ref();
                let row = instance.and_then(|instance| instances.get(instance));
                row.is_some_and(|row| is_replaced(status, row))
            })
            .map(|status| status.listed.name.clone())
            .collect();
        for name in &ended {
            self.drop_runs(name, DropReason::InstanceGone);
            self.workers.remove(name);
        }
        ended
    }
}

fn is_replaced(status: &WorkerStatus, row: &ListedInstance) -> bool {
    let has_other_worker = row
        .worker
        .as_ref()
        .is_some_and(|worker| *worker != status.listed.name);
    row.activity == InstanceActivity::Disrupted
        || row.pool != status.listed.pool
        || has_other_worker
}
