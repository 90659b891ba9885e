//! The task of one job: waits for a grant, runs epochs, and records the job's end exactly once.

use {
    super::{
        job_key,
        worker_run::{StartResult, WorkerRun},
    },
    crate::{
        dispatch::{RunGrant, TargetOutcome, await_grant, choose_pool},
        node::EntryNode,
        peers,
    },
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        job::{JobRecord, JobState, RunPlace},
        names::{InstanceName, JobName},
        table::TargetKind,
    },
    dotterelshore_wire::{
        event_log::unix_millis,
        log_event,
        peer_message::PeerCall,
        store_client::UpdateDecision,
        target_message::{TaskReport, TaskState},
        timer_hub::{jittered_pause, jittered_period},
    },
    std::{pin::pin, sync::Arc, time::Duration},
    tokio::sync::Notify,
};

/// Initial interval between lease renewals, or fences; it doubles up to a third of the lease.
const RENEWAL_PAUSE_INITIAL: Duration = Duration::from_millis(15);
/// Pause between store retries; it doubles from the initial to the maximum value.
const STORE_PAUSE_INITIAL: Duration = Duration::from_millis(50);
const STORE_PAUSE_MAX: Duration = Duration::from_secs(3);
/// Pause after a job could not be started.
const START_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Interval between reads of the record of a running job, which show a cancellation whose
/// notification was lost.
const RECORD_CHECK_PERIOD: Duration = Duration::from_secs(2);
/// Longest wait for a peer to acknowledge a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Outcome of one epoch, as reported by the worker or derived from the platform's list.
enum EpochOutcome {
    Finished(String),
    Failed(String),
    NotStarted,
    /// This entry is shutting down; the task continues on its worker.
    EntryLeaving,
}

/// Supervises a job until it ends or is handed over to another entry.
pub(super) async fn run_job(node: &Arc<EntryNode>, mut record: JobRecord, cancel_signal: &Notify) {
    loop {
        let result = match record.state.clone() {
            JobState::Waiting => run_waiting(node, &record, cancel_signal).await,
            JobState::Running(place) => {
                Some(watch_adopted(node, &record, &place, cancel_signal).await)
            }
            JobState::Finished(_) | JobState::Failed(_) | JobState::Cancelled => return,
        };
        match result {
            Some(Ok(next)) => record = next,
            Some(Err(refusal)) => match reload(node, &record, &refusal).await {
                Some(next) => record = next,
                None => return,
            },
            None => return hand_over_job(node, &record).await,
        }
    }
}

/// Waits for a grant and runs one epoch; returns `None` when this entry shuts down first.
async fn run_waiting(
    node: &Arc<EntryNode>,
    record: &JobRecord,
    cancel_signal: &Notify,
) -> Option<Result<JobRecord, Refusal>> {
    let mut shutting_down = node.shutting_down.subscribe();
    let grant = tokio::select! {
        grant = await_worker_grant(node, record) => grant,
        () = cancel_signal.notified() => return Some(Err(Refusal::not_run(ResultCode::StoreConflict, "cancelled"))),
        _ = shutting_down.wait_for(|shutting_down| *shutting_down) => return None,
    };
    match grant {
        Ok(grant) => run_epoch(node, record, grant, cancel_signal).await,
        Err(refusal) => {
            tokio::time::sleep(START_RETRY_PAUSE).await;
            log_event!(Debug, "job-waits", job = record.name, error = refusal);
            Some(Ok(record.clone()))
        }
    }
}

async fn await_worker_grant(
    node: &Arc<EntryNode>,
    record: &JobRecord,
) -> Result<RunGrant, Refusal> {
    let table = node.table();
    let queue = table.queue(&record.queue)?;
    let no_team = || {
        Refusal::not_run(
            ResultCode::UnknownTeam,
            format!("no team '{}' in the table", record.team),
        )
    };
    let team = table.teams.get(&record.team).ok_or_else(no_team)?;
    let pool = choose_pool(node, queue, TargetKind::Worker);
    await_grant(node, queue, pool, team, TargetKind::Worker, None).await
}

