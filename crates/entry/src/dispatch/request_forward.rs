//! Forwards a request to an entry that has idle permits of its team.

use {
    crate::node::{EntryNode, lock},
    bytes::Bytes,
    dotterelshore_domain::{
        codes::{Refusal, ResultCode, RunOutcome},
        names::EntryName,
        request::CallerRequest,
        table::TargetKind,
    },
    dotterelshore_wire::{
        http_client::{HttpFault, HttpResponse, request_to},
        problem_details::ProblemDetails,
    },
    hyper::{Method, header},
    std::time::{Duration, Instant},
};

/// Header with the name of the forwarding entry; a request with it is not forwarded again.
pub(crate) const HEADER_FORWARDED: &str = "x-forwarded-by-entry";
/// Fraction of the remaining time given to the peer; the rest is kept to pass its answer on.
const FORWARD_TIME_FRACTION: f64 = 0.95;

/// A request as received from the caller, to be forwarded unchanged.
#[derive(Debug, Clone)]
pub(crate) struct ForwardedRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

/// Outcome of forwarding a request.
pub(crate) enum ForwardOutcome {
    /// The peer answered; the answer may be a refusal.
    Answered(HttpResponse),
    /// The request did not run and can still be served by this entry.
    NotRun,
}

/// Chooses a peer that reported idle permits of the request's team.
///
/// Returns `None` if forwarding is disabled, this entry has a spare permit, or no peer has one.
pub(crate) fn choose_peer(node: &EntryNode, request: &CallerRequest) -> Option<EntryName> {
    if !node.settings.forward || node.permits.spare(&request.team.name) > 0 {
        return None;
    }
    let scheduler = node
        .schedulers
        .get_or_create(&request.queue.pool, TargetKind::Executor);
    lock(&scheduler).take_idle_peer(&request.team.name)
}

/// Forwards a request to a peer.
///
/// # Errors
///
/// Refuses with an unknown outcome if the peer received the request but its answer is missing
/// or incomplete.
pub(crate) async fn forward(
    node: &EntryNode,
    peer: &EntryName,
    request: &ForwardedRequest,
) -> Result<ForwardOutcome, Refusal> {
    let Some(front_address) = node.members.front_address(peer) else {
        return Ok(ForwardOutcome::NotRun);
    };
    let left = request.deadline.saturating_duration_since(Instant::now());
    let timeout = left
        .mul_f64(FORWARD_TIME_FRACTION)
        .as_secs_f64()
        .to_string();
    let mut headers: Vec<(&str, &str)> = request
        .headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()))
        .collect();
    headers.push(("request-timeout", &timeout));
    headers.push((HEADER_FORWARDED, node.stamp.name.as_str()));
    let outgoing = request_to(
        request.method.clone(),
        &front_address.to_string(),
        &request.path,
        &headers,
        request.body.clone(),
    );
    let response = match outgoing {
        Ok(outgoing) => node.targets.send(outgoing, left).await,
        Err(fault) => Err(fault),
    };
    match response {
        Ok(response) if is_not_run(&response) => Ok(ForwardOutcome::NotRun),
        Ok(response) => Ok(ForwardOutcome::Answered(response)),
        Err(HttpFault::NotSent { .. }) => Ok(ForwardOutcome::NotRun),
        Err(fault) => {
            let detail = format!("entry '{peer}' did not answer whole: {fault}");
            Err(Refusal::unknown(ResultCode::TargetFailed, detail))
        }
    }
}

/// Whether a peer's answer is a refusal of a request that did not run.
fn is_not_run(response: &HttpResponse) -> bool {
    if response.status.is_success() {
        return false;
    }
    let problem: Option<ProblemDetails> = serde_json::from_slice(&response.body).ok();
    problem.is_some_and(|problem| problem.outcome == RunOutcome::NotRun)
}

/// Returns the headers to forward: all but hop-by-hop headers and those that are set anew.
pub(crate) fn forwarded_headers(headers: &hyper::HeaderMap) -> Vec<(String, String)> {
    let excluded = [
        header::HOST.as_str(),
        "connection",
        "content-length",
        "transfer-encoding",
        "request-timeout",
    ];
    let kept = headers
        .iter()
        .filter(|(name, _)| !excluded.contains(&name.as_str()));
    kept.filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}

/// Shortest remaining time for which a request is forwarded.
pub(crate) const FORWARD_TIME_MIN: Duration = Duration::from_millis(5);
