//! The platform's store, as far as the schedule depends on it.

use {
    dotterelshore_domain::{
        names::{InstanceName, JobName, WorkerName},
        schedule::{
            JobRecord, ListedWorker, ProgressRecord, SnapshotShard, WaveProgress, WorkerRow,
            WorkerSnapshot,
        },
    },
    std::collections::BTreeMap,
};

/// Chains for the progress of jobs.
pub(super) const PROGRESS_CHAINS: usize = 4;

/// A change that watches deliver.
#[derive(Debug, Clone)]
pub(super) enum StoreChange {
    JobAdded(JobRecord),
    JobCancelled(JobName),
    WorkerListed(ListedWorker),
    WorkerUnlisted(WorkerName),
}

/// An owner's write.
#[derive(Debug, Clone)]
pub(super) enum OwnerWrite {
    Progress(Vec<(JobName, ProgressRecord)>),
    /// Progress in one of several chains, by its number.
    ChainedProgress(usize, Vec<(JobName, ProgressRecord)>),
    Snapshots(Vec<WorkerSnapshot>),
    /// The snapshots of the workers in some shards.
    Shards(Vec<SnapshotShard>, Vec<WorkerSnapshot>),
    Handover {
        term: u32,
        orphans_left_ms: u64,
    },
    Instances(InstanceRecord),
}

/// Instances that were just ordered, and the progress of waves.
#[derive(Debug, Clone, Default)]
pub(super) struct InstanceRecord {
    pub(super) ordered: Vec<InstanceName>,
    pub(super) waves: BTreeMap<u64, WaveProgress>,
}

impl OwnerWrite {
    pub(super) fn is_progress(&self) -> bool {
        matches!(self, Self::Progress(_) | Self::ChainedProgress(..))
    }

    /// The index of the chain in which the write is ordered.
    fn chain(&self) -> usize {
        match self {
            Self::Snapshots(_) | Self::Shards(..) | Self::Handover { .. } => 0,
            Self::Progress(_) => 1,
            Self::ChainedProgress(number, _) => 1 + number,
            Self::Instances(_) => 1 + PROGRESS_CHAINS,
        }
    }
}

/// A write on its way to the store, with the state that it expects there.
#[derive(Debug, Clone)]
pub(super) struct ExpectingWrite {
    pub(super) write: OwnerWrite,
    token: u64,
    chain_revision: u64,
}

/// The owner's key.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnerKey {
    pub(super) token: u64,
    pub(super) lease_until_ms: u64,
}

/// The records and the log of changes.
#[derive(Debug, Default)]
pub(super) struct StoreModel {
    pub(super) revision: u64,
    pub(super) owner_key: Option<OwnerKey>,
    pub(super) term: u32,
    pub(super) jobs: BTreeMap<JobName, JobRecord>,
    pub(super) cancelled: Vec<JobName>,
    pub(super) progress: BTreeMap<JobName, ProgressRecord>,
    pub(super) workers: BTreeMap<WorkerName, WorkerRow>,
    pub(super) snapshots: Vec<WorkerSnapshot>,
    pub(super) handover: Option<(u32, u64)>,
    pub(super) instances: InstanceRecord,
    changes: Vec<(u64, StoreChange)>,
    chain_revisions: [u64; 2 + PROGRESS_CHAINS],
}

impl StoreModel {
    /// Applies and logs a change.
    pub(super) fn change(&mut self, change: StoreChange) {
        self.revision += 1;
        match change.clone() {
            StoreChange::JobAdded(record) => {
                self.jobs.insert(record.name.clone(), record);
            }
            StoreChange::JobCancelled(job) => self.cancelled.push(job),
            StoreChange::WorkerListed(listed) => {
                let revision = self.revision;
                self.workers
                    .insert(listed.name.clone(), WorkerRow { listed, revision });
            }
            StoreChange::WorkerUnlisted(name) => {
                self.workers.remove(&name);
            }
        }
        self.changes.push((self.revision, change));
    }

    /// Returns the changes after a revision, each with its own.
    pub(super) fn changes_after(&self, revision: u64) -> Vec<(u64, StoreChange)> {
        let first = self.changes.partition_point(|(at, _)| *at <= revision);
        self.changes[first..].to_vec()
    }

    /// Claims ownership and returns the fencing token.
    pub(super) fn claim(&mut self, lease_until_ms: u64) -> u64 {
        self.revision += 1;
        self.term += 1;
        self.owner_key = Some(OwnerKey {
            token: self.revision,
            lease_until_ms,
        });
        self.revision
    }

    pub(super) fn is_owner(&self, token: u64) -> bool {
        self.owner_key.is_some_and(|key| key.token == token)
    }

    /// Adds to a write what it expects to find.
    pub(super) fn expect(&self, write: OwnerWrite, token: u64) -> ExpectingWrite {
        ExpectingWrite {
            token,
            chain_revision: self.chain_revisions[write.chain()],
            write,
        }
    }

    /// Applies an owner's write if it finds what it expects, and returns whether it did.
    pub(super) fn apply(&mut self, expecting: ExpectingWrite) -> bool {
        let chain_revision = &mut self.chain_revisions[expecting.write.chain()];
        let is_owner = self
            .owner_key
            .is_some_and(|key| key.token == expecting.token);
        if !is_owner || *chain_revision != expecting.chain_revision {
            return false;
        }
        self.revision += 1;
        *chain_revision = self.revision;
        match expecting.write {
            OwnerWrite::Progress(records) | OwnerWrite::ChainedProgress(_, records) => {
                self.progress.extend(records);
            }
            OwnerWrite::Snapshots(snapshots) => self.snapshots = snapshots,
            OwnerWrite::Shards(shards, snapshots) => {
                let is_kept = |known: &WorkerSnapshot| {
                    !shards.contains(&SnapshotShard::of_worker(&known.listed.name))
                };
                self.snapshots.retain(is_kept);
                self.snapshots.extend(snapshots);
            }
            OwnerWrite::Instances(record) => {
                if !record.ordered.is_empty() {
                    self.instances.ordered = record.ordered;
                }
                self.instances.waves = record.waves;
            }
            OwnerWrite::Handover {
                term,
                orphans_left_ms,
            } => self.handover = Some((term, orphans_left_ms)),
        }
        true
    }
}
