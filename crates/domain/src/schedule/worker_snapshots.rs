//! What the next owner has to know of workers.

use super::{
    fleet_schedule::FleetSchedule,
    live_job::TaskRun,
    worker_status::{ListedWorker, UnreachableRuns, WorkerSnapshot, WorkerStatus},
};

impl FleetSchedule {
    /// What has to be known of the workers after the next takeover.
    pub fn worker_snapshots(&self, now_ms: u64) -> Vec<WorkerSnapshot> {
        let held = self.workers.values().map(|seat| WorkerSnapshot {
            listed: seat.listed.clone(),
            unreachable: (seat.reported && !seat.reachable).then(|| UnreachableRuns {
                runs: seat
                    .runs
                    .iter()
                    .map(|(task, run)| (task.clone(), *run))
                    .collect(),
                lease_left_ms: seat.lease_until_ms.saturating_sub(now_ms),
            }),
        });
        held.collect()
    }

    /// Takes note that a record of the workers is about to be written. A worker recorded as
    /// lost gets nothing new until another record took effect: after a takeover, what the
    /// record names counts as all that runs there.
    pub fn begin_snapshot_write(&mut self, held: &[WorkerSnapshot]) {
        for held in held.iter().filter(|held| held.unreachable.is_some()) {
            if let Some(seat) = self.workers.get_mut(&held.listed.name) {
                seat.recorded_unreachable = true;
            }
        }
    }

    /// Takes note that a record of the workers took effect.
    pub fn finish_snapshot_write(&mut self, held: &[WorkerSnapshot]) {
        for held in held.iter().filter(|held| held.unreachable.is_none()) {
            if let Some(seat) = self.workers.get_mut(&held.listed.name) {
                seat.recorded_unreachable = false;
            }
        }
    }

    /// Takes in what an earlier owner may have left running on a worker.
    pub fn restore_worker(&mut self, held: WorkerSnapshot, now_ms: u64) {
        let name = held.listed.name.clone();
        self.expect_listed(held.listed);
        let Some(unreachable) = held.unreachable else {
            return;
        };
        if let Some(seat) = self.workers.get_mut(&name) {
            seat.runs_known = true;
            seat.recorded_unreachable = true;
            seat.reachable = false;
            seat.lease_until_ms = now_ms + unreachable.lease_left_ms;
        }
        for (task, number) in unreachable.runs {
            let Some(state) = self
                .jobs
                .get_mut(&task.job)
                .and_then(|job| job.task_mut(&task))
            else {
                continue;
            };
            if state.done {
                continue;
            }
            state.last_run = state.last_run.max(number);
            state
                .runs
                .push(TaskRun::unsure(name.clone(), number, now_ms));
            self.reserve(&task, &name, number);
        }
    }

    fn expect_listed(&mut self, listed: ListedWorker) {
        let unseen_until = self.orphans_until_ms;
        let name = listed.name.clone();
        let seat = self.workers.entry(name).or_insert_with(|| {
            let mut seat = WorkerStatus::new(listed, unseen_until);
            seat.present = false;
            seat
        });
        seat.lease_until_ms = seat.lease_until_ms.max(unseen_until);
    }
}
