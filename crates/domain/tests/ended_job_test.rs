//! Tests of runs whose job has ended: each is stopped, however the owner learns of it.

mod lasting_run;
mod samples;

use {
    dotterelshore_domain::schedule::{
        FleetSchedule, JobState, LingeringRuns, OrderRule, ProgressRecord, StepPlan, StepProgress,
        UnreachableRuns, WorkerOrder, WorkerSnapshot,
    },
    dotterelshore_testkit::named_cases,
    lasting_run::{
        JOB, WORKER_MILLI, job_name, lasting_step, report, stop_order, task, worker_name,
    },
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
};

/// Worker lease, in milliseconds.
const LEASE_MS: u64 = 4_000;
/// Run numbers of the new owner are above this.
const RUN_BASE: u32 = 2_000;
/// The run that the earlier owner left.
const EARLIER_RUN: u32 = 1_001;

fn stop(run: u32) -> WorkerOrder {
    WorkerOrder::Stop(stop_order(run))
}

/// Returns the schedule of a new owner that read a job with one long-running task and the stored
/// snapshot of a worker that the earlier owner lost contact with, while the task ran there.
fn taken_over(progress: Option<&ProgressRecord>, is_cancelled: bool) -> FleetSchedule {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + 2 * LEASE_MS);
    let record = sample_job(JOB, lasting_step());
    schedule.add_job(record, progress, RUN_BASE, NOW_MS, WALL_MS);
    if is_cancelled {
        schedule.cancel(&job_name(), NOW_MS, WALL_MS);
    }
    let snapshot = WorkerSnapshot {
        listed: sample_worker("w-1", WORKER_MILLI),
        unreachable: Some(UnreachableRuns {
            runs: vec![(task(), EARLIER_RUN)],
            lease_left_ms: LEASE_MS,
        }),
    };
    schedule.restore_worker(snapshot, NOW_MS);
    schedule.upsert_worker(sample_worker("w-1", WORKER_MILLI));
    schedule
}

/// A run that an owner takes over from a snapshot is stopped if its job has ended.
fn restored_run_stops(recorded_end: Option<JobState>, is_cancelled: bool) {
    let progress = recorded_end.map(|state| ProgressRecord {
        ended: Some(state),
        ended_ms: Some(WALL_MS),
        ..ProgressRecord::default()
    });
    let mut schedule = taken_over(progress.as_ref(), is_cancelled);
    let first = report(20, &[EARLIER_RUN]);
    let mut orders = schedule.apply_report(&worker_name("w-1"), &first, NOW_MS + 10, WALL_MS + 10);
    orders.extend(schedule.tick(NOW_MS + 1_000, true));
    assert!(
        orders.contains(&stop(EARLIER_RUN)),
        "a stop is ordered: {orders:?}"
    );
}

named_cases! { restored_run_stops:
    restored_run_of_job_cancelled_before_takeover_is_stopped(None, true);
    restored_run_of_job_recorded_as_cancelled_is_stopped(Some(JobState::Cancelled), false);
    restored_run_of_job_recorded_as_failed_is_stopped(Some(JobState::Failed), false);
    restored_run_of_job_recorded_as_completed_is_stopped(Some(JobState::Completed), false);
}

/// A run that an owner takes over from a snapshot goes on until its job is cancelled.
#[test]
fn restored_run_of_open_job_goes_on_until_cancelled() {
    let mut schedule = taken_over(None, false);
    let first = report(20, &[EARLIER_RUN]);
    let reported = schedule.apply_report(&worker_name("w-1"), &first, NOW_MS + 10, WALL_MS + 10);
    assert_eq!(reported, Vec::new(), "it goes on");
    let orders = schedule.cancel(&job_name(), NOW_MS + 20, WALL_MS + 20);
    assert_eq!(orders, vec![stop(EARLIER_RUN)]);
}

/// Runs of ended jobs are counted until they have ended.
#[test]
fn runs_of_ended_jobs_are_counted_until_they_end() {
    let mut schedule = taken_over(None, true);
    let worker = worker_name("w-1");
    let first = report(20, &[EARLIER_RUN]);
    schedule.apply_report(&worker, &first, NOW_MS + 10, WALL_MS + 10);
    let lingering = LingeringRuns {
        runs: 1,
        oldest_ms: 500,
    };
    assert_eq!(schedule.lingering_runs(WALL_MS + 500), lingering);
    let order = stop_order(EARLIER_RUN);
    schedule.confirm_stop(&order, 30);
    schedule.apply_report(&worker, &report(40, &[]), NOW_MS + 600, WALL_MS + 600);
    assert_eq!(
        schedule.lingering_runs(WALL_MS + 600),
        LingeringRuns::default()
    );
}

/// What happened to a stop order since it was queued.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StopEvent {
    Sent,
    Confirmed,
    RunEnded,
    JobForgotten,
}

