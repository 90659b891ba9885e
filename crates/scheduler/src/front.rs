//! Answers callers and the balancer's readiness checks.

use {
    crate::{
        job_records::{record_cancel, record_job, stored_state},
        node::SchedulerNode,
        peers::{
            PeerCall, PeerReply, WriteOutcome, query_owner, query_state_via_peer, record_via_peer,
        },
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

/// Largest body where operators set no limit, in bytes; sixty times the largest job seen.
const DEFAULT_BODY_BYTES_MAX: usize = 256 * 1024;
/// How long a caller that sends no deadline is assumed to wait.
const DEFAULT_CALLER_WAIT: Duration = Duration::from_secs(3);
/// Part of a caller's time that is reserved for sending the response.
const ANSWER_RESERVE: Duration = Duration::from_millis(150);
/// Pause before a failed cancellation is retried.
const CANCEL_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// `Retry-After` while the store is unreachable, in seconds: outages last some seconds, and
/// callers have few retries.
const RETRY_AFTER_STORE_S: u32 = 2;
/// `Retry-After` before the first configuration and for queries that fail, in seconds.
const RETRY_AFTER_START_S: u32 = 1;

/// The response to a call, with the reason if the call was refused.
struct CallResponse {
    status: u16,
    body: String,
    retry_after_s: Option<u32>,
    reason: Option<&'static str>,
}

impl CallResponse {
    fn ok(body: String) -> Self {
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

    fn with_retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }
}

/// Answers one call, counts it, and logs it if it was refused.
pub(crate) async fn respond(node: Arc<SchedulerNode>, request: Request<Incoming>) -> FullResponse {
    let began = std::time::Instant::now();
    let (call, path) = (call_name(request.method()), request.uri().path().to_owned());
    let call_response = answer_call(&node, request).await;
    node.metrics
        .count_answer(call, call_response.status, began.elapsed());
    if let Some(reason) = call_response.reason {
        node.metrics.count_refusal(reason);
        log_event!(
            Info,
            "call-refused",
            call = call,
            path = path,
            status = call_response.status,
            reason = reason,
            took_ms = began.elapsed().as_millis()
        );
    }
    let mut response =
        content_response(call_response.status, "application/json", call_response.body);
    let headers = response.headers_mut();
    if let Some(seconds) = call_response.retry_after_s {
        headers.insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    }
    if call_response.status == 503 && node.store_path() == StorePath::CutOff {
        // A new connection takes the caller to an entry that can serve it.
        headers.insert(
            header::CONNECTION,
            header::HeaderValue::from_static("close"),
        );
    }
    response
}

/// The `call` label of a request in metrics and logs; "look" is any query.
fn call_name(method: &Method) -> &'static str {
    match *method {
        Method::POST => "submit",
        Method::GET => "look",
        Method::DELETE => "cancel",
        _ => "other",
    }
}

async fn answer_call(node: &Arc<SchedulerNode>, request: Request<Incoming>) -> CallResponse {
    let Some(table) = node.current_table() else {
        return CallResponse::refused(503, "no-configuration")
            .with_retry_after(RETRY_AFTER_START_S);
    };
    let host = request.headers().get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let path = request.uri().path().to_owned();
    let queue = match table.route(host, &path) {
        Ok(queue) => Arc::clone(queue),
        Err(RouteFault::NoQueue | RouteFault::NoKey) => {
            return CallResponse::refused(404, "no-queue");
        }
    };
    let Ok(team) = table.admit(&queue, caller_key(request.headers()).as_ref()) else {
        return CallResponse::refused(401, "no-key");
    };
    let limit = table
        .limits
        .map_or(DEFAULT_BODY_BYTES_MAX, |limits| limits.body_bytes);
    let wait = time_left_ms(request.headers()).map_or(DEFAULT_CALLER_WAIT, Duration::from_millis);
    let until = tokio::time::Instant::now() + wait.saturating_sub(ANSWER_RESERVE);
    let job_path = &path[queue.prefix.len()..];
    let method = request.method().clone();
    if job_path.is_empty() && method == Method::GET {
        return queue_pending(node, &queue).await;
    }
    let Ok(job) = JobName::try_from(job_path) else {
        return CallResponse::refused(404, "no-job-name");
    };
    match method {
        Method::GET => job_state(node, &job).await,
        Method::DELETE => cancel_job(node, &job, until).await,
        Method::POST => {
            let body = match read_body(request.into_body(), limit).await {
                Ok(body) => body,
                Err(BodyFault::TooLarge) => return CallResponse::refused(413, "body-too-large"),
                Err(BodyFault::Broken) => return CallResponse::refused(400, "body-broken"),
            };
            match decode_plan(&body) {
                Ok(plan) => submit_job(node, job_record(&queue, job, team, plan), until).await,
                Err(fault) => {
                    log_event!(Info, "job-malformed", job = job, error = fault);
                    CallResponse::refused(400, "job-malformed")
                }
            }
        }
        _ => CallResponse::refused(405, "method"),
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

/// Records a job, through another entry if the store is unreachable from here. The job is only
/// refused if no write of it can take effect any more. A write whose outcome stays unknown is
/// answered with 504, early enough for the caller to repeat the call.
async fn submit_job(
    node: &Arc<SchedulerNode>,
    record: JobRecord,
    until: tokio::time::Instant,
) -> CallResponse {
    let recorded = async {
        let outcome = if node.is_store_unreachable() {
            WriteOutcome::NotStored
        } else {
            record_job(node, &record).await
        };
        if outcome == WriteOutcome::NotStored {
            record_via_peer(node, PeerCall::Submit(Box::new(record))).await
        } else {
            outcome
        }
    };
    match tokio::time::timeout_at(until, recorded).await {
        Ok(WriteOutcome::Stored) => CallResponse::ok("{}".to_owned()),
        Ok(WriteOutcome::NoJob) => CallResponse::refused(503, "job-cancelled"),
        Ok(WriteOutcome::NotStored) => {
            CallResponse::refused(503, "store-away").with_retry_after(RETRY_AFTER_STORE_S)
        }
        Ok(WriteOutcome::Rejected) => CallResponse::refused(413, "job-too-large"),
        Ok(WriteOutcome::Unsure) | Err(_) => CallResponse::refused(504, "store-unsure"),
    }
}

/// Records a cancellation, with retries until the caller's time is up.
async fn cancel_job(
    node: &Arc<SchedulerNode>,
    job: &JobName,
    until: tokio::time::Instant,
) -> CallResponse {
    let cancelled = async {
        loop {
            let mut outcome = WriteOutcome::Unsure;
            if !node.is_store_unreachable() {
                outcome = record_cancel(node, job).await;
            }
            if outcome == WriteOutcome::Unsure {
                outcome = record_via_peer(node, PeerCall::Cancel(job.clone())).await;
            }
            match outcome {
                WriteOutcome::Stored => return CallResponse::ok("{}".to_owned()),
                WriteOutcome::NoJob => return CallResponse::refused(410, "no-job"),
                WriteOutcome::NotStored | WriteOutcome::Unsure | WriteOutcome::Rejected => {
                    node.metrics.count_retry("cancel");
                    tokio::time::sleep(jittered_pause(CANCEL_RETRY_PAUSE)).await;
                }
            }
        }
    };
    tokio::time::timeout_at(until, cancelled)
        .await
        .unwrap_or_else(|_| CallResponse::refused(504, "store-unsure"))
}

/// Returns a job's state from the owner, or from the store if the owner does not know it.
async fn job_state(node: &SchedulerNode, job: &JobName) -> CallResponse {
    let reply = query_owner(node, PeerCall::State(job.clone())).await;
    if let Some(PeerReply::State(Some(state))) = reply {
        return CallResponse::ok(state_body(state));
    }
    let stored = if node.is_store_unreachable() {
        query_state_via_peer(node, job).await
    } else {
        stored_state(node, job)
            .await
            .inspect_err(|fault| log_event!(Info, "state-unknown", job = job, error = fault))
            .ok()
    };
    match stored {
        Some(Some(state)) => CallResponse::ok(state_body(state)),
        Some(None) => CallResponse::refused(410, "no-job"),
        None => CallResponse::refused(503, "store-away").with_retry_after(RETRY_AFTER_START_S),
    }
}

async fn queue_pending(node: &SchedulerNode, queue: &QueueRow) -> CallResponse {
    match query_owner(node, PeerCall::Pending(queue.name.clone())).await {
        Some(PeerReply::Pending(pending)) => CallResponse::ok(pending_body(pending)),
        _ => CallResponse::refused(503, "owner-unknown").with_retry_after(RETRY_AFTER_START_S),
    }
}

/// Answers readiness checks. An entry is not ready before its first configuration, while it shuts
/// down, and while it reaches neither the store nor other entries, since those can serve.
pub(crate) async fn serve_readiness(node: Arc<SchedulerNode>, listener: TcpListener) {
    // Readiness is served until the process exits, since the balancer checks it during shutdown.
    let (_close, closing) = tokio::sync::watch::channel(false);
    let respond = move |_request: Request<Incoming>| {
        let ready = node.current_table().is_some()
            && !*node.shutdown.borrow()
            && node.store_path() != StorePath::CutOff;
        async move { content_response(if ready { 200 } else { 503 }, "text/plain", "") }
    };
    serve(listener, respond, closing).await;
}
