//! Placement of tasks on workers.

use {
    super::{
        backfill_limit::BackfillLimit,
        crash_trial::TrialCandidates,
        fleet_schedule::FleetSchedule,
        job_order::JobSortKey,
        job_plan::{Resources, StepPlan},
        pool_candidates::{Candidate, PoolCandidates},
        task_name::TaskName,
        task_run::{RunPhase, TaskRun},
        unplaced_needs::UnplacedNeeds,
        worker_order::WorkerOrder,
        worker_status::WorkerStatus,
    },
    crate::{
        collections::{FastMap, FastSet},
        names::{JobName, PoolName, TeamName, WorkerName},
    },
    std::{cmp::Reverse, sync::Arc},
};

impl FleetSchedule {
    /// Places ready tasks in the order of the rule, reserves their resources and returns the
    /// start orders.
    ///
    /// Until `sole_until_ms` this was certainly the only owner. A job that was added later may
    /// be started by another owner too, and that owner may renew orphaned runs that would end
    /// later: what depends on either waits until ownership is confirmed again.
    pub fn plan_starts(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        sole_until_ms: u64,
    ) -> Vec<WorkerOrder> {
        let sole_ms = now_ms.min(sole_until_ms);
        self.update_candidates(now_ms, sole_ms);
        self.count_orphaned_runs(sole_ms);
        let mut orders = self.give_up_culprits(now_ms, wall_ms);
        orders.extend(self.order_recorded_starts(now_ms));
        let mut waiting_by_pool = self.waiting_jobs(now_ms, wall_ms, sole_until_ms);
        let waiting_gangs = self.waiting_gangs(&waiting_by_pool);
        orders.extend(self.stop_partial_gangs(&waiting_gangs, now_ms));
        if waiting_by_pool.is_empty() {
            return orders;
        }
        for (pool, waiting) in &mut waiting_by_pool {
            waiting.sort_unstable();
            if self.suspects.is_empty() && self.trials.is_empty() {
                let mut candidates = self.candidates.take_pool(pool);
                self.plan_pool(waiting, &mut candidates, now_ms, &mut orders);
                self.candidates.return_pool(pool, candidates);
            } else {
                self.plan_pool_with_trials(pool, waiting, now_ms, &mut orders);
            }
        }
        orders
    }

    /// Looks again at the workers that may have changed since the last pass.
    fn update_candidates(&mut self, now_ms: u64, sole_ms: u64) {
        let mut changed = self.workers.take_changed();
        changed.extend(self.candidates.take_ejected());
        self.planning_work.passes += 1;
        self.planning_work.workers += changed.len() as u64;
        for name in changed {
            let status = self.workers.get(&name);
            if status.is_some_and(|status| status.may_have_orphans(sole_ms)) {
                self.unsettled.insert(name.clone());
            }
            self.candidates.update(&name, status, now_ms);
        }
    }

    /// Places the tasks of a pool in which tasks are suspected of crashing their workers.
    fn plan_pool_with_trials(
        &mut self,
        pool: &PoolName,
        waiting: &[(JobSortKey, JobName)],
        now_ms: u64,
        orders: &mut Vec<WorkerOrder>,
    ) {
        let kept = self.candidates.take_pool(pool);
        let mut candidates: Vec<_> = kept.iter().cloned().collect();
        self.candidates.return_pool(pool, kept);
        let names = waiting.iter().map(|(_, name)| name);
        let trials = self.plan_trials(pool, names, &mut candidates, now_ms);
        for trial in trials {
            self.start_trial(trial, now_ms, orders);
        }
        let mut candidates = candidates.into_iter().collect();
        self.plan_pool(waiting, &mut candidates, now_ms, orders);
    }

    /// Holds back jobs of earlier owners in pools that may have orphaned runs. Each of their
    /// ready tasks that is not known to run counts towards the ceiling of its team. `sole_ms` is the
    /// newest time at which this was certainly the only owner.
    fn count_orphaned_runs(&mut self, sole_ms: u64) {
        let workers = &self.workers;
        self.unsettled.retain(|name| {
            let status = workers.get(name);
            status.is_some_and(|status| status.may_have_orphans(sole_ms))
        });
        let may_have = self.unsettled.iter().filter_map(|name| workers.get(name));
        let orphaned: FastSet<PoolName> = may_have.map(|w| w.listed.pool.clone()).collect();
        if orphaned.is_empty() && !self.has_orphans {
            return;
        }
        self.has_orphans = !orphaned.is_empty();
        for team in self.teams.values_mut() {
            team.orphaned = Resources::default();
        }
        for (pool, names) in &self.active {
            let has_orphans = orphaned.contains(pool);
            for name in names {
                let Some(job) = self.jobs.get_mut(name) else {
                    continue;
                };
                // A task with a possible orphaned run starts nowhere else, unless it is
                // speculative.
                job.set_awaits_orphans(has_orphans && job.from_earlier_owner);
                let team = job.record.team.as_ref().filter(|_| job.awaits_orphans());
                if let Some(team) = team.and_then(|team| self.teams.get_mut(team)) {
                    team.orphaned += job.ready_need();
                }
            }
        }
    }