/// Starts the next epoch on the granted worker and watches it until it ends.
async fn run_epoch(
    node: &Arc<EntryNode>,
    record: &JobRecord,
    grant: RunGrant,
    cancel_signal: &Notify,
) -> Option<Result<JobRecord, Refusal>> {
    let place = RunPlace {
        worker: grant.endpoint().name.clone(),
        entry: node.stamp.clone(),
    };
    let started = update_record(node, record, |record| record.start(place.clone()).map(drop)).await;
    let started = match started {
        Ok(started) => started,
        Err(refusal) => return Some(Err(refusal)),
    };
    let run = worker_run(&started, grant.endpoint().address.clone(), &place);
    let outcome = match run.start(node, &started).await {
        StartResult::Sent => watch_task(node, &started, &run, &place.worker, cancel_signal).await,
        StartResult::Refused => {
            grant.record_outcome(TargetOutcome::Full);
            EpochOutcome::NotStarted
        }
        StartResult::Unreachable => {
            grant.record_outcome(TargetOutcome::Unreachable);
            EpochOutcome::NotStarted
        }
    };
    match &outcome {
        EpochOutcome::Finished(_) => grant.record_outcome(TargetOutcome::Answered(None)),
        EpochOutcome::Failed(_) => grant.record_outcome(TargetOutcome::Failed),
        EpochOutcome::NotStarted => {
            tokio::time::sleep(START_RETRY_PAUSE.mul_f64(rand::random::<f64>())).await;
        }
        EpochOutcome::EntryLeaving => {
            grant.abandon();
            return None;
        }
    }
    let ended = record_epoch_outcome(node, &started, outcome).await;
    drop(grant);
    Some(ended)
}

/// Watches an epoch that another entry started and whose permit that entry holds.
async fn watch_adopted(
    node: &Arc<EntryNode>,
    record: &JobRecord,
    place: &RunPlace,
    cancel_signal: &Notify,
) -> Result<JobRecord, Refusal> {
    let unknown = || {
        Refusal::not_run(
            ResultCode::UnknownInstance,
            format!("worker '{}' is not known yet", place.worker),
        )
    };
    let worker = node.fleet.instance(&place.worker).ok_or_else(unknown)?;
    let run = worker_run(record, worker.record.address, place);
    let outcome = match watch_task(node, record, &run, &place.worker, cancel_signal).await {
        EpochOutcome::EntryLeaving => {
            return Err(Refusal::not_run(
                ResultCode::EntryLeaving,
                "this entry is shutting down",
            ));
        }
        outcome => outcome,
    };
    record_epoch_outcome(node, record, outcome).await
}

fn worker_run(record: &JobRecord, address: String, place: &RunPlace) -> WorkerRun {
    WorkerRun {
        address,
        job: record.name.to_string(),
        epoch: record.epoch,
        entry: place.entry.to_string(),
    }
}

/// Renews the lease until the worker reports, or the platform's list shows, that the task ended.
///
/// A cancelled task is fenced instead of renewed.
async fn watch_task(
    node: &EntryNode,
    record: &JobRecord,
    run: &WorkerRun,
    worker: &InstanceName,
    cancel_signal: &Notify,
) -> EpochOutcome {
    let pause_max = node.settings.task_lease / 3;
    let mut pause = RENEWAL_PAUSE_INITIAL;
    let mut shutting_down = node.shutting_down.subscribe();
    let mut cancelled = pin!(await_cancellation(node, &record.name, cancel_signal));
    // The previous owner may have ended before it fenced a cancelled task.
    let mut fencing = record.cancel_requested;
    loop {
        let report = if fencing {
            run.fence(node).await
        } else {
            run.renew(node).await
        };
        match report {
            Some(TaskReport {
                state: TaskState::Finished,
                text,
                ..
            }) => return EpochOutcome::Finished(text),
            Some(TaskReport {
                state: TaskState::Failed,
                text,
                ..
            }) => return EpochOutcome::Failed(text),
            Some(TaskReport {
                state: TaskState::Never,
                ..
            }) if fencing => return EpochOutcome::NotStarted,
            // The start request may still arrive; the next call fences the epoch.
            Some(TaskReport {
                state: TaskState::Never,
                ..
            }) => fencing = true,
            None if node.fleet.is_stopped(worker) => {
                return EpochOutcome::Failed("the worker stopped".to_owned());
            }
            Some(_) | None => {}
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = &mut cancelled, if !fencing => {
                fencing = true;
                pause = RENEWAL_PAUSE_INITIAL;
            }
            _ = shutting_down.wait_for(|shutting_down| *shutting_down) => return EpochOutcome::EntryLeaving,
        }
        pause = pause_max.min(pause * 2);
    }
}