/// A stop order in its worker's queue is sent only if it can still have an effect, so that repeats
/// of answered ones do not hold up the others.
fn queued_stop_is_due(event: Option<StopEvent>, later_ms: u64, is_due: bool) {
    let mut schedule = taken_over(None, true);
    let worker = worker_name("w-1");
    let first = report(20, &[EARLIER_RUN]);
    schedule.apply_report(&worker, &first, NOW_MS, WALL_MS);
    let mut order = stop_order(EARLIER_RUN);
    match event {
        Some(StopEvent::Sent) => assert!(schedule.begin_stop(&order, NOW_MS), "the first is sent"),
        Some(StopEvent::Confirmed) => schedule.confirm_stop(&order, 30),
        Some(StopEvent::RunEnded) => {
            schedule.confirm_stop(&order, 30);
            schedule.apply_report(&worker, &report(40, &[]), NOW_MS, WALL_MS);
        }
        Some(StopEvent::JobForgotten) => order.task = "unknown.0.0.0".parse().expect("a task"),
        None => {}
    }
    assert_eq!(schedule.begin_stop(&order, NOW_MS + later_ms), is_due);
}

named_cases! { queued_stop_is_due:
    first_stop_is_sent(None, 0, true);
    first_stop_is_sent_however_long_it_waited(None, 5_000, true);
    repeated_stop_waits_for_the_reply_to_the_one_before(Some(StopEvent::Sent), 100, false);
    unanswered_stop_is_sent_again(Some(StopEvent::Sent), 600, true);
    confirmed_stop_is_not_sent_again(Some(StopEvent::Confirmed), 600, false);
    stop_of_an_ended_run_is_not_sent(Some(StopEvent::RunEnded), 600, false);
    stop_of_an_untracked_run_is_sent(Some(StopEvent::JobForgotten), 0, true);
}

/// A run of a job that is not in the schedule is stopped once no record of it can be on its way
/// from an earlier owner.
fn run_of_unknown_job_stops(after_ms: u64, is_stopped: bool) {
    let orphans_until_ms = NOW_MS + LEASE_MS;
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, orphans_until_ms);
    schedule.upsert_worker(sample_worker("w-1", WORKER_MILLI));
    let first = report(20, &[EARLIER_RUN]);
    let orders = schedule.apply_report(
        &worker_name("w-1"),
        &first,
        orphans_until_ms + after_ms,
        WALL_MS + LEASE_MS + after_ms,
    );
    assert_eq!(orders.contains(&stop(EARLIER_RUN)), is_stopped);
}

named_cases! { run_of_unknown_job_stops:
    run_of_unknown_job_goes_on_while_its_record_may_come(0, false);
    run_of_unknown_job_is_stopped_after_earlier_owners(1, true);
}

/// A reported run of a task whose end is recorded is stopped, although its job goes on.
#[test]
fn run_of_recorded_task_is_stopped() {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS);
    let step = StepPlan {
        count: 2,
        ..StepPlan::default()
    };
    let progress = ProgressRecord {
        step_progress: vec![StepProgress {
            done: vec![0],
            ..StepProgress::default()
        }],
        ..ProgressRecord::default()
    };
    let record = sample_job(JOB, step);
    schedule.add_job(record, Some(&progress), RUN_BASE, NOW_MS, WALL_MS);
    schedule.upsert_worker(sample_worker("w-1", WORKER_MILLI));
    let first = report(20, &[EARLIER_RUN]);
    let orders = schedule.apply_report(&worker_name("w-1"), &first, NOW_MS + 10, WALL_MS + 10);
    assert_eq!(orders, vec![stop(EARLIER_RUN)]);
}

/// A stop that is ordered again does not follow the one before while that may still be answered,
/// whenever that was sent.
#[test]
fn stop_ordered_again_waits_for_the_reply_to_the_one_before() {
    let mut schedule = taken_over(None, true);
    let first = report(20, &[EARLIER_RUN]);
    schedule.apply_report(&worker_name("w-1"), &first, NOW_MS, WALL_MS);
    let order = stop_order(EARLIER_RUN);
    assert!(schedule.begin_stop(&order, NOW_MS + 300), "the first");
    assert_eq!(schedule.tick(NOW_MS + 450, true), Vec::new(), "not yet");
    assert!(!schedule.begin_stop(&order, NOW_MS + 450), "not yet");
    let again = schedule.tick(NOW_MS + 800, true);
    assert_eq!(again, vec![stop(EARLIER_RUN)], "it is ordered again");
    assert!(
        schedule.begin_stop(&order, NOW_MS + 800),
        "it is sent again"
    );
}

/// A stop without an answer is ordered again.
#[test]
fn unanswered_stop_is_ordered_again() {
    let mut schedule = taken_over(None, true);
    let first = report(20, &[EARLIER_RUN]);
    schedule.apply_report(&worker_name("w-1"), &first, NOW_MS, WALL_MS);
    assert_eq!(schedule.tick(NOW_MS + 300, true), Vec::new(), "not yet");
    assert_eq!(schedule.tick(NOW_MS + 500, true), vec![stop(EARLIER_RUN)]);
}
