//! Tests of listed workers that never report, and of numbers far beyond those of any worker or job.

mod recorded_orders;
mod samples;

use {
    dotterelshore_domain::{
        names::{InstanceName, JobName, PoolName, WorkerName},
        schedule::{
            FleetSchedule, InstanceActivity, InstanceOrder, InstancePlan, JobPlan, ListedInstance,
            ListedWorker, OrderRule, ReportedRun, Resources, StartOrder, StepPlan, WaveSpec,
            WorkerOrder, WorkerReport,
        },
    },
    dotterelshore_testkit::named_cases,
    recorded_orders::recorded_orders,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    std::sync::Arc,
};

/// Worker lease, in milliseconds.
const LEASE_MS: u64 = 4_000;
/// Start time of the sound worker, in milliseconds since the Unix epoch.
const STARTED_MS: u64 = WALL_MS - 60_000;
/// Processor capacity of the sound worker, in thousandths of a core.
const WORKER_MILLI: u64 = 16_000;
/// Run numbers of a second owner.
const RUN_BASE: u32 = 1_000;

fn worker_name(text: &str) -> WorkerName {
    WorkerName::try_from(text).expect("a name")
}

fn pool() -> PoolName {
    PoolName::try_from("proofs").expect("a name")
}

fn sound_worker() -> ListedWorker {
    ListedWorker {
        started_ms: STARTED_MS,
        instance: Some(InstanceName::try_from("m-1").expect("a name")),
        ..sample_worker("sound", WORKER_MILLI)
    }
}

fn odd_worker() -> ListedWorker {
    ListedWorker {
        name: worker_name("odd"),
        ..sound_worker()
    }
}

fn step(count: u32) -> StepPlan {
    StepPlan {
        count,
        need: Resources {
            cpu_milli: 4_000,
            ..Resources::default()
        },
        estimate_ms: 800,
        ..StepPlan::default()
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

fn report_of(started_ms: u64, orders: &[StartOrder]) -> WorkerReport {
    let running = orders.iter().map(|order| ReportedRun {
        task: order.task.clone(),
        run: order.run,
        checkpoint: Arc::from(""),
        progress_percent: 10.0,
        metric: 0.0,
    });
    WorkerReport {
        started_ms: Some(started_ms),
        clock_ms: 10,
        running: running.collect(),
        finished: Vec::new(),
        ..WorkerReport::default()
    }
}

/// A schedule with the sound worker, which runs the only task of a job.
fn schedule_with_run() -> (FleetSchedule, StartOrder) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    schedule.upsert_worker(sound_worker());
    let sound = worker_name("sound");
    schedule.apply_report(&sound, &report_of(STARTED_MS, &[]), NOW_MS, WALL_MS);
    schedule.add_job(sample_job("one", step(1)), None, 0, NOW_MS, WALL_MS);
    let order = starts(&mut schedule, NOW_MS).remove(0);
    let report = report_of(STARTED_MS, std::slice::from_ref(&order));
    schedule.apply_report(&sound, &report, NOW_MS, WALL_MS);
    (schedule, order)
}

/// A row that appears beside that of a live worker, or over it, and whose worker never reports,
/// starts no second run of a task that still runs.
fn run_goes_on(change: impl FnOnce(&mut ListedWorker)) {
    let (mut schedule, order) = schedule_with_run();
    let mut odd = odd_worker();
    change(&mut odd);
    schedule.upsert_worker(odd);
    schedule.upsert_worker(ListedWorker {
        instance: None,
        ..ListedWorker {
            name: worker_name("third"),
            ..sound_worker()
        }
    });
    let third = worker_name("third");
    schedule.apply_report(&third, &report_of(STARTED_MS, &[]), NOW_MS, WALL_MS);
    assert_eq!(starts(&mut schedule, NOW_MS), [], "the task still runs");
    let sound = schedule.worker(&order.worker).expect("the sound worker");
    assert!(sound.runs.contains(&(order.task.clone(), order.run)));
    assert_eq!(schedule.take_dropped_runs(), []);
}

named_cases! { run_goes_on:
    run_goes_on_beside_later_row_of_its_instance(|odd| odd.started_ms += 1);
    run_goes_on_beside_row_from_far_future(|odd| odd.started_ms = 10_000_000_000_000);
    run_goes_on_beside_earlier_row_of_its_instance(|odd| odd.started_ms = 1_000_000_000_000);
    run_goes_on_beside_row_with_its_start_time(|_| {});
    run_goes_on_under_row_without_start_time(|odd| {
        odd.name = worker_name("sound");
        odd.started_ms = 0;
    });
}

/// A later worker of an instance ends the runs of the earlier one with its first report.
fn later_worker_replaces(reports: bool) {
    let (mut schedule, order) = schedule_with_run();
    let mut later = odd_worker();
    later.started_ms += 1;
    schedule.upsert_worker(later);
    if reports {
        let report = report_of(STARTED_MS + 1, &[]);
        schedule.apply_report(&worker_name("odd"), &report, NOW_MS, WALL_MS);
    }
    assert_eq!(schedule.worker(&order.worker).is_none(), reports);
    assert_eq!(starts(&mut schedule, NOW_MS).len(), usize::from(reports));
}

named_cases! { later_worker_replaces:
    later_worker_that_reports_ends_earlier_runs(true);
    later_worker_that_never_reports_ends_no_runs(false);
}

/// The size of a pool's workers is that of workers that report, if any does.
fn worker_size(sound_reports: bool, odd_milli: u64, worker_milli: u64) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    schedule.upsert_worker(sound_worker());
    if sound_reports {
        let report = report_of(STARTED_MS, &[]);
        schedule.apply_report(&worker_name("sound"), &report, NOW_MS, WALL_MS);
    }
    let mut odd = odd_worker();
    odd.instance = None;
    odd.capacity.cpu_milli = odd_milli;
    odd.capacity.memory_mb = odd_milli;
    schedule.upsert_worker(odd);
    schedule.add_job(sample_job("one", step(1)), None, 0, NOW_MS, WALL_MS);
    let load = schedule.pool_loads(NOW_MS)[&pool()];
    assert_eq!(load.worker_milli, worker_milli);
}

