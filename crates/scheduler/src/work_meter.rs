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

/// One step of a part in this many is timed and stands for all of them.
const STEPS_PER_SAMPLE: u64 = 16;
/// Time between checks of the timers' delay.
const PROBE_PERIOD: Duration = Duration::from_millis(50);
/// The part by which the pace of an owner is measured: its steps take about as long under any load.
const PACE_PART: &str = "worker-polls";
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

/// Counts the steps of each part of the process's work and estimates the time that they take.
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
            "Time of the steps of the process's work by part, from samples",
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
            let began = Instant::now();
            let polled = task.as_mut().poll(context);
            let took = began.elapsed();
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

    /// Returns what a part did so far.
    fn total(&self, part: &'static str) -> PartTotal {
        PartTotal::of(&self.counters(part))
    }

    /// Returns what each part did so far.
    fn totals(&self) -> FastMap<&'static str, PartTotal> {
        let parts = lock(&self.parts);
        let totals = parts
            .iter()
            .map(|(part, counters)| (*part, PartTotal::of(counters)));
        totals.collect()
    }
}

/// The steps of a part and the time that they took.
#[derive(Debug, Clone, Copy, Default)]
struct PartTotal {
    time: Duration,
    steps: u64,
}

impl PartTotal {
    fn of(counters: &PartCounters) -> Self {
        Self {
            time: Duration::from_secs_f64(counters.seconds.get()),
            steps: counters.steps.get(),
        }
    }
}

/// Processor time of the current thread.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from);
    time.unwrap_or_default()
}

/// Measures the pace of the process, until it ends. While it owns the schedule, a log line says what
/// its processor time went into, and ownership ends if its processor is slowed.
pub(crate) async fn probe_timers(node: Arc<SchedulerNode>) {
    let meter = &node.metrics.work;
    let mut reported = Instant::now();
    let mut paced = PartTotal::default();
    let mut earlier = FastMap::default();
    let mut cpu = thread_time();
    let mut delay_max = Duration::ZERO;
    loop {
        let due = Instant::now() + PROBE_PERIOD;
        tokio::time::sleep_until(due).await;
        let delay = due.elapsed();
        meter.timer_delays.observe(delay.as_secs_f64());
        delay_max = delay_max.max(delay);
        let polls = meter.total(PACE_PART);
        if let Some(leadership) = node.leadership() {
            leadership.record_pace(
                delay,
                polls.steps - paced.steps,
                polls.time.saturating_sub(paced.time),
            );
        }
        paced = polls;
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
            let spent_ms = total.time.saturating_sub(before.time).as_millis();
            (spent_ms, total.steps - before.steps, *part)
        })
        .filter(|(_, steps, _)| *steps > 0)
        .collect();
    parts.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.2.cmp(b.2)));
    let texts = parts
        .iter()
        .map(|(spent_ms, steps, part)| format!("{part}:{spent_ms}/{steps}"));
    texts.collect::<Vec<_>>().join(",")
}
