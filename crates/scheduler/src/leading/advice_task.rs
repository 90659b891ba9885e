//! Asking the adviser which workers may run the steps of advised jobs.

use {
    super::leadership::Leadership,
    crate::node::{SchedulerNode, lock, millis, uptime_ms},
    dotterelshore_domain::schedule::AdviceRequest,
    dotterelshore_platform::AdviceClient,
    dotterelshore_wire::{log_event, timer_hub::jittered_pause},
    std::{sync::Arc, time::Duration},
};

/// Time between looks for something to ask. A tenth of what a short task takes.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Pause after the adviser did not answer, so that its line is not filled.
const FAULT_PAUSE: Duration = Duration::from_millis(300);
/// How long a ticket is taken to be valid where its queue is no longer in the configuration.
const TICKET_USUAL: Duration = Duration::from_secs(2);

/// Asks, one question at a time, until aborted. Everything else goes on meanwhile.
pub(super) async fn ask_for_advice(node: Arc<SchedulerNode>, leadership: Arc<Leadership>) {
    let Some(adviser) = node.settings.adviser.clone() else {
        log_event!(Info, "no-adviser");
        return;
    };
    let link = AdviceClient::new(adviser);
    let mut interval = node.timer.interval(LOOK_PERIOD);
    loop {
        interval.tick().await;
        let takes_advice = node
            .table_now()
            .is_some_and(|table| table.queues.iter().any(|row| row.advice.is_some()));
        if !takes_advice || !leadership.may_order() {
            continue;
        }
        loop {
            let question = lock(&leadership.schedule).next_advice_request(uptime_ms());
            let Some(question) = question else { break };
            if !ask(&node, &leadership, &link, &question).await {
                tokio::time::sleep(jittered_pause(FAULT_PAUSE)).await;
                break;
            }
        }
    }
}

async fn ask(
    node: &SchedulerNode,
    leadership: &Leadership,
    link: &AdviceClient,
    question: &AdviceRequest,
) -> bool {
    let asked_ms = uptime_ms();
    let valid = node
        .table_now()
        .and_then(|table| table.queue(&question.queue)?.advice)
        .map_or(TICKET_USUAL, |terms| Duration::from_millis(terms.valid_ms));
    let workers: Vec<_> = question.workers.iter().map(|(name, _)| name).collect();
    let answer = link
        .advise(&question.job, question.occurrence, question.step, &workers)
        .await;
    match answer {
        Ok(tickets) => {
            log_event!(
                Info,
                "advice-given",
                job = question.job,
                step = question.step,
                asked = workers.len(),
                good = tickets.len(),
                took_ms = uptime_ms().saturating_sub(asked_ms)
            );
            let valid_until_ms = asked_ms + millis(valid);
            lock(&leadership.schedule).apply_advice(question, &tickets, valid_until_ms);
            leadership.plan.notify_one();
            true
        }
        Err(fault) => {
            node.metrics.count_retry("advice");
            log_event!(
                Info,
                "advice-missing",
                job = question.job,
                step = question.step,
                error = fault
            );
            false
        }
    }
}
