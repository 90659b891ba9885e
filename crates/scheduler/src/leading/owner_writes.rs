//! The owner's writes to the store, in chains of ordered transactions: a write that reaches the
//! store after a later one of its chain has no effect.

use {
    super::leadership::Leadership,
    crate::{
        hedged_call,
        node::{SchedulerNode, uptime_ms},
        store::{OWNER_KEY, OWNER_WRITES_PREFIX},
    },
    dotterelshore_domain::names::JobName,
    dotterelshore_platform::{KvFault, KvTransaction},
    dotterelshore_wire::log_event,
    tokio::sync::Mutex as AsyncMutex,
};

/// Duration of a write, in milliseconds, above which it is logged. The store takes about this
/// long when it is slow; it is half of a caller's latency objective.
const SLOW_WRITE_MS: u64 = 250;

/// Chains for the progress of jobs, whose writes can be open at the same time. One chain alone
/// records 115 jobs/s at 240 ms per write, which is below the peak completion rate.
const PROGRESS_CHAINS: usize = 4;

/// A sequence of the owner's writes, in which each expects the revision of the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum WriteChain {
    /// The worker snapshots and the handover.
    Roster,
    /// Orders for instances and the progress of waves.
    Instances,
    /// The progress of some of the jobs, by a hash of their names.
    Progress(usize),
}

impl WriteChain {
    /// Returns the chain that records a job's progress.
    pub(super) fn of_job(job: &JobName) -> Self {
        let sum = job.as_str().bytes().fold(0usize, |sum, byte| {
            sum.wrapping_mul(31).wrapping_add(byte.into())
        });
        Self::Progress(sum % PROGRESS_CHAINS)
    }

    fn index(self) -> usize {
        match self {
            Self::Roster => 0,
            Self::Instances => 1,
            Self::Progress(number) => 2 + number,
        }
    }

    fn key(self) -> String {
        format!("{OWNER_WRITES_PREFIX}{}", self.index())
    }
}

/// The owner's writes by chain. Each write expects the revision that the one before it left at
/// its chain's key, and the owner's key at the revision of the fencing token.
#[derive(Debug, Default)]
pub(crate) struct OwnerWrites {
    last_revisions: [AsyncMutex<Option<u64>>; 2 + PROGRESS_CHAINS],
}

impl OwnerWrites {
    /// Commits a transaction as the next write of its chain.
    ///
    /// # Errors
    ///
    /// The call's fault. After `OutcomeUnknown` the write may have taken effect, and may still do
    /// so until a later write of the chain has.
    pub(crate) async fn commit(
        &self,
        node: &SchedulerNode,
        leadership: &Leadership,
        chain: WriteChain,
        transaction: KvTransaction,
    ) -> Result<(), KvFault> {
        let queued_ms = uptime_ms();
        let mut last_revision = self.last_revisions[chain.index()].lock().await;
        let started_ms = uptime_ms();
        let key = chain.key();
        let answer = commit_next(node, leadership, &key, transaction, &mut last_revision).await;
        let ended_ms = uptime_ms();
        if ended_ms > queued_ms + SLOW_WRITE_MS {
            log_event!(
                Info,
                "owner-write-slow",
                chain = format!("{chain:?}"),
                waited_ms = started_ms.saturating_sub(queued_ms),
                took_ms = ended_ms.saturating_sub(started_ms),
                done = answer.is_ok()
            );
        }
        answer
    }
}

async fn commit_next(
    node: &SchedulerNode,
    leadership: &Leadership,
    key: &str,
    transaction: KvTransaction,
    last_revision: &mut Option<u64>,
) -> Result<(), KvFault> {
    let revision = match *last_revision {
        Some(revision) => revision,
        None => read_revision(node, key).await?,
    };
    *last_revision = None;
    let write_id = rand::random::<u64>().to_string();
    let transaction = transaction
        .expect(OWNER_KEY, leadership.token())
        .expect(key, revision)
        .write(key, write_id.as_bytes(), 0);
    match hedged_call::commit(node, &transaction).await {
        Ok(revision) => {
            *last_revision = Some(revision);
            Ok(())
        }
        Err(KvFault::OutcomeUnknown { detail }) => {
            // The write took effect if its id is stored; otherwise it may still do so.
            let row = node.kv.read(key).await?;
            if row.value == write_id.as_bytes() {
                *last_revision = Some(row.revision);
                return Ok(());
            }
            Err(KvFault::OutcomeUnknown { detail })
        }
        Err(KvFault::Conflict { rows }) => {
            let written = rows
                .iter()
                .find(|row| row.key == key && row.value == write_id.as_bytes());
            if let Some(row) = written {
                // An earlier attempt took effect and its answer was lost.
                *last_revision = Some(row.revision);
                return Ok(());
            }
            let owned = rows
                .iter()
                .any(|row| row.key == OWNER_KEY && row.revision == leadership.token());
            if owned {
                // An earlier write of this owner, whose answer was lost, took effect late.
                log_event!(Info, "owner-write-overtaken", revision = revision);
                return Err(KvFault::NotApplied {
                    detail: "an earlier write of the chain took effect after its answer was lost"
                        .to_owned(),
                });
            }
            leadership.mark_fenced(leadership.token());
            Err(KvFault::Conflict { rows })
        }
        Err(fault) => Err(fault),
    }
}

async fn read_revision(node: &SchedulerNode, key: &str) -> Result<u64, KvFault> {
    match node.kv.read(key).await {
        Ok(row) => Ok(row.revision),
        Err(KvFault::KeyNotFound) => Ok(0),
        Err(fault) => Err(fault),
    }
}
