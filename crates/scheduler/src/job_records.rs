//! Records jobs and cancellations in the store, and reads job states from it.

use {
    crate::{
        hedged_call,
        node::{SchedulerNode, uptime_ms},
        peers::{PeerCall, WriteOutcome, announce},
        store::{cancel_key, job_key, progress_key},
    },
    dotterelshore_domain::{
        names::JobName,
        schedule::{JobRecord, JobState, ProgressRecord},
    },
    dotterelshore_platform::{KvFault, KvTransaction},
    dotterelshore_wire::{log_event, timer_hub::jittered_pause},
    std::{sync::Arc, time::Duration},
};

/// Pause before a write whose outcome is unknown is repeated.
const RECORD_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Attempts at a write whose outcome is unknown; few, so that the caller has time left to repeat
/// its call.
const RECORD_ATTEMPTS: u32 = 2;

/// How long the cancellation of a job without a record stays in the store: longer than a write of
/// its record may be on its way.
const EARLY_CANCEL_LEASE: Duration = Duration::from_secs(30);

/// Records a job and tells the owner. A name identifies one job, so that repeats at any entry have
/// no effect. Returns
/// `NoJob` if the job was cancelled before it was recorded.
pub(crate) async fn record_job(node: &Arc<SchedulerNode>, record: &JobRecord) -> WriteOutcome {
    let Ok(value) = serde_json::to_vec(record) else {
        return WriteOutcome::NotStored;
    };
    let key = job_key(&record.name);
    let transaction = KvTransaction::default()
        .expect(&key, 0)
        .expect(cancel_key(&record.name), 0)
        .write(&key, &value, 0);
    for attempt in 0..RECORD_ATTEMPTS {
        let sent_ms = uptime_ms();
        match hedged_call::commit(node, &transaction).await {
            Ok(revision) => {
                node.mark_store_reachable(sent_ms);
                log_event!(
                    Info,
                    "job-accepted",
                    job = record.name,
                    queue = record.queue,
                    revision = revision,
                    tasks = record.plan.steps.iter().map(|step| step.count).sum::<u32>()
                );
                announce(node, PeerCall::Recorded(Box::new(record.clone())));
                return WriteOutcome::Stored;
            }
            Err(KvFault::Conflict { rows }) if rows.iter().all(|row| row.key != key) => {
                node.mark_store_reachable(sent_ms);
                log_event!(Info, "job-cancelled-before", job = record.name);
                return WriteOutcome::NoJob;
            }
            Err(KvFault::Conflict { rows }) => {
                node.mark_store_reachable(sent_ms);
                if rows.iter().any(|row| row.key == key && row.value == value) {
                    announce(node, PeerCall::Recorded(Box::new(record.clone())));
                }
                log_event!(
                    Info,
                    "job-accepted-before",
                    job = record.name,
                    attempt = attempt
                );
                return WriteOutcome::Stored;
            }
            Err(KvFault::OutcomeUnknown { .. } | KvFault::Unreadable { .. }) => {
                node.mark_store_unreachable();
            }
            Err(KvFault::Rejected { detail }) => {
                let bytes = value.len();
                log_event!(
                    Info,
                    "job-rejected",
                    job = record.name,
                    bytes = bytes,
                    error = detail
                );
                return WriteOutcome::Rejected;
            }
            Err(_) if attempt > 0 => {}
            Err(fault) => {
                log_event!(Info, "job-not-stored", job = record.name, error = fault);
                node.mark_store_unreachable();
                return WriteOutcome::NotStored;
            }
        }
        node.metrics.count_retry("submit");
        tokio::time::sleep(jittered_pause(RECORD_RETRY_PAUSE)).await;
    }
    node.mark_store_unreachable();
    WriteOutcome::Unsure
}

/// Records the cancellation of a job and tells the owner. A job without a record can't be recorded
/// later.
pub(crate) async fn record_cancel(node: &Arc<SchedulerNode>, job: &JobName) -> WriteOutcome {
    let written = match node.kv.read(&job_key(job)).await {
        Ok(_) => write_cancel(node, job).await,
        Err(KvFault::KeyNotFound) => write_early_cancel(node, job).await,
        Err(fault) => Err(fault),
    };
    match written {
        Ok(outcome) => {
            log_event!(
                Info,
                "job-cancelled",
                job = job,
                recorded = outcome == WriteOutcome::Stored
            );
            outcome
        }
        Err(fault) => {
            log_event!(Info, "cancel-failed", job = job, error = fault);
            node.mark_store_unreachable();
            WriteOutcome::Unsure
        }
    }
}

async fn write_cancel(node: &Arc<SchedulerNode>, job: &JobName) -> Result<WriteOutcome, KvFault> {
    let transaction = KvTransaction::default().write(cancel_key(job), b"{}", 0);
    let revision = hedged_call::commit(node, &transaction).await?;
    let job = job.clone();
    announce(node, PeerCall::Cancelled { job, revision });
    Ok(WriteOutcome::Stored)
}

/// Cancels a job that has no record, so that a write of one that is still on its way has no
/// effect.
async fn write_early_cancel(
    node: &Arc<SchedulerNode>,
    job: &JobName,
) -> Result<WriteOutcome, KvFault> {
    let (lease, _) = node.kv.create_lease(EARLY_CANCEL_LEASE).await?;
    let transaction =
        KvTransaction::default()
            .expect(job_key(job), 0)
            .write(cancel_key(job), b"{}", lease);
    match hedged_call::commit(node, &transaction).await {
        Ok(_) => Ok(WriteOutcome::NoJob),
        Err(KvFault::Conflict { .. }) => write_cancel(node, job).await,
        Err(fault) => Err(fault),
    }
}

/// Reads a job's state from the store; `None` if it has no such job.
pub(crate) async fn stored_state(
    node: &SchedulerNode,
    job: &JobName,
) -> Result<Option<JobState>, KvFault> {
    let optional_row = |read: Result<_, KvFault>| match read {
        Ok(row) => Ok(Some(row)),
        Err(KvFault::KeyNotFound) => Ok(None),
        Err(fault) => Err(fault),
    };
    if optional_row(node.kv.read(&job_key(job)).await)?.is_none() {
        return Ok(None);
    }
    let progress = optional_row(node.kv.read(&progress_key(job)).await)?;
    let progress =
        progress.and_then(|row| serde_json::from_slice::<ProgressRecord>(&row.value).ok());
    if let Some(ended) = progress.as_ref().and_then(|progress| progress.ended) {
        return Ok(Some(ended));
    }
    if optional_row(node.kv.read(&cancel_key(job)).await)?.is_some() {
        return Ok(Some(JobState::Cancelled));
    }
    Ok(Some(match progress {
        Some(_) => JobState::Running,
        None => JobState::Queued,
    }))
}
