//! The schedule and the owner's authority to give orders from it.

use {
    super::{
        delegates::Delegates,
        owner_writes::{OwnerWrites, WriteChain},
        progress_recorder, worker_snapshots,
    },
    crate::{
        node::{SchedulerNode, lock, millis, uptime_ms},
        owner::{AUTHORITY_DURATION, AUTHORITY_OVERLAP, OwnerClaim},
        store::HANDOVER_KEY,
        work_meter::WorkMeter,
    },
    dotterelshore_domain::{
        collections::FastMap,
        names::WorkerName,
        schedule::{
            FleetSchedule, ListedWorker, OwnerPace, QueueTable, SnapshotShard, StartOrder,
            StopOrder, StoredSnapshots, WorkerOrder,
        },
    },
    dotterelshore_platform::KvTransaction,
    dotterelshore_wire::{log_event, panic_guard::PanicGuard},
    serde::{Deserialize, Serialize},
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, mpsc},
};

/// Record by which an owner that shuts down states that it gives no more orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct HandoverRecord {
    /// The term of the owner that shut down.
    pub(crate) term: u32,
    /// Longest time, in milliseconds, that orphaned runs of earlier owners may go on at workers
    /// that this owner never reached.
    #[serde(rename = "unseen-left-ms")]
    pub(crate) orphans_left_ms: u64,
}

/// An order to start a run or to set its pace.
#[derive(Debug)]
pub(super) enum RunOrder {
    Start(StartOrder),
    /// The pace, in percent.
    Pace(StopOrder, u32),
}

/// A stop order in the queue of its worker.
#[derive(Debug)]
pub(super) struct QueuedStop {
    pub(super) order: StopOrder,
    /// When it was queued, in [`uptime_ms`].
    pub(super) queued_ms: u64,
}

/// Senders of a worker's orders. Stops have a queue of their own: they need not follow the start
/// of their run, and must not wait for replies to other orders.
#[derive(Debug)]
struct OrderQueues {
    runs: mpsc::UnboundedSender<RunOrder>,
    stops: mpsc::UnboundedSender<QueuedStop>,
}

impl OrderQueues {
    /// Queues an order and returns whether its queue is open.
    fn send(&self, order: WorkerOrder, queued_ms: u64) -> bool {
        match order {
            WorkerOrder::Start(order) => self.runs.send(RunOrder::Start(order)).is_ok(),
            WorkerOrder::Pace(order, percent) => {
                self.runs.send(RunOrder::Pace(order, percent)).is_ok()
            }
            WorkerOrder::Stop(order) => {
                let stop = QueuedStop { order, queued_ms };
                self.stops.send(stop).is_ok()
            }
        }
    }
}

/// Receivers of a worker's orders.
#[derive(Debug)]
pub(super) struct OrderReceivers {
    pub(super) runs: mpsc::UnboundedReceiver<RunOrder>,
    pub(super) stops: mpsc::UnboundedReceiver<QueuedStop>,
}

/// The schedule, and the authority over it, while this process owns it.
#[derive(Debug)]
pub(crate) struct Leadership {
    /// The aggregate that makes all scheduling decisions.
    pub(crate) schedule: Mutex<FleetSchedule>,
    /// Wakes the planner.
    pub(crate) plan_notify: Notify,
    /// Wakes the progress recorder.
    pub(crate) record_notify: Notify,
    /// The entries that carry calls to workers.
    pub(super) delegates: Delegates,
    /// The owner's writes to the store.
    pub(super) writes: OwnerWrites,
    /// Wakes the task that keeps the worker snapshots current.
    pub(crate) snapshot_notify: Notify,
    work: Arc<WorkMeter>,
    token: AtomicU64,
    authority_until_ms: AtomicU64,
    ended: AtomicBool,
    fenced: Notify,
    task_failed: Notify,
    pace: Mutex<OwnerPace>,
    slowed: Notify,
    order_queues: Mutex<FastMap<WorkerName, OrderQueues>>,
}

