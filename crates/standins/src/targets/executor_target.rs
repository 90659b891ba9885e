//! Executor stand-in: runs requests in slots, refuses others as not run, fences runs.

use {
    super::{
        target_server::{
            TargetResponse, TargetServer, boxed, header_text, not_run_refusal, query_text,
            truncated_response,
        },
        target_work::{ResponseMode, TargetWork},
    },
    crate::history::HistoryEvent,
    dotterelshore_domain::collections::FastMap,
    dotterelshore_wire::{
        http_server::{content_response, json_response, read_body},
        target_message::{
            HEADER_BUSY_SLOTS, HEADER_ENTRY, HEADER_QUEUE, HEADER_REQUEST_ID, HEADER_RUN_ID,
            HEADER_TEAM, RunReport, RunState, RunningReport,
        },
    },
    hyper::{Method, Request, body::Incoming},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Maximum size of a request body, in bytes.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

#[derive(Debug, Clone)]
struct RunRecord {
    state: RunState,
    entry: String,
}

/// The runs of one executor, fenced ones included.
#[derive(Debug, Default)]
pub(super) struct ExecutorRuns {
    runs: Mutex<FastMap<String, RunRecord>>,
}

/// The identity of a run, from the request headers.
#[derive(Debug, Clone)]
struct RunIdentity {
    id: String,
    run: String,
    team: String,
    queue: String,
    entry: String,
}

impl ExecutorRuns {
    fn lock(&self) -> MutexGuard<'_, FastMap<String, RunRecord>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self, identity: &RunIdentity, slots: u32) -> Result<(), &'static str> {
        let mut runs = self.lock();
        if runs.contains_key(&identity.run) {
            return Err("known or fenced");
        }
        if count_running(&runs, None) >= slots {
            return Err("full");
        }
        runs.insert(
            identity.run.clone(),
            RunRecord {
                state: RunState::Running,
                entry: identity.entry.clone(),
            },
        );
        Ok(())
    }

    fn end(&self, run: &str) -> u32 {
        let mut runs = self.lock();
        if let Some(record) = runs.get_mut(run) {
            record.state = RunState::Ended;
        }
        count_running(&runs, None)
    }

    /// Returns the state of a run. A run that has not begun is recorded as fenced and is refused
    /// from then on.
    fn fence(&self, run: &str) -> RunState {
        let fenced = RunRecord {
            state: RunState::Never,
            entry: String::new(),
        };
        self.lock().entry(run.to_owned()).or_insert(fenced).state
    }
}

fn count_running(runs: &FastMap<String, RunRecord>, entry: Option<&str>) -> u32 {
    let matches_entry = |record: &&RunRecord| entry.is_none_or(|entry| record.entry == entry);
    let count = runs
        .values()
        .filter(matches_entry)
        .filter(|record| record.state == RunState::Running)
        .count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Responds to one call to an executor.
pub(super) async fn respond(
    target: Arc<TargetServer>,
    request: Request<Incoming>,
) -> TargetResponse {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/run") => run(target, request).await,
        (Method::GET, "/running") => {
            let entry = query_text(&request, "entry");
            let running = count_running(&target.runs.lock(), entry.as_deref());
            boxed(json_response(200, &RunningReport { running }))
        }
        (Method::DELETE, path) if path.starts_with("/runs/") => {
            let state = target.runs.fence(&path["/runs/".len()..]);
            boxed(json_response(200, &RunReport { state }))
        }
        _ => boxed(content_response(404, "text/plain", "no such path")),
    }
}

async fn run(target: Arc<TargetServer>, request: Request<Incoming>) -> TargetResponse {
    let identity = RunIdentity {
        id: header_text(&request, HEADER_REQUEST_ID),
        run: header_text(&request, HEADER_RUN_ID),
        team: header_text(&request, HEADER_TEAM),
        queue: header_text(&request, HEADER_QUEUE),
        entry: header_text(&request, HEADER_ENTRY),
    };
    let Ok(body) = read_body(request.into_body(), BODY_BYTES_MAX).await else {
        return not_run_refusal("body incomplete");
    };
    if let Err(reason) = target.runs.begin(&identity, target.slots) {
        return not_run_refusal(reason);
    }
    target.history.record(HistoryEvent::RunBegun {
        target: target.name.clone(),
        id: identity.id.clone(),
        run: identity.run.clone(),
        team: identity.team.clone(),
        queue: identity.queue.clone(),
    });
    let responds_early = TargetWork::parse(&body).response_mode == ResponseMode::MismatchedEarly;
    // The run has its own task, so that it continues if the caller closes the connection.
    let target_name = target.name.clone();
    let ended = tokio::spawn(async move { execute(&target, &identity, &body).await });
    if responds_early {
        return mismatched_response(&target_name);
    }
    ended.await.unwrap_or_else(|_| truncated_response())
}

async fn execute(target: &TargetServer, identity: &RunIdentity, body: &[u8]) -> TargetResponse {
    let work = TargetWork::parse(body);
    let delay = Duration::from_millis(target.behaviour().delay_ms);
    let interrupted = tokio::select! {
        () = tokio::time::sleep(work.duration() + delay) => false,
        () = target.wait_until_stopped() => true,
    };
    let busy_slots = target.runs.end(&identity.run);
    target.history.record(HistoryEvent::RunEnded {
        target: target.name.clone(),
        id: identity.id.clone(),
        run: identity.run.clone(),
        team: identity.team.clone(),
        interrupted,
    });
    if interrupted || work.response_mode == ResponseMode::Truncate {
        return truncated_response();
    }
    if work.response_mode == ResponseMode::Fail || target.behaviour().fail_all {
        return boxed(content_response(500, "text/plain", "failed"));
    }
    if work.response_mode == ResponseMode::Mismatched {
        return mismatched_response(&target.name);
    }
    success_response(&identity.id, &work.nonce, &target.name, busy_slots)
}

/// Returns the response of another request.
fn mismatched_response(target: &str) -> TargetResponse {
    success_response("another-request", "another", target, 0)
}

fn success_response(id: &str, nonce: &str, target: &str, busy_slots: u32) -> TargetResponse {
    let body = serde_json::json!({ "id": id, "nonce": nonce, "target": target });
    let mut response = json_response(200, &body);
    for (name, value) in [
        (HEADER_REQUEST_ID, id.to_owned()),
        (HEADER_BUSY_SLOTS, busy_slots.to_string()),
    ] {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    boxed(response)
}
