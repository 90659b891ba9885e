//! Records ended runs in the store before they are acknowledged to workers.

use {
    super::{leadership::Leadership, owner_writes::WriteChain},
    crate::{
        node::{SchedulerNode, lock, uptime_ms},
        store::{cancel_key, job_key, progress_key},
    },
    dotterelshore_domain::{
        collections::{FastMap, FastSet},
        names::JobName,
        schedule::{ProgressBatch, ProgressRecord, RecordCost, record_groups},
    },
    dotterelshore_platform::{KvFault, KvTransaction},
    dotterelshore_wire::{event_log::unix_millis, log_event, timer_hub::jittered_pause},
    futures_util::future::join_all,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The progress of a job as it is stored.
struct EncodedProgress {
    job: JobName,
    progress: ProgressRecord,
    value: Vec<u8>,
    failed_writes: u32,
}

impl EncodedProgress {
    fn new(job: JobName, progress: ProgressRecord, failed_writes: u32) -> Self {
        let value = serde_json::to_vec(&progress).expect("a record has string keys");
        Self {
            job,
            progress,
            value,
            failed_writes,
        }
    }

    fn cost(&self) -> RecordCost {
        RecordCost {
            failed_writes: self.failed_writes,
            bytes: self.value.len(),
        }
    }
}

/// What became of the records of one chain.
#[derive(Default)]
struct ChainOutcome {
    /// Whether a write took effect.
    has_recorded: bool,
    /// The jobs of the write that failed, if one did.
    failed: Vec<JobName>,
    /// All jobs that are not recorded.
    unrecorded: Vec<JobName>,
}

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

/// Records all progress so far. Returns whether all of it is stored.
pub(super) async fn record_once(node: &SchedulerNode, leadership: &Leadership) -> bool {
    let (ProgressBatch { records, ends }, failed_writes) = {
        let mut schedule = lock(&leadership.schedule);
        let batch = schedule.take_progress_batch();
        let jobs = batch.records.iter();
        let failed_writes: Vec<_> = jobs.map(|(job, _)| schedule.failed_writes(job)).collect();
        (batch, failed_writes)
    };
    let mut chains: FastMap<WriteChain, Vec<EncodedProgress>> = FastMap::default();
    for ((job, progress), failed_writes) in records.into_iter().zip(failed_writes) {
        let chain = chains.entry(WriteChain::of_job(&job)).or_default();
        chain.push(EncodedProgress::new(job, progress, failed_writes));
    }
    for records in chains.values_mut() {
        records.sort_by_key(|record| record.failed_writes);
    }
    let writes = chains
        .iter()
        .map(|(chain, records)| record_chain(node, leadership, *chain, records));
    let outcomes = join_all(writes).await;
    if outcomes.iter().any(|outcome| outcome.has_recorded) {
        for outcome in &outcomes {
            note_failed_writes(leadership, &outcome.failed);
        }
    }
    let unrecorded = outcomes.into_iter().flat_map(|outcome| outcome.unrecorded);
    let unrecorded: FastSet<_> = unrecorded.collect();
    lock(&leadership.schedule).mark_ends_recorded(&ends, &unrecorded);
    unrecorded.is_empty()
}

/// Records the progress of the jobs of one chain. Each write that took effect counts at once,
/// whatever becomes of the others.
async fn record_chain(
    node: &SchedulerNode,
    leadership: &Leadership,
    chain: WriteChain,
    records: &[EncodedProgress],
) -> ChainOutcome {
    let mut outcome = ChainOutcome::default();
    let costs: Vec<_> = records.iter().map(EncodedProgress::cost).collect();
    let ranges = record_groups(&costs).into_iter().rev();
    let mut groups: Vec<_> = ranges.map(|range| &records[range]).collect();
    while let Some(group) = groups.pop() {
        match write_group(node, leadership, chain, group).await {
            Ok(()) => {
                outcome.has_recorded = true;
                mark_recorded(leadership, group);
            }
            Err(KvFault::Rejected { .. }) if group.len() > 1 => {
                // One of the records can't be stored. The others need not wait for it.
                let (first, second) = group.split_at(group.len() / 2);
                groups.extend([second, first]);
            }
            Err(KvFault::Rejected { detail }) => {
                for record in group {
                    reject(node, leadership, record, &detail);
                    outcome.unrecorded.push(record.job.clone());
                }
            }
            Err(fault) => {
                outcome.failed = group.iter().map(|record| record.job.clone()).collect();
                groups.push(group);
                let left: Vec<_> = groups.into_iter().flatten().collect();
                log_event!(Warn, "recording-failed", jobs = left.len(), error = fault);
                node.metrics.count_retry("recording");
                for record in left {
                    lock(&leadership.schedule).requeue_progress(&record.job);
                    outcome.unrecorded.push(record.job.clone());
                }
                break;
            }
        }
    }
    outcome
}

/// Notes the jobs of a write that failed while others took effect: one of their records may be the
/// cause.
fn note_failed_writes(leadership: &Leadership, jobs: &[JobName]) {
    let (now_ms, wall_ms) = (uptime_ms(), unix_millis());
    for job in jobs {
        let mut schedule = lock(&leadership.schedule);
        let stops = schedule.note_failed_write(job, jobs.len() == 1, now_ms, wall_ms);
        drop(schedule);
        leadership.dispatch(stops);
    }
}

fn mark_recorded(leadership: &Leadership, group: &[EncodedProgress]) {
    {
        let mut schedule = lock(&leadership.schedule);
        for record in group {
            schedule.mark_job_recorded(&record.job, &record.progress);
        }
    }
    for record in group {
        if let Some(ended) = record.progress.ended {
            let state = format!("{ended:?}");
            log_event!(Info, "job-ended", job = record.job, state = state);
        }
        let attempts = record.progress.attempts();
        if attempts > 0 {
            log_event!(
                Info,
                "attempts-recorded",
                job = record.job,
                attempts = attempts
            );
            leadership.plan_notify.notify_one();
        }
    }
}

/// Has a record that the store rejects written again later, or its job given up.
fn reject(node: &SchedulerNode, leadership: &Leadership, record: &EncodedProgress, detail: &str) {
    let stops = {
        let mut schedule = lock(&leadership.schedule);
        schedule.reject_progress(&record.job, uptime_ms(), unix_millis())
    };
    log_event!(
        Error,
        "record-rejected",
        job = record.job,
        bytes = record.value.len(),
        error = detail,
        stops = stops.len()
    );
    node.metrics.count_retry("record-rejected");
    leadership.dispatch(stops);
}

async fn write_group(
    node: &SchedulerNode,
    leadership: &Leadership,
    chain: WriteChain,
    group: &[EncodedProgress],
) -> Result<(), KvFault> {
    let mut transaction = KvTransaction::default();
    for record in group {
        transaction = transaction.write(progress_key(&record.job), &record.value, 0);
    }
    leadership
        .writes
        .commit(node, leadership, chain, transaction)
        .await
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
