//! A worker that does all that it is told to start, and the owner's records of it.

use {
    crate::{
        samples::{NOW_MS, WALL_MS, sample_worker},
        start_samples::ordered_starts,
    },
    dotterelshore_domain::{
        names::{JobName, WorkerName},
        schedule::{
            EndReason, EndedRun, FleetSchedule, JobRecord, OrderRule, ProgressRecord, StartOrder,
            StartReply, TaskName, WorkerReport,
        },
    },
    std::{collections::BTreeMap, sync::Arc},
};

const LEASE_MS: u64 = 3_600;
const RUNS_PER_TERM: u32 = 1_000;

/// A schedule with one worker, and the records of its jobs.
pub(crate) struct WorkingFleet {
    pub(crate) schedule: FleetSchedule,
    wall_ms: u64,
    cpu_milli: u64,
    jobs: Vec<JobRecord>,
    pub(crate) stored: BTreeMap<JobName, ProgressRecord>,
    /// Jobs whose records the store rejects.
    pub(crate) rejected: Vec<JobName>,
    running: Vec<StartOrder>,
    pub(crate) last_end: u64,
    term: u32,
    /// How often each task has ended.
    ends: BTreeMap<TaskName, usize>,
}

impl WorkingFleet {
    pub(crate) fn new(cpu_milli: u64) -> Self {
        let mut fleet = Self {
            schedule: FleetSchedule::new(OrderRule::default(), LEASE_MS, 0),
            wall_ms: WALL_MS,
            cpu_milli,
            jobs: Vec::new(),
            stored: BTreeMap::new(),
            rejected: Vec::new(),
            running: Vec::new(),
            last_end: 0,
            term: 0,
            ends: BTreeMap::new(),
        };
        fleet
            .schedule
            .upsert_worker(sample_worker("w-0", cpu_milli));
        fleet.report(Vec::new());
        fleet
    }

    pub(crate) fn worker() -> WorkerName {
        WorkerName::try_from("w-0").expect("a name")
    }

    fn now_ms(&self) -> u64 {
        NOW_MS + self.wall_ms - WALL_MS
    }

    pub(crate) fn submit(&mut self, job: JobRecord) {
        self.jobs.push(job.clone());
        let now_ms = self.now_ms();
        self.schedule.add_job(job, None, 0, now_ms, self.wall_ms);
    }

    fn report(&mut self, finished: Vec<EndedRun>) {
        let report = WorkerReport {
            clock_ms: self.now_ms(),
            finished,
            ..WorkerReport::default()
        };
        let (now_ms, wall_ms) = (self.now_ms(), self.wall_ms);
        self.schedule
            .apply_report(&Self::worker(), &report, now_ms, wall_ms);
    }

    /// Starts what fits, and returns how many tasks start.
    pub(crate) fn start(&mut self) -> usize {
        let now_ms = self.now_ms();
        let orders = ordered_starts(&mut self.schedule, now_ms, self.wall_ms);
        for order in &orders {
            let reply = StartReply::Started { clock_ms: now_ms };
            let (worker, task) = (&order.worker, &order.task);
            self.schedule
                .apply_start_reply(worker, task, order.run, reply, now_ms);
        }
        let started = orders.len();
        self.running.extend(orders);
        started
    }

    /// Ends all runs as done.
    pub(crate) fn end_all(&mut self) {
        let running = std::mem::take(&mut self.running);
        let mut finished = Vec::new();
        for order in running {
            self.last_end += 1;
            *self.ends.entry(order.task.clone()).or_default() += 1;
            finished.push(EndedRun {
                number: self.last_end,
                task: order.task,
                run: order.run,
                reason: EndReason::Done,
                checkpoint: Arc::from(""),
            });
        }
        self.report(finished);
    }

    /// Records the progress of all jobs, but of those whose records are rejected.
    pub(crate) fn record(&mut self) {
        let batch = self.schedule.take_progress_batch();
        let (now_ms, wall_ms) = (self.now_ms(), self.wall_ms);
        for (job, progress) in batch.records {
            if self.rejected.contains(&job) && progress.ended.is_none() {
                self.schedule.reject_progress(&job, now_ms, wall_ms);
            } else {
                self.schedule.mark_job_recorded(&job, &progress);
                self.stored.insert(job, progress);
            }
        }
        let unrecorded = self.rejected.iter().cloned().collect();
        self.schedule.mark_ends_recorded(&batch.ends, &unrecorded);
    }

    /// Runs what starts until nothing does, under another owner each time if `owners_change`.
    /// Returns how many tasks have ended, each once.
    pub(crate) fn finish(&mut self, owners_change: bool) -> usize {
        while self.start() > 0 {
            self.end_all();
            self.record();
            if owners_change {
                self.take_over();
            }
        }
        assert!(self.ends.values().all(|ends| *ends == 1), "{:?}", self.ends);
        self.ends.len()
    }

    /// Another owner takes over from what is stored, while nothing runs.
    pub(crate) fn take_over(&mut self) {
        assert!(self.running.is_empty(), "runs would be lost");
        self.term += 1;
        let now_ms = self.now_ms();
        self.schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, now_ms);
        for job in &self.jobs {
            let run_base = self.term * RUNS_PER_TERM;
            let progress = self.stored.get(&job.name);
            self.schedule
                .add_job(job.clone(), progress, run_base, now_ms, self.wall_ms);
        }
        self.schedule
            .upsert_worker(sample_worker("w-0", self.cpu_milli));
        let report = WorkerReport {
            clock_ms: now_ms,
            ..WorkerReport::default()
        };
        self.schedule
            .apply_report(&Self::worker(), &report, now_ms, self.wall_ms);
        self.wall_ms += 1;
    }
}
