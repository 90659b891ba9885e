//! The schedule: what starts, what ends, what is recorded.

use {
    dotterelshore_domain::{
        names::{CentreName, InstanceName, JobName, PoolName, QueueName, WorkerName},
        schedule::{
            EndedRun, FleetSchedule, JobPlan, JobRecord, JobState, ListedWorker, OrderRule,
            QueueTable, ReportedRun, Resources, RunOutcome, StartOrder, StartReply, StepPlan,
            TaskName, TeamRow, UnreachableRuns, WorkerOrder, WorkerReport, WorkerSnapshot,
        },
    },
    dotterelshore_testkit::named_cases,
    std::sync::Arc,
};

/// How long workers are granted, in milliseconds.
const LEASE_MS: u64 = 4_000;
/// Some time of the schedule's clock, in milliseconds.
const NOW_MS: u64 = 100_000;
/// Some time of day, in milliseconds since the Unix epoch.
const WALL_MS: u64 = 1_700_000_000_000;
/// A worker's processor, in thousandths of a core.
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

fn lasting(count: u32, max_unavailable: u32) -> StepPlan {
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
            repeat_count: 0,
            start_at_ms: 0,
            interval_ms: 0,
        },
    }
}

/// A schedule whose workers have all been heard.
fn schedule(workers: &[&'static str]) -> FleetSchedule {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    for text in workers {
        schedule.upsert_worker(worker(text));
        hear(&mut schedule, text, &WorkerReport::default());
    }
    schedule
}

fn hear(
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
    let orders = schedule.plan_starts(now_ms, WALL_MS, u64::MAX).into_iter();
    let starts = orders.filter_map(|order| match order {
        WorkerOrder::Start(start) => Some(start),
        WorkerOrder::Stop(_) | WorkerOrder::Pace(..) => None,
    });
    starts.collect()
}

fn begin(schedule: &mut FleetSchedule, order: &StartOrder, clock_ms: u64) {
    let reply = StartReply::Started { clock_ms };
    schedule.apply_start_reply(&order.worker, &order.task, order.run, reply, NOW_MS);
}

fn at_work(order: &StartOrder) -> ReportedRun {
    ReportedRun {
        task: order.task.clone(),
        run: order.run,
        checkpoint: Arc::from(""),
        progress_percent: 100.0,
        metric: 0.0,
    }
}