impl Leadership {
    /// Starts with the authority of a claim and an empty schedule.
    pub(crate) fn new(node: &SchedulerNode, claim: OwnerClaim) -> Self {
        let leadership = Self {
            delegates: Delegates::new(node.settings.cores),
            work: Arc::clone(&node.metrics.work),
            schedule: Mutex::new(FleetSchedule::default()),
            plan_notify: Notify::new(),
            record_notify: Notify::new(),
            writes: OwnerWrites::default(),
            snapshot_notify: Notify::new(),
            token: AtomicU64::new(claim.token),
            authority_until_ms: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            fenced: Notify::new(),
            task_failed: Notify::new(),
            pace: Mutex::default(),
            slowed: Notify::new(),
            order_queues: Mutex::new(FastMap::default()),
        };
        leadership.extend_authority(claim.sent_ms);
        leadership
    }

    /// The fencing token: the store revision of the owner's key.
    pub(crate) fn token(&self) -> u64 {
        self.token.load(Ordering::Relaxed)
    }

    /// Whether this process may give orders now.
    pub(crate) fn has_authority(&self) -> bool {
        !self.ended.load(Ordering::Relaxed)
            && uptime_ms() < self.authority_until_ms.load(Ordering::Relaxed)
    }

    /// Time in [`uptime_ms`] until which the owner's key is certain to exist, so that no other
    /// entry owns the schedule.
    pub(super) fn sole_owner_until_ms(&self) -> u64 {
        let until_ms = self.authority_until_ms.load(Ordering::Relaxed);
        until_ms.saturating_sub(millis(AUTHORITY_OVERLAP))
    }

    /// Whether this process has stopped owning the schedule.
    pub(super) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Extends authority after a lease renewal that was sent at `sent_ms`.
    pub(crate) fn extend_authority(&self, sent_ms: u64) {
        self.authority_until_ms
            .store(sent_ms + millis(AUTHORITY_DURATION), Ordering::Relaxed);
    }

    /// Continues under a new claim. No other entry may have owned the schedule in between.
    pub(crate) fn resume_under_claim(&self, claim: OwnerClaim) {
        self.token.store(claim.token, Ordering::Relaxed);
        self.extend_authority(claim.sent_ms);
    }

