//! Jobs, workers and runs of the pools that one scheduler owns.

use {
    super::{
        arrival_rate::ArrivalRate,
        crash_blame::{LapsedWorker, OpenCrash},
        crash_notice::CrashNotice,
        crash_trial::CrashTrial,
        job_order::OrderRule,
        job_plan::Resources,
        job_progress::{JobRecord, JobState, ProgressRecord, RecordedAttempt},
        live_job::LiveJob,
        planning_work::PlanningWork,
        pool_candidates::FleetCandidates,
        queue_table::QueueTable,
        recorded_start::RecordedStart,
        run_notice::RunNotice,
        run_tracking::DroppedRuns,
        share_bucket::ShareBucket,
        task_name::TaskName,
        tracked_table::TrackedTable,
        trial_queue::TrialQueue,
        worker_order::WorkerOrder,
        worker_status::WorkerStatus,
    },
    crate::{
        collections::{FastMap, FastSet},
        names::{JobName, PoolName, QueueName, TeamName, WorkerName},
    },
    std::sync::Arc,
};

/// Added to a worker's lease, in milliseconds, for the time that a renewal is in transit.
const LEASE_SLACK_MS: u64 = 300;
/// How slow a worker's clock may run, in percent; the platform specifies 2.
const CLOCK_DRIFT_PERCENT: u64 = 2;

/// Resources that a team's runs use, and its ceiling.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TeamUsage {
    pub(super) used: Resources,
    /// Upper bound on what orphaned runs of earlier owners use.
    pub(super) orphaned: Resources,
    pub(super) ceiling: Resources,
}

impl TeamUsage {
    /// Whether `need` more fits under the ceiling; a zero field means unlimited.
    pub(super) fn allows(&self, need: Resources) -> bool {
        let mut used = self.used;
        used += self.orphaned;
        let within = |used: u64, need: u64, limit: u64| {
            limit == 0 || used.checked_add(need).is_some_and(|sum| sum <= limit)
        };
        within(used.cpu_milli, need.cpu_milli, self.ceiling.cpu_milli)
            && within(used.memory_mb, need.memory_mb, self.ceiling.memory_mb)
            && within(used.gpus, need.gpus, self.ceiling.gpus)
    }
}

/// Schedules the jobs of the pools under one ownership on their workers.
#[derive(Debug, Default)]
pub struct FleetSchedule {
    pub(super) rule: OrderRule,
    pub(super) jobs: TrackedTable<JobName, LiveJob>,
    pub(super) active: FastMap<PoolName, FastSet<JobName>>,
    /// Of these, the jobs that may have a startable task, or will at some time.
    pub(super) waiting: FastMap<PoolName, FastSet<JobName>>,
    pub(super) workers: TrackedTable<WorkerName, WorkerStatus>,
    /// Workers that left the schedule while a stored snapshot may list them as unreachable.
    pub(super) departed_unreachable: FastSet<WorkerName>,
    /// The workers that accept tasks, as of the last planning pass.
    pub(super) candidates: FleetCandidates,
    /// Workers that may have orphaned runs until some time.
    pub(super) unsettled: FastSet<WorkerName>,
    /// Workers listed since they were last asked for, which no stored snapshot may have.
    pub(super) newly_listed: Vec<WorkerName>,
    pub(super) planning_work: PlanningWork,
    pub(super) teams: FastMap<TeamName, TeamUsage>,
    pub(super) shares: FastMap<TeamName, ShareBucket>,
    pub(super) arrivals: FastMap<PoolName, ArrivalRate>,
    /// Jobs whose progress has changed since it was last taken to be recorded.
    pub(super) dirty: FastSet<JobName>,
    /// Jobs whose progress was taken, until the outcome of its write is known.
    pub(super) recording: FastSet<JobName>,
    pub(super) dropped: Vec<DroppedRuns>,
    pub(super) run_notices: Vec<RunNotice>,
    /// Jobs with a task under which a worker crashed.
    pub(super) suspects: FastSet<JobName>,
    pub(super) trials: FastMap<PoolName, Vec<CrashTrial>>,
    pub(super) trial_queue: TrialQueue,
    pub(super) lapsed: Vec<LapsedWorker>,
    pub(super) open_crashes: Vec<OpenCrash>,
    pub(super) crash_notices: Vec<CrashNotice>,
    /// Pools with a worker that crashed, or seems to have, of which this owner knew no runs.
    pub(super) pools_with_unknown_runs: FastSet<PoolName>,
    /// Jobs with planned starts that are to be recorded.
    pub(super) planned: FastSet<JobName>,
    /// Planned starts that are recorded and not ordered yet.
    pub(super) recorded_starts: Vec<RecordedStart>,
    /// Attempts in the records that were read, until the workers' snapshots are restored.
    pub(super) restored_attempts: Vec<(TaskName, RecordedAttempt)>,
    /// Whether a worker crashed that no run can have crashed, since the last planning pass.
    pub(super) has_unexplained_crash: bool,
    /// When the last such crash was noticed, in scheduler milliseconds.
    pub(super) unexplained_crash_ms: Option<u64>,
    pub(super) lease_ms: u64,
    lease_max_ms: u64,
    pub(super) orphans_until_ms: u64,
    /// Instances that may be moved to a pool that lacks room.
    pub(super) spare_instances: usize,
    /// Whether a job with a gang was added.
    pub(super) has_gangs: bool,
    /// Whether the last planning pass found workers that may have orphaned runs.
    pub(super) has_orphans: bool,
}

