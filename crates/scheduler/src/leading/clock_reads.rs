//! Reads a worker's clock, and applies the reports that show it.

use {
    super::{
        leadership::Leadership,
        takeover::WORKER_LEASE,
        worker_route::{RouteFault, WorkerRoute},
    },
    crate::node::{SchedulerNode, lock, millis, uptime_ms},
    dotterelshore_domain::{
        names::WorkerName,
        schedule::{PollRequest, WorkerClock, WorkerReport},
    },
    dotterelshore_platform::WorkerFault,
    dotterelshore_wire::{event_log::unix_millis, log_event},
    std::sync::Mutex,
};

/// The clock of one worker, shared by the worker's tasks.
#[derive(Debug)]
pub(super) struct SharedClock {
    pub(super) name: WorkerName,
    clock: Mutex<WorkerClock>,
}

impl SharedClock {
    pub(super) fn new(name: WorkerName) -> Self {
        let clock = Mutex::default();
        Self { name, clock }
    }

    /// Whether the clock was read so shortly before that leases may be timed by it.
    pub(super) fn is_fresh(&self) -> bool {
        lock(&self.clock).is_fresh(uptime_ms())
    }

    /// Returns the end of a lease that begins now, on the worker's clock; `None` if its clock was not
    /// read shortly before.
    pub(super) fn lease_until(&self, node: &SchedulerNode) -> Option<u64> {
        let clock_ms = lock(&self.clock).now_ms(uptime_ms())?;
        let lease = WORKER_LEASE.min(node.settings.worker_lease_max);
        Some(clock_ms + millis(lease))
    }

    /// Returns the number of a poll that is sent now.
    pub(super) fn begin_poll(&self) -> u64 {
        lock(&self.clock).begin_poll()
    }

    /// Whether the report of a poll that was sent later has counted.
    pub(super) fn is_overtaken(&self, poll: u64) -> bool {
        lock(&self.clock).is_overtaken(poll)
    }

    /// Whether no other incarnation gave a response with this clock.
    pub(super) fn agrees(&self, clock_ms: u64) -> bool {
        lock(&self.clock).agrees(clock_ms, uptime_ms())
    }

    /// Forgets the reading, which is of another incarnation.
    pub(super) fn forget(&self) {
        lock(&self.clock).forget();
    }
}

/// Applies the report of a poll, if it counts. Returns whether the worker's row has to be read.
pub(super) fn apply_poll_report(
    leadership: &Leadership,
    clock: &SharedClock,
    poll: u64,
    report: &WorkerReport,
) -> bool {
    let now_ms = uptime_ms();
    let counts = lock(&clock.clock).record_report(poll, report.started_ms, report.clock_ms, now_ms);
    if !counts {
        return false;
    }
    let (orders, lacks_row) = {
        let mut schedule = lock(&leadership.schedule);
        let orders = schedule.apply_report(&clock.name, report, now_ms, unix_millis());
        (orders, schedule.lacks_current_row(&clock.name))
    };
    leadership.dispatch(orders);
    if !report.finished.is_empty() {
        leadership.record_notify.notify_one();
        leadership.plan_notify.notify_one();
    }
    if lacks_row {
        leadership.snapshot_notify.notify_one();
    }
    lacks_row
}

/// Reads a worker's clock by a poll beside the one that waits there. Returns whether it answered.
pub(super) async fn read_clock(
    node: &SchedulerNode,
    leadership: &Leadership,
    clock: &SharedClock,
    route: &WorkerRoute,
) -> bool {
    let token = leadership.token();
    let request = PollRequest {
        lease_until_ms: None,
        fencing_token: token,
        acknowledged_end: 0,
        wait_ms: None,
    };
    let scope = lock(&leadership.schedule).ends_scope(&clock.name);
    let poll = clock.begin_poll();
    let fault = match route.poll(&request, scope).await {
        Ok(report) => {
            apply_poll_report(leadership, clock, poll, &report);
            return true;
        }
        Err(fault) => fault,
    };
    node.metrics.count_retry("worker-clock");
    log_event!(Info, "clock-not-read", worker = clock.name, error = fault);
    match fault {
        RouteFault::Worker {
            source: WorkerFault::Fenced,
        } => leadership.mark_fenced(token),
        RouteFault::Worker { .. } => lock(&leadership.schedule).mark_unreachable(&clock.name),
        RouteFault::Delegate { .. } => {}
    }
    false
}
