//! Executors: requests in slots, refusals that vouch, fences.

use {
    super::{
        target_front::{
            TargetAnswer, TargetFront, broken, header_text, query_text, vouched, whole,
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

/// Largest body taken, in bytes.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

#[derive(Debug, Clone)]
struct KnownRun {
    state: RunState,
    entry: String,
}

/// The runs of one executor, fenced ones included.
#[derive(Debug, Default)]
pub(super) struct ExecutorRuns {
    runs: Mutex<FastMap<String, KnownRun>>,
}

/// One request as its headers tell it.
#[derive(Debug, Clone)]
struct RunIdentity {
    id: String,
    run: String,
    team: String,
    queue: String,
    entry: String,
}

impl ExecutorRuns {
    fn lock(&self) -> MutexGuard<'_, FastMap<String, KnownRun>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self, identity: &RunIdentity, slots: u32) -> Result<(), &'static str> {
        let mut runs = self.lock();
        if runs.contains_key(&identity.run) {
            return Err("known or fenced");
        }
        if busy(&runs, None) >= slots {
            return Err("full");
        }
        runs.insert(
            identity.run.clone(),
            KnownRun {
                state: RunState::Running,
                entry: identity.entry.clone(),
            },
        );
        Ok(())
    }

    fn end(&self, run: &str) -> u32 {
        let mut runs = self.lock();
        if let Some(known) = runs.get_mut(run) {
            known.state = RunState::Ended;
        }
        busy(&runs, None)
    }

    /// Tells of a run, and sees to it that one which has not begun never will.
    fn fence(&self, run: &str) -> RunState {
        let never = KnownRun {
            state: RunState::Never,
            entry: String::new(),
        };
        self.lock().entry(run.to_owned()).or_insert(never).state
    }
}

fn busy(runs: &FastMap<String, KnownRun>, entry: Option<&str>) -> u32 {
    let asked = |known: &&KnownRun| entry.is_none_or(|entry| known.entry == entry);
    let count = runs
        .values()
        .filter(asked)
        .filter(|known| known.state == RunState::Running)
        .count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Answers one call to an executor.
pub(super) async fn answer(target: Arc<TargetFront>, request: Request<Incoming>) -> TargetAnswer {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/run") => run(target, request).await,
        (Method::GET, "/running") => {
            let entry = query_text(&request, "entry");
            let running = busy(&target.runs.lock(), entry.as_deref());
            whole(json_response(200, &RunningReport { running }))
        }
        (Method::DELETE, path) if path.starts_with("/runs/") => {
            let state = target.runs.fence(&path["/runs/".len()..]);
            whole(json_response(200, &RunReport { state }))
        }
        _ => whole(content_response(404, "text/plain", "no such path")),
    }
}

async fn run(target: Arc<TargetFront>, request: Request<Incoming>) -> TargetAnswer {
    let identity = RunIdentity {
        id: header_text(&request, HEADER_REQUEST_ID),
        run: header_text(&request, HEADER_RUN_ID),
        team: header_text(&request, HEADER_TEAM),
        queue: header_text(&request, HEADER_QUEUE),
        entry: header_text(&request, HEADER_ENTRY),
    };
    let Ok(body) = read_body(request.into_body(), BODY_BYTES_MAX).await else {
        return vouched("body incomplete");
    };
    if let Err(reason) = target.runs.begin(&identity, target.slots) {
        return vouched(reason);
    }
    target.history.record(HistoryEvent::RunBegun {
        target: target.name.clone(),
        id: identity.id.clone(),
        run: identity.run.clone(),
        team: identity.team.clone(),
        queue: identity.queue.clone(),
    });
    let early = TargetWork::parse(&body).response_mode == ResponseMode::MismatchedEarly;
    // The run goes on in its own task: a connection that closes does not end it.
    let target_name = target.name.clone();
    let ended = tokio::spawn(async move { carry_out(&target, &identity, &body).await });
    if early {
        return crossed(&target_name);
    }
    ended.await.unwrap_or_else(|_| broken())
}

async fn carry_out(target: &TargetFront, identity: &RunIdentity, body: &[u8]) -> TargetAnswer {
    let work = TargetWork::parse(body);
    let late = Duration::from_millis(target.behaviour().delay_ms);
    let interrupted = tokio::select! {
        () = tokio::time::sleep(work.duration() + late) => false,
        () = target.cut() => true,
    };
    let still_busy = target.runs.end(&identity.run);
    target.history.record(HistoryEvent::RunEnded {
        target: target.name.clone(),
        id: identity.id.clone(),
        run: identity.run.clone(),
        team: identity.team.clone(),
        interrupted,
    });
    if interrupted || work.response_mode == ResponseMode::Truncate {
        return broken();
    }
    if work.response_mode == ResponseMode::Fail || target.behaviour().fail_all {
        return whole(content_response(500, "text/plain", "failed"));
    }
    if work.response_mode == ResponseMode::Mismatched {
        return crossed(&target.name);
    }
    answered(&identity.id, &work.nonce, &target.name, still_busy)
}

/// An answer that belongs to another request.
fn crossed(target: &str) -> TargetAnswer {
    answered("another-request", "another", target, 0)
}

fn answered(id: &str, nonce: &str, target: &str, busy: u32) -> TargetAnswer {
    let body = serde_json::json!({ "id": id, "nonce": nonce, "target": target });
    let mut answer = json_response(200, &body);
    for (name, value) in [
        (HEADER_REQUEST_ID, id.to_owned()),
        (HEADER_BUSY_SLOTS, busy.to_string()),
    ] {
        if let Ok(value) = value.parse() {
            answer.headers_mut().insert(name, value);
        }
    }
    whole(answer)
}
