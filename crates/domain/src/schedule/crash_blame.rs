//! Attributes the crashes of workers to the tasks that may have caused them.

use {
    super::{
        crash_notice::CrashNotice,
        crash_suspicion::{CrashSuspicion, CrashedRun, JUST_STARTED_MS},
        fleet_schedule::FleetSchedule,
        job_progress::{JobState, RecordedAttempt, WorkerIncarnation},
        run_tracking::DropReason,
        task_name::TaskName,
        task_run::{RunPhase, TaskRun},
        worker_order::WorkerOrder,
        worker_status::WorkerStatus,
    },
    crate::names::{JobName, WorkerName},
};

/// A run that has gone on for this long is not taken for the cause of a crash, in milliseconds.
/// Longer than the startup of a long-running task.
pub(super) const SAFE_RUN_MS: u64 = 2_000;
/// Jobs that are likely causes of one crash. Orders that follow that of the cause may have started
/// tasks of the next job before the crash.
const LIKELY_JOBS: usize = 2;
/// How long a crash that no run can have caused shows that workers crash by other causes, in
/// milliseconds.
const OTHER_CAUSES_MS: u64 = 30_000;
/// How long after such a crash a run that decides on its task must not start, in milliseconds.
const CALM_MS: u64 = 5_000;
/// How long after the last contact with a worker its crash may be confirmed, in milliseconds.
/// Workers are back after some seconds.
const CONFIRMATION_MS: u64 = 12_000;

/// A worker whose lease expired while runs on it were young: it crashed or was cut off.
#[derive(Debug)]
pub(super) struct LapsedWorker {
    at: WorkerIncarnation,
    runs: Vec<(TaskName, u32)>,
    contact_ms: u64,
}

/// A crash whose cause is among these runs, unless their tasks are all cleared.
#[derive(Debug)]
pub(super) struct OpenCrash {
    worker: WorkerName,
    runs: Vec<(TaskName, u32)>,
}

/// A run that may have caused a crash.
struct YoungRun {
    task: TaskName,
    run: u32,
    age_ms: u64,
    age_max_ms: u64,
}

impl YoungRun {
    /// Whether a run of another job may have caused the crash instead. One that outlived its start
    /// is no rival of one that had just started.
    fn has_rival(&self, other: &Self) -> bool {
        let outlived_start = other.age_ms > JUST_STARTED_MS && self.age_ms <= JUST_STARTED_MS;
        other.task.job != self.task.job && !outlived_start
    }
}

impl FleetSchedule {
    /// Takes what was learned about crashes since the last call.
    pub fn take_crash_notices(&mut self) -> Vec<CrashNotice> {
        std::mem::take(&mut self.crash_notices)
    }

    /// Counts the tasks under which workers have crashed and that are not cleared.
    pub fn suspected_tasks(&self) -> usize {
        let jobs = self.suspects.iter().filter_map(|name| self.jobs.get(name));
        jobs.map(|job| job.suspected_tasks().count()).sum()
    }

    /// Suspects the tasks of the runs on a worker that ended, as far as they are younger than
    /// `SAFE_RUN_MS`, unless an order or a drain ended it.
    pub(super) fn attribute_crash(&mut self, name: &WorkerName, reason: DropReason) {
        let Some(status) = self.workers.get(name).filter(|status| status.may_crash()) else {
            return;
        };
        let confirmed = reason != DropReason::LeaseExpired;
        let young = self.young_runs(status);
        let knows_runs = status.knows_runs();
        let pool = status.listed.pool.clone();
        let lapsed = LapsedWorker {
            at: status.listed.incarnation(),
            runs: young
                .iter()
                .map(|run| (run.task.clone(), run.run))
                .collect(),
            contact_ms: status.contact_ms,
        };
        let had_lapsed = confirmed && self.confirm_lapsed(|known| known.worker == *name);
        if !knows_runs {
            // Runs of the owner before may have been there that are not known.
            self.pools_with_unknown_runs.insert(pool);
        }
        if young.is_empty() {
            if confirmed && !had_lapsed && knows_runs {
                self.mark_unexplained(name.clone());
            }
            return;
        }
        let likely = likely_jobs(&young);
        for run in &young {
            let crash = CrashedRun {
                run: run.run,
                age_ms: run.age_ms,
                age_max_ms: run.age_max_ms,
                likely: likely.contains(&run.task.job),
                alone: young.iter().all(|other| !run.has_rival(other)),
                confirmed,
                unconfirmed_at: (!confirmed).then(|| lapsed.at.clone()),
            };
            self.suspect(&run.task, name, crash);
        }
        if confirmed {
            self.open_crashes.push(OpenCrash {
                worker: lapsed.at.worker,
                runs: lapsed.runs,
            });
        } else {
            self.lapsed.push(lapsed);
        }
    }

