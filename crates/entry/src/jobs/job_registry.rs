//! The jobs that this entry supervises.

use {
    super::{job_key, job_run::run_job},
    crate::{
        node::{EntryNode, lock},
        table::expected_entries,
    },
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        collections::FastMap,
        job::JobRecord,
        names::{EntryStamp, JobName},
    },
    dotterelshore_wire::{event_log::unix_millis, log_event, store_client::UpdateDecision},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Interval at which shutdown checks whether all job tasks have ended.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(20);
/// Interval between deletions of expired job records.
const REMOVAL_PERIOD: Duration = Duration::from_secs(600);

/// The jobs with a task in this entry, each with the signal that wakes it on cancellation.
#[derive(Debug, Default)]
pub(crate) struct JobRegistry {
    cancel_signals: Mutex<FastMap<JobName, Arc<Notify>>>,
}

impl JobRegistry {
    /// Notifies a job's task that a cancellation was recorded.
    pub(crate) fn notify_cancelled(&self, job: &JobName) {
        if let Some(cancel_signal) = lock(&self.cancel_signals).get(job) {
            cancel_signal.notify_one();
        }
    }

    fn register(&self, job: &JobName) -> Option<Arc<Notify>> {
        let mut cancel_signals = lock(&self.cancel_signals);
        if cancel_signals.contains_key(job) {
            return None;
        }
        let cancel_signal = Arc::new(Notify::new());
        cancel_signals.insert(job.clone(), Arc::clone(&cancel_signal));
        Some(cancel_signal)
    }

    fn unregister(&self, job: &JobName) {
        lock(&self.cancel_signals).remove(job);
    }

    fn is_empty(&self) -> bool {
        lock(&self.cancel_signals).is_empty()
    }
}

/// Starts the task that deletes expired job records.
pub(crate) fn start(node: &Arc<EntryNode>) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let mut interval = node.timer.interval(REMOVAL_PERIOD);
        loop {
            interval.tick().await;
            if let Err(refusal) = delete_expired_jobs(&node).await {
                log_event!(Debug, "job-expiry-failed", error = refusal);
            }
        }
    });
}

/// Deletes the records of jobs that ended longer ago than the retention period.
///
/// It covers this entry's own jobs and those whose owner is no longer live.
async fn delete_expired_jobs(node: &EntryNode) -> Result<(), Refusal> {
    let retention = node.settings.job_retention.as_millis();
    let retention_ms = u64::try_from(retention).unwrap_or(u64::MAX);
    let list = node.store.list::<JobRecord>("job/").await?;
    let others: Vec<EntryStamp> = expected_entries(node)
        .into_iter()
        .filter(|stamp| *stamp != node.stamp)
        .collect();
    for (key, record) in list.records {
        let Some(record) = record else { continue };
        let is_owned_by_peer = others.contains(&record.value.owner);
        if record.value.is_expired(unix_millis(), retention_ms) && !is_owned_by_peer {
            node.store.delete(&key, record.version).await?;
        }
    }
    Ok(())
}

/// Starts a job's task unless the job already has one in this entry, and returns whether it did.
pub(super) fn start_job_task(node: &Arc<EntryNode>, record: JobRecord) -> bool {
    let Some(cancel_signal) = node.jobs.register(&record.name) else {
        return false;
    };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let job = record.name.clone();
        run_job(&node, record, &cancel_signal).await;
        node.jobs.unregister(&job);
    });
    true
}

/// Starts the task of a job that another entry handed over to this one.
pub(crate) async fn accept_handover(node: &Arc<EntryNode>, job: &JobName) {
    if let Ok(Some(record)) = node.store.get::<JobRecord>(&job_key(job)).await
        && record.value.owner == node.stamp
        && !record.value.state.is_terminal()
    {
        start_job_task(node, record.value);
    }
}

/// Waits until every job task has ended or handed its job over, during shutdown.
pub(crate) async fn wait_for_tasks(node: &EntryNode) {
    while !node.jobs.is_empty() {
        tokio::time::sleep(IDLE_CHECK_PERIOD).await;
    }
}

/// Starts the tasks of the unfinished jobs that a removed entry owned, or handed over to this
/// entry without notifying it, and returns their number.
///
/// # Errors
///
/// Fails if the store can't be read or written. Jobs that another entry adopts first are
/// skipped.
pub(crate) async fn adopt_jobs_of(
    node: &Arc<EntryNode>,
    removed: &EntryStamp,
) -> Result<u32, Refusal> {
    let list = node.store.list::<JobRecord>("job/").await?;
    let mut adopted = 0;
    for (key, record) in list.records {
        let Some(record) = record.map(|record| record.value) else {
            continue;
        };
        if record.state.is_terminal() {
            continue;
        }
        if record.owner == node.stamp {
            adopted += u32::from(start_job_task(node, record));
            continue;
        }
        if record.owner != *removed {
            continue;
        }
        let updated = node
            .store
            .update(&key, |record: Option<JobRecord>| {
                let Some(mut record) = record.filter(|record| record.owner == *removed) else {
                    return Err(Refusal::not_run(
                        ResultCode::StoreConflict,
                        "another entry adopted it",
                    ));
                };
                record.reassign(node.stamp.clone())?;
                Ok(UpdateDecision::Write(record.clone(), record))
            })
            .await;
        match updated {
            Ok(record) => {
                adopted += u32::from(start_job_task(node, record));
            }
            Err(refusal)
                if matches!(
                    refusal.code,
                    ResultCode::StoreConflict | ResultCode::JobEnded
                ) => {}
            Err(refusal) => return Err(refusal),
        }
    }
    Ok(adopted)
}
