//! Counters, gauges and histograms, and their page.

use {
    crate::{
        log_pipe::LogCounts,
        node::{SchedulerNode, lock, uptime_ms},
    },
    dotterelshore_wire::http_server::{content_response, serve},
    hyper::{Request, body::Incoming},
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::{sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// Shortest bucket of latencies, in seconds; eleven buckets reach four seconds.
const BUCKET_FIRST_S: f64 = 0.004;
const BUCKETS: u16 = 11;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabel {
    call: &'static str,
    status: u16,
}

/// What a process counts.
#[derive(Debug)]
pub(crate) struct NodeMetrics {
    registry: Registry,
    refusals: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    starts: Family<ReasonLabel, Counter>,
    answers: Family<CallLabel, Histogram>,
    leading: Gauge,
    open_jobs: Gauge,
    config_version: Gauge,
    store_age_ms: Gauge,
    lines_dropped: Gauge,
    logged: LogCounts,
}

impl NodeMetrics {
    /// Everything at nought.
    pub(crate) fn new(logged: LogCounts) -> Self {
        let mut registry = Registry::with_prefix("dotterelshore");
        let refusals = Family::default();
        registry.register("refusals", "Refused calls by reason", refusals.clone());
        let retries = Family::default();
        registry.register("retries", "Retries by reason", retries.clone());
        let starts = Family::default();
        registry.register("starts", "Orders to start tasks, by answer", starts.clone());
        let answers = Family::<CallLabel, Histogram>::new_with_constructor(|| {
            Histogram::new(exponential_buckets(BUCKET_FIRST_S, 2.0, BUCKETS))
        });
        registry.register(
            "answer_seconds",
            "Time to the answer of a caller's call",
            answers.clone(),
        );
        let gauge = |registry: &mut Registry, name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Self {
            leading: gauge(
                &mut registry,
                "leading",
                "1 while this process owns the schedule",
            ),
            open_jobs: gauge(
                &mut registry,
                "open_jobs",
                "Jobs that have not ended, at the owner",
            ),
            config_version: gauge(&mut registry, "config_version", "Version in force"),
            store_age_ms: gauge(
                &mut registry,
                "store_age_milliseconds",
                "Time since the store answered last",
            ),
            lines_dropped: gauge(
                &mut registry,
                "log_lines_dropped",
                "Log lines dropped for a slow reader",
            ),
            registry,
            refusals,
            retries,
            starts,
            answers,
            logged,
        }
    }

    /// Counts a refused call.
    pub(crate) fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a retry.
    pub(crate) fn count_retry(&self, reason: &'static str) {
        self.retries.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts an order to start a task.
    pub(crate) fn count_start(&self, reason: &'static str) {
        self.starts.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts an answered call.
    pub(crate) fn count_answer(&self, call: &'static str, status: u16, took: Duration) {
        self.answers
            .get_or_create(&CallLabel { call, status })
            .observe(took.as_secs_f64());
    }

    fn text(&self, node: &SchedulerNode) -> String {
        let whole = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let leadership = node.leadership();
        self.leading.set(i64::from(leadership.is_some()));
        let open = leadership.map_or(0, |leadership| lock(&leadership.schedule).open_jobs());
        self.open_jobs.set(whole(open as u64));
        let version = node.table_now().map_or(0, |table| table.version);
        self.config_version.set(whole(version));
        let heard = node
            .store_heard_ms
            .load(std::sync::atomic::Ordering::Relaxed);
        self.store_age_ms
            .set(whole(uptime_ms().saturating_sub(heard)));
        self.lines_dropped.set(whole(self.logged.dropped()));
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!("event=metrics-failed error={error:?}");
        }
        text
    }
}

/// Serves the page until the process ends.
pub(crate) async fn serve_metrics(node: Arc<SchedulerNode>, listener: TcpListener) {
    let leaving = node.leaving.subscribe();
    let answer = move |_request: Request<Incoming>| {
        let text = node.metrics.text(&node);
        async move {
            content_response(
                200,
                "application/openmetrics-text; version=1.0.0; charset=utf-8",
                text,
            )
        }
    };
    serve(listener, answer, leaving).await;
}
