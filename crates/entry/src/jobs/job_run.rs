//! One job's task: from waiting to its one recorded end.

use {
    super::{
        job_key,
        worker_link::{StartResult, WorkerRun},
    },
    crate::{
        dispatch::{RunTurn, TargetResult, await_turn, choose_pool},
        node::EntryNode,
        peers,
    },
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        job::{JobRecord, JobState, RunPlace},
        names::InstanceName,
        table::TargetKind,
    },
    dotterelshore_wire::{
        event_log::unix_millis,
        log_event,
        peer_message::PeerCall,
        store_client::UpdateDecision,
        target_message::{TaskReport, TaskState},
        timer_hub::jittered_pause,
    },
    std::{sync::Arc, time::Duration},
    tokio::sync::Notify,
};

/// First pause between askings after a running task; it doubles up to a third of the lease.
const ASK_FIRST: Duration = Duration::from_millis(15);
/// First and longest pause between tries to record a step while the store is away.
const RECORD_FIRST: Duration = Duration::from_millis(50);
const RECORD_LONGEST: Duration = Duration::from_secs(3);
/// Pause after a worker did not take a job.
const START_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for a peer to take a job over.
const HAND_TIMEOUT: Duration = Duration::from_millis(1500);

/// How a task ended, as its worker or the platform tells.
enum TaskEnd {
    Finished(String),
    Failed(String),
    NeverBegan,
    /// This entry leaves; the task goes on.
    Left,
}

/// Looks after a job until it ends or is handed over.
pub(super) async fn run_job(node: &Arc<EntryNode>, mut record: JobRecord, bell: &Notify) {
    loop {
        let step = match record.state.clone() {
            JobState::Waiting => run_waiting(node, &record, bell).await,
            JobState::Running(place) => Some(run_adopted(node, &record, &place, bell).await),
            JobState::Finished(_) | JobState::Failed(_) | JobState::Cancelled => return,
        };
        match step {
            Some(Ok(next)) => record = next,
            Some(Err(refusal)) => match reread(node, &record, &refusal).await {
                Some(next) => record = next,
                None => return,
            },
            None => return hand_on(node, &record).await,
        }
    }
}

/// Waits for a turn and runs one epoch; `None` when this entry leaves first.
async fn run_waiting(
    node: &Arc<EntryNode>,
    record: &JobRecord,
    bell: &Notify,
) -> Option<Result<JobRecord, Refusal>> {
    let mut leaving = node.leaving.subscribe();
    let turn = tokio::select! {
        turn = wait_turn(node, record) => turn,
        () = bell.notified() => return Some(Err(Refusal::not_run(ResultCode::StoreConflict, "cancelled"))),
        _ = leaving.wait_for(|leaving| *leaving) => return None,
    };
    match turn {
        Ok(turn) => run_epoch(node, record, turn, bell).await,
        Err(refusal) => {
            tokio::time::sleep(START_PAUSE).await;
            log_event!(Debug, "job-waits", job = record.name, error = refusal);
            Some(Ok(record.clone()))
        }
    }
}

async fn wait_turn(node: &Arc<EntryNode>, record: &JobRecord) -> Result<RunTurn, Refusal> {
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
    await_turn(node, queue, pool, team, TargetKind::Worker, None).await
}

/// Starts the next epoch on the turn's worker and sees it through.
async fn run_epoch(
    node: &Arc<EntryNode>,
    record: &JobRecord,
    turn: RunTurn,
    bell: &Notify,
) -> Option<Result<JobRecord, Refusal>> {
    let place = RunPlace {
        worker: turn.seat().name.clone(),
        entry: node.stamp.clone(),
    };
    let started = step(node, record, |record| record.start(place.clone()).map(drop)).await;
    let started = match started {
        Ok(started) => started,
        Err(refusal) => return Some(Err(refusal)),
    };
    let run = worker_run(&started, turn.seat().address.clone(), &place);
    let end = match run.start(node, &started).await {
        StartResult::Sent => watch_task(node, &run, &place.worker, bell).await,
        StartResult::Refused => {
            turn.note(TargetResult::Full);
            TaskEnd::NeverBegan
        }
        StartResult::Unreachable => {
            turn.note(TargetResult::Unreachable);
            TaskEnd::NeverBegan
        }
    };
    match &end {
        TaskEnd::Finished(_) => turn.note(TargetResult::Answered(None)),
        TaskEnd::Failed(_) => turn.note(TargetResult::Failed),
        TaskEnd::NeverBegan => tokio::time::sleep(START_PAUSE.mul_f64(rand::random::<f64>())).await,
        TaskEnd::Left => {
            turn.strand();
            return None;
        }
    }
    let ended = record_end(node, &started, end).await;
    drop(turn);
    Some(ended)
}

/// Sees through an epoch that another entry started; it stays on that entry's permit.
async fn run_adopted(
    node: &Arc<EntryNode>,
    record: &JobRecord,
    place: &RunPlace,
    bell: &Notify,
) -> Result<JobRecord, Refusal> {
    let unknown = || {
        Refusal::not_run(
            ResultCode::UnknownInstance,
            format!("worker '{}' is not known yet", place.worker),
        )
    };
    let worker = node.fleet.instance(&place.worker).ok_or_else(unknown)?;
    let run = worker_run(record, worker.record.address, place);
    let end = match watch_task(node, &run, &place.worker, bell).await {
        TaskEnd::Left => {
            return Err(Refusal::not_run(
                ResultCode::EntryLeaving,
                "this entry is shutting down",
            ));
        }
        end => end,
    };
    record_end(node, record, end).await
}

