//! Worker stand-in: runs tasks under leases and fences them by epoch.

use {
    super::{
        target_server::{
            TargetResponse, TargetServer, boxed, header_text, not_run_refusal, query_text,
        },
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

/// Maximum size of a task's body, in bytes.
const BODY_BYTES_MAX: usize = 1024 * 1024;

#[derive(Debug)]
struct TaskRecord {
    report: TaskReport,
    entry: String,
    lease_until: Instant,
    stop: Arc<Notify>,
}

/// The tasks of one worker: the latest epoch of each job.
#[derive(Debug, Default)]
pub(super) struct WorkerTasks {
    tasks: Mutex<FastMap<String, TaskRecord>>,
}

impl WorkerTasks {
    fn lock(&self) -> MutexGuard<'_, FastMap<String, TaskRecord>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Responds to one call to a worker.
pub(super) async fn respond(
    target: Arc<TargetServer>,
    request: Request<Incoming>,
) -> TargetResponse {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let epoch = query_text(&request, "epoch")
        .and_then(|epoch| epoch.parse().ok())
        .unwrap_or_default();
    if path == "/running" {
        let running = count_running(&target, query_text(&request, "entry").as_deref());
        return boxed(json_response(200, &RunningReport { running }));
    }
    let Some(rest) = path.strip_prefix("/tasks/") else {
        return boxed(content_response(404, "text/plain", "no such path"));
    };
    match (method, rest.split_once('/')) {
        (Method::PUT, None) => start(target, rest.to_owned(), request).await,
        (Method::GET, None) => boxed(json_response(200, &report(&target, rest, epoch))),
        (Method::DELETE, None) => boxed(json_response(200, &fence(&target, rest, epoch))),
        (Method::POST, Some((job, "lease"))) => {
            let lease = parse_lease(&request);
            boxed(json_response(
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
        _ => boxed(content_response(404, "text/plain", "no such path")),
    }
}

fn parse_lease(request: &Request<Incoming>) -> Duration {
    Duration::from_millis(
        header_text(request, HEADER_LEASE_MS)
            .parse()
            .unwrap_or_default(),
    )
}

fn count_running(target: &TargetServer, entry: Option<&str>) -> u32 {
    let tasks = target.tasks.lock();
    let matches_entry = |task: &&TaskRecord| entry.is_none_or(|entry| task.entry == entry);
    let count = tasks
        .values()
        .filter(matches_entry)
        .filter(|task| task.report.state == TaskState::Running)
        .count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn report(target: &TargetServer, job: &str, epoch: u64) -> TaskReport {
    let tasks = target.tasks.lock();
    let record = tasks
        .get(job)
        .filter(|task| task.report.epoch >= epoch)
        .map(|task| task.report.clone());
    record.unwrap_or(TaskReport {
        epoch,
        state: TaskState::Never,
        text: String::new(),
    })
}

/// Stops a job's task if its epoch is `epoch` or later. Otherwise records `epoch` as fenced, so
/// that it is refused from then on.
fn fence(target: &TargetServer, job: &str, epoch: u64) -> TaskReport {
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
    let task = TaskRecord {
        report: report.clone(),
        entry: String::new(),
        lease_until: Instant::now(),
        stop: Arc::new(Notify::new()),
    };
    tasks.insert(job.to_owned(), task);
    report
}

fn renew(target: &TargetServer, job: &str, epoch: u64, lease: Duration, entry: &str) -> TaskReport {
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

async fn start(
    target: Arc<TargetServer>,
    job: String,
    request: Request<Incoming>,
) -> TargetResponse {
    let epoch: u64 = header_text(&request, HEADER_EPOCH)
        .parse()
        .unwrap_or_default();
    let team = header_text(&request, HEADER_TEAM);
    let entry = header_text(&request, HEADER_ENTRY);
    let lease = parse_lease(&request);
    let Ok(body) = read_body(request.into_body(), BODY_BYTES_MAX).await else {
        return not_run_refusal("body incomplete");
    };
    if count_running(&target, None) >= target.slots {
        return not_run_refusal("full");
    }
    let stop = Arc::new(Notify::new());
    {
        let mut tasks = target.tasks.lock();
        if tasks
            .get(&job)
            .is_some_and(|task| task.report.epoch >= epoch)
        {
            return not_run_refusal("known or fenced");
        }
        let report = TaskReport {
            epoch,
            state: TaskState::Running,
            text: String::new(),
        };
        let task = TaskRecord {
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
    tokio::spawn(async move { execute(&target, &job, epoch, team, &body, &stop).await });
    boxed(content_response(201, "text/plain", "begun"))
}

async fn execute(
    target: &TargetServer,
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
        () = wait_until_lease_expired(target, job) => (TaskState::Failed, "lease lapsed".to_owned(), false),
        () = target.wait_until_stopped() => (TaskState::Failed, "the worker stopped".to_owned(), true),
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

async fn wait_until_lease_expired(target: &TargetServer, job: &str) {
    loop {
        let until = target.tasks.lock().get(job).map(|task| task.lease_until);
        match until {
            Some(until) if until > Instant::now() => tokio::time::sleep_until(until).await,
            _ => return,
        }
    }
}
