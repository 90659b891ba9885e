//! Tests of moving instances between pools and of maintenance waves.

mod recorded_orders;

use {
    dotterelshore_domain::{
        collections::FastMap,
        names::{CentreName, InstanceName, JobName, PoolName, QueueName, WorkerName},
        schedule::{
            EndReason, EndedRun, FleetSchedule, InstanceActivity, InstanceOrder, InstancePlan,
            JobPlan, JobRecord, ListedInstance, ListedWorker, OrderRule, ReportedRun, Resources,
            StartReply, StepPlan, TaskName, WaveProgress, WaveSpec, WorkerOrder, WorkerReport,
        },
    },
    dotterelshore_testkit::named_cases,
    recorded_orders::recorded_orders,
    std::sync::Arc,
};

/// Worker lease, in milliseconds.
const LEASE_MS: u64 = 4_000;
/// Duration of maintenance, in milliseconds.
const MAINTENANCE_MS: u64 = 2_000;
/// Start time on the schedule's clock, in milliseconds.
const NOW_MS: u64 = 100_000;
/// Wall-clock time, in milliseconds since the Unix epoch.
const WALL_MS: u64 = 1_700_000_000_000;
/// Time between two plans, in milliseconds.
const STEP_MS: u64 = 150;

fn worker_name(host: usize, incarnation: u64) -> WorkerName {
    WorkerName::try_from(format!("w-{host}-{incarnation}")).expect("a name")
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
            timed_occurrences: 0,
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

/// A simulated platform with its workers and the plan under test: hosts with one worker each
/// in the pool `proofs`, and more hosts in the spare pool.
struct SimulatedFleet {
    schedule: FleetSchedule,
    plan: InstancePlan,
    pools: Vec<(PoolName, u64, Option<u64>)>,
    now_ms: u64,
    max_down: usize,
    maintained: usize,
    loses_answers: bool,
    startup_ms: u64,
    started: FastMap<(TaskName, u32), u64>,
}

impl SimulatedFleet {
    fn new(hosts: usize, spare: usize) -> Self {
        Self::with_orders(hosts, spare, 64.0)
    }

    fn with_orders(hosts: usize, spare: usize, orders_per_s: f64) -> Self {
        let mut plan = InstancePlan::new(MAINTENANCE_MS, orders_per_s);
        plan.set_spare(Some(pool("spare")));
        let at = |host| if host < hosts { "proofs" } else { "spare" };
        let pools = (0..hosts + spare).map(|host| (pool(at(host)), 1, None));
        let mut fleet = Self {
            schedule: FleetSchedule::new(OrderRule::default(), LEASE_MS, 0),
            plan,
            pools: pools.collect(),
            now_ms: NOW_MS,
            max_down: 0,
            maintained: 0,
            loses_answers: false,
            startup_ms: 0,
            started: FastMap::default(),
        };
        for host in 0..hosts {
            fleet.start_worker(host);
        }
        fleet.list_instances();
        fleet
    }

    fn start_worker(&mut self, host: usize) {
        let (pool, incarnation, _) = &self.pools[host];
        self.schedule.upsert_worker(ListedWorker {
            name: worker_name(host, *incarnation),
            started_ms: *incarnation,
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

    fn list_instances(&mut self) {
        let rows = self
            .pools
            .iter()
            .enumerate()
            .map(|(host, (pool, _, disrupted_until))| {
                let activity = match disrupted_until {
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

    /// Starts the ready tasks.
    fn start_tasks(&mut self) {
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

    /// Makes every worker report its runs, without those that were stopped.
    fn send_reports(&mut self, stopped: &[WorkerOrder]) {
        let statuses: Vec<_> = self.schedule.workers().cloned().collect();
        for status in statuses {
            let was_stopped = |task, run| {
                stopped.iter().any(|order| {
                    matches!(order, WorkerOrder::Stop(stop) if stop.task == task && stop.run == run)
                })
            };
            let rows = status
                .runs
                .iter()
                .filter(|(task, run)| !was_stopped(task.clone(), *run));
            let running = rows.map(|(task, run)| {
                let run_started = self.started.get(&(task.clone(), *run));
                let is_ready = run_started.is_none_or(|at| self.now_ms >= at + self.startup_ms);
                ReportedRun {
                    task: task.clone(),
                    run: *run,
                    checkpoint: Arc::from(""),
                    progress_percent: if is_ready { 100.0 } else { 0.0 },
                    metric: 0.0,
                }
            });
            let report = WorkerReport {
                started_ms: None,
                clock_ms: self.now_ms,
                running: running.collect(),
                finished: Vec::new(),
                ..WorkerReport::default()
            };
            for order in stopped {
                if let WorkerOrder::Stop(stop) = order {
                    self.schedule.confirm_stop(stop, 1);
                }
            }
            self.schedule
                .apply_report(&status.listed.name, &report, self.now_ms, WALL_MS);
        }
    }

    /// Resends unanswered orders, carries them out and returns them.
    fn resend_unanswered(&mut self) -> Vec<InstanceOrder> {
        let orders = self.plan.resend_unanswered(&mut self.schedule, self.now_ms);
        self.carry_out(&orders);
        orders
    }

    /// Makes one plan, carries it out and returns its orders for instances.
    fn step(&mut self) -> Vec<InstanceOrder> {
        self.now_ms += STEP_MS;
        for host in 0..self.pools.len() {
            if self.pools[host].2.is_some_and(|until| until <= self.now_ms) {
                self.pools[host].2 = None;
                self.pools[host].1 += 1;
                if self.pools[host].0 != pool("spare") {
                    self.start_worker(host);
                }
            }
        }
        self.list_instances();
        let (orders, stops) = self.plan.plan(&mut self.schedule, self.now_ms);
        self.carry_out(&orders);
        let down = self
            .pools
            .iter()
            .filter(|(.., disrupted_until)| disrupted_until.is_some())
            .count();
        self.max_down = self.max_down.max(down);
        self.send_reports(&stops);
        self.start_tasks();
        orders
    }

    fn carry_out(&mut self, orders: &[InstanceOrder]) {
        for order in orders {
            let (InstanceOrder::Move { instance, .. } | InstanceOrder::Maintain { instance, .. }) =
                order;
            let host = (0..self.pools.len()).find(|host| host_name(*host) == *instance);
            let host = host.expect("a known host");
            let worker = worker_name(host, self.pools[host].1);
            self.schedule.confirm_disruption(&worker, self.now_ms);
            self.schedule.unlist_worker(&worker, self.now_ms);
            self.pools[host].2 = Some(self.now_ms + MAINTENANCE_MS);
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

fn wave(hosts: usize, at_once: usize) -> WaveSpec {
    WaveSpec {
        number: 1,
        instances: (0..hosts).map(host_name).collect(),
        duration_ms: 20_000,
        at_once,
    }
}

/// Instances move from the spare pool to a pool whose demand exceeds its capacity, and back
/// once the demand ends.
fn pool_follows_demand(tasks: u32, least: usize, most: usize) {
    let mut fleet = SimulatedFleet::new(3, 10);
    fleet.send_reports(&[]);
    if tasks > 0 {
        fleet
            .schedule
            .add_job(job("peak", step(tasks, 32_000)), None, 0, NOW_MS, WALL_MS);
    }
    for _ in 0..30 {
        fleet.step();
    }
    let own = |fleet: &SimulatedFleet| {
        fleet
            .pools
            .iter()
            .filter(|(name, ..)| *name == pool("proofs"))
            .count()
    };
    assert!(
        (least..=most).contains(&own(&fleet)),
        "{} at the peak",
        own(&fleet)
    );
    let name = JobName::try_from("peak").expect("a name");
    let stops = fleet.schedule.cancel(&name, fleet.now_ms, WALL_MS);
    fleet.send_reports(&stops);
    for _ in 0..60 {
        fleet.step();
    }
    assert!(own(&fleet) <= 4, "{} after the peak", own(&fleet));
}

named_cases! { pool_follows_demand:
    pool_without_demand_keeps_its_minimum(0, 3, 3);
    small_peak_adds_some_instances(12, 6, 8);
    large_peak_adds_all_instances(60, 13, 13);
}

/// A wave completes in time, disrupts no more instances at once than allowed, and ends no more
/// tasks of a long-running step than may be unavailable.
fn wave_keeps_limits(tasks: u32, max_unavailable: u32, at_once: usize) {
    let mut fleet = SimulatedFleet::new(6, 4);
    fleet.send_reports(&[]);
    let long_running_step = StepPlan {
        long_running: true,
        max_unavailable: Some(max_unavailable),
        ..step(tasks, 6_000)
    };
    fleet.schedule.add_job(
        job("long-running", long_running_step),
        None,
        0,
        NOW_MS,
        WALL_MS,
    );
    for _ in 0..10 {
        fleet.step();
    }
    fleet
        .plan
        .add_wave(wave(6, at_once), None, fleet.now_ms, WALL_MS);
    let name = JobName::try_from("long-running").expect("a name");
    for _ in 0..200 {
        let before: usize = fleet
            .schedule
            .workers()
            .map(|status| status.runs.len())
            .sum();
        fleet.step();
        let after: usize = fleet
            .schedule
            .workers()
            .map(|status| status.runs.len())
            .sum();
        assert!(
            before <= after + max_unavailable as usize,
            "{before} ran, then {after}"
        );
    }
    assert!(fleet.schedule.state(&name).is_some(), "the job is known");
    assert_eq!(fleet.maintained, 6, "each instance once");
    assert_eq!(fleet.plan.complete_waves(), vec![1]);
    let progress: WaveProgress = fleet.plan.progress(1).expect("the wave");
    assert_eq!(progress.started.len(), 6);
}

named_cases! { wave_keeps_limits:
    wave_of_one_at_once_keeps_limit_of_one_unavailable(3, 1, 1);
    wave_of_three_at_once_keeps_limit_of_one_unavailable(6, 1, 3);
    wave_of_all_at_once_keeps_limit_of_two_unavailable(6, 2, 6);
    wave_with_more_tasks_than_instances_keeps_limits(9, 1, 3);
}

/// Early in a wave only idle instances are maintained, later all of them.
fn wave_maintains_idle_instances_first(steps: usize, busy_maintained: bool) {
    let mut fleet = SimulatedFleet::new(4, 0);
    fleet.send_reports(&[]);
    fleet
        .schedule
        .add_job(job("finite", step(16, 16_000)), None, 0, NOW_MS, WALL_MS);
    fleet.start_tasks();
    fleet.send_reports(&[]);
    fleet.plan.add_wave(wave(4, 4), None, fleet.now_ms, WALL_MS);
    for _ in 0..steps {
        fleet.step();
    }
    assert_eq!(
        fleet.maintained == 4,
        busy_maintained,
        "{} maintained",
        fleet.maintained
    );
}

named_cases! { wave_maintains_idle_instances_first:
    busy_instances_are_spared_early(8, false);
    busy_instances_are_maintained_late(140, true);
}

/// Long-running tasks whose memory or anti-affinity needs more instances than their processor
/// demand get them, also while a wave cordons some.
fn long_running_tasks_find_room(step: StepPlan, wave_at_once: usize) {
    let tasks = step.count as usize;
    let mut fleet = SimulatedFleet::new(3, 12);
    fleet.send_reports(&[]);
    fleet
        .schedule
        .add_job(job("long-running", step), None, 0, NOW_MS, WALL_MS);
    if wave_at_once > 0 {
        fleet
            .plan
            .add_wave(wave(3, wave_at_once), None, fleet.now_ms, WALL_MS);
    }
    for _ in 0..60 {
        fleet.step();
    }
    let running: usize = fleet
        .schedule
        .workers()
        .map(|status| status.runs.len())
        .sum();
    assert_eq!(running, tasks);
}

fn long_running_step(count: u32, memory_mb: u64, anti_affinity: Option<u32>) -> StepPlan {
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

named_cases! { long_running_tasks_find_room:
    memory_demand_adds_instances(long_running_step(9, 100_000, None), 0);
    anti_affinity_adds_instances(long_running_step(9, 1_000, Some(1)), 0);
    anti_affinity_adds_instances_during_a_wave(long_running_step(9, 1_000, Some(1)), 3);
}

/// Work that arrives faster than a pool serves it adds instances before it waits.
fn arrivals_add_instances(jobs: u64, least: usize) {
    let mut fleet = SimulatedFleet::new(3, 12);
    fleet.send_reports(&[]);
    for number in 0..jobs {
        let text = format!("early-{number}");
        let wide = StepPlan {
            estimate_ms: 2_000,
            ..step(4, 4_000)
        };
        let now_ms = fleet.now_ms;
        fleet
            .schedule
            .add_job(job(&text, wide), None, 0, now_ms, WALL_MS);
    }
    fleet.step();
    let own = fleet
        .pools
        .iter()
        .filter(|(name, ..)| *name == pool("proofs"))
        .count();
    assert!(own >= least, "{own} instances");
}

named_cases! { arrivals_add_instances:
    slow_arrivals_add_no_instances(2, 3);
    fast_arrivals_add_instances_at_once(12, 7);
}

/// An instance that an earlier owner sent an order for gets no order during its cooldown.
fn instance_cooldown(cooldown_ms: u64, moved: bool) {
    let mut fleet = SimulatedFleet::new(3, 1);
    fleet.send_reports(&[]);
    fleet
        .schedule
        .add_job(job("peak", step(60, 32_000)), None, 0, NOW_MS, WALL_MS);
    fleet.plan.set_cooldown(&host_name(3), NOW_MS + cooldown_ms);
    for _ in 0..4 {
        fleet.step();
    }
    assert_eq!(fleet.pools[3].0 == pool("proofs"), moved);
}

named_cases! { instance_cooldown:
    instance_is_not_moved_during_its_cooldown(3_000, false);
    instance_is_moved_after_its_cooldown(300, true);
}

/// If the platform accepts few orders per second, pools keep the instances that could not be
/// ordered back in time. If it accepts many, idle instances go to the spare pool.
fn order_rate_decides_returns(orders_per_s: f64, least: usize, most: usize) {
    let mut fleet = SimulatedFleet::with_orders(20, 0, orders_per_s);
    fleet.send_reports(&[]);
    for _ in 0..40 {
        fleet.step();
    }
    let own = fleet
        .pools
        .iter()
        .filter(|(name, ..)| *name == pool("proofs"))
        .count();
    assert!((least..=most).contains(&own), "{own} instances");
}

named_cases! { order_rate_decides_returns:
    high_order_rate_returns_idle_instances(64.0, 3, 3);
    low_order_rate_keeps_idle_instances(5.0, 20, 20);
}

/// A wave whose orders were not confirmed is neither complete nor recorded as started.
fn unconfirmed_wave(loses_answers: bool) {
    let mut fleet = SimulatedFleet::new(4, 0);
    fleet.loses_answers = loses_answers;
    fleet.send_reports(&[]);
    fleet.plan.add_wave(wave(4, 4), None, fleet.now_ms, WALL_MS);
    for _ in 0..60 {
        fleet.step();
    }
    assert_eq!(fleet.maintained, 4, "maintenance orders");
    assert!(fleet.max_down <= 4, "{} down at once", fleet.max_down);
    assert_eq!(fleet.plan.complete_waves().is_empty(), loses_answers);
    let recorded = fleet.plan.progress(1).expect("the wave").started.len();
    assert_eq!(recorded, if loses_answers { 0 } else { 4 });
}

named_cases! { unconfirmed_wave:
    confirmed_orders_complete_the_wave(false);
    unconfirmed_orders_do_not_complete_the_wave(true);
}

/// An instance whose order is refused after it returned is pending again, and the number of
/// instances that are down stays right.
fn refused_after_return(refused: bool) {
    let mut fleet = SimulatedFleet::new(2, 0);
    fleet.send_reports(&[]);
    fleet.plan.add_wave(wave(2, 1), None, fleet.now_ms, WALL_MS);
    for _ in 0..16 {
        fleet.step();
    }
    let maintained = fleet.maintained;
    if refused {
        let resend = fleet
            .plan
            .record_maintenance_refusal(&host_name(0), 1, false);
        assert!(!resend, "the order was confirmed");
    }
    for _ in 0..60 {
        fleet.step();
    }
    assert!(fleet.max_down <= 1, "{} down at once", fleet.max_down);
    assert_eq!(
        fleet.maintained,
        if refused { 3 } else { 2 },
        "after {maintained}"
    );
}

named_cases! { refused_after_return:
    wave_without_refusals_maintains_each_instance_once(false);
    refused_instance_is_maintained_again(true);
}

/// A refusal after an order whose answer was lost frees no place in the wave: the instance may
/// be down by the first order.
fn refused_after_lost_answer(removed: bool, maintained: usize) {
    let mut fleet = SimulatedFleet::new(3, 0);
    fleet.send_reports(&[]);
    fleet.plan.add_wave(wave(3, 1), None, fleet.now_ms, WALL_MS);
    fleet.loses_answers = true;
    while fleet.maintained == 0 {
        fleet.step();
    }
    let down = (0..3).find(|host| fleet.pools[*host].2.is_some());
    let down = host_name(down.expect("one is down"));
    let resend = fleet.plan.record_maintenance_refusal(&down, 1, removed);
    assert_eq!(resend, !removed, "to be resent");
    fleet.step();
    assert_eq!(fleet.maintained, maintained, "maintenance orders");
}

named_cases! { refused_after_lost_answer:
    refused_instance_still_counts_as_down(false, 1);
    removed_instance_does_not_count_as_down(true, 2);
}

/// A peak that needs many instances orders them together, but in no second more than the
/// platform accepts.
fn orders_stay_within_rate(orders_per_s: f64, most_in_a_second: usize, least_in_all: usize) {
    let mut fleet = SimulatedFleet::with_orders(3, 60, orders_per_s);
    fleet.send_reports(&[]);
    fleet
        .schedule
        .add_job(job("peak", step(100, 32_000)), None, 0, NOW_MS, WALL_MS);
    let mut sent: Vec<(u64, usize)> = Vec::new();
    for _ in 0..10 {
        let orders = fleet.step().len();
        sent.push((fleet.now_ms, orders));
        let second: usize = sent
            .iter()
            .filter(|(at, _)| at + 1_000 > fleet.now_ms)
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

named_cases! { orders_stay_within_rate:
    orders_stay_within_ten_per_second(10.0, 10, 19);
    orders_for_a_whole_shortage_are_sent_at_once(200.0, 200, 50);
}

/// The next owner knows of an order without an answer. The instance counts as down, and the
/// order is resent once its long-running steps allow the disruption.
fn next_owner_resends_unconfirmed_orders(answered: bool) {
    let mut fleet = SimulatedFleet::new(3, 0);
    fleet.send_reports(&[]);
    fleet.plan.add_wave(wave(3, 1), None, fleet.now_ms, WALL_MS);
    let (orders, _) = fleet.plan.plan(&mut fleet.schedule, fleet.now_ms);
    let [InstanceOrder::Maintain { instance, .. }] = &*orders else {
        panic!("one order for maintenance, not {orders:?}");
    };
    if answered {
        fleet
            .plan
            .record_maintenance_start(instance, 1, true, fleet.now_ms);
    }
    let recorded = fleet.plan.progress(1).expect("the wave");
    assert_eq!(
        recorded.unconfirmed.contains(instance),
        !answered,
        "recorded as unconfirmed"
    );

    let mut next = SimulatedFleet::new(3, 0);
    next.send_reports(&[]);
    next.plan
        .add_wave(wave(3, 1), Some(&recorded), next.now_ms, WALL_MS);
    next.list_instances();
    let (orders, _) = next.plan.plan(&mut next.schedule, next.now_ms);
    assert_eq!(orders, Vec::new(), "the instance may be down");
    next.now_ms += MAINTENANCE_MS * 2;
    next.list_instances();
    let again = next.plan.resend_unanswered(&mut next.schedule, next.now_ms);
    assert_eq!(again.len(), usize::from(!answered));
    assert!(again.iter().all(|order| order.instance() == instance));
    let twice = next.plan.resend_unanswered(&mut next.schedule, next.now_ms);
    assert_eq!(twice, Vec::new(), "the resent order is in flight");
    let (orders, _) = next.plan.plan(&mut next.schedule, next.now_ms);
    assert_eq!(orders.len(), usize::from(answered), "the next instance");
}

named_cases! { next_owner_resends_unconfirmed_orders:
    unanswered_order_is_resent_by_the_next_owner(false);
    answered_order_is_not_resent_by_the_next_owner(true);
}

/// An instance whose maintenance order may not have been carried out is not disrupted while
/// that would exceed a step's limit of unavailable tasks.
fn resend_keeps_max_unavailable(other_ready: bool) {
    let mut fleet = SimulatedFleet::new(2, 0);
    fleet.send_reports(&[]);
    let long_running_step = StepPlan {
        long_running: true,
        max_unavailable: Some(1),
        anti_affinity: Some(1),
        ..step(2, 2_000)
    };
    fleet.schedule.add_job(
        job("long-running", long_running_step),
        None,
        0,
        NOW_MS,
        WALL_MS,
    );
    fleet.start_tasks();
    if other_ready {
        fleet.send_reports(&[]);
    }
    let recorded = WaveProgress {
        number: 1,
        started: Vec::new(),
        unconfirmed: vec![host_name(0)],
        completed: false,
        since_wall_ms: WALL_MS,
    };
    fleet
        .plan
        .add_wave(wave(2, 1), Some(&recorded), fleet.now_ms, WALL_MS);
    fleet.plan.plan(&mut fleet.schedule, fleet.now_ms);
    let again = fleet
        .plan
        .resend_unanswered(&mut fleet.schedule, fleet.now_ms);
    assert_eq!(again.len(), usize::from(other_ready));
}

named_cases! { resend_keeps_max_unavailable:
    order_is_resent_while_the_other_task_is_ready(true);
    order_is_not_resent_until_the_other_task_is_ready(false);
}

/// Of instances with unanswered orders and tasks of one step, no more are ordered again at
/// once than may be unavailable.
fn resend_at_most_max_unavailable_at_once(max_unavailable: u32, at_once: usize) {
    let mut fleet = SimulatedFleet::new(3, 0);
    fleet.send_reports(&[]);
    let long_running_step = StepPlan {
        long_running: true,
        max_unavailable: Some(max_unavailable),
        anti_affinity: Some(1),
        ..step(3, 2_000)
    };
    fleet.schedule.add_job(
        job("long-running", long_running_step),
        None,
        0,
        NOW_MS,
        WALL_MS,
    );
    fleet.start_tasks();
    fleet.send_reports(&[]);
    let recorded = WaveProgress {
        number: 1,
        started: Vec::new(),
        unconfirmed: (0..3).map(host_name).collect(),
        completed: false,
        since_wall_ms: WALL_MS,
    };
    fleet
        .plan
        .add_wave(wave(3, 3), Some(&recorded), fleet.now_ms, WALL_MS);
    fleet.plan.plan(&mut fleet.schedule, fleet.now_ms);
    let again = fleet
        .plan
        .resend_unanswered(&mut fleet.schedule, fleet.now_ms);
    assert_eq!(again.len(), at_once);
    fleet.carry_out(&again);
    for _ in 0..80 {
        fleet.resend_unanswered();
        fleet.step();
    }
    assert_eq!(fleet.maintained, 3, "the other instances follow");
}

named_cases! { resend_at_most_max_unavailable_at_once:
    one_order_is_resent_if_one_task_may_be_unavailable(1, 1);
    two_orders_are_resent_if_two_tasks_may_be_unavailable(2, 2);
}

/// A worker gets no tasks once a move of its instance is planned. It gets tasks again after
/// the move is refused, or some time after a move without an answer left it where it was.
fn planned_move_blocks_tasks(refused: bool, wait_ms: u64, accepts_tasks: bool) {
    let mut fleet = SimulatedFleet::new(5, 0);
    fleet.send_reports(&[]);
    let order = loop {
        fleet.now_ms += STEP_MS;
        fleet.list_instances();
        let (orders, _) = fleet.plan.plan(&mut fleet.schedule, fleet.now_ms);
        if let Some(order) = orders.first() {
            break order.clone();
        }
    };
    let host = (0..5).find(|host| host_name(*host) == *order.instance());
    let worker = worker_name(host.expect("a known host"), 1);
    let is_accepting = |fleet: &SimulatedFleet| {
        let status = fleet.schedule.worker(&worker).expect("it is listed");
        status.accepts_tasks(fleet.now_ms)
    };
    assert!(!is_accepting(&fleet), "the move is planned");
    if refused {
        fleet.plan.revert_move(order.instance());
        fleet.schedule.set_cordon(&worker, false);
    } else {
        fleet
            .plan
            .mark_move_unconfirmed(order.instance(), fleet.now_ms);
    }
    fleet.now_ms += wait_ms;
    fleet.list_instances();
    fleet
        .plan
        .set_cooldown(order.instance(), fleet.now_ms + MAINTENANCE_MS);
    fleet.plan.plan(&mut fleet.schedule, fleet.now_ms);
    assert_eq!(is_accepting(&fleet), accepts_tasks);
}

named_cases! { planned_move_blocks_tasks:
    worker_gets_tasks_after_a_refused_move(true, 0, true);
    worker_gets_no_tasks_just_after_an_unanswered_move(false, 500, false);
    worker_gets_tasks_some_time_after_an_unanswered_move(false, 3_500, true);
}

/// A task with an orphaned run on an unlisted worker restarts as soon as the platform's list
/// shows that the instance no longer hosts the worker. It waits if the worker may only be cut
/// off.
fn replaced_worker(
    listed_pool: &str,
    activity: InstanceActivity,
    incarnation: Option<u64>,
    starts: bool,
) {
    let mut fleet = SimulatedFleet::new(2, 0);
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + LEASE_MS);
    schedule.add_job(
        job("inherited", step(1, 2_000)),
        None,
        1_000,
        NOW_MS,
        WALL_MS,
    );
    for host in 0..2 {
        let status = fleet.schedule.worker(&worker_name(host, 1));
        let listed = status.expect("it is listed").listed.clone();
        schedule.upsert_worker(listed);
    }
    let unlisted = worker_name(0, 1);
    schedule.unlist_worker(&unlisted, NOW_MS);
    fleet.schedule = schedule;
    let reported = WorkerReport::default();
    fleet
        .schedule
        .apply_report(&worker_name(1, 1), &reported, NOW_MS, WALL_MS);
    let orders = fleet.schedule.plan_starts(NOW_MS, WALL_MS, u64::MAX);
    assert_eq!(
        orders,
        Vec::new(),
        "the task may run on the unreported worker"
    );
    let row = ListedInstance {
        name: host_name(0),
        pool: pool(listed_pool),
        activity,
        worker: incarnation.map(|incarnation| worker_name(0, incarnation)),
    };
    fleet.schedule.remove_replaced_workers(&[row]);
    let orders = recorded_orders(&mut fleet.schedule, NOW_MS, WALL_MS);
    assert_eq!(orders.len(), usize::from(starts));
}

named_cases! { replaced_worker:
    runs_restart_if_the_instance_is_in_another_pool("spare", InstanceActivity::Up, None, true);
    runs_restart_if_the_instance_moves("proofs", InstanceActivity::Disrupted, None, true);
    runs_restart_if_the_instance_hosts_another_worker("proofs", InstanceActivity::Up, Some(2), true);
    runs_wait_if_the_instance_still_hosts_the_worker("proofs", InstanceActivity::Up, Some(1), false);
    runs_wait_if_the_instance_is_down("proofs", InstanceActivity::Down, None, false);
}

/// Early in a wave, long-running tasks leave instances with several of them, within the limit
/// of each step, so that the wave completes in time.
fn long_running_tasks_relocate_early(jobs: usize, count: u32, cpu_milli: u64, busy: u32) {
    let mut fleet = SimulatedFleet::new(6, 4);
    fleet.startup_ms = 1_200;
    fleet.send_reports(&[]);
    let long_running_step = StepPlan {
        long_running: true,
        max_unavailable: Some(1),
        ..step(count, cpu_milli)
    };
    for number in 0..jobs {
        let text = format!("long-running-{number}");
        fleet.schedule.add_job(
            job(&text, long_running_step.clone()),
            None,
            0,
            NOW_MS,
            WALL_MS,
        );
    }
    for _ in 0..20 {
        fleet.step();
    }
    if busy > 0 {
        let (now_ms, finite) = (fleet.now_ms, step(busy, 2_000));
        fleet
            .schedule
            .add_job(job("finite", finite), None, 0, now_ms, WALL_MS);
        fleet.start_tasks();
    }
    fleet.plan.add_wave(wave(6, 6), None, fleet.now_ms, WALL_MS);
    let in_time = 20_000 / STEP_MS;
    for _ in 0..in_time {
        fleet.step();
    }
    assert_eq!(fleet.maintained, 6, "maintained in the wave's time");
}

named_cases! { long_running_tasks_relocate_early:
    wave_relocates_two_tasks_of_a_step_on_some_instances(6, 8, 6_000, 0);
    wave_relocates_two_tasks_of_each_step_on_all_instances(4, 12, 5_000, 0);
    wave_relocates_tasks_beside_other_work(4, 12, 5_000, 60);
}

/// Tasks go to workers without pending maintenance as far as these have room.
fn pending_workers_come_last(tasks: u32, on_pending: usize) {
    let mut fleet = SimulatedFleet::new(4, 0);
    fleet.send_reports(&[]);
    let mut busy = wave(2, 1);
    busy.instances = vec![host_name(0), host_name(1)];
    fleet.plan.add_wave(busy, None, fleet.now_ms, WALL_MS);
    for host in 0..2 {
        fleet
            .plan
            .set_cooldown(&host_name(host), NOW_MS + MAINTENANCE_MS);
    }
    fleet.plan.plan(&mut fleet.schedule, fleet.now_ms);
    fleet
        .schedule
        .add_job(job("finite", step(tasks, 16_000)), None, 0, NOW_MS, WALL_MS);
    fleet.start_tasks();
    let runs = |host| {
        let status = fleet.schedule.worker(&worker_name(host, 1));
        status.expect("it is listed").runs.len()
    };
    assert_eq!(runs(0) + runs(1), on_pending);
}

named_cases! { pending_workers_come_last:
    pending_workers_get_no_tasks_while_others_have_room(8, 0);
    pending_workers_get_tasks_when_others_are_full(10, 2);
}

/// A new owner disrupts no instance whose worker has not reported to it: the runs there are
/// unknown.
fn unreported_worker_is_not_disrupted(unconfirmed: bool) {
    let mut fleet = SimulatedFleet::new(2, 0);
    let recorded = WaveProgress {
        number: 1,
        started: Vec::new(),
        unconfirmed: if unconfirmed {
            vec![host_name(0)]
        } else {
            Vec::new()
        },
        completed: false,
        since_wall_ms: WALL_MS,
    };
    fleet
        .plan
        .add_wave(wave(1, 1), Some(&recorded), fleet.now_ms, WALL_MS);
    let orders = |fleet: &mut SimulatedFleet| {
        let mut orders = fleet
            .plan
            .resend_unanswered(&mut fleet.schedule, fleet.now_ms);
        orders.extend(fleet.plan.plan(&mut fleet.schedule, fleet.now_ms).0);
        orders
    };
    assert_eq!(orders(&mut fleet), Vec::new(), "not reported yet");
    fleet.send_reports(&[]);
    assert_eq!(orders(&mut fleet).len(), 1, "reported, and idle");
}

named_cases! { unreported_worker_is_not_disrupted:
    unreported_worker_with_an_earlier_order_is_not_disrupted(true);
    unreported_worker_with_pending_maintenance_is_not_disrupted(false);
}

/// While its tasks may not leave in a wave's time, an instance is disrupted only once they have
/// left: they start elsewhere sooner than those that the disruption would end.
fn late_wave_disrupts_idle_instances(tasks: u32, max_unavailable: u32) {
    let mut fleet = SimulatedFleet::new(6, 4);
    fleet.startup_ms = 1_200;
    fleet.send_reports(&[]);
    let long_running_step = StepPlan {
        long_running: true,
        max_unavailable: Some(max_unavailable),
        ..step(tasks, 6_000)
    };
    fleet
        .schedule
        .add_job(job("lasts", long_running_step), None, 0, NOW_MS, WALL_MS);
    for _ in 0..20 {
        fleet.step();
    }
    let late_wave = WaveSpec {
        duration_ms: 4_000,
        ..wave(6, 6)
    };
    fleet.plan.add_wave(late_wave, None, fleet.now_ms, WALL_MS);
    let mut disrupted = 0;
    for _ in 0..4_000 / STEP_MS {
        let busy: Vec<_> = fleet
            .schedule
            .workers()
            .filter(|status| !status.runs.is_empty())
            .filter_map(|status| status.listed.instance.clone())
            .collect();
        for order in fleet.step() {
            if let InstanceOrder::Maintain { instance, .. } = order {
                assert!(!busy.contains(&instance), "{instance} is busy");
                disrupted += 1;
            }
        }
    }
    assert!(disrupted > 0, "no instance was maintained");
}

named_cases! { late_wave_disrupts_idle_instances:
    late_wave_relocates_single_tasks_first(6, 1);
    late_wave_relocates_pairs_of_tasks_first(12, 2);
}

/// Longest time that a wave may keep a worker from tasks while its instance is up, in milliseconds:
/// its other tasks end, and one that lasts is relocated.
const CORDON_MAX_MS: u64 = 6_000;

/// A pool whose workers run a lasting job, without spare instances.
fn lasting_fleet(hosts: usize, count: u32, max_unavailable: u32) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(hosts, 0);
    fleet.send_reports(&[]);
    let lasting = StepPlan {
        max_unavailable: Some(max_unavailable),
        ..long_running_step(count, 1_000, Some(2))
    };
    fleet
        .schedule
        .add_job(job("lasting", lasting), None, 0, NOW_MS, WALL_MS);
    for _ in 0..10 {
        fleet.step();
    }
    fleet
}

/// Guards against LOST of review/12: a wave that can't be kept keeps no worker from tasks for good,
/// and jobs start all the while. The first workers have left.
fn cordon_ends(mut fleet: SimulatedFleet, left: usize) {
    let hosts = fleet.pools.len();
    for host in 0..left {
        fleet
            .schedule
            .confirm_disruption(&worker_name(host, 1), fleet.now_ms);
        fleet
            .schedule
            .unlist_worker(&worker_name(host, 1), fleet.now_ms);
        fleet.pools[host].2 = Some(u64::MAX);
    }
    fleet
        .plan
        .add_wave(wave(hosts, hosts), None, fleet.now_ms, WALL_MS);
    let second = WaveSpec {
        number: 2,
        ..wave(hosts, hosts)
    };
    fleet.plan.add_wave(second, None, fleet.now_ms, WALL_MS);
    let mut since_ms: FastMap<WorkerName, u64> = FastMap::default();
    for pass in 0..200 {
        if pass % 7 == 0 {
            let short = job(&format!("short-{pass}"), step(1, 1_000));
            fleet
                .schedule
                .add_job(short, None, 0, fleet.now_ms, WALL_MS);
        }
        fleet.step();
        let cordoned = fleet.schedule.workers().filter(|status| status.cordoned);
        let cordoned: Vec<_> = cordoned.map(|status| status.listed.name.clone()).collect();
        since_ms.retain(|name, _| cordoned.contains(name));
        for name in cordoned {
            let since_ms = *since_ms.entry(name.clone()).or_insert(fleet.now_ms);
            assert!(
                fleet.now_ms - since_ms <= CORDON_MAX_MS,
                "{name} is cordoned"
            );
        }
    }
    assert!(
        fleet.schedule.pending(&job("short", step(1, 1)).queue) <= 1,
        "jobs wait"
    );
}

named_cases! { cordon_ends:
    cordon_ends_beside_a_task_without_place(lasting_fleet(3, 6, 1), 1);
    cordon_ends_with_no_task_that_may_be_unavailable(lasting_fleet(3, 3, 0), 0);
    cordon_ends_where_tasks_have_no_other_place(lasting_fleet(2, 4, 1), 0);
}

/// A task that lasts is not stopped for a wave if no other worker may take it.
#[test]
fn task_without_other_place_is_not_stopped() {
    let mut fleet = lasting_fleet(1, 2, 1);
    fleet.plan.add_wave(wave(1, 1), None, fleet.now_ms, WALL_MS);
    for _ in 0..200 {
        fleet.step();
    }
    let status = fleet
        .schedule
        .worker(&worker_name(0, 1))
        .expect("the worker");
    assert_eq!(
        (status.runs.len(), fleet.started.len()),
        (2, 2),
        "both run on"
    );
}

/// Orders that are not answered keep no more than half of a pool from tasks.
#[test]
fn unanswered_orders_keep_half_of_a_pool_at_most() {
    let mut fleet = lasting_fleet(4, 4, 4);
    fleet.plan.add_wave(wave(4, 4), None, fleet.now_ms, WALL_MS);
    for pass in 0..200 {
        if pass % 7 == 0 {
            let short = job(&format!("short-{pass}"), step(1, 1_000));
            fleet
                .schedule
                .add_job(short, None, 0, fleet.now_ms, WALL_MS);
        }
        fleet.now_ms += STEP_MS;
        let now_ms = fleet.now_ms;
        let mut orders = fleet.plan.resend_unanswered(&mut fleet.schedule, now_ms);
        orders.extend(fleet.plan.plan(&mut fleet.schedule, now_ms).0);
        for order in orders {
            fleet
                .plan
                .record_maintenance_start(order.instance(), 1, false, now_ms);
        }
        fleet.send_reports(&[]);
        fleet.start_tasks();
        let cordoned = fleet.schedule.workers().filter(|status| status.cordoned);
        assert_eq!(cordoned.count(), 2, "of four");
    }
    let queue = job("short", step(1, 1)).queue;
    assert!(fleet.schedule.pending(&queue) <= 1, "jobs wait");
}

/// A worker that was silent after an order for its instance was confirmed, and outlives it, gets tasks.
#[test]
fn worker_that_outlives_a_confirmed_order_gets_tasks() {
    let mut fleet = lasting_fleet(1, 1, 1);
    let worker = worker_name(0, 1);
    fleet
        .schedule
        .confirm_repeated_disruption(&worker, fleet.now_ms);
    fleet.schedule.mark_unreachable(&worker);
    fleet.now_ms += 3_000;
    fleet.send_reports(&[]);
    let status = fleet.schedule.worker(&worker).expect("the worker");
    assert!(status.accepts_tasks(fleet.now_ms), "it answers");
}

/// Returns an unfinished wave whose order for the first instance of two got no answer.
fn unanswered_wave() -> WaveProgress {
    WaveProgress {
        number: 1,
        started: Vec::new(),
        unconfirmed: vec![host_name(0)],
        completed: false,
        since_wall_ms: WALL_MS,
    }
}

/// A wave orders no maintenance while its worker runs a task that ends by itself: the end, and that
/// the task is done, would be lost.
fn wave_disrupts_no_open_run(recorded: Option<&WaveProgress>) {
    let mut fleet = SimulatedFleet::new(2, 0);
    fleet.send_reports(&[]);
    fleet
        .schedule
        .add_job(job("finite", step(4, 16_000)), None, 0, NOW_MS, WALL_MS);
    fleet.start_tasks();
    fleet.send_reports(&[]);
    fleet
        .plan
        .add_wave(wave(2, 1), recorded, fleet.now_ms, WALL_MS);
    for _ in 0..200 {
        let runs: FastMap<_, _> = fleet
            .schedule
            .workers()
            .map(|status| (status.listed.instance.clone(), status.runs.len()))
            .collect();
        let mut orders = fleet.resend_unanswered();
        orders.extend(fleet.step());
        for order in orders {
            let open = runs.get(&Some(order.instance().clone()));
            assert_eq!(open.copied().unwrap_or_default(), 0, "{order:?}");
        }
    }
    assert!(fleet.maintained >= 2, "{} maintained", fleet.maintained);
}

named_cases! { wave_disrupts_no_open_run:
    late_wave_stops_tasks_before_maintenance(None);
    unanswered_order_is_not_resent_beside_open_runs(Some(&unanswered_wave()));
}

/// A worker's instance is not ordered into maintenance while an end that it listed is not recorded:
/// the next owner could not read it any more.
fn maintenance_waits_for_record(is_recorded: bool) {
    let mut fleet = SimulatedFleet::new(1, 0);
    fleet.send_reports(&[]);
    fleet
        .schedule
        .add_job(job("finite", step(2, 16_000)), None, 0, NOW_MS, WALL_MS);
    fleet.start_tasks();
    let worker = worker_name(0, 1);
    let status = fleet.schedule.worker(&worker).expect("the worker");
    let runs: Vec<_> = status.runs.iter().cloned().collect();
    let ended = (1..).zip(runs).map(|(number, (task, run))| EndedRun {
        number,
        task,
        run,
        reason: EndReason::Done,
        checkpoint: Arc::from(""),
    });
    let report = WorkerReport {
        clock_ms: fleet.now_ms,
        finished: ended.collect(),
        ..WorkerReport::default()
    };
    fleet
        .schedule
        .apply_report(&worker, &report, fleet.now_ms, WALL_MS);
    if is_recorded {
        let batch = fleet.schedule.take_progress_batch();
        fleet.schedule.mark_progress_recorded(&batch);
    }
    fleet.plan.add_wave(wave(1, 1), None, fleet.now_ms, WALL_MS);
    let (orders, _) = fleet.plan.plan(&mut fleet.schedule, fleet.now_ms);
    assert_eq!(orders.len(), usize::from(is_recorded));
}

named_cases! { maintenance_waits_for_record:
    instance_with_an_unrecorded_end_is_not_maintained(false);
    instance_with_recorded_ends_is_maintained(true);
}

/// Two waves that name an idle instance order it one after the other.
#[test]
fn waves_order_an_instance_once_at_a_time() {
    let mut fleet = SimulatedFleet::new(1, 0);
    fleet.send_reports(&[]);
    for number in [1, 2] {
        let spec = WaveSpec {
            number,
            ..wave(1, 1)
        };
        fleet.plan.add_wave(spec, None, fleet.now_ms, WALL_MS);
    }
    let (orders, _) = fleet.plan.plan(&mut fleet.schedule, fleet.now_ms);
    assert_eq!(orders.len(), 1, "{orders:?}");
}

/// A worker that comes up while a wave still waits for its instance has its own time to end its
/// tasks, however long the one before was cordoned.
fn wave_drains_each_worker(is_replaced: bool) {
    let mut fleet = SimulatedFleet::new(2, 0);
    fleet.send_reports(&[]);
    fleet
        .schedule
        .add_job(job("finite", step(4, 30_000)), None, 0, NOW_MS, WALL_MS);
    fleet.start_tasks();
    let spec = WaveSpec {
        duration_ms: 0,
        instances: vec![host_name(0)],
        ..wave(1, 1)
    };
    fleet.plan.add_wave(spec, None, fleet.now_ms, WALL_MS);
    let is_drained = |fleet: &mut SimulatedFleet| {
        fleet.now_ms += STEP_MS;
        let (orders, stops) = fleet.plan.plan(&mut fleet.schedule, fleet.now_ms);
        !orders.is_empty() || !stops.is_empty()
    };
    for _ in 0..14 {
        assert!(!is_drained(&mut fleet), "the first worker has time left");
    }
    if is_replaced {
        fleet
            .schedule
            .unlist_worker(&worker_name(0, 1), fleet.now_ms);
        fleet.pools[0].1 = 2;
        fleet.start_worker(0);
        fleet.send_reports(&[]);
        fleet.start_tasks();
    }
    let drained = (0..10).any(|_| is_drained(&mut fleet));
    assert_eq!(drained, !is_replaced, "within 3.6 s");
}

named_cases! { wave_drains_each_worker:
    cordoned_worker_is_drained_in_time(false);
    next_worker_is_not_drained_by_an_earlier_cordon(true);
}
