//! Answering callers and the balancer.

use {
    crate::{
        job_records::{record_cancel, record_job, stored_state},
        node::SchedulerNode,
        peers::{PeerCall, PeerReply, RecordOutcome, ask_owner, record_elsewhere, state_elsewhere},
        store_path::StorePath,
    },
    dotterelshore_domain::{
        names::JobName,
        schedule::{JobPlan, JobRecord, QueueRow, RouteFault},
    },
    dotterelshore_platform::{caller_key, decode_plan, pending_body, state_body, time_left_ms},
    dotterelshore_wire::{
        event_log::unix_millis,
        http_server::{BodyFault, FullResponse, content_response, read_body, serve},
        log_event,
        timer_hub::jittered_pause,
    },
    hyper::{Method, Request, body::Incoming, header},
    std::{sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// Largest body where operators set none, in bytes; sixty times the largest job seen.
const BODY_BYTES_USUAL: usize = 256 * 1024;
/// How long a caller that tells no deadline is taken to wait.
const WAIT_USUAL: Duration = Duration::from_secs(3);
/// Kept back of a caller's time for the way of the answer.
const ANSWER_RESERVE: Duration = Duration::from_millis(150);
/// Pause before a cancellation that was not recorded is tried again.
const CANCEL_PAUSE: Duration = Duration::from_millis(100);
/// What callers are told to wait while the store is away, in seconds: its outages last some
/// seconds, and a caller has few retries.
const RETRY_AFTER_STORE_S: u32 = 2;
/// What callers are told to wait for a first configuration, in seconds.
const RETRY_AFTER_START_S: u32 = 1;

/// A call's answer, and why it was refused if it was.
struct CallAnswer {
    status: u16,
    body: String,
    retry_after_s: Option<u32>,
    reason: Option<&'static str>,
}

impl CallAnswer {
    fn good(body: String) -> Self {
        Self {
            status: 200,
            body,
            retry_after_s: None,
            reason: None,
        }
    }

    fn refused(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            body: format!("{{\"error\":\"{reason}\"}}"),
            retry_after_s: None,
            reason: Some(reason),
        }
    }

    fn after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }
}

/// Answers one call.
pub(crate) async fn answer(node: Arc<SchedulerNode>, request: Request<Incoming>) -> FullResponse {
    let began = std::time::Instant::now();
    let (call, path) = (call_name(request.method()), request.uri().path().to_owned());
    let answered = answer_call(&node, request).await;
    node.metrics
        .count_answer(call, answered.status, began.elapsed());
    if let Some(reason) = answered.reason {
        node.metrics.count_refusal(reason);
        log_event!(
            Info,
            "call-refused",
            call = call,
            path = path,
            status = answered.status,
            reason = reason,
            took_ms = began.elapsed().as_millis()
        );
    }
    let mut answer = content_response(answered.status, "application/json", answered.body);
    let headers = answer.headers_mut();
    if let Some(seconds) = answered.retry_after_s {
        headers.insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    }
    if answered.status == 503 && node.store_path() == StorePath::CutOff {
        // On a new connection the caller reaches an entry that can serve it.
        headers.insert(
            header::CONNECTION,
            header::HeaderValue::from_static("close"),
        );
    }
    answer
}

fn call_name(method: &Method) -> &'static str {
    match *method {
        Method::POST => "submit",
        Method::GET => "look",
        Method::DELETE => "cancel",
        _ => "other",
    }
}

async fn answer_call(node: &SchedulerNode, request: Request<Incoming>) -> CallAnswer {
    let Some(table) = node.table_now() else {
        return CallAnswer::refused(503, "no-configuration").after(RETRY_AFTER_START_S);
    };
    let host = request.headers().get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let path = request.uri().path().to_owned();
    let queue = match table.route(host, &path) {
        Ok(queue) => Arc::clone(queue),
        Err(RouteFault::NoQueue | RouteFault::NoKey) => {
            return CallAnswer::refused(404, "no-queue");
        }
    };
    let Ok(team) = table.admit(&queue, caller_key(request.headers()).as_ref()) else {
        return CallAnswer::refused(401, "no-key");
    };
    let limit = table
        .limits
        .map_or(BODY_BYTES_USUAL, |limits| limits.body_bytes);
    let wait = time_left_ms(request.headers()).map_or(WAIT_USUAL, Duration::from_millis);
    let until = tokio::time::Instant::now() + wait.saturating_sub(ANSWER_RESERVE);
    let rest = &path[queue.prefix.len()..];
    let method = request.method().clone();
    if rest.is_empty() && method == Method::GET {
        return pending(node, &queue).await;
    }
    let Ok(job) = JobName::try_from(rest) else {
        return CallAnswer::refused(404, "no-job-name");
    };
    match method {
        Method::GET => state(node, &job).await,
        Method::DELETE => cancel(node, &job, until).await,
        Method::POST => {
            let body = match read_body(request.into_body(), limit).await {
                Ok(body) => body,
                Err(BodyFault::TooLarge) => return CallAnswer::refused(413, "body-too-large"),
                Err(BodyFault::Broken) => return CallAnswer::refused(400, "body-broken"),
            };
            match decode_plan(&body) {
                Ok(plan) => submit(node, job_record(&queue, job, team, plan), until).await,
                Err(fault) => {
                    log_event!(Info, "job-malformed", job = job, error = fault);
                    CallAnswer::refused(400, "job-malformed")
                }
            }
        }
        _ => CallAnswer::refused(405, "method"),
    }
}

