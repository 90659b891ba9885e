//! The tasks of each worker: one reads its lists, one carries orders to it.

use {
    super::{leadership::Leadership, takeover::WORKER_LEASE},
    crate::{
        node::{SchedulerNode, lock, uptime_ms},
        store::{AfterFault, FollowStep, HELD_KEY, follow},
    },
    dotterelshore_domain::{
        collections::FastSet,
        names::WorkerName,
        schedule::{
            FleetSchedule, HeldWorker, ListedWorker, StartOrder, StartRefusal, StartReply,
            WorkerOrder,
        },
    },
    dotterelshore_platform::{
        HoldTerms, KeyRow, KvWrite, WORKER_PREFIX, WatchEvent, WorkerFault, WorkerLink,
        decode_worker, worker_of_key,
    },
    dotterelshore_wire::{event_log::unix_millis, log_event},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::mpsc,
};

/// How long a look at a worker's lists waits for an end. A worker that falls silent is
/// noticed after about this time and some more.
const LOOK_WAIT_MS: u64 = 1_500;
/// Pause after each look, so that ends that come together are read together.
const LOOK_PAUSE: Duration = Duration::from_millis(35);
/// Pause after a look that was not answered.
const SILENT_PAUSE: Duration = Duration::from_millis(200);
/// Time between looks at whether the stored list of workers is still right.
const ROSTER_PERIOD: Duration = Duration::from_millis(500);

/// A worker's clock as last read.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    at_ms: u64,
}

/// What the two tasks of a worker share.
#[derive(Debug)]
struct WorkerSide {
    name: WorkerName,
    clock: Mutex<Option<ClockReading>>,
}

impl WorkerSide {
    /// The end of a lease that begins now, on the worker's clock.
    fn lease_until(&self, node: &SchedulerNode) -> Option<u64> {
        let reading = (*lock(&self.clock))?;
        let lease = WORKER_LEASE.min(node.settings.worker_lease_max);
        let passed = uptime_ms().saturating_sub(reading.at_ms);
        Some(reading.clock_ms + passed + u64::try_from(lease.as_millis()).unwrap_or_default())
    }
}

/// Takes in the listed workers; those no longer listed are marked.
pub(super) fn take_worker_rows(schedule: &mut FleetSchedule, rows: &[KeyRow]) {
    let mut listed = FastSet::default();
    for row in rows {
        if let Some(worker) = read_worker(row) {
            listed.insert(worker.name.clone());
            schedule.upsert_worker(worker);
        }
    }
    let missing: Vec<_> = schedule
        .workers()
        .filter(|seat| seat.present && !listed.contains(&seat.listed.name))
        .map(|seat| seat.listed.name.clone())
        .collect();
    for name in missing {
        schedule.unlist_worker(&name, uptime_ms());
    }
}

fn read_worker(row: &KeyRow) -> Option<ListedWorker> {
    let name = worker_of_key(&row.key)?;
    decode_worker(name, &row.value)
        .inspect_err(|error| {
            log_event!(Warn, "worker-unreadable", key = row.key, error = error);
        })
        .ok()
}

/// Follows the workers' listings from a revision on.
pub(super) async fn follow_workers(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    revision: u64,
) {
    follow(
        &node,
        WORKER_PREFIX,
        AfterFault::CatchUp,
        Some(revision),
        |step| {
            let mut schedule = lock(&leadership.schedule);
            match step {
                FollowStep::Whole(rows) => take_worker_rows(&mut schedule, &rows),
                FollowStep::Change(WatchEvent::Written(row)) => {
                    if let Some(worker) = read_worker(&row) {
                        log_event!(
                            Info,
                            "worker-listed",
                            worker = worker.name,
                            pool = worker.pool,
                            born = worker.born_ms,
                            draining = worker.draining
                        );
                        schedule.upsert_worker(worker);
                        leadership.roster.notify_one();
                    } else if let Some(name) = worker_of_key(&row.key) {
                        schedule.unlist_worker(&name, uptime_ms());
                    }
                }
                FollowStep::Change(WatchEvent::Removed { key, .. }) => {
                    if let Some(name) = worker_of_key(&key) {
                        log_event!(Info, "worker-unlisted", worker = name);
                        schedule.unlist_worker(&name, uptime_ms());
                    }
                }
            }
            leadership.plan.notify_one();
        },
    )
    .await;
}

