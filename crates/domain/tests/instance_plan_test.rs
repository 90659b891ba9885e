//! Instances between pools, and waves of maintenance.

use {
    dotterelshore_domain::{
        collections::FastMap,
        names::{CentreName, InstanceName, JobName, PoolName, QueueName, WorkerName},
        schedule::{
            FleetSchedule, InstanceActivity, InstanceOrder, InstancePlan, JobPlan, JobRecord,
            ListedInstance, ListedWorker, OrderRule, ReportedRun, Resources, StartReply, StepPlan,
            TaskName, WaveOrder, WaveProgress, WorkerOrder, WorkerReport,
        },
    },
    dotterelshore_testkit::named_cases,
    std::sync::Arc,
};

/// How long workers are granted, in milliseconds.
const LEASE_MS: u64 = 4_000;
/// How long maintenance takes, in milliseconds.
const UPKEEP_MS: u64 = 2_000;
/// Some time of the schedule's clock, in milliseconds.
const NOW_MS: u64 = 100_000;
/// Some time of day, in milliseconds since the Unix epoch.
const WALL_MS: u64 = 1_700_000_000_000;
/// Time between plans, in milliseconds.
const STEP_MS: u64 = 150;

fn worker_name(host: usize, life: u64) -> WorkerName {
    WorkerName::try_from(format!("w-{host}-{life}")).expect("a name")
}

fn host_name(host: usize) -> InstanceName {
    InstanceName::try_from(format!("host-{host}")).expect("a name")
}

fn pool(text: &str) -> PoolName {
    PoolName::try_from(text).expect("a name")
}

fn job(text: &str, step: StepPlan) -> JobRecord {
    JobRecord {
        name: JobName::try_from(text).expect("a name"),
        queue: QueueName::try_from("quick").expect("a name"),
        pool: pool("proofs"),
        team: None,
        accepted_ms: WALL_MS,
        priority: 0,
        attempts: 2,
        objective_factor: 1.6,
        target_latency_ms: 600,
        advised: false,
        plan: JobPlan {
            task_body: Arc::from(""),
            steps: vec![step],
            repeat_count: 0,
            start_at_ms: 0,
            interval_ms: 0,
        },
    }
}

fn step(count: u32, cpu_milli: u64) -> StepPlan {
    StepPlan {
        count,
        need: Resources {
            cpu_milli,
            memory_mb: 1_000,
            gpus: 0,
        },
        estimate_ms: 800,
        ..StepPlan::default()
    }
}

/// Hosts with one worker each in the pool `proofs`, and more in the spare pool; the
/// platform, the workers and the planning side by side.
struct FleetStage {
    schedule: FleetSchedule,
    plan: InstancePlan,
    pools: Vec<(PoolName, u64, Option<u64>)>,
    now_ms: u64,
    down_most: usize,
    maintained: usize,
    loses_answers: bool,
    startup_ms: u64,
    started: FastMap<(TaskName, u32), u64>,
}

impl FleetStage {
    fn new(hosts: usize, spare: usize) -> Self {
        Self::with_orders(hosts, spare, 64.0)
    }

    fn with_orders(hosts: usize, spare: usize, orders_per_s: f64) -> Self {
        let mut plan = InstancePlan::new(UPKEEP_MS, orders_per_s);
        plan.set_spare(Some(pool("spare")));
        let at = |host| if host < hosts { "proofs" } else { "spare" };
        let pools = (0..hosts + spare).map(|host| (pool(at(host)), 1, None));
        let mut stage = Self {
            schedule: FleetSchedule::new(OrderRule::default(), LEASE_MS, 0),
            plan,
            pools: pools.collect(),
            now_ms: NOW_MS,
            down_most: 0,
            maintained: 0,
            loses_answers: false,
            startup_ms: 0,
            started: FastMap::default(),
        };
        for host in 0..hosts {
            stage.join(host);
        }
        stage.list();
        stage
    }