fn ended(number: u64, task: &TaskName, run: u32, outcome: RunOutcome) -> EndedRun {
    EndedRun {
        number,
        task: task.clone(),
        run,
        outcome,
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

/// A worker goes dark; asked for a lease again and again, it must get none, or the task
/// that it ran is never started elsewhere.
fn dark_worker_lapses(listed: bool, sole_owner: bool) {
    let mut schedule = schedule(&["w-1", "w-2"]);
    add(&mut schedule, job("lasts", vec![lasting(1, 1)]));
    let started = starts(&mut schedule, NOW_MS);
    let [order] = &*started else {
        panic!("one start, not {started:?}");
    };
    assert!(schedule.renew_lease(&order.worker, NOW_MS), "a first lease");
    begin(&mut schedule, order, 10);
    schedule.mark_unreachable(&order.worker);
    if !listed {
        schedule.unlist_worker(&order.worker, NOW_MS);
    }
    let mut now_ms = NOW_MS;
    while now_ms < NOW_MS + 2 * LEASE_MS {
        now_ms += 200;
        assert!(
            !schedule.renew_lease(&order.worker, now_ms),
            "a lease while dark"
        );
        schedule.tick(now_ms, sole_owner);
        let again = starts(&mut schedule, now_ms);
        if let [again] = &*again {
            assert!(sole_owner, "another owner may have extended the lease");
            assert!(now_ms > NOW_MS + LEASE_MS, "too early, at {now_ms}");
            assert_ne!(again.worker, order.worker, "the dark worker");
            assert!(again.run > order.run, "a higher run");
            return;
        }
    }
    assert!(!sole_owner, "never started again");
}

named_cases! { dark_worker_lapses:
    a_dark_worker_that_is_still_listed_lapses(true, true);
    a_dark_worker_that_is_no_longer_listed_lapses(false, true);
    a_dark_worker_may_be_held_by_another_owner(true, false);
}

/// After a takeover, failed runs of one task are listed by several workers; each counts,
/// in whichever order the workers are heard.
fn failures_all_count(first: (&'static str, u32), second: (&'static str, u32)) {
    let mut schedule = schedule(&["w-1", "w-2"]);
    schedule.add_job(job("fails", vec![step(1)]), None, 2_000, NOW_MS, WALL_MS);
    let task: TaskName = "fails.0.0.0".parse().expect("a task");
    for (worker, run) in [first, second] {
        let end = ended(1, &task, run, RunOutcome::Failed);
        hear(&mut schedule, worker, &finished(20, vec![end]));
    }
    let batch = schedule.take_progress_batch();
    schedule.mark_progress_recorded(&batch);
    assert_eq!(schedule.state(&name("fails")), Some(JobState::Failed));
    assert!(starts(&mut schedule, NOW_MS).is_empty(), "no further run");
}

named_cases! { failures_all_count:
    failures_count_when_heard_in_order(("w-1", 1), ("w-2", 2));
    failures_count_when_heard_in_reverse(("w-2", 2), ("w-1", 1));
}

/// An end is acknowledged only once the job's progress is recorded.
fn ends_wait_for_their_record(write_fails: bool) {
    let mut schedule = schedule(&["w-1"]);
    add(&mut schedule, job("done", vec![step(1)]));
    let started = starts(&mut schedule, NOW_MS);
    begin(&mut schedule, &started[0], 10);
    let end = ended(1, &started[0].task, started[0].run, RunOutcome::Done);
    hear(&mut schedule, "w-1", &finished(20, vec![end]));
    let recorded_end = |schedule: &FleetSchedule| {
        schedule
            .worker(&name::<WorkerName>("w-1"))
            .map(|seat| seat.recorded_end)
    };
    assert_eq!(schedule.state(&name("done")), Some(JobState::Running));
    assert_eq!(recorded_end(&schedule), Some(0));
    if write_fails {
        let batch = schedule.take_progress_batch();
        schedule.requeue_progress(batch);
        assert_eq!(recorded_end(&schedule), Some(0));
        assert_eq!(schedule.state(&name("done")), Some(JobState::Running));
    }
    let batch = schedule.take_progress_batch();
    assert_eq!(batch.records.len(), 1, "the record is asked for");
    schedule.mark_progress_recorded(&batch);
    assert_eq!(recorded_end(&schedule), Some(1));
    assert_eq!(schedule.state(&name("done")), Some(JobState::Completed));
}

named_cases! { ends_wait_for_their_record:
    an_end_is_acknowledged_after_its_record(false);
    an_end_whose_record_was_lost_is_recorded_again(true);
}

/// After a silence a worker is told to forget nothing until it was heard again: it may have
/// been born again under its name, and its new ends have the old numbers.
fn acknowledged_after_silence(heard_again: Option<u64>, acknowledged_end: u64) {
    let mut schedule = schedule(&["w-1"]);
    add(&mut schedule, job("done", vec![step(1)]));
    let started = starts(&mut schedule, NOW_MS);
    begin(&mut schedule, &started[0], 10);
    let end = ended(5, &started[0].task, started[0].run, RunOutcome::Done);
    hear(&mut schedule, "w-1", &finished(20, vec![end]));
    let batch = schedule.take_progress_batch();
    schedule.mark_progress_recorded(&batch);
    assert_eq!(schedule.acknowledged_end(&name("w-1")), 5);
    schedule.mark_unreachable(&name("w-1"));
    if let Some(started_ms) = heard_again {
        let report = WorkerReport {
            started_ms: Some(started_ms),
            ..finished(1, Vec::new())
        };
        hear(&mut schedule, "w-1", &report);
    }
    assert_eq!(schedule.acknowledged_end(&name("w-1")), acknowledged_end);
}

named_cases! { acknowledged_after_silence:
    nothing_while_it_is_silent(None, 0);
    the_same_once_the_same_life_is_heard(Some(1), 5);
    nothing_of_a_new_life(Some(2), 0);
}

/// An order that was held up until its run was given up no longer stands.
fn held_up_order(given_up: bool) {
    let mut schedule = schedule(&["w-1", "w-2"]);
    add(&mut schedule, job("held-up", vec![step(1)]));
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

named_cases! { held_up_order:
    it_stands_while_its_run_does(false);
    it_falls_with_its_run(true);
}

/// A start without an answer is ruled out by a stop before the task starts elsewhere.
fn unanswered_start(listed_later: bool) {
    let mut schedule = schedule(&["w-1", "w-2"]);
    add(&mut schedule, job("unsure", vec![step(1)]));
    let started = starts(&mut schedule, NOW_MS);
    let order = &started[0];
    let worker = order.worker.clone();
    assert!(schedule.renew_lease(&worker, NOW_MS), "a lease");
    schedule.apply_start_reply(&worker, &order.task, order.run, StartReply::Unknown, NOW_MS);
    if listed_later {
        let report = WorkerReport {
            clock_ms: 30,
            running: vec![at_work(order)],
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
        "not ruled out"
    );
    schedule.confirm_stop(stop, 50);
    schedule.apply_report(&worker, &empty(60), NOW_MS + 1_020, WALL_MS);
    let again = starts(&mut schedule, NOW_MS + 1_020);
    assert_eq!(again.len(), 1, "started again");
    assert!(again[0].run > order.run, "under a higher run");
}

named_cases! { unanswered_start:
    an_unanswered_start_that_is_listed_goes_on(true);
    an_unanswered_start_is_ruled_out_first(false);
}

/// An instance is emptied of tasks that last, no more of a step at a time than may be
/// missed.
fn evacuation_keeps_budget(tasks: u32, max_unavailable: u32, stopped: usize) {
    let mut schedule = schedule(&["w-1"]);
    add(
        &mut schedule,
        job("lasts", vec![lasting(tasks, max_unavailable)]),
    );
    let started = starts(&mut schedule, NOW_MS);
    for order in &started {
        begin(&mut schedule, order, 10);
    }
    let report = WorkerReport {
        clock_ms: 20,
        running: started.iter().map(at_work).collect(),
        ..WorkerReport::default()
    };
    hear(&mut schedule, "w-1", &report);
    let host = name::<WorkerName>("w-1");
    let fits = started.len() <= max_unavailable as usize;
    assert_eq!(schedule.allows_disruption(&host), fits);
    assert_eq!(schedule.drain_worker(&host, NOW_MS).len(), stopped);
    assert!(
        schedule.drain_worker(&host, NOW_MS).len() < stopped.max(1),
        "no more at once"
    );
}

named_cases! { evacuation_keeps_budget:
    one_of_three_is_stopped(3, 1, 1);
    two_of_five_are_stopped(5, 2, 2);
    a_single_task_is_stopped(1, 1, 1);
}

/// After a takeover, a worker that does not answer holds back what may run on it: all of
/// its pool's jobs, or just the runs recorded when the earlier owner lost it.
fn unheard_worker_holds_back(recorded: bool, free: usize) {
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
    hear(&mut schedule, "w-1", &WorkerReport::default());
    assert_eq!(starts(&mut schedule, NOW_MS).len(), free, "at once");
    schedule.tick(NOW_MS + 2 * LEASE_MS + 1, true);
    let later = starts(&mut schedule, NOW_MS + 2 * LEASE_MS + 1).len();
    assert_eq!(later + free, 2, "after the lease");
}

named_cases! { unheard_worker_holds_back:
    an_unknown_worker_holds_back_its_pool(false, 0);
    a_lost_worker_holds_back_its_recorded_runs(true, 1);
}

/// A run that a worker lists goes on, though an older record of the same task is of a run on
/// a worker lost since; both belong to the earlier owner.
fn listed_run_goes_on(recorded_run: u32, listed_run: u32) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + 2 * LEASE_MS);
    schedule.add_job(
        job("lasts", vec![lasting(1, 1)]),
        None,
        2_000,
        NOW_MS,
        WALL_MS,
    );
    let task: TaskName = "lasts.0.0.0".parse().expect("a task");
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
        run: listed_run,
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
        hear(&mut schedule, "w-1", &report),
        Vec::new(),
        "no order to stop it"
    );
    assert!(starts(&mut schedule, NOW_MS).is_empty(), "it runs");
}

named_cases! { listed_run_goes_on:
    a_later_run_supersedes_a_recorded_one(1, 2);
    a_much_later_run_supersedes_a_recorded_one(1, 1_001);
}

/// A run recorded as lost is over once its worker was heard and does not list it.
fn recorded_run_is_looked_for(listed: bool) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + 2 * LEASE_MS);
    schedule.add_job(job("old", vec![step(1)]), None, 2_000, NOW_MS, WALL_MS);
    let task: TaskName = "old.0.0.0".parse().expect("a task");
    let unreachable = Some(UnreachableRuns {
        runs: vec![(task.clone(), 1)],
        lease_left_ms: LEASE_MS,
    });
    let held = WorkerSnapshot {
        listed: worker("w-1"),
        unreachable,
    };
    schedule.restore_worker(held, NOW_MS);
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
    hear(&mut schedule, "w-1", &report);
    let recorded = schedule.worker_snapshots(NOW_MS);
    schedule.finish_snapshot_write(&recorded);
    assert_eq!(starts(&mut schedule, NOW_MS).len(), usize::from(!listed));
}