    /// Returns the jobs with startable tasks by pool, each with its place in the order.
    fn waiting_jobs(
        &mut self,
        now_ms: u64,
        wall_ms: u64,
        sole_until_ms: u64,
    ) -> FastMap<PoolName, Vec<(JobSortKey, JobName)>> {
        let changed = self.jobs.take_changed();
        self.planning_work.jobs += changed.len() as u64;
        for name in changed {
            if let Some(job) = self.jobs.get(&name).filter(|job| job.ended.is_none()) {
                let waiting = self.waiting.entry(job.record.pool.clone()).or_default();
                waiting.insert(name);
            }
        }
        let mut waiting_by_pool = FastMap::default();
        for (pool, names) in &mut self.waiting {
            self.planning_work.jobs += names.len() as u64;
            let mut waiting = Vec::new();
            names.retain(|name| {
                let job = self.jobs.get_untracked(name);
                let Some(job) = job.filter(|job| job.ended.is_none()) else {
                    return false;
                };
                if job.added_ms >= sole_until_ms {
                    return true;
                }
                job.open_due_occurrences(wall_ms);
                if job.has_startable_task() {
                    waiting.push((job.urgency().sort_key(self.rule, now_ms), name.clone()));
                    return true;
                }
                job.has_occurrences_to_come()
            });
            if !waiting.is_empty() {
                waiting_by_pool.insert(pool.clone(), waiting);
            }
        }
        waiting_by_pool
    }

    /// Returns the waiting jobs that have gangs.
    fn waiting_gangs(
        &self,
        waiting_by_pool: &FastMap<PoolName, Vec<(JobSortKey, JobName)>>,
    ) -> Vec<JobName> {
        if !self.has_gangs {
            return Vec::new();
        }
        let names = waiting_by_pool.values().flatten().map(|(_, name)| name);
        let has_gang = |name: &&JobName| {
            let job = self.jobs.get(*name);
            job.is_some_and(|job| job.record.plan.has_gang())
        };
        names.filter(has_gang).cloned().collect()
    }

    /// Places the tasks of a pool's waiting jobs. A job that finds no room, or that its team's
    /// ceiling or the adviser holds back, does not hold back those behind it; many that find no
    /// room may, see [`BackfillLimit`].
    fn plan_pool(
        &mut self,
        waiting: &[(JobSortKey, JobName)],
        candidates: &mut PoolCandidates,
        now_ms: u64,
        orders: &mut Vec<WorkerOrder>,
    ) {
        if candidates.is_empty() {
            return;
        }
        let mut unplaced = UnplacedNeeds::default();
        let mut backfill = BackfillLimit::default();
        for (_, name) in waiting {
            if self.needs_trial(name) && !self.forgoes_trial(name, now_ms) {
                continue;
            }
            let orders_before = orders.len();
            let steps = self.placeable_steps(name, &unplaced, &backfill);
            let mut has_room = steps.is_some();
            for step in steps.into_iter().flatten() {
                has_room &= self.start_step(name, step, candidates, &mut unplaced, now_ms, orders);
            }
            if orders.len() > orders_before {
                backfill.record_start();
            } else if !has_room {
                backfill.record_without_room(|| candidates.totals());
            }
        }
    }

    /// Places the tasks of a job that is in a trial.
    fn start_trial(&mut self, trial: TrialCandidates, now_ms: u64, orders: &mut Vec<WorkerOrder>) {
        if trial.ready.is_empty() {
            return;
        }
        let mut unplaced = UnplacedNeeds::default();
        let steps = self.placeable_steps(&trial.job, &unplaced, &BackfillLimit::default());
        let mut ready = trial.ready.into_iter().collect();
        let runs_before = self.run_count(&trial.job);
        for step in steps.into_iter().flatten() {
            self.start_step(&trial.job, step, &mut ready, &mut unplaced, now_ms, orders);
        }
        if self.run_count(&trial.job) > runs_before {
            self.trial_queue.leave(&trial.job);
        }
    }

    fn run_count(&self, name: &JobName) -> usize {
        self.jobs.get(name).map_or(0, |job| job.run_count)
    }