    fn join(&mut self, host: usize) {
        let (pool, life, _) = &self.pools[host];
        self.schedule.upsert_worker(ListedWorker {
            name: worker_name(host, *life),
            started_ms: *life,
            instance: Some(host_name(host)),
            address: Arc::from("127.0.0.1:1"),
            pool: pool.clone(),
            centre: CentreName::try_from("north").expect("a name"),
            labels: Vec::new(),
            capacity: Resources {
                cpu_milli: 64_000,
                memory_mb: 128_000,
                gpus: 0,
            },
            draining: false,
        });
    }

    fn list(&mut self) {
        let rows = self
            .pools
            .iter()
            .enumerate()
            .map(|(host, (pool, _, away))| {
                let activity = match away {
                    Some(_) => InstanceActivity::Disrupted,
                    None => InstanceActivity::Up,
                };
                ListedInstance {
                    name: host_name(host),
                    pool: pool.clone(),
                    activity,
                    worker: None,
                }
            });
        self.plan.apply_instance_list(rows.collect(), self.now_ms);
    }

    /// Starts what can start, and reports it as at work.
    fn run(&mut self) {
        for order in self.schedule.plan_starts(self.now_ms, WALL_MS, u64::MAX) {
            let WorkerOrder::Start(start) = order else {
                continue;
            };
            self.started
                .insert((start.task.clone(), start.run), self.now_ms);
            let reply = StartReply::Started { clock_ms: 1 };
            self.schedule.apply_start_reply(
                &start.worker,
                &start.task,
                start.run,
                reply,
                self.now_ms,
            );
        }
    }

    /// Every worker lists its runs as at work; stopped ones are gone.
    fn hear(&mut self, stopped: &[WorkerOrder]) {
        let seats: Vec<_> = self.schedule.workers().cloned().collect();
        for seat in seats {
            let gone = |task, run| {
                stopped.iter().any(|order| {
                    matches!(order, WorkerOrder::Stop(stop) if stop.task == task && stop.run == run)
                })
            };
            let rows = seat
                .runs
                .iter()
                .filter(|(task, run)| !gone((*task).clone(), **run));
            let running = rows.map(|(task, run)| {
                let run_started = self.started.get(&(task.clone(), *run));
                let works = run_started.is_none_or(|at| self.now_ms >= at + self.startup_ms);
                ReportedRun {
                    task: task.clone(),
                    run: *run,
                    checkpoint: Arc::from(""),
                    progress_percent: if works { 100.0 } else { 0.0 },
                    metric: 0.0,
                }
            });
            let report = WorkerReport {
                started_ms: None,
                clock_ms: self.now_ms,
                running: running.collect(),
                finished: Vec::new(),
            };
            for order in stopped {
                if let WorkerOrder::Stop(stop) = order {
                    self.schedule.confirm_stop(stop, 1);
                }
            }
            self.schedule
                .apply_report(&seat.listed.name, &report, self.now_ms, WALL_MS);
        }
    }

    /// Sends unanswered orders again; each is carried out.
    fn resend_unanswered(&mut self) {
        let orders = self.plan.resend_unanswered(&mut self.schedule, self.now_ms);
        self.carry_out(&orders);
    }

    /// One plan and what follows; returns the orders for instances.
    fn step(&mut self) -> Vec<InstanceOrder> {
        self.now_ms += STEP_MS;
        for host in 0..self.pools.len() {
            if self.pools[host].2.is_some_and(|until| until <= self.now_ms) {
                self.pools[host].2 = None;
                self.pools[host].1 += 1;
                if self.pools[host].0 != pool("spare") {
                    self.join(host);
                }
            }
        }
        self.list();
        let (orders, stops) = self.plan.plan(&mut self.schedule, self.now_ms);
        self.carry_out(&orders);
        let down = self
            .pools
            .iter()
            .filter(|(.., away)| away.is_some())
            .count();
        self.down_most = self.down_most.max(down);
        self.hear(&stops);
        self.run();
        orders
    }

