//! Tests of runs on a worker that starts again under its name.

mod recorded_orders;
mod samples;

use {
    dotterelshore_domain::{
        names::WorkerName,
        schedule::{
            FleetSchedule, ListedWorker, OrderRule, ReportedRun, StartOrder, StartReply, StepPlan,
            StopOrder, WorkerOrder, WorkerReport,
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
