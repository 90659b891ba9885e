//! Tests of the schedule: starting, stopping and recording runs.

mod recorded_orders;

use {
    dotterelshore_domain::{
        names::{CentreName, InstanceName, JobName, PoolName, QueueName, WorkerName},
        schedule::{
            EndReason, EndedRun, FleetSchedule, JobPlan, JobRecord, JobState, ListedWorker,
            OrderRule, QueueTable, ReportedRun, Resources, RowOutcome, StartOrder, StartReply,
            StepPlan, TaskName, TeamRow, UnreachableRuns, WorkerOrder, WorkerReport,
            WorkerSnapshot,
        },
    },
    dotterelshore_testkit::named_cases,
    recorded_orders::recorded_orders,
    std::sync::Arc,
};

/// Worker lease, in milliseconds.
const LEASE_MS: u64 = 4_000;
/// Start time on the schedule's clock, in milliseconds.
const NOW_MS: u64 = 100_000;
/// Wall-clock time, in milliseconds since the Unix epoch.
const WALL_MS: u64 = 1_700_000_000_000;
/// Processor capacity of a worker, in thousandths of a core.
const WORKER_MILLI: u64 = 64_000;

fn name<T: TryFrom<&'static str>>(text: &'static str) -> T
where
    T::Error: std::fmt::Debug,
{
    T::try_from(text).expect("a name")
}

fn worker(text: &'static str) -> ListedWorker {
    ListedWorker {
        name: name(text),
        started_ms: 1,
        instance: Some(InstanceName::try_from(format!("host-{text}")).expect("a name")),
        address: Arc::from("127.0.0.1:1"),
        pool: name("proofs"),
        centre: name::<CentreName>("north"),
        labels: vec![Arc::from("a"), Arc::from("r1-1")],
        capacity: Resources {
            cpu_milli: WORKER_MILLI,
            memory_mb: 128_000,
            gpus: 0,
        },
        draining: false,
    }
}

fn step(count: u32) -> StepPlan {
    StepPlan {
        count,
        need: Resources {
            cpu_milli: 4_000,
            memory_mb: 1_000,
            gpus: 0,
        },
        estimate_ms: 800,
        ..StepPlan::default()
    }
}

fn long_running_step(count: u32, max_unavailable: u32) -> StepPlan {
    StepPlan {
        long_running: true,
        max_unavailable: Some(max_unavailable),
        ..step(count)
    }
}

fn job(text: &'static str, steps: Vec<StepPlan>) -> JobRecord {
    JobRecord {
        name: name(text),
        queue: name::<QueueName>("quick"),
        pool: name::<PoolName>("proofs"),
        team: None,
        accepted_ms: WALL_MS,
        priority: 0,
        attempts: 2,
        objective_factor: 1.6,
        target_latency_ms: 600,
        advised: false,
        plan: JobPlan {
            task_body: Arc::from("body"),
            steps,
            timed_occurrences: 0,
            start_at_ms: 0,
            interval_ms: 0,
        },
    }
}

/// Creates a schedule whose workers have all reported.
fn schedule(workers: &[&'static str]) -> FleetSchedule {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    for text in workers {
        schedule.upsert_worker(worker(text));
        send_report(&mut schedule, text, &WorkerReport::default());
    }
    schedule
}

fn send_report(
    schedule: &mut FleetSchedule,
    text: &'static str,
    report: &WorkerReport,
) -> Vec<WorkerOrder> {
    schedule.apply_report(&name(text), report, NOW_MS, WALL_MS)
}

fn add(schedule: &mut FleetSchedule, record: JobRecord) {
    schedule.add_job(record, None, 0, NOW_MS, WALL_MS);
}

fn starts(schedule: &mut FleetSchedule, now_ms: u64) -> Vec<StartOrder> {
    let orders = recorded_orders(schedule, now_ms, WALL_MS).into_iter();
    let starts = orders.filter_map(|order| match order {
        WorkerOrder::Start(start) => Some(start),
        WorkerOrder::Stop(_) | WorkerOrder::Pace(..) => None,
    });
    starts.collect()
}

fn confirm_start(schedule: &mut FleetSchedule, order: &StartOrder, clock_ms: u64) {
    let reply = StartReply::Started { clock_ms };
    schedule.apply_start_reply(&order.worker, &order.task, order.run, reply, NOW_MS);
}

fn ready_run(order: &StartOrder) -> ReportedRun {
    ReportedRun {
        task: order.task.clone(),
        run: order.run,
        checkpoint: Arc::from(""),
        progress_percent: 100.0,
        metric: 0.0,
    }
}