    fn carry_out(&mut self, orders: &[InstanceOrder]) {
        for order in orders {
            let (InstanceOrder::Move { instance, .. } | InstanceOrder::Maintain { instance, .. }) =
                order;
            let host = (0..self.pools.len()).find(|host| host_name(*host) == *instance);
            let host = host.expect("a known host");
            let life = worker_name(host, self.pools[host].1);
            self.schedule.confirm_disruption(&life, self.now_ms);
            self.schedule.unlist_worker(&life, self.now_ms);
            self.pools[host].2 = Some(self.now_ms + UPKEEP_MS);
            match order {
                InstanceOrder::Move { pool, .. } => {
                    self.pools[host].0 = pool.clone();
                    self.plan.confirm_move(instance, pool, self.now_ms);
                }
                InstanceOrder::Maintain { wave, .. } => {
                    self.maintained += 1;
                    let confirmed = !self.loses_answers;
                    self.plan
                        .record_maintenance_start(instance, *wave, confirmed, self.now_ms);
                }
            }
        }
    }
}

fn wave(hosts: usize, at_once: usize) -> WaveOrder {
    WaveOrder {
        number: 1,
        instances: (0..hosts).map(host_name).collect(),
        duration_ms: 20_000,
        at_once,
    }
}

/// A queue asks for more than its pool: instances come from the spare pool, and go back
/// when it asks no longer.
fn pool_follows_demand(tasks: u32, least: usize, most: usize) {
    let mut stage = FleetStage::new(3, 10);
    stage.hear(&[]);
    if tasks > 0 {
        stage
            .schedule
            .add_job(job("peak", step(tasks, 32_000)), None, 0, NOW_MS, WALL_MS);
    }
    for _ in 0..30 {
        stage.step();
    }
    let own = |stage: &FleetStage| {
        stage
            .pools
            .iter()
            .filter(|(name, ..)| *name == pool("proofs"))
            .count()
    };
    assert!(
        (least..=most).contains(&own(&stage)),
        "{} at the peak",
        own(&stage)
    );
    let name = JobName::try_from("peak").expect("a name");
    let stops = stage.schedule.cancel(&name, stage.now_ms, WALL_MS);
    stage.hear(&stops);
    for _ in 0..60 {
        stage.step();
    }
    assert!(own(&stage) <= 4, "{} after the peak", own(&stage));
}

named_cases! { pool_follows_demand:
    no_demand_keeps_the_least(0, 3, 3);
    a_small_peak_takes_some(12, 6, 8);
    a_large_peak_takes_all(60, 13, 13);
}

/// A wave ends in time, takes no more down than it may, and never ends more of a lasting
/// step than that may miss.
fn wave_keeps_its_promises(tasks: u32, max_unavailable: u32, at_once: usize) {
    let mut stage = FleetStage::new(6, 4);
    stage.hear(&[]);
    let lasting = StepPlan {
        long_running: true,
        max_unavailable: Some(max_unavailable),
        ..step(tasks, 6_000)
    };
    stage
        .schedule
        .add_job(job("lasts", lasting), None, 0, NOW_MS, WALL_MS);
    for _ in 0..10 {
        stage.step();
    }
    stage
        .plan
        .add_wave(wave(6, at_once), None, stage.now_ms, WALL_MS);
    let name = JobName::try_from("lasts").expect("a name");
    for _ in 0..200 {
        let before: usize = stage.schedule.workers().map(|seat| seat.runs.len()).sum();
        stage.step();
        let after: usize = stage.schedule.workers().map(|seat| seat.runs.len()).sum();
        assert!(
            before <= after + max_unavailable as usize,
            "{before} ran, then {after}"
        );
    }
    assert!(stage.schedule.state(&name).is_some(), "the job is known");
    assert_eq!(stage.maintained, 6, "each instance once");
    assert_eq!(stage.plan.complete_waves(), vec![1]);
    let progress: WaveProgress = stage.plan.progress(1).expect("the wave");
    assert_eq!(progress.started.len(), 6);
}

named_cases! { wave_keeps_its_promises:
    one_at_once_and_one_missed(3, 1, 1);
    three_at_once_and_one_missed(6, 1, 3);
    all_at_once_and_two_missed(6, 2, 6);
    more_tasks_than_instances(9, 1, 3);
}