/// Keeps the stored list of workers right, and starts the tasks of those on it.
pub(super) async fn watch_roster(node: Arc<SchedulerNode>, leadership: Arc<Leadership>) {
    let mut stored: Option<FastSet<(WorkerName, bool)>> = None;
    let mut ticks = node.timer.every(ROSTER_PERIOD);
    loop {
        let workers = lock(&leadership.schedule).held_workers(uptime_ms());
        let names: FastSet<_> = workers
            .iter()
            .map(|held| (held.listed.name.clone(), held.lost.is_some()))
            .collect();
        if stored.as_ref() != Some(&names) && leadership.may_order() {
            match store_roster(&node, &leadership, &workers).await {
                Ok(()) => stored = Some(names),
                Err(error) => {
                    node.metrics.count_retry("roster");
                    log_event!(Warn, "roster-not-stored", error = error);
                    tokio::time::sleep(SILENT_PAUSE).await;
                }
            }
        }
        for held in workers {
            let name = &held.listed.name;
            let known = stored.as_ref().is_some_and(|stored| {
                stored.contains(&(name.clone(), true)) || stored.contains(&(name.clone(), false))
            });
            if known && leadership.may_order() {
                start_worker(&node, &leadership, held.listed);
            }
        }
        tokio::select! {
            () = ticks.next() => {}
            () = leadership.roster.notified() => {}
        }
    }
}

/// Records the workers on which something may be left running.
pub(super) async fn store_roster(
    node: &SchedulerNode,
    leadership: &Leadership,
    workers: &[HeldWorker],
) -> Result<(), dotterelshore_platform::KvFault> {
    lock(&leadership.schedule).roster_begins(workers);
    let value =
        serde_json::to_vec(workers).map_err(|error| dotterelshore_platform::KvFault::NotDone {
            detail: error.to_string(),
        })?;
    let write = KvWrite::default().write(HELD_KEY, &value, 0);
    leadership.log.commit(node, leadership, write).await?;
    lock(&leadership.schedule).roster_recorded(workers);
    Ok(())
}

fn start_worker(node: &Arc<SchedulerNode>, leadership: &Arc<Leadership>, listed: ListedWorker) {
    let Some(orders) = leadership.open_worker(&listed.name) else {
        return;
    };
    let side = Arc::new(WorkerSide {
        name: listed.name.clone(),
        clock: Mutex::new(None),
    });
    let link = WorkerLink::new(&listed);
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
    link: WorkerLink,
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
            .map(|seat| seat.listed.clone())
        else {
            log_event!(Info, "worker-gone", worker = side.name);
            leadership.close_worker(&side.name);
            return;
        };
        if now_listed.address != listed.address || now_listed.born_ms != listed.born_ms {
            *lock(&side.clock) = None;
            link = WorkerLink::new(&now_listed);
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
                let orders =
                    lock(&leadership.schedule).report(&side.name, &report, now_ms, unix_millis());
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
                lock(&leadership.schedule).worker_silent(&side.name);
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
) -> HoldTerms {
    let mut schedule = lock(&leadership.schedule);
    let lease_until_ms = side
        .lease_until(node)
        .filter(|_| !silent && schedule.grant(&side.name, uptime_ms()));
    HoldTerms {
        lease_until_ms,
        fencing_token: token,
        recorded_end: schedule.acknowledged(&side.name),
        wait_ms: lease_until_ms.map(|_| LOOK_WAIT_MS),
    }
}

/// Carries orders to a worker, one after another.
async fn carry_orders(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    side: Arc<WorkerSide>,
    link: WorkerLink,
    mut orders: mpsc::UnboundedReceiver<WorkerOrder>,
) {
    let mut link = link;
    let mut address: Option<Arc<str>> = None;
    while let Some(order) = orders.recv().await {
        let listed = lock(&leadership.schedule)
            .worker(&side.name)
            .map(|seat| (seat.listed.clone(), seat.reachable));
        let Some((listed, reachable)) = listed else {
            continue;
        };
        if address
            .as_ref()
            .is_some_and(|known| *known != listed.address)
        {
            link = WorkerLink::new(&listed);
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
                    Ok(clock_ms) => lock(&leadership.schedule).stop_answered(&order, clock_ms),
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
                if let Err(fault) = link.pace(&order, percent, leadership.token()).await {
                    node.metrics.count_retry("pace");
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
    link: &WorkerLink,
    order: &StartOrder,
    reachable: bool,
) {
    let lease_until_ms = side.lease_until(node);
    let reply = match lease_until_ms {
        Some(until)
            if reachable
                && leadership.may_order()
                && lock(&leadership.schedule).grant(&side.name, uptime_ms()) =>
        {
            link.start(order, until, leadership.token(), None).await
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
    lock(&leadership.schedule).start_answered(
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
