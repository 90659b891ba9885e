//! The owner's records as the product keeps them: progress in several chains, and the snapshots of
//! the workers in shards.

use {
    super::{
        fleet_model::FleetModel,
        store_model::{OwnerWrite, PROGRESS_CHAINS},
    },
    dotterelshore_domain::{
        collections::FastSet,
        names::{JobName, WorkerName},
        schedule::{ProgressRecord, SnapshotShard},
    },
    std::{cell::RefCell, collections::BTreeMap, rc::Rc},
};

/// Shards that one transaction writes.
const SHARDS_PER_WRITE: usize = 24;
/// Pause after the snapshots could not be stored, in milliseconds.
const SNAPSHOT_RETRY_MS: u64 = 200;

type Continuation = Box<dyn FnOnce(&mut FleetModel, bool)>;

/// Progress that several chains record at the same time.
struct OpenRecord {
    open_chains: usize,
    ends: Vec<(WorkerName, u64, u64)>,
    unrecorded: FastSet<JobName>,
    then: Option<Continuation>,
}

impl FleetModel {
    /// Records all progress so far, each chain by a write of its own.
    pub(super) fn record_in_chains(&mut self, owner: usize, then: Continuation) {
        let batch = self.owners[owner].schedule.take_progress_batch();
        let mut chains: BTreeMap<usize, BTreeMap<JobName, ProgressRecord>> = BTreeMap::new();
        for (job, progress) in batch.records {
            let chain = chains.entry(chain_of(&job)).or_default();
            chain.insert(job, progress);
        }
        let record = Rc::new(RefCell::new(OpenRecord {
            open_chains: chains.len(),
            ends: batch.ends,
            unrecorded: FastSet::default(),
            then: Some(then),
        }));
        if chains.is_empty() {
            self.finish_chains(owner, &record);
        }
        for (chain, records) in chains {
            let record = Rc::clone(&record);
            let write = OwnerWrite::ChainedProgress(chain, records.clone().into_iter().collect());
            self.commit(owner, write, move |model, recorded| {
                if recorded {
                    model.mark_chain_recorded(owner, &records);
                } else {
                    for job in records.keys() {
                        model.owners[owner].schedule.requeue_progress(job);
                    }
                    record.borrow_mut().unrecorded.extend(records.into_keys());
                }
                record.borrow_mut().open_chains -= 1;
                model.finish_chains(owner, &record);
            });
        }
    }

    fn mark_chain_recorded(&mut self, owner: usize, records: &BTreeMap<JobName, ProgressRecord>) {
        let schedule = &mut self.owners[owner].schedule;
        for (job, progress) in records {
            schedule.mark_job_recorded(job, progress);
        }
        if records.values().any(|progress| progress.attempts() > 0) {
            self.notify_planner(owner);
        }
    }

    fn finish_chains(&mut self, owner: usize, record: &RefCell<OpenRecord>) {
        let (then, is_recorded) = {
            let mut record = record.borrow_mut();
            if record.open_chains > 0 {
                return;
            }
            let schedule = &mut self.owners[owner].schedule;
            schedule.mark_ends_recorded(&record.ends, &record.unrecorded);
            (record.then.take(), record.unrecorded.is_empty())
        };
        if let Some(then) = then {
            then(self, is_recorded);
        }
    }

    /// Compares the stored shards with the schedule.
    pub(super) fn check_shards(&mut self, owner: usize) {
        self.owners[owner].snapshots.is_check_due = true;
        self.maintain_shards(owner);
    }

    /// Wakes the task that stores the snapshots, after a worker was listed.
    pub(super) fn notify_shards(&mut self, owner: usize) {
        self.owners[owner].snapshots.is_notified = true;
        self.maintain_shards(owner);
    }

