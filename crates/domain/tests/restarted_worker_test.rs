//! Tests of runs on a worker that starts again under its name.

mod recorded_orders;
mod samples;

use {
    dotterelshore_domain::{
        names::WorkerName,
        schedule::{
            FleetSchedule, ListedWorker, OrderRule, ReportedRun, RowOutcome, StartOrder,
            StartReply, StepPlan, StopOrder, WorkerOrder, WorkerReport, WorkerRow,
        },
    },
    dotterelshore_testkit::named_cases,
    recorded_orders::recorded_orders,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    std::sync::Arc,
};

/// Worker lease, in milliseconds.
const LEASE_MS: u64 = 4_000;
/// Longest lease that a worker grants, in milliseconds.
const LEASE_MAX_MS: u64 = 10_000;
/// The clock of the worker's first incarnation, in milliseconds.
const FIRST_CLOCK_MS: u64 = 90_000;
/// The clock of its next incarnation, in milliseconds.
const NEXT_CLOCK_MS: u64 = 40;

fn worker(text: &str, started_ms: u64) -> ListedWorker {
    ListedWorker {
        started_ms,
        ..sample_worker(text, 64_000)
    }
}

fn report(started_ms: u64, clock_ms: u64, runs: &[&StartOrder]) -> WorkerReport {
    let running = runs.iter().map(|order| ReportedRun {
        task: order.task.clone(),
        run: order.run,
        checkpoint: Arc::from(""),
        progress_percent: 50.0,
        metric: 0.0,
    });
    WorkerReport {
        started_ms: Some(started_ms),
        clock_ms,
        running: running.collect(),
        ..WorkerReport::default()
    }
}

fn starts(schedule: &mut FleetSchedule, now_ms: u64) -> Vec<StartOrder> {
    let orders = recorded_orders(schedule, now_ms, WALL_MS).into_iter();
    let starts = orders.filter_map(|order| match order {
        WorkerOrder::Start(start) => Some(start),
        WorkerOrder::Stop(_) | WorkerOrder::Pace(..) => None,
    });
    starts.collect()
}

/// The incarnation that lists the run.
#[derive(Clone, Copy, PartialEq)]
enum Listing {
    First,
    Next,
    Neither,
}

/// A task that was started on a worker shortly before the worker is listed as restarted runs once:
/// it starts elsewhere only if the next incarnation has not started it, and then does.
fn task_runs_once(listing: Listing, starts_at_once: usize, starts_later: usize) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    let name = WorkerName::try_from("w-1").expect("a name");
    let other = WorkerName::try_from("w-2").expect("a name");
    schedule.upsert_worker(worker("w-1", 1));
    let first = report(1, FIRST_CLOCK_MS, &[]);
    schedule.apply_report(&name, &first, NOW_MS, WALL_MS);
    let plan = StepPlan {
        count: 1,
        ..StepPlan::default()
    };
    schedule.add_job(sample_job("started", plan), None, 0, NOW_MS, WALL_MS);
    let order = starts(&mut schedule, NOW_MS).remove(0);
    let clock_ms = match listing {
        Listing::Next => NEXT_CLOCK_MS,
        Listing::First | Listing::Neither => FIRST_CLOCK_MS + 10,
    };
    let reply = StartReply::Started { clock_ms };
    schedule.apply_start_reply(&name, &order.task, order.run, reply, NOW_MS + 10);
    if listing == Listing::First {
        let first = report(1, FIRST_CLOCK_MS + 20, &[&order]);
        schedule.apply_report(&name, &first, NOW_MS + 20, WALL_MS);
    }
    schedule.upsert_worker(worker("w-2", 1));
    schedule.apply_report(&other, &report(1, FIRST_CLOCK_MS, &[]), NOW_MS, WALL_MS);
    schedule.upsert_worker(worker("w-1", 2));
    let at_once = starts(&mut schedule, NOW_MS + 30);
    assert_eq!(at_once.len(), starts_at_once, "at once");
    let listed: &[&StartOrder] = if listing == Listing::Next {
        &[&order]
    } else {
        &[]
    };
    let next = report(2, NEXT_CLOCK_MS + 10, listed);
    schedule.apply_report(&name, &next, NOW_MS + 60, WALL_MS);
    for resent in schedule.tick(NOW_MS + 500, true) {
        let WorkerOrder::Stop(stop) = resent else {
            panic!("a stop, not {resent:?}");
        };
        let expected = StopOrder {
            worker: name.clone(),
            task: order.task.clone(),
            run: order.run,
        };
        assert_eq!(stop, expected);
        schedule.confirm_stop(&stop, NEXT_CLOCK_MS + 450);
    }
    let later = report(2, NEXT_CLOCK_MS + 500, listed);
    schedule.apply_report(&name, &later, NOW_MS + 600, WALL_MS);
    let later = starts(&mut schedule, NOW_MS + 610);
    assert_eq!(later.len(), starts_later, "later");
}

