//! The owner's writes, one after another: a write that takes effect late finds that a newer
//! one went before, and does nothing.

use {
    super::leadership::Leadership,
    crate::{
        node::{SchedulerNode, uptime_ms},
        store::{OWNER_KEY, OWNER_WRITES_PREFIX},
    },
    dotterelshore_domain::names::JobName,
    dotterelshore_platform::{KvFault, KvTransaction},
    dotterelshore_wire::log_event,
    tokio::sync::Mutex as AsyncMutex,
};

/// Time for a write, in milliseconds, beyond which it is logged: what the store takes when it
/// is slow, and half of what a caller's objective allows for all.
const SLOW_MS: u64 = 250;

/// Chains for the progress of jobs, so that several writes are under way while the store is
/// slow: at 240 ms an answer one chain records 115 jobs a second, less than a peak ends.
const PROGRESS_CHAINS: usize = 4;

/// What a write of the owner is about; writes of one chain take effect in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LogChain {
    /// Workers, and handing over.
    Roster,
    /// Orders for instances, and waves.
    Instances,
    /// How far some of the jobs are.
    Progress(usize),
}

impl LogChain {
    /// The chain of a job's progress.
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

/// The chains of the owner's writes. Each write expects the revision that the one before it
/// left at its chain's key, and the owner's key.
#[derive(Debug, Default)]
pub(crate) struct OwnerLog {
    last: [AsyncMutex<Option<u64>>; 2 + PROGRESS_CHAINS],
}

impl OwnerLog {
    /// Carries out a write as the next of its chain.
    ///
    /// # Errors
    ///
    /// The call's fault. After `Unsure` the write may or may not be in force; it can't
    /// take effect any more once a later write of the chain did.
    pub(crate) async fn commit(
        &self,
        node: &SchedulerNode,
        leadership: &Leadership,
        chain: LogChain,
        write: KvTransaction,
    ) -> Result<(), KvFault> {
        let asked_ms = uptime_ms();
        let mut last = self.last[chain.index()].lock().await;
        let begun_ms = uptime_ms();
        let key = chain.key();
        let answer = commit_next(node, leadership, &key, write, &mut last).await;
        let ended_ms = uptime_ms();
        if ended_ms > asked_ms + SLOW_MS {
            log_event!(
                Info,
                "owner-write-slow",
                chain = format!("{chain:?}"),
                waited_ms = begun_ms.saturating_sub(asked_ms),
                took_ms = ended_ms.saturating_sub(begun_ms),
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
    write: KvTransaction,
    last: &mut Option<u64>,
) -> Result<(), KvFault> {
    let revision = match *last {
        Some(revision) => revision,
        None => read_revision(node, key).await?,
    };
    *last = None;
    let mark = rand::random::<u64>().to_string();
    let write = write
        .expect(OWNER_KEY, leadership.token())
        .expect(key, revision)
        .write(key, mark.as_bytes(), 0);
    match node.kv.commit(&write).await {
        Ok(revision) => {
            *last = Some(revision);
            Ok(())
        }
        Err(KvFault::OutcomeUnknown { detail }) => {
            // Whether it took effect shows by its mark; if not, it still may.
            let row = node.kv.read(key).await?;
            if row.value == mark.as_bytes() {
                *last = Some(row.revision);
                return Ok(());
            }
            Err(KvFault::OutcomeUnknown { detail })
        }
        Err(KvFault::Conflict { rows }) => {
            let owned = rows
                .iter()
                .any(|row| row.key == OWNER_KEY && row.revision == leadership.token());
            if owned {
                // An earlier write of this owner took effect late.
                log_event!(Info, "owner-write-overtaken", revision = revision);
                return Err(KvFault::NotApplied {
                    detail: "an earlier write took effect late".to_owned(),
                });
            }
            leadership.note_fence(leadership.token());
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