    fn mark_unexplained(&mut self, worker: WorkerName) {
        self.has_unexplained_crash = true;
        self.crash_notices.push(CrashNotice::Unexplained { worker });
    }

    /// Returns the runs on a worker that are too young to be ruled out as the cause of a crash, the
    /// youngest first.
    fn young_runs(&self, status: &WorkerStatus) -> Vec<YoungRun> {
        let runs = status.runs.iter().filter_map(|(task, number)| {
            let state = self.jobs.get(&task.job)?.task(task)?;
            let run = state.run_on(&status.listed.name, *number)?;
            if run.phase == RunPhase::Planned {
                return None;
            }
            let mut age_ms = run.age_ms(status.contact_ms);
            if run.from_earlier_owner && run.is_reported {
                // It went on before this owner heard of it.
                age_ms = age_ms.max(JUST_STARTED_MS + 1);
            }
            (age_ms < SAFE_RUN_MS).then(|| YoungRun {
                task: task.clone(),
                run: *number,
                age_ms,
                age_max_ms: run.age_max_ms(status.silent_since_ms),
            })
        });
        let mut runs: Vec<_> = runs.collect();
        runs.sort_unstable_by(|a, b| (a.age_ms, &a.task).cmp(&(b.age_ms, &b.task)));
        runs
    }

    fn suspect(&mut self, name: &TaskName, worker: &WorkerName, crash: CrashedRun) {
        let job = self.jobs.get_mut(&name.job);
        let Some(job) = job.filter(|job| job.ended.is_none()) else {
            return;
        };
        let Some(task) = job.task_mut(name).filter(|task| !task.done) else {
            return;
        };
        if !task.suspicion.add(crash.clone()) {
            return;
        }
        let crashes = task.suspicion.crashes().len();
        self.suspects.insert(name.job.clone());
        self.mark_suspicion_changed(name);
        self.crash_notices.push(CrashNotice::Suspected {
            task: name.clone(),
            worker: worker.clone(),
            crash,
            crashes,
        });
    }

    fn suspicion_mut(&mut self, task: &TaskName) -> Option<&mut CrashSuspicion> {
        let state = self.jobs.get_mut(&task.job)?.task_mut(task)?;
        Some(&mut state.suspicion)
    }

    /// Takes over the question whether a worker has crashed under a run, which an earlier owner has
    /// left open.
    pub(super) fn restore_lapsed(
        &mut self,
        at: &WorkerIncarnation,
        run: (TaskName, u32),
        now_ms: u64,
    ) {
        match self.lapsed.iter_mut().find(|lapsed| lapsed.at == *at) {
            Some(lapsed) => lapsed.runs.push(run),
            None => self.lapsed.push(LapsedWorker {
                at: at.clone(),
                runs: vec![run],
                contact_ms: now_ms,
            }),
        }
    }

    /// Suspects a task whose recorded attempt went with its worker under an earlier owner.
    pub(super) fn suspect_lost_attempt(
        &mut self,
        task: &TaskName,
        attempt: &RecordedAttempt,
        confirmed: bool,
    ) {
        let crash = CrashedRun {
            run: attempt.run,
            age_ms: 0,
            age_max_ms: u64::MAX,
            likely: true,
            alone: false,
            confirmed,
            unconfirmed_at: (!confirmed).then(|| attempt.at.clone()),
        };
        self.suspect(task, &attempt.at.worker, crash);
    }