fn ended(number: u64, task: &TaskName, run: u32, reason: EndReason) -> EndedRun {
    EndedRun {
        number,
        task: task.clone(),
        run,
        reason,
        checkpoint: Arc::from(""),
    }
}

fn finished(clock_ms: u64, finished: Vec<EndedRun>) -> WorkerReport {
    WorkerReport {
        clock_ms,
        finished,
        ..WorkerReport::default()
    }
}

/// A worker becomes unreachable while its lease is requested again and again. It must get no
/// renewal, or the task that it ran never starts elsewhere.
fn unreachable_worker_lease_expires(listed: bool, sole_owner: bool) {
    let mut schedule = schedule(&["w-1", "w-2"]);
    add(
        &mut schedule,
        job("long-running", vec![long_running_step(1, 1)]),
    );
    let started = starts(&mut schedule, NOW_MS);
    let [order] = &*started else {
        panic!("one start, not {started:?}");
    };
    assert!(schedule.renew_lease(&order.worker, NOW_MS), "a first lease");
    confirm_start(&mut schedule, order, 10);
    schedule.mark_unreachable(&order.worker);
    if !listed {
        schedule.unlist_worker(&order.worker, NOW_MS);
    }
    let mut now_ms = NOW_MS;
    while now_ms < NOW_MS + 2 * LEASE_MS {
        now_ms += 200;
        assert!(
            !schedule.renew_lease(&order.worker, now_ms),
            "a lease while unreachable"
        );
        schedule.tick(now_ms, sole_owner);
        let again = starts(&mut schedule, now_ms);
        if let [again] = &*again {
            assert!(sole_owner, "another owner may have extended the lease");
            assert!(now_ms > NOW_MS + LEASE_MS, "too early, at {now_ms}");
            assert_ne!(again.worker, order.worker, "the unreachable worker");
            assert!(again.run > order.run, "a higher run");
            return;
        }
    }
    assert!(!sole_owner, "never started again");
}

named_cases! { unreachable_worker_lease_expires:
    lease_of_unreachable_listed_worker_expires(true, true);
    lease_of_unreachable_unlisted_worker_expires(false, true);
    lease_of_unreachable_worker_may_be_extended_by_another_owner(true, false);
}

/// After a takeover, two workers report failed runs of one task. Each run counts, whatever the
/// order of the reports.
fn failed_runs_all_count(first: (&'static str, u32), second: (&'static str, u32)) {
    let mut schedule = schedule(&["w-1", "w-2"]);
    schedule.add_job(job("fails", vec![step(1)]), None, 2_000, NOW_MS, WALL_MS);
    let task: TaskName = "fails.0.0.0".parse().expect("a task");
    for (worker, run) in [first, second] {
        let end = ended(1, &task, run, EndReason::Failed);
        send_report(&mut schedule, worker, &finished(20, vec![end]));
    }
    let batch = schedule.take_progress_batch();
    schedule.mark_progress_recorded(&batch);
    assert_eq!(schedule.state(&name("fails")), Some(JobState::Failed));
    assert!(starts(&mut schedule, NOW_MS).is_empty(), "no further run");
}

named_cases! { failed_runs_all_count:
    failed_runs_count_when_reported_in_order(("w-1", 1), ("w-2", 2));
    failed_runs_count_when_reported_in_reverse(("w-2", 2), ("w-1", 1));
}

/// A run end is acknowledged only once the job's progress is recorded.
fn end_acknowledged_after_record(write_fails: bool) {
    let mut schedule = schedule(&["w-1"]);
    add(&mut schedule, job("done", vec![step(1)]));
    let started = starts(&mut schedule, NOW_MS);
    confirm_start(&mut schedule, &started[0], 10);
    let end = ended(1, &started[0].task, started[0].run, EndReason::Done);
    send_report(&mut schedule, "w-1", &finished(20, vec![end]));
    let recorded_end = |schedule: &FleetSchedule| {
        schedule
            .worker(&name::<WorkerName>("w-1"))
            .map(|status| status.recorded_end)
    };
    assert_eq!(schedule.state(&name("done")), Some(JobState::Running));
    assert_eq!(recorded_end(&schedule), Some(0));
    if write_fails {
        let batch = schedule.take_progress_batch();
        let (job, _) = batch.records.first().expect("a record");
        schedule.requeue_progress(job);
        assert_eq!(recorded_end(&schedule), Some(0));
        assert_eq!(schedule.state(&name("done")), Some(JobState::Running));
    }
    let batch = schedule.take_progress_batch();
    assert_eq!(batch.records.len(), 1, "the progress is to be recorded");
    schedule.mark_progress_recorded(&batch);
    assert_eq!(recorded_end(&schedule), Some(1));
    assert_eq!(schedule.state(&name("done")), Some(JobState::Completed));
}

