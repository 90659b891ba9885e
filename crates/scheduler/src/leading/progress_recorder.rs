//! Recording what ended, before workers are told to forget it.

use {
    super::{leadership::Leadership, owner_log::LogChain},
    crate::{
        node::{SchedulerNode, lock},
        store::{cancel_key, job_key, progress_key},
    },
    dotterelshore_domain::{
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

/// A job and how far it is.
type JobProgress = (JobName, ProgressRecord);

/// Jobs recorded in one transaction; the store takes 32 entries, three of which order it.
const JOBS_PER_WRITE: usize = 28;
/// Jobs removed in one transaction, three keys each.
const JOBS_PER_REMOVAL: usize = 9;
/// Pause before a job's end is recorded, so that ends that come together share a write.
const END_PAUSE: Duration = Duration::from_millis(20);
/// Longest time that ends within a job stay unrecorded, and unacknowledged.
const STEP_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a write failed.
const FAULT_PAUSE: Duration = Duration::from_millis(150);

/// Records whenever something ended.
pub(super) async fn record_progress(node: Arc<SchedulerNode>, leadership: Arc<Leadership>) {
    let mut last = Instant::now();
    loop {
        leadership.record.notified().await;
        let since = last.elapsed();
        if since < STEP_PAUSE && !lock(&leadership.schedule).has_unrecorded_end() {
            // An end of a job that comes meanwhile shortens the wait.
            let rest = tokio::time::sleep(STEP_PAUSE.saturating_sub(since));
            tokio::pin!(rest);
            loop {
                tokio::select! {
                    () = &mut rest => break,
                    () = leadership.record.notified() => {
                        if lock(&leadership.schedule).has_unrecorded_end() {
                            break;
                        }
                    }
                }
            }
        }
        tokio::time::sleep(END_PAUSE).await;
        if !leadership.may_order() || !record_once(&node, &leadership).await {
            tokio::time::sleep(jittered_pause(FAULT_PAUSE)).await;
            leadership.record.notify_one();
        }
        last = Instant::now();
    }
}

/// Records all that ended so far. Tells whether that succeeded.
pub(super) async fn record_once(node: &SchedulerNode, leadership: &Leadership) -> bool {
    let batch = lock(&leadership.schedule).take_progress_batch();
    match write_batch(node, leadership, &batch).await {
        Ok(()) => {
            lock(&leadership.schedule).mark_progress_recorded(&batch);
            true
        }
        Err(fault) => {
            log_event!(
                Warn,
                "recording-failed",
                jobs = batch.records.len(),
                error = fault
            );
            node.metrics.count_retry("recording");
            lock(&leadership.schedule).requeue_progress(batch);
            false
        }
    }
}

async fn write_batch(
    node: &SchedulerNode,
    leadership: &Leadership,
    batch: &ProgressBatch,
) -> Result<(), KvFault> {
    let mut chains: Vec<(LogChain, Vec<&JobProgress>)> = Vec::new();
    for record in &batch.records {
        let chain = LogChain::of_job(&record.0);
        match chains.iter_mut().find(|(known, _)| *known == chain) {
            Some((_, records)) => records.push(record),
            None => chains.push((chain, vec![record])),
        }
    }
    let writes = chains
        .iter()
        .map(|(chain, records)| write_chain(node, leadership, *chain, records));
    join_all(writes).await.into_iter().collect()
}

async fn write_chain(
    node: &SchedulerNode,
    leadership: &Leadership,
    chain: LogChain,
    records: &[&JobProgress],
) -> Result<(), KvFault> {
    for part in records.chunks(JOBS_PER_WRITE) {
        let mut write = KvTransaction::default();
        for (name, progress) in part {
            let value = serde_json::to_vec(progress).map_err(|error| KvFault::NotApplied {
                detail: error.to_string(),
            })?;
            write = write.write(progress_key(name), &value, 0);
        }
        leadership
            .log
            .commit(node, leadership, chain, write)
            .await?;
        for (name, progress) in part {
            if let Some(ended) = progress.ended {
                log_event!(Info, "job-ended", job = name, state = format!("{ended:?}"));
            }
        }
    }
    Ok(())
}

/// Removes jobs that nobody may ask for any more.
pub(super) async fn remove_jobs(node: &SchedulerNode, leadership: &Leadership, jobs: &[JobName]) {
    let mut jobs = jobs.to_vec();
    jobs.sort_by_key(LogChain::of_job);
    for part in jobs.chunk_by(|one, next| LogChain::of_job(one) == LogChain::of_job(next)) {
        remove_part(node, leadership, part).await;
    }
}

async fn remove_part(node: &SchedulerNode, leadership: &Leadership, jobs: &[JobName]) {
    let Some(chain) = jobs.first().map(LogChain::of_job) else {
        return;
    };
    for part in jobs.chunks(JOBS_PER_REMOVAL) {
        let mut write = KvTransaction::default();
        for name in part {
            write = write
                .delete(job_key(name))
                .delete(cancel_key(name))
                .delete(progress_key(name));
        }
        let removed = leadership.log.commit(node, leadership, chain, write).await;
        if let Err(fault) = removed {
            log_event!(Warn, "removal-failed", jobs = part.len(), error = fault);
        }
    }
}