    /// Has the progress of a task's job recorded, with the crashes under the task.
    fn mark_suspicion_changed(&mut self, task: &TaskName) {
        let job = self.jobs.get_mut(&task.job);
        if let Some(step) = job.and_then(|job| job.step_mut(task)) {
            step.has_progress = true;
            self.dirty.insert(task.job.clone());
        }
    }

    /// Confirms the crashes of lapsed workers. Returns whether there was one.
    fn confirm_lapsed(&mut self, is_crashed: impl Fn(&WorkerIncarnation) -> bool) -> bool {
        let crashed: Vec<_> = self
            .lapsed
            .extract_if(.., |known| is_crashed(&known.at))
            .collect();
        for (task, run) in crashed.iter().flat_map(|lapsed| &lapsed.runs) {
            let suspicion = self.suspicion_mut(task);
            if suspicion.is_some_and(|suspicion| suspicion.confirm(*run)) {
                self.mark_suspicion_changed(task);
                let task = task.clone();
                let notice = CrashNotice::Confirmed { task, run: *run };
                self.crash_notices.push(notice);
            }
        }
        !crashed.is_empty()
    }

    /// Applies what a worker's report shows of workers that lapsed: a later one on the same
    /// instance confirms a crash, and one that still lives was only cut off.
    pub(super) fn resolve_lapsed(&mut self, name: &WorkerName) {
        if self.lapsed.is_empty() {
            return;
        }
        let Some(status) = self.workers.get(name) else {
            return;
        };
        let (started_ms, instance) = (status.listed.started_ms, status.listed.instance.clone());
        self.confirm_lapsed(|known| {
            let is_replaced = known.worker == *name && known.started_ms != started_ms;
            let is_same_instance = known.instance.is_some() && known.instance == instance;
            is_replaced || is_same_instance && known.started_ms < started_ms
        });
        let alive = |known: &mut LapsedWorker| {
            known.at.worker == *name && known.at.started_ms == started_ms
        };
        let alive: Vec<_> = self.lapsed.extract_if(.., alive).collect();
        for (task, run) in alive.iter().flat_map(|lapsed| &lapsed.runs) {
            let suspicion = self.suspicion_mut(task);
            if suspicion.is_some_and(|suspicion| suspicion.retract(*run)) {
                self.finish_clearing(task);
            }
        }
    }

    /// Clears a task, one run of which did not crash its worker.
    pub(super) fn clear_suspicion(&mut self, task: &TaskName) {
        let suspicion = self.suspicion_mut(task);
        if suspicion.is_some_and(CrashSuspicion::clear) {
            self.finish_clearing(task);
        }
    }

