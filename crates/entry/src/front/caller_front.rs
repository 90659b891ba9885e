//! What callers ask: requests and jobs.

use {
    super::front_request::{FrontRequest, malformed},
    crate::{
        dispatch::{
            FORWARD_TIME_MIN, ForwardEnd, ForwardedRequest, HEADER_FORWARDED, RequestCarry,
            carry_request, choose_peer, forward, forwarded_headers,
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

/// Content type of bodies that name none.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";
/// When to try again elsewhere while an entry leaves.
const LEAVING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `POST` or `PUT /v1/queues/{queue}/requests`.
pub(super) async fn run_request(
    node: &Arc<EntryNode>,
    request: FrontRequest,
    queue: &str,
) -> Result<FullResponse, Refusal> {
    request.expect_method(&[Method::POST, Method::PUT])?;
    let checked = check(node, &request, queue, TargetKind::Executor)?;
    let deadline = Instant::now() + checked.timeout;
    if let Some(answer) = serve_elsewhere(node, &request, &checked, deadline).await? {
        return Ok(passed_on(&answer));
    }
    let id = checked.id.clone().map_or_else(fresh_id, Ok)?;
    let carry = RequestCarry {
        deadline,
        content_type: request
            .header("content-type")?
            .unwrap_or(DEFAULT_CONTENT_TYPE)
            .to_owned(),
        body: request.body,
        request: checked,
        id,
    };
    let answer = carry_request(node, carry).await?;
    node.metrics.count_answer();
    Ok(passed_on(&answer))
}

/// Has another entry serve the request, if this one has no permit free and that one had.
/// `None` if it is to be served here.
async fn serve_elsewhere(
    node: &Arc<EntryNode>,
    request: &FrontRequest,
    checked: &CallerRequest,
    deadline: Instant,
) -> Result<Option<HttpResponse>, Refusal> {
    let forwarded = request.header(HEADER_FORWARDED)?.is_some();
    if forwarded || checked.timeout < FORWARD_TIME_MIN {
        return Ok(None);
    }
    let Some(peer) = choose_peer(node, checked) else {
        return Ok(None);
    };
    let onward = ForwardedRequest {
        method: request.method.clone(),
        path: request.path.clone(),
        headers: forwarded_headers(&request.headers),
        body: request.body.clone(),
        deadline,
    };
    match forward(node, &peer, &onward).await? {
        ForwardEnd::Answered(answer) => {
            node.metrics.count_forward("answered");
            Ok(Some(answer))
        }
        ForwardEnd::NotRun => {
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
    let checked = check(node, &request, queue, TargetKind::Worker)?;
    let id = checked.id.clone().map_or_else(fresh_id, Ok)?;
    let name = JobName::try_from(format!("{}:{id}", checked.team.name))
        .map_err(|fault| malformed("job", &fault))?;
    let body =
        String::from_utf8(request.body.to_vec()).map_err(|error| malformed("body", &error))?;
    let record = jobs::submit(node, &checked, name, body).await?;
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
    node.check_key_trust()?;
    let missing = || Refusal::not_run(ResultCode::KeyMissing, "send the team's key");
    let key = request.key()?.ok_or_else(missing)?;
    Ok(node.table().team_of(&key)?.name.clone())
}

fn check(
    node: &EntryNode,
    request: &FrontRequest,
    queue: &str,
    kind: TargetKind,
) -> Result<CallerRequest, Refusal> {
    if node.is_leaving() {
        let refusal = Refusal::not_run(
            ResultCode::EntryLeaving,
            "this entry is shutting down; try another",
        );
        return Err(refusal.retry_after(LEAVING_RETRY_AFTER));
    }
    let table = node.table();
    if table.revision == 0 {
        let refusal = Refusal::not_run(
            ResultCode::TableMissing,
            "this entry has read no table yet; try another",
        );
        return Err(refusal.retry_after(LEAVING_RETRY_AFTER));
    }
    let key = request.key()?;
    if key.is_some() {
        node.check_key_trust()?;
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

fn fresh_id() -> Result<RequestName, Refusal> {
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

/// The target's whole answer as the caller gets it.
fn passed_on(answer: &HttpResponse) -> FullResponse {
    let content_type = answer
        .header(header::CONTENT_TYPE.as_str())
        .unwrap_or(DEFAULT_CONTENT_TYPE);
    let mut passed = content_response(answer.status.as_u16(), content_type, answer.body.clone());
    if let Some(id) = answer.headers.get(HEADER_REQUEST_ID) {
        passed.headers_mut().insert(HEADER_REQUEST_ID, id.clone());
    }
    passed
}