named_cases! { end_acknowledged_after_record:
    run_end_is_acknowledged_after_its_record(false);
    run_end_is_recorded_again_after_a_lost_write(true);
}

/// A worker that was unreachable gets no acknowledgement until it reports again. It may have
/// restarted under its name, and then its new ends have the old numbers.
fn acknowledged_end_after_silence(reports_again: Option<u64>, acknowledged_end: u64) {
    let mut schedule = schedule(&["w-1"]);
    add(&mut schedule, job("done", vec![step(1)]));
    let started = starts(&mut schedule, NOW_MS);
    confirm_start(&mut schedule, &started[0], 10);
    let end = ended(5, &started[0].task, started[0].run, EndReason::Done);
    send_report(&mut schedule, "w-1", &finished(20, vec![end]));
    let batch = schedule.take_progress_batch();
    schedule.mark_progress_recorded(&batch);
    assert_eq!(schedule.acknowledged_end(&name("w-1")), 5);
    schedule.mark_unreachable(&name("w-1"));
    if let Some(started_ms) = reports_again {
        let report = WorkerReport {
            started_ms: Some(started_ms),
            ..finished(1, Vec::new())
        };
        send_report(&mut schedule, "w-1", &report);
    }
    assert_eq!(schedule.acknowledged_end(&name("w-1")), acknowledged_end);
}

named_cases! { acknowledged_end_after_silence:
    unreachable_worker_gets_no_acknowledgement(None, 0);
    same_incarnation_gets_the_same_acknowledgement(Some(1), 5);
    new_incarnation_gets_no_acknowledgement(Some(2), 0);
}

/// A start order that was delayed until its run was given up is void.
fn delayed_start_order(given_up: bool) {
    let mut schedule = schedule(&["w-1", "w-2"]);
    add(&mut schedule, job("delayed", vec![step(1)]));
    let started = starts(&mut schedule, NOW_MS);
    let order = &started[0];
    assert!(schedule.renew_lease(&order.worker, NOW_MS), "a lease");
    let now_ms = NOW_MS + 2 * LEASE_MS;
    if given_up {
        schedule.mark_unreachable(&order.worker);
        schedule.tick(now_ms, true);
        assert_eq!(starts(&mut schedule, now_ms).len(), 1, "started elsewhere");
    }
    assert_eq!(schedule.is_start_pending(order), !given_up);
}

named_cases! { delayed_start_order:
    start_order_is_valid_while_its_run_is_pending(false);
    start_order_is_void_once_its_run_is_given_up(true);
}

/// An unanswered start is ruled out by a stop before the task starts elsewhere.
fn unanswered_start(reported_later: bool) {
    let mut schedule = schedule(&["w-1", "w-2"]);
    add(&mut schedule, job("unconfirmed", vec![step(1)]));
    let started = starts(&mut schedule, NOW_MS);
    let order = &started[0];
    let worker = order.worker.clone();
    assert!(schedule.renew_lease(&worker, NOW_MS), "a lease");
    schedule.apply_start_reply(&worker, &order.task, order.run, StartReply::Unknown, NOW_MS);
    if reported_later {
        let report = WorkerReport {
            clock_ms: 30,
            running: vec![ready_run(order)],
            ..WorkerReport::default()
        };
        schedule.apply_report(&worker, &report, NOW_MS + 50, WALL_MS);
        assert!(schedule.tick(NOW_MS + 1_000, true).is_empty(), "it runs");
        return;
    }
    let orders = schedule.tick(NOW_MS + 1_000, true);
    let [WorkerOrder::Stop(stop)] = &*orders else {
        panic!("one stop, not {orders:?}");
    };
    let empty = |clock_ms| finished(clock_ms, Vec::new());
    schedule.apply_report(&worker, &empty(40), NOW_MS + 1_010, WALL_MS);
    assert!(
        starts(&mut schedule, NOW_MS + 1_010).is_empty(),
        "the first start is not ruled out yet"
    );
    schedule.confirm_stop(stop, 50);
    schedule.apply_report(&worker, &empty(60), NOW_MS + 1_020, WALL_MS);
    let again = starts(&mut schedule, NOW_MS + 1_020);
    assert_eq!(again.len(), 1, "started again");
    assert!(again[0].run > order.run, "under a higher run");
}

named_cases! { unanswered_start:
    unanswered_start_that_is_reported_goes_on(true);
    unanswered_start_is_ruled_out_before_a_restart(false);
}

