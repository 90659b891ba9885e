//! The tasks of each worker: one reads its lists, one carries orders to it.

use {
    super::{leadership::Leadership, takeover::WORKER_LEASE, worker_orders::carry_orders},
    crate::node::{SchedulerNode, lock, millis, uptime_ms},
    dotterelshore_domain::{names::WorkerName, schedule::ListedWorker},
    dotterelshore_platform::{HoldRequest, WorkerClient, WorkerFault},
    dotterelshore_wire::{event_log::unix_millis, log_event},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// How long a look at a worker's lists waits for an end. A worker that falls silent is
/// noticed after about this time and some more.
const LOOK_WAIT_MS: u64 = 1_500;
/// How long a look waits where tasks fill beside others, whose tails are told for the last
/// half second.
const PACING_WAIT_MS: u64 = 500;
/// How long a look waits where a task that lasts starts, whose being at work is no end and so
/// ends no wait. A small part of what such a start takes.
const STARTING_WAIT_MS: u64 = 250;
/// Pause after each look, so that ends that come together are read together.
const LOOK_PAUSE: Duration = Duration::from_millis(35);
/// Pause after a look that was not answered.
const SILENT_PAUSE: Duration = Duration::from_millis(200);

/// A worker's clock as last read.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    at_ms: u64,
}

/// What the two tasks of a worker share.
#[derive(Debug)]
pub(super) struct WorkerSide {
    pub(super) name: WorkerName,
    clock: Mutex<Option<ClockReading>>,
}

impl WorkerSide {
    /// The end of a lease that begins now, on the worker's clock.
    pub(super) fn lease_until(&self, node: &SchedulerNode) -> Option<u64> {
        let reading = (*lock(&self.clock))?;
        let lease = WORKER_LEASE.min(node.settings.worker_lease_max);
        let passed = uptime_ms().saturating_sub(reading.at_ms);
        Some(reading.clock_ms + passed + millis(lease))
    }
}

/// Starts the tasks of a worker, unless they run.
pub(super) fn start_worker(
    node: &Arc<SchedulerNode>,
    leadership: &Arc<Leadership>,
    listed: ListedWorker,
) {
    let Some(orders) = leadership.open_worker(&listed.name) else {
        return;
    };
    let side = Arc::new(WorkerSide {
        name: listed.name.clone(),
        clock: Mutex::new(None),
    });
    let link = WorkerClient::new(&listed);
    tokio::spawn(carry_orders(
        Arc::clone(node),
        Arc::clone(leadership),
        Arc::clone(&side),
        link.clone(),
        orders,
    ));
    tokio::spawn(read_lists(
        Arc::clone(node),
        Arc::clone(leadership),
        side,
        link,
        listed,
    ));
}

/// Reads a worker's lists, and so extends its lease, until it is gone or this process no
/// longer owns the schedule.
async fn read_lists(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    side: Arc<WorkerSide>,
    link: WorkerClient,
    mut listed: ListedWorker,
) {
    let mut link = link;
    let mut silent = false;
    loop {
        if !leadership.may_order() {
            if leadership.is_ended() {
                return;
            }
            tokio::time::sleep(SILENT_PAUSE).await;
            continue;
        }
        let Some(now_listed) = lock(&leadership.schedule)
            .worker(&side.name)
            .map(|status| status.listed.clone())
        else {
            log_event!(Info, "worker-gone", worker = side.name);
            leadership.close_worker(&side.name);
            return;
        };
        if now_listed.address != listed.address || now_listed.started_ms != listed.started_ms {
            *lock(&side.clock) = None;
            link = WorkerClient::new(&now_listed);
            listed = now_listed;
        }
        let token = leadership.token();
        let terms = next_terms(&node, &leadership, &side, token, silent);
        match link.hold(&terms).await {
            Ok(report) => {
                silent = false;
                let now_ms = uptime_ms();
                *lock(&side.clock) = Some(ClockReading {
                    clock_ms: report.clock_ms,
                    at_ms: now_ms,
                });
                let orders = lock(&leadership.schedule).apply_report(
                    &side.name,
                    &report,
                    now_ms,
                    unix_millis(),
                );
                leadership.dispatch(orders);
                if !report.finished.is_empty() {
                    leadership.record.notify_one();
                    leadership.plan.notify_one();
                } else if terms.wait_ms.is_none() {
                    leadership.plan.notify_one();
                }
                tokio::time::sleep(LOOK_PAUSE).await;
            }
            Err(WorkerFault::Fenced) => {
                log_event!(Warn, "worker-fenced", worker = side.name, token = token);
                leadership.note_fence(token);
                tokio::time::sleep(SILENT_PAUSE).await;
            }
            Err(fault) => {
                if !std::mem::replace(&mut silent, true) {
                    log_event!(Warn, "worker-silent", worker = side.name, error = fault);
                }
                node.metrics.count_retry("worker-lists");
                lock(&leadership.schedule).mark_unreachable(&side.name);
                tokio::time::sleep(SILENT_PAUSE).await;
            }
        }
    }
}

fn next_terms(
    node: &SchedulerNode,
    leadership: &Leadership,
    side: &WorkerSide,
    token: u64,
    silent: bool,
) -> HoldRequest {
    let mut schedule = lock(&leadership.schedule);
    let lease_until_ms = side
        .lease_until(node)
        .filter(|_| !silent && schedule.renew_lease(&side.name, uptime_ms()));
    let wait_ms = if schedule.has_unready_task(&side.name) {
        STARTING_WAIT_MS
    } else if schedule.runs_best_effort(&side.name) {
        PACING_WAIT_MS
    } else {
        LOOK_WAIT_MS
    };
    HoldRequest {
        lease_until_ms,
        fencing_token: token,
        acknowledged_end: schedule.acknowledged_end(&side.name),
        wait_ms: lease_until_ms.map(|_| wait_ms),
    }
}