/// Early in a wave, instances at work are left alone while others are idle; later all are
/// taken.
fn wave_takes_idle_instances_first(steps: usize, busy_taken: bool) {
    let mut stage = FleetStage::new(4, 0);
    stage.hear(&[]);
    stage
        .schedule
        .add_job(job("works", step(16, 16_000)), None, 0, NOW_MS, WALL_MS);
    stage.run();
    stage.hear(&[]);
    stage.plan.add_wave(wave(4, 4), None, stage.now_ms, WALL_MS);
    for _ in 0..steps {
        stage.step();
    }
    assert_eq!(
        stage.maintained == 4,
        busy_taken,
        "{} maintained",
        stage.maintained
    );
}

named_cases! { wave_takes_idle_instances_first:
    work_is_spared_early(8, false);
    work_is_cut_off_in_the_end(140, true);
}

/// Lasting tasks whose memory, or distance from each other, asks for more instances than
/// their processor does get them, also while a wave keeps some closed.
fn lasting_tasks_find_room(step: StepPlan, wave_at_once: usize) {
    let tasks = step.count as usize;
    let mut stage = FleetStage::new(3, 12);
    stage.hear(&[]);
    stage
        .schedule
        .add_job(job("lasts", step), None, 0, NOW_MS, WALL_MS);
    if wave_at_once > 0 {
        stage
            .plan
            .add_wave(wave(3, wave_at_once), None, stage.now_ms, WALL_MS);
    }
    for _ in 0..60 {
        stage.step();
    }
    let running: usize = stage.schedule.workers().map(|seat| seat.runs.len()).sum();
    assert_eq!(running, tasks);
}

fn lasting(count: u32, memory_mb: u64, anti_affinity: Option<u32>) -> StepPlan {
    StepPlan {
        long_running: true,
        max_unavailable: Some(1),
        anti_affinity,
        need: Resources {
            cpu_milli: 2_000,
            memory_mb,
            gpus: 0,
        },
        ..step(count, 0)
    }
}

named_cases! { lasting_tasks_find_room:
    memory_asks_for_instances(lasting(9, 100_000, None), 0);
    distance_asks_for_instances(lasting(9, 1_000, Some(1)), 0);
    distance_asks_for_instances_beside_a_wave(lasting(9, 1_000, Some(1)), 3);
}

/// Work that arrives faster than a pool serves it asks for instances before it waits.
fn arrivals_ask_early(jobs: u64, least: usize) {
    let mut stage = FleetStage::new(3, 12);
    stage.hear(&[]);
    for number in 0..jobs {
        let text = format!("early-{number}");
        let wide = StepPlan {
            estimate_ms: 2_000,
            ..step(4, 4_000)
        };
        let now_ms = stage.now_ms;
        stage
            .schedule
            .add_job(job(&text, wide), None, 0, now_ms, WALL_MS);
    }
    stage.step();
    let own = stage
        .pools
        .iter()
        .filter(|(name, ..)| *name == pool("proofs"))
        .count();
    assert!(own >= least, "{own} instances");
}

named_cases! { arrivals_ask_early:
    a_trickle_asks_for_none(2, 3);
    a_peak_asks_at_once(12, 7);
}

/// An instance that an earlier owner ordered just before is left alone for its time.
fn resting_instance(rest_ms: u64, moved: bool) {
    let mut stage = FleetStage::new(3, 1);
    stage.hear(&[]);
    stage
        .schedule
        .add_job(job("peak", step(60, 32_000)), None, 0, NOW_MS, WALL_MS);
    stage.plan.set_cooldown(&host_name(3), NOW_MS + rest_ms);
    for _ in 0..4 {
        stage.step();
    }
    assert_eq!(stage.pools[3].0 == pool("proofs"), moved);
}

named_cases! { resting_instance:
    it_is_left_alone(3_000, false);
    it_is_moved_after_its_time(300, true);
}

/// Where the platform takes few orders a second, pools keep what could not be ordered back
/// in time; where it takes many, idle instances go to the spare pool.
fn slow_orders_keep_instances(orders_per_s: f64, least: usize, most: usize) {
    let mut stage = FleetStage::with_orders(20, 0, orders_per_s);
    stage.hear(&[]);
    for _ in 0..40 {
        stage.step();
    }
    let own = stage
        .pools
        .iter()
        .filter(|(name, ..)| *name == pool("proofs"))
        .count();
    assert!((least..=most).contains(&own), "{own} instances");
}