/// Draining a worker stops no more long-running tasks of a step at a time than may be
/// unavailable, beside another worker that may take them.
fn drain_keeps_max_unavailable(tasks: u32, max_unavailable: u32, stopped: usize) {
    let mut schedule = schedule(&["w-1"]);
    add(
        &mut schedule,
        job(
            "long-running",
            vec![long_running_step(tasks, max_unavailable)],
        ),
    );
    let started = starts(&mut schedule, NOW_MS);
    for order in &started {
        confirm_start(&mut schedule, order, 10);
    }
    let report = WorkerReport {
        clock_ms: 20,
        running: started.iter().map(ready_run).collect(),
        ..WorkerReport::default()
    };
    send_report(&mut schedule, "w-1", &report);
    schedule.upsert_worker(worker("w-2"));
    send_report(&mut schedule, "w-2", &WorkerReport::default());
    let host = name::<WorkerName>("w-1");
    let fits = started.len() <= max_unavailable as usize;
    assert_eq!(schedule.allows_disruption(&host), fits);
    assert_eq!(schedule.drain_worker(&host, NOW_MS).len(), stopped);
    assert!(
        schedule.drain_worker(&host, NOW_MS).len() < stopped.max(1),
        "no more at once"
    );
}

named_cases! { drain_keeps_max_unavailable:
    drain_stops_one_of_three_tasks(3, 1, 1);
    drain_stops_two_of_five_tasks(5, 2, 2);
    drain_stops_a_single_task(1, 1, 1);
}

/// After a takeover, an unreachable worker holds back what may run on it: all jobs of its
/// pool, or only the runs recorded when the earlier owner lost contact.
fn unreported_worker_holds_back_tasks(recorded: bool, started_at_once: usize) {
    let unreachable = recorded.then(|| UnreachableRuns {
        runs: vec![("old.0.0.0".parse().expect("a task"), 1)],
        lease_left_ms: LEASE_MS,
    });
    let listed = worker("w-2");
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + 2 * LEASE_MS);
    schedule.add_job(job("old", vec![step(2)]), None, 2_000, NOW_MS, WALL_MS);
    schedule.restore_worker(
        WorkerSnapshot {
            listed,
            unreachable,
        },
        NOW_MS,
    );
    schedule.upsert_worker(worker("w-1"));
    send_report(&mut schedule, "w-1", &WorkerReport::default());
    assert_eq!(
        starts(&mut schedule, NOW_MS).len(),
        started_at_once,
        "at once"
    );
    schedule.tick(NOW_MS + 2 * LEASE_MS + 1, true);
    let later = starts(&mut schedule, NOW_MS + 2 * LEASE_MS + 1).len();
    assert_eq!(later + started_at_once, 2, "after the lease");
}

named_cases! { unreported_worker_holds_back_tasks:
    worker_with_unknown_runs_holds_back_its_pool(false, 0);
    worker_with_recorded_runs_holds_back_only_these(true, 1);
}

/// A reported run goes on, although a snapshot names an older run of the same task on a worker
/// that became unreachable. Both belong to the earlier owner.
fn reported_run_goes_on(recorded_run: u32, reported_run: u32) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + 2 * LEASE_MS);
    schedule.add_job(
        job("long-running", vec![long_running_step(1, 1)]),
        None,
        2_000,
        NOW_MS,
        WALL_MS,
    );
    let task: TaskName = "long-running.0.0.0".parse().expect("a task");
    let unreachable = UnreachableRuns {
        runs: vec![(task.clone(), recorded_run)],
        lease_left_ms: LEASE_MS,
    };
    let listed = worker("w-2");
    let unreachable = Some(unreachable);
    schedule.restore_worker(
        WorkerSnapshot {
            listed,
            unreachable,
        },
        NOW_MS,
    );
    schedule.upsert_worker(worker("w-1"));
    let row = ReportedRun {
        task,
        run: reported_run,
        checkpoint: Arc::from(""),
        progress_percent: 100.0,
        metric: 0.0,
    };
    let report = WorkerReport {
        clock_ms: 20,
        running: vec![row],
        ..WorkerReport::default()
    };
    assert_eq!(
        send_report(&mut schedule, "w-1", &report),
        Vec::new(),
        "no order to stop it"
    );
    assert!(starts(&mut schedule, NOW_MS).is_empty(), "it runs");
}

named_cases! { reported_run_goes_on:
    next_run_supersedes_the_recorded_one(1, 2);
    much_later_run_supersedes_the_recorded_one(1, 1_001);
}

