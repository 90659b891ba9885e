//! A pool in virtual time, whose workers crash under some tasks or by no task's fault.

use {
    crate::samples::{NOW_MS, WALL_MS, sample_worker},
    dotterelshore_domain::{
        names::{InstanceName, JobName, WorkerName},
        schedule::{
            EndReason, EndedRun, FleetSchedule, JobRecord, JobState, OrderRule, ProgressRecord,
            ReportedRun, StartOrder, StartReply, TaskName, WorkerOrder, WorkerReport,
            WorkerSnapshot,
        },
    },
    std::{collections::BTreeMap, sync::Arc},
};

const LEASE_MS: u64 = 3_600;
const STEP_MS: u64 = 10;
/// Time between reports of a worker.
const REPORT_MS: u64 = 50;
/// Work of a task.
const WORK_MS: u64 = 400;
/// Crashes under a task after which its starts are counted.
const CRASHES_MAX: usize = 3;
/// Run numbers that an owner reserves.
const RUNS_PER_TERM: u32 = 1_000;

/// How workers are back after a crash.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Restart {
    /// Under their name, after 3 s.
    SameName,
    /// Under a new name, after 3 s.
    NewName,
    /// Under a new name, after their lease has expired.
    Late,
}

struct SimRun {
    order: StartOrder,
    started_ms: u64,
}

struct SimWorker {
    name: WorkerName,
    started_ms: u64,
    runs: Vec<SimRun>,
    ends: Vec<EndedRun>,
    last_end: u64,
    /// When it is back, if it crashed.
    back_ms: Option<u64>,
    /// When the owner notices that it is silent.
    silent_from_ms: Option<u64>,
}

/// A pool with its owner's schedule.
pub(crate) struct CrashFleet {
    pub(crate) schedule: FleetSchedule,
    pub(crate) now_ms: u64,
    workers: Vec<SimWorker>,
    restart: Restart,
    jobs: Vec<JobRecord>,
    stored: BTreeMap<JobName, ProgressRecord>,
    stored_snapshots: Vec<WorkerSnapshot>,
    /// Time from the start of a task to the crash that it causes; `None` if it causes none.
    crash_after_ms: fn(&TaskName) -> Option<u64>,
    /// Time from a crash until the owner notices the silence.
    pub(crate) notice_ms: u64,
    /// Until then the owner is out of touch with the store.
    pub(crate) store_out_until_ms: u64,
    term: u32,
    /// Starts of each task.
    starts: BTreeMap<TaskName, usize>,
    /// Crashes under each task that causes them.
    crashes: BTreeMap<TaskName, usize>,
    /// Starts of each task by owners in touch, after three crashes under it.
    starts_after_crashes: BTreeMap<TaskName, usize>,
}

impl CrashFleet {
    pub(crate) fn new(
        workers: usize,
        restart: Restart,
        crash_after_ms: fn(&TaskName) -> Option<u64>,
    ) -> Self {
        let workers = (0..workers).map(|number| SimWorker {
            name: WorkerName::try_from(format!("w-{number}-0")).expect("a name"),
            started_ms: WALL_MS,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            back_ms: Some(NOW_MS),
            silent_from_ms: None,
        });
        let mut fleet = Self {
            schedule: FleetSchedule::new(OrderRule::default(), LEASE_MS, 0),
            now_ms: NOW_MS,
            workers: workers.collect(),
            restart,
            jobs: Vec::new(),
            stored: BTreeMap::new(),
            stored_snapshots: Vec::new(),
            crash_after_ms,
            notice_ms: 0,
            store_out_until_ms: 0,
            term: 0,
            starts: BTreeMap::new(),
            crashes: BTreeMap::new(),
            starts_after_crashes: BTreeMap::new(),
        };
        fleet.play(STEP_MS);
        fleet
    }

    pub(crate) fn submit(&mut self, job: JobRecord) {
        self.jobs.push(job.clone());
        self.schedule
            .add_job(job, None, 0, self.now_ms, self.wall_ms());
    }

