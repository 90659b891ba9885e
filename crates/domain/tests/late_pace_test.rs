//! Tests of paces that do not take effect at the worker.

mod samples;

use {
    dotterelshore_domain::schedule::{
        FleetSchedule, OrderRule, ReportedRun, Resources, StartReply, StepPlan, WorkerOrder,
        WorkerReport,
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    std::sync::Arc,
};

/// Time between reports in these tests, in milliseconds.
const REPORT_MS: u64 = 500;
/// Reports until the best-effort task is paused.
const REPORTS_UNTIL_PAUSE: u64 = 6;
/// Reports in the longest time for which best-effort tasks may keep a serving task over its
/// target, by the users' rules.
const REPORTS_OVER_TARGET: u64 = 8;

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