/// The recorded run of an unreachable worker has ended if the worker reports without it.
fn recorded_run_after_report(listed: bool) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + 2 * LEASE_MS);
    schedule.add_job(job("old", vec![step(1)]), None, 2_000, NOW_MS, WALL_MS);
    let task: TaskName = "old.0.0.0".parse().expect("a task");
    let unreachable = Some(UnreachableRuns {
        runs: vec![(task.clone(), 1)],
        lease_left_ms: LEASE_MS,
    });
    let snapshot = WorkerSnapshot {
        listed: worker("w-1"),
        unreachable,
    };
    schedule.restore_worker(snapshot, NOW_MS);
    schedule.upsert_worker(worker("w-1"));
    let row = ReportedRun {
        task,
        run: 1,
        checkpoint: Arc::from(""),
        progress_percent: 50.0,
        metric: 0.0,
    };
    let report = WorkerReport {
        clock_ms: 20,
        running: if listed { vec![row] } else { Vec::new() },
        ..WorkerReport::default()
    };
    send_report(&mut schedule, "w-1", &report);
    let recorded = schedule.worker_snapshots(NOW_MS);
    schedule.finish_snapshot_write(&recorded);
    assert_eq!(starts(&mut schedule, NOW_MS).len(), usize::from(!listed));
}

named_cases! { recorded_run_after_report:
    recorded_run_goes_on_if_reported(true);
    recorded_run_restarts_if_not_reported(false);
}

/// A restored run of an occurrence that is not due yet by this owner's clock, since the earlier
/// owner's clock was ahead, keeps its task from starting twice once the occurrence is due.
fn restored_run_keeps_its_task(occurrence: u32) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    let mut record = job("timed", vec![step(1)]);
    record.plan.timed_occurrences = occurrence + 1;
    record.plan.interval_ms = 1;
    record.plan.start_at_ms = WALL_MS + 500 - u64::from(occurrence);
    schedule.add_job(record, None, 2_000, NOW_MS, WALL_MS);
    let task: TaskName = format!("timed.{occurrence}.0.0").parse().expect("a task");
    let unreachable = Some(UnreachableRuns {
        runs: vec![(task.clone(), 1)],
        lease_left_ms: LEASE_MS,
    });
    let snapshot = WorkerSnapshot {
        listed: worker("w-2"),
        unreachable,
    };
    schedule.restore_worker(snapshot, NOW_MS);
    schedule.upsert_worker(worker("w-1"));
    send_report(&mut schedule, "w-1", &WorkerReport::default());
    let orders = schedule.plan_starts(NOW_MS + 600, WALL_MS + 600, u64::MAX);
    let starts_again =
        |order: &&WorkerOrder| matches!(order, WorkerOrder::Start(start) if start.task == task);
    assert_eq!(orders.iter().find(starts_again), None);
}

named_cases! { restored_run_keeps_its_task:
    restored_run_of_first_occurrence_does_not_start_twice(0);
    restored_run_of_later_occurrence_does_not_start_twice(2);
}

/// A job added while another owner may have had the schedule waits until ownership is
/// confirmed again. One added before that does not wait.
fn job_waits_for_ownership(added_ms: u64, at_once: usize) {
    let mut schedule = schedule(&["w-1"]);
    schedule.add_job(job("new", vec![step(1)]), None, 0, added_ms, WALL_MS);
    let sole_until_ms = NOW_MS;
    let now_ms = NOW_MS + 500;
    let first = schedule.plan_starts(now_ms, WALL_MS, sole_until_ms);
    assert_eq!(first.len(), at_once, "while ownership is unconfirmed");
    let confirmed = schedule.plan_starts(now_ms + 10, WALL_MS, now_ms + 1_000);
    assert_eq!(first.len() + confirmed.len(), 1, "once confirmed");
}

named_cases! { job_waits_for_ownership:
    job_added_under_sole_ownership_starts(NOW_MS - 1, 1);
    job_added_later_waits_for_confirmed_ownership(NOW_MS + 300, 0);
}

/// A schedule can be handed over only after it was taken over. Before that, its records would
/// claim that no worker can run anything.
fn hand_over_after_takeover(taken_over: bool, left_ms: Option<u64>) {
    let schedule = if taken_over {
        FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + 700)
    } else {
        FleetSchedule::default()
    };
    assert_eq!(schedule.orphans_left_ms(NOW_MS), left_ms);
}

named_cases! { hand_over_after_takeover:
    schedule_can_be_handed_over_after_takeover(true, Some(700));
    schedule_cannot_be_handed_over_while_it_is_read(false, None);
}

/// A worker recorded as unreachable gets no tasks until another snapshot is stored.
fn recorded_unreachable_worker_waits(recorded: bool) {
    let mut schedule = schedule(&["w-1"]);
    schedule.mark_unreachable(&name("w-1"));
    let snapshots = schedule.worker_snapshots(NOW_MS);
    schedule.begin_snapshot_write(&snapshots);
    send_report(&mut schedule, "w-1", &WorkerReport::default());
    add(&mut schedule, job("new", vec![step(1)]));
    assert!(
        starts(&mut schedule, NOW_MS).is_empty(),
        "recorded as unreachable"
    );
    if recorded {
        let snapshots = schedule.worker_snapshots(NOW_MS);
        schedule.finish_snapshot_write(&snapshots);
    }
    assert_eq!(starts(&mut schedule, NOW_MS).len(), usize::from(recorded));
}