named_cases! { worker_size:
    silent_worker_of_absurd_size_does_not_size_pool(true, 1_000_000_000, WORKER_MILLI);
    silent_worker_without_capacity_does_not_size_pool(true, 0, WORKER_MILLI);
    workers_size_pool_before_their_first_reports(false, 32_000, 32_000);
}

/// No instance moves to a pool whose only row is that of a worker that never reports.
fn moves_to_listed_pool(service: &str) {
    let (mut schedule, _) = schedule_with_run();
    let mut odd = odd_worker();
    odd.instance = None;
    odd.pool = PoolName::try_from(service).expect("a name");
    odd.capacity.cpu_milli = 1_000_000_000;
    schedule.upsert_worker(odd);
    let row = |number: usize, pool| ListedInstance {
        name: InstanceName::try_from(format!("m-{number}")).expect("a name"),
        pool,
        activity: InstanceActivity::Up,
        worker: None,
    };
    let spare = PoolName::try_from("spare").expect("a name");
    let mut rows = vec![row(1, pool())];
    rows.extend((2..9).map(|number| row(number, spare.clone())));
    let mut plan = InstancePlan::new(2_000, 64.0);
    plan.set_spare(Some(spare));
    plan.apply_instance_list(rows, NOW_MS);
    let (orders, _) = plan.plan(&mut schedule, NOW_MS);
    let odd_moves = orders.iter().filter(|order| match order {
        InstanceOrder::Move { pool, .. } => *pool != self::pool(),
        InstanceOrder::Maintain { .. } => true,
    });
    assert_eq!(odd_moves.count(), 0, "{orders:?}");
}

named_cases! { moves_to_listed_pool:
    no_instance_moves_to_pool_that_only_a_silent_worker_names("nowhere");
    silent_worker_in_spare_pool_moves_no_instance("spare");
}

/// Returns a plan with the instance of the sound worker.
fn plan_with_instance() -> (InstancePlan, InstanceName) {
    let instance = InstanceName::try_from("m-1").expect("a name");
    let mut plan = InstancePlan::new(2_000, 64.0);
    let row = ListedInstance {
        name: instance.clone(),
        pool: pool(),
        activity: InstanceActivity::Up,
        worker: None,
    };
    plan.apply_instance_list(vec![row], NOW_MS);
    (plan, instance)
}