named_cases! { slow_orders_keep_instances:
    many_orders_a_second(64.0, 3, 3);
    few_orders_a_second(5.0, 20, 20);
}

/// A wave whose orders were not confirmed is not said to be done, nor recorded as begun.
fn unconfirmed_wave(loses_answers: bool) {
    let mut stage = FleetStage::new(4, 0);
    stage.loses_answers = loses_answers;
    stage.hear(&[]);
    stage.plan.add_wave(wave(4, 4), None, stage.now_ms, WALL_MS);
    for _ in 0..60 {
        stage.step();
    }
    assert_eq!(stage.maintained, 4, "ordered");
    assert!(stage.down_most <= 4, "at once");
    assert_eq!(stage.plan.complete_waves().is_empty(), loses_answers);
    let recorded = stage.plan.progress(1).expect("the wave").started.len();
    assert_eq!(recorded, if loses_answers { 0 } else { 4 });
}

named_cases! { unconfirmed_wave:
    confirmed_orders_end_it(false);
    lost_answers_do_not(true);
}

/// An instance whose order was refused after it came back is due again, and the count of
/// those that are down stays right.
fn refused_after_return(refused: bool) {
    let mut stage = FleetStage::new(2, 0);
    stage.hear(&[]);
    stage.plan.add_wave(wave(2, 1), None, stage.now_ms, WALL_MS);
    for _ in 0..16 {
        stage.step();
    }
    let maintained = stage.maintained;
    if refused {
        let open = stage
            .plan
            .record_maintenance_refusal(&host_name(0), 1, false);
        assert!(!open, "it was confirmed");
    }
    for _ in 0..60 {
        stage.step();
    }
    assert!(stage.down_most <= 1, "{} down at once", stage.down_most);
    assert_eq!(
        stage.maintained,
        if refused { 3 } else { 2 },
        "after {maintained}"
    );
}

named_cases! { refused_after_return:
    a_wave_without_refusals(false);
    a_wave_with_one(true);
}

/// A refusal after an order whose answer was lost frees no place in the wave: the refused
/// instance may be down by that order.
fn refused_after_lost_answer(gone: bool, at_work: usize) {
    let mut stage = FleetStage::new(3, 0);
    stage.hear(&[]);
    stage.plan.add_wave(wave(3, 1), None, stage.now_ms, WALL_MS);
    stage.loses_answers = true;
    while stage.maintained == 0 {
        stage.step();
    }
    let down = (0..3).find(|host| stage.pools[*host].2.is_some());
    let down = host_name(down.expect("one is down"));
    let open = stage.plan.record_maintenance_refusal(&down, 1, gone);
    assert_eq!(open, !gone, "asked for again");
    stage.step();
    assert_eq!(stage.maintained, at_work, "ordered");
}

named_cases! { refused_after_lost_answer:
    it_still_counts_as_down(false, 1);
    one_that_is_gone_does_not(true, 2);
}

/// A peak asks for many instances: they are ordered together, and in no second more than the
/// platform takes.
fn orders_keep_the_rate(orders_per_s: f64, most_in_a_second: usize, least_in_all: usize) {
    let mut stage = FleetStage::with_orders(3, 60, orders_per_s);
    stage.hear(&[]);
    stage
        .schedule
        .add_job(job("peak", step(100, 32_000)), None, 0, NOW_MS, WALL_MS);
    let mut sent: Vec<(u64, usize)> = Vec::new();
    for _ in 0..10 {
        let orders = stage.step().len();
        sent.push((stage.now_ms, orders));
        let second: usize = sent
            .iter()
            .filter(|(at, _)| at + 1_000 > stage.now_ms)
            .map(|(_, count)| count)
            .sum();
        assert!(second <= most_in_a_second, "{second} orders in a second");
    }
    let all: usize = sent.iter().map(|(_, count)| count).sum();
    assert!(all >= least_in_all, "{all} orders");
    assert!(
        sent[0].1 >= most_in_a_second.min(least_in_all) / 2,
        "{sent:?}"
    );
}

