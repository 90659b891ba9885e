//! Tests of rows and reports of a worker that arrive in another order than they were made.

mod lasting_run;
mod recorded_orders;
mod samples;

use {
    dotterelshore_domain::schedule::{
        FleetSchedule, ListedWorker, OrderRule, RowOutcome, WorkerOrder, WorkerReport, WorkerRow,
    },
    dotterelshore_testkit::named_cases,
    lasting_run::{
        JOB, WORKER_MILLI, job_name, lasting_step, report, stop_order, task, worker_name,
    },
    recorded_orders::recorded_orders,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
};

/// Worker lease, in milliseconds.
const LEASE_MS: u64 = 3_600;
/// Starts of a worker's incarnations, in milliseconds since the Unix epoch.
const FIRST: u64 = WALL_MS - 60_000;
const NEXT: u64 = WALL_MS - 1_000;
/// The start of an incarnation after the clock of its worker was set back.
const SET_BACK: u64 = FIRST - 5_000;
/// Revisions of a worker's row.
const FIRST_ROW: u64 = 10;
const REMOVAL: u64 = 20;
const LATER_ROW: u64 = 30;

fn row(started_ms: u64, revision: u64) -> WorkerRow {
    WorkerRow {
        listed: ListedWorker {
            started_ms,
            ..sample_worker("w-1", WORKER_MILLI)
        },
        revision,
    }
}

fn report_of(started_ms: u64, clock_ms: u64, runs: &[u32]) -> WorkerReport {
    WorkerReport {
        started_ms: Some(started_ms),
        ..report(clock_ms, runs)
    }
}

/// A schedule with a lasting task that runs on a worker, beside a free one. The worker has restarted
/// since its first row, which only its report shows.
fn schedule_with_run_of(started_ms: u64) -> FleetSchedule {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    schedule.add_job(sample_job(JOB, lasting_step()), None, 0, NOW_MS, WALL_MS);
    schedule.apply_row(row(FIRST, FIRST_ROW));
    apply(&mut schedule, &report_of(FIRST, 9_000, &[]), 0);
    apply(&mut schedule, &report_of(started_ms, 10, &[1]), 10);
    schedule.renew_lease(&worker_name("w-1"), NOW_MS + 10);
    schedule.upsert_worker(sample_worker("w-2", WORKER_MILLI));
    schedule.apply_report(&worker_name("w-2"), &report(10, &[]), NOW_MS + 10, WALL_MS);
    schedule
}

fn apply(schedule: &mut FleetSchedule, report: &WorkerReport, after_ms: u64) {
    let now_ms = NOW_MS + after_ms;
    schedule.apply_report(&worker_name("w-1"), report, now_ms, WALL_MS + after_ms);
}

fn started_ms(schedule: &FleetSchedule) -> u64 {
    let status = schedule.worker(&worker_name("w-1"));
    status.expect("the worker").listed.started_ms
}

/// Whether the worker's run is known and its task starts nowhere else.
fn runs_once(schedule: &mut FleetSchedule) -> bool {
    let orders = recorded_orders(schedule, NOW_MS + 20, WALL_MS + 20);
    let status = schedule.worker(&worker_name("w-1")).expect("the worker");
    orders.is_empty() && status.runs.contains(&(task(), 1))
}

/// Guards against TWICE of review/11: changes of a row that are older than what is known of the
/// worker end none of its runs.
fn late_news_ends_no_run(started_ms: u64, tell: impl FnOnce(&mut FleetSchedule)) {
    let mut schedule = schedule_with_run_of(started_ms);
    tell(&mut schedule);
    assert!(
        runs_once(&mut schedule),
        "{:?}",
        schedule.take_dropped_runs()
    );
}