named_cases! { recorded_run_is_looked_for:
    it_goes_on_if_it_is_listed(true);
    it_starts_anew_if_it_is_not(false);
}

/// A job that came in when another owner may have had the schedule waits until ownership is
/// confirmed again; one that came in before does not.
fn doubtful_job_waits(taken_ms: u64, at_once: usize) {
    let mut schedule = schedule(&["w-1"]);
    schedule.add_job(job("new", vec![step(1)]), None, 0, taken_ms, WALL_MS);
    let sole_until_ms = NOW_MS;
    let now_ms = NOW_MS + 500;
    let first = schedule.plan_starts(now_ms, WALL_MS, sole_until_ms);
    assert_eq!(first.len(), at_once, "while in doubt");
    let confirmed = schedule.plan_starts(now_ms + 10, WALL_MS, now_ms + 1_000);
    assert_eq!(first.len() + confirmed.len(), 1, "once confirmed");
}

named_cases! { doubtful_job_waits:
    a_job_of_before_the_doubt_goes_on(NOW_MS - 1, 1);
    a_job_of_after_it_waits(NOW_MS + 300, 0);
}

/// A schedule is handed over only once it was taken over: before, its records would say that
/// there are no workers on which anything may run.
fn handed_over(taken_over: bool, left_ms: Option<u64>) {
    let schedule = if taken_over {
        FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + 700)
    } else {
        FleetSchedule::default()
    };
    assert_eq!(schedule.orphans_left_ms(NOW_MS), left_ms);
}

