//! Records ended runs in the store before they are acknowledged to workers.

use {
    super::{leadership::Leadership, owner_writes::WriteChain},
    crate::{
        node::{SchedulerNode, lock},
        store::{cancel_key, job_key, progress_key},
    },
    dotterelshore_domain::{
        collections::FastMap,
        names::JobName,
        schedule::{ProgressBatch, ProgressRecord},
    },
    dotterelshore_platform::{KvFault, KvTransaction},
    dotterelshore_wire::{log_event, timer_hub::jittered_pause},
    futures_util::future::join_all,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// A job and its progress.
type JobProgress = (JobName, ProgressRecord);

/// Jobs recorded in one transaction. The store allows 32 rows, three of which order the write.
const JOBS_PER_WRITE: usize = 28;
/// Jobs removed in one transaction, each with three keys.
const JOBS_PER_REMOVAL: usize = 9;
/// Pause before a write, so that jobs that end close together share it.
const BATCH_PAUSE: Duration = Duration::from_millis(20);
/// Longest time that ended runs of an unfinished job stay unrecorded and unacknowledged.
const STEP_BATCH_TIME: Duration = Duration::from_millis(500);
/// Pause after a failed write, and while authority is missing.
const FAULT_PAUSE: Duration = Duration::from_millis(150);

/// Records progress after runs end, until aborted.
pub(super) async fn record_progress(node: Arc<SchedulerNode>, leadership: Arc<Leadership>) {
    let mut last_write = Instant::now();
    loop {
        leadership.record_notify.notified().await;
        let elapsed = last_write.elapsed();
        if elapsed < STEP_BATCH_TIME && !lock(&leadership.schedule).has_urgent_progress() {
            // The end of a whole job, or a crash, cuts the wait short.
            let remaining = tokio::time::sleep(STEP_BATCH_TIME.saturating_sub(elapsed));
            tokio::pin!(remaining);
            loop {
                tokio::select! {
                    () = &mut remaining => break,
                    () = leadership.record_notify.notified() => {
                        if lock(&leadership.schedule).has_urgent_progress() {
                            break;
                        }
                    }
                }
            }
        }
        tokio::time::sleep(BATCH_PAUSE).await;
        if !leadership.has_authority() || !record_once(&node, &leadership).await {
            tokio::time::sleep(jittered_pause(FAULT_PAUSE)).await;
            leadership.record_notify.notify_one();
        }
        last_write = Instant::now();
    }
}

/// Records all progress so far. Returns whether the write succeeded.
pub(super) async fn record_once(node: &SchedulerNode, leadership: &Leadership) -> bool {
    let ProgressBatch { records, ends } = lock(&leadership.schedule).take_progress_batch();
    let mut chains: FastMap<WriteChain, Vec<JobProgress>> = FastMap::default();
    for record in records {
        let chain = WriteChain::of_job(&record.0);
        chains.entry(chain).or_default().push(record);
    }
    let writes = chains
        .iter()
        .map(|(chain, records)| record_chain(node, leadership, *chain, records));
    let all_recorded = join_all(writes).await.into_iter().all(|recorded| recorded);
    if all_recorded {
        lock(&leadership.schedule).mark_ends_recorded(&ends);
    }
    all_recorded
}

/// Records the progress of the jobs of one chain. Each write that took effect counts at once,
/// whatever becomes of the others.
async fn record_chain(
    node: &SchedulerNode,
    leadership: &Leadership,
    chain: WriteChain,
    mut unrecorded: &[JobProgress],
) -> bool {
    while !unrecorded.is_empty() {
        let (chunk, rest) = unrecorded.split_at(unrecorded.len().min(JOBS_PER_WRITE));
        if let Err(fault) = write_chunk(node, leadership, chain, chunk).await {
            log_event!(
                Warn,
                "recording-failed",
                jobs = unrecorded.len(),
                error = fault
            );
            node.metrics.count_retry("recording");
            lock(&leadership.schedule).requeue_progress(unrecorded);
            return false;
        }
        lock(&leadership.schedule).mark_jobs_recorded(chunk);
        if chunk.iter().any(|(_, progress)| progress.has_crashes()) {
            leadership.plan_notify.notify_one();
        }
        unrecorded = rest;
    }
    true
}

async fn write_chunk(
    node: &SchedulerNode,
    leadership: &Leadership,
    chain: WriteChain,
    chunk: &[JobProgress],
) -> Result<(), KvFault> {
    let mut transaction = KvTransaction::default();
    for (name, progress) in chunk {
        let value = serde_json::to_vec(progress).map_err(|error| KvFault::NotApplied {
            detail: error.to_string(),
        })?;
        transaction = transaction.write(progress_key(name), &value, 0);
    }
    leadership
        .writes
        .commit(node, leadership, chain, transaction)
        .await?;
    for (name, progress) in chunk {
        if let Some(ended) = progress.ended {
            log_event!(Info, "job-ended", job = name, state = format!("{ended:?}"));
        }
    }
    Ok(())
}

/// Removes the records of jobs whose retention has ended. Those that the store does not remove
/// stay known, and are removed with the next ones.
pub(super) async fn remove_jobs(node: &SchedulerNode, leadership: &Leadership, jobs: &[JobName]) {
    let mut jobs = jobs.to_vec();
    jobs.sort_by_key(WriteChain::of_job);
    for group in jobs.chunk_by(|one, next| WriteChain::of_job(one) == WriteChain::of_job(next)) {
        remove_group(node, leadership, group).await;
    }
}

async fn remove_group(node: &SchedulerNode, leadership: &Leadership, jobs: &[JobName]) {
    let Some(chain) = jobs.first().map(WriteChain::of_job) else {
        return;
    };
    for chunk in jobs.chunks(JOBS_PER_REMOVAL) {
        let mut transaction = KvTransaction::default();
        for name in chunk {
            transaction = transaction
                .delete(job_key(name))
                .delete(cancel_key(name))
                .delete(progress_key(name));
        }
        let removed = leadership
            .writes
            .commit(node, leadership, chain, transaction)
            .await;
        if let Err(fault) = removed {
            log_event!(Warn, "removal-failed", jobs = chunk.len(), error = fault);
            node.metrics.count_retry("removal");
        }
    }
}
