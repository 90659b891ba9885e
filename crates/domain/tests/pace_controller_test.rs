//! Fillers beside tasks that serve: how their pace follows the tails.

mod samples;

use {
    dotterelshore_domain::schedule::{
        FleetSchedule, OrderRule, PaceController, ReportedRun, Resources, StartReply, StepPlan,
        WorkerOrder, WorkerReport,
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    std::sync::Arc,
};

/// Time between reports in these tests, in milliseconds.
const REPORT_MS: u64 = 500;
/// By the users' rules a task must not be over its target for this long by the fillers' doing,
/// in milliseconds.
const HARM_MS: u64 = 4_000;

/// A tail, in percent of its target, as fillers at some pace make it.
fn tail(alone: f64, by_fillers: f64, pace: &PaceController) -> f64 {
    alone + by_fillers * f64::from(pace.percent()) / 100.0
}

/// Under a steady load the tail comes under its target in time and stays there, and the fillers
/// get what is left.
fn pace_settles(alone: f64, by_fillers: f64, least: u32, most: u32) {
    let mut pace = PaceController::default();
    let mut over_since = None;
    let mut lowest = 100;
    let mut highest = 0;
    for step in 0..120u64 {
        let now_ms = NOW_MS + step * REPORT_MS;
        let told = tail(alone, by_fillers, &pace);
        if told >= 100.0 && pace.percent() > 0 {
            let since = *over_since.get_or_insert(now_ms);
            assert!(now_ms - since < HARM_MS, "over since {since}");
        } else {
            over_since = None;
        }
        pace.take_tail(told, now_ms);
        if step > 40 {
            lowest = lowest.min(pace.percent());
            highest = highest.max(pace.percent());
        }
    }
    assert!(
        lowest >= least && highest <= most,
        "between {lowest} and {highest}"
    );
}

named_cases! { pace_settles:
    no_disturbance_leaves_full_pace(40.0, 10.0, 100, 100);
    a_strong_disturbance_leaves_a_part(50.0, 100.0, 10, 49);
    a_tail_over_its_target_by_itself_stops_them(120.0, 30.0, 0, 0);
}

/// A burst of load slows the fillers at once, and they recover after it.
fn pace_recovers(burst_steps: u64, steps_to_recover: u64) {
    let mut pace = PaceController::default();
    for step in 0..burst_steps {
        pace.take_tail(150.0, NOW_MS + step * REPORT_MS);
    }
    assert!(pace.percent() < 20, "{} in the burst", pace.percent());
    for step in 0..steps_to_recover {
        pace.take_tail(30.0, NOW_MS + (burst_steps + step) * REPORT_MS);
    }
    assert_eq!(pace.percent(), 100);
}

named_cases! { pace_recovers:
    a_short_burst(2, 24);
    a_long_one(20, 24);
}

fn lasting(cpu_milli: u64) -> StepPlan {
    StepPlan {
        count: 1,
        need: Resources {
            cpu_milli,
            memory_mb: 1_000,
            gpus: 0,
        },
        long_running: true,
        ..StepPlan::default()
    }
}

/// A worker's report of a serving task's tail paces the filler beside it; an order that got no
/// answer is given again, and an owner that took over tells every filler its pace.
fn report_paces_fillers(tail_ms: f64, unanswered: bool, taken_over: bool, orders_given: usize) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), 4_000, 0);
    let listed = sample_worker("w-1", 64_000);
    let name = listed.name.clone();
    schedule.upsert_worker(listed);
    let serves = StepPlan {
        target_ms: Some(100),
        ..lasting(4_000)
    };
    let best_effort = StepPlan {
        best_effort: true,
        ..lasting(60_000)
    };
    let run_base = if taken_over { 1_000 } else { 0 };
    schedule.add_job(
        sample_job("serves", serves),
        None,
        run_base,
        NOW_MS,
        WALL_MS,
    );
    schedule.add_job(
        sample_job("best-effort", best_effort),
        None,
        run_base,
        NOW_MS,
        WALL_MS,
    );
    let mut rows = Vec::new();
    let report = |rows: &[ReportedRun], schedule: &mut FleetSchedule, step: u64| {
        let report = WorkerReport {
            started_ms: None,
            clock_ms: NOW_MS + step * REPORT_MS,
            running: rows.to_vec(),
            finished: Vec::new(),
        };
        schedule.apply_report(&name, &report, NOW_MS + step * REPORT_MS, WALL_MS)
    };
    let row = |task, run, metric| ReportedRun {
        task,
        run,
        checkpoint: Arc::from(""),
        progress_percent: 100.0,
        metric,
    };
    if taken_over {
        rows.push(row("serves.0.0.0".parse().expect("a task"), 1, tail_ms));
        rows.push(row(
            "best-effort.0.0.0".parse().expect("a task"),
            1,
            8_000.0,
        ));
    } else {
        report(&[], &mut schedule, 0);
        for order in schedule.plan_starts(NOW_MS, WALL_MS, u64::MAX) {
            let WorkerOrder::Start(start) = order else {
                continue;
            };
            let reply = StartReply::Started { clock_ms: 1 };
            schedule.apply_start_reply(&start.worker, &start.task, start.run, reply, NOW_MS);
            rows.push(row(start.task, start.run, tail_ms));
        }
        assert_eq!(rows.len(), 2, "both run");
    }
    let mut given = 0;
    for step in 1..4 {
        for order in report(&rows, &mut schedule, step) {
            if let WorkerOrder::Pace(order, _) = order {
                given += 1;
                if unanswered && given == 1 {
                    schedule.mark_pace_unconfirmed(&order);
                }
            }
        }
    }
    assert_eq!(given, orders_given);
}

named_cases! { report_paces_fillers:
    a_low_tail_needs_no_order(20.0, false, false, 0);
    a_tail_between_needs_none(80.0, false, false, 0);
    a_tail_over_its_target_stops_the_filler(150.0, false, false, 2);
    an_unanswered_order_is_given_again(150.0, true, false, 3);
    a_new_owner_tells_its_pace(80.0, false, true, 1);
}
