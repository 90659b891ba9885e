//! Tests of runs that stay at work after a stop, an end or a lease was lost from view.

mod lasting_run;
mod recorded_orders;
mod samples;

use {
    dotterelshore_domain::schedule::{EndReason, EndedRun, FleetSchedule, OrderRule, WorkerOrder},
    dotterelshore_testkit::named_cases,
    lasting_run::{
        JOB, WORKER_MILLI, job_name, lasting_step, report, stop_order, task, worker_name,
    },
    recorded_orders::recorded_orders,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    std::sync::Arc,
};

/// Worker lease, in milliseconds.
const LEASE_MS: u64 = 3_600;
/// The number of a run whose start order the worker carried out late.
const LATE_RUN: u32 = 1;
/// The number of the run that was started in its place.
const CURRENT_RUN: u32 = 2;
/// Time between two ticks of the owner, in milliseconds.
const TICK_MS: u64 = 100;
/// Longest time between two sends of an unanswered stop, in milliseconds: the time after which it
/// is resent, and two ticks.
const RESEND_MAX_MS: u64 = 600;

/// Returns a schedule with one lasting task, which runs on the first of two workers.
fn schedule_with_run() -> FleetSchedule {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    schedule.add_job(sample_job(JOB, lasting_step()), None, 0, NOW_MS, WALL_MS);
    schedule.upsert_worker(sample_worker("w-1", WORKER_MILLI));
    let first = report(10, &[CURRENT_RUN]);
    schedule.apply_report(&worker_name("w-1"), &first, NOW_MS, WALL_MS);
    schedule.renew_lease(&worker_name("w-1"), NOW_MS);
    schedule
}

/// Applies reports of a worker that also carried out an earlier start order late, and that ended
/// this run.
fn report_late_run(schedule: &mut FleetSchedule) {
    let worker = worker_name("w-1");
    let both = report(20, &[CURRENT_RUN, LATE_RUN]);
    let orders = schedule.apply_report(&worker, &both, NOW_MS + 20, WALL_MS + 20);
    assert_eq!(orders, [WorkerOrder::Stop(stop_order(LATE_RUN))]);
    schedule.confirm_stop(&stop_order(LATE_RUN), 30);
    let mut after = report(40, &[CURRENT_RUN]);
    after.finished.push(EndedRun {
        number: 1,
        task: task(),
        run: LATE_RUN,
        reason: EndReason::Stopped,
        checkpoint: Arc::from(""),
    });
    schedule.apply_report(&worker, &after, NOW_MS + 40, WALL_MS + 40);
}

/// A run whose worker also had another run of its task is stopped again and again until its stop
/// is confirmed.
fn lost_stop_is_resent(has_late_run: bool) {
    let mut schedule = schedule_with_run();
    if has_late_run {
        report_late_run(&mut schedule);
    }
    let stop = WorkerOrder::Stop(stop_order(CURRENT_RUN));
    let first = schedule.cancel(&job_name(), NOW_MS + 100, WALL_MS + 100);
    assert_eq!(first, std::slice::from_ref(&stop), "the first is lost");
    let worker = worker_name("w-1");
    let still = report(700, &[CURRENT_RUN]);
    let mut later = schedule.apply_report(&worker, &still, NOW_MS + 700, WALL_MS + 700);
    later.extend(schedule.tick(NOW_MS + 800, true));
    assert!(later.contains(&stop), "the stop is sent again: {later:?}");
}

named_cases! { lost_stop_is_resent:
    lost_stop_is_resent_to_worker_with_one_run(false);
    lost_stop_is_resent_to_worker_that_also_had_a_late_run(true);
}

/// A task starts elsewhere once the lease of its worker has expired, also if the worker had
/// another run of the task.
fn task_leaves_dead_worker(has_late_run: bool) {
    let mut schedule = schedule_with_run();
    if has_late_run {
        report_late_run(&mut schedule);
    }
    schedule.upsert_worker(sample_worker("w-2", WORKER_MILLI));
    schedule.apply_report(&worker_name("w-2"), &report(10, &[]), NOW_MS, WALL_MS);
    schedule.mark_unreachable(&worker_name("w-1"));
    let later_ms = NOW_MS + 2 * LEASE_MS;
    schedule.tick(later_ms, true);
    let orders = recorded_orders(&mut schedule, later_ms, WALL_MS);
    assert_eq!(orders.len(), 1, "it starts elsewhere");
}

named_cases! { task_leaves_dead_worker:
    task_leaves_dead_worker_with_one_run(false);
    task_leaves_dead_worker_that_also_had_a_late_run(true);
}

/// A stop that waited for its turn and got no answer is sent again as soon as one that did not.
fn unanswered_stop_is_soon_resent(waited_ms: u64) {
    let mut schedule = schedule_with_run();
    schedule.cancel(&job_name(), NOW_MS, WALL_MS);
    let order = stop_order(CURRENT_RUN);
    let sent_ms = NOW_MS + waited_ms;
    assert!(schedule.begin_stop(&order, sent_ms), "the first is sent");
    let ticks = (1..40).map(|tick| NOW_MS + tick * TICK_MS);
    let resent_ms = ticks.into_iter().find(|now_ms| {
        let queued = schedule.tick(*now_ms, true);
        !queued.is_empty() && schedule.begin_stop(&order, *now_ms)
    });
    let after_ms = resent_ms.expect("it is sent again") - sent_ms;
    assert!(after_ms <= RESEND_MAX_MS, "sent again after {after_ms} ms");
}

named_cases! { unanswered_stop_is_soon_resent:
    stop_without_wait_is_soon_resent(1);
    stop_that_waited_for_a_slot_is_soon_resent(150);
}

/// A row that another writer put over that of a live worker, with a later start time, neither ends
/// the run there nor keeps the run from being stopped when its job is cancelled.
#[test]
fn run_of_worker_under_row_with_false_start_time_is_stopped() {
    let mut schedule = schedule_with_run();
    let mut odd = sample_worker("w-1", WORKER_MILLI);
    odd.started_ms += 1;
    schedule.upsert_worker(odd);
    let worker = worker_name("w-1");
    let mut orders = schedule.cancel(&job_name(), NOW_MS + 20, WALL_MS + 20);
    for tick in 1..30 {
        let at_ms = tick * TICK_MS;
        let still = report(at_ms, &[CURRENT_RUN]);
        orders.extend(schedule.apply_report(&worker, &still, NOW_MS + at_ms, WALL_MS + at_ms));
        let is_renewed = schedule.renew_lease(&worker, NOW_MS + at_ms);
        assert!(is_renewed, "the worker's lease goes on");
    }
    let stop = WorkerOrder::Stop(stop_order(CURRENT_RUN));
    assert!(orders.contains(&stop), "a stop is ordered: {orders:?}");
}
