//! Tests of polls that list only what ended.

mod samples;

use {
    dotterelshore_domain::{
        names::WorkerName,
        schedule::{
            EndReason, EndedRun, FleetSchedule, JobState, OrderRule, PollScope, ReportedRun,
            Resources, StartOrder, StartReply, StepPlan, WorkerOrder, WorkerReport,
        },
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    std::sync::Arc,
};

const WORKER: &str = "w-1";
/// Start of the sample worker's incarnation.
const STARTED_MS: u64 = 1;

fn worker() -> WorkerName {
    WorkerName::try_from(WORKER).expect("a name")
}

/// A worker that runs both tasks of a job and has listed them.
fn running_schedule(is_lasting: bool) -> (FleetSchedule, Vec<StartOrder>) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), 3_600, 0);
    schedule.upsert_worker(sample_worker(WORKER, 64_000));
    schedule.apply_report(&worker(), &report(&[], &[]), NOW_MS, WALL_MS);
    let step = StepPlan {
        count: 2,
        need: Resources {
            cpu_milli: 1_000,
            memory_mb: 1_000,
            gpus: 0,
        },
        estimate_ms: 640,
        long_running: is_lasting,
        ..StepPlan::default()
    };
    schedule.add_job(sample_job("a1", step), None, 0, NOW_MS, WALL_MS);
    let orders = schedule.plan_starts(NOW_MS, WALL_MS, u64::MAX);
    let starts = orders.into_iter().filter_map(|order| match order {
        WorkerOrder::Start(order) => Some(order),
        _ => None,
    });
    let starts: Vec<_> = starts.collect();
    for order in &starts {
        let reply = StartReply::Started { clock_ms: 1 };
        schedule.apply_start_reply(&worker(), &order.task, order.run, reply, NOW_MS);
    }
    schedule.apply_report(&worker(), &report(&starts, &[]), NOW_MS, WALL_MS);
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
    schedule.apply_report(&worker(), &ends, NOW_MS + 50, WALL_MS);
    let status = schedule.worker(&worker()).expect("a worker");
    assert_eq!(status.tasks().collect::<Vec<_>>(), [&starts[1].task]);
    let last = PollScope::EndsAfter(1).reduce(STARTED_MS, report(&[], &starts));
    assert_eq!(
        last.finished.len(),
        1,
        "ends that were applied are left out"
    );
    schedule.apply_report(&worker(), &last, NOW_MS + 90, WALL_MS);
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
