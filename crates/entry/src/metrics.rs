//! Counters and gauges in the Prometheus text format.

use {
    crate::node::EntryNode,
    dotterelshore_domain::codes::Refusal,
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::{sync::Arc, time::Duration},
};

/// Interval between updates of the gauges.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabel {
    code: u32,
    reason: String,
    outcome: String,
}

/// Counters and gauges of an entry.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    registry: Registry,
    refusals: Family<RefusalLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    forwards: Family<ReasonLabel, Counter>,
    answers: Counter,
    peer_faults: Family<ReasonLabel, Counter>,
    peer_bytes: Counter,
    permits_moved: Counter,
    store_calls: Gauge,
    store_bytes: Gauge,
    running: Gauge,
    waiting: Gauge,
    table_revision: Gauge,
}

impl EntryMetrics {
    /// Creates the metrics with all values at zero.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("dotterelshore");
        let refusals = Family::default();
        registry.register("refusals", "Refusals by reason", refusals.clone());
        let retries = Family::default();
        registry.register("retries", "Retries by reason", retries.clone());
        let forwards = Family::default();
        registry.register(
            "forwards",
            "Requests sent on to another entry, by what came of it",
            forwards.clone(),
        );
        let answers = Counter::default();
        registry.register("answers", "Whole answers passed on", answers.clone());
        let peer_faults = Family::default();
        registry.register(
            "peer_faults",
            "Messages between entries that failed",
            peer_faults.clone(),
        );
        let peer_bytes = Counter::default();
        registry.register(
            "peer_bytes",
            "Bytes sent to other entries",
            peer_bytes.clone(),
        );
        let permits_moved = Counter::default();
        registry.register(
            "permits_moved",
            "Permits raised, lowered or handed over",
            permits_moved.clone(),
        );
        let store_calls = Gauge::default();
        registry.register(
            "store_calls",
            "Calls to the platform's store",
            store_calls.clone(),
        );
        let store_bytes = Gauge::default();
        registry.register(
            "store_bytes",
            "Bytes of bodies sent to and read from the platform's store",
            store_bytes.clone(),
        );
        let running = Gauge::default();
        registry.register("running", "Runs that have not ended", running.clone());
        let waiting = Gauge::default();
        registry.register(
            "waiting",
            "Requests and jobs waiting for a turn",
            waiting.clone(),
        );
        let table_revision = Gauge::default();
        registry.register(
            "table_revision",
            "Revision of the table in force here",
            table_revision.clone(),
        );
        Self {
            registry,
            refusals,
            retries,
            forwards,
            answers,
            peer_faults,
            peer_bytes,
            permits_moved,
            store_calls,
            store_bytes,
            running,
            waiting,
            table_revision,
        }
    }

    /// Counts a refusal by its code and outcome.
    pub(crate) fn count_refusal(&self, refusal: &Refusal) {
        let label = RefusalLabel {
            code: u32::from(refusal.code.number()),
            reason: refusal.code.slug().to_owned(),
            outcome: refusal.outcome.as_str().to_owned(),
        };
        self.refusals.get_or_create(&label).inc();
    }

    /// Counts a retry by its reason.
    pub(crate) fn count_retry(&self, reason: &str) {
        self.retries
            .get_or_create(&ReasonLabel {
                reason: reason.to_owned(),
            })
            .inc();
    }

    /// Counts a request forwarded to another entry, by its outcome.
    pub(crate) fn count_forward(&self, outcome: &str) {
        let label = ReasonLabel {
            reason: outcome.to_owned(),
        };
        self.forwards.get_or_create(&label).inc();
    }

    /// Counts a complete answer returned to a caller.
    pub(crate) fn count_answer(&self) {
        self.answers.inc();
    }

    /// Counts a failed message between entries, by its reason.
    pub(crate) fn count_peer_fault(&self, reason: &str) {
        self.peer_faults
            .get_or_create(&ReasonLabel {
                reason: reason.to_owned(),
            })
            .inc();
    }

    /// Counts bytes sent to another entry.
    pub(crate) fn count_peer_bytes(&self, bytes: usize) {
        self.peer_bytes.inc_by(bytes as u64);
    }

    /// Counts permits gained from the ledger or transferred to a peer.
    pub(crate) fn count_permits(&self, permits: u32) {
        self.permits_moved.inc_by(u64::from(permits));
    }

    /// Encodes all metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!("event=metrics-failed error={error:?}");
        }
        text
    }
}

/// Starts the task that updates the gauges.
pub(crate) fn start_gauges(node: &Arc<EntryNode>) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let mut interval = node.timer.interval(GAUGE_PERIOD);
        loop {
            interval.tick().await;
            let metrics = &node.metrics;
            metrics
                .store_calls
                .set(i64::try_from(node.store.calls()).unwrap_or(i64::MAX));
            metrics
                .store_bytes
                .set(i64::try_from(node.store.bytes()).unwrap_or(i64::MAX));
            metrics.running.set(i64::from(node.schedulers.running()));
            metrics.waiting.set(i64::from(node.schedulers.waiting()));
            metrics
                .table_revision
                .set(i64::try_from(node.table().revision).unwrap_or(i64::MAX));
        }
    });
}
