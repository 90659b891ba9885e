//! What the parts of one process share.

use {
    crate::{
        leading::Leadership, log_pipe::LogCounts, metrics::NodeMetrics, owner::OwnerNotice,
        peers::OwnerLink, store_path::StorePath,
    },
    dotterelshore_domain::schedule::{QueueTable, WaveOrder},
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

/// Longest time for a call to the store. Some three times its answer when it is slow.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// What the parts of one process share.
#[derive(Debug)]
pub(crate) struct SchedulerNode {
    /// The settings read at the start.
    pub(crate) settings: NodeSettings,
    /// A number that no other life of this entry has.
    pub(crate) incarnation: u64,
    /// The platform's store.
    pub(crate) kv: KvClient,
    /// The operators' rows in force; nothing before the first were read.
    pub(crate) table: watch::Sender<Option<Arc<QueueTable>>>,
    /// The operators' orders for maintenance.
    pub(crate) waves: watch::Sender<Vec<WaveOrder>>,
    /// Who owns the schedule, as last heard.
    pub(crate) owner: watch::Sender<Option<OwnerNotice>>,
    /// The schedule, while this process owns it.
    pub(crate) leading: watch::Sender<Option<Arc<Leadership>>>,
    /// The connection to the owner.
    pub(crate) owner_link: OwnerLink,
    /// Whether the process was told to end.
    pub(crate) leaving: watch::Sender<bool>,
    /// When the store last answered, in [`uptime_ms`].
    pub(crate) store_heard_ms: AtomicU64,
    store_away: AtomicBool,
    path: Mutex<StorePath>,
    /// Wakes the task that looks for the store's return.
    pub(crate) store_missed: Notify,
    /// The timer service.
    pub(crate) timer: TimerHub,
    /// Counters and histograms.
    pub(crate) metrics: NodeMetrics,
}

impl SchedulerNode {
    /// A process with nothing known yet.
    pub(crate) fn new(settings: NodeSettings, logged: LogCounts) -> Arc<Self> {
        let kv = KvClient::new(settings.store.clone(), STORE_TIMEOUT);
        Arc::new(Self {
            kv,
            incarnation: rand::random(),
            table: watch::Sender::new(None),
            waves: watch::Sender::new(Vec::new()),
            owner: watch::Sender::new(None),
            leading: watch::Sender::new(None),
            owner_link: OwnerLink::default(),
            leaving: watch::Sender::new(false),
            store_heard_ms: AtomicU64::new(0),
            store_away: AtomicBool::new(false),
            path: Mutex::new(StorePath::Direct),
            store_missed: Notify::new(),
            timer: TimerHub::start(),
            metrics: NodeMetrics::new(logged),
            settings,
        })
    }

    /// The rows in force.
    pub(crate) fn table_now(&self) -> Option<Arc<QueueTable>> {
        self.table.borrow().clone()
    }

    /// The schedule, if this process owns it.
    pub(crate) fn leadership(&self) -> Option<Arc<Leadership>> {
        self.leading.borrow().clone()
    }

    /// Takes note that the store answered.
    pub(crate) fn heard_store(&self) {
        self.store_heard_ms.store(uptime_ms(), Ordering::Relaxed);
        self.store_away.store(false, Ordering::Relaxed);
        self.take_path(StorePath::Direct);
    }

    /// Takes note that the store did not answer.
    pub(crate) fn missed_store(&self) {
        self.store_away.store(true, Ordering::Relaxed);
        self.store_missed.notify_one();
    }

    /// By which way the store is reached.
    pub(crate) fn store_path(&self) -> StorePath {
        *lock(&self.path)
    }

    /// Takes note of the way by which the store is reached.
    pub(crate) fn take_path(&self, path: StorePath) {
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

    /// Whether the store failed to answer last.
    pub(crate) fn store_is_away(&self) -> bool {
        self.store_away.load(Ordering::Relaxed)
    }
}

/// Milliseconds since the machine started, times of suspension included: authority must
/// not outlast a suspension.
pub(crate) fn uptime_ms() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    millis(time.unwrap_or_default())
}

/// A span in whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
