//! Keys of the scheduler's records in the platform's store, and a function that follows a prefix.

use {
    crate::node::{SchedulerNode, uptime_ms},
    dotterelshore_domain::{names::JobName, schedule::SnapshotShard},
    dotterelshore_platform::{KvFault, KvPage, WatchEvent},
    dotterelshore_wire::{log_event, timer_hub::jittered_pause},
    std::time::Duration,
};

/// The record of the schedule's owner, under a lease.
pub(crate) const OWNER_KEY: &str = "dotterelshore/owner";
/// The term: the number of successful claims of ownership so far.
pub(crate) const TERM_KEY: &str = "dotterelshore/term";
/// The handover record of an owner that shut down.
pub(crate) const HANDOVER_KEY: &str = "dotterelshore/hand-over";
/// Instances for which an owner recently sent orders or was about to.
pub(crate) const ORDERED_INSTANCES_KEY: &str = "dotterelshore/ordered";
/// One key per chain of the owner's writes. Each write changes it, which keeps them in order.
pub(crate) const OWNER_WRITES_PREFIX: &str = "dotterelshore/writes/";
/// Prefix of the snapshots of workers on which an earlier owner's runs may go on. Earlier versions
/// stored all of them under this key itself.
pub(crate) const WORKER_SNAPSHOTS_PREFIX: &str = "dotterelshore/held";
/// Rows of the entries with their peer addresses, each under a lease.
pub(crate) const ENTRY_PREFIX: &str = "dotterelshore/entry/";
/// Records of accepted jobs, and marks of cancelled ones.
pub(crate) const JOB_PREFIX: &str = "dotterelshore/job/";
/// Progress of jobs.
pub(crate) const PROGRESS_PREFIX: &str = "dotterelshore/progress/";
/// Progress of maintenance waves.
const WAVE_RECORD_PREFIX: &str = "dotterelshore/wave/";
/// Suffix of the key that marks a job as cancelled.
const CANCEL_SUFFIX: &str = "/cancel";

/// How long one watch waits for a change. The call times out once the client's slack has passed
/// as well, so that a silent connection is detected within the platform's window of three
/// seconds.
const WATCH_WAIT: Duration = Duration::from_millis(2_200);
/// How long the owner's watch of jobs waits: a cancellation behind a silent connection must be
/// applied within the users' three seconds.
const JOB_WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// How long a watch waits after a fault: not at all, so that recovery is noticed at once.
const RECOVERY_WATCH_WAIT: Duration = Duration::ZERO;
/// Pause after a failed call to the store.
const FAULT_PAUSE: Duration = Duration::from_millis(150);

/// The key of a job's record.
pub(crate) fn job_key(job: &JobName) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// The key that marks a job as cancelled.
pub(crate) fn cancel_key(job: &JobName) -> String {
    format!("{JOB_PREFIX}{job}{CANCEL_SUFFIX}")
}

/// The key of a job's progress.
pub(crate) fn progress_key(job: &JobName) -> String {
    format!("{PROGRESS_PREFIX}{job}")
}

/// The key of a part of the worker snapshots.
pub(crate) fn worker_snapshots_key(shard: SnapshotShard) -> String {
    format!("{WORKER_SNAPSHOTS_PREFIX}/{shard}")
}

/// The key of a wave's progress.
pub(crate) fn wave_key(number: u64) -> String {
    format!("{WAVE_RECORD_PREFIX}{number}")
}

/// A decoded key under [`JOB_PREFIX`].
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum JobKey {
    /// A job's record.
    Record(JobName),
    /// The mark of a cancelled job.
    Cancelled(JobName),
}

impl JobKey {
    /// Decodes a key; `None` if it is not of this format.
    pub(crate) fn parse(key: &str) -> Option<Self> {
        let rest = key.strip_prefix(JOB_PREFIX)?;
        match rest.strip_suffix(CANCEL_SUFFIX) {
            Some(name) => Some(Self::Cancelled(JobName::try_from(name).ok()?)),
            None => Some(Self::Record(JobName::try_from(rest).ok()?)),
        }
    }
}

/// An update of a followed prefix.
#[derive(Debug)]
pub(crate) enum PrefixUpdate {
    /// All rows, after a complete read.
    Snapshot(KvPage),
    /// One change.
    Change(WatchEvent),
}

/// How following a prefix resumes after a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResumeMode {
    /// Watches from the last known revision: for many small rows of which few change.
    CatchUp,
    /// Reads all rows again: for few rows that are large or change often.
    Reread,
}

/// Follows a prefix until aborted: passes all rows and then each change to `apply`. Reads all
/// rows again if the store has compacted changes that were not read yet. With `known_revision`
/// the first read is skipped, since the caller has read everything up to that revision.
pub(crate) async fn follow_prefix(
    node: &SchedulerNode,
    prefix: &'static str,
    resume_mode: ResumeMode,
    known_revision: Option<u64>,
    mut apply: impl FnMut(PrefixUpdate) + Send,
) {
    let mut revision = known_revision;
    let mut is_failing = false;
    loop {
        let sent_ms = uptime_ms();
        let outcome = match revision {
            None => read_snapshot(node, prefix, &mut apply).await.map(Some),
            Some(after) => {
                let wait = match prefix {
                    _ if is_failing => RECOVERY_WATCH_WAIT,
                    JOB_PREFIX => JOB_WATCH_WAIT,
                    _ => WATCH_WAIT,
                };
                watch_once(node, prefix, after, wait, &mut apply).await
            }
        };
        match outcome {
            Ok(next) => {
                if std::mem::take(&mut is_failing) {
                    log_event!(Info, "store-regained", prefix = prefix);
                }
                node.mark_store_reachable(sent_ms);
                revision = next;
            }
            Err(fault) => {
                node.mark_store_unreachable();
                if !std::mem::replace(&mut is_failing, true) {
                    log_event!(Warn, "store-lost", prefix = prefix, error = fault);
                }
                node.metrics.count_retry("store-watch");
                // The same changes would be as unreadable the next time.
                let is_unreadable = matches!(fault, KvFault::Unreadable { .. });
                if is_unreadable || resume_mode == ResumeMode::Reread {
                    revision = None;
                }
                tokio::time::sleep(jittered_pause(FAULT_PAUSE)).await;
            }
        }
    }
}

async fn read_snapshot(
    node: &SchedulerNode,
    prefix: &str,
    apply: &mut impl FnMut(PrefixUpdate),
) -> Result<u64, KvFault> {
    let page = node.kv.read_all(prefix).await?;
    let revision = page.revision;
    apply(PrefixUpdate::Snapshot(page));
    Ok(revision)
}

async fn watch_once(
    node: &SchedulerNode,
    prefix: &str,
    after: u64,
    wait: Duration,
    apply: &mut impl FnMut(PrefixUpdate),
) -> Result<Option<u64>, KvFault> {
    match node.kv.watch(prefix, after, wait).await {
        Ok(page) => {
            for event in page.events {
                apply(PrefixUpdate::Change(event));
            }
            Ok(Some(page.revision.max(after)))
        }
        Err(KvFault::HistoryGone) => {
            log_event!(Info, "store-history-gone", prefix = prefix, after = after);
            Ok(None)
        }
        Err(fault) => Err(fault),
    }
}
