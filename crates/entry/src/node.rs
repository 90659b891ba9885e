//! State shared by the tasks of one entry.

use {
    crate::{
        claims::ClaimLocks,
        cli::EntrySettings,
        dispatch::SchedulerRegistry,
        fleet::FleetView,
        jobs::JobRegistry,
        metrics::EntryMetrics,
        peers::{MemberRegistry, PeerRegistry},
        permits::PermitRegistry,
    },
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        names::EntryStamp,
        request::RetryBudget,
        table::FleetTable,
    },
    dotterelshore_wire::{
        http_client::HttpClient, platform_client::PlatformClient, store_client::StoreClient,
        timer_hub::TimerHub,
    },
    std::{
        sync::{Arc, Mutex, atomic::AtomicBool},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

pub(crate) use dotterelshore_wire::mutex_lock::lock;

/// Largest number of idle connections kept to each target.
const TARGET_IDLE_CONNECTIONS: usize = 8;

/// One incarnation of an entry: its settings, state and connections.
#[derive(Debug)]
pub(crate) struct EntryNode {
    pub(crate) settings: EntrySettings,
    pub(crate) stamp: EntryStamp,
    pub(crate) started: Instant,
    pub(crate) tables: watch::Sender<Arc<FleetTable>>,
    pub(crate) confirmed: Mutex<Option<Instant>>,
    /// Whether a request for a peer's newer table is pending.
    pub(crate) fetching_from_peer: AtomicBool,
    pub(crate) fleet: FleetView,
    pub(crate) members: MemberRegistry,
    pub(crate) peers: PeerRegistry,
    pub(crate) permits: PermitRegistry,
    pub(crate) schedulers: SchedulerRegistry,
    pub(crate) claims: ClaimLocks,
    pub(crate) jobs: JobRegistry,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) store: StoreClient,
    pub(crate) platform: PlatformClient,
    pub(crate) targets: HttpClient,
    pub(crate) metrics: EntryMetrics,
    pub(crate) timer: TimerHub,
    pub(crate) shutting_down: watch::Sender<bool>,
}

impl EntryNode {
    /// Creates an entry with a random incarnation.
    pub(crate) fn new(settings: EntrySettings) -> Arc<Self> {
        let stamp = EntryStamp {
            name: settings.name.clone(),
            incarnation: rand::random(),
        };
        Arc::new(Self {
            tables: watch::Sender::new(Arc::new(FleetTable::default())),
            started: Instant::now(),
            confirmed: Mutex::new(None),
            fetching_from_peer: AtomicBool::new(false),
            fleet: FleetView::default(),
            members: MemberRegistry::default(),
            peers: PeerRegistry::default(),
            permits: PermitRegistry::default(),
            schedulers: SchedulerRegistry::new(&settings),
            claims: ClaimLocks::default(),
            jobs: JobRegistry::default(),
            retry_budget: Mutex::new(RetryBudget::new(settings.retry_ratio)),
            store: StoreClient::new(settings.platform.clone(), settings.store_timeout),
            platform: PlatformClient::new(settings.platform.clone(), settings.store_timeout),
            targets: HttpClient::new(TARGET_IDLE_CONNECTIONS, settings.answer_bytes_max),
            metrics: EntryMetrics::new(),
            timer: TimerHub::start(),
            shutting_down: watch::Sender::new(false),
            stamp,
            settings,
        })
    }

    /// Returns the table in force in this entry.
    pub(crate) fn table(&self) -> Arc<FleetTable> {
        Arc::clone(&self.tables.borrow())
    }

    /// Puts a table in force if it is newer, and returns whether it was.
    pub(crate) fn adopt_table(&self, table: FleetTable) -> bool {
        self.tables.send_if_modified(|current| {
            let newer = table.revision > current.revision;
            if newer {
                *current = Arc::new(table);
            }
            newer
        })
    }

    /// Records that the table in force was confirmed as the newest `age` ago.
    pub(crate) fn confirm_table(&self, age: Duration) {
        let confirmed_at = Instant::now().checked_sub(age);
        let mut confirmed = lock(&self.confirmed);
        *confirmed = (*confirmed).max(confirmed_at);
    }

    /// Returns the time since the table in force was last confirmed as the newest.
    ///
    /// Before the first confirmation it is the time since the entry started.
    pub(crate) fn confirmed_age(&self) -> Duration {
        let confirmed = *lock(&self.confirmed);
        confirmed.unwrap_or(self.started).elapsed()
    }

    /// Checks that the table in force is recent enough to accept requests with a key.
    ///
    /// # Errors
    ///
    /// Refuses if the table was not confirmed within the `key_trust` setting.
    pub(crate) fn check_key_freshness(&self) -> Result<(), Refusal> {
        match self.settings.key_trust {
            Some(trust) if self.confirmed_age() > trust => {
                let detail = "this entry is cut off and can't tell whether the key still holds";
                Err(Refusal::not_run(ResultCode::TableMissing, detail)
                    .retry_after(Duration::from_secs(1)))
            }
            _ => Ok(()),
        }
    }

    /// Whether this entry is shutting down.
    pub(crate) fn is_shutting_down(&self) -> bool {
        *self.shutting_down.borrow()
    }
}
