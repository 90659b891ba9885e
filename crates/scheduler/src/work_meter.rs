//! Processor time of the process by part of its work, and the delay of its timers.

use {
    crate::node::{SchedulerNode, lock},
    dotterelshore_domain::collections::FastMap,
    dotterelshore_wire::log_event,
    nix::time::{ClockId, clock_gettime},
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{
            counter::Counter,
            family::Family,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::{
        future::poll_fn,
        pin::pin,
        sync::{Arc, Mutex, atomic::AtomicU64},
        time::Duration,
    },
    tokio::time::Instant,
};

/// One step of a part in this many is timed and stands for all of them, since reading the
/// thread's clock costs as much as a short step.
const STEPS_PER_SAMPLE: u64 = 16;
/// Time between checks of the timers' delay.
const PROBE_PERIOD: Duration = Duration::from_millis(50);
/// Time between log lines on an owner's work.
const REPORT_PERIOD: Duration = Duration::from_secs(2);
/// Upper bound of the first bucket of timer delays, in seconds; ten buckets reach a second.
const FIRST_BUCKET_S: f64 = 0.002;
const BUCKET_COUNT: u16 = 10;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PartLabel {
    part: &'static str,
}

/// Counters of one part.
#[derive(Debug, Clone)]
struct PartCounters {
    steps: Counter,
    seconds: Counter<f64, AtomicU64>,
}

/// Counts the steps of each part of the process's work and estimates their processor time.
#[derive(Debug)]
pub(crate) struct WorkMeter {
    steps: Family<PartLabel, Counter>,
    seconds: Family<PartLabel, Counter<f64, AtomicU64>>,
    parts: Mutex<FastMap<&'static str, PartCounters>>,
    timer_delays: Histogram,
}

impl WorkMeter {
    /// Registers the metrics, at zero.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let steps = Family::default();
        registry.register(
            "work_steps",
            "Steps of the process's work, by part",
            steps.clone(),
        );
        let seconds = Family::default();
        registry.register(
            "work_seconds",
            "Processor time of the process's work by part, from samples",
            seconds.clone(),
        );
        let timer_delays = Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT));
        registry.register(
            "timer_delay_seconds",
            "Time by which a timer fires late, since other work comes first",
            timer_delays.clone(),
        );
        Self {
            steps,
            seconds,
            parts: Mutex::default(),
            timer_delays,
        }
    }

    /// Runs a task as a part of the process's work. A step goes from one wait to the next.
    pub(crate) async fn watch<T>(&self, part: &'static str, task: impl Future<Output = T>) -> T {
        let PartCounters { steps, seconds } = self.counters(part);
        let mut task = pin!(task);
        poll_fn(move |context| {
            if !steps.inc().is_multiple_of(STEPS_PER_SAMPLE) {
                return task.as_mut().poll(context);
            }
            let began = thread_time();
            let polled = task.as_mut().poll(context);
            let took = thread_time().saturating_sub(began);
            let samples = u32::try_from(STEPS_PER_SAMPLE).unwrap_or(u32::MAX);
            seconds.inc_by((took * samples).as_secs_f64());
            polled
        })
        .await
    }

    fn counters(&self, part: &'static str) -> PartCounters {
        let mut parts = lock(&self.parts);
        let counters = parts.entry(part).or_insert_with(|| {
            let label = PartLabel { part };
            PartCounters {
                steps: self.steps.get_or_create_owned(&label),
                seconds: self.seconds.get_or_create_owned(&label),
            }
        });
        counters.clone()
    }

    /// Returns the processor time and the steps of each part so far.
    fn totals(&self) -> FastMap<&'static str, PartTotal> {
        let parts = lock(&self.parts);
        let totals = parts.iter().map(|(part, counters)| {
            let total = PartTotal {
                milliseconds: counters.seconds.get() * 1e3,
                steps: counters.steps.get(),
            };
            (*part, total)
        });
        totals.collect()
    }
}

/// Processor time and steps of a part.
#[derive(Debug, Clone, Copy, Default)]
struct PartTotal {
    milliseconds: f64,
    steps: u64,
}

/// Processor time of the current thread.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from);
    time.unwrap_or_default()
}

/// Measures the delay of timers, until the process ends. While it owns the schedule, a log line
/// says what its processor time went into.
pub(crate) async fn probe_timers(node: Arc<SchedulerNode>) {
    let meter = &node.metrics.work;
    let mut reported = Instant::now();
    let mut earlier = FastMap::default();
    let mut cpu = thread_time();
    let mut delay_max = Duration::ZERO;
    loop {
        let due = Instant::now() + PROBE_PERIOD;
        tokio::time::sleep_until(due).await;
        let delay = due.elapsed();
        meter.timer_delays.observe(delay.as_secs_f64());
        delay_max = delay_max.max(delay);
        if reported.elapsed() < REPORT_PERIOD {
            continue;
        }
        reported = Instant::now();
        let totals = meter.totals();
        if node.leadership().is_some() {
            log_event!(
                Info,
                "owner-work",
                cpu_ms = thread_time().saturating_sub(cpu).as_millis(),
                timer_delay_ms = delay_max.as_millis(),
                parts = part_list(&totals, &earlier)
            );
        }
        earlier = totals;
        cpu = thread_time();
        delay_max = Duration::ZERO;
    }
}

/// Lists what the parts did since the totals before, those with most processor time first: each
/// with its milliseconds and its steps.
fn part_list(
    totals: &FastMap<&'static str, PartTotal>,
    earlier: &FastMap<&'static str, PartTotal>,
) -> String {
    let mut parts: Vec<_> = totals
        .iter()
        .map(|(part, total)| {
            let before = earlier.get(part).copied().unwrap_or_default();
            let spent_ms = (total.milliseconds - before.milliseconds).round();
            (spent_ms, total.steps - before.steps, *part)
        })
        .filter(|(_, steps, _)| *steps > 0)
        .collect();
    parts.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.2.cmp(b.2)));
    let texts = parts
        .iter()
        .map(|(spent_ms, steps, part)| format!("{part}:{spent_ms}/{steps}"));
    texts.collect::<Vec<_>>().join(",")
}
