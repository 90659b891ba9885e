//! Which task starts next, and where.

use {
    super::{
        fleet_schedule::FleetSchedule,
        job_plan::{Resources, StepPlan},
        live_job::{LiveJob, TaskRun},
        task_name::TaskName,
        worker_order::{StartOrder, WorkerOrder},
        worker_status::WorkerStatus,
    },
    crate::names::{JobName, PoolName, WorkerName},
    std::sync::Arc,
};

/// Jobs in a row that find no room before a pool counts as full. Bounds the work of one
/// pass when a queue is many times its pool.
const MISSES_MAX: usize = 12;

impl FleetSchedule {
    /// Starts what can start, in the order of the rule, and reserves its room. Until
    /// `sole_until_ms` this surely was the only owner: a job that came in later may be
    /// started by another one too, and waits until ownership is confirmed again.
    pub fn plan_starts(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        sole_until_ms: u64,
    ) -> Vec<WorkerOrder> {
        let pools: Vec<_> = self
            .active
            .iter()
            .filter(|(_, jobs)| !jobs.is_empty())
            .map(|(pool, _)| pool.clone())
            .collect();
        self.count_unseen(&pools, now_ms);
        let mut orders = Vec::new();
        for pool in pools {
            self.plan_pool(&pool, (now_ms, wall_ms), sole_until_ms, &mut orders);
        }
        orders
    }

    /// Holds back jobs of earlier owners in pools with workers that were not heard, and counts
    /// what may run of them towards their teams' ceilings: each task that is ready and not
    /// known to run.
    fn count_unseen(&mut self, pools: &[PoolName], now_ms: u64) {
        for team in self.teams.values_mut() {
            team.unseen = Resources::default();
        }
        for pool in pools {
            let unseen = self.workers_with_orphans(pool, now_ms).next().is_some();
            for name in self.active.get(pool).into_iter().flatten() {
                let Some(job) = self.jobs.get_mut(name) else {
                    continue;
                };
                // What may run unseen starts nowhere else, unless copies are allowed.
                job.held_back = unseen && job.from_earlier_owner;
                let team = job.record.team.as_ref().filter(|_| job.held_back);
                if let Some(team) = team.and_then(|team| self.teams.get_mut(team)) {
                    team.unseen += job.ready_need();
                }
            }
        }
    }

    fn plan_pool(
        &mut self,
        pool: &PoolName,
        (now_ms, wall_ms): (u64, u64),
        sole_until_ms: u64,
        orders: &mut Vec<WorkerOrder>,
    ) {
        let mut waiting = Vec::new();
        for name in self.active.get(pool).into_iter().flatten() {
            let Some(job) = self.jobs.get_mut(name) else {
                continue;
            };
            if job.taken_ms >= sole_until_ms {
                continue;
            }
            job.open_due(wall_ms);
            if first_idle(job) {
                waiting.push((job.urgency().key(self.rule, now_ms), name.clone()));
            }
        }
        waiting.sort_unstable();
        let open: Vec<WorkerName> = self
            .workers
            .values()
            .filter(|seat| seat.listed.pool == *pool && seat.accepts_tasks(now_ms))
            .map(|seat| seat.listed.name.clone())
            .collect();
        let mut misses = 0;
        for (_, name) in waiting {
            if self.start_job(&name, &open, now_ms, orders) {
                misses = 0;
            } else {
                misses += 1;
            }
            if misses >= MISSES_MAX {
                break;
            }
        }
    }

    /// Starts the ready tasks of one job. Tells whether all of them found room.
    fn start_job(
        &mut self,
        name: &JobName,
        open: &[WorkerName],
        now_ms: u64,
        orders: &mut Vec<WorkerOrder>,
    ) -> bool {
        let mut all = true;
        for (occurrence, step) in self.ready_steps(name) {
            all &= self.start_step(name, (occurrence, step), open, now_ms, orders);
        }
        all
    }

    fn ready_steps(&self, name: &JobName) -> Vec<(u32, usize)> {
        let Some(job) = self.jobs.get(name) else {
            return Vec::new();
        };
        job.startable_steps()
            .map(|(occurrence, number, _)| (occurrence, number))
            .collect()
    }