    fn maintain_shards(&mut self, owner: usize) {
        let now_ms = self.now_ms;
        let process = &mut self.owners[owner];
        let state = &mut process.snapshots;
        if !process.is_restored || process.is_ended || state.is_busy {
            return;
        }
        let is_check = std::mem::take(&mut state.is_check_due);
        if !is_check && !std::mem::take(&mut state.is_notified) {
            return;
        }
        let newly_listed = process.schedule.take_newly_listed();
        let outdated = if is_check {
            state.shards.outdated_shards(&process.schedule, now_ms)
        } else {
            state.shards.shards_without(&newly_listed)
        };
        if outdated.is_empty() || !process.has_authority(now_ms) {
            self.start_sharded_workers(owner, (!is_check).then_some(&newly_listed));
            self.maintain_shards(owner);
            return;
        }
        process.snapshots.is_busy = true;
        let then = move |model: &mut Self, stored| {
            let pause_ms = if stored { 0 } else { SNAPSHOT_RETRY_MS };
            model.after_in_owner(owner, pause_ms, move |model| {
                let state = &mut model.owners[owner].snapshots;
                state.is_busy = false;
                if stored {
                    model.start_sharded_workers(owner, (!is_check).then_some(&newly_listed));
                } else {
                    state.is_check_due = true;
                }
                model.maintain_shards(owner);
            });
        };
        self.store_shards(owner, outdated, Box::new(then));
    }

    /// Starts the tasks of the workers in stored shards, or of some of them.
    fn start_sharded_workers(&mut self, owner: usize, only: Option<&Vec<WorkerName>>) {
        let process = &self.owners[owner];
        let mut workers: Vec<_> = process
            .schedule
            .workers()
            .map(|status| (status.listed.name.clone(), status.listed.started_ms))
            .filter(|(name, _)| only.is_none_or(|only| only.contains(name)))
            .filter(|(name, _)| process.snapshots.shards.contains(name))
            .collect();
        workers.sort();
        for (name, started_ms) in workers {
            let process = &self.owners[owner];
            if process.leads() && process.has_authority(self.now_ms) {
                self.start_worker_tasks(owner, &name, started_ms);
            }
        }
    }

    pub(super) fn store_all_shards(&mut self, owner: usize, then: Continuation) {
        self.store_shards(owner, SnapshotShard::all().collect(), then);
    }

    /// Stores shards, some at a time, until a write fails.
    fn store_shards(&mut self, owner: usize, mut shards: Vec<SnapshotShard>, then: Continuation) {
        let rest = shards.split_off(shards.len().min(SHARDS_PER_WRITE));
        if shards.is_empty() {
            then(self, true);
            return;
        }
        let process = &mut self.owners[owner];
        process.snapshots.shards.begin_write(&shards);
        let mut snapshots = process.schedule.snapshots_in(&shards, self.now_ms);
        snapshots.sort_by_key(|snapshot| snapshot.listed.name.clone());
        let unreachable = snapshots.iter_mut();
        let unreachable = unreachable.filter_map(|row| row.unreachable.as_mut());
        unreachable.for_each(|unreachable| unreachable.runs.sort());
        process.schedule.begin_snapshot_write(&snapshots);
        let write = OwnerWrite::Shards(shards.clone(), snapshots.clone());
        self.commit(owner, write, move |model, stored| {
            let unreachable = snapshots.iter().filter(|row| row.unreachable.is_some());
            let unreachable: Vec<_> = unreachable.map(|row| row.listed.name.to_string()).collect();
            let text =
                format!("owner {owner} stores shards, unreachable {unreachable:?}: {stored}");
            model.oracle.note(None, text);
            if !stored {
                then(model, false);
                return;
            }
            let process = &mut model.owners[owner];
            process.schedule.finish_snapshot_write(&snapshots);
            process.snapshots.shards.finish_write(&shards, &snapshots);
            model.store_shards(owner, rest, then);
        });
    }
}

/// Returns the number of the chain that records a job's progress.
fn chain_of(job: &JobName) -> usize {
    let bytes = job.as_str().bytes();
    let sum = bytes.fold(0usize, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    sum % PROGRESS_CHAINS
}