    pub(crate) fn state(&self, job: &str) -> Option<JobState> {
        self.schedule
            .state(&JobName::try_from(job).expect("a name"))
    }

    /// The most starts of one task of the job `culprit`.
    pub(crate) fn most_culprit_starts(&self) -> usize {
        let starts = self.starts.iter();
        let starts = starts.filter(|(task, _)| task.job.as_str() == "culprit");
        starts.map(|(_, starts)| *starts).max().unwrap_or_default()
    }

    /// The most starts of one task by owners in touch, after three crashes under it.
    pub(crate) fn most_starts_after_crashes(&self) -> usize {
        let starts = self.starts_after_crashes.values();
        starts.copied().max().unwrap_or_default()
    }

    /// Number of runs at work of a job, by worker.
    pub(crate) fn runs_by_worker(&self, job: &str) -> Vec<usize> {
        let of_job = |run: &&SimRun| run.order.task.job.as_str() == job;
        let workers = self.workers.iter();
        workers
            .map(|worker| worker.runs.iter().filter(of_job).count())
            .collect()
    }

    /// The tasks that are at work.
    pub(crate) fn tasks_at_work(&self) -> impl Iterator<Item = &TaskName> {
        let runs = self.workers.iter().flat_map(|worker| &worker.runs);
        runs.map(|run| &run.order.task)
    }

    fn wall_ms(&self) -> u64 {
        WALL_MS + self.now_ms - NOW_MS
    }