named_cases! { handed_over:
    a_schedule_that_was_taken_over(true, Some(700));
    a_schedule_still_being_read(false, None);
}

/// A worker recorded as lost gets nothing new before another record took effect.
fn lost_worker_waits_for_its_record(recorded: bool) {
    let mut schedule = schedule(&["w-1"]);
    schedule.mark_unreachable(&name("w-1"));
    let held = schedule.worker_snapshots(NOW_MS);
    schedule.begin_snapshot_write(&held);
    hear(&mut schedule, "w-1", &WorkerReport::default());
    add(&mut schedule, job("new", vec![step(1)]));
    assert!(starts(&mut schedule, NOW_MS).is_empty(), "recorded as lost");
    if recorded {
        let held = schedule.worker_snapshots(NOW_MS);
        schedule.finish_snapshot_write(&held);
    }
    assert_eq!(starts(&mut schedule, NOW_MS).len(), usize::from(recorded));
}

named_cases! { lost_worker_waits_for_its_record:
    a_worker_heard_again_waits(false);
    a_worker_recorded_as_heard_takes_work(true);
}

/// While an instance is taken down its tasks count as away, though its worker still lists
/// them as at work; so nothing else of their step is stopped.
fn taken_down_counts_as_away(confirmed: bool) {
    let mut schedule = schedule(&["w-1", "w-2"]);
    add(&mut schedule, job("lasts", vec![lasting(2, 1)]));
    let started = starts(&mut schedule, NOW_MS);
    assert_ne!(started[0].worker, started[1].worker, "spread");
    let list = |schedule: &mut FleetSchedule, clock_ms| {
        for order in &started {
            let report = WorkerReport {
                clock_ms,
                running: vec![at_work(order)],
                ..WorkerReport::default()
            };
            schedule.apply_report(&order.worker, &report, NOW_MS, WALL_MS);
        }
    };
    for order in &started {
        begin(&mut schedule, order, 10);
    }
    list(&mut schedule, 20);
    assert!(
        schedule.allows_disruption(&started[0].worker),
        "one may be missed"
    );
    schedule.begin_disruption(&started[0].worker);
    if confirmed {
        schedule.confirm_disruption(&started[0].worker, NOW_MS);
    }
    list(&mut schedule, 30);
    assert!(
        !schedule.allows_disruption(&started[1].worker),
        "a second one"
    );
    assert_eq!(
        schedule.drain_worker(&started[1].worker, NOW_MS),
        Vec::new()
    );
}