named_cases! { recorded_unreachable_worker_waits:
    worker_that_reports_again_waits_for_a_snapshot(false);
    worker_recorded_as_reachable_gets_tasks(true);
}

/// The tasks of an instance that is being disrupted count as unavailable, although its worker
/// still reports them as ready. No other task of their step is stopped.
fn disruption_counts_as_unavailable(confirmed: bool) {
    let mut schedule = schedule(&["w-1", "w-2"]);
    add(
        &mut schedule,
        job("long-running", vec![long_running_step(2, 1)]),
    );
    let started = starts(&mut schedule, NOW_MS);
    assert_ne!(started[0].worker, started[1].worker, "the tasks are spread");
    let report_all = |schedule: &mut FleetSchedule, clock_ms| {
        for order in &started {
            let report = WorkerReport {
                clock_ms,
                running: vec![ready_run(order)],
                ..WorkerReport::default()
            };
            schedule.apply_report(&order.worker, &report, NOW_MS, WALL_MS);
        }
    };
    for order in &started {
        confirm_start(&mut schedule, order, 10);
    }
    report_all(&mut schedule, 20);
    assert!(
        schedule.allows_disruption(&started[0].worker),
        "one may be unavailable"
    );
    schedule.begin_disruption(&started[0].worker);
    if confirmed {
        schedule.confirm_disruption(&started[0].worker, NOW_MS);
    }
    report_all(&mut schedule, 30);
    assert!(
        !schedule.allows_disruption(&started[1].worker),
        "a second one exceeds the limit"
    );
    assert_eq!(
        schedule.drain_worker(&started[1].worker, NOW_MS),
        Vec::new()
    );
}

named_cases! { disruption_counts_as_unavailable:
    disruption_in_flight_counts_as_unavailable(false);
    confirmed_disruption_counts_as_unavailable(true);
}

/// After a confirmed order for its instance, a worker is unlisted while its run goes on; the task
/// starts elsewhere at once, or only once the run has surely ended.
fn unlisted_after_order(repeated: bool, starts_elsewhere: usize) {
    let mut schedule = schedule(&["w-1", "w-2"]);
    add(&mut schedule, job("ordered", vec![step(1)]));
    let started = starts(&mut schedule, NOW_MS);
    let worker = &started[0].worker;
    confirm_start(&mut schedule, &started[0], 10);
    schedule.renew_lease(worker, NOW_MS);
    if repeated {
        schedule.confirm_repeated_disruption(worker, NOW_MS);
    } else {
        schedule.confirm_disruption(worker, NOW_MS);
    }
    schedule.unlist_worker(worker, NOW_MS + 300);
    assert_eq!(starts(&mut schedule, NOW_MS + 400).len(), starts_elsewhere);
}

named_cases! { unlisted_after_order:
    task_of_a_worker_that_an_order_ended_starts_elsewhere(false, 1);
    task_of_a_worker_that_may_outlive_a_repeated_order_does_not_start_twice(true, 0);
}

/// A step whose tasks take 400 s, so that a sound one shows the same percent for 4 s.
fn long_step() -> StepPlan {
    StepPlan {
        estimate_ms: 400_000,
        ..step(1)
    }
}

/// A run without progress is stopped and its worker ejected. One that progresses and a ready
/// long-running one go on.
fn stalled_run(step: StepPlan, percents: &[f64], stopped: bool) {
    let mut schedule = schedule(&["w-1"]);
    add(&mut schedule, job("stalled", vec![step]));
    let started = starts(&mut schedule, NOW_MS);
    let order = &started[0];
    confirm_start(&mut schedule, order, 10);
    let mut orders = Vec::new();
    for (poll, percent) in (1u64..).zip(percents) {
        let row = ReportedRun {
            progress_percent: *percent,
            ..ready_run(order)
        };
        let report = WorkerReport {
            clock_ms: 10 + poll,
            running: vec![row],
            ..WorkerReport::default()
        };
        orders.extend(schedule.apply_report(
            &order.worker,
            &report,
            NOW_MS + poll * 1_000,
            WALL_MS,
        ));
    }
    assert_eq!(!orders.is_empty(), stopped, "{orders:?}");
}

