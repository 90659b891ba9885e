//! Tests of polls that list only what ended.

use {
    dotterelshore_domain::{
        names::{CentreName, JobName, PoolName, QueueName, WorkerName},
        schedule::{
            EndReason, EndedRun, FleetSchedule, JobPlan, JobRecord, JobState, ListedWorker,
            OrderRule, PollScope, ReportedRun, Resources, StartOrder, StartReply, StepPlan,
            WorkerOrder, WorkerReport,
        },
    },
    dotterelshore_testkit::named_cases,
    std::sync::Arc,
};

const NOW_MS: u64 = 1_000_000;
const STARTED_MS: u64 = 7;

fn worker() -> WorkerName {
    WorkerName::try_from("w-1").expect("a name")
}

fn resources(cpu_milli: u64) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: cpu_milli,
        gpus: 0,
    }
}

/// A worker that runs both tasks of a job and has listed them.
fn running_schedule(is_lasting: bool) -> (FleetSchedule, Vec<StartOrder>) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), 3_600, 0);
    schedule.upsert_worker(ListedWorker {
        name: worker(),
        started_ms: STARTED_MS,
        instance: None,
        address: Arc::from("127.0.0.1:1"),
        pool: PoolName::try_from("pool").expect("a name"),
        centre: CentreName::try_from("north").expect("a name"),
        labels: Vec::new(),
        capacity: resources(64_000),
        draining: false,
    });
    schedule.apply_report(&worker(), &report(&[], &[]), NOW_MS, NOW_MS);
    let record = JobRecord {
        name: JobName::try_from("a1").expect("a name"),
        queue: QueueName::try_from("quick").expect("a name"),
        pool: PoolName::try_from("pool").expect("a name"),
        team: None,
        accepted_ms: NOW_MS,
        priority: 0,
        attempts: 2,
        objective_factor: 1.6,
        target_latency_ms: 600,
        advised: false,
        plan: JobPlan {
            task_body: Arc::from("text"),
            steps: vec![StepPlan {
                count: 2,
                need: resources(1_000),
                estimate_ms: 640,
                long_running: is_lasting,
                ..StepPlan::default()
            }],
            timed_occurrences: 0,
            start_at_ms: 0,
            interval_ms: 0,
        },
    };
    schedule.add_job(record, None, 0, NOW_MS, NOW_MS);
    let orders = schedule.plan_starts(NOW_MS, NOW_MS, u64::MAX);
    let starts = orders.into_iter().filter_map(|order| match order {
        WorkerOrder::Start(order) => Some(order),
        _ => None,
    });
    let starts: Vec<_> = starts.collect();
    for order in &starts {
        let reply = StartReply::Started { clock_ms: 1 };
        schedule.apply_start_reply(&worker(), &order.task, order.run, reply, NOW_MS);
    }
    schedule.apply_report(&worker(), &report(&starts, &[]), NOW_MS, NOW_MS);
    (schedule, starts)
}

fn report(running: &[StartOrder], ended: &[StartOrder]) -> WorkerReport {
    let running = running.iter().map(|order| ReportedRun {
        task: order.task.clone(),
        run: order.run,
        checkpoint: Arc::from(""),
        progress_percent: 50.0,
        metric: 0.0,
    });
    let finished = (1..).zip(ended).map(|(number, order)| EndedRun {
        number,
        task: order.task.clone(),
        run: order.run,
        reason: EndReason::Done,
        checkpoint: Arc::from(""),
    });
    WorkerReport {
        started_ms: Some(STARTED_MS),
        clock_ms: 1_000,
        running: running.collect(),
        finished: finished.collect(),
        ..WorkerReport::default()
    }
}

/// A poll this long after the runs were listed asks for them again or only for ends.
fn poll_asks_for(is_lasting: bool, later_ms: u64, expected: PollScope) {
    let (schedule, _) = running_schedule(is_lasting);
    let watch = schedule.run_watch(&worker());
    let scope = schedule.poll_scope(&worker(), watch, NOW_MS + later_ms);
    assert_eq!(scope, expected);
}

named_cases! { poll_asks_for:
    poll_soon_after_runs_were_listed_asks_for_ends(false, 100, PollScope::EndsAfter(0));
    poll_asks_for_runs_twice_a_second(false, 500, PollScope::All);
    poll_asks_for_runs_while_a_lasting_task_becomes_ready(true, 100, PollScope::All);
}

#[test]
fn report_of_ends_ends_its_runs_and_keeps_the_others() {
    let (mut schedule, starts) = running_schedule(false);
    let whole = report(&starts[1..], &starts[..1]);
    let ends = PollScope::EndsAfter(0).reduce(STARTED_MS, whole);
    assert!(ends.running.is_empty());
    schedule.apply_report(&worker(), &ends, NOW_MS + 50, NOW_MS + 50);
    let status = schedule.worker(&worker()).expect("a worker");
    assert_eq!(status.tasks().collect::<Vec<_>>(), [&starts[1].task]);
    let last = PollScope::EndsAfter(1).reduce(STARTED_MS, report(&[], &starts));
    assert_eq!(
        last.finished.len(),
        1,
        "ends that were applied are left out"
    );
    schedule.apply_report(&worker(), &last, NOW_MS + 90, NOW_MS + 90);
    let batch = schedule.take_progress_batch();
    assert_eq!(batch.records[0].1.ended, Some(JobState::Completed));
}

#[test]
fn report_of_another_incarnation_stays_whole() {
    let (_, starts) = running_schedule(false);
    let whole = report(&starts, &[]);
    let reduced = PollScope::EndsAfter(5).reduce(STARTED_MS + 1, whole.clone());
    assert_eq!(reduced, whole);
}
