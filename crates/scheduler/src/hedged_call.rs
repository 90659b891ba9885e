//! Calls to the store that are repeated on another connection while their answer is missing.

use {
    crate::node::{STORE_TIMEOUT, SchedulerNode, lock},
    dotterelshore_platform::{KvFault, KvTransaction},
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::time::Duration,
    tokio::time::{Instant, sleep_until, timeout_at},
};

/// Commits a transaction that takes effect at most once however often it is sent: one of its
/// conditions no longer holds once it has. Returns its revision.
///
/// # Errors
///
/// As [`KvClient::commit`](dotterelshore_platform::KvClient::commit). After a repeat, `Conflict`
/// may mean that an earlier attempt took effect; the rows tell.
pub(crate) async fn commit(
    node: &SchedulerNode,
    transaction: &KvTransaction,
) -> Result<u64, KvFault> {
    call(node, STORE_TIMEOUT, || node.kv.commit(transaction)).await
}

/// Makes a call that may be repeated without harm. Sends it again each time the answer is later
/// than answers usually are; the first answer counts.
///
/// # Errors
///
/// The fault of an attempt that settles the call, or `OutcomeUnknown` after `timeout`. `NotApplied`
/// means that no attempt has taken effect or will.
pub(crate) async fn call<T, F: Future<Output = Result<T, KvFault>>>(
    node: &SchedulerNode,
    timeout: Duration,
    send: impl Fn() -> F,
) -> Result<T, KvFault> {
    let deadline = Instant::now() + timeout;
    let mut attempts = FuturesUnordered::new();
    let mut unknown = None;
    for number in 0.. {
        if number > 0 {
            node.metrics.count_retry("store-answer");
        }
        attempts.push(timed(node, send()));
        let repeat_at = Instant::now() + lock(&node.answer_delay).repeat_after(number);
        loop {
            match timeout_at(repeat_at.min(deadline), attempts.next()).await {
                Ok(Some(Err(fault @ KvFault::OutcomeUnknown { .. }))) => unknown = Some(fault),
                Ok(Some(Err(KvFault::NotApplied { .. })))
                    if unknown.is_some() || !attempts.is_empty() => {}
                Ok(Some(settled)) => return settled,
                Ok(None) => {
                    sleep_until(repeat_at.min(deadline)).await;
                    break;
                }
                Err(_) => break,
            }
        }
        if Instant::now() >= deadline {
            break;
        }
    }
    Err(unknown.unwrap_or_else(|| KvFault::OutcomeUnknown {
        detail: format!("no answer in {} ms", timeout.as_millis()),
    }))
}

/// Records how long an answer takes, whether it is a success or a fault that the store states.
async fn timed<T>(
    node: &SchedulerNode,
    attempt: impl Future<Output = Result<T, KvFault>>,
) -> Result<T, KvFault> {
    let sent = Instant::now();
    let answer = attempt.await;
    if !matches!(answer, Err(KvFault::OutcomeUnknown { .. })) {
        lock(&node.answer_delay).record(sent.elapsed());
    }
    answer
}