impl FleetSchedule {
    /// Creates an empty schedule whose worker leases last `lease_ms`. Orphaned runs of earlier
    /// owners on unreachable workers may go on until `orphans_until_ms`.
    pub fn new(rule: OrderRule, lease_ms: u64, orphans_until_ms: u64) -> Self {
        Self {
            rule,
            lease_ms,
            orphans_until_ms,
            ..Self::default()
        }
    }

    /// Sets the longest lease that a worker grants, whatever the end that a call names.
    #[must_use]
    pub fn with_longest_lease(self, lease_max_ms: u64) -> Self {
        Self {
            lease_max_ms,
            ..self
        }
    }

    /// Returns by how much the lease of a worker's next incarnation may exceed that of the one
    /// before, in milliseconds: a call timed by the clock of the one before may have reached the
    /// next, whose clock starts anew, and have given it the longest lease.
    pub(super) fn unnoticed_restart_ms(&self) -> u64 {
        let excess_ms = self.lease_max_ms.saturating_sub(self.lease_ms);
        excess_ms + excess_ms * CLOCK_DRIFT_PERCENT / 100
    }

    /// Returns how long orphaned runs of earlier owners may still go on, in milliseconds.
    /// `None` means that the schedule has not been taken over yet and can't be handed over.
    pub fn orphans_left_ms(&self, now_ms: u64) -> Option<u64> {
        (self.lease_ms > 0).then(|| self.orphans_until_ms.saturating_sub(now_ms))
    }

    /// Applies the teams' ceilings and shares.
    pub fn set_table(&mut self, table: &QueueTable) {
        for (name, row) in &table.teams {
            self.shares
                .entry(name.clone())
                .or_default()
                .set_rate(row.weight);
            self.teams.entry(name.clone()).or_default().ceiling = row.ceiling;
        }
    }

    /// Returns the worker with this name.
    pub fn worker(&self, name: &WorkerName) -> Option<&WorkerStatus> {
        self.workers.get(name)
    }

