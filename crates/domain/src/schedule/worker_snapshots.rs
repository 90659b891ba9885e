//! Snapshots of the workers for the next owner.

use {
    super::{
        fleet_schedule::FleetSchedule,
        snapshot_shard::SnapshotShard,
        task_run::TaskRun,
        worker_status::{ListedWorker, UnreachableRuns, WorkerSnapshot, WorkerStatus},
    },
    crate::{collections::FastSet, names::WorkerName},
};

impl FleetSchedule {
    /// Returns the snapshots of all workers for the next owner.
    pub fn worker_snapshots(&self, now_ms: u64) -> Vec<WorkerSnapshot> {
        let statuses = self.workers.values();
        statuses.map(|status| snapshot(status, now_ms)).collect()
    }

    /// Returns the snapshots of the workers in some shards.
    pub fn snapshots_in(&self, shards: &[SnapshotShard], now_ms: u64) -> Vec<WorkerSnapshot> {
        let statuses = self.workers.values().filter(|status| {
            let shard = SnapshotShard::of_worker(&status.listed.name);
            shards.contains(&shard)
        });
        statuses.map(|status| snapshot(status, now_ms)).collect()
    }

    /// Marks the workers that a snapshot about to be written lists as unreachable. Such a
    /// worker gets no new tasks until another snapshot is stored: after a takeover, the runs
    /// in the snapshot count as all that it has.
    pub fn begin_snapshot_write(&mut self, snapshots: &[WorkerSnapshot]) {
        for snapshot in snapshots
            .iter()
            .filter(|snapshot| snapshot.unreachable.is_some())
        {
            if let Some(status) = self.workers.get_mut(&snapshot.listed.name) {
                status.recorded_unreachable = true;
            }
        }
    }

    /// Marks a snapshot as stored, which lets the workers that it does not list as unreachable
    /// get tasks again. It holds all workers of its shards.
    pub fn finish_snapshot_write(&mut self, snapshots: &[WorkerSnapshot]) {
        let stored = snapshots.iter();
        let shards: FastSet<_> = stored
            .map(|snapshot| SnapshotShard::of_worker(&snapshot.listed.name))
            .collect();
        let unreachable: FastSet<_> = snapshots
            .iter()
            .filter(|snapshot| snapshot.unreachable.is_some())
            .map(|snapshot| &snapshot.listed.name)
            .collect();
        self.departed_unreachable.retain(|name| {
            !shards.contains(&SnapshotShard::of_worker(name)) || unreachable.contains(name)
        });
        for snapshot in snapshots
            .iter()
            .filter(|snapshot| snapshot.unreachable.is_none())
        {
            if let Some(status) = self.workers.get_mut(&snapshot.listed.name) {
                status.recorded_unreachable = false;
            }
        }
    }

    /// Removes a worker. A stored snapshot may still list it as unreachable.
    pub(super) fn remove_worker(&mut self, name: &WorkerName) {
        let status = self.workers.get(name);
        if status.is_some_and(|status| status.recorded_unreachable) {
            self.departed_unreachable.insert(name.clone());
        }
        self.workers.remove(name);
    }

    /// Restores a worker and the runs that an earlier owner may have left there.
    pub fn restore_worker(&mut self, snapshot: WorkerSnapshot, now_ms: u64) {
        let name = snapshot.listed.name.clone();
        self.restore_listed(snapshot.listed);
        let Some(unreachable) = snapshot.unreachable else {
            return;
        };
        if let Some(status) = self.workers.get_mut(&name) {
            status.runs_known = true;
            status.recorded_unreachable = true;
            status.reachable = false;
            status.lease_until_ms = now_ms + unreachable.lease_left_ms;
        }
        for (task, number) in unreachable.runs {
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            if job.is_closed(task.occurrence) {
                continue;
            }
            job.open_task(&task);
            let Some(state) = job.task_mut(&task) else {
                continue;
            };
            if state.done {
                continue;
            }
            state.last_run = state.last_run.max(number);
            state
                .runs
                .push(TaskRun::restored(name.clone(), number, now_ms));
            self.reserve(&task, &name, number);
        }
    }

    fn restore_listed(&mut self, listed: ListedWorker) {
        let orphans_until_ms = self.orphans_until_ms;
        let name = listed.name.clone();
        let status = self.workers.get_or_insert_with(name, || {
            let mut status = WorkerStatus::new(listed, orphans_until_ms);
            status.present = false;
            status
        });
        status.lease_until_ms = status.lease_until_ms.max(orphans_until_ms);
        status.orphans_until_ms = orphans_until_ms;
    }
}

fn snapshot(status: &WorkerStatus, now_ms: u64) -> WorkerSnapshot {
    let unreachable = status
        .is_silent_with_known_runs(now_ms)
        .then(|| UnreachableRuns {
            runs: status.runs.iter().cloned().collect(),
            lease_left_ms: status.lease_until_ms.saturating_sub(now_ms),
        });
    WorkerSnapshot {
        listed: status.listed.clone(),
        unreachable,
    }
}