named_cases! { stalled_run:
    stalled_run_is_stopped(step(1), &[20.0, 20.0, 20.0, 20.0], true);
    slow_run_goes_on(step(1), &[20.0, 21.0, 22.0, 23.0], false);
    run_of_long_task_goes_on(long_step(), &[1.0, 1.0, 1.0, 1.0, 2.0], false);
    stalled_run_of_long_task_is_stopped(long_step(), &[1.0; 30], true);
    ready_long_running_task_goes_on(long_running_step(1, 1), &[100.0, 100.0, 100.0, 100.0], false);
    long_running_task_that_never_gets_ready_is_stopped(long_running_step(1, 1), &[0.0, 0.0, 0.0, 0.0], true);
}

/// A listing that repeats the previous one changes nothing; any other does.
fn listing_changes_worker(change: fn(&mut ListedWorker), changed: bool) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    assert_eq!(
        schedule.upsert_worker(worker("w-1")),
        RowOutcome::Applied,
        "the first listing"
    );
    let mut next = worker("w-1");
    change(&mut next);
    assert_eq!(schedule.upsert_worker(next) == RowOutcome::Applied, changed);
}

named_cases! { listing_changes_worker:
    same_listing_is_no_change(|_| {}, false);
    draining_is_a_change(|listed| listed.draining = true, true);
    new_incarnation_is_a_change(|listed| listed.started_ms += 1, true);
}

/// An earlier owner, whose clock is ahead, started an occurrence that is not due here yet. Its
/// runs go on, its ends count, and none of its tasks starts twice or too early.
fn occurrence_started_ahead(listed: bool, ended_there: bool, started_at_due: usize) {
    let ahead_ms = 100;
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    for text in ["w-1", "w-2"] {
        schedule.upsert_worker(worker(text));
    }
    let mut timed = job("timed", vec![step(1)]);
    timed.plan.timed_occurrences = 2;
    timed.plan.start_at_ms = WALL_MS - 1_000;
    timed.plan.interval_ms = 1_000 + ahead_ms;
    schedule.add_job(timed, None, 1_000, NOW_MS, WALL_MS);
    let task = |occurrence| TaskName {
        job: name("timed"),
        occurrence,
        step: 0,
        index: 0,
    };
    let row = ReportedRun {
        task: task(1),
        run: 1,
        checkpoint: Arc::from(""),
        progress_percent: 10.0,
        metric: 0.0,
    };
    let mut report = WorkerReport {
        clock_ms: 5,
        ..WorkerReport::default()
    };
    report.finished.push(ended(1, &task(0), 1, EndReason::Done));
    if ended_there {
        report.finished.push(ended(2, &task(1), 1, EndReason::Done));
    } else if listed {
        report.running.push(row);
    }
    let orders = send_report(&mut schedule, "w-1", &report);
    assert_eq!(orders, Vec::new(), "it goes on");
    send_report(&mut schedule, "w-2", &WorkerReport::default());
    assert_eq!(starts(&mut schedule, NOW_MS), Vec::new(), "it is not due");
    let due = schedule.plan_starts(NOW_MS + ahead_ms, WALL_MS + ahead_ms, u64::MAX);
    assert_eq!(due.len(), started_at_due, "{due:?}");
}

named_cases! { occurrence_started_ahead:
    occurrence_without_runs_starts_when_due(false, false, 1);
    running_occurrence_starts_no_more_when_due(true, false, 0);
    ended_occurrence_starts_no_more_when_due(false, true, 0);
}

/// Possible orphaned runs on workers that have not reported to the new owner count towards a
/// team's ceiling.
fn orphaned_runs_count_towards_ceiling(orphans_expired: bool, taken_over: bool, started: usize) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + LEASE_MS);
    let team = || Some(name("alpha"));
    let mut table = QueueTable::default();
    table.teams.insert(
        name("alpha"),
        Arc::new(TeamRow {
            name: name("alpha"),
            weight: 1.0,
            ceiling: Resources {
                cpu_milli: 4 * step(1).need.cpu_milli,
                ..Resources::default()
            },
            keys: Vec::new(),
        }),
    );
    schedule.set_table(&table);
    let mut unreported = worker("w-unreported");
    unreported.pool = name("other");
    schedule.upsert_worker(unreported);
    schedule.upsert_worker(worker("w-1"));
    send_report(&mut schedule, "w-1", &WorkerReport::default());
    let mut inherited = job("inherited", vec![step(3)]);
    inherited.pool = name("other");
    inherited.team = team();
    let run_base = if taken_over { 1_000 } else { 0 };
    schedule.add_job(inherited, None, run_base, NOW_MS, WALL_MS);
    let mut new = job("new", vec![step(4)]);
    new.team = team();
    schedule.add_job(new, None, 0, NOW_MS, WALL_MS);
    if orphans_expired {
        schedule.unlist_worker(&name("w-unreported"), NOW_MS);
        schedule.tick(NOW_MS + 2 * LEASE_MS, true);
    }
    let orders = starts(&mut schedule, NOW_MS);
    let new_ones = orders.iter().filter(|order| order.task.job == name("new"));
    assert_eq!(new_ones.count(), started);
}