    /// Returns the startable steps of a job; `None` if its tasks surely find no room.
    fn placeable_steps(
        &self,
        name: &JobName,
        unplaced: &UnplacedNeeds,
        backfill: &BackfillLimit,
    ) -> Option<Vec<(u32, usize)>> {
        let job = self.jobs.get(name)?;
        if unplaced.covers(None, job.least_need) {
            return None;
        }
        let steps = job.startable_steps();
        let steps = steps.map(|(occurrence, number, _)| (occurrence, number));
        let may_start = |(_, number): &(u32, usize)| {
            !backfill.is_reached() || job.record.plan.steps[*number].long_running
        };
        Some(steps.filter(may_start).collect())
    }

    /// Places the idle tasks of a step as far as the ceiling of its team and the room allow.
    /// Returns whether there was room for all that its other limits allow.
    fn start_step(
        &mut self,
        name: &JobName,
        (occurrence, step): (u32, usize),
        candidates: &mut PoolCandidates,
        unplaced: &mut UnplacedNeeds,
        now_ms: u64,
        orders: &mut Vec<WorkerOrder>,
    ) -> bool {
        let Some(job) = self.jobs.get(name) else {
            return true;
        };
        let record = Arc::clone(&job.record);
        let plan = &record.plan.steps[step];
        let team = record.team.as_ref();
        if !self.ceiling_allows(team, plan.least_start()) {
            return true;
        }
        if unplaced.covers(plan.requires.as_ref(), plan.reserved()) {
            return false;
        }
        let Some(state) = job.step_at(occurrence, step) else {
            return true;
        };
        let tasks = &state.tasks;
        let mut idle: Vec<u32> = (0u32..)
            .zip(tasks)
            .filter(|(_, task)| task.is_idle())
            .map(|(index, _)| index)
            .collect();
        if self.suspects.contains(name) {
            // A trial that has room for some of the tasks has it for the most suspected ones.
            idle.sort_by_key(|index| Reverse(tasks[*index as usize].suspicion.likelihood()));
        }
        if plan.gang && (idle.len() < tasks.len() || state.untouched > 0) {
            return true;
        }
        let gang_run = if plan.gang {
            tasks.iter().map(|task| task.last_run).max()
        } else {
            None
        };
        let records_all = self.records_all_starts(job) || plan.gang && state.has_suspects();
        let task_of = |index| TaskName {
            job: name.clone(),
            occurrence,
            step: u16::try_from(step).unwrap_or(u16::MAX),
            index,
        };
        if !self.has_advice(name, (occurrence, step), candidates, now_ms) {
            return true;
        }
        if plan.gang && !self.gang_fits(candidates, plan, &task_of(0), now_ms) {
            return false;
        }
        let mut has_room = true;
        let mut placed: Vec<(TaskName, WorkerName, u32)> = Vec::new();
        for index in idle {
            if !self.ceiling_allows(team, plan.need) {
                break;
            }
            let task = task_of(index);
            let Some(chosen) = self.choose_worker(candidates, plan, &task, now_ms) else {
                self.record_unplaced(unplaced, plan, candidates);
                has_room = false;
                break;
            };
            let worker = chosen;
            candidates.reserve(&worker, plan.reserved());
            let run = self.assign_run(&task, &worker, gang_run, records_all, now_ms);
            placed.push((task, worker, run));
        }
        let Some(job) = self.jobs.get_mut(name) else {
            return has_room;
        };
        job.started |= !placed.is_empty();
        for (task, worker, run) in placed {
            let known = self.find_run(&worker, &task, run);
            if known.is_some_and(|known| known.phase == RunPhase::Planned) {
                self.record_planned(name);
                continue;
            }
            let order = self.start_order(task, worker, run, now_ms);
            orders.extend(order.map(WorkerOrder::Start));
        }
        has_room
    }

    /// Whether all members of a gang that has no runs find room. Checked before any of them gets a
    /// run number, since a partial placement would use numbers up.
    fn gang_fits(
        &self,
        candidates: &PoolCandidates,
        plan: &StepPlan,
        member: &TaskName,
        now_ms: u64,
    ) -> bool {
        let Some(job) = self.jobs.get(&member.job) else {
            return false;
        };
        let advice = job.step(member).filter(|_| job.record.advised);
        let statuses = candidates
            .iter()
            .filter_map(|candidate| self.workers.get(&candidate.name))
            .filter(|status| advice.is_none_or(|step| step.advice.allows(status, now_ms)));
        let slots = statuses.map(|status| status.free_slots(plan, member));
        slots.fold(0, u64::saturating_add) >= u64::from(plan.count)
    }