named_cases! { orders_keep_the_rate:
    ten_a_second(10.0, 10, 19);
    all_that_is_lacking_at_once(200.0, 200, 50);
}

/// An order without an answer is known to the next owner: the instance counts as down, and is
/// ordered again once the steps that last can miss it.
fn next_owner_knows_what_was_asked(answered: bool) {
    let mut stage = FleetStage::new(3, 0);
    stage.hear(&[]);
    stage.plan.add_wave(wave(3, 1), None, stage.now_ms, WALL_MS);
    let (orders, _) = stage.plan.plan(&mut stage.schedule, stage.now_ms);
    let [InstanceOrder::Maintain { instance, .. }] = &*orders else {
        panic!("one order for maintenance, not {orders:?}");
    };
    if answered {
        stage
            .plan
            .record_maintenance_start(instance, 1, true, stage.now_ms);
    }
    let recorded = stage.plan.progress(1).expect("the wave");
    assert_eq!(
        recorded.unconfirmed.contains(instance),
        !answered,
        "recorded"
    );

    let mut next = FleetStage::new(3, 0);
    next.hear(&[]);
    next.plan
        .add_wave(wave(3, 1), Some(&recorded), next.now_ms, WALL_MS);
    next.list();
    let (orders, _) = next.plan.plan(&mut next.schedule, next.now_ms);
    assert_eq!(orders, Vec::new(), "one is down, or may be");
    next.now_ms += UPKEEP_MS * 2;
    next.list();
    let again = next.plan.resend_unanswered(&mut next.schedule, next.now_ms);
    assert_eq!(again.len(), usize::from(!answered));
    assert!(again.iter().all(|order| order.instance() == instance));
    let twice = next.plan.resend_unanswered(&mut next.schedule, next.now_ms);
    assert_eq!(twice, Vec::new(), "it is under way");
    let (orders, _) = next.plan.plan(&mut next.schedule, next.now_ms);
    assert_eq!(orders.len(), usize::from(answered), "the next one");
}

named_cases! { next_owner_knows_what_was_asked:
    an_order_without_an_answer(false);
    an_order_with_one(true);
}

/// An instance whose maintenance may not have been carried out is not taken down over tasks
/// that can't be missed.
fn asked_again_only_where_missable(others_at_work: bool) {
    let mut stage = FleetStage::new(2, 0);
    stage.hear(&[]);
    let lasting = StepPlan {
        long_running: true,
        max_unavailable: Some(1),
        anti_affinity: Some(1),
        ..step(2, 2_000)
    };
    stage
        .schedule
        .add_job(job("lasts", lasting), None, 0, NOW_MS, WALL_MS);
    stage.run();
    if others_at_work {
        stage.hear(&[]);
    }
    let asked = WaveProgress {
        number: 1,
        started: Vec::new(),
        unconfirmed: vec![host_name(0)],
        completed: false,
        since_wall_ms: WALL_MS,
    };
    stage
        .plan
        .add_wave(wave(2, 1), Some(&asked), stage.now_ms, WALL_MS);
    stage.plan.plan(&mut stage.schedule, stage.now_ms);
    let again = stage
        .plan
        .resend_unanswered(&mut stage.schedule, stage.now_ms);
    assert_eq!(again.len(), usize::from(others_at_work));
}

named_cases! { asked_again_only_where_missable:
    the_other_task_is_at_work(true);
    the_other_task_is_not_at_work_yet(false);
}