named_cases! { orphaned_runs_count_towards_ceiling:
    three_orphaned_runs_leave_room_for_one(false, true, 1);
    expired_orphaned_runs_do_not_count(true, true, 4);
    job_of_this_owner_has_no_orphaned_runs(false, false, 4);
}

/// A worker with a long-running task that is not ready yet is recognised, so that it is polled
/// more often.
fn unready_task(progress_percent: f64, long_running: bool, unready: bool) {
    let mut schedule = schedule(&["w-1"]);
    let plan = if long_running {
        long_running_step(1, 1)
    } else {
        step(1)
    };
    add(&mut schedule, job("a", vec![plan]));
    let order = starts(&mut schedule, NOW_MS).remove(0);
    confirm_start(&mut schedule, &order, 1);
    let report = WorkerReport {
        clock_ms: 2,
        running: vec![ReportedRun {
            progress_percent,
            ..ready_run(&order)
        }],
        ..WorkerReport::default()
    };
    send_report(&mut schedule, "w-1", &report);
    assert_eq!(schedule.has_unready_task(&name("w-1")), unready);
}

named_cases! { unready_task:
    starting_long_running_task_is_unready(40.0, true, true);
    ready_long_running_task_is_not_unready(100.0, true, false);
    finite_task_is_never_unready(40.0, false, false);
}

/// When the pool is full, a team that submits many times its share does not displace one
/// within its share. With room for all, every job starts.
fn share_when_full(weight: f64, workers: &[&'static str], calm_starts: usize) {
    let mut schedule = schedule(workers);
    let mut table = QueueTable::default();
    for team in ["hot", "calm"] {
        let row = TeamRow {
            name: name(team),
            weight,
            ceiling: Resources::default(),
            keys: Vec::new(),
        };
        table.teams.insert(name(team), Arc::new(row));
    }
    schedule.set_table(&table);
    let wide = StepPlan {
        need: Resources {
            cpu_milli: WORKER_MILLI / 4,
            ..step(1).need
        },
        ..step(1)
    };
    let mut add_for = |text: &str, team: &'static str, now_ms: u64| {
        let mut record = job("by-team", vec![wide.clone()]);
        record.name = JobName::try_from(text).expect("a name");
        record.team = Some(name(team));
        schedule.add_job(record, None, 0, now_ms, WALL_MS);
    };
    for number in 0..30 {
        add_for(&format!("hot-{number}"), "hot", NOW_MS);
    }
    for number in 0..4 {
        add_for(&format!("calm-{number}"), "calm", NOW_MS + 10);
    }
    let orders = starts(&mut schedule, NOW_MS + 20);
    let calm = orders
        .iter()
        .filter(|order| order.task.job.as_str().starts_with("calm"));
    assert_eq!(calm.count(), calm_starts, "of {} starts", orders.len());
}

named_cases! { share_when_full:
    team_over_its_share_waits(1.0, &["w-1", "w-2", "w-3"], 4);
    jobs_without_shares_start_in_order_of_arrival(0.0, &["w-1", "w-2", "w-3"], 0);
    all_teams_start_with_room_for_all(1.0, &["w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7", "w-8", "w-9"], 4);
}

/// A worker that is recorded as unreachable and reports again gets no longer lease before
/// another snapshot is stored: the next owner would end its runs by the lease in the old one.
fn lease_of_recorded_unreachable(unreachable: bool, recorded_again: bool, granted: bool) {
    let mut schedule = schedule(&["w-1"]);
    if unreachable {
        schedule.mark_unreachable(&name("w-1"));
    }
    let snapshots = schedule.worker_snapshots(NOW_MS);
    schedule.begin_snapshot_write(&snapshots);
    schedule.finish_snapshot_write(&snapshots);
    send_report(&mut schedule, "w-1", &WorkerReport::default());
    if recorded_again {
        let snapshots = schedule.worker_snapshots(NOW_MS);
        schedule.begin_snapshot_write(&snapshots);
        schedule.finish_snapshot_write(&snapshots);
    }
    assert_eq!(schedule.renew_lease(&name("w-1"), NOW_MS), granted);
}

named_cases! { lease_of_recorded_unreachable:
    worker_never_unreachable_gets_a_lease(false, false, true);
    worker_recorded_as_unreachable_gets_no_lease(true, false, false);
    worker_recorded_as_reachable_again_gets_a_lease(true, true, true);
}