    fn finish_clearing(&mut self, task: &TaskName) {
        for crash in &mut self.open_crashes {
            crash.runs.retain(|(other, _)| other != task);
        }
        let all_cleared = |crash: &mut OpenCrash| crash.runs.is_empty();
        let unexplained: Vec<_> = self.open_crashes.extract_if(.., all_cleared).collect();
        for crash in unexplained {
            self.mark_unexplained(crash.worker);
        }
        self.mark_suspicion_changed(task);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.may_start = true;
            if job.suspected_tasks().next().is_none() {
                self.suspects.remove(&task.job);
            }
        }
        let task = task.clone();
        self.crash_notices.push(CrashNotice::Cleared { task });
    }

    /// Ends the jobs with a task that is proven to crash the workers that start it, and returns
    /// the orders that stop their other runs.
    pub(super) fn give_up_culprits(&mut self, now_ms: u64, wall_ms: u64) -> Vec<WorkerOrder> {
        self.lapsed
            .retain(|lapsed| now_ms < lapsed.contact_ms + CONFIRMATION_MS);
        if std::mem::take(&mut self.has_unexplained_crash) {
            self.unexplained_crash_ms = Some(now_ms);
        }
        let has_other_causes = self.was_crash_unexplained(now_ms, OTHER_CAUSES_MS);
        let jobs = &self.jobs;
        let is_open = |name: &JobName| jobs.get(name).is_some_and(|job| job.ended.is_none());
        self.suspects.retain(is_open);
        self.trial_queue.retain(|name| self.suspects.contains(name));
        self.open_crashes
            .retain(|crash| crash.runs.iter().all(|(task, _)| is_open(&task.job)));
        let culprits = self.suspects.iter().filter_map(|name| {
            let mut tasks = self.jobs.get(name)?.suspected_tasks();
            let (task, state) =
                tasks.find(|(_, state)| state.suspicion.is_proven(has_other_causes))?;
            Some((task, state.suspicion.crashes().to_vec()))
        });
        let mut culprits: Vec<_> = culprits.collect();
        culprits.sort_unstable_by(|(a, _), (b, _)| a.cmp(b));
        let mut orders = Vec::new();
        for (task, crashes) in culprits {
            orders.extend(self.end_job(&task.job, JobState::Failed, now_ms, wall_ms));
            self.suspects.remove(&task.job);
            self.crash_notices
                .push(CrashNotice::GivenUp { task, crashes });
        }
        orders
    }

    /// Whether a worker crashed within this time that no run can have crashed.
    fn was_crash_unexplained(&self, now_ms: u64, within_ms: u64) -> bool {
        let at_ms = self.unexplained_crash_ms;
        at_ms.is_some_and(|at_ms| now_ms < at_ms + within_ms)
    }

    /// Whether the run of a job that decides on its task has to wait: until all crashes so far are
    /// confirmed or were none, and until workers do not crash by other causes.
    pub(super) fn defers_last_trial(&self, name: &JobName, now_ms: u64) -> bool {
        let job = self.jobs.get(name);
        let is_last = job.is_some_and(|job| {
            let mut tasks = job.suspected_tasks();
            tasks.any(|(_, state)| state.suspicion.is_last_trial())
        });
        let of_job = |lapsed: &LapsedWorker| lapsed.runs.iter().any(|(task, _)| task.job == *name);
        is_last && (self.was_crash_unexplained(now_ms, CALM_MS) || self.lapsed.iter().any(of_job))
    }
}

/// Returns the jobs whose runs are likely causes of a crash: those that started last. `young` has
/// the youngest first.
fn likely_jobs(young: &[YoungRun]) -> Vec<JobName> {
    let mut jobs: Vec<JobName> = Vec::new();
    for run in young.iter().take_while(|run| run.age_ms <= JUST_STARTED_MS) {
        if jobs.len() < LIKELY_JOBS && !jobs.contains(&run.task.job) {
            jobs.push(run.task.job.clone());
        }
    }
    jobs
}

impl TaskRun {
    /// How long the run had gone on at a time; 0 if it may only just have started.
    pub(super) fn age_ms(&self, at_ms: u64) -> u64 {
        match self.phase {
            RunPhase::Planned | RunPhase::Restored | RunPhase::Ordered | RunPhase::Unconfirmed => 0,
            _ => self
                .begun_ms
                .map_or(0, |begun_ms| at_ms.saturating_sub(begun_ms)),
        }
    }

    /// How long the run had gone on at most when its worker fell silent; `u64::MAX` if that is not
    /// known.
    fn age_max_ms(&self, silent_since_ms: Option<u64>) -> u64 {
        match silent_since_ms {
            Some(silent_ms) if !self.from_earlier_owner => {
                silent_ms.saturating_sub(self.ordered_ms)
            }
            _ => u64::MAX,
        }
    }
}

impl WorkerStatus {
    /// Whether the end of the worker is unplanned: neither a drain nor an order for its instance
    /// is the cause.
    fn may_crash(&self) -> bool {
        !self.listed.draining && !self.disrupting && self.disrupted_until_ms == 0
    }
}
