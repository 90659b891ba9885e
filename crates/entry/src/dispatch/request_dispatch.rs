//! Runs a request on a target and returns the complete answer.

use {
    super::{
        run_grant::RunGrant,
        scheduler_registry::{await_grant, choose_pool},
        target_load::TargetOutcome,
        target_query::confirm_run_end,
    },
    crate::{
        claims,
        node::{EntryNode, lock},
    },
    bytes::Bytes,
    dotterelshore_domain::{
        codes::{Refusal, ResultCode, RunOutcome},
        names::RequestName,
        request::CallerRequest,
        table::TargetKind,
    },
    dotterelshore_wire::{
        http_client::{HttpFault, HttpResponse, request_to},
        target_message::{
            HEADER_BUSY_SLOTS, HEADER_ENTRY, HEADER_OUTCOME, HEADER_QUEUE, HEADER_REQUEST_ID,
            HEADER_RUN_ID, HEADER_TEAM, OUTCOME_NOT_RUN,
        },
    },
    hyper::Method,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Largest pause before a request is sent to another target after one was full.
const FULL_PAUSE_MAX: Duration = Duration::from_millis(8);
/// Largest pause before a retry.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(50);
/// `Retry-After` of a refusal because no target accepted the request.
const TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A validated request with the body and content type that its target receives.
#[derive(Debug, Clone)]
pub(crate) struct RequestDispatch {
    pub(crate) request: CallerRequest,
    pub(crate) id: RequestName,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

/// Outcome of one attempt to run a request.
enum AttemptOutcome {
    Answered(HttpResponse),
    /// The request did not run, so another target may be tried.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(Refusal),
}

/// Runs a request, and retries it within the retry budget and its deadline.
///
/// A non-idempotent request with an identifier is claimed first, and the claim is released if
/// the request did not run.
///
/// # Errors
///
/// The refusal says whether the request did not run or its outcome is unknown.
pub(crate) async fn dispatch_request(
    node: &Arc<EntryNode>,
    dispatch: RequestDispatch,
) -> Result<HttpResponse, Refusal> {
    let needs_claim = !dispatch.request.idempotent && dispatch.request.id.is_some();
    let claim = if needs_claim {
        Some(claims::claim(node, &dispatch.request.team.name, &dispatch.id).await?)
    } else {
        None
    };
    lock(&node.retry_budget).deposit();
    let result = dispatch_with_retries(node, &dispatch).await;
    if let (Some(claim), Err(refusal)) = (claim, &result)
        && refusal.outcome == RunOutcome::NotRun
    {
        claims::release(node, claim).await;
    }
    result
}

async fn dispatch_with_retries(
    node: &Arc<EntryNode>,
    dispatch: &RequestDispatch,
) -> Result<HttpResponse, Refusal> {
    let mut may_have_run = false;
    loop {
        let pool = choose_pool(node, &dispatch.request.queue, TargetKind::Executor);
        let grant = await_grant(
            node,
            &dispatch.request.queue,
            pool,
            &dispatch.request.team,
            TargetKind::Executor,
            Some(dispatch.deadline),
        );
        let grant = grant
            .await
            .map_err(|refusal| refusal_after_attempts(refusal, may_have_run))?;
        // The exchange runs in its own task, so that it continues when the caller disconnects.
        let exchange = tokio::spawn(run_on_target(Arc::clone(node), grant, dispatch.clone()));
        let attempt = exchange
            .await
            .map_err(|error| Refusal::unknown(ResultCode::TargetFailed, error.to_string()))?;
        let (refusal, may_retry) = match attempt {
            AttemptOutcome::Answered(response) => return Ok(response),
            AttemptOutcome::NotRun(refusal) => (refusal, true),
            AttemptOutcome::Unknown(refusal) => {
                may_have_run = true;
                (refusal, dispatch.request.idempotent)
            }
        };
        let is_late = dispatch.deadline <= Instant::now();
        if is_late || !may_retry || !lock(&node.retry_budget).try_withdraw() {
            return Err(refusal_after_attempts(refusal, may_have_run));
        }
        node.metrics.count_retry(refusal.code.slug());
        tokio::time::sleep(RETRY_PAUSE_MAX.mul_f64(rand::random::<f64>())).await;
    }
}

/// Sets the outcome of a refusal to unknown if an earlier attempt may have run.
fn refusal_after_attempts(mut refusal: Refusal, may_have_run: bool) -> Refusal {
    if may_have_run {
        refusal.outcome = RunOutcome::OutcomeUnknown;
    }
    refusal
}

/// Sends the request to the granted target, and then to others as long as none has run it.
async fn run_on_target(
    node: Arc<EntryNode>,
    mut grant: RunGrant,
    dispatch: RequestDispatch,
) -> AttemptOutcome {
    loop {
        let run_id = format!("{:016x}", rand::random::<u64>());
        let left = dispatch.deadline.saturating_duration_since(Instant::now());
        let response = send_run(&node, &grant, &dispatch, &run_id, left).await;
        let outcome = classify(&response, &dispatch);
        grant.record_outcome(outcome_of(&response, &outcome));
        match outcome {
            AttemptOutcome::NotRun(refusal) if refusal.code == ResultCode::TargetRefused => {
                node.metrics.count_retry("target-full");
                tokio::time::sleep(FULL_PAUSE_MAX.mul_f64(rand::random::<f64>())).await;
                if dispatch.deadline <= Instant::now() {
                    return AttemptOutcome::NotRun(refusal);
                }
                grant.reassign();
            }
            AttemptOutcome::NotRun(refusal) => {
                if dispatch.deadline <= Instant::now() || !grant.reassign() {
                    return AttemptOutcome::NotRun(refusal);
                }
                node.metrics.count_retry(refusal.code.slug());
            }
            AttemptOutcome::Answered(response) => return AttemptOutcome::Answered(response),
            AttemptOutcome::Unknown(refusal) => {
                if confirms_end(&response, &refusal) {
                    drop(grant);
                } else {
                    tokio::spawn(confirm_run_end(Arc::clone(&node), grant, run_id));
                }
                return AttemptOutcome::Unknown(refusal);
            }
        }
    }
}

async fn send_run(
    node: &EntryNode,
    grant: &RunGrant,
    dispatch: &RequestDispatch,
    run_id: &str,
    left: Duration,
) -> Result<HttpResponse, HttpFault> {
    let entry = node.stamp.to_string();
    let headers = [
        (HEADER_REQUEST_ID, dispatch.id.as_str()),
        (HEADER_RUN_ID, run_id),
        (HEADER_TEAM, grant.team().as_str()),
        (HEADER_QUEUE, dispatch.request.queue.name.as_str()),
        (HEADER_ENTRY, entry.as_str()),
        ("content-type", dispatch.content_type.as_str()),
    ];
    let request = request_to(
        Method::POST,
        &grant.endpoint().address,
        "/run",
        &headers,
        dispatch.body.clone(),
    )?;
    node.targets.send(request, left).await
}

/// Whether the answer confirms that this run ended.
///
/// It does if it is complete and does not belong to another request.
fn confirms_end(response: &Result<HttpResponse, HttpFault>, refusal: &Refusal) -> bool {
    response.is_ok() && refusal.code != ResultCode::AnswerCrossed
}

fn classify(
    response: &Result<HttpResponse, HttpFault>,
    dispatch: &RequestDispatch,
) -> AttemptOutcome {
    let response = match response {
        Ok(response) => response,
        Err(fault) => return classify_fault(fault, dispatch.deadline),
    };
    if response.header(HEADER_OUTCOME) == Some(OUTCOME_NOT_RUN) {
        let detail = "every target asked was full and ran nothing";
        return AttemptOutcome::NotRun(
            Refusal::not_run(ResultCode::TargetRefused, detail).retry_after(TARGET_RETRY_AFTER),
        );
    }
    let echoed = response.header(HEADER_REQUEST_ID);
    if echoed.is_some_and(|echoed| echoed != dispatch.id.as_str()) {
        return AttemptOutcome::Unknown(Refusal::unknown(
            ResultCode::AnswerCrossed,
            "the target answered another request",
        ));
    }
    if response.status.is_server_error() {
        let detail = format!(
            "the target answered with status {}",
            response.status.as_u16()
        );
        return AttemptOutcome::Unknown(Refusal::unknown(ResultCode::TargetFailed, detail));
    }
    AttemptOutcome::Answered(response.clone())
}

fn classify_fault(fault: &HttpFault, deadline: Instant) -> AttemptOutcome {
    match fault {
        HttpFault::NotSent { detail } => AttemptOutcome::NotRun(
            Refusal::not_run(ResultCode::NoTarget, detail.clone()).retry_after(TARGET_RETRY_AFTER),
        ),
        HttpFault::Truncated { detail } => AttemptOutcome::Unknown(Refusal::unknown(
            ResultCode::AnswerTruncated,
            detail.clone(),
        )),
        HttpFault::TooLarge { limit } => {
            let detail = format!("the answer is larger than {limit} bytes");
            AttemptOutcome::Unknown(Refusal::unknown(ResultCode::AnswerTooLarge, detail))
        }
        HttpFault::NoResponse { detail } => {
            let code = if deadline <= Instant::now() {
                ResultCode::DeadlinePassed
            } else {
                ResultCode::TargetFailed
            };
            AttemptOutcome::Unknown(Refusal::unknown(code, detail.clone()))
        }
    }
}

fn outcome_of(
    response: &Result<HttpResponse, HttpFault>,
    outcome: &AttemptOutcome,
) -> TargetOutcome {
    match (response, outcome) {
        (Err(HttpFault::NotSent { .. }), _) => TargetOutcome::Unreachable,
        (_, AttemptOutcome::NotRun(_)) => TargetOutcome::Full,
        (Ok(response), AttemptOutcome::Answered(_)) => TargetOutcome::Answered(
            response
                .header(HEADER_BUSY_SLOTS)
                .and_then(|busy| busy.parse().ok()),
        ),
        _ => TargetOutcome::Failed,
    }
}
