//! Asks the adviser which workers may run the steps of advised jobs.

use {
    super::leadership::Leadership,
    crate::node::{SchedulerNode, lock, millis, uptime_ms},
    dotterelshore_domain::schedule::AdviceRequest,
    dotterelshore_platform::AdviceClient,
    dotterelshore_wire::{log_event, timer_hub::jittered_pause},
    std::{sync::Arc, time::Duration},
};

/// Time between checks for open advice requests. A tenth of the run time of a short task.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Pause after a call to the adviser failed, so that its queue does not fill up.
const FAULT_PAUSE: Duration = Duration::from_millis(300);
/// Validity of a ticket whose queue is no longer in the configuration.
const DEFAULT_TICKET_VALIDITY: Duration = Duration::from_secs(2);

/// Sends advice requests to the adviser one at a time, until aborted.
pub(super) async fn request_advice(node: Arc<SchedulerNode>, leadership: Arc<Leadership>) {
    let Some(adviser) = node.settings.adviser.clone() else {
        log_event!(Info, "no-adviser");
        return;
    };
    let client = AdviceClient::new(adviser);
    let mut interval = node.timer.interval(CHECK_PERIOD);
    loop {
        interval.tick().await;
        let has_advised_queue = node
            .current_table()
            .is_some_and(|table| table.queues.iter().any(|row| row.advice.is_some()));
        if !has_advised_queue || !leadership.has_authority() {
            continue;
        }
        loop {
            let request = lock(&leadership.schedule).next_advice_request(uptime_ms());
            let Some(request) = request else { break };
            if !request_tickets(&node, &leadership, &client, &request).await {
                tokio::time::sleep(jittered_pause(FAULT_PAUSE)).await;
                break;
            }
        }
    }
}

/// Sends one advice request and applies the answer. Returns `false` if the call failed.
async fn request_tickets(
    node: &SchedulerNode,
    leadership: &Leadership,
    client: &AdviceClient,
    request: &AdviceRequest,
) -> bool {
    let sent_ms = uptime_ms();
    let validity = node
        .current_table()
        .and_then(|table| table.queue(&request.queue)?.advice)
        .map_or(DEFAULT_TICKET_VALIDITY, |settings| {
            Duration::from_millis(settings.valid_ms)
        });
    let workers: Vec<_> = request.workers.iter().map(|(name, _)| name).collect();
    let answer = client
        .advise(&request.job, request.occurrence, request.step, &workers)
        .await;
    match answer {
        Ok(tickets) => {
            log_event!(
                Info,
                "advice-given",
                job = request.job,
                step = request.step,
                asked = workers.len(),
                good = tickets.len(),
                took_ms = uptime_ms().saturating_sub(sent_ms)
            );
            let valid_until_ms = sent_ms.saturating_add(millis(validity));
            lock(&leadership.schedule).apply_advice(request, &tickets, valid_until_ms);
            leadership.plan_notify.notify_one();
            true
        }
        Err(fault) => {
            node.metrics.count_retry("advice");
            log_event!(
                Info,
                "advice-missing",
                job = request.job,
                step = request.step,
                error = fault
            );
            false
        }
    }
}
