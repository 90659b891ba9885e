//! Workers: tasks under leases, by epoch.

use {
    super::{
        target_front::{TargetAnswer, TargetFront, header_text, query_text, vouched, whole},
        target_work::{ResponseMode, TargetWork},
    },
    crate::history::HistoryEvent,
    dotterelshore_domain::collections::FastMap,
    dotterelshore_wire::{
        http_server::{content_response, json_response, read_body},
        target_message::{
            HEADER_ENTRY, HEADER_EPOCH, HEADER_LEASE_MS, HEADER_TEAM, RunningReport, TaskReport,
            TaskState,
        },
    },
    hyper::{Method, Request, body::Incoming},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// Largest body taken, in bytes.
const BODY_BYTES_MAX: usize = 1024 * 1024;

#[derive(Debug)]
struct KnownTask {
    report: TaskReport,
    entry: String,
    lease_until: Instant,
    stop: Arc<Notify>,
}

/// The tasks of one worker, the newest epoch of each job.
#[derive(Debug, Default)]
pub(super) struct WorkerTasks {
    tasks: Mutex<FastMap<String, KnownTask>>,
}

impl WorkerTasks {
    fn lock(&self) -> MutexGuard<'_, FastMap<String, KnownTask>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers one call to a worker.
pub(super) async fn answer(target: Arc<TargetFront>, request: Request<Incoming>) -> TargetAnswer {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let epoch = query_text(&request, "epoch")
        .and_then(|epoch| epoch.parse().ok())
        .unwrap_or_default();
    if path == "/running" {
        let running = running(&target, query_text(&request, "entry").as_deref());
        return whole(json_response(200, &RunningReport { running }));
    }
    let Some(rest) = path.strip_prefix("/tasks/") else {
        return whole(content_response(404, "text/plain", "no such path"));
    };
    match (method, rest.split_once('/')) {
        (Method::PUT, None) => start(target, rest.to_owned(), request).await,
        (Method::GET, None) => whole(json_response(200, &report(&target, rest, epoch))),
        (Method::DELETE, None) => whole(json_response(200, &fence(&target, rest, epoch))),
        (Method::POST, Some((job, "lease"))) => {
            let lease = lease_of(&request);
            whole(json_response(
                200,
                &renew(
                    &target,
                    job,
                    epoch,
                    lease,
                    &header_text(&request, HEADER_ENTRY),
                ),
            ))
        }
        _ => whole(content_response(404, "text/plain", "no such path")),
    }
}

fn lease_of(request: &Request<Incoming>) -> Duration {
    Duration::from_millis(
        header_text(request, HEADER_LEASE_MS)
            .parse()
            .unwrap_or_default(),
    )
}

fn running(target: &TargetFront, entry: Option<&str>) -> u32 {
    let tasks = target.tasks.lock();
    let asked = |task: &&KnownTask| entry.is_none_or(|entry| task.entry == entry);
    let count = tasks
        .values()
        .filter(asked)
        .filter(|task| task.report.state == TaskState::Running)
        .count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn report(target: &TargetFront, job: &str, epoch: u64) -> TaskReport {
    let tasks = target.tasks.lock();
    let known = tasks
        .get(job)
        .filter(|task| task.report.epoch >= epoch)
        .map(|task| task.report.clone());
    known.unwrap_or(TaskReport {
        epoch,
        state: TaskState::Never,
        text: String::new(),
    })
}

/// Stops a task, and sees to it that an epoch that has not begun never will.
fn fence(target: &TargetFront, job: &str, epoch: u64) -> TaskReport {
    let mut tasks = target.tasks.lock();
    if let Some(task) = tasks.get(job).filter(|task| task.report.epoch >= epoch) {
        task.stop.notify_one();
        return task.report.clone();
    }
    let report = TaskReport {
        epoch,
        state: TaskState::Never,
        text: String::new(),
    };
    let task = KnownTask {
        report: report.clone(),
        entry: String::new(),
        lease_until: Instant::now(),
        stop: Arc::new(Notify::new()),
    };
    tasks.insert(job.to_owned(), task);
    report
}

fn renew(target: &TargetFront, job: &str, epoch: u64, lease: Duration, entry: &str) -> TaskReport {
    if let Some(task) = target
        .tasks
        .lock()
        .get_mut(job)
        .filter(|task| task.report.epoch == epoch)
    {
        task.lease_until = Instant::now() + lease;
        entry.clone_into(&mut task.entry);
    }
    report(target, job, epoch)
}

async fn start(target: Arc<TargetFront>, job: String, request: Request<Incoming>) -> TargetAnswer {
    let epoch: u64 = header_text(&request, HEADER_EPOCH)
        .parse()
        .unwrap_or_default();
    let team = header_text(&request, HEADER_TEAM);
    let entry = header_text(&request, HEADER_ENTRY);
    let lease = lease_of(&request);
    let Ok(body) = read_body(request.into_body(), BODY_BYTES_MAX).await else {
        return vouched("body incomplete");
    };
    if running(&target, None) >= target.slots {
        return vouched("full");
    }
    let stop = Arc::new(Notify::new());
    {
        let mut tasks = target.tasks.lock();
        if tasks
            .get(&job)
            .is_some_and(|task| task.report.epoch >= epoch)
        {
            return vouched("known or fenced");
        }
        let report = TaskReport {
            epoch,
            state: TaskState::Running,
            text: String::new(),
        };
        let task = KnownTask {
            report,
            entry,
            lease_until: Instant::now() + lease,
            stop: Arc::clone(&stop),
        };
        tasks.insert(job.clone(), task)
    };
    target.history.record(HistoryEvent::TaskBegun {
        target: target.name.clone(),
        job: job.clone(),
        epoch,
        team: team.clone(),
    });
    tokio::spawn(async move { carry_out(&target, &job, epoch, team, &body, &stop).await });
    whole(content_response(201, "text/plain", "begun"))
}

async fn carry_out(
    target: &TargetFront,
    job: &str,
    epoch: u64,
    team: String,
    body: &[u8],
    stop: &Notify,
) {
    let work = TargetWork::parse(body);
    let (state, text, interrupted) = tokio::select! {
        () = tokio::time::sleep(work.duration()) => {
            if work.response_mode == ResponseMode::Fail || target.behaviour().fail_all {
                (TaskState::Failed, "the task failed".to_owned(), false)
            } else {
                (TaskState::Finished, format!("done:{}", work.nonce), false)
            }
        }
        () = stop.notified() => (TaskState::Failed, "stopped".to_owned(), false),
        () = lease_lapsed(target, job) => (TaskState::Failed, "lease lapsed".to_owned(), false),
        () = target.cut() => (TaskState::Failed, "the worker stopped".to_owned(), true),
    };
    target.history.record(HistoryEvent::TaskEnded {
        target: target.name.clone(),
        job: job.to_owned(),
        epoch,
        team,
        finished: state == TaskState::Finished,
        interrupted,
    });
    if let Some(task) = target.tasks.lock().get_mut(job) {
        task.report = TaskReport { epoch, state, text };
    }
}

async fn lease_lapsed(target: &TargetFront, job: &str) {
    loop {
        let until = target.tasks.lock().get(job).map(|task| task.lease_until);
        match until {
            Some(until) if until > Instant::now() => tokio::time::sleep_until(until).await,
            _ => return,
        }
    }
}