fn job_record(
    queue: &QueueRow,
    name: JobName,
    team: Option<dotterelshore_domain::names::TeamName>,
    plan: JobPlan,
) -> JobRecord {
    JobRecord {
        name,
        queue: queue.name.clone(),
        pool: queue.pool.clone(),
        team,
        accepted_ms: unix_millis(),
        priority: queue.priority,
        attempts: queue.attempts,
        objective_factor: queue.objective_factor,
        target_latency_ms: queue.target_latency_ms,
        advised: queue.advice.is_some(),
        plan,
    }
}

/// Records a job, by another entry where the store turns this one away. It is refused only
/// while no write of it can take effect any more; a write whose fate stays unknown is
/// answered as such, early enough to be repeated.
async fn submit(
    node: &SchedulerNode,
    record: JobRecord,
    until: tokio::time::Instant,
) -> CallAnswer {
    let recorded = async {
        let here = if node.store_is_away() {
            RecordOutcome::NotStored
        } else {
            record_job(node, &record).await
        };
        if here == RecordOutcome::NotStored {
            record_elsewhere(node, PeerCall::Submit(Box::new(record))).await
        } else {
            here
        }
    };
    match tokio::time::timeout_at(until, recorded).await {
        Ok(RecordOutcome::Stored) => CallAnswer::good("{}".to_owned()),
        Ok(RecordOutcome::NotStored | RecordOutcome::NoJob) => {
            CallAnswer::refused(503, "store-away").after(RETRY_AFTER_STORE_S)
        }
        Ok(RecordOutcome::Unsure) | Err(_) => CallAnswer::refused(504, "store-unsure"),
    }
}

async fn cancel(node: &SchedulerNode, job: &JobName, until: tokio::time::Instant) -> CallAnswer {
    let cancelled = async {
        loop {
            let mut outcome = RecordOutcome::Unsure;
            if !node.store_is_away() {
                outcome = record_cancel(node, job).await;
            }
            if outcome == RecordOutcome::Unsure {
                outcome = record_elsewhere(node, PeerCall::Cancel(job.clone())).await;
            }
            match outcome {
                RecordOutcome::Stored => return CallAnswer::good("{}".to_owned()),
                RecordOutcome::NoJob => return CallAnswer::refused(410, "no-job"),
                RecordOutcome::NotStored | RecordOutcome::Unsure => {
                    node.metrics.count_retry("cancel");
                    tokio::time::sleep(jittered_pause(CANCEL_PAUSE)).await;
                }
            }
        }
    };
    tokio::time::timeout_at(until, cancelled)
        .await
        .unwrap_or_else(|_| CallAnswer::refused(504, "store-unsure"))
}

/// Where a job stands, by the owner, or by the store if the owner can't tell.
async fn state(node: &SchedulerNode, job: &JobName) -> CallAnswer {
    let asked = ask_owner(node, PeerCall::State(job.clone())).await;
    if let Some(PeerReply::State(Some(state))) = asked {
        return CallAnswer::good(state_body(state));
    }
    let stored = if node.store_is_away() {
        state_elsewhere(node, job).await
    } else {
        stored_state(node, job)
            .await
            .inspect_err(|fault| log_event!(Info, "state-unknown", job = job, error = fault))
            .ok()
    };
    match stored {
        Some(Some(state)) => CallAnswer::good(state_body(state)),
        Some(None) => CallAnswer::refused(410, "no-job"),
        None => CallAnswer::refused(503, "store-away").after(RETRY_AFTER_START_S),
    }
}

async fn pending(node: &SchedulerNode, queue: &QueueRow) -> CallAnswer {
    match ask_owner(node, PeerCall::Pending(queue.name.clone())).await {
        Some(PeerReply::Pending(pending)) => CallAnswer::good(pending_body(pending)),
        _ => CallAnswer::refused(503, "owner-unknown").after(RETRY_AFTER_START_S),
    }
}

/// Tells the balancer whether new connections are welcome: not at an entry that is cut off
/// from the store and from other entries, while those can serve.
pub(crate) async fn serve_readiness(node: Arc<SchedulerNode>, listener: TcpListener) {
    // The balancer goes on asking until the process ends.
    let (_never, closing) = tokio::sync::watch::channel(false);
    let answer = move |_request: Request<Incoming>| {
        let ready = node.table_now().is_some()
            && !*node.leaving.borrow()
            && node.store_path() != StorePath::CutOff;
        async move { content_response(if ready { 200 } else { 503 }, "text/plain", "") }
    };
    serve(listener, answer, closing).await;
}
