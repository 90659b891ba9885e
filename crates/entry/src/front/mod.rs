//! The HTTP front end: endpoints for callers, operators, health checks and metrics.

mod caller_front;
mod front_request;
mod operator_front;

use {
    crate::node::EntryNode,
    dotterelshore_domain::codes::{Refusal, ResultCode},
    dotterelshore_wire::{
        http_server::{FullResponse, content_response},
        log_event,
        operator_message::HEADER_REVISION,
        problem_details::problem_response,
    },
    front_request::FrontRequest,
    hyper::{
        Request,
        body::Incoming,
        header::{self, HeaderValue},
    },
    std::sync::Arc,
};

/// Answers one request on a connection.
pub(crate) async fn respond(node: Arc<EntryNode>, request: Request<Incoming>) -> FullResponse {
    let result = match FrontRequest::read(request, node.settings.body_bytes_max).await {
        Ok(request) => route(&node, request).await,
        Err(refusal) => Err(refusal),
    };
    let mut response = result.unwrap_or_else(|refusal| refuse(&node, &refusal));
    let revision = node.table().revision;
    let headers = response.headers_mut();
    headers.insert(HEADER_REVISION, HeaderValue::from(revision));
    if node.is_shutting_down() {
        // Keeps the caller from sending further requests on a connection that is about to close.
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn refuse(node: &EntryNode, refusal: &Refusal) -> FullResponse {
    node.metrics.count_refusal(refusal);
    log_event!(
        Debug,
        "refused",
        code = refusal.code.number(),
        reason = refusal.code.slug(),
        outcome = refusal.outcome.as_str(),
    );
    problem_response(refusal)
}

async fn route(node: &Arc<EntryNode>, request: FrontRequest) -> Result<FullResponse, Refusal> {
    let path = request.path.clone();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match parts[..] {
        ["healthz"] => Ok(content_response(200, "text/plain", "alive\n")),
        ["readyz"] => Ok(ready(node)),
        ["metrics"] => Ok(content_response(
            200,
            "application/openmetrics-text; version=1.0.0; charset=utf-8",
            node.metrics.text(),
        )),
        ["v1", "queues", queue, "requests"] => {
            caller_front::run_request(node, request, queue).await
        }
        ["v1", "queues", queue, "jobs"] => caller_front::submit_job(node, request, queue).await,
        ["v1", "jobs", job] => caller_front::job_call(node, request, job).await,
        ["operator", "v1", ref rest @ ..] => operator_front::respond(node, request, rest).await,
        _ => Err(Refusal::not_run(
            ResultCode::UnknownPath,
            format!("nothing is at '{path}'"),
        )),
    }
}

fn ready(node: &EntryNode) -> FullResponse {
    if node.is_shutting_down() {
        return content_response(503, "text/plain", "leaving\n");
    }
    if node.table().revision == 0 {
        return content_response(503, "text/plain", "no table yet\n");
    }
    content_response(200, "text/plain", "ready\n")
}
