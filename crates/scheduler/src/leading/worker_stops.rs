//! Sends stop orders to one worker.

use {
    super::{
        leadership::{Leadership, QueuedStop},
        worker_route::WorkerRoute,
        worker_task::ListedClient,
    },
    crate::node::{SchedulerNode, lock, uptime_ms},
    dotterelshore_wire::log_event,
    std::sync::Arc,
    tokio::sync::{Semaphore, mpsc},
};

/// Stop orders to one worker that may wait for a reply at the same time, so that one without a
/// reply does not hold up the others.
const STOPS_IN_FLIGHT: usize = 4;

/// Sends the stop orders of a worker's queue, until it is closed.
pub(super) async fn deliver_stops(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    mut client: ListedClient,
    mut stops: mpsc::UnboundedReceiver<QueuedStop>,
) {
    let slots = Arc::new(Semaphore::new(STOPS_IN_FLIGHT));
    while let Some(stop) = stops.recv().await {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        let Some(client) = client.current(&leadership) else {
            continue;
        };
        let is_due = leadership.has_authority()
            && lock(&leadership.schedule).begin_stop(&stop.order, uptime_ms());
        if !is_due {
            continue;
        }
        let (node, leadership) = (Arc::clone(&node), Arc::clone(&leadership));
        let guarding = Arc::clone(&leadership);
        tokio::spawn(guarding.guard_task("worker-stop", async move {
            stop_run(&node, &leadership, &client, &stop).await;
            drop(slot);
        }));
    }
}

/// Sends a stop order and applies the reply to the schedule.
async fn stop_run(
    node: &SchedulerNode,
    leadership: &Leadership,
    client: &WorkerRoute,
    stop: &QueuedStop,
) {
    let order = &stop.order;
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
                waited_ms = sent_ms.saturating_sub(stop.queued_ms),
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
                waited_ms = sent_ms.saturating_sub(stop.queued_ms),
                error = fault
            );
        }
    }
}
