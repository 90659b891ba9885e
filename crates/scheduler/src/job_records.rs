//! Recording jobs and cancellations in the store.

use {
    crate::{
        node::SchedulerNode,
        peers::RecordOutcome,
        store::{cancel_key, job_key, progress_key},
    },
    dotterelshore_domain::{
        names::JobName,
        schedule::{JobRecord, JobState, ProgressRecord},
    },
    dotterelshore_platform::{KvFault, KvTransaction},
    dotterelshore_wire::{log_event, timer_hub::jittered_pause},
    std::time::Duration,
};

/// Pause before a write whose answer was lost is tried again.
const UNSURE_PAUSE: Duration = Duration::from_millis(60);
/// How often a write whose answer was lost is tried, so that its caller has time left to
/// come back.
const RECORD_TRIES: u32 = 2;

/// Records a job. The same name is one job, whichever entry records it and however often.
pub(crate) async fn record_job(node: &SchedulerNode, record: &JobRecord) -> RecordOutcome {
    let Ok(value) = serde_json::to_vec(record) else {
        return RecordOutcome::NotStored;
    };
    let key = job_key(&record.name);
    let write = KvTransaction::default()
        .expect(&key, 0)
        .write(&key, &value, 0);
    for attempt in 0..RECORD_TRIES {
        match node.kv.commit(&write).await {
            Ok(revision) => {
                node.heard_store();
                log_event!(
                    Info,
                    "job-accepted",
                    job = record.name,
                    queue = record.queue,
                    revision = revision,
                    tasks = record.plan.steps.iter().map(|step| step.count).sum::<u32>()
                );
                return RecordOutcome::Stored;
            }
            Err(KvFault::Conflict { .. }) => {
                node.heard_store();
                log_event!(
                    Info,
                    "job-accepted-before",
                    job = record.name,
                    attempt = attempt
                );
                return RecordOutcome::Stored;
            }
            Err(KvFault::OutcomeUnknown { .. } | KvFault::Unreadable { .. }) => node.missed_store(),
            Err(_) if attempt > 0 => {}
            Err(fault) => {
                log_event!(Info, "job-not-stored", job = record.name, error = fault);
                node.missed_store();
                return RecordOutcome::NotStored;
            }
        }
        node.metrics.count_retry("submit");
        tokio::time::sleep(jittered_pause(UNSURE_PAUSE)).await;
    }
    node.missed_store();
    RecordOutcome::Unsure
}

/// Records that a job is cancelled.
pub(crate) async fn record_cancel(node: &SchedulerNode, job: &JobName) -> RecordOutcome {
    let write = KvTransaction::default().write(cancel_key(job), b"{}", 0);
    let step = match node.kv.read(&job_key(job)).await {
        Ok(_) => node.kv.commit(&write).await.map(|_| ()),
        Err(fault) => Err(fault),
    };
    match step {
        Ok(()) => {
            log_event!(Info, "job-cancelled", job = job);
            RecordOutcome::Stored
        }
        Err(KvFault::KeyNotFound) => RecordOutcome::NoJob,
        Err(fault) => {
            log_event!(Info, "cancel-failed", job = job, error = fault);
            node.missed_store();
            RecordOutcome::Unsure
        }
    }
}

/// Where a job stands by the store; nothing if it has no such job.
pub(crate) async fn stored_state(
    node: &SchedulerNode,
    job: &JobName,
) -> Result<Option<JobState>, KvFault> {
    let absent_is_none = |read: Result<_, KvFault>| match read {
        Ok(row) => Ok(Some(row)),
        Err(KvFault::KeyNotFound) => Ok(None),
        Err(fault) => Err(fault),
    };
    if absent_is_none(node.kv.read(&job_key(job)).await)?.is_none() {
        return Ok(None);
    }
    let progress = absent_is_none(node.kv.read(&progress_key(job)).await)?;
    let progress =
        progress.and_then(|row| serde_json::from_slice::<ProgressRecord>(&row.value).ok());
    if let Some(ended) = progress.as_ref().and_then(|progress| progress.ended) {
        return Ok(Some(ended));
    }
    if absent_is_none(node.kv.read(&cancel_key(job)).await)?.is_some() {
        return Ok(Some(JobState::Cancelled));
    }
    Ok(Some(match progress {
        Some(_) => JobState::Running,
        None => JobState::Queued,
    }))
}
