//! Carrying a request to a target and its whole answer back.

use {
    super::{
        dispatch_desk::{await_turn, choose_pool},
        run_turn::RunTurn,
        target_load::TargetResult,
        target_word::settle_run,
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

/// Pause before another target is asked after one was full, at most.
const FULL_PAUSE: Duration = Duration::from_millis(8);
/// Pause before a retry of an idempotent request, at most.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// When to try again after a refusal for want of targets.
const TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request on its way: what was checked and what is carried.
#[derive(Debug, Clone)]
pub(crate) struct RequestCarry {
    pub(crate) request: CallerRequest,
    pub(crate) id: RequestName,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

/// What one try came to.
enum TryEnd {
    Answered(HttpResponse),
    /// It surely did not run; another target may be asked.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Refusal),
}

/// Carries a request, with its claim if it is non-idempotent and identified.
pub(crate) async fn carry_request(
    node: &Arc<EntryNode>,
    carry: RequestCarry,
) -> Result<HttpResponse, Refusal> {
    let needs_claim = !carry.request.idempotent && carry.request.id.is_some();
    let claim = if needs_claim {
        Some(claims::claim(node, &carry.request.team.name, &carry.id).await?)
    } else {
        None
    };
    lock(&node.retries).deposit();
    let result = carry_tries(node, &carry).await;
    if let (Some(claim), Err(refusal)) = (claim, &result)
        && refusal.outcome == RunOutcome::NotRun
    {
        claims::release(node, claim).await;
    }
    result
}

async fn carry_tries(node: &Arc<EntryNode>, carry: &RequestCarry) -> Result<HttpResponse, Refusal> {
    let mut ran = false;
    loop {
        let pool = choose_pool(node, &carry.request.queue, TargetKind::Executor);
        let turn = await_turn(
            node,
            &carry.request.queue,
            pool,
            &carry.request.team,
            TargetKind::Executor,
            Some(carry.deadline),
        );
        let turn = turn.await.map_err(|refusal| refusal_after(refusal, ran))?;
        // The exchange has its own task: a caller who hangs up does not end the run.
        let exchange = tokio::spawn(carry_turn(Arc::clone(node), turn, carry.clone()));
        let ended = exchange
            .await
            .map_err(|error| Refusal::unknown(ResultCode::TargetFailed, error.to_string()))?;
        let (refusal, may_retry) = match ended {
            TryEnd::Answered(answer) => return Ok(answer),
            TryEnd::NotRun(refusal) => (refusal, true),
            TryEnd::Unknown(refusal) => {
                ran = true;
                (refusal, carry.request.idempotent)
            }
        };
        let late = carry.deadline <= Instant::now();
        if late || !may_retry || !lock(&node.retries).try_withdraw() {
            return Err(refusal_after(refusal, ran));
        }
        node.metrics.count_retry(refusal.code.slug());
        tokio::time::sleep(RETRY_PAUSE.mul_f64(rand::random::<f64>())).await;
    }
}

/// A refusal after an earlier try that may have run can't say `not-run`.
fn refusal_after(mut refusal: Refusal, ran: bool) -> Refusal {
    if ran {
        refusal.outcome = RunOutcome::OutcomeUnknown;
    }
    refusal
}

/// Uses a turn: asks its target, and others as long as they vouch that nothing ran.
async fn carry_turn(node: Arc<EntryNode>, mut turn: RunTurn, carry: RequestCarry) -> TryEnd {
    loop {
        let run = format!("{:016x}", rand::random::<u64>());
        let left = carry.deadline.saturating_duration_since(Instant::now());
        let answer = send(&node, &turn, &carry, &run, left).await;
        let end = judge(&answer, &carry);
        turn.note(result_of(&answer, &end));
        match end {
            TryEnd::NotRun(refusal) if refusal.code == ResultCode::TargetRefused => {
                node.metrics.count_retry("target-full");
                tokio::time::sleep(FULL_PAUSE.mul_f64(rand::random::<f64>())).await;
                if carry.deadline <= Instant::now() {
                    return TryEnd::NotRun(refusal);
                }
                turn.reseat();
            }
            TryEnd::NotRun(refusal) => {
                if carry.deadline <= Instant::now() || !turn.reseat() {
                    return TryEnd::NotRun(refusal);
                }
                node.metrics.count_retry(refusal.code.slug());
            }
            TryEnd::Answered(answer) => return TryEnd::Answered(answer),
            TryEnd::Unknown(refusal) => {
                if shows_end(&answer, &refusal) {
                    drop(turn);
                } else {
                    tokio::spawn(settle_run(Arc::clone(&node), turn, run));
                }
                return TryEnd::Unknown(refusal);
            }
        }
    }
}

async fn send(
    node: &EntryNode,
    turn: &RunTurn,
    carry: &RequestCarry,
    run: &str,
    left: Duration,
) -> Result<HttpResponse, HttpFault> {
    let entry = node.stamp.to_string();
    let headers = [
        (HEADER_REQUEST_ID, carry.id.as_str()),
        (HEADER_RUN_ID, run),
        (HEADER_TEAM, turn.team().as_str()),
        (HEADER_QUEUE, carry.request.queue.name.as_str()),
        (HEADER_ENTRY, entry.as_str()),
        ("content-type", carry.content_type.as_str()),
    ];
    let request = request_to(
        Method::POST,
        &turn.seat().address,
        "/run",
        &headers,
        carry.body.clone(),
    )?;
    node.targets.send(request, left).await
}

/// Whether the target's answer shows that this run ended: it came whole and was not
/// another request's.
fn shows_end(answer: &Result<HttpResponse, HttpFault>, refusal: &Refusal) -> bool {
    answer.is_ok() && refusal.code != ResultCode::AnswerCrossed
}

fn judge(answer: &Result<HttpResponse, HttpFault>, carry: &RequestCarry) -> TryEnd {
    let answer = match answer {
        Ok(answer) => answer,
        Err(fault) => return judge_fault(fault, carry.deadline),
    };
    if answer.header(HEADER_OUTCOME) == Some(OUTCOME_NOT_RUN) {
        let detail = "every target asked was full and ran nothing";
        return TryEnd::NotRun(
            Refusal::not_run(ResultCode::TargetRefused, detail).retry_after(TARGET_RETRY_AFTER),
        );
    }
    let echoed = answer.header(HEADER_REQUEST_ID);
    if echoed.is_some_and(|echoed| echoed != carry.id.as_str()) {
        return TryEnd::Unknown(Refusal::unknown(
            ResultCode::AnswerCrossed,
            "the target answered another request",
        ));
    }
    if answer.status.is_server_error() {
        let detail = format!("the target answered with status {}", answer.status.as_u16());
        return TryEnd::Unknown(Refusal::unknown(ResultCode::TargetFailed, detail));
    }
    TryEnd::Answered(answer.clone())
}

fn judge_fault(fault: &HttpFault, deadline: Instant) -> TryEnd {
    match fault {
        HttpFault::NotSent { detail } => TryEnd::NotRun(
            Refusal::not_run(ResultCode::NoTarget, detail.clone()).retry_after(TARGET_RETRY_AFTER),
        ),
        HttpFault::Truncated { detail } => TryEnd::Unknown(Refusal::unknown(
            ResultCode::AnswerTruncated,
            detail.clone(),
        )),
        HttpFault::TooLarge { limit } => {
            let detail = format!("the answer is larger than {limit} bytes");
            TryEnd::Unknown(Refusal::unknown(ResultCode::AnswerTooLarge, detail))
        }
        HttpFault::NoResponse { detail } => {
            let code = if deadline <= Instant::now() {
                ResultCode::DeadlinePassed
            } else {
                ResultCode::TargetFailed
            };
            TryEnd::Unknown(Refusal::unknown(code, detail.clone()))
        }
    }
}

fn result_of(answer: &Result<HttpResponse, HttpFault>, end: &TryEnd) -> TargetResult {
    match (answer, end) {
        (Err(HttpFault::NotSent { .. }), _) => TargetResult::Unreachable,
        (_, TryEnd::NotRun(_)) => TargetResult::Full,
        (Ok(answer), TryEnd::Answered(_)) => TargetResult::Answered(
            answer
                .header(HEADER_BUSY_SLOTS)
                .and_then(|busy| busy.parse().ok()),
        ),
        _ => TargetResult::Failed,
    }
}