    /// Ends authority and closes the order queues.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        lock(&self.order_queues).clear();
    }

    /// Records that a worker, the store or the interface to instances rejected `token` for a
    /// newer one. Ignores a `token` that is no longer the current one.
    pub(crate) fn mark_fenced(&self, token: u64) {
        if token == self.token() {
            self.fenced.notify_one();
        }
    }

    /// Waits until the current fencing token is rejected.
    pub(crate) async fn fenced(&self) {
        self.fenced.notified().await;
    }

    /// Runs a task of the owner as a part of the process's work. If it panics, ownership ends, since
    /// without the task the owner would be half alive.
    pub(super) fn guard_task<T, F: Future<Output = T>>(
        self: &Arc<Self>,
        task: &'static str,
        running: F,
    ) -> impl Future<Output = T> + use<T, F> {
        let leadership = Arc::clone(self);
        let work = Arc::clone(&self.work);
        let guard = PanicGuard::new(move || {
            log_event!(Error, "owner-task-failed", task = task);
            leadership.task_failed.notify_one();
        });
        guard.watch(async move { work.watch(task, running).await })
    }

    /// Waits until a guarded task panics.
    pub(crate) async fn task_failed(&self) {
        self.task_failed.notified().await;
    }

    /// Records how late a timer fired, and steps of the owner's work with the time that they took.
    pub(crate) fn record_pace(&self, timer_delay: Duration, steps: u64, took: Duration) {
        let mut pace = lock(&self.pace);
        pace.record_timer_delay(timer_delay);
        pace.record_steps(steps, took, uptime_ms());
        if pace.is_slowed() {
            self.slowed.notify_one();
        }
    }

    /// Returns the pause after each poll of a worker.
    pub(super) fn poll_pause(&self) -> Duration {
        lock(&self.pace).poll_pause()
    }

    /// Waits until this process is so slow that another entry does better.
    pub(crate) async fn slowed(&self) {
        self.slowed.notified().await;
    }

    /// Applies a new table to the schedule.
    pub(crate) fn set_table(&self, table: &QueueTable) {
        lock(&self.schedule).set_table(table);
        self.plan_notify.notify_one();
    }

    /// Assigns the workers of the fleet to delegates.
    pub(super) fn assign_delegates(&self) {
        let fleet: Vec<_> = {
            let schedule = lock(&self.schedule);
            let listed = schedule.workers().map(|status| &status.listed);
            listed
                .map(|listed| (listed.name.clone(), listed.centre.clone()))
                .collect()
        };
        self.delegates.assign(&fleet);
    }

    /// Assigns workers that were just listed to delegates.
    pub(super) fn assign_new_to_delegates(&self, names: &[WorkerName]) {
        let (new, fleet_size) = {
            let schedule = lock(&self.schedule);
            let listed = names.iter().filter_map(|name| schedule.worker(name));
            let new: Vec<_> = listed
                .map(|status| (status.listed.name.clone(), status.listed.centre.clone()))
                .collect();
            (new, schedule.workers().count())
        };
        self.delegates.assign_new(&new, fleet_size);
    }

    /// Opens the order queues of a worker; `None` if they are already open.
    pub(super) fn open_order_queues(&self, name: &WorkerName) -> Option<OrderReceivers> {
        let mut queues = lock(&self.order_queues);
        if queues.contains_key(name) {
            return None;
        }
        let (run_sender, runs) = mpsc::unbounded_channel();
        let (stop_sender, stops) = mpsc::unbounded_channel();
        let senders = OrderQueues {
            runs: run_sender,
            stops: stop_sender,
        };
        queues.insert(name.clone(), senders);
        Some(OrderReceivers { runs, stops })
    }

    /// Returns the workers in stored snapshots whose tasks do not run yet.
    pub(super) fn workers_to_start(&self, stored: &StoredSnapshots) -> Vec<ListedWorker> {
        let schedule = lock(&self.schedule);
        let queues = lock(&self.order_queues);
        let listed = schedule.workers().map(|status| &status.listed);
        let to_start = listed
            .filter(|listed| !queues.contains_key(&listed.name) && stored.contains(&listed.name));
        to_start.cloned().collect()
    }

    /// Returns those of some workers that are in stored snapshots and whose tasks do not run yet.
    pub(super) fn workers_to_start_of(
        &self,
        names: &[WorkerName],
        stored: &StoredSnapshots,
    ) -> Vec<ListedWorker> {
        let schedule = lock(&self.schedule);
        let queues = lock(&self.order_queues);
        let to_start = names
            .iter()
            .filter(|name| !queues.contains_key(*name) && stored.contains(name))
            .filter_map(|name| schedule.worker(name));
        to_start.map(|status| status.listed.clone()).collect()
    }

    /// Closes the order queues of a worker.
    pub(super) fn close_order_queues(&self, name: &WorkerName) {
        lock(&self.order_queues).remove(name);
    }

    /// Puts orders into the queues of their workers.
    pub(super) fn dispatch(&self, orders: Vec<WorkerOrder>) {
        if orders.is_empty() {
            return;
        }
        let queued_ms = uptime_ms();
        let queues = lock(&self.order_queues);
        for order in orders {
            let worker = order.worker().clone();
            let queues = queues.get(&worker);
            if !queues.is_some_and(|queues| queues.send(order, queued_ms)) {
                log_event!(Info, "order-undeliverable", worker = worker);
            }
        }
    }

    /// Records progress, the worker snapshots and the handover, before ownership is released.
    pub(crate) async fn record_final_state(&self, node: &SchedulerNode, term: u32) {
        let now_ms = uptime_ms();
        let Some(orphans_left_ms) = lock(&self.schedule).orphans_left_ms(now_ms) else {
            log_event!(Info, "nothing-to-hand-over", term = term);
            return;
        };
        progress_recorder::record_once(node, self).await;
        let shards: Vec<_> = SnapshotShard::all().collect();
        let mut stored = StoredSnapshots::default();
        let storing = worker_snapshots::store_worker_snapshots(node, self, &mut stored, &shards);
        if let Err(fault) = storing.await {
            log_event!(Warn, "worker-snapshots-not-stored", error = fault);
        }
        let handover = HandoverRecord {
            term,
            orphans_left_ms,
        };
        let Ok(value) = serde_json::to_vec(&handover) else {
            return;
        };
        let transaction = KvTransaction::default().write(HANDOVER_KEY, &value, 0);
        if let Err(fault) = self
            .writes
            .commit(node, self, WriteChain::Roster, transaction)
            .await
        {
            log_event!(Warn, "handover-not-stored", error = fault);
        }
    }
}