    /// Plays some time.
    pub(crate) fn play(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            for number in 0..self.workers.len() {
                self.advance(number);
            }
            self.record();
            let (now_ms, wall_ms) = (self.now_ms, self.wall_ms());
            let mut orders = self.schedule.tick(now_ms, true);
            orders.extend(self.schedule.plan_starts(now_ms, wall_ms, u64::MAX));
            for order in orders {
                self.execute(order);
            }
        }
    }

    fn advance(&mut self, number: usize) {
        let (now_ms, wall_ms) = (self.now_ms, self.wall_ms());
        let worker = &mut self.workers[number];
        if worker
            .silent_from_ms
            .take_if(|from_ms| now_ms >= *from_ms)
            .is_some()
        {
            self.schedule.mark_unreachable(&worker.name);
        }
        if let Some(back_ms) = worker.back_ms {
            if now_ms < back_ms {
                return;
            }
            worker.back_ms = None;
            if self.restart != Restart::SameName {
                let name = format!("w-{number}-{now_ms}");
                worker.name = WorkerName::try_from(name).expect("a name");
            }
            worker.started_ms = wall_ms;
            worker.last_end = 0;
            self.report(number);
        }
        let crashes = |run: &SimRun| {
            let after_ms = (self.crash_after_ms)(&run.order.task);
            after_ms.is_some_and(|after_ms| now_ms >= run.started_ms + after_ms)
        };
        if let Some(run) = self.workers[number].runs.iter().find(|run| crashes(run)) {
            *self.crashes.entry(run.order.task.clone()).or_default() += 1;
            self.crash(number);
            return;
        }
        self.end_finished(number);
        if now_ms % REPORT_MS == 0 {
            self.report(number);
        }
    }

    fn end_finished(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let worker = &mut self.workers[number];
        let lasts = |run: &SimRun| &*run.order.body == "lasts";
        let finished = worker
            .runs
            .extract_if(.., |run| !lasts(run) && now_ms >= run.started_ms + WORK_MS);
        for run in finished {
            worker.last_end += 1;
            worker.ends.push(EndedRun {
                number: worker.last_end,
                task: run.order.task,
                run: run.order.run,
                reason: EndReason::Done,
                checkpoint: Arc::from(""),
            });
        }
    }

    /// Crashes a worker.
    pub(crate) fn crash(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        if worker.back_ms.is_some() {
            return;
        }
        worker.runs.clear();
        worker.ends.clear();
        let down_ms = if self.restart == Restart::Late {
            LEASE_MS + 2_000
        } else {
            3_000
        };
        worker.back_ms = Some(self.now_ms + down_ms);
        if self.notice_ms == 0 {
            self.schedule.mark_unreachable(&worker.name);
        } else {
            worker.silent_from_ms = Some(self.now_ms + self.notice_ms);
        }
        if self.restart == Restart::Late {
            self.schedule.unlist_worker(&worker.name, self.now_ms);
        }
    }

    fn report(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        let mut listed = sample_worker(worker.name.as_str(), 64_000);
        listed.started_ms = worker.started_ms;
        listed.instance = InstanceName::try_from(format!("host-{number}")).ok();
        self.schedule.upsert_worker(listed);
        let running = worker.runs.iter().map(|run| ReportedRun {
            task: run.order.task.clone(),
            run: run.order.run,
            checkpoint: Arc::from(""),
            progress_percent: 100.0,
            metric: 0.0,
        });
        let report = WorkerReport {
            started_ms: Some(worker.started_ms),
            clock_ms: self.now_ms,
            running: running.collect(),
            finished: std::mem::take(&mut worker.ends),
            may_have_more_ends: false,
            ends_only: false,
        };
        let (now_ms, wall_ms) = (self.now_ms, WALL_MS + self.now_ms - NOW_MS);
        let orders = self
            .schedule
            .apply_report(&worker.name, &report, now_ms, wall_ms);
        assert!(self.schedule.renew_lease(&worker.name, now_ms), "a lease");
        for order in orders {
            self.execute(order);
        }
    }

    fn execute(&mut self, order: WorkerOrder) {
        let mut workers = self.workers.iter_mut();
        let worker = workers.find(|worker| worker.name == *order.worker());
        let worker = worker.filter(|worker| worker.back_ms.is_none());
        match (order, worker) {
            (WorkerOrder::Start(order), Some(worker)) => {
                let reply = StartReply::Started {
                    clock_ms: self.now_ms,
                };
                let (task, run) = (order.task.clone(), order.run);
                self.schedule
                    .apply_start_reply(&worker.name, &task, run, reply, self.now_ms);
                let crashes = self.crashes.get(&task).copied().unwrap_or_default();
                if crashes >= CRASHES_MAX && self.now_ms >= self.store_out_until_ms {
                    let starts = self.starts_after_crashes.entry(task.clone());
                    *starts.or_default() += 1;
                }
                *self.starts.entry(task).or_default() += 1;
                worker.runs.push(SimRun {
                    order,
                    started_ms: self.now_ms,
                });
            }
            (WorkerOrder::Stop(order), Some(worker)) => {
                let is_other =
                    |run: &SimRun| run.order.task != order.task || run.order.run != order.run;
                worker.runs.retain(is_other);
                self.schedule.begin_stop(&order, self.now_ms);
                self.schedule.confirm_stop(&order, self.now_ms);
            }
            _ => {}
        }
    }

    fn record(&mut self) {
        let batch = self.schedule.take_progress_batch();
        if self.now_ms < self.store_out_until_ms {
            for (job, _) in &batch.records {
                self.schedule.requeue_progress(job);
            }
            return;
        }
        self.schedule.mark_progress_recorded(&batch);
        self.stored.extend(batch.records);
        self.stored_snapshots = self.schedule.worker_snapshots(self.now_ms);
    }

    /// Another owner takes over, which knows what is stored and what the workers report. The runs
    /// of silent workers are stored.
    pub(crate) fn take_over(&mut self) {
        self.term += 1;
        let (now_ms, wall_ms) = (self.now_ms, self.wall_ms());
        let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, now_ms);
        for job in &self.jobs {
            let progress = self.stored.get(&job.name);
            let run_base = self.term * RUNS_PER_TERM;
            schedule.add_job(job.clone(), progress, run_base, now_ms, wall_ms);
        }
        for snapshot in &self.stored_snapshots {
            schedule.restore_worker(snapshot.clone(), now_ms);
        }
        schedule.restore_attempts(now_ms);
        self.schedule = schedule;
        for number in 0..self.workers.len() {
            if self.workers[number].back_ms.is_none() {
                self.report(number);
            }
        }
    }
}