/// An instance hosts the worker that reports, whatever other rows name the instance.
fn hosted_worker(change: impl FnOnce(&mut ListedWorker)) {
    let (mut schedule, _) = schedule_with_run();
    let mut odd = odd_worker();
    change(&mut odd);
    schedule.upsert_worker(odd);
    let (mut plan, instance) = plan_with_instance();
    let _orders = plan.plan(&mut schedule, NOW_MS);
    assert_eq!(plan.worker_of(&instance), Some(&worker_name("sound")));
}

named_cases! { hosted_worker:
    instance_hosts_worker_that_reports_beside_later_row(|odd| odd.started_ms += 1);
    instance_hosts_worker_that_reports_beside_earlier_row(|odd| odd.started_ms -= 1);
}

/// A wave maintains an instance although another row names the instance and its worker never
/// reports.
fn wave_begins(started_later_ms: u64) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    schedule.upsert_worker(sound_worker());
    let report = report_of(STARTED_MS, &[]);
    schedule.apply_report(&worker_name("sound"), &report, NOW_MS, WALL_MS);
    let mut odd = odd_worker();
    odd.started_ms += started_later_ms;
    schedule.upsert_worker(odd);
    let (mut plan, instance) = plan_with_instance();
    let spec = WaveSpec {
        number: 1,
        instances: vec![instance],
        duration_ms: 20_000,
        at_once: 1,
    };
    plan.add_wave(spec, None, NOW_MS, WALL_MS);
    let mut orders = Vec::new();
    for pass in 0..100 {
        orders.extend(plan.plan(&mut schedule, NOW_MS + pass * 150).0);
    }
    assert!(
        matches!(orders.first(), Some(InstanceOrder::Maintain { .. })),
        "{orders:?}"
    );
}

named_cases! { wave_begins:
    wave_begins_beside_later_row_of_silent_worker(1);
    wave_begins_beside_equal_row_of_silent_worker(0);
}

/// After a takeover a job starts at once although a listed worker never answered the earlier
/// owner.
fn job_starts_after_takeover(owners: usize) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    let mut now_ms = NOW_MS;
    for owner in 0..=owners {
        if owner > 0 {
            let snapshots = schedule.worker_snapshots(now_ms);
            let orphans_until_ms = now_ms + 2 * LEASE_MS;
            schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, orphans_until_ms);
            for snapshot in snapshots {
                schedule.restore_worker(snapshot, now_ms);
            }
        }
        let mut odd = odd_worker();
        odd.instance = None;
        schedule.upsert_worker(odd);
        schedule.mark_unreachable(&worker_name("odd"));
        schedule.upsert_worker(sound_worker());
        let report = report_of(STARTED_MS, &[]);
        schedule.apply_report(&worker_name("sound"), &report, now_ms, WALL_MS);
        now_ms += 100;
    }
    let record = sample_job("one", step(1));
    schedule.add_job(record, None, RUN_BASE, now_ms, WALL_MS);
    assert_eq!(starts(&mut schedule, now_ms).len(), 1, "starts at once");
}

named_cases! { job_starts_after_takeover:
    job_starts_at_once_after_takeover_beside_silent_worker(1);
    job_starts_at_once_after_second_takeover_beside_silent_worker(2);
}

/// A worker that may run tasks of an earlier owner is not recorded as free of runs.
fn unknown_runs_stay_unknown(now_ms: u64, recorded: bool) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + LEASE_MS);
    schedule.upsert_worker(odd_worker());
    schedule.mark_unreachable(&worker_name("odd"));
    let snapshots = schedule.worker_snapshots(now_ms);
    assert_eq!(snapshots[0].unreachable.is_some(), recorded);
}

named_cases! { unknown_runs_stay_unknown:
    silent_worker_may_have_runs_while_leases_last(NOW_MS, false);
    silent_worker_has_no_runs_after_leases(NOW_MS + LEASE_MS + 1, true);
}