named_cases! { task_runs_once:
    task_of_the_incarnation_before_starts_again_at_once(Listing::First, 1, 0);
    task_started_at_an_unnoticed_incarnation_does_not_start_twice(Listing::Next, 0, 0);
    task_started_before_an_unnoticed_restart_starts_again(Listing::Neither, 0, 1);
}

/// A call that was timed by the clock of the incarnation before may have given the next one the
/// longest lease. When that one turns silent, its task starts elsewhere only after that lease.
fn silent_restarted_worker_is_waited_for(silent_ms: u64, starts_elsewhere: usize) {
    let mut schedule =
        FleetSchedule::new(OrderRule::default(), LEASE_MS, 0).with_longest_lease(LEASE_MAX_MS);
    let name = WorkerName::try_from("w-1").expect("a name");
    schedule.upsert_worker(worker("w-1", 1));
    let first = report(1, FIRST_CLOCK_MS, &[]);
    schedule.apply_report(&name, &first, NOW_MS, WALL_MS);
    assert!(schedule.renew_lease(&name, NOW_MS), "by the first clock");
    let next = report(2, NEXT_CLOCK_MS, &[]);
    schedule.apply_report(&name, &next, NOW_MS + 10, WALL_MS);
    schedule.upsert_worker(worker("w-1", 2));
    let plan = StepPlan {
        count: 1,
        ..StepPlan::default()
    };
    schedule.add_job(sample_job("silent", plan), None, 0, NOW_MS, WALL_MS);
    let order = starts(&mut schedule, NOW_MS + 20).remove(0);
    let reply = StartReply::Started {
        clock_ms: NEXT_CLOCK_MS + 20,
    };
    schedule.apply_start_reply(&name, &order.task, order.run, reply, NOW_MS + 30);
    schedule.mark_unreachable(&name);
    let other = WorkerName::try_from("w-2").expect("a name");
    schedule.upsert_worker(worker("w-2", 1));
    schedule.apply_report(&other, &report(1, FIRST_CLOCK_MS, &[]), NOW_MS, WALL_MS);
    schedule.tick(NOW_MS + silent_ms, true);
    let elsewhere = starts(&mut schedule, NOW_MS + silent_ms);
    assert_eq!(elsewhere.len(), starts_elsewhere);
}

named_cases! { silent_restarted_worker_is_waited_for:
    task_of_restarted_worker_waits_after_its_usual_lease(LEASE_MS + 1_000, 0);
    task_of_restarted_worker_waits_for_the_longest_lease(LEASE_MAX_MS, 0);
    task_of_restarted_worker_starts_after_the_longest_lease(LEASE_MAX_MS + 1_000, 1);
}

/// Starts of incarnations of a worker whose clock was set back for the last one.
const FIRST: u64 = 1_000;
const NEXT: u64 = 2_000;
const SET_BACK: u64 = 500;
/// Revisions of the worker's row, the later one read ahead of the watch.
const WATCHED: u64 = 20;
const READ_AHEAD: u64 = 30;

/// A schedule with a lasting task on a worker whose restart only its report has shown.
struct RestartedFleet {
    schedule: FleetSchedule,
    name: WorkerName,
    order: StartOrder,
}

impl RestartedFleet {
    fn new(started_ms: u64) -> Self {
        let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
        let name = WorkerName::try_from("w-1").expect("a name");
        let plan = StepPlan {
            count: 1,
            long_running: true,
            ..StepPlan::default()
        };
        schedule.add_job(sample_job("lasting", plan), None, 0, NOW_MS, WALL_MS);
        schedule.upsert_worker(worker("w-1", FIRST));
        let free = report(FIRST, FIRST_CLOCK_MS, &[]);
        schedule.apply_report(&name, &free, NOW_MS, WALL_MS);
        let order = starts(&mut schedule, NOW_MS).remove(0);
        let mut fleet = Self {
            schedule,
            name,
            order,
        };
        fleet.report(started_ms, true, 10);
        let other = WorkerName::try_from("w-2").expect("a name");
        fleet.schedule.upsert_worker(worker("w-2", FIRST));
        fleet.schedule.apply_report(&other, &free, NOW_MS, WALL_MS);
        fleet
    }

    fn list(&mut self, started_ms: u64, revision: u64) -> RowOutcome {
        let listed = worker("w-1", started_ms);
        self.schedule.apply_row(WorkerRow { listed, revision })
    }