named_cases! { taken_down_counts_as_away:
    an_order_under_way_counts(false);
    a_confirmed_order_counts(true);
}

/// A run whose progress stays the same is stopped and its worker passed over; one that
/// moves, and a lasting one at work, go on.
fn standing_still(step: StepPlan, percents: &[f64], stopped: bool) {
    let mut schedule = schedule(&["w-1"]);
    add(&mut schedule, job("still", vec![step]));
    let started = starts(&mut schedule, NOW_MS);
    let order = &started[0];
    begin(&mut schedule, order, 10);
    let mut orders = Vec::new();
    for (look, percent) in (1u64..).zip(percents) {
        let row = ReportedRun {
            progress_percent: *percent,
            ..at_work(order)
        };
        let report = WorkerReport {
            clock_ms: 10 + look,
            running: vec![row],
            ..WorkerReport::default()
        };
        orders.extend(schedule.apply_report(
            &order.worker,
            &report,
            NOW_MS + look * 1_000,
            WALL_MS,
        ));
    }
    assert_eq!(!orders.is_empty(), stopped, "{orders:?}");
}

named_cases! { standing_still:
    a_run_that_stands_still_is_stopped(step(1), &[20.0, 20.0, 20.0, 20.0], true);
    a_slow_run_goes_on(step(1), &[20.0, 21.0, 22.0, 23.0], false);
    a_lasting_run_at_work_goes_on(lasting(1, 1), &[100.0, 100.0, 100.0, 100.0], false);
    a_lasting_run_that_never_begins_is_stopped(lasting(1, 1), &[0.0, 0.0, 0.0, 0.0], true);
}

/// A worker's heartbeat that says nothing new is told apart from one that does.
fn listing_is_news(change: fn(&mut ListedWorker), news: bool) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    assert!(schedule.upsert_worker(worker("w-1")), "the first one");
    let mut next = worker("w-1");
    change(&mut next);
    assert_eq!(schedule.upsert_worker(next), news);
}

named_cases! { listing_is_news:
    the_same_again(|_| {}, false);
    it_drains(|listed| listed.draining = true, true);
    another_life(|listed| listed.started_ms += 1, true);
}

/// An occurrence that an earlier owner, whose clock is ahead, has started is known before it is
/// due here: its runs go on, its ends count, and nothing of it is started twice or too early.
fn occurrence_started_ahead(listed: bool, ended_there: bool, started_at_due: usize) {
    let ahead_ms = 100;
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    for text in ["w-1", "w-2"] {
        schedule.upsert_worker(worker(text));
    }
    let mut timed = job("timed", vec![step(1)]);
    timed.plan.repeat_count = 2;
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
    report
        .finished
        .push(ended(1, &task(0), 1, RunOutcome::Done));
    if ended_there {
        report
            .finished
            .push(ended(2, &task(1), 1, RunOutcome::Done));
    } else if listed {
        report.running.push(row);
    }
    let orders = hear(&mut schedule, "w-1", &report);
    assert_eq!(orders, Vec::new(), "it goes on");
    hear(&mut schedule, "w-2", &WorkerReport::default());
    assert_eq!(starts(&mut schedule, NOW_MS), Vec::new(), "it is not due");
    let due = schedule.plan_starts(NOW_MS + ahead_ms, WALL_MS + ahead_ms, u64::MAX);
    assert_eq!(due.len(), started_at_due, "{due:?}");
}

