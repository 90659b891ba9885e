//! Tests of workers that a wave keeps from new tasks: each gets tasks again, or its instance is
//! disrupted.

mod recorded_orders;
mod samples;

use {
    dotterelshore_domain::{
        collections::FastMap,
        names::{InstanceName, WorkerName},
        schedule::{
            FleetSchedule, InstanceActivity, InstancePlan, ListedInstance, ListedWorker, OrderRule,
            ReportedRun, Resources, StartReply, StepPlan, WaveSpec, WorkerOrder, WorkerReport,
        },
    },
    dotterelshore_testkit::named_cases,
    recorded_orders::recorded_orders,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    std::sync::Arc,
};

/// Worker lease, in milliseconds.
const LEASE_MS: u64 = 4_000;
/// Processor capacity of a worker, in thousandths of a core.
const WORKER_MILLI: u64 = 64_000;
/// Duration of maintenance, in milliseconds.
const MAINTENANCE_MS: u64 = 2_000;
/// Time of a wave, in milliseconds.
const WAVE_MS: u64 = 12_000;
/// Time between two planning passes, in milliseconds.
const PASS_MS: u64 = 150;
/// How long the tests plan, in milliseconds.
const PLAY_MS: u64 = 30_000;
/// Longest time that a worker may be kept from tasks while its instance is up: the time for its
/// tasks to end, and to relocate one that lasts.
const CORDON_MAX_MS: u64 = 6_000;

fn worker_name(number: usize) -> WorkerName {
    WorkerName::try_from(format!("w-{number}")).expect("a name")
}

fn instance_name(number: usize) -> InstanceName {
    InstanceName::try_from(format!("m-{number}")).expect("a name")
}

fn listed(number: usize) -> ListedWorker {
    ListedWorker {
        instance: Some(instance_name(number)),
        ..sample_worker(&format!("w-{number}"), WORKER_MILLI)
    }
}

fn lasting_step(count: u32, max_unavailable: u32, anti_affinity: Option<u32>) -> StepPlan {
    StepPlan {
        count,
        need: Resources {
            cpu_milli: 1_000,
            memory_mb: 256,
            gpus: 0,
        },
        long_running: true,
        max_unavailable: Some(max_unavailable),
        anti_affinity,
        ..StepPlan::default()
    }
}

/// What the platform does with orders for instances.
#[derive(Clone, Copy, PartialEq)]
enum Platform {
    /// Never answers.
    Silent,
    /// Confirms an order and does not carry it out, since it did so before.
    Confirming,
}

/// A pool whose workers run a lasting job.
struct WaveFleet {
    schedule: FleetSchedule,
    plan: InstancePlan,
    workers: Vec<usize>,
    now_ms: u64,
    platform: Platform,
    short_jobs: u64,
    started: FastMap<WorkerName, usize>,
    cordoned_since_ms: FastMap<WorkerName, u64>,
    longest_cordon_ms: u64,
    stops: usize,
}

impl WaveFleet {
    fn new(workers: usize, step: StepPlan) -> Self {
        let mut fleet = Self {
            schedule: FleetSchedule::new(OrderRule::default(), LEASE_MS, 0),
            plan: InstancePlan::new(MAINTENANCE_MS, 64.0),
            workers: (0..workers).collect(),
            now_ms: NOW_MS,
            platform: Platform::Silent,
            short_jobs: 0,
            started: FastMap::default(),
            cordoned_since_ms: FastMap::default(),
            longest_cordon_ms: 0,
            stops: 0,
        };
        for number in 0..workers {
            fleet.schedule.upsert_worker(listed(number));
        }
        fleet.report(&[]);
        let job = sample_job("lasting", step);
        fleet.schedule.add_job(job, None, 0, NOW_MS, WALL_MS);
        for _ in 0..10 {
            fleet.pass();
        }
        fleet
    }