    fn report(&mut self, started_ms: u64, has_run: bool, after_ms: u64) {
        let runs: &[&StartOrder] = if has_run { &[&self.order] } else { &[] };
        let report = report(started_ms, FIRST_CLOCK_MS + after_ms, runs);
        self.schedule
            .apply_report(&self.name, &report, NOW_MS + after_ms, WALL_MS);
    }

    fn started_ms(&self) -> u64 {
        self.schedule
            .worker(&self.name)
            .expect("the worker")
            .listed
            .started_ms
    }
}

/// Guards against TWICE of review/11: news that is older than what is known of a worker ends none of
/// its runs.
fn late_news_ends_no_run(started_ms: u64, tell: impl FnOnce(&mut RestartedFleet)) {
    let mut fleet = RestartedFleet::new(started_ms);
    tell(&mut fleet);
    assert_eq!(starts(&mut fleet.schedule, NOW_MS + 20), [], "it runs on");
    let status = fleet.schedule.worker(&fleet.name).expect("the worker");
    assert!(status.present && status.runs.contains(&(fleet.order.task, fleet.order.run)));
}

named_cases! { late_news_ends_no_run:
    older_row_behind_row_read_ahead_ends_no_run(NEXT, |fleet| {
        fleet.list(NEXT, READ_AHEAD);
        assert_eq!(fleet.list(FIRST, WATCHED), RowOutcome::Outdated);
        fleet.list(NEXT, READ_AHEAD);
    });
    older_removal_behind_row_read_ahead_ends_no_run(NEXT, |fleet| {
        fleet.list(NEXT, READ_AHEAD);
        assert!(!fleet.schedule.remove_row(&fleet.name, WATCHED, NOW_MS + 20));
    });
    list_older_than_row_read_ahead_ends_no_run(NEXT, |fleet| {
        fleet.list(NEXT, READ_AHEAD);
        fleet.schedule.apply_row_list(Vec::new(), WATCHED, NOW_MS + 20);
    });
    row_of_incarnation_that_a_report_replaced_ends_no_run(NEXT, |fleet| {
        assert_eq!(fleet.list(FIRST, WATCHED), RowOutcome::Held);
    });
    row_of_incarnation_before_clock_was_set_back_ends_no_run(SET_BACK, |fleet| {
        assert_eq!(fleet.list(FIRST, WATCHED), RowOutcome::Held);
    });
    older_row_of_the_same_incarnation_changes_no_capacity(NEXT, |fleet| {
        fleet.list(NEXT, READ_AHEAD);
        let mut listed = worker("w-1", NEXT);
        listed.capacity.cpu_milli = 1;
        fleet.schedule.apply_row(WorkerRow { listed, revision: WATCHED });
        let status = fleet.schedule.worker(&fleet.name).expect("the worker");
        assert_eq!(status.listed.capacity.cpu_milli, 64_000);
    });
}

/// An incarnation whose clock was set back is not shut out by its start time.
fn set_back_incarnation_replaces(tell: impl FnOnce(&mut RestartedFleet)) {
    let mut fleet = RestartedFleet::new(NEXT);
    fleet.list(NEXT, READ_AHEAD);
    tell(&mut fleet);
    assert_eq!(fleet.started_ms(), SET_BACK);
    assert_eq!(starts(&mut fleet.schedule, NOW_MS + 9_000).len(), 1);
}

named_cases! { set_back_incarnation_replaces:
    set_back_incarnation_replaces_once_it_reports(|fleet| fleet.report(SET_BACK, false, 30));
    set_back_incarnation_replaces_once_it_reports_behind_its_row(|fleet| {
        assert_eq!(fleet.list(SET_BACK, READ_AHEAD + 1), RowOutcome::Held);
        fleet.report(SET_BACK, false, 30);
    });
    silent_incarnation_gives_way_to_a_set_back_one_after_its_lease(|fleet| {
        fleet.list(SET_BACK, READ_AHEAD + 1);
        fleet.schedule.mark_unreachable(&fleet.name);
        fleet.schedule.tick(NOW_MS + 2 * LEASE_MS, true);
    });
}

/// A poll that was sent before a later row was read proves nothing against the row; the next does.
#[test]
fn incarnation_under_false_row_is_the_newest_again_with_its_second_report() {
    let mut fleet = RestartedFleet::new(FIRST);
    fleet.list(NEXT, READ_AHEAD);
    fleet.report(FIRST, true, 20);
    assert_eq!(fleet.started_ms(), NEXT);
    fleet.report(FIRST, true, 30);
    assert_eq!(fleet.started_ms(), FIRST);
}
