//! Sends orders to start and pace runs to one worker.

use {
    super::{
        leadership::{Leadership, RunOrder},
        worker_clock::WorkerClock,
        worker_route::WorkerRoute,
        worker_task::{ListedClient, read_clock},
    },
    crate::node::{SchedulerNode, lock, uptime_ms},
    dotterelshore_domain::schedule::{StartOrder, StartRefusal, StartReply, StopOrder},
    dotterelshore_wire::log_event,
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// Sends the orders of a worker's queue one at a time, until it is closed.
pub(super) async fn deliver_orders(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    clock: Arc<WorkerClock>,
    mut client: ListedClient,
    mut orders: mpsc::UnboundedReceiver<RunOrder>,
) {
    while let Some(order) = orders.recv().await {
        let Some(client) = client.current(&leadership) else {
            continue;
        };
        match order {
            RunOrder::Start(order) => {
                start_task(&node, &leadership, &clock, &client, &order).await;
            }
            RunOrder::Pace(order, percent) => {
                if leadership.has_authority() {
                    pace_run(&node, &leadership, &client, &order, percent).await;
                } else {
                    lock(&leadership.schedule).mark_pace_unconfirmed(&order);
                }
            }
        }
    }
}

/// Sends the pace of a best-effort run.
async fn pace_run(
    node: &SchedulerNode,
    leadership: &Leadership,
    client: &WorkerRoute,
    order: &StopOrder,
    percent: u32,
) {
    if let Err(fault) = client.pace(order, percent, leadership.token()).await {
        node.metrics.count_retry("pace");
        lock(&leadership.schedule).mark_pace_unconfirmed(order);
        log_event!(
            Info,
            "pace-unanswered",
            task = order.task,
            percent = percent,
            error = fault
        );
    }
}

/// Sends a start order and applies the reply to the schedule.
async fn start_task(
    node: &SchedulerNode,
    leadership: &Leadership,
    clock: &WorkerClock,
    client: &WorkerRoute,
    order: &StartOrder,
) {
    let is_pending = || lock(&leadership.schedule).is_start_pending(order);
    if is_pending() && !clock.is_read(uptime_ms()) {
        read_clock(node, leadership, clock, client).await;
    }
    if !is_pending() {
        log_event!(Info, "start-superseded", task = order.task, run = order.run);
        return;
    }
    let is_admitted = lock(&leadership.schedule).admits_start(order);
    let lease_until_ms = clock.lease_until(node, uptime_ms());
    let reply = match lease_until_ms {
        _ if !is_admitted => StartReply::Refused(StartRefusal::Withheld),
        Some(until)
            if leadership.has_authority()
                && lock(&leadership.schedule).renew_lease(&clock.name, uptime_ms()) =>
        {
            client.start(order, until, leadership.token()).await
        }
        // The order was not sent, so the task does not run.
        _ => StartReply::Refused(StartRefusal::Late),
    };
    match reply {
        StartReply::Started { clock_ms } => {
            node.metrics.count_start("started");
            if !clock.agrees(clock_ms, uptime_ms()) {
                log_event!(Warn, "worker-clock-stepped", worker = order.worker);
                clock.forget();
                lock(&leadership.schedule).suspect_restart(&order.worker, uptime_ms());
            }
        }
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
