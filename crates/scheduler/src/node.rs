//! State shared by all tasks of one process.

use {
    crate::{
        leading::Leadership, log_pipe::LogCounts, metrics::NodeMetrics, owner::OwnerRecord,
        peers::OwnerConnection, store_path::StorePath,
    },
    dotterelshore_domain::{
        retry::AnswerDelay,
        schedule::{QueueTable, WaveSpec},
    },
    dotterelshore_platform::{KvClient, NodeSettings},
    dotterelshore_wire::{log_event, timer_hub::TimerHub},
    nix::time::{ClockId, clock_gettime},
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, watch},
};

pub(crate) use dotterelshore_wire::mutex_lock::lock;

/// Longest time for a call to the store. About three times its latency when it is slow.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// State shared by all tasks of one process.
#[derive(Debug)]
pub(crate) struct SchedulerNode {
    /// The settings read at process start.
    pub(crate) settings: NodeSettings,
    /// A random number that identifies this run of the process.
    pub(crate) incarnation: u64,
    /// The client of the platform's store.
    pub(crate) kv: KvClient,
    /// How long the store's answers take.
    pub(crate) answer_delay: Mutex<AnswerDelay>,
    /// The table in force; `None` before the first was read.
    pub(crate) table: watch::Sender<Option<Arc<QueueTable>>>,
    /// The maintenance waves that operators ordered.
    pub(crate) waves: watch::Sender<Vec<WaveSpec>>,
    /// The owner of the schedule, as last read from the store.
    pub(crate) owner: watch::Sender<Option<OwnerRecord>>,
    /// The schedule, while this process owns it.
    pub(crate) leading: watch::Sender<Option<Arc<Leadership>>>,
    /// The connection to the owner.
    pub(crate) owner_connection: OwnerConnection,
    /// Whether the process is shutting down.
    pub(crate) shutdown: watch::Sender<bool>,
    /// When the store last answered, in [`uptime_ms`].
    pub(crate) store_answered_ms: AtomicU64,
    store_unreachable: AtomicBool,
    /// When a call to the store last failed, in [`uptime_ms`].
    store_failed_ms: AtomicU64,
    path: Mutex<StorePath>,
    /// Wakes the task that probes an unreachable store.
    pub(crate) store_lost: Notify,
    /// The timer service.
    pub(crate) timer: TimerHub,
    /// Counters and histograms.
    pub(crate) metrics: NodeMetrics,
}

impl SchedulerNode {
    /// Creates the state before anything was read from the store.
    pub(crate) fn new(settings: NodeSettings, log_counts: LogCounts) -> Arc<Self> {
        let kv = KvClient::new(settings.store.clone(), STORE_TIMEOUT);
        Arc::new(Self {
            kv,
            answer_delay: Mutex::default(),
            incarnation: rand::random(),
            table: watch::Sender::new(None),
            waves: watch::Sender::new(Vec::new()),
            owner: watch::Sender::new(None),
            leading: watch::Sender::new(None),
            owner_connection: OwnerConnection::default(),
            shutdown: watch::Sender::new(false),
            store_answered_ms: AtomicU64::new(0),
            store_unreachable: AtomicBool::new(false),
            store_failed_ms: AtomicU64::new(0),
            path: Mutex::new(StorePath::Direct),
            store_lost: Notify::new(),
            timer: TimerHub::start(),
            metrics: NodeMetrics::new(log_counts),
            settings,
        })
    }

    /// The table in force.
    pub(crate) fn current_table(&self) -> Option<Arc<QueueTable>> {
        self.table.borrow().clone()
    }

    /// The schedule, if this process owns it.
    pub(crate) fn leadership(&self) -> Option<Arc<Leadership>> {
        self.leading.borrow().clone()
    }

    /// Records that the store answered a call sent at `sent_ms`. This makes the store path direct,
    /// unless a call has failed since, as while a watch was waiting.
    pub(crate) fn mark_store_reachable(&self, sent_ms: u64) {
        self.store_answered_ms.store(uptime_ms(), Ordering::Relaxed);
        if sent_ms < self.store_failed_ms.load(Ordering::Relaxed) {
            return;
        }
        self.store_unreachable.store(false, Ordering::Relaxed);
        self.set_store_path(StorePath::Direct);
    }

    /// Records that a call to the store failed, and wakes the task that probes it.
    pub(crate) fn mark_store_unreachable(&self) {
        self.store_failed_ms.store(uptime_ms(), Ordering::Relaxed);
        self.store_unreachable.store(true, Ordering::Relaxed);
        self.store_lost.notify_one();
    }

    /// The path by which the store is reached.
    pub(crate) fn store_path(&self) -> StorePath {
        *lock(&self.path)
    }

    /// Sets the path by which the store is reached, and logs a change.
    pub(crate) fn set_store_path(&self, path: StorePath) {
        let before = std::mem::replace(&mut *lock(&self.path), path);
        if before != path {
            log_event!(
                Info,
                "store-path",
                now = format!("{path:?}"),
                before = format!("{before:?}")
            );
        }
    }

    /// Whether the store is marked unreachable.
    pub(crate) fn is_store_unreachable(&self) -> bool {
        self.store_unreachable.load(Ordering::Relaxed)
    }
}

/// Milliseconds since the machine booted, including time in suspension, so that authority does
/// not outlast a suspension.
pub(crate) fn uptime_ms() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    millis(time.unwrap_or_default())
}

/// A duration in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