    /// Whether the ceiling of a job's team allows `need` more.
    pub(super) fn ceiling_allows(&self, team: Option<&TeamName>, need: Resources) -> bool {
        let team = team.and_then(|team| self.teams.get(team));
        team.is_none_or(|team| team.allows(need))
    }

    /// Records the need of a step's task that was not placed, if no worker with its label has room.
    /// Otherwise the step's own limits keep it off the workers that have.
    fn record_unplaced(
        &self,
        unplaced: &mut UnplacedNeeds,
        plan: &StepPlan,
        candidates: &PoolCandidates,
    ) {
        let need = plan.reserved();
        let mut fitting = candidates.with_room(need).peekable();
        if fitting.peek().is_none() {
            unplaced.record(None, need);
        } else if let Some(label) = &plan.requires
            && !fitting.any(|candidate| {
                let status = self.workers.get(&candidate.name);
                status.is_some_and(|status| status.has_label(label))
            })
        {
            unplaced.record(Some(label), need);
        }
    }

    /// Whether a step needs no advice, or has a ticket for some available worker.
    fn has_advice(
        &self,
        name: &JobName,
        (occurrence, step): (u32, usize),
        candidates: &PoolCandidates,
        now_ms: u64,
    ) -> bool {
        let Some(job) = self.jobs.get(name).filter(|job| job.record.advised) else {
            return true;
        };
        let Some(step) = job.step_at(occurrence, step) else {
            return true;
        };
        let mut statuses = candidates
            .iter()
            .filter_map(|candidate| self.workers.get(&candidate.name));
        statuses.any(|status| step.advice.allows(status, now_ms))
    }

    /// Adds a run of a task on a worker. Its start is planned if it has to be recorded first: if
    /// `records_all`, or the task may have crashed a worker.
    fn assign_run(
        &mut self,
        task: &TaskName,
        worker: &WorkerName,
        gang_run: Option<u32>,
        records_all: bool,
        now_ms: u64,
    ) -> u32 {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return 0;
        };
        let base = job.run_base;
        let Some(step) = job.step_mut(task) else {
            return 0;
        };
        let Some(state) = step.tasks.get_mut(task.index as usize) else {
            return 0;
        };
        let run = gang_run
            .unwrap_or(state.last_run)
            .max(base)
            .saturating_add(1);
        state.last_run = run;
        let is_recorded = records_all || state.suspicion.is_suspected();
        let at = self.workers.get(worker).filter(|_| is_recorded);
        state.runs.push(match at {
            Some(status) => TaskRun::planned(status.listed.incarnation(), run, now_ms),
            None => TaskRun::ordered(worker.clone(), run, now_ms),
        });
        step.has_progress |= is_recorded;
        self.reserve(task, worker, run);
        run
    }

    /// Chooses the worker for a task: near its data first, then in the order of the candidates with
    /// room. Long-running tasks are spread so far that disrupting one instance stays within the
    /// limit of their step.
    fn choose_worker(
        &mut self,
        candidates: &PoolCandidates,
        plan: &StepPlan,
        task: &TaskName,
        now_ms: u64,
    ) -> Option<WorkerName> {
        let need = plan.reserved();
        let job = self.jobs.get(&task.job)?;
        let advice = job.step(task).filter(|_| job.record.advised);
        let is_eligible = |status: &WorkerStatus| {
            advice.is_none_or(|step| step.advice.allows(status, now_ms))
                && status.is_eligible(plan, task)
        };
        let takes_any = advice.is_none() && plan.requires.is_none() && plan.anti_affinity.is_none();
        let mut considered = 0;
        let mut accepts = |candidate: &Candidate| {
            considered += 1;
            takes_any || self.workers.get(&candidate.name).is_some_and(is_eligible)
        };
        let chosen = if plan.affinity.is_some() || plan.long_running {
            let accepted = candidates
                .with_room(need)
                .filter(|candidate| accepts(candidate));
            accepted.min_by_key(|candidate| self.preference(plan, task, candidate))
        } else {
            candidates.first_with_room(need, accepts)
        };
        let chosen = chosen.map(|candidate| candidate.name.clone());
        self.planning_work.workers += considered;
        chosen
    }

    /// Ranks a candidate for a task with preferences: whether it is far from the task's data, and
    /// whether it has as many of its step as one worker should have.
    fn preference(&self, plan: &StepPlan, task: &TaskName, candidate: &Candidate) -> (bool, bool) {
        let Some(status) = self.workers.get(&candidate.name) else {
            return (false, false);
        };
        let is_far = plan
            .affinity
            .as_ref()
            .is_some_and(|rack| !status.has_label(rack.as_str()));
        let is_crowded = plan.long_running && status.count_same_step(task) >= plan.max_per_worker();
        (is_far, is_crowded)
    }
}
