//! What runs where, for the pools under one ownership.

use {
    super::{
        arrival_rate::ArrivalRate,
        job_order::OrderRule,
        job_plan::Resources,
        job_progress::{JobRecord, JobState, ProgressRecord},
        live_job::LiveJob,
        queue_table::QueueTable,
        share_bucket::ShareBucket,
        task_name::TaskName,
        worker_order::WorkerOrder,
        worker_status::{ListedWorker, WorkerStatus},
    },
    crate::{
        collections::{FastMap, FastSet},
        names::{JobName, PoolName, QueueName, TeamName, WorkerName},
    },
    std::sync::Arc,
};

/// Added to what a lease may last, in milliseconds: the time that an order may be under way.
const LEASE_SLACK_MS: u64 = 300;
/// Part by which a worker's clock may be slow, in hundredths; 2 by the platform's terms.
const CLOCK_SLOW_PERCENT: u64 = 2;

/// What a team has running, and its ceiling.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TeamUse {
    pub(super) used: Resources,
    /// What an earlier owner may have started that is not known here.
    pub(super) unseen: Resources,
    pub(super) ceiling: Resources,
}

impl TeamUse {
    /// Whether this much more stays within the ceiling; a zero field is no limit.
    pub(super) fn allows(&self, need: Resources) -> bool {
        let mut used = self.used;
        used += self.unseen;
        let within = |used: u64, need: u64, limit: u64| limit == 0 || used + need <= limit;
        within(used.cpu_milli, need.cpu_milli, self.ceiling.cpu_milli)
            && within(used.memory_mb, need.memory_mb, self.ceiling.memory_mb)
            && within(used.gpus, need.gpus, self.ceiling.gpus)
    }
}

/// What a pool's work asks of its workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Thousandths of a core that runs reserve.
    pub reserved_milli: u64,
    /// Thousandths of a core that ready tasks ask for.
    pub waiting_milli: u64,
    /// Thousandths of a core that keep up with the work arriving.
    pub arriving_milli: u64,
    /// Thousandths of a core that one worker has.
    pub worker_milli: u64,
    /// Megabytes that runs reserve and ready tasks ask for.
    pub memory_mb: u64,
    /// Megabytes that one worker has.
    pub worker_memory_mb: u64,
    /// Workers over which the tasks of one step have to be spread.
    pub spread: usize,
    /// Tasks that last and wait for a worker.
    pub lasting_waiting: usize,
    /// Workers that take work.
    pub open: usize,
    /// Workers that are known and take none at present.
    pub closed: usize,
}

/// Progress to be recorded, with the ends that it covers.
#[derive(Debug, Clone, Default)]
pub struct ProgressBatch {
    /// Jobs and how far they are.
    pub records: Vec<(JobName, ProgressRecord)>,
    /// Workers, their lives, and the highest end of each that the records cover.
    pub ends: Vec<(WorkerName, u64, u64)>,
}

/// Jobs, workers and runs of the pools under one ownership.
#[derive(Debug, Default)]
pub struct FleetSchedule {
    pub(super) rule: OrderRule,
    pub(super) jobs: FastMap<JobName, LiveJob>,
    pub(super) active: FastMap<PoolName, FastSet<JobName>>,
    pub(super) workers: FastMap<WorkerName, WorkerStatus>,
    pub(super) teams: FastMap<TeamName, TeamUse>,
    pub(super) shares: FastMap<TeamName, ShareBucket>,
    pub(super) arrivals: FastMap<PoolName, ArrivalRate>,
    pub(super) dirty: FastSet<JobName>,
    pub(super) lease_ms: u64,
    pub(super) orphans_until_ms: u64,
}

impl FleetSchedule {
    /// An empty schedule whose grants to workers last `lease_ms`. Runs that an earlier
    /// owner started on workers out of reach may go on until `unseen_until_ms`.
    pub fn new(rule: OrderRule, lease_ms: u64, orphans_until_ms: u64) -> Self {
        Self {
            rule,
            lease_ms,
            orphans_until_ms,
            ..Self::default()
        }
    }