/// Waits until a running job's cancellation is notified, or found in its record.
async fn await_cancellation(node: &EntryNode, job: &JobName, cancel_signal: &Notify) {
    loop {
        let pause = jittered_period(RECORD_CHECK_PERIOD);
        if tokio::time::timeout(pause, cancel_signal.notified())
            .await
            .is_ok()
        {
            return;
        }
        if let Ok(Some(read)) = node.store.get::<JobRecord>(&job_key(job)).await
            && read.value.cancel_requested
        {
            log_event!(Info, "cancellation-found", job = job);
            return;
        }
    }
}

/// Records the outcome of an epoch, and retries while the store is unavailable.
async fn record_epoch_outcome(
    node: &EntryNode,
    record: &JobRecord,
    outcome: EpochOutcome,
) -> Result<JobRecord, Refusal> {
    let mut pause = STORE_PAUSE_INITIAL;
    loop {
        let epoch = record.epoch;
        let recorded = update_record(node, record, |record| match &outcome {
            EpochOutcome::Finished(text) => record.finish(epoch, text.clone()),
            EpochOutcome::Failed(reason) => record.fail_run(epoch, reason),
            EpochOutcome::NotStarted | EpochOutcome::EntryLeaving => record.undo_start(epoch),
        });
        match recorded.await {
            Err(refusal)
                if matches!(
                    refusal.code,
                    ResultCode::StoreDown | ResultCode::StoreUnsure
                ) =>
            {
                tokio::time::sleep(jittered_pause(pause)).await;
                pause = STORE_PAUSE_MAX.min(pause * 2);
            }
            recorded => return recorded,
        }
    }
}

/// Applies a change to a job's record in the store, and returns the new record.
async fn update_record(
    node: &EntryNode,
    record: &JobRecord,
    change: impl Fn(&mut JobRecord) -> Result<(), Refusal>,
) -> Result<JobRecord, Refusal> {
    let missing = || {
        Refusal::not_run(
            ResultCode::UnknownJob,
            format!("the record of job '{}' is gone", record.name),
        )
    };
    node.store
        .update(&job_key(&record.name), |read: Option<JobRecord>| {
            let mut next = read.ok_or_else(missing)?;
            change(&mut next)?;
            next.mark_ended(unix_millis());
            Ok(UpdateDecision::Write(next.clone(), next))
        })
        .await
}

/// Reads the record again after a change was refused.
///
/// Returns `None` if the job is handed over, or if its record no longer names this entry as the
/// owner.
async fn reload(node: &EntryNode, record: &JobRecord, refusal: &Refusal) -> Option<JobRecord> {
    log_event!(
        Debug,
        "job-step-refused",
        job = record.name,
        error = refusal
    );
    let mut pause = STORE_PAUSE_INITIAL;
    loop {
        if node.is_shutting_down() && refusal.code == ResultCode::EntryLeaving {
            hand_over_job(node, record).await;
            return None;
        }
        match node.store.get::<JobRecord>(&job_key(&record.name)).await {
            Ok(Some(read)) if read.value.owner == node.stamp => {
                tokio::time::sleep(STORE_PAUSE_INITIAL).await;
                return Some(read.value);
            }
            Ok(_) => return None,
            Err(_) => tokio::time::sleep(jittered_pause(pause)).await,
        }
        pause = STORE_PAUSE_MAX.min(pause * 2);
    }
}

/// Hands a job over to a random live entry while this one shuts down.
async fn hand_over_job(node: &EntryNode, record: &JobRecord) {
    let successors = node
        .members
        .live()
        .into_iter()
        .filter(|member| !member.leaving);
    let Some(successor) = successors.min_by_key(|_| rand::random::<u32>()) else {
        log_event!(Warn, "job-handover-failed", job = record.name);
        return;
    };
    let updated = update_record(node, record, |record| {
        record.reassign(successor.stamp.clone())
    })
    .await;
    if updated.is_ok() {
        let call = PeerCall::JobHanded {
            job: record.name.clone(),
        };
        let acknowledged = peers::call(node, &successor.stamp.name, call, HANDOVER_TIMEOUT).await;
        log_event!(
            Info,
            "job-handed",
            job = record.name,
            to = successor.stamp,
            noted = acknowledged.is_some()
        );
    }
}
