//! A fleet under load in virtual time: jobs arrive for one pool at a time, workers report their ends,
//! and the owner plans, ticks and records.

use {
    dotterelshore_domain::{
        names::{CentreName, JobName, PoolName, QueueName, WorkerName},
        schedule::{
            EndReason, EndedRun, FleetSchedule, InstancePlan, JobPlan, JobRecord, ListedWorker,
            OrderRule, ReportedRun, Resources, StartOrder, StartReply, StepPlan, WorkerOrder,
            WorkerReport,
        },
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Virtual time between the owner's planning passes, in milliseconds.
const PASS_MS: u64 = 5;
/// Virtual time between ticks, in milliseconds.
const TICK_MS: u64 = 100;
/// Virtual time between plans of the instances, in milliseconds.
const INSTANCES_MS: u64 = 150;
/// Duration of a task, in milliseconds.
const TASK_MS: u64 = 640;
/// Tasks of a step.
const TASKS: u32 = 8;
/// Processor need of a task, in thousandths of a core; seven fit on a worker.
const TASK_CPU: u64 = 8_900;
/// Worker lease, in milliseconds.
const LEASE_MS: u64 = 3_600;
/// Time of the first pass, in milliseconds.
const START_MS: u64 = 1_000_000;

/// A worker's runs, with the times of their ends.
#[derive(Default)]
struct LoadWorker {
    runs: Vec<(StartOrder, u64)>,
    ends: Vec<EndedRun>,
    last_end: u64,
}

/// A fleet under load.
pub(crate) struct FleetLoad {
    pub(crate) schedule: FleetSchedule,
    plan: InstancePlan,
    workers: BTreeMap<WorkerName, LoadWorker>,
    /// Ends of runs to be reported, by time.
    due: BTreeMap<u64, Vec<WorkerName>>,
    pools: usize,
    jobs_per_s: f64,
    now_ms: u64,
    owed_jobs: f64,
    pub(crate) jobs: u64,
    ended: u64,
}

fn pool_name(number: usize) -> PoolName {
    PoolName::try_from(format!("pool-{number}")).expect("a name")
}

impl FleetLoad {
    /// A fleet of so many workers in pools, of which one at a time is asked for jobs of two steps.
    pub(crate) fn new(workers: usize, pools: usize, jobs_per_s: f64) -> Self {
        let mut load = Self {
            schedule: FleetSchedule::new(OrderRule::default(), LEASE_MS, 0),
            plan: InstancePlan::new(2_000, 64.0),
            workers: BTreeMap::new(),
            due: BTreeMap::new(),
            pools,
            jobs_per_s,
            now_ms: START_MS,
            owed_jobs: 0.0,
            jobs: 0,
            ended: 0,
        };
        for number in 0..workers {
            let name = WorkerName::try_from(format!("w-{number}")).expect("a name");
            load.schedule.upsert_worker(ListedWorker {
                name: name.clone(),
                started_ms: 1,
                instance: None,
                address: Arc::from("127.0.0.1:1"),
                pool: pool_name(number % pools),
                centre: CentreName::try_from("north").expect("a name"),
                labels: vec![Arc::from("kind"), Arc::from("rack")],
                capacity: Resources {
                    cpu_milli: 64_000,
                    memory_mb: 256_000,
                    gpus: 0,
                },
                draining: false,
            });
            load.workers.insert(name.clone(), LoadWorker::default());
            load.report(&name);
        }
        load
    }

    fn add_job(&mut self) {
        self.jobs += 1;
        // Demand comes to one pool at a time.
        let asked = usize::try_from(self.now_ms / 5_000).unwrap_or_default() % self.pools;
        let step = StepPlan {
            count: TASKS,
            need: Resources {
                cpu_milli: TASK_CPU,
                memory_mb: 1_000,
                gpus: 0,
            },
            estimate_ms: TASK_MS,
            ..StepPlan::default()
        };
        let second = StepPlan {
            after: vec![0],
            ..step.clone()
        };
        let record = JobRecord {
            name: JobName::try_from(format!("{:016x}", self.jobs)).expect("a name"),
            queue: QueueName::try_from("quick").expect("a name"),
            pool: pool_name(asked),
            team: None,
            accepted_ms: self.now_ms,
            priority: 0,
            attempts: 2,
            objective_factor: 1.6,
            target_latency_ms: 600,
            advised: false,
            plan: JobPlan {
                task_body: Arc::from("text"),
                steps: vec![step, second],
                timed_occurrences: 0,
                start_at_ms: 0,
                interval_ms: 0,
            },
        };
        self.schedule
            .add_job(record, None, 0, self.now_ms, self.now_ms);
    }

    fn apply(&mut self, orders: Vec<WorkerOrder>) {
        for order in orders {
            let WorkerOrder::Start(order) = order else {
                continue;
            };
            let clock_ms = self.now_ms;
            let reply = StartReply::Started { clock_ms };
            let (worker, task) = (order.worker.clone(), order.task.clone());
            self.schedule
                .apply_start_reply(&worker, &task, order.run, reply, self.now_ms);
            let end_ms = self.now_ms + TASK_MS;
            let runs = &mut self.workers.get_mut(&worker).expect("a worker").runs;
            runs.push((order, end_ms));
            self.due.entry(end_ms).or_default().push(worker);
        }
    }

    /// A worker reports its runs and ends.
    fn report(&mut self, name: &WorkerName) {
        let acknowledged = self.schedule.acknowledged_end(name);
        let worker = self.workers.get_mut(name).expect("a worker");
        worker.ends.retain(|end| end.number > acknowledged);
        let now_ms = self.now_ms;
        let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut worker.runs)
            .into_iter()
            .partition(|(_, end_ms)| *end_ms <= now_ms);
        for (order, _) in ended {
            worker.last_end += 1;
            self.ended += 1;
            worker.ends.push(EndedRun {
                number: worker.last_end,
                task: order.task,
                run: order.run,
                reason: EndReason::Done,
                checkpoint: Arc::from(""),
            });
        }
        let report = WorkerReport {
            started_ms: Some(1),
            clock_ms: now_ms + 1,
            running: running
                .iter()
                .map(|(order, _)| ReportedRun {
                    task: order.task.clone(),
                    run: order.run,
                    checkpoint: Arc::from(""),
                    progress_percent: 50.0,
                    metric: 0.0,
                })
                .collect(),
            finished: worker.ends.clone(),
            ..WorkerReport::default()
        };
        worker.runs = running;
        self.schedule.renew_lease(name, now_ms);
        let orders = self.schedule.apply_report(name, &report, now_ms, now_ms);
        self.apply(orders);
    }

    fn record(&mut self) {
        let batch = self.schedule.take_progress_batch();
        self.schedule.mark_progress_recorded(&batch);
    }

    /// Plays one virtual second and returns the number of runs that ended.
    pub(crate) fn play_second(&mut self) -> u64 {
        let ended = self.ended;
        for _ in 0..1_000 / PASS_MS {
            self.now_ms += PASS_MS;
            self.owed_jobs += self.jobs_per_s / 1_000.0 * 5.0;
            while self.owed_jobs >= 1.0 {
                self.owed_jobs -= 1.0;
                self.add_job();
            }
            while let Some(entry) = self.due.first_entry() {
                if *entry.key() > self.now_ms {
                    break;
                }
                let mut names = entry.remove();
                names.sort();
                names.dedup();
                for name in names {
                    self.report(&name);
                }
            }
            let orders = self
                .schedule
                .plan_starts(self.now_ms, self.now_ms, u64::MAX);
            self.apply(orders);
            if self.now_ms.is_multiple_of(TICK_MS) {
                let orders = self.schedule.tick(self.now_ms, true);
                self.apply(orders);
                self.record();
            }
            if self.now_ms.is_multiple_of(INSTANCES_MS) {
                let (_, stops) = self.plan.plan(&mut self.schedule, self.now_ms);
                self.apply(stops);
            }
            if self.now_ms.is_multiple_of(20_000) {
                for name in self.schedule.expire_ended_jobs(20_000, self.now_ms) {
                    self.schedule.forget_removed(&name);
                }
            }
        }
        self.ended - ended
    }
}
