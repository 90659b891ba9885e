//! The keys that this product writes in the platform's store, and following them.

use {
    crate::node::SchedulerNode,
    dotterelshore_domain::names::JobName,
    dotterelshore_platform::{KeyRow, KvFault, WatchEvent},
    dotterelshore_wire::{log_event, timer_hub::jittered_pause},
    std::time::Duration,
};

/// The owner of the schedule, under a lease.
pub(crate) const OWNER_KEY: &str = "dotterelshore/owner";
/// How often the schedule changed its owner.
pub(crate) const TERM_KEY: &str = "dotterelshore/term";
/// What an owner that left in order told the next one.
pub(crate) const HAND_OVER_KEY: &str = "dotterelshore/hand-over";
/// Instances that an owner ordered lately, or was about to.
pub(crate) const ORDERED_KEY: &str = "dotterelshore/ordered";
/// Keys that rise with each write of an owner, one a chain, so that these take effect in order.
pub(crate) const OWNER_WRITES_PREFIX: &str = "dotterelshore/writes/";
/// Workers on which an owner may have left something running.
pub(crate) const HELD_KEY: &str = "dotterelshore/held";
/// Entries, each under a lease, and where they answer one another.
pub(crate) const ENTRY_PREFIX: &str = "dotterelshore/entry/";
/// Accepted jobs, and marks of cancelled ones.
pub(crate) const JOB_PREFIX: &str = "dotterelshore/job/";
/// How far jobs are.
pub(crate) const PROGRESS_PREFIX: &str = "dotterelshore/progress/";
/// How far waves of maintenance are.
const WAVE_RECORD_PREFIX: &str = "dotterelshore/wave/";
/// Ends the key that marks a job as cancelled.
const CANCEL_SUFFIX: &str = "/cancel";

/// How long one watch waits for a change. With its slack, a connection that fell silent is
/// noticed within the platform's calm window of three seconds.
const WATCH_WAIT: Duration = Duration::from_millis(2_200);
/// How long a watch waits while the store is lost, so that its return is soon noticed.
const LOST_WAIT: Duration = Duration::ZERO;
/// Pause after a call to the store failed.
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

/// The key of a wave's progress.
pub(crate) fn wave_key(number: u64) -> String {
    format!("{WAVE_RECORD_PREFIX}{number}")
}

/// What a key under [`JOB_PREFIX`] is.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum JobKey {
    /// A job's record.
    Record(JobName),
    /// The mark of a cancelled job.
    Cancelled(JobName),
}

impl JobKey {
    /// Reads a key; nothing for one of another writer.
    pub(crate) fn parse(key: &str) -> Option<Self> {
        let rest = key.strip_prefix(JOB_PREFIX)?;
        match rest.strip_suffix(CANCEL_SUFFIX) {
            Some(name) => Some(Self::Cancelled(JobName::try_from(name).ok()?)),
            None => Some(Self::Record(JobName::try_from(rest).ok()?)),
        }
    }
}

/// A step in following a prefix.
#[derive(Debug)]
pub(crate) enum FollowStep {
    /// All rows, read anew.
    Whole(Vec<KeyRow>),
    /// One change.
    Change(WatchEvent),
}

/// How a prefix is followed again after the store was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AfterFault {
    /// By the changes since: for many small rows of which few changed.
    CatchUp,
    /// By reading all rows: for few rows that are large or change often.
    ReadAnew,
}

/// Follows a prefix for ever: `take` gets every row, then each change. After a gap in the
/// store's history all rows are read anew. `known` skips the first reading: the caller has
/// read everything up to that revision.
pub(crate) async fn follow(
    node: &SchedulerNode,
    prefix: &'static str,
    after_fault: AfterFault,
    known: Option<u64>,
    mut take: impl FnMut(FollowStep) + Send,
) {
    let mut revision = known;
    let mut failing = false;
    loop {
        let step = match revision {
            None => read_whole(node, prefix, &mut take).await.map(Some),
            Some(after) => {
                let wait = if failing { LOST_WAIT } else { WATCH_WAIT };
                watch_once(node, prefix, after, wait, &mut take).await
            }
        };
        match step {
            Ok(next) => {
                if std::mem::take(&mut failing) {
                    log_event!(Info, "store-regained", prefix = prefix);
                }
                node.heard_store();
                revision = next;
            }
            Err(fault) => {
                node.missed_store();
                if !std::mem::replace(&mut failing, true) {
                    log_event!(Warn, "store-lost", prefix = prefix, error = fault);
                }
                node.metrics.count_retry("store-watch");
                if after_fault == AfterFault::ReadAnew {
                    revision = None;
                }
                tokio::time::sleep(jittered_pause(FAULT_PAUSE)).await;
            }
        }
    }
}

async fn read_whole(
    node: &SchedulerNode,
    prefix: &str,
    take: &mut impl FnMut(FollowStep),
) -> Result<u64, KvFault> {
    let page = node.kv.read_all(prefix).await?;
    take(FollowStep::Whole(page.rows));
    Ok(page.revision)
}

async fn watch_once(
    node: &SchedulerNode,
    prefix: &str,
    after: u64,
    wait: Duration,
    take: &mut impl FnMut(FollowStep),
) -> Result<Option<u64>, KvFault> {
    match node.kv.watch(prefix, after, wait).await {
        Ok(page) => {
            for event in page.events {
                take(FollowStep::Change(event));
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