    /// How long runs that earlier owners started may still go on unseen, in milliseconds;
    /// nothing while the schedule was not taken over yet, and so can't be handed over.
    pub fn orphans_left_ms(&self, now_ms: u64) -> Option<u64> {
        (self.lease_ms > 0).then(|| self.orphans_until_ms.saturating_sub(now_ms))
    }

    /// Puts the teams' ceilings and shares in force.
    pub fn set_table(&mut self, table: &QueueTable) {
        for (name, row) in &table.teams {
            self.shares
                .entry(name.clone())
                .or_default()
                .set_rate(row.weight);
            self.teams.entry(name.clone()).or_default().ceiling = row.ceiling;
        }
    }

    /// Takes in a worker's listing. A new life of it, or of its instance, ends all that
    /// ran before. Tells whether the listing was news.
    pub fn upsert_worker(&mut self, listed: ListedWorker) -> bool {
        if self
            .workers
            .get(&listed.name)
            .is_some_and(|seat| seat.present && seat.listed == listed)
        {
            return false;
        }
        let replaced: Vec<_> = self
            .workers
            .values()
            .filter(|seat| {
                let own = &seat.listed;
                let same_instance = own.instance.is_some()
                    && own.instance == listed.instance
                    && own.name != listed.name
                    && own.started_ms < listed.started_ms;
                same_instance || own.name == listed.name && own.started_ms != listed.started_ms
            })
            .map(|seat| seat.listed.name.clone())
            .collect();
        for name in replaced {
            self.release_all(&name);
            self.workers.remove(&name);
        }
        let unseen_until = self.orphans_until_ms;
        let seat = self
            .workers
            .entry(listed.name.clone())
            .or_insert_with(|| WorkerStatus::new(listed.clone(), unseen_until));
        seat.listed = listed;
        seat.present = true;
        true
    }

    /// Takes note that the platform no longer lists a worker. What it runs may go on
    /// until its lease ran out, unless an order took its instance down just before.
    pub fn unlist_worker(&mut self, name: &WorkerName, now_ms: u64) {
        let Some(seat) = self.workers.get_mut(name) else {
            return;
        };
        seat.present = false;
        if now_ms < seat.taken_down_until_ms {
            self.release_all(name);
            self.workers.remove(name);
        }
    }

