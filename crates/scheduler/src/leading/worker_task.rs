//! The tasks of each worker: one polls its lists of runs, one sends starts and one sends stops. The one that
//! sends starts polls too, if the worker's clock was not read shortly before.

use {
    super::{
        clock_reads::{SharedClock, apply_poll_report},
        leadership::Leadership,
        worker_orders::deliver_orders,
        worker_route::{RouteFault, WorkerRoute},
        worker_snapshots::refresh_row,
        worker_stops::deliver_stops,
    },
    crate::{
        delegation::WorkerTarget,
        node::{SchedulerNode, lock, uptime_ms},
    },
    dotterelshore_domain::schedule::{ListedWorker, PollRequest, PollScope, RunWatch},
    dotterelshore_platform::{WorkerClient, WorkerFault},
    dotterelshore_wire::log_event,
    std::{
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::task::JoinHandle,
};

/// How long a poll of a worker's lists waits for a run to end. A worker that stops answering
/// is detected shortly after this time.
const POLL_WAIT_MS: u64 = 1_500;
/// How long a poll waits at a worker with best-effort tasks beside others, whose tail latency
/// the worker reports for the last half second.
const PACED_POLL_WAIT_MS: u64 = 500;
/// How long a poll waits while a long-running task starts, or in a trial. The worker does not end the wait when
/// the task becomes ready or is cleared, since no run ends. A small part of the duration of such a start.
const STARTING_POLL_WAIT_MS: u64 = 250;
/// Pause after a failed poll, and between checks for authority while it is missing.
const POLL_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Pause after the delegate of a worker failed, in which the worker is assigned elsewhere.
const REROUTE_PAUSE: Duration = Duration::from_millis(20);

/// Starts the tasks of a worker, unless they already run.
pub(super) fn start_worker(
    node: &Arc<SchedulerNode>,
    leadership: &Arc<Leadership>,
    listed: ListedWorker,
) {
    let Some(orders) = leadership.open_order_queues(&listed.name) else {
        return;
    };
    let clock = Arc::new(SharedClock::new(listed.name.clone()));
    let client = ListedClient::new(listed);
    let clone_handles = || (Arc::clone(node), Arc::clone(leadership));
    let (n, l) = clone_handles();
    let orders_clock = Arc::clone(&clock);
    let delivering = deliver_orders(n, l, orders_clock, client.clone(), orders.runs);
    tokio::spawn(leadership.guard_task("worker-orders", delivering));
    let (n, l) = clone_handles();
    let delivering = deliver_stops(n, l, client.clone(), orders.stops);
    tokio::spawn(leadership.guard_task("worker-stops", delivering));
    let (n, l) = clone_handles();
    let polling = poll_worker(n, l, clock, client);
    tokio::spawn(leadership.guard_task("worker-polls", polling));
}

/// A client of a worker that follows its incarnations and the address under which it is listed.
#[derive(Debug, Clone)]
pub(super) struct ListedClient {
    /// The worker as it was listed when the client was made.
    listed: ListedWorker,
    /// Made by the first direct call; shared by the worker's tasks.
    client: Arc<OnceLock<WorkerClient>>,
}

impl ListedClient {
    fn new(listed: ListedWorker) -> Self {
        let client = Arc::default();
        Self { listed, client }
    }

    /// Returns the route to the worker as it is listed now; `None` if it left the schedule.
    pub(super) fn current(&mut self, leadership: &Leadership) -> Option<WorkerRoute> {
        {
            let schedule = lock(&leadership.schedule);
            let listed = &schedule.worker(&self.listed.name)?.listed;
            let same_incarnation = listed.started_ms == self.listed.started_ms;
            if !same_incarnation || listed.address != self.listed.address {
                *self = Self::new(listed.clone());
            }
        }
        if let Some(link) = leadership.delegates.link_of(&self.listed.name) {
            self.client = Arc::default();
            return Some(WorkerRoute::Delegated(
                link,
                WorkerTarget::of_listed(&self.listed),
            ));
        }
        let client = self.client.get_or_init(|| WorkerClient::new(&self.listed));
        Some(WorkerRoute::Direct(client.clone(), self.listed.started_ms))
    }
}

/// Polls a worker's lists, which also extends its lease, until the worker is removed from the
/// schedule or this process no longer owns it.
async fn poll_worker(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    clock: Arc<SharedClock>,
    mut client: ListedClient,
) {
    let mut is_unreachable = false;
    let mut is_rerouted = false;
    let mut row_read: Option<JoinHandle<()>> = None;
    loop {
        let started_ms = client.listed.started_ms;
        let Some(current) = client.current(&leadership) else {
            log_event!(Info, "worker-gone", worker = clock.name);
            leadership.close_order_queues(&clock.name);
            return;
        };
        if client.listed.started_ms != started_ms {
            clock.forget();
        }
        let token = leadership.token();
        let has_clock = clock.is_fresh();
        let (request, scope) = next_poll_request(&node, &leadership, &clock, token, is_unreachable);
        // Checked last: the process may have been paused before the lease was timed.
        if !leadership.has_authority() {
            if leadership.is_ended() {
                return;
            }
            tokio::time::sleep(POLL_RETRY_PAUSE).await;
            continue;
        }
        let number = clock.begin_poll();
        match current.poll(&request, scope).await {
            Ok(report) => {
                is_unreachable = false;
                is_rerouted = false;
                if apply_poll_report(&leadership, &clock, number, &report)
                    && row_read.as_ref().is_none_or(JoinHandle::is_finished)
                {
                    row_read = Some(read_row(&node, &leadership, &clock));
                }
                if request.wait_ms.is_none() {
                    leadership.plan_notify.notify_one();
                }
                // The next poll is timed by this reading.
                if has_clock {
                    tokio::time::sleep(leadership.poll_pause()).await;
                }
            }
            Err(RouteFault::Delegate { source }) if !is_rerouted => {
                is_rerouted = true;
                node.metrics.count_retry("worker-route");
                log_event!(Debug, "poll-rerouted", worker = clock.name, error = source);
                tokio::time::sleep(REROUTE_PAUSE).await;
            }
            Err(RouteFault::Worker {
                source: WorkerFault::Fenced,
            }) => {
                log_event!(Warn, "worker-fenced", worker = clock.name, token = token);
                leadership.mark_fenced(token);
                tokio::time::sleep(POLL_RETRY_PAUSE).await;
            }
            // The worker has answered since.
            Err(_) if clock.is_overtaken(number) => {}
            Err(fault) => {
                if !std::mem::replace(&mut is_unreachable, true) {
                    log_event!(Warn, "worker-silent", worker = clock.name, error = fault);
                }
                node.metrics.count_retry("worker-lists");
                lock(&leadership.schedule).mark_unreachable(&clock.name);
                tokio::time::sleep(POLL_RETRY_PAUSE).await;
            }
        }
    }
}

/// Starts to read the row of a worker that reports as another incarnation.
fn read_row(
    node: &Arc<SchedulerNode>,
    leadership: &Arc<Leadership>,
    clock: &Arc<SharedClock>,
) -> JoinHandle<()> {
    let (node, clock) = (Arc::clone(node), Arc::clone(clock));
    let owner = Arc::clone(leadership);
    tokio::spawn(leadership.guard_task("worker-row", async move {
        refresh_row(&node, &owner, &clock.name).await;
    }))
}

/// Builds the next poll, and what it asks for. It extends the lease, and waits, only if the worker answered
/// the last one just before.
fn next_poll_request(
    node: &SchedulerNode,
    leadership: &Leadership,
    clock: &SharedClock,
    token: u64,
    is_unreachable: bool,
) -> (PollRequest, PollScope) {
    let mut schedule = lock(&leadership.schedule);
    let lease_until_ms = clock
        .lease_until(node)
        .filter(|_| !is_unreachable && schedule.renew_lease(&clock.name, uptime_ms()));
    // Another incarnation, whose ends have the same numbers, may answer a worker's poll long after its last.
    let acknowledged_end = if clock.is_fresh() {
        schedule.acknowledged_end(&clock.name)
    } else {
        0
    };
    let watch = schedule.run_watch(&clock.name);
    let wait_ms = match watch {
        RunWatch::Starting => STARTING_POLL_WAIT_MS,
        RunWatch::Paced => PACED_POLL_WAIT_MS,
        RunWatch::None => POLL_WAIT_MS,
    };
    let request = PollRequest {
        lease_until_ms,
        fencing_token: token,
        acknowledged_end,
        wait_ms: lease_until_ms.map(|_| wait_ms),
    };
    (
        request,
        schedule.poll_scope(&clock.name, watch, uptime_ms()),
    )
}
