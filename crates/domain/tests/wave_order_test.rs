//! Tests of orders for instances that several waves name, or that host another worker than before.

mod samples;
mod start_samples;

use {
    dotterelshore_domain::{
        names::{InstanceName, PoolName, WorkerName},
        schedule::{
            FleetSchedule, InstanceActivity, InstancePlan, ListedInstance, ListedWorker, OrderRule,
            ReportedRun, StartOrder, WaveSpec, WorkerReport,
        },
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    start_samples::{ordered_starts, sample_step},
    std::sync::Arc,
};

const LEASE_MS: u64 = 3_600;
const MAINTENANCE_MS: u64 = 2_000;
/// Longer than a cordoned worker has for its tasks to end.
const DRAINED_MS: u64 = 3_000;

fn host() -> InstanceName {
    InstanceName::try_from("host-0").expect("a name")
}

/// A plan with one instance, and waves that name it.
fn plan_with_waves(waves: u64) -> InstancePlan {
    let mut plan = InstancePlan::new(MAINTENANCE_MS, 64.0);
    let row = ListedInstance {
        name: host(),
        pool: PoolName::try_from("proofs").expect("a name"),
        activity: InstanceActivity::Up,
        worker: None,
    };
    plan.apply_instance_list(vec![row], NOW_MS);
    for number in 1..=waves {
        let spec = WaveSpec {
            number,
            instances: vec![host()],
            // The second half of its time begins at once.
            duration_ms: 1,
            at_once: 1,
        };
        plan.add_wave(spec, None, NOW_MS, WALL_MS);
    }
    plan
}

/// Lists a worker on the instance, which reports a run if there is an order for it.
fn host_worker(schedule: &mut FleetSchedule, text: &str, started_ms: u64, now_ms: u64) {
    schedule.upsert_worker(ListedWorker {
        started_ms,
        instance: Some(host()),
        ..sample_worker(text, 8_000)
    });
    report(schedule, text, started_ms, &[], now_ms);
}

fn report(
    schedule: &mut FleetSchedule,
    text: &str,
    started_ms: u64,
    orders: &[StartOrder],
    now_ms: u64,
) {
    let running = orders.iter().map(|order| ReportedRun {
        task: order.task.clone(),
        run: order.run,
        checkpoint: Arc::from(""),
        progress_percent: 50.0,
        metric: 0.0,
    });
    let report = WorkerReport {
        started_ms: Some(started_ms),
        clock_ms: now_ms,
        running: running.collect(),
        ..WorkerReport::default()
    };
    let worker = WorkerName::try_from(text).expect("a name");
    schedule.apply_report(&worker, &report, now_ms, WALL_MS);
}

/// Two waves name the instance, and their earlier orders for it may be unanswered.
fn instance_is_ordered_once(are_unanswered: bool) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    host_worker(&mut schedule, "w-1", 1, NOW_MS);
    let mut plan = plan_with_waves(2);
    let orders = if are_unanswered {
        for wave in 1..=2 {
            plan.record_maintenance_start(&host(), wave, false, NOW_MS);
        }
        plan.resend_unanswered(&mut schedule, NOW_MS + 10)
    } else {
        plan.plan(&mut schedule, NOW_MS + 10).0
    };
    assert_eq!(orders.len(), 1, "{orders:?}");
}

named_cases! { instance_is_ordered_once:
    two_waves_order_an_instance_once_at_a_time(false);
    two_waves_repeat_their_order_once_at_a_time(true);
}

/// The tasks of a worker have their time to end, however long its instance was kept before.
fn cordon_drains_no_other(next: &str) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    host_worker(&mut schedule, "w-1", 1, NOW_MS);
    let job = sample_job("j-1", sample_step(1, 1_000));
    schedule.add_job(job, None, 0, NOW_MS, WALL_MS);
    let started = ordered_starts(&mut schedule, NOW_MS, WALL_MS);
    report(&mut schedule, "w-1", 1, &started, NOW_MS + 10);
    let mut plan = plan_with_waves(1);
    let (orders, _) = plan.plan(&mut schedule, NOW_MS + 20);
    assert_eq!(orders, [], "its task has time to end");

    let later_ms = NOW_MS + DRAINED_MS;
    host_worker(&mut schedule, next, 2, later_ms);
    let started = ordered_starts(&mut schedule, later_ms, WALL_MS);
    assert_eq!(started.len(), 1, "the task starts again");
    report(&mut schedule, next, 2, &started, later_ms + 10);
    let (orders, _) = plan.plan(&mut schedule, later_ms + 20);
    assert_eq!(orders, [], "its task has time to end, too");
}

named_cases! { cordon_drains_no_other:
    cordon_of_the_worker_before_drains_no_other("w-2");
    cordon_of_the_incarnation_before_drains_no_other("w-1");
}
