//! Tests of pacing best-effort tasks beside serving tasks.

mod samples;

use {
    dotterelshore_domain::schedule::{
        FleetSchedule, OrderRule, PaceController, ReportedRun, Resources, StartReply, StepPlan,
        TaskName, UnreachableRuns, WorkerOrder, WorkerReport, WorkerSnapshot,
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    std::sync::Arc,
};

/// Time between reports in these tests, in milliseconds.
const REPORT_MS: u64 = 500;
/// Longest time for which best-effort tasks may keep a serving task over its target, by the
/// users' rules, in milliseconds.
const OVER_TARGET_LIMIT_MS: u64 = 4_000;

/// Reports until the best-effort task is paused.
const REPORTS_UNTIL_PAUSE: u64 = 6;
/// Reports in the longest time for which best-effort tasks may keep a serving task over its
/// target, by the users' rules.
const REPORTS_OVER_TARGET: u64 = 8;

/// Returns the tail latency beside best-effort tasks at some pace, in percent of its target.
fn tail_latency(base: f64, interference: f64, controller: &PaceController) -> f64 {
    base + interference * f64::from(controller.percent()) / 100.0
}

/// Under a steady load the tail latency comes under its target in time and stays there, and
/// best-effort tasks get what is left.
fn pace_settles(base: f64, interference: f64, least: u32, most: u32) {
    let mut controller = PaceController::default();
    let mut over_since = None;
    let mut lowest = 100;
    let mut highest = 0;
    for step in 0..120u64 {
        let now_ms = NOW_MS + step * REPORT_MS;
        let latency_percent = tail_latency(base, interference, &controller);
        if latency_percent >= 100.0 && controller.percent() > 0 {
            let since = *over_since.get_or_insert(now_ms);
            assert!(now_ms - since < OVER_TARGET_LIMIT_MS, "over since {since}");
        } else {
            over_since = None;
        }
        controller.update(latency_percent, now_ms);
        if step > 40 {
            lowest = lowest.min(controller.percent());
            highest = highest.max(controller.percent());
        }
    }
    assert!(
        lowest >= least && highest <= most,
        "between {lowest} and {highest}"
    );
}

named_cases! { pace_settles:
    weak_interference_leaves_full_pace(40.0, 10.0, 100, 100);
    strong_interference_leaves_part_of_the_pace(50.0, 100.0, 10, 49);
    tail_latency_over_target_by_itself_pauses_best_effort_tasks(120.0, 30.0, 0, 0);
}

/// A burst of load slows best-effort tasks at once, and they recover after it.
fn pace_recovers(burst_steps: u64, steps_to_recover: u64) {
    let mut controller = PaceController::default();
    for step in 0..burst_steps {
        controller.update(150.0, NOW_MS + step * REPORT_MS);
    }
    assert!(
        controller.percent() < 20,
        "{} in the burst",
        controller.percent()
    );
    for step in 0..steps_to_recover {
        controller.update(30.0, NOW_MS + (burst_steps + step) * REPORT_MS);
    }
    assert_eq!(controller.percent(), 100);
}

named_cases! { pace_recovers:
    pace_recovers_after_a_short_burst(2, 24);
    pace_recovers_after_a_long_burst(20, 24);
}

fn long_running_step(cpu_milli: u64) -> StepPlan {
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

/// A worker's report of a serving task's tail latency paces the best-effort task beside it. An
/// unanswered order is resent, and a new owner sends the pace to every best-effort task.
fn report_paces_best_effort(
    latency_ms: f64,
    unanswered: bool,
    taken_over: bool,
    orders_sent: usize,
) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), 4_000, 0);
    let listed = sample_worker("w-1", 64_000);
    let name = listed.name.clone();
    schedule.upsert_worker(listed);
    let serving = StepPlan {
        target_ms: Some(100),
        ..long_running_step(4_000)
    };
    let best_effort = StepPlan {
        best_effort: true,
        ..long_running_step(60_000)
    };
    let run_base = if taken_over { 1_000 } else { 0 };
    schedule.add_job(
        sample_job("serving", serving),
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
    let mut running = Vec::new();
    let report = |running: &[ReportedRun], schedule: &mut FleetSchedule, step: u64| {
        let report = WorkerReport {
            started_ms: None,
            clock_ms: NOW_MS + step * REPORT_MS,
            running: running.to_vec(),
            finished: Vec::new(),
            ..WorkerReport::default()
        };
        schedule.apply_report(&name, &report, NOW_MS + step * REPORT_MS, WALL_MS)
    };
    let reported = |task, run, metric| ReportedRun {
        task,
        run,
        checkpoint: Arc::from(""),
        progress_percent: 100.0,
        metric,
    };
    if taken_over {
        running.push(reported(
            "serving.0.0.0".parse().expect("a task"),
            1,
            latency_ms,
        ));
        running.push(reported(
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
            running.push(reported(start.task, start.run, latency_ms));
        }
        assert_eq!(running.len(), 2, "both run");
    }
    let mut sent = 0;
    for step in 1..4 {
        for order in report(&running, &mut schedule, step) {
            if let WorkerOrder::Pace(order, _) = order {
                sent += 1;
                if unanswered && sent == 1 {
                    schedule.mark_pace_unconfirmed(&order);
                }
            }
        }
    }
    assert_eq!(sent, orders_sent);
}

named_cases! { report_paces_best_effort:
    low_tail_latency_needs_no_order(20.0, false, false, 0);
    tail_latency_below_target_needs_no_order(80.0, false, false, 0);
    tail_latency_over_target_pauses_the_best_effort_task(150.0, false, false, 2);
    unanswered_pace_order_is_resent(150.0, true, false, 3);
    new_owner_sends_the_pace(80.0, false, true, 1);
}

/// A new owner sends the pace of a best-effort run that it restored from a worker snapshot, since
/// the earlier owner may have slowed it.
#[test]
fn new_owner_sends_the_pace_of_a_restored_run() {
    let mut schedule = FleetSchedule::new(OrderRule::default(), 4_000, NOW_MS + 8_000);
    let best_effort = StepPlan {
        best_effort: true,
        ..long_running_step(60_000)
    };
    let record = sample_job("best-effort", best_effort);
    schedule.add_job(record, None, 1_000, NOW_MS, WALL_MS);
    let listed = sample_worker("w-1", 64_000);
    let task: TaskName = "best-effort.0.0.0".parse().expect("a task");
    let unreachable = UnreachableRuns {
        runs: vec![(task.clone(), 1)],
        lease_left_ms: 4_000,
    };
    let snapshot = WorkerSnapshot {
        listed: listed.clone(),
        unreachable: Some(unreachable),
    };
    schedule.restore_worker(snapshot, NOW_MS);
    schedule.upsert_worker(listed.clone());
    let row = ReportedRun {
        task,
        run: 1,
        checkpoint: Arc::from(""),
        progress_percent: 100.0,
        metric: 8_000.0,
    };
    let report = WorkerReport {
        clock_ms: NOW_MS,
        running: vec![row],
        ..WorkerReport::default()
    };
    let orders = schedule.apply_report(&listed.name, &report, NOW_MS, WALL_MS);
    let is_pace = |order: &&WorkerOrder| matches!(order, WorkerOrder::Pace(_, 100));
    assert_eq!(orders.iter().filter(is_pace).count(), 1, "{orders:?}");
}

/// A paused best-effort task that still uses the processor, since an earlier order for its pace
/// was carried out after the last one, is paused again.
fn pause_is_sent_again(metric_of_paused: f64, is_sent: bool) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), 4_000, 0);
    let listed = sample_worker("w-1", 64_000);
    let name = listed.name.clone();
    schedule.upsert_worker(listed);
    let serving = StepPlan {
        target_ms: Some(100),
        ..long_running_step(4_000)
    };
    let best_effort = StepPlan {
        best_effort: true,
        ..long_running_step(60_000)
    };
    schedule.add_job(sample_job("serving", serving), None, 0, NOW_MS, WALL_MS);
    schedule.add_job(sample_job("filling", best_effort), None, 0, NOW_MS, WALL_MS);
    schedule.apply_report(&name, &WorkerReport::default(), NOW_MS, WALL_MS);
    let mut running = Vec::new();
    for order in schedule.plan_starts(NOW_MS, WALL_MS, u64::MAX) {
        let WorkerOrder::Start(start) = order else {
            continue;
        };
        let reply = StartReply::Started { clock_ms: 1 };
        schedule.apply_start_reply(&start.worker, &start.task, start.run, reply, NOW_MS);
        let is_serving = start.task.job.as_str() == "serving";
        running.push(ReportedRun {
            task: start.task,
            run: start.run,
            checkpoint: Arc::from(""),
            progress_percent: 100.0,
            metric: if is_serving { 150.0 } else { metric_of_paused },
        });
    }
    assert_eq!(running.len(), 2, "both run");
    let mut paces = Vec::new();
    for step in 1..=REPORTS_UNTIL_PAUSE + REPORTS_OVER_TARGET {
        let report = WorkerReport {
            clock_ms: NOW_MS + step * REPORT_MS,
            running: running.clone(),
            ..WorkerReport::default()
        };
        let orders = schedule.apply_report(&name, &report, NOW_MS + step * REPORT_MS, WALL_MS);
        paces.extend(orders.into_iter().filter_map(|order| match order {
            WorkerOrder::Pace(_, percent) => Some((step, percent)),
            WorkerOrder::Start(_) | WorkerOrder::Stop(_) => None,
        }));
    }
    let paused = paces.iter().find(|(_, percent)| *percent == 0);
    let (paused, _) = *paused.expect("it is paused");
    assert!(paused <= REPORTS_UNTIL_PAUSE, "paused at report {paused}");
    let again = paces.iter().any(|(step, _)| *step > paused);
    assert_eq!(again, is_sent, "{paces:?}");
}

named_cases! { pause_is_sent_again:
    pause_is_not_sent_again_to_task_that_paused(0.0, false);
    pause_is_sent_again_to_task_that_works_on(8_000.0, true);
}
