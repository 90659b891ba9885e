//! Sends orders to start and pace runs to one worker.

use {
    super::{
        clock_reads::{SharedClock, read_clock},
        leadership::{Leadership, RunOrder},
        worker_route::WorkerRoute,
        worker_task::ListedClient,
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
    clock: Arc<SharedClock>,
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
    clock: &SharedClock,
    client: &WorkerRoute,
    order: &StartOrder,
) {
    let Some(reply) = order_start(node, leadership, clock, client, order).await else {
        log_event!(Info, "start-superseded", task = order.task, run = order.run);
        return;
    };
    match reply {
        StartReply::Started { clock_ms } => {
            node.metrics.count_start("started");
            if !clock.agrees(clock_ms) {
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

/// Sends a start order whose lease is timed by a clock that was read shortly before. An order that was not sent
/// counts as refused; `None` means that it is not valid any more.
async fn order_start(
    node: &SchedulerNode,
    leadership: &Leadership,
    clock: &SharedClock,
    client: &WorkerRoute,
    order: &StartOrder,
) -> Option<StartReply> {
    let is_pending = || lock(&leadership.schedule).is_start_pending(order);
    if !is_pending() {
        return None;
    }
    let not_sent = Some(StartReply::Refused(StartRefusal::Late));
    if !clock.is_fresh() {
        let grants_lease = lock(&leadership.schedule).grants_lease(&clock.name);
        if !grants_lease || !read_clock(node, leadership, clock, client).await {
            return not_sent;
        }
        if !is_pending() {
            return None;
        }
    }
    if !lock(&leadership.schedule).admits_start(order) {
        return Some(StartReply::Refused(StartRefusal::Withheld));
    }
    match clock.lease_until(node) {
        Some(until)
            if leadership.has_authority()
                && lock(&leadership.schedule).renew_lease(&clock.name, uptime_ms()) =>
        {
            Some(client.start(order, until, leadership.token()).await)
        }
        _ => not_sent,
    }
}