/// A plan with these numbers is refused, or handled like any other.
fn numbers_of_plan(change: impl FnOnce(&mut JobPlan)) {
    let (mut schedule, _) = schedule_with_run();
    let mut record = sample_job("absurd", step(3));
    change(&mut record.plan);
    let name = JobName::try_from("absurd").expect("a name");
    record.team = Some("team".parse().expect("a name"));
    schedule.add_job(record, None, RUN_BASE, NOW_MS, WALL_MS);
    schedule.add_job(sample_job("sound", step(2)), None, 0, NOW_MS, WALL_MS);
    let _loads = schedule.pool_loads(NOW_MS);
    let started = starts(&mut schedule, NOW_MS);
    let sound = started.iter().filter(|order| order.task.job != name);
    assert_eq!(sound.count(), 2, "other jobs start");
    let _stops = schedule.cancel(&name, NOW_MS, WALL_MS);
}

named_cases! { numbers_of_plan:
    largest_processor_need_stops_no_other_job(|plan| plan.steps[0].need.cpu_milli = u64::MAX);
    largest_memory_need_stops_no_other_job(|plan| plan.steps[0].need.memory_mb = u64::MAX);
    largest_accelerator_need_stops_no_other_job(|plan| plan.steps[0].need.gpus = u64::MAX);
    largest_estimate_stops_no_other_job(|plan| plan.steps[0].estimate_ms = u64::MAX);
    largest_start_time_stops_no_other_job(|plan| {
        plan.timed_occurrences = 3;
        plan.start_at_ms = u64::MAX;
        plan.interval_ms = u64::MAX;
    });
}

/// A task starts again after its run ended without a report, whatever the number of the run.
fn highest_run_number(run: u32) {
    let (mut schedule, mut order) = schedule_with_run();
    let sound = worker_name("sound");
    order.run = run;
    let rows = [&[][..], std::slice::from_ref(&order), &[]];
    for (row, clock_ms) in rows.into_iter().zip([20, 30, 40]) {
        let mut report = report_of(STARTED_MS, row);
        report.clock_ms = clock_ms;
        schedule.apply_report(&sound, &report, NOW_MS, WALL_MS);
    }
    schedule.add_job(sample_job("sound", step(2)), None, 0, NOW_MS, WALL_MS);
    assert_eq!(starts(&mut schedule, NOW_MS).len(), 3);
}

named_cases! { highest_run_number:
    task_starts_again_after_run_without_end(7);
    highest_run_number_stops_no_planning(u32::MAX);
}

/// A plan whose tasks need more than any worker has is refused.
fn absurd_need(change: impl FnOnce(&mut Resources), accepted: bool) {
    let mut record = sample_job("absurd", step(1));
    change(&mut record.plan.steps[0].need);
    assert_eq!(record.plan.check().is_ok(), accepted);
}

named_cases! { absurd_need:
    largest_processor_need_is_refused(|need| need.cpu_milli = u64::MAX, false);
    largest_memory_need_is_refused(|need| need.memory_mb = u64::MAX, false);
    largest_accelerator_need_is_refused(|need| need.gpus = u64::MAX, false);
    need_of_a_million_cores_is_accepted(|need| need.cpu_milli = 1_000_000_000, true);
}

/// A wave with these numbers is added and begins.
fn numbers_of_wave(change: impl FnOnce(&mut WaveSpec)) {
    let (mut schedule, _) = schedule_with_run();
    let mut spec = WaveSpec {
        number: 1,
        instances: vec![InstanceName::try_from("m-1").expect("a name")],
        duration_ms: 20_000,
        at_once: 1,
    };
    change(&mut spec);
    let mut plan = InstancePlan::new(2_000, 64.0);
    plan.add_wave(spec, None, NOW_MS, WALL_MS);
    let _orders = plan.plan(&mut schedule, NOW_MS);
}

named_cases! { numbers_of_wave:
    largest_duration_of_wave_stops_no_planning(|spec| spec.duration_ms = u64::MAX);
    largest_cap_of_wave_stops_no_planning(|spec| spec.at_once = usize::MAX);
    largest_number_of_wave_stops_no_planning(|spec| spec.number = u64::MAX);
}