    fn start_step(
        &mut self,
        name: &JobName,
        (occurrence, step): (u32, usize),
        open: &[WorkerName],
        now_ms: u64,
        orders: &mut Vec<WorkerOrder>,
    ) -> bool {
        let Some(job) = self.jobs.get(name) else {
            return true;
        };
        let plan = job.record.plan.steps[step].clone();
        let team = job.record.team.clone();
        let tasks = &job.occurrences[&occurrence][step].tasks;
        let idle: Vec<u32> = (0u32..)
            .zip(tasks)
            .filter(|(_, task)| task.idle())
            .map(|(index, _)| index)
            .collect();
        if plan.gang && idle.len() < tasks.len() {
            return true;
        }
        let gang_run = if plan.gang {
            tasks.iter().map(|task| task.last_run).max()
        } else {
            None
        };
        let gang_saved = tasks.iter().find_map(|task| task.checkpoint.clone());
        let mut placed: Vec<(TaskName, WorkerName, u32)> = Vec::new();
        let mut whole = true;
        if !self.has_advice(name, (occurrence, step), open, now_ms) {
            // It waits for the adviser, not for room.
            return true;
        }
        for index in idle {
            let task = TaskName {
                job: name.clone(),
                occurrence,
                step: u16::try_from(step).unwrap_or(u16::MAX),
                index,
            };
            let allowed = team.as_ref().is_none_or(|team| {
                self.teams
                    .get(team)
                    .is_none_or(|team| team.allows(plan.need))
            });
            let Some(worker) = allowed
                .then(|| self.choose_worker(open, &plan, &task, now_ms))
                .flatten()
            else {
                whole = false;
                break;
            };
            let run = self.begin_run(&task, &worker, gang_run, now_ms);
            placed.push((task, worker, run));
        }
        if plan.gang && !whole {
            for (task, worker, run) in &placed {
                self.release(task, worker, *run);
            }
            return false;
        }
        let Some(job) = self.jobs.get_mut(name) else {
            return true;
        };
        job.started |= !placed.is_empty();
        for (task, worker, run) in placed {
            let checkpoint = if plan.gang {
                gang_saved.clone()
            } else {
                job.task(&task).and_then(|task| task.checkpoint.clone())
            };
            let ticket = self.workers.get(&worker).and_then(|seat| {
                let step = job.step(&task).filter(|_| job.record.advised)?;
                step.advice.ticket(seat, now_ms).cloned()
            });
            orders.push(WorkerOrder::Start(StartOrder {
                worker,
                task,
                run,
                body: Arc::clone(&job.record.plan.task_body),
                checkpoint,
                ticket,
            }));
        }
        whole
    }

    /// Whether a step needs no advice, or has it for some open worker.
    fn has_advice(
        &self,
        name: &JobName,
        (occurrence, step): (u32, usize),
        open: &[WorkerName],
        now_ms: u64,
    ) -> bool {
        let Some(job) = self.jobs.get(name).filter(|job| job.record.advised) else {
            return true;
        };
        let step = &job.occurrences[&occurrence][step];
        let mut seats = open.iter().filter_map(|name| self.workers.get(name));
        seats.any(|seat| step.advice.ticket(seat, now_ms).is_some())
    }

    fn begin_run(
        &mut self,
        task: &TaskName,
        worker: &WorkerName,
        gang_run: Option<u32>,
        now_ms: u64,
    ) -> u32 {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return 0;
        };
        let base = job.run_base;
        let Some(state) = job.task_mut(task) else {
            return 0;
        };
        let run = gang_run.unwrap_or(state.last_run).max(base) + 1;
        state.last_run = run;
        state
            .runs
            .push(TaskRun::unsure(worker.clone(), run, now_ms));
        self.reserve(task, worker, run);
        run
    }

    /// The worker for a task: near its data first, then the fullest that has room, so
    /// that large tasks find room too and idle instances can leave the pool. Tasks that
    /// last are spread so far that one instance taken down ends no more than may be missed.
    /// Instances that a wave still takes down come last, so that they become idle.
    fn choose_worker(
        &self,
        open: &[WorkerName],
        plan: &StepPlan,
        task: &TaskName,
        now_ms: u64,
    ) -> Option<WorkerName> {
        let need = plan.reserved();
        let job = self.jobs.get(&task.job)?;
        let advice = job.step(task).filter(|_| job.record.advised);
        let fits = |seat: &&WorkerStatus| {
            need.fits(seat.used, seat.listed.capacity)
                && advice.is_none_or(|step| step.advice.ticket(seat, now_ms).is_some())
                && plan
                    .requires
                    .as_ref()
                    .is_none_or(|label| seat.has_label(label))
                && plan
                    .anti_affinity
                    .is_none_or(|most| same_step(seat, task) < most)
        };
        let rank = |seat: &&WorkerStatus| {
            let near = plan
                .affinity
                .as_ref()
                .is_none_or(|rack| seat.has_label(rack.as_str()));
            let crowded = plan.long_running && same_step(seat, task) >= plan.most_together();
            let free = free_share(seat.used, seat.listed.capacity);
            (!near, crowded, seat.due, free)
        };
        let seats = open.iter().filter_map(|name| self.workers.get(name));
        let best = seats.filter(fits).min_by_key(rank)?;
        Some(best.listed.name.clone())
    }
}

/// Free processor in thousandths of the capacity.
fn free_share(used: Resources, capacity: Resources) -> u64 {
    let free = capacity.cpu_milli.saturating_sub(used.cpu_milli);
    free * 1000 / capacity.cpu_milli.max(1)
}

/// Runs of the task's step, in its occurrence, on a worker.
fn same_step(seat: &WorkerStatus, task: &TaskName) -> u32 {
    let same = |other: &&TaskName| {
        other.step == task.step && other.occurrence == task.occurrence && other.job == task.job
    };
    u32::try_from(seat.runs.keys().filter(same).count()).unwrap_or(u32::MAX)
}

/// Whether some step is ready and has a task that neither runs nor is done.
fn first_idle(job: &LiveJob) -> bool {
    job.startable_steps()
        .any(|(_, _, step)| step.tasks.iter().any(super::live_job::TaskState::idle))
}