    /// A worker leaves for good, with its instance.
    fn leave(&mut self, number: usize) {
        self.workers.retain(|own| *own != number);
        self.schedule
            .unlist_worker(&worker_name(number), self.now_ms);
        self.schedule.mark_unreachable(&worker_name(number));
        self.schedule.tick(self.now_ms + 3 * LEASE_MS, true);
    }

    fn add_wave(&mut self, number: u64, at_once: usize) {
        let spec = WaveSpec {
            number,
            instances: self.workers.iter().copied().map(instance_name).collect(),
            duration_ms: WAVE_MS,
            at_once,
        };
        self.plan.add_wave(spec, None, self.now_ms, WALL_MS);
    }

    fn play(&mut self) {
        let end_ms = self.now_ms + PLAY_MS;
        while self.now_ms < end_ms {
            if (self.now_ms - NOW_MS) % 1_000 < PASS_MS {
                self.short_jobs += 1;
                let record = sample_job(&format!("short-{}", self.short_jobs), short_step());
                self.schedule.add_job(record, None, 0, self.now_ms, WALL_MS);
            }
            self.pass();
        }
    }

    /// Plans once; the tasks that were started are ready, and those that were stopped are gone, in
    /// the next reports.
    fn pass(&mut self) {
        self.now_ms += PASS_MS;
        let rows = self.workers.iter().map(|number| ListedInstance {
            name: instance_name(*number),
            pool: listed(*number).pool,
            activity: InstanceActivity::Up,
            worker: None,
        });
        self.plan.apply_instance_list(rows.collect(), self.now_ms);
        let mut orders = self.plan.resend_unanswered(&mut self.schedule, self.now_ms);
        let (planned, stops) = self.plan.plan(&mut self.schedule, self.now_ms);
        orders.extend(planned);
        for order in orders {
            let instance = order.instance().clone();
            let worker = self.plan.worker_of(&instance).cloned();
            let is_confirmed = self.platform == Platform::Confirming;
            self.plan
                .record_maintenance_start(&instance, 1, is_confirmed, self.now_ms);
            if let Some(worker) = worker.filter(|_| is_confirmed) {
                self.schedule
                    .confirm_repeated_disruption(&worker, self.now_ms);
            }
        }
        self.stops += stops.len();
        self.report(&stops);
        for order in recorded_orders(&mut self.schedule, self.now_ms, WALL_MS) {
            if let WorkerOrder::Start(start) = order {
                let reply = StartReply::Started { clock_ms: 1 };
                *self.started.entry(start.worker.clone()).or_default() += 1;
                self.schedule.apply_start_reply(
                    &start.worker,
                    &start.task,
                    start.run,
                    reply,
                    self.now_ms,
                );
            }
        }
        self.watch_cordons();
    }

    /// Makes each worker report its lasting runs, without those that were stopped. Short ones end.
    fn report(&mut self, stops: &[WorkerOrder]) {
        for number in self.workers.clone() {
            let worker = worker_name(number);
            let status = self.schedule.worker(&worker).expect("a worker");
            let is_stopped = |run: &(_, u32)| {
                stops.iter().any(|order| {
                    matches!(order, WorkerOrder::Stop(stop) if (&stop.task, stop.run) == (&run.0, run.1))
                })
            };
            let runs = status.runs.iter().filter(|run| !is_stopped(run));
            let lasting = runs.filter(|(task, _)| task.job.as_str() == "lasting");
            let running = lasting.map(|(task, run)| ReportedRun {
                task: task.clone(),
                run: *run,
                checkpoint: Arc::from(""),
                progress_percent: 100.0,
                metric: 0.0,
            });
            let report = WorkerReport {
                clock_ms: self.now_ms,
                running: running.collect(),
                ..WorkerReport::default()
            };
            for order in stops {
                if let WorkerOrder::Stop(stop) = order {
                    self.schedule.confirm_stop(stop, 1);
                }
            }
            self.schedule
                .apply_report(&worker, &report, self.now_ms, WALL_MS);
        }
    }

