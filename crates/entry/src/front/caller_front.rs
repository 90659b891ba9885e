//! Endpoints for callers: requests and jobs.

use {
    super::front_request::{FrontRequest, malformed},
    crate::{
        dispatch::{
            FORWARD_TIME_MIN, ForwardOutcome, ForwardedRequest, HEADER_FORWARDED, RequestDispatch,
            choose_peer, dispatch_request, forward, forwarded_headers,
        },
        jobs,
        node::EntryNode,
    },
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        job::JobRecord,
        names::{JobName, RequestName, TeamName},
        request::{CallerRequest, RawRequest},
        table::TargetKind,
    },
    dotterelshore_wire::{
        http_client::HttpResponse,
        http_server::{FullResponse, content_response, json_response},
        operator_message::JobReport,
        target_message::HEADER_REQUEST_ID,
    },
    hyper::{Method, header},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Content type of bodies without a `Content-Type` header.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";
/// `Retry-After` of a refusal because this entry is not ready or is shutting down.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `POST` or `PUT /v1/queues/{queue}/requests`.
pub(super) async fn run_request(
    node: &Arc<EntryNode>,
    request: FrontRequest,
    queue: &str,
) -> Result<FullResponse, Refusal> {
    request.expect_method(&[Method::POST, Method::PUT])?;
    let validated = validate(node, &request, queue, TargetKind::Executor)?;
    let deadline = Instant::now() + validated.timeout;
    if let Some(response) = forward_if_possible(node, &request, &validated, deadline).await? {
        return Ok(caller_response(&response));
    }
    let id = validated.id.clone().map_or_else(random_id, Ok)?;
    let dispatch = RequestDispatch {
        deadline,
        content_type: request
            .header("content-type")?
            .unwrap_or(DEFAULT_CONTENT_TYPE)
            .to_owned(),
        body: request.body,
        request: validated,
        id,
    };
    let response = dispatch_request(node, dispatch).await?;
    node.metrics.count_answer();
    Ok(caller_response(&response))
}

/// Forwards the request to a peer with idle permits, if this entry has no spare permit.
///
/// Returns `None` if this entry must serve the request itself.
async fn forward_if_possible(
    node: &Arc<EntryNode>,
    request: &FrontRequest,
    validated: &CallerRequest,
    deadline: Instant,
) -> Result<Option<HttpResponse>, Refusal> {
    let is_forwarded = request.header(HEADER_FORWARDED)?.is_some();
    if is_forwarded || validated.timeout < FORWARD_TIME_MIN {
        return Ok(None);
    }
    let Some(peer) = choose_peer(node, validated) else {
        return Ok(None);
    };
    let forwarded_request = ForwardedRequest {
        method: request.method.clone(),
        path: request.path.clone(),
        headers: forwarded_headers(&request.headers),
        body: request.body.clone(),
        deadline,
    };
    match forward(node, &peer, &forwarded_request).await? {
        ForwardOutcome::Answered(response) => {
            node.metrics.count_forward("answered");
            Ok(Some(response))
        }
        ForwardOutcome::NotRun => {
            node.metrics.count_forward("not-run");
            Ok(None)
        }
    }
}

/// `POST /v1/queues/{queue}/jobs`.
pub(super) async fn submit_job(
    node: &Arc<EntryNode>,
    request: FrontRequest,
    queue: &str,
) -> Result<FullResponse, Refusal> {
    request.expect_method(&[Method::POST])?;
    let validated = validate(node, &request, queue, TargetKind::Worker)?;
    let id = validated.id.clone().map_or_else(random_id, Ok)?;
    let name = JobName::try_from(format!("{}:{id}", validated.team.name))
        .map_err(|fault| malformed("job", &fault))?;
    let body =
        String::from_utf8(request.body.to_vec()).map_err(|error| malformed("body", &error))?;
    let record = jobs::submit(node, &validated, name, body).await?;
    Ok(json_response(202, &report(record)))
}

/// `GET` or `DELETE /v1/jobs/{job}`.
pub(super) async fn job_call(
    node: &Arc<EntryNode>,
    request: FrontRequest,
    job: &str,
) -> Result<FullResponse, Refusal> {
    request.expect_method(&[Method::GET, Method::DELETE])?;
    let team = team_of(node, &request)?;
    let job = JobName::try_from(job).map_err(|fault| malformed("job", &fault))?;
    let record = if request.method == Method::GET {
        jobs::read(node, &team, &job).await?
    } else {
        jobs::cancel(node, &team, &job).await?
    };
    Ok(json_response(200, &report(record)))
}

fn team_of(node: &EntryNode, request: &FrontRequest) -> Result<TeamName, Refusal> {
    node.check_key_freshness()?;
    let missing = || Refusal::not_run(ResultCode::KeyMissing, "send the team's key");
    let key = request.key()?.ok_or_else(missing)?;
    Ok(node.table().team_of(&key)?.name.clone())
}

fn validate(
    node: &EntryNode,
    request: &FrontRequest,
    queue: &str,
    kind: TargetKind,
) -> Result<CallerRequest, Refusal> {
    if node.is_shutting_down() {
        let refusal = Refusal::not_run(
            ResultCode::EntryLeaving,
            "this entry is shutting down; try another",
        );
        return Err(refusal.retry_after(UNAVAILABLE_RETRY_AFTER));
    }
    let table = node.table();
    if table.revision == 0 {
        let refusal = Refusal::not_run(
            ResultCode::TableMissing,
            "this entry has read no table yet; try another",
        );
        return Err(refusal.retry_after(UNAVAILABLE_RETRY_AFTER));
    }
    let key = request.key()?;
    if key.is_some() {
        node.check_key_freshness()?;
    }
    let id = request
        .header("idempotency-key")?
        .or(request.header(HEADER_REQUEST_ID)?);
    let raw = RawRequest {
        queue: queue.to_owned(),
        id: id.map(|id| id.trim_matches('"').to_owned()),
        key,
        team: request.header("x-team")?.map(str::to_owned),
        idempotent: request.idempotent()?,
        timeout: request.timeout()?,
    };
    CallerRequest::check(&raw, &table, kind)
}

fn random_id() -> Result<RequestName, Refusal> {
    RequestName::try_from(format!("{:032x}", rand::random::<u128>()))
        .map_err(|fault| malformed("request", &fault))
}

fn report(record: JobRecord) -> JobReport {
    JobReport {
        job: record.name,
        state: record.state,
        attempts: record.attempts,
        cancel_requested: record.cancel_requested,
    }
}

/// Builds the caller's answer from the complete answer of a target or peer.
fn caller_response(response: &HttpResponse) -> FullResponse {
    let content_type = response
        .header(header::CONTENT_TYPE.as_str())
        .unwrap_or(DEFAULT_CONTENT_TYPE);
    let mut outgoing = content_response(
        response.status.as_u16(),
        content_type,
        response.body.clone(),
    );
    if let Some(id) = response.headers.get(HEADER_REQUEST_ID) {
        outgoing.headers_mut().insert(HEADER_REQUEST_ID, id.clone());
    }
    outgoing
}
