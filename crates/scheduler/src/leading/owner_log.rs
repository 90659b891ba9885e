//! The owner's writes, one after another: a write that takes effect late finds that a newer
//! one went before, and does nothing.

use {
    super::leadership::Leadership,
    crate::{
        node::{SchedulerNode, uptime_ms},
        store::{OWNER_KEY, OWNER_WRITES_KEY},
    },
    dotterelshore_platform::{KvFault, KvWrite},
    dotterelshore_wire::log_event,
    tokio::sync::Mutex as AsyncMutex,
};

/// Time for a write, in milliseconds, beyond which it is logged: what the store takes when it
/// is slow, and half of what a caller's objective allows for all.
const SLOW_MS: u64 = 250;

/// The chain of the owner's writes. Each expects the revision that the one before left at
/// [`OWNER_WRITES_KEY`], and the owner's key.
#[derive(Debug, Default)]
pub(crate) struct OwnerLog {
    last: AsyncMutex<Option<u64>>,
}

impl OwnerLog {
    /// Carries out a write as the next of the chain.
    ///
    /// # Errors
    ///
    /// The call's fault. After `Unsure` the write may or may not be in force; it can't
    /// take effect any more once a later write of the chain did.
    pub(crate) async fn commit(
        &self,
        node: &SchedulerNode,
        leadership: &Leadership,
        write: KvWrite,
    ) -> Result<(), KvFault> {
        let asked_ms = uptime_ms();
        let mut last = self.last.lock().await;
        let begun_ms = uptime_ms();
        let answer = self.commit_next(node, leadership, write, &mut last).await;
        let ended_ms = uptime_ms();
        if ended_ms > asked_ms + SLOW_MS {
            log_event!(
                Info,
                "owner-write-slow",
                waited_ms = begun_ms.saturating_sub(asked_ms),
                took_ms = ended_ms.saturating_sub(begun_ms),
                done = answer.is_ok()
            );
        }
        answer
    }

    async fn commit_next(
        &self,
        node: &SchedulerNode,
        leadership: &Leadership,
        write: KvWrite,
        last: &mut Option<u64>,
    ) -> Result<(), KvFault> {
        let revision = match *last {
            Some(revision) => revision,
            None => read_revision(node).await?,
        };
        *last = None;
        let mark = rand::random::<u64>().to_string();
        let write = write
            .expect(OWNER_KEY, leadership.token())
            .expect(OWNER_WRITES_KEY, revision)
            .write(OWNER_WRITES_KEY, mark.as_bytes(), 0);
        match node.kv.commit(&write).await {
            Ok(revision) => {
                *last = Some(revision);
                Ok(())
            }
            Err(KvFault::Unsure { detail }) => {
                // Whether it took effect shows by its mark; if not, it still may.
                let row = node.kv.read(OWNER_WRITES_KEY).await?;
                if row.value == mark.as_bytes() {
                    *last = Some(row.revision);
                    return Ok(());
                }
                Err(KvFault::Unsure { detail })
            }
            Err(KvFault::Conflict { rows }) => {
                let owned = rows
                    .iter()
                    .any(|row| row.key == OWNER_KEY && row.revision == leadership.token());
                if owned {
                    // An earlier write of this owner took effect late.
                    log_event!(Info, "owner-write-overtaken", revision = revision);
                    return Err(KvFault::NotDone {
                        detail: "an earlier write took effect late".to_owned(),
                    });
                }
                leadership.note_fence(leadership.token());
                Err(KvFault::Conflict { rows })
            }
            Err(fault) => Err(fault),
        }
    }
}

async fn read_revision(node: &SchedulerNode) -> Result<u64, KvFault> {
    match node.kv.read(OWNER_WRITES_KEY).await {
        Ok(row) => Ok(row.revision),
        Err(KvFault::NoKey) => Ok(0),
        Err(fault) => Err(fault),
    }
}