    fn watch_cordons(&mut self) {
        for status in self.schedule.workers() {
            let name = &status.listed.name;
            if status.cordoned {
                let since_ms = self
                    .cordoned_since_ms
                    .entry(name.clone())
                    .or_insert(self.now_ms);
                let cordon_ms = self.now_ms - *since_ms;
                self.longest_cordon_ms = self.longest_cordon_ms.max(cordon_ms);
            } else {
                self.cordoned_since_ms.remove(name);
            }
        }
    }
}

fn short_step() -> StepPlan {
    StepPlan {
        count: 1,
        need: Resources {
            cpu_milli: 1_000,
            memory_mb: 256,
            gpus: 0,
        },
        estimate_ms: 500,
        ..StepPlan::default()
    }
}

/// Guards against LOST of review/12: no worker is kept from tasks for good by a wave that can't be
/// kept, and short jobs start all the while.
fn cordon_ends(mut fleet: WaveFleet, at_once: usize) {
    let workers = fleet.workers.len();
    fleet.add_wave(1, at_once);
    fleet.add_wave(2, at_once);
    fleet.play();
    let longest_ms = fleet.longest_cordon_ms;
    assert!(longest_ms <= CORDON_MAX_MS, "cordoned for {longest_ms} ms");
    let waiting = fleet
        .schedule
        .pending(&sample_job("one", short_step()).queue);
    assert!(waiting <= 1, "{waiting} short jobs wait");
    assert!(fleet.started.len() >= workers, "{:?}", fleet.started);
}

/// A pool with a step of which one task has no place, since its worker has left.
fn fleet_without_place() -> WaveFleet {
    let mut fleet = WaveFleet::new(3, lasting_step(3, 1, Some(1)));
    fleet.leave(0);
    fleet
}

named_cases! { cordon_ends:
    cordon_ends_beside_a_task_without_place(fleet_without_place(), 2);
    cordon_ends_with_no_task_that_may_be_unavailable(WaveFleet::new(3, lasting_step(3, 0, None)), 3);
    cordon_ends_where_tasks_have_no_other_place(WaveFleet::new(2, lasting_step(4, 1, Some(2))), 2);
}

/// Orders that are not answered keep no more than half of a pool from tasks.
#[test]
fn jobs_start_while_no_order_is_answered() {
    let mut fleet = WaveFleet::new(4, lasting_step(4, 4, Some(1)));
    fleet.add_wave(1, 4);
    fleet.play();
    let cordoned = fleet.schedule.workers().filter(|status| status.cordoned);
    assert_eq!(cordoned.count(), 2, "of four");
    let waiting = fleet
        .schedule
        .pending(&sample_job("one", short_step()).queue);
    assert!(waiting <= 1, "{waiting} short jobs wait");
}

/// A task that lasts is not stopped for a wave if no other worker may take it.
#[test]
fn task_without_other_place_is_not_stopped() {
    let mut fleet = WaveFleet::new(1, lasting_step(2, 1, None));
    fleet.add_wave(1, 1);
    fleet.play();
    assert_eq!(fleet.stops, 0);
}

/// A worker that answers long after an order for its instance was confirmed gets tasks again, also if
/// it was silent meanwhile.
#[test]
fn worker_that_outlives_a_confirmed_order_gets_tasks() {
    let mut fleet = WaveFleet::new(1, lasting_step(1, 1, None));
    fleet.platform = Platform::Confirming;
    fleet.add_wave(1, 1);
    while !fleet
        .schedule
        .worker(&worker_name(0))
        .expect("the worker")
        .cordoned
    {
        fleet.pass();
    }
    let silent = std::mem::take(&mut fleet.workers);
    for _ in 0..20 {
        fleet.pass();
    }
    fleet.workers = silent;
    fleet.report(&[]);
    let status = fleet.schedule.worker(&worker_name(0)).expect("the worker");
    assert!(status.accepts_tasks(fleet.now_ms), "it answers");
}
