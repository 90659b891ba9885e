//! What the parts of one entry share.

use {
    crate::{
        claims::ClaimDesk,
        cli::EntrySettings,
        dispatch::DispatchDesk,
        fleet::FleetView,
        jobs::JobDesk,
        metrics::EntryMetrics,
        peers::{MemberBook, PeerBook},
        permits::PermitDesk,
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

/// Spare connections to each target.
const TARGET_IDLE_CONNECTIONS: usize = 8;

/// One life of an entry.
#[derive(Debug)]
pub(crate) struct EntryNode {
    pub(crate) settings: EntrySettings,
    pub(crate) stamp: EntryStamp,
    pub(crate) started: Instant,
    pub(crate) tables: watch::Sender<Arc<FleetTable>>,
    pub(crate) confirmed: Mutex<Option<Instant>>,
    /// Whether a peer's newer table is being waited for.
    pub(crate) catching_up: AtomicBool,
    pub(crate) fleet: FleetView,
    pub(crate) members: MemberBook,
    pub(crate) peers: PeerBook,
    pub(crate) permits: PermitDesk,
    pub(crate) desks: DispatchDesk,
    pub(crate) claims: ClaimDesk,
    pub(crate) jobs: JobDesk,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) store: StoreClient,
    pub(crate) platform: PlatformClient,
    pub(crate) targets: HttpClient,
    pub(crate) metrics: EntryMetrics,
    pub(crate) timer: TimerHub,
    pub(crate) leaving: watch::Sender<bool>,
}

impl EntryNode {
    /// A new life under a random incarnation.
    pub(crate) fn new(settings: EntrySettings) -> Arc<Self> {
        let stamp = EntryStamp {
            name: settings.name.clone(),
            incarnation: rand::random(),
        };
        Arc::new(Self {
            tables: watch::Sender::new(Arc::new(FleetTable::default())),
            started: Instant::now(),
            confirmed: Mutex::new(None),
            catching_up: AtomicBool::new(false),
            fleet: FleetView::default(),
            members: MemberBook::default(),
            peers: PeerBook::default(),
            permits: PermitDesk::default(),
            desks: DispatchDesk::new(&settings),
            claims: ClaimDesk::default(),
            jobs: JobDesk::default(),
            retries: Mutex::new(RetryBudget::new(settings.retry_ratio)),
            store: StoreClient::new(settings.platform.clone(), settings.store_timeout),
            platform: PlatformClient::new(settings.platform.clone(), settings.store_timeout),
            targets: HttpClient::new(TARGET_IDLE_CONNECTIONS, settings.answer_bytes_max),
            metrics: EntryMetrics::new(),
            timer: TimerHub::start(),
            leaving: watch::Sender::new(false),
            stamp,
            settings,
        })
    }

    /// The table in force here.
    pub(crate) fn table(&self) -> Arc<FleetTable> {
        Arc::clone(&self.tables.borrow())
    }

    /// Takes a newer table into force; an older one changes nothing.
    pub(crate) fn adopt_table(&self, table: FleetTable) -> bool {
        self.tables.send_if_modified(|present| {
            let newer = table.revision > present.revision;
            if newer {
                *present = Arc::new(table);
            }
            newer
        })
    }

    /// Notes that the table was the newest not longer than `age` ago.
    pub(crate) fn confirm_table(&self, age: Duration) {
        let at = Instant::now().checked_sub(age);
        let mut confirmed = lock(&self.confirmed);
        *confirmed = (*confirmed).max(at);
    }

    /// How long ago the table was known to be the newest.
    pub(crate) fn confirmed_age(&self) -> Duration {
        let confirmed = *lock(&self.confirmed);
        confirmed.unwrap_or(self.started).elapsed()
    }

    /// Whether keyed work may be taken on the table known here.
    pub(crate) fn check_key_trust(&self) -> Result<(), Refusal> {
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
    pub(crate) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }
}