named_cases! { occurrence_started_ahead:
    nothing_of_it_runs(false, false, 1);
    it_runs(true, false, 0);
    it_has_ended(false, true, 0);
}

/// What may run on workers that the new owner has not heard counts towards a team's ceiling.
fn unseen_runs_count(heard_all: bool, taken_over: bool, started: usize) {
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
    let mut unseen = worker("w-unseen");
    unseen.pool = name("other");
    schedule.upsert_worker(unseen);
    schedule.upsert_worker(worker("w-1"));
    hear(&mut schedule, "w-1", &WorkerReport::default());
    let mut before = job("before", vec![step(3)]);
    before.pool = name("other");
    before.team = team();
    let run_base = if taken_over { 1_000 } else { 0 };
    schedule.add_job(before, None, run_base, NOW_MS, WALL_MS);
    let mut new = job("new", vec![step(4)]);
    new.team = team();
    schedule.add_job(new, None, 0, NOW_MS, WALL_MS);
    if heard_all {
        schedule.unlist_worker(&name("w-unseen"), NOW_MS);
        schedule.tick(NOW_MS + 2 * LEASE_MS, true);
    }
    let orders = starts(&mut schedule, NOW_MS);
    let new_ones = orders.iter().filter(|order| order.task.job == name("new"));
    assert_eq!(new_ones.count(), started);
}

named_cases! { unseen_runs_count:
    three_may_run_unseen(false, true, 1);
    none_can_run_any_more(true, true, 4);
    none_was_started_by_an_earlier_owner(false, false, 4);
}

/// A worker on which a task that lasts has started is looked at often until it is at work.
fn looks_while_starting(progress_percent: f64, lasts: bool, starting: bool) {
    let mut schedule = schedule(&["w-1"]);
    let plan = if lasts { lasting(1, 1) } else { step(1) };
    add(&mut schedule, job("a", vec![plan]));
    let order = starts(&mut schedule, NOW_MS).remove(0);
    begin(&mut schedule, &order, 1);
    let report = WorkerReport {
        clock_ms: 2,
        running: vec![ReportedRun {
            progress_percent,
            ..at_work(&order)
        }],
        ..WorkerReport::default()
    };
    hear(&mut schedule, "w-1", &report);
    assert_eq!(schedule.has_unready_task(&name("w-1")), starting);
}

named_cases! { looks_while_starting:
    a_lasting_task_that_starts(40.0, true, true);
    a_lasting_task_at_work(100.0, true, false);
    a_task_that_ends_by_itself(40.0, false, false);
}

/// When all is full, a team that sends many times its share does not push aside one that keeps
/// to its own; where there is room, all of it runs.
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
    beyond_its_share_it_waits(1.0, &["w-1", "w-2", "w-3"], 4);
    without_shares_the_first_come_first(0.0, &["w-1", "w-2", "w-3"], 0);
    with_room_for_all(1.0, &["w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7", "w-8", "w-9"], 4);
}

/// A worker that is recorded as lost and heard again gets no longer lease before another record
/// took effect: the next owner would end its runs by the lease in the old one.
fn lease_of_recorded_lost(silent: bool, recorded_again: bool, granted: bool) {
    let mut schedule = schedule(&["w-1"]);
    if silent {
        schedule.mark_unreachable(&name("w-1"));
    }
    let held = schedule.worker_snapshots(NOW_MS);
    schedule.begin_snapshot_write(&held);
    schedule.finish_snapshot_write(&held);
    hear(&mut schedule, "w-1", &WorkerReport::default());
    if recorded_again {
        let held = schedule.worker_snapshots(NOW_MS);
        schedule.begin_snapshot_write(&held);
        schedule.finish_snapshot_write(&held);
    }
    assert_eq!(schedule.renew_lease(&name("w-1"), NOW_MS), granted);
}

named_cases! { lease_of_recorded_lost:
    never_lost(false, false, true);
    heard_and_not_recorded(true, false, false);
    heard_and_recorded(true, true, true);
}
