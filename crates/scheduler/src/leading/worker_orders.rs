//! Sends orders to one worker.

use {
    super::{
        leadership::{Leadership, QueuedOrder},
        worker_task::WorkerClock,
    },
    crate::node::{SchedulerNode, lock, uptime_ms},
    dotterelshore_domain::schedule::{
        StartOrder, StartRefusal, StartReply, StopOrder, WorkerOrder,
    },
    dotterelshore_platform::WorkerClient,
    dotterelshore_wire::log_event,
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// Sends orders to a worker one at a time, until its order queue is closed.
pub(super) async fn deliver_orders(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    clock: Arc<WorkerClock>,
    client: WorkerClient,
    mut orders: mpsc::UnboundedReceiver<QueuedOrder>,
) {
    let mut client = client;
    let mut address: Option<Arc<str>> = None;
    while let Some(QueuedOrder { order, queued_ms }) = orders.recv().await {
        let listed = lock(&leadership.schedule)
            .worker(&clock.name)
            .map(|status| (status.listed.clone(), status.reachable));
        let Some((listed, reachable)) = listed else {
            continue;
        };
        if address
            .as_ref()
            .is_some_and(|known| *known != listed.address)
        {
            client = WorkerClient::new(&listed);
        }
        address = Some(Arc::clone(&listed.address));
        match order {
            WorkerOrder::Start(order) => {
                start_task(&node, &leadership, &clock, &client, &order, reachable).await;
            }
            WorkerOrder::Stop(order) => {
                stop_run(&node, &leadership, &client, &order, queued_ms).await;
            }
            WorkerOrder::Pace(order, percent) => {
                if !leadership.has_authority() {
                    continue;
                }
                if let Err(fault) = client.pace(&order, percent, leadership.token()).await {
                    node.metrics.count_retry("pace");
                    lock(&leadership.schedule).mark_pace_unconfirmed(&order);
                    log_event!(
                        Info,
                        "pace-unanswered",
                        task = order.task,
                        percent = percent,
                        error = fault
                    );
                }
            }
        }
    }
}

/// Sends a stop order and applies the reply to the schedule.
async fn stop_run(
    node: &SchedulerNode,
    leadership: &Leadership,
    client: &WorkerClient,
    order: &StopOrder,
    queued_ms: u64,
) {
    if !leadership.has_authority() {
        return;
    }
    let sent_ms = uptime_ms();
    match client.stop(order, leadership.token()).await {
        Ok(clock_ms) => {
            lock(&leadership.schedule).confirm_stop(order, clock_ms);
            log_event!(
                Info,
                "stop-confirmed",
                task = order.task,
                run = order.run,
                worker = order.worker,
                waited_ms = sent_ms.saturating_sub(queued_ms),
                took_ms = uptime_ms().saturating_sub(sent_ms)
            );
        }
        Err(fault) => {
            node.metrics.count_retry("stop");
            log_event!(
                Info,
                "stop-unanswered",
                task = order.task,
                run = order.run,
                worker = order.worker,
                waited_ms = sent_ms.saturating_sub(queued_ms),
                error = fault
            );
        }
    }
}

/// Sends a start order and applies the reply to the schedule.
async fn start_task(
    node: &SchedulerNode,
    leadership: &Leadership,
    clock: &WorkerClock,
    client: &WorkerClient,
    order: &StartOrder,
    reachable: bool,
) {
    if !lock(&leadership.schedule).is_start_pending(order) {
        log_event!(Info, "start-superseded", task = order.task, run = order.run);
        return;
    }
    let lease_until_ms = clock.lease_until(node);
    let reply = match lease_until_ms {
        Some(until)
            if reachable
                && leadership.has_authority()
                && lock(&leadership.schedule).renew_lease(&clock.name, uptime_ms()) =>
        {
            client.start(order, until, leadership.token()).await
        }
        // The order was not sent, so the task does not run.
        _ => StartReply::Refused(StartRefusal::Late),
    };
    match reply {
        StartReply::Started { .. } => node.metrics.count_start("started"),
        StartReply::Refused(refusal) => {
            node.metrics.count_start("refused");
            log_event!(
                Info,
                "start-refused",
                task = order.task,
                run = order.run,
                worker = order.worker,
                reason = format!("{refusal:?}")
            );
            if refusal == StartRefusal::Fenced {
                leadership.mark_fenced(leadership.token());
            }
        }
        StartReply::Unknown => {
            node.metrics.count_start("unanswered");
            log_event!(
                Info,
                "start-unanswered",
                task = order.task,
                run = order.run,
                worker = order.worker
            );
        }
    }
    let replan = matches!(reply, StartReply::Refused(_));
    lock(&leadership.schedule).apply_start_reply(
        &order.worker,
        &order.task,
        order.run,
        reply,
        uptime_ms(),
    );
    if replan {
        leadership.plan_notify.notify_one();
    }
}