    /// Returns all workers.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerStatus> {
        self.workers.values()
    }

    /// Marks a worker unreachable.
    pub fn mark_unreachable(&mut self, name: &WorkerName) {
        if let Some(status) = self.workers.get_mut(name) {
            status.reachable = false;
        }
    }

    /// Whether a worker's lease may be renewed, see [`renew_lease`](Self::renew_lease).
    pub fn grants_lease(&self, name: &WorkerName) -> bool {
        let status = self.workers.get(name);
        status.is_some_and(|status| status.reachable && !status.recorded_unreachable)
    }

    /// Renews a worker's lease and returns whether it did.
    ///
    /// An unreachable worker gets no renewal, so that its runs end for certain. Neither does a
    /// worker that the newest stored snapshot lists as unreachable: an owner that takes over
    /// relies on the lease end given there.
    pub fn renew_lease(&mut self, name: &WorkerName, now_ms: u64) -> bool {
        let lease = self.lease_bound_ms();
        if !self.grants_lease(name) {
            return false;
        }
        if let Some(status) = self.workers.get_untracked(name) {
            status.lease_until_ms = status.lease_until_ms.max(now_ms + lease);
        }
        true
    }

    /// Counts the longest lease for a worker: a call timed by the clock of the incarnation before seems to
    /// have reached its next one.
    pub fn suspect_restart(&mut self, name: &WorkerName, now_ms: u64) {
        let longest_ms = self.lease_bound_ms() + self.unnoticed_restart_ms();
        if let Some(status) = self.workers.get_untracked(name) {
            status.lease_until_ms = status.lease_until_ms.max(now_ms + longest_ms);
        }
    }

    /// Returns how long the lease that a call sets may last, counted from its sending, in milliseconds.
    fn lease_bound_ms(&self) -> u64 {
        self.lease_ms + self.lease_ms * CLOCK_DRIFT_PERCENT / 100 + LEASE_SLACK_MS
    }

    /// Returns the highest run end that a worker may discard. It is 0 after an unanswered
    /// call: another incarnation, whose ends have the same numbers, may answer the next one.
    pub fn acknowledged_end(&self, name: &WorkerName) -> u64 {
        let status = self.workers.get(name).filter(|status| status.reachable);
        status.map_or(0, |status| status.recorded_end)
    }

    /// Adds a job. `run_base` is above any run number that an earlier owner may have used, 0
    /// if there was none.
    pub fn add_job(
        &mut self,
        record: JobRecord,
        progress: Option<&ProgressRecord>,
        run_base: u32,
        now_ms: u64,
        wall_ms: u64,
    ) {
        let known = self.jobs.get(&record.name);
        // Another record under the name of a job that is to be removed is that of a new job.
        if known.is_some_and(|job| !job.removal_ordered || *job.record == record) {
            return;
        }
        let age = wall_ms.saturating_sub(record.accepted_ms);
        let name = record.name.clone();
        let pool = record.pool.clone();
        let mut job = LiveJob::new(
            Arc::new(record),
            now_ms.saturating_sub(age),
            now_ms,
            run_base,
        );
        if let Some(progress) = progress {
            job.restore(progress, wall_ms);
            if job.ended.is_none() && job.suspected_tasks().next().is_some() {
                self.suspects.insert(name.clone());
            }
            if job.ended.is_none() {
                self.restore_open_runs(&name, progress, now_ms);
            }
        }
        job.open_due_occurrences(wall_ms);
        self.has_gangs |= job.record.plan.has_gang();
        if job.ended.is_none() {
            if !job.from_earlier_owner {
                let team = job.record.team.as_ref();
                let share = team.and_then(|team| self.shares.get_mut(team));
                job.over_share = share.is_some_and(|share| !share.try_take(now_ms));
                let work = job.record.plan.work();
                self.arrivals
                    .entry(pool.clone())
                    .or_default()
                    .record(now_ms, work);
            }
            self.active.entry(pool).or_default().insert(name.clone());
        }
        self.jobs.insert(name, job);
    }

    /// Cancels a job and returns the orders that stop its runs. A job that has ended stays as
    /// it is.
    pub fn cancel(&mut self, name: &JobName, now_ms: u64, wall_ms: u64) -> Vec<WorkerOrder> {
        match self.jobs.get(name) {
            Some(job) if job.ended.is_none() => {}
            _ => return Vec::new(),
        }
        self.end_job(name, JobState::Cancelled, now_ms, wall_ms)
    }

    /// Returns the state of a job; `None` if it is unknown.
    pub fn state(&self, name: &JobName) -> Option<JobState> {
        self.jobs.get(name).map(LiveJob::state)
    }

    /// Counts the jobs of a queue of which no worker has started a task yet.
    pub fn pending(&self, queue: &QueueName) -> usize {
        let active = self.active.values().flatten();
        let jobs = active.filter_map(|name| self.jobs.get(name));
        let is_pending =
            |job: &&LiveJob| job.record.queue == *queue && job.ended.is_none() && !job.begun;
        jobs.filter(is_pending).count()
    }

    /// Counts the tasks that have state: those of the open occurrences of all jobs.
    pub fn tracked_tasks(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.map(|job| job.occurrences.tasks().count()).sum()
    }

    /// Counts the jobs that have not ended.
    pub fn open_jobs(&self) -> usize {
        self.active.values().map(FastSet::len).sum()
    }

    /// Returns what planning passes have looked at so far.
    pub fn planning_work(&self) -> PlanningWork {
        self.planning_work
    }

    /// Ends a job and returns the orders that stop its runs.
    pub(super) fn end_job(
        &mut self,
        name: &JobName,
        state: JobState,
        now_ms: u64,
        wall_ms: u64,
    ) -> Vec<WorkerOrder> {
        let Some(job) = self.jobs.get_mut(name) else {
            return Vec::new();
        };
        job.ended = Some(state);
        job.ended_ms = Some(wall_ms);
        if let Some(active) = self.active.get_mut(&job.record.pool) {
            active.remove(name);
        }
        self.dirty.insert(name.clone());
        let mut orders = Vec::new();
        for (occurrence, steps) in job.occurrences.open_mut() {
            for (step, state) in (0u16..).zip(steps) {
                for (index, task) in (0u32..).zip(&mut state.tasks) {
                    for run in &mut task.runs {
                        if run.is_stopping() {
                            continue;
                        }
                        let task = TaskName {
                            job: name.clone(),
                            occurrence,
                            step,
                            index,
                        };
                        orders.push(run.stop(&task, now_ms));
                    }
                }
            }
        }
        orders
    }
}