named_cases! { late_news_ends_no_run:
    older_row_behind_row_read_ahead_ends_no_run(NEXT, |schedule| {
        schedule.apply_row(row(NEXT, LATER_ROW));
        let older = schedule.apply_row(row(FIRST, REMOVAL));
        assert_eq!(older, RowOutcome::Outdated);
        schedule.apply_row(row(NEXT, LATER_ROW));
    });
    older_removal_behind_row_read_ahead_ends_no_run(NEXT, |schedule| {
        schedule.apply_row(row(NEXT, LATER_ROW));
        let is_applied = schedule.remove_row(&worker_name("w-1"), REMOVAL, NOW_MS + 20);
        assert!(!is_applied, "the removal is older");
        assert!(schedule.worker(&worker_name("w-1")).expect("the worker").present);
    });
    whole_list_older_than_row_read_ahead_ends_no_run(NEXT, |schedule| {
        schedule.apply_row(row(NEXT, LATER_ROW));
        schedule.apply_row_list(Vec::new(), REMOVAL, NOW_MS + 20);
        assert!(schedule.worker(&worker_name("w-1")).expect("the worker").present);
    });
    row_of_incarnation_that_a_report_replaced_ends_no_run(NEXT, |schedule| {
        assert_eq!(schedule.apply_row(row(FIRST, REMOVAL)), RowOutcome::Held);
    });
    row_of_incarnation_before_clock_was_set_back_ends_no_run(SET_BACK, |schedule| {
        assert_eq!(schedule.apply_row(row(FIRST, REMOVAL)), RowOutcome::Held);
    });
    report_older_than_row_ends_no_run(NEXT, |schedule| {
        schedule.apply_row(row(NEXT, LATER_ROW));
        apply(schedule, &report_of(NEXT, 20, &[1]), 20);
    });
}

/// Fields of an older row of the same incarnation are not taken.
#[test]
fn older_row_does_not_change_capacity() {
    let mut schedule = schedule_with_run_of(NEXT);
    schedule.apply_row(row(NEXT, LATER_ROW));
    let mut older = row(NEXT, REMOVAL);
    older.listed.capacity.cpu_milli = 1;
    schedule.apply_row(older);
    let status = schedule.worker(&worker_name("w-1")).expect("the worker");
    assert_eq!(status.listed.capacity.cpu_milli, WORKER_MILLI);
}

/// Guards against LOST by a rule that trusts start times alone: an incarnation whose clock was set
/// back replaces the one before.
fn set_back_incarnation_replaces(tell: impl FnOnce(&mut FleetSchedule)) {
    let mut schedule = schedule_with_run_of(NEXT);
    schedule.apply_row(row(NEXT, LATER_ROW));
    tell(&mut schedule);
    assert_eq!(started_ms(&schedule), SET_BACK);
    let starts = recorded_orders(&mut schedule, NOW_MS + 9_000, WALL_MS + 9_000);
    assert_eq!(starts.len(), 1, "the task starts again");
}

named_cases! { set_back_incarnation_replaces:
    set_back_incarnation_replaces_once_it_reports(|schedule| {
        apply(schedule, &report_of(SET_BACK, 5, &[]), 30);
        apply(schedule, &report_of(SET_BACK, 15, &[]), 40);
    });
    set_back_incarnation_replaces_once_it_reports_behind_its_row(|schedule| {
        assert_eq!(schedule.apply_row(row(SET_BACK, LATER_ROW + 1)), RowOutcome::Held);
        apply(schedule, &report_of(SET_BACK, 5, &[]), 30);
    });
    set_back_incarnation_at_another_address_replaces_after_the_lease(|schedule| {
        let mut moved = row(SET_BACK, LATER_ROW + 1);
        moved.listed.address = "127.0.0.9:9".into();
        schedule.apply_row(moved);
        schedule.mark_unreachable(&worker_name("w-1"));
        schedule.tick(NOW_MS + 2 * LEASE_MS, true);
    });
}

/// The report of an incarnation that was polled before its successor was listed does not bring it
/// back; that of one polled later does, since the row was another writer's.
#[test]
fn incarnation_polled_before_later_row_is_not_the_newest() {
    let mut schedule = schedule_with_run_of(FIRST);
    schedule.apply_row(row(NEXT, LATER_ROW));
    apply(&mut schedule, &report_of(FIRST, 9_020, &[1]), 20);
    assert_eq!(started_ms(&schedule), NEXT, "the poll may be older");
    apply(&mut schedule, &report_of(FIRST, 9_030, &[1]), 30);
    assert_eq!(started_ms(&schedule), FIRST, "the row was false");
    let stops = schedule.cancel(&job_name(), NOW_MS + 40, WALL_MS + 40);
    assert_eq!(stops, [WorkerOrder::Stop(stop_order(1))]);
}
