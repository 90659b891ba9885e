//! Carrying orders to one worker.

use {
    super::{leadership::Leadership, worker_task::WorkerSide},
    crate::node::{SchedulerNode, lock, uptime_ms},
    dotterelshore_domain::schedule::{StartOrder, StartRefusal, StartReply, WorkerOrder},
    dotterelshore_platform::WorkerClient,
    dotterelshore_wire::log_event,
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// Carries orders to a worker, one after another.
pub(super) async fn carry_orders(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    side: Arc<WorkerSide>,
    link: WorkerClient,
    mut orders: mpsc::UnboundedReceiver<WorkerOrder>,
) {
    let mut link = link;
    let mut address: Option<Arc<str>> = None;
    while let Some(order) = orders.recv().await {
        let listed = lock(&leadership.schedule)
            .worker(&side.name)
            .map(|status| (status.listed.clone(), status.reachable));
        let Some((listed, reachable)) = listed else {
            continue;
        };
        if address
            .as_ref()
            .is_some_and(|known| *known != listed.address)
        {
            link = WorkerClient::new(&listed);
        }
        address = Some(Arc::clone(&listed.address));
        match order {
            WorkerOrder::Start(order) => {
                start_task(&node, &leadership, &side, &link, &order, reachable).await;
            }
            WorkerOrder::Stop(order) => {
                if !leadership.may_order() {
                    continue;
                }
                match link.stop(&order, leadership.token()).await {
                    Ok(clock_ms) => lock(&leadership.schedule).confirm_stop(&order, clock_ms),
                    Err(fault) => {
                        node.metrics.count_retry("stop");
                        log_event!(
                            Info,
                            "stop-unanswered",
                            task = order.task,
                            run = order.run,
                            worker = order.worker,
                            error = fault
                        );
                    }
                }
            }
            WorkerOrder::Pace(order, percent) => {
                if !leadership.may_order() {
                    continue;
                }
                if let Err(fault) = link.pace(&order, percent, leadership.token()).await {
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

async fn start_task(
    node: &SchedulerNode,
    leadership: &Leadership,
    side: &WorkerSide,
    link: &WorkerClient,
    order: &StartOrder,
    reachable: bool,
) {
    if !lock(&leadership.schedule).is_start_pending(order) {
        log_event!(Info, "start-overtaken", task = order.task, run = order.run);
        return;
    }
    let lease_until_ms = side.lease_until(node);
    let reply = match lease_until_ms {
        Some(until)
            if reachable
                && leadership.may_order()
                && lock(&leadership.schedule).renew_lease(&side.name, uptime_ms()) =>
        {
            link.start(order, until, leadership.token()).await
        }
        // Not sent, so it surely does not run.
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
                leadership.note_fence(leadership.token());
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
        leadership.plan.notify_one();
    }
}