fn worker_run(record: &JobRecord, address: String, place: &RunPlace) -> WorkerRun {
    WorkerRun {
        address,
        job: record.name.to_string(),
        epoch: record.epoch,
        entry: place.entry.to_string(),
    }
}

/// Renews the lease until the worker's word, or the platform's, shows that the task ended.
async fn watch_task(
    node: &EntryNode,
    run: &WorkerRun,
    worker: &InstanceName,
    bell: &Notify,
) -> TaskEnd {
    let longest = node.settings.task_lease / 3;
    let mut pause = ASK_FIRST;
    let mut leaving = node.leaving.subscribe();
    let mut stopping = false;
    loop {
        let report = if stopping {
            run.fence(node).await
        } else {
            run.renew(node).await
        };
        match report {
            Some(TaskReport {
                state: TaskState::Finished,
                text,
                ..
            }) => return TaskEnd::Finished(text),
            Some(TaskReport {
                state: TaskState::Failed,
                text,
                ..
            }) => return TaskEnd::Failed(text),
            Some(TaskReport {
                state: TaskState::Never,
                ..
            }) if stopping => return TaskEnd::NeverBegan,
            // The start may still be on its way: the next asking shuts it out.
            Some(TaskReport {
                state: TaskState::Never,
                ..
            }) => stopping = true,
            None if node.fleet.is_stopped(worker) => {
                return TaskEnd::Failed("the worker stopped".to_owned());
            }
            Some(_) | None => {}
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = bell.notified() => stopping = true,
            _ = leaving.wait_for(|leaving| *leaving) => return TaskEnd::Left,
        }
        pause = longest.min(pause * 2);
    }
}

/// Records how an epoch ended, however long the store is away.
async fn record_end(
    node: &EntryNode,
    record: &JobRecord,
    end: TaskEnd,
) -> Result<JobRecord, Refusal> {
    let mut pause = RECORD_FIRST;
    loop {
        let epoch = record.epoch;
        let recorded = step(node, record, |record| match &end {
            TaskEnd::Finished(text) => record.finish(epoch, text.clone()),
            TaskEnd::Failed(reason) => record.fail_run(epoch, reason),
            TaskEnd::NeverBegan | TaskEnd::Left => record.undo_start(epoch),
        });
        match recorded.await {
            Err(refusal)
                if matches!(
                    refusal.code,
                    ResultCode::StoreDown | ResultCode::StoreUnsure
                ) =>
            {
                tokio::time::sleep(jittered_pause(pause)).await;
                pause = RECORD_LONGEST.min(pause * 2);
            }
            recorded => return recorded,
        }
    }
}

/// One step of a job's record.
async fn step(
    node: &EntryNode,
    record: &JobRecord,
    change: impl Fn(&mut JobRecord) -> Result<(), Refusal>,
) -> Result<JobRecord, Refusal> {
    let lost = || {
        Refusal::not_run(
            ResultCode::UnknownJob,
            format!("the record of job '{}' is gone", record.name),
        )
    };
    node.store
        .update(&job_key(&record.name), |read: Option<JobRecord>| {
            let mut next = read.ok_or_else(lost)?;
            change(&mut next)?;
            next.mark_ended(unix_millis());
            Ok(UpdateDecision::Write(next.clone(), next))
        })
        .await
}

/// The record as it stands after a step was refused; `None` when there is nothing left to
/// look after.
async fn reread(node: &EntryNode, record: &JobRecord, refusal: &Refusal) -> Option<JobRecord> {
    log_event!(
        Debug,
        "job-step-refused",
        job = record.name,
        error = refusal
    );
    let mut pause = RECORD_FIRST;
    loop {
        if node.is_leaving() && refusal.code == ResultCode::EntryLeaving {
            hand_on(node, record).await;
            return None;
        }
        match node.store.get::<JobRecord>(&job_key(&record.name)).await {
            Ok(Some(read)) if read.value.owner == node.stamp => {
                tokio::time::sleep(RECORD_FIRST).await;
                return Some(read.value);
            }
            Ok(_) => return None,
            Err(_) => tokio::time::sleep(jittered_pause(pause)).await,
        }
        pause = RECORD_LONGEST.min(pause * 2);
    }
}

/// Hands a job to a live entry, when this one leaves.
async fn hand_on(node: &EntryNode, record: &JobRecord) {
    let heirs = node
        .members
        .live()
        .into_iter()
        .filter(|member| !member.leaving);
    let Some(heir) = heirs.min_by_key(|_| rand::random::<u32>()) else {
        log_event!(Warn, "job-not-handed", job = record.name);
        return;
    };
    let handed = step(node, record, |record| record.reassign(heir.stamp.clone())).await;
    if handed.is_ok() {
        let call = PeerCall::JobHanded {
            job: record.name.clone(),
        };
        let noted = peers::call(node, &heir.stamp.name, call, HAND_TIMEOUT).await;
        log_event!(
            Info,
            "job-handed",
            job = record.name,
            to = heir.stamp,
            noted = noted.is_some()
        );
    }
}
