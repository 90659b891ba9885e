//! The jobs that this entry looks after.

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

/// How often the end of all job tasks is looked for on shutdown.
const END_CHECK_PERIOD: Duration = Duration::from_millis(20);
/// How often job records are looked through for old ones.
const SWEEP_PERIOD: Duration = Duration::from_secs(600);

/// The jobs that have a task here, each with its bell for cancellation.
#[derive(Debug, Default)]
pub(crate) struct JobDesk {
    bells: Mutex<FastMap<JobName, Arc<Notify>>>,
}

impl JobDesk {
    /// Tells a job's task that a cancellation was recorded.
    pub(crate) fn cancel(&self, job: &JobName) {
        if let Some(bell) = lock(&self.bells).get(job) {
            bell.notify_one();
        }
    }

    fn enter(&self, job: &JobName) -> Option<Arc<Notify>> {
        let mut bells = lock(&self.bells);
        if bells.contains_key(job) {
            return None;
        }
        let bell = Arc::new(Notify::new());
        bells.insert(job.clone(), Arc::clone(&bell));
        Some(bell)
    }

    fn leave(&self, job: &JobName) {
        lock(&self.bells).remove(job);
    }

    fn is_empty(&self) -> bool {
        lock(&self.bells).is_empty()
    }
}

/// Starts the task that sweeps out jobs which ended long ago.
pub(crate) fn start(node: &Arc<EntryNode>) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let mut interval = node.timer.interval(SWEEP_PERIOD);
        loop {
            interval.tick().await;
            if let Err(refusal) = sweep(&node).await {
                log_event!(Debug, "jobs-not-swept", error = refusal);
            }
        }
    });
}

/// Deletes the records of jobs that ended long ago: this entry's own, and those whose home
/// is no longer there.
async fn sweep(node: &EntryNode) -> Result<(), Refusal> {
    let retention = node.settings.job_retention.as_millis();
    let retention_ms = u64::try_from(retention).unwrap_or(u64::MAX);
    let list = node.store.list::<JobRecord>("job/").await?;
    let others: Vec<EntryStamp> = expected_entries(node)
        .into_iter()
        .filter(|stamp| *stamp != node.stamp)
        .collect();
    for (key, record) in list.records {
        let Some(record) = record else { continue };
        let looked_after = others.contains(&record.value.owner);
        if record.value.is_expired(unix_millis(), retention_ms) && !looked_after {
            node.store.delete(&key, record.version).await?;
        }
    }
    Ok(())
}

/// Starts a job's task, unless it has one here.
pub(super) fn look_after(node: &Arc<EntryNode>, record: JobRecord) {
    let Some(bell) = node.jobs.enter(&record.name) else {
        return;
    };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let job = record.name.clone();
        run_job(&node, record, &bell).await;
        node.jobs.leave(&job);
    });
}

/// Takes over a job that another entry handed to this one.
pub(crate) async fn take_handed(node: &Arc<EntryNode>, job: &JobName) {
    if let Ok(Some(record)) = node.store.get::<JobRecord>(&job_key(job)).await
        && record.value.owner == node.stamp
        && !record.value.state.is_terminal()
    {
        look_after(node, record.value);
    }
}

/// Waits until every job's task has ended or handed its job over, on shutdown.
pub(crate) async fn hand_over(node: &EntryNode) {
    while !node.jobs.is_empty() {
        tokio::time::sleep(END_CHECK_PERIOD).await;
    }
}

/// Adopts the jobs of an entry that is gone.
pub(crate) async fn adopt_from(node: &Arc<EntryNode>, gone: &EntryStamp) -> Result<u32, Refusal> {
    let list = node.store.list::<JobRecord>("job/").await?;
    let mut adopted = 0;
    for (key, record) in list.records {
        let Some(record) = record.map(|record| record.value) else {
            continue;
        };
        if record.owner != *gone || record.state.is_terminal() {
            continue;
        }
        let taken = node
            .store
            .update(&key, |record: Option<JobRecord>| {
                let Some(mut record) = record.filter(|record| record.owner == *gone) else {
                    return Err(Refusal::not_run(
                        ResultCode::StoreConflict,
                        "another entry adopted it",
                    ));
                };
                record.reassign(node.stamp.clone())?;
                Ok(UpdateDecision::Write(record.clone(), record))
            })
            .await;
        match taken {
            Ok(record) => {
                adopted += 1;
                look_after(node, record);
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