/// Of instances that may be down by unanswered orders and carry tasks of one step, no more are
/// ordered again at once than that step may miss.
fn asked_again_one_by_one(max_unavailable: u32, at_once: usize) {
    let mut stage = FleetStage::new(3, 0);
    stage.hear(&[]);
    let lasting = StepPlan {
        long_running: true,
        max_unavailable: Some(max_unavailable),
        anti_affinity: Some(1),
        ..step(3, 2_000)
    };
    stage
        .schedule
        .add_job(job("lasts", lasting), None, 0, NOW_MS, WALL_MS);
    stage.run();
    stage.hear(&[]);
    let asked = WaveProgress {
        number: 1,
        started: Vec::new(),
        unconfirmed: (0..3).map(host_name).collect(),
        completed: false,
        since_wall_ms: WALL_MS,
    };
    stage
        .plan
        .add_wave(wave(3, 3), Some(&asked), stage.now_ms, WALL_MS);
    stage.plan.plan(&mut stage.schedule, stage.now_ms);
    let again = stage
        .plan
        .resend_unanswered(&mut stage.schedule, stage.now_ms);
    assert_eq!(again.len(), at_once);
    stage.carry_out(&again);
    for _ in 0..80 {
        stage.resend_unanswered();
        stage.step();
    }
    assert_eq!(stage.maintained, 3, "the others follow");
}

named_cases! { asked_again_one_by_one:
    one_may_be_missed(1, 1);
    two_may_be_missed(2, 2);
}

/// A worker takes no work from the moment its instance's move is planned; it does again after
/// the move was refused, or a while after a move without an answer left it where it was.
fn planned_move_keeps_work_away(refused: bool, wait_ms: u64, accepts_tasks: bool) {
    let mut stage = FleetStage::new(5, 0);
    stage.hear(&[]);
    let order = loop {
        stage.now_ms += STEP_MS;
        stage.list();
        let (orders, _) = stage.plan.plan(&mut stage.schedule, stage.now_ms);
        if let Some(order) = orders.first() {
            break order.clone();
        }
    };
    let host = (0..5).find(|host| host_name(*host) == *order.instance());
    let worker = worker_name(host.expect("a known host"), 1);
    let open = |stage: &FleetStage| {
        let seat = stage.schedule.worker(&worker).expect("it is listed");
        seat.accepts_tasks(stage.now_ms)
    };
    assert!(!open(&stage), "planned");
    if refused {
        stage.plan.revert_move(order.instance());
        stage.schedule.set_cordon(&worker, false);
    } else {
        stage
            .plan
            .mark_move_unconfirmed(order.instance(), stage.now_ms);
    }
    stage.now_ms += wait_ms;
    stage.list();
    stage
        .plan
        .set_cooldown(order.instance(), stage.now_ms + UPKEEP_MS);
    stage.plan.plan(&mut stage.schedule, stage.now_ms);
    assert_eq!(open(&stage), accepts_tasks);
}

named_cases! { planned_move_keeps_work_away:
    after_a_refusal(true, 0, true);
    without_an_answer(false, 500, false);
    a_while_after_no_answer(false, 3_500, true);
}

/// What an earlier owner left on a worker that is no longer listed starts again as soon as the
/// platform lists its instance elsewhere; a worker that may only be cut off keeps it back.
fn replaced_life(listed_pool: &str, activity: InstanceActivity, life: Option<u64>, starts: bool) {
    let mut stage = FleetStage::new(2, 0);
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + LEASE_MS);
    schedule.add_job(job("before", step(1, 2_000)), None, 1_000, NOW_MS, WALL_MS);
    for host in 0..2 {
        let seat = stage.schedule.worker(&worker_name(host, 1));
        let listed = seat.expect("it is listed").listed.clone();
        schedule.upsert_worker(listed);
    }
    let gone = worker_name(0, 1);
    schedule.unlist_worker(&gone, NOW_MS);
    stage.schedule = schedule;
    let reported = WorkerReport::default();
    stage
        .schedule
        .apply_report(&worker_name(1, 1), &reported, NOW_MS, WALL_MS);
    let orders = stage.schedule.plan_starts(NOW_MS, WALL_MS, u64::MAX);
    assert_eq!(orders, Vec::new(), "it may run where nobody was heard");
    let row = ListedInstance {
        name: host_name(0),
        pool: pool(listed_pool),
        activity,
        worker: life.map(|life| worker_name(0, life)),
    };
    stage.schedule.remove_replaced_workers(&[row]);
    let orders = stage.schedule.plan_starts(NOW_MS, WALL_MS, u64::MAX);
    assert_eq!(orders.len(), usize::from(starts));
}

