//! Forwarding a request to an entry that has permits of its team to spare.

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

/// Names the entry that forwarded a request; it is forwarded once at most.
pub(crate) const HEADER_FORWARDED: &str = "x-forwarded-by-entry";
/// Part of the time left that the other entry may use, so that there is time to answer.
const TIME_PART: f64 = 0.95;

/// A request as it came, to be sent on.
#[derive(Debug, Clone)]
pub(crate) struct ForwardedRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

/// What came of forwarding.
pub(crate) enum ForwardEnd {
    /// The other entry's answer, a refusal included.
    Answered(HttpResponse),
    /// Nothing ran; the request can still be served here.
    NotRun,
}

/// The entry to forward a request to: this one has no permit free, and that one had.
pub(crate) fn choose_peer(node: &EntryNode, request: &CallerRequest) -> Option<EntryName> {
    if !node.settings.forward || node.permits.spare(&request.team.name) > 0 {
        return None;
    }
    let desk = node.desks.desk(&request.queue.pool, TargetKind::Executor);
    lock(&desk).idle_peer(&request.team.name)
}

/// Sends a request on to a peer.
pub(crate) async fn forward(
    node: &EntryNode,
    peer: &EntryName,
    request: &ForwardedRequest,
) -> Result<ForwardEnd, Refusal> {
    let Some(front) = node.members.front_of(peer) else {
        return Ok(ForwardEnd::NotRun);
    };
    let left = request.deadline.saturating_duration_since(Instant::now());
    let timeout = left.mul_f64(TIME_PART).as_secs_f64().to_string();
    let mut headers: Vec<(&str, &str)> = request
        .headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()))
        .collect();
    headers.push(("request-timeout", &timeout));
    headers.push((HEADER_FORWARDED, node.stamp.name.as_str()));
    let sent = request_to(
        request.method.clone(),
        &front.to_string(),
        &request.path,
        &headers,
        request.body.clone(),
    );
    let answer = match sent {
        Ok(sent) => node.targets.send(sent, left).await,
        Err(fault) => Err(fault),
    };
    match answer {
        Ok(answer) if says_not_run(&answer) => Ok(ForwardEnd::NotRun),
        Ok(answer) => Ok(ForwardEnd::Answered(answer)),
        Err(HttpFault::NotSent { .. }) => Ok(ForwardEnd::NotRun),
        Err(fault) => {
            let detail = format!("entry '{peer}' did not answer whole: {fault}");
            Err(Refusal::unknown(ResultCode::TargetFailed, detail))
        }
    }
}

/// Whether another entry's answer is a refusal of work that surely did not run.
fn says_not_run(answer: &HttpResponse) -> bool {
    if answer.status.is_success() {
        return false;
    }
    let problem: Option<ProblemDetails> = serde_json::from_slice(&answer.body).ok();
    problem.is_some_and(|problem| problem.outcome == RunOutcome::NotRun)
}

/// The headers that go along: all but those that belong to one connection or are set anew.
pub(crate) fn forwarded_headers(headers: &hyper::HeaderMap) -> Vec<(String, String)> {
    let own = [
        header::HOST.as_str(),
        "connection",
        "content-length",
        "transfer-encoding",
        "request-timeout",
    ];
    let kept = headers
        .iter()
        .filter(|(name, _)| !own.contains(&name.as_str()));
    kept.filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}

/// Shortest time left for which forwarding is worth it.
pub(crate) const FORWARD_TIME_MIN: Duration = Duration::from_millis(5);
