//! Counters, gauges and histograms, and the page that exports them.

use {
    crate::{
        log_pipe::LogCounts,
        node::{SchedulerNode, lock, uptime_ms},
        work_meter::WorkMeter,
    },
    dotterelshore_domain::schedule::MissingTask,
    dotterelshore_wire::{
        event_log::unix_millis,
        http_server::{content_response, serve},
    },
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

/// Upper bound of the first latency bucket, in seconds; eleven buckets reach four seconds.
const FIRST_BUCKET_S: f64 = 0.004;
const BUCKET_COUNT: u16 = 11;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WaitLabel {
    reason: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabel {
    call: &'static str,
    status: u16,
}

/// Registers a counter for each reason.
fn counters_by_reason(
    registry: &mut Registry,
    name: &str,
    help: &str,
) -> Family<ReasonLabel, Counter> {
    let counters = Family::default();
    registry.register(name, help, counters.clone());
    counters
}

/// The metrics of one process.
#[derive(Debug)]
pub(crate) struct NodeMetrics {
    registry: Registry,
    refusals: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    starts: Family<ReasonLabel, Counter>,
    crashes: Family<ReasonLabel, Counter>,
    run_notices: Family<ReasonLabel, Counter>,
    answers: Family<CallLabel, Histogram>,
    /// What the process's time goes into.
    pub(crate) work: Arc<WorkMeter>,
    /// Workers that get tasks again although a wave still waits for them.
    pub(crate) cordons_lifted: Counter,
    rows_ignored: Family<ReasonLabel, Counter>,
    leading: Gauge,
    open_jobs: Gauge,
    suspected_tasks: Gauge,
    tracked_tasks: Gauge,
    lingering_runs: Gauge,
    lingering_oldest_ms: Gauge,
    missing_tasks: Family<WaitLabel, Gauge>,
    missing_oldest_ms: Gauge,
    config_version: Gauge,
    store_age_ms: Gauge,
    lines_dropped: Gauge,
    log_counts: LogCounts,
}

impl NodeMetrics {
    /// Registers all metrics, at zero.
    pub(crate) fn new(log_counts: LogCounts) -> Self {
        let mut registry = Registry::with_prefix("dotterelshore");
        let refusals = counters_by_reason(&mut registry, "refusals", "Refused calls by reason");
        let retries = counters_by_reason(&mut registry, "retries", "Retries by reason");
        let starts =
            counters_by_reason(&mut registry, "starts", "Orders to start tasks, by answer");
        let crashes = counters_by_reason(
            &mut registry,
            "crash_notices",
            "What was learned about crashes of workers and their causes",
        );
        let run_notices = counters_by_reason(
            &mut registry,
            "run_notices",
            "News of runs that the owner did not expect",
        );
        let rows_ignored = counters_by_reason(
            &mut registry,
            "worker_rows_ignored",
            "Changes of workers' rows that were not applied, by reason",
        );
        let answers = answer_histograms(&mut registry);
        let missing_tasks = Family::default();
        registry.register(
            "missing_tasks",
            "Tasks that are to last and are not at work for 3 s, by what they wait for, at the owner",
            missing_tasks.clone(),
        );
        let cordons_lifted = Counter::default();
        registry.register(
            "cordons_lifted",
            "Workers that got tasks again although a wave still waited for them",
            cordons_lifted.clone(),
        );
        let gauge = |registry: &mut Registry, name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Self {
            work: Arc::new(WorkMeter::new(&mut registry)),
            cordons_lifted,
            rows_ignored,
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
            suspected_tasks: gauge(
                &mut registry,
                "suspected_tasks",
                "Tasks under which workers crashed and that are not cleared, at the owner",
            ),
            tracked_tasks: gauge(
                &mut registry,
                "tracked_tasks",
                "Tasks that have state in memory, at the owner",
            ),
            lingering_runs: gauge(
                &mut registry,
                "lingering_runs",
                "Runs of jobs that have ended, at the owner",
            ),
            lingering_oldest_ms: gauge(
                &mut registry,
                "lingering_oldest_milliseconds",
                "Time since the earliest end of a job that still has runs, at the owner",
            ),
            missing_oldest_ms: gauge(
                &mut registry,
                "missing_oldest_milliseconds",
                "Longest time that a task which is to last is not at work, at the owner",
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
            crashes,
            run_notices,
            missing_tasks,
            answers,
            log_counts,
        }
    }

    /// Counts a refused call by its reason.
    pub(crate) fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a retry by the kind of call.
    pub(crate) fn count_retry(&self, reason: &'static str) {
        self.retries.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a change of a worker's row that was not applied.
    pub(crate) fn count_ignored_row(&self, reason: &'static str) {
        self.rows_ignored
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a start order by its answer.
    pub(crate) fn count_start(&self, reason: &'static str) {
        self.starts.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a notice on the cause of a crash by its kind.
    pub(crate) fn count_crash(&self, reason: &'static str) {
        self.crashes.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts news of a run that was not expected by its kind.
    pub(crate) fn count_run_notice(&self, reason: &'static str) {
        self.run_notices
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Sets the gauges of the tasks that are missing, the longest missing first.
    pub(crate) fn set_missing(&self, missing: &[MissingTask]) {
        self.missing_tasks.clear();
        for task in missing {
            let reason = format!("{:?}", task.reason);
            self.missing_tasks
                .get_or_create(&WaitLabel { reason })
                .inc();
        }
        let oldest_ms = missing.first().map_or(0, |task| task.missing_ms);
        self.missing_oldest_ms.set(gauge_value(oldest_ms));
    }

    /// Counts an answered call and its latency.
    pub(crate) fn count_answer(&self, call: &'static str, status: u16, took: Duration) {
        self.answers
            .get_or_create(&CallLabel { call, status })
            .observe(took.as_secs_f64());
    }

    /// Updates the gauges and encodes all metrics as `OpenMetrics` text.
    fn text(&self, node: &SchedulerNode) -> String {
        let leadership = node.leadership();
        if leadership.is_none() {
            self.set_missing(&[]);
        }
        self.leading.set(i64::from(leadership.is_some()));
        let (open, suspected, tracked, lingering) =
            leadership.map_or_else(Default::default, |leadership| {
                let schedule = lock(&leadership.schedule);
                (
                    schedule.open_jobs(),
                    schedule.suspected_tasks(),
                    schedule.tracked_tasks(),
                    schedule.lingering_runs(unix_millis()),
                )
            });
        self.open_jobs.set(gauge_value(open as u64));
        self.suspected_tasks.set(gauge_value(suspected as u64));
        self.tracked_tasks.set(gauge_value(tracked as u64));
        self.lingering_runs.set(gauge_value(lingering.runs as u64));
        self.lingering_oldest_ms
            .set(gauge_value(lingering.oldest_ms));
        let version = node.current_table().map_or(0, |table| table.version);
        self.config_version.set(gauge_value(version));
        let answered_ms = node
            .store_answered_ms
            .load(std::sync::atomic::Ordering::Relaxed);
        self.store_age_ms
            .set(gauge_value(uptime_ms().saturating_sub(answered_ms)));
        self.lines_dropped
            .set(gauge_value(self.log_counts.dropped()));
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!("event=metrics-failed error={error:?}");
        }
        text
    }
}

fn answer_histograms(registry: &mut Registry) -> Family<CallLabel, Histogram> {
    let answers = Family::<CallLabel, Histogram>::new_with_constructor(|| {
        Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT))
    });
    registry.register(
        "answer_seconds",
        "Time to the answer of a caller's call",
        answers.clone(),
    );
    answers
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Serves the metrics page until the process shuts down.
pub(crate) async fn serve_metrics(node: Arc<SchedulerNode>, listener: TcpListener) {
    let shutdown = node.shutdown.subscribe();
    let respond = move |_request: Request<Incoming>| {
        let text = node.metrics.text(&node);
        async move {
            content_response(
                200,
                "application/openmetrics-text; version=1.0.0; charset=utf-8",
                text,
            )
        }
    };
    serve(listener, respond, shutdown).await;
}