named_cases! { replaced_life:
    its_instance_is_in_another_pool("spare", InstanceActivity::Up, None, true);
    its_instance_moves("proofs", InstanceActivity::Disrupted, None, true);
    its_instance_carries_another_life("proofs", InstanceActivity::Up, Some(2), true);
    its_instance_carries_it_still("proofs", InstanceActivity::Up, Some(1), false);
    its_instance_is_down("proofs", InstanceActivity::Down, None, false);
}

/// Early in a wave, tasks that last leave instances that carry several of them, each step within
/// what it may miss, so that the wave is done in its time.
fn lasting_tasks_move_early(jobs: usize, count: u32, cpu_milli: u64, busy: u32) {
    let mut stage = FleetStage::new(6, 4);
    stage.startup_ms = 1_200;
    stage.hear(&[]);
    let lasting = StepPlan {
        long_running: true,
        max_unavailable: Some(1),
        ..step(count, cpu_milli)
    };
    for number in 0..jobs {
        let text = format!("lasts-{number}");
        stage
            .schedule
            .add_job(job(&text, lasting.clone()), None, 0, NOW_MS, WALL_MS);
    }
    for _ in 0..20 {
        stage.step();
    }
    if busy > 0 {
        let (now_ms, works) = (stage.now_ms, step(busy, 2_000));
        stage
            .schedule
            .add_job(job("works", works), None, 0, now_ms, WALL_MS);
        stage.run();
    }
    stage.plan.add_wave(wave(6, 6), None, stage.now_ms, WALL_MS);
    let in_time = 20_000 / STEP_MS;
    for _ in 0..in_time {
        stage.step();
    }
    assert_eq!(stage.maintained, 6, "maintained in the wave's time");
}

named_cases! { lasting_tasks_move_early:
    two_tasks_of_a_step_on_some(6, 8, 6_000, 0);
    two_tasks_of_each_step_on_all(4, 12, 5_000, 0);
    beside_other_work(4, 12, 5_000, 60);
}

/// Work goes to workers whose instances a wave does not take down, as far as they have room.
fn due_workers_come_last(tasks: u32, on_due: usize) {
    let mut stage = FleetStage::new(4, 0);
    stage.hear(&[]);
    let mut busy = wave(2, 1);
    busy.instances = vec![host_name(0), host_name(1)];
    stage.plan.add_wave(busy, None, stage.now_ms, WALL_MS);
    for host in 0..2 {
        stage
            .plan
            .set_cooldown(&host_name(host), NOW_MS + UPKEEP_MS);
    }
    stage.plan.plan(&mut stage.schedule, stage.now_ms);
    stage
        .schedule
        .add_job(job("works", step(tasks, 16_000)), None, 0, NOW_MS, WALL_MS);
    stage.run();
    let runs = |host| {
        let seat = stage.schedule.worker(&worker_name(host, 1));
        seat.expect("it is listed").runs.len()
    };
    assert_eq!(runs(0) + runs(1), on_due);
}

named_cases! { due_workers_come_last:
    others_have_room(8, 0);
    others_are_full(10, 2);
}

/// An owner that took over takes down no instance whose worker it has not heard: what runs
/// there is not known.
fn unheard_worker_stays_up(asked: bool) {
    let mut stage = FleetStage::new(2, 0);
    let recorded = WaveProgress {
        number: 1,
        started: Vec::new(),
        unconfirmed: if asked {
            vec![host_name(0)]
        } else {
            Vec::new()
        },
        completed: false,
        since_wall_ms: WALL_MS,
    };
    stage
        .plan
        .add_wave(wave(1, 1), Some(&recorded), stage.now_ms, WALL_MS);
    let orders = |stage: &mut FleetStage| {
        let mut orders = stage
            .plan
            .resend_unanswered(&mut stage.schedule, stage.now_ms);
        orders.extend(stage.plan.plan(&mut stage.schedule, stage.now_ms).0);
        orders
    };
    assert_eq!(orders(&mut stage), Vec::new(), "not heard yet");
    stage.hear(&[]);
    assert_eq!(orders(&mut stage).len(), 1, "heard, and idle");
}

named_cases! { unheard_worker_stays_up:
    that_was_asked_by_an_earlier_owner(true);
    that_is_due(false);
}
