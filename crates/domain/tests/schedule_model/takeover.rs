//! Takeover: reads the store, restores the schedule and starts the owner's tasks.

use {
    super::{
        fleet_model::FleetModel, owner_process::AUTHORITY_OVERLAP_MS, store_model::InstanceRecord,
        worker_process::LEASE_MAX_MS, worker_tasks::WORKER_LEASE_MS,
    },
    dotterelshore_domain::{
        names::JobName,
        schedule::{
            FleetSchedule, JobRecord, OrderRule, ProgressRecord, WorkerRow, WorkerSnapshot,
        },
    },
    std::collections::BTreeMap,
};

/// Margin for open calls and clock drift in the lease of orphaned runs, in milliseconds.
const ORPHAN_MARGIN_MS: u64 = 500;
/// Run numbers reserved for one term.
const RUNS_PER_TERM: u32 = 1_000;
/// Pause after a failed read, in milliseconds.
const READ_RETRY_PAUSE_MS: u64 = 150;

/// The store's records, each read by a call of its own.
#[derive(Debug, Default)]
struct StoredSchedule {
    snapshots: Vec<WorkerSnapshot>,
    handover: Option<(u32, u64)>,
    workers: (u64, Vec<WorkerRow>),
    progress: BTreeMap<JobName, ProgressRecord>,
    jobs: (u64, Vec<JobRecord>, Vec<JobName>),
    instances: InstanceRecord,
    pending: usize,
}

type Read = fn(&FleetModel, &mut StoredSchedule);

const READS: [Read; 6] = [
    |model, stored| stored.snapshots.clone_from(&model.store.snapshots),
    |model, stored| stored.handover = model.store.handover,
    |model, stored| {
        let workers = model.store.workers.values().cloned().collect();
        stored.workers = (model.store.revision, workers);
    },
    |model, stored| stored.progress.clone_from(&model.store.progress),
    |model, stored| {
        let jobs = model.store.jobs.values().cloned().collect();
        stored.jobs = (model.store.revision, jobs, model.store.cancelled.clone());
    },
    |model, stored| stored.instances = model.store.instances.clone(),
];

impl FleetModel {
    /// Reads all records at once and then leads.
    pub(super) fn take_over(&mut self, owner: usize) {
        // The last one is of the record of orders for instances.
        let reads = &READS[..READS.len() - usize::from(!self.profile.has_waves)];
        let stored = std::rc::Rc::new(std::cell::RefCell::new(StoredSchedule {
            pending: reads.len(),
            ..StoredSchedule::default()
        }));
        for read in reads {
            self.read_stored(owner, *read, std::rc::Rc::clone(&stored));
        }
    }

    fn read_stored(
        &mut self,
        owner: usize,
        read: Read,
        stored: std::rc::Rc<std::cell::RefCell<StoredSchedule>>,
    ) {
        let (there_ms, back_ms) = (self.draw(2..40), self.draw(2..40));
        self.after(there_ms, move |model| {
            if model.is_store_out() {
                model.after_in_owner(owner, READ_RETRY_PAUSE_MS, move |model| {
                    model.read_stored(owner, read, stored);
                });
                return;
            }
            read(model, &mut stored.borrow_mut());
            model.after_in_owner(owner, back_ms, move |model| {
                stored.borrow_mut().pending -= 1;
                if stored.borrow().pending == 0 {
                    model.lead(owner, &stored.take());
                }
            });
        });
    }

    fn lead(&mut self, owner: usize, stored: &StoredSchedule) {
        if self.owners[owner].is_ended {
            return;
        }
        let schedule = self.restore(owner, stored);
        let process = &mut self.owners[owner];
        process.schedule = schedule;
        process.is_restored = true;
        process.worker_revision = stored.workers.0;
        process.job_revision = stored.jobs.0;
        let text = format!("owner {owner} leads, handover {:?}", stored.handover);
        self.oracle.note(None, text);
        self.deliver_jobs(owner);
        self.deliver_workers(owner);
        self.start_planner(owner);
        self.start_snapshot_checks(owner);
        if self.profile.has_waves {
            self.start_instance_task(owner, stored.instances.clone());
        }
    }

    fn restore(&mut self, owner: usize, stored: &StoredSchedule) -> FleetSchedule {
        let (now_ms, wall_ms) = (self.now_ms, self.wall_ms());
        let term = self.owners[owner].term;
        let handed_over = stored
            .handover
            .filter(|(from_term, _)| from_term + 1 == term);
        let lease_left_ms = WORKER_LEASE_MS + WORKER_LEASE_MS / 50 + ORPHAN_MARGIN_MS;
        let orphans_until_ms = match handed_over {
            _ if term == 1 => 0,
            Some((_, orphans_left_ms)) => now_ms + lease_left_ms.max(orphans_left_ms),
            None => now_ms + AUTHORITY_OVERLAP_MS + lease_left_ms,
        };
        let mut schedule =
            FleetSchedule::new(OrderRule::default(), WORKER_LEASE_MS, orphans_until_ms);
        if self.profile.has_unnoticed_restarts || self.profile.has_clock_reads {
            schedule = schedule.with_longest_lease(LEASE_MAX_MS);
        }
        let run_base = if term == 1 { 0 } else { term * RUNS_PER_TERM };
        for record in &stored.jobs.1 {
            let progress = stored.progress.get(&record.name);
            schedule.add_job(record.clone(), progress, run_base, now_ms, wall_ms);
        }
        for job in &stored.jobs.2 {
            schedule.cancel(job, now_ms, wall_ms);
        }
        for snapshot in &stored.snapshots {
            for (task, run) in snapshot.unreachable.iter().flat_map(|rows| &rows.runs) {
                let worker = &snapshot.listed.name;
                let text = format!("owner {owner} restores {task} run {run} at {worker}");
                self.oracle.note(Some(&task.job), text);
            }
            schedule.restore_worker(snapshot.clone(), now_ms);
        }
        schedule.restore_attempts(now_ms);
        let (revision, rows) = &stored.workers;
        schedule.apply_row_list(rows.clone(), *revision, now_ms);
        schedule
    }
}