    /// A worker by its name.
    pub fn worker(&self, name: &WorkerName) -> Option<&WorkerStatus> {
        self.workers.get(name)
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerStatus> {
        self.workers.values()
    }

    /// Takes note that a worker could not be reached.
    pub fn mark_unreachable(&mut self, name: &WorkerName) {
        if let Some(seat) = self.workers.get_mut(name) {
            seat.reachable = false;
        }
    }

    /// Grants a worker another lease if its last call was answered; tells whether it did.
    /// A worker that does not answer gets none, so that what it ran surely ends; nor does one
    /// that the newest record names as lost, since an owner that takes over counts on the end
    /// of the lease that stands there.
    pub fn renew_lease(&mut self, name: &WorkerName, now_ms: u64) -> bool {
        let lease = self.lease_ms + self.lease_ms * CLOCK_SLOW_PERCENT / 100 + LEASE_SLACK_MS;
        let seat = self.workers.get_mut(name);
        let Some(seat) = seat.filter(|seat| seat.reachable && !seat.recorded_unreachable) else {
            return false;
        };
        seat.lease_until_ms = seat.lease_until_ms.max(now_ms + lease);
        true
    }

    /// The highest end that a worker may be told to forget. None after a call that it did not
    /// answer: another life, whose ends have the same numbers, may answer the next one.
    pub fn acknowledged_end(&self, name: &WorkerName) -> u64 {
        let seat = self.workers.get(name).filter(|seat| seat.reachable);
        seat.map_or(0, |seat| seat.recorded_end)
    }

    /// What each pool's work asks of its workers.
    pub fn pool_loads(&self, now_ms: u64) -> FastMap<PoolName, PoolLoad> {
        let mut loads: FastMap<PoolName, PoolLoad> = FastMap::default();
        for seat in self.workers.values() {
            let load = loads.entry(seat.listed.pool.clone()).or_default();
            load.reserved_milli += seat.used.cpu_milli;
            load.worker_milli = load.worker_milli.max(seat.listed.capacity.cpu_milli);
            load.memory_mb += seat.used.memory_mb;
            load.worker_memory_mb = load.worker_memory_mb.max(seat.listed.capacity.memory_mb);
            if seat.accepts_tasks(now_ms) {
                load.open += 1;
            } else if seat.present && seat.reported {
                load.closed += 1;
            }
        }
        for (pool, names) in &self.active {
            let load = loads.entry(pool.clone()).or_default();
            for job in names.iter().filter_map(|name| self.jobs.get(name)) {
                job.add_load(load);
            }
        }
        for (pool, arrivals) in &self.arrivals {
            loads.entry(pool.clone()).or_default().arriving_milli = arrivals.keep_up_milli(now_ms);
        }
        let usual = loads.values().map(|load| load.worker_milli).max();
        let usual_memory = loads.values().map(|load| load.worker_memory_mb).max();
        for load in loads.values_mut().filter(|load| load.worker_milli == 0) {
            load.worker_milli = usual.unwrap_or_default();
            load.worker_memory_mb = usual_memory.unwrap_or_default();
        }
        loads
    }

    /// Takes in a job. `run_base` is above any run that an earlier owner may have
    /// started, 0 if there was none.
    pub fn add_job(
        &mut self,
        record: JobRecord,
        progress: Option<&ProgressRecord>,
        run_base: u32,
        now_ms: u64,
        wall_ms: u64,
    ) {
        if self.jobs.contains_key(&record.name) {
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
        }
        job.open_due(wall_ms);
        if job.ended.is_none() {
            if !job.from_earlier_owner {
                let team = job.record.team.as_ref();
                let share = team.and_then(|team| self.shares.get_mut(team));
                job.over_share = share.is_some_and(|share| !share.take(now_ms));
                let work = job.record.plan.work();
                self.arrivals
                    .entry(pool.clone())
                    .or_default()
                    .note(now_ms, work);
            }
            self.active.entry(pool).or_default().insert(name.clone());
        }
        self.jobs.insert(name, job);
    }

    /// Cancels a job and returns the orders that stop what runs of it. Nothing happens
    /// to a job that has ended.
    pub fn cancel(&mut self, name: &JobName, now_ms: u64, wall_ms: u64) -> Vec<WorkerOrder> {
        match self.jobs.get(name) {
            Some(job) if job.ended.is_none() => {}
            _ => return Vec::new(),
        }
        self.end_job(name, JobState::Cancelled, now_ms, wall_ms)
    }

    /// Where a job stands, if it is known.
    pub fn state(&self, name: &JobName) -> Option<JobState> {
        self.jobs.get(name).map(LiveJob::state)
    }

    /// Jobs of a queue of which nothing has started.
    pub fn pending(&self, queue: &QueueName) -> usize {
        let waits =
            |job: &&LiveJob| job.record.queue == *queue && job.ended.is_none() && !job.started;
        self.jobs.values().filter(waits).count()
    }

    /// Jobs that have not ended.
    pub fn open_jobs(&self) -> usize {
        self.active.values().map(FastSet::len).sum()
    }

    /// Jobs that ended more than `keep_ms` ago, forgotten here and to be removed from the
    /// store.
    pub fn expire_ended_jobs(&mut self, keep_ms: u64, wall_ms: u64) -> Vec<JobName> {
        let old: Vec<_> = self
            .jobs
            .values()
            .filter(|job| job.end_recorded && job.runs == 0)
            .filter(|job| job.ended_ms.is_some_and(|at| at + keep_ms < wall_ms))
            .map(|job| job.record.name.clone())
            .collect();
        for name in &old {
            self.jobs.remove(name);
        }
        old
    }

    /// Whether the end of a job is to be recorded, which its caller waits for.
    pub fn has_unrecorded_end(&self) -> bool {
        let ended = |name| self.jobs.get(name).is_some_and(|job| job.ended.is_some());
        self.dirty.iter().any(ended)
    }

    /// Takes what is to be recorded. Ends are acknowledged after
    /// [`progress_recorded`](Self::progress_recorded).
    pub fn take_progress_batch(&mut self) -> ProgressBatch {
        let dirty = std::mem::take(&mut self.dirty);
        let records = dirty
            .into_iter()
            .filter_map(|name| Some((name.clone(), self.jobs.get(&name)?.progress())))
            .collect();
        let ends = self
            .workers
            .values()
            .filter(|seat| seat.seen_end > seat.recorded_end)
            .map(|seat| {
                (
                    seat.listed.name.clone(),
                    seat.listed.started_ms,
                    seat.seen_end,
                )
            })
            .collect();
        ProgressBatch { records, ends }
    }

    /// Takes note that a batch is recorded.
    pub fn mark_progress_recorded(&mut self, batch: &ProgressBatch) {
        for (name, progress) in &batch.records {
            if let Some(job) = self.jobs.get_mut(name)
                && progress.ended.is_some()
            {
                job.end_recorded = true;
            }
        }
        for (name, started_ms, end) in &batch.ends {
            if let Some(seat) = self.workers.get_mut(name)
                && seat.listed.started_ms == *started_ms
            {
                seat.recorded_end = seat.recorded_end.max(*end);
            }
        }
    }

    /// Takes note that a batch may not be recorded.
    pub fn requeue_progress(&mut self, batch: ProgressBatch) {
        self.dirty
            .extend(batch.records.into_iter().map(|(name, _)| name));
    }

    /// Ends a job and returns the orders that stop what runs of it.
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
        for (occurrence, steps) in &mut job.occurrences {
            for (step, state) in (0u16..).zip(steps) {
                for (index, task) in (0u32..).zip(&mut state.tasks) {
                    for run in &mut task.runs {
                        if run.is_stopping() {
                            continue;
                        }
                        let task = TaskName {
                            job: name.clone(),
                            occurrence: *occurrence,
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

    /// Ends all runs on a worker whose life is over.
    pub(super) fn release_all(&mut self, name: &WorkerName) {
        let Some(seat) = self.workers.get(name) else {
            return;
        };
        let runs: Vec<_> = seat
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), *run))
            .collect();
        for (task, run) in runs {
            self.release(&task, name, run);
        }
    }

    /// Frees what a run reserved. Tells whether it was known.
    pub(super) fn release(&mut self, task: &TaskName, worker: &WorkerName, run: u32) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let Some(state) = job.task_mut(task) else {
            return false;
        };
        let before = state.runs.len();
        state
            .runs
            .retain(|known| known.run != run || known.worker != *worker);
        if state.runs.len() == before {
            return false;
        }
        job.runs -= 1;
        let step = &job.record.plan.steps[usize::from(task.step)];
        if let Some(seat) = self.workers.get_mut(worker) {
            seat.runs.remove(task);
            seat.used -= step.reserved();
        }
        if let Some(team) = job
            .record
            .team
            .as_ref()
            .and_then(|team| self.teams.get_mut(team))
        {
            team.used -= step.need;
        }
        true
    }

    /// Reserves room for a run.
    pub(super) fn reserve(&mut self, task: &TaskName, worker: &WorkerName, run: u32) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.runs += 1;
        let step = &job.record.plan.steps[usize::from(task.step)];
        if let Some(seat) = self.workers.get_mut(worker) {
            seat.runs.insert(task.clone(), run);
            seat.used += step.reserved();
        }
        if let Some(team) = &job.record.team {
            self.teams.entry(team.clone()).or_default().used += step.need;
        }
    }
}
