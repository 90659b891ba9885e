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
            .filter_map(|status| {
                let instance = status.listed.instance.as_ref()?;
                let row = instances.get(instance)?;
                let name = &status.listed.name;
                is_replaced(status, row).then(|| (name.clone(), is_planned_end(status, row)))
            })
            .collect();
        for (name, is_planned) in &ended {
            if !is_planned {
                self.attribute_crash(name, DropReason::InstanceGone);
            }
            self.drop_runs(name, DropReason::InstanceGone);
            self.remove_worker(name);
        }
        ended.into_iter().map(|(name, _)| name).collect()
    }
}

fn is_replaced(status: &WorkerStatus, row: &ListedInstance) -> bool {
    let has_other_worker = row
        .worker
        .as_ref()
        .is_some_and(|worker| *worker != status.listed.name);
    is_planned_end(status, row) || has_other_worker
}

/// Whether an order for its instance ended a worker.
fn is_planned_end(status: &WorkerStatus, row: &ListedInstance) -> bool {
    row.activity == InstanceActivity::Disrupted || row.pool != status.listed.pool
}
