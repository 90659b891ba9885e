//! Trials of suspected tasks: each runs on a worker where nothing else has just started, so that
//! another crash has one possible cause.

use {
    super::{
        crash_blame::SAFE_RUN_MS,
        crash_notice::CrashNotice,
        crash_suspicion::JUST_STARTED_MS,
        fleet_schedule::FleetSchedule,
        job_plan::{Resources, StepPlan},
        live_job::LiveJob,
        pool_candidates::{Candidate, use_of},
        step_state::StepState,
        task_name::TaskName,
        task_run::TaskRun,
        worker_status::WorkerStatus,
    },
    crate::names::{JobName, PoolName, WorkerName},
};

/// Workers of a pool for each trial at a time while it has little room. The others stay free of
/// suspected tasks.
const WORKERS_PER_TRIAL: usize = 2;
/// Workers' worth of free room in a pool for each trial of a job to which a crash points alone: it
/// likely costs its worker, so that it leaves the room to others.
const FREE_WORKERS_PER_CULPRIT: usize = 2;

/// The trial of a job's suspected tasks.
#[derive(Debug, Clone)]
pub(super) struct CrashTrial {
    job: JobName,
    /// Workers that start only the job's tasks.
    workers: Vec<WorkerName>,
}

/// The candidates of a trial in one planning pass.
#[derive(Debug)]
pub(super) struct TrialCandidates {
    pub(super) job: JobName,
    /// Those on which no other job's run is young.
    pub(super) ready: Vec<Candidate>,
}

impl FleetSchedule {
    /// Whether a job's tasks only start in a trial: a task of it may crash its workers. Its other
    /// tasks wait, since they may be like the suspected one.
    pub(super) fn needs_trial(&self, name: &JobName) -> bool {
        self.suspects.contains(name) && self.jobs.get(name).is_some_and(LiveJob::needs_trial)
    }

    /// Whether a worker is reserved for a trial.
    pub fn is_in_trial(&self, worker: &WorkerName) -> bool {
        let mut trials = self.trials.values().flatten();
        trials.any(|trial| trial.workers.contains(worker))
    }

    /// Takes the workers that are reserved for trials out of a pool's candidates. `waiting` are
    /// the pool's jobs with startable tasks, in their order.
    pub(super) fn plan_trials<'a>(
        &mut self,
        pool: &PoolName,
        waiting: impl Iterator<Item = &'a JobName>,
        candidates: &mut Vec<Candidate>,
        now_ms: u64,
    ) -> Vec<TrialCandidates> {
        if self.suspects.is_empty() && self.trials.is_empty() {
            return Vec::new();
        }
        let (mut startable, others): (Vec<_>, Vec<_>) =
            waiting.partition(|name| self.needs_trial(name));
        for name in &startable {
            self.trial_queue.enter(name, now_ms);
        }
        let has_others = !others.is_empty()
            || startable
                .iter()
                .any(|name| self.forgoes_trial(name, now_ms));
        startable.retain(|name| {
            !self.defers_last_trial(name, now_ms) && !self.forgoes_trial(name, now_ms)
        });
        startable.sort_by_key(|name| self.trial_sort_key(name, now_ms));
        let mut trials = self.trials.remove(pool).unwrap_or_default();
        trials.retain(|trial| {
            self.needs_trial(&trial.job)
                && (startable.contains(&&trial.job) || self.is_running(trial, now_ms))
        });
        self.begin_trials(&mut trials, &startable, has_others, candidates);
        let is_startable = |trial: &CrashTrial| startable.contains(&&trial.job);
        for trial in trials.iter().filter(|trial| !is_startable(trial)) {
            candidates.retain(|candidate| !trial.workers.contains(&candidate.name));
        }
        let mut planned = Vec::new();
        for trial in trials.iter_mut().filter(|trial| is_startable(trial)) {
            planned.push(self.reserve_workers(trial, candidates, now_ms));
        }
        trials.retain(|trial| !trial.workers.is_empty());
        if !trials.is_empty() {
            self.trials.insert(pool.clone(), trials);
        }
        planned
    }

    /// Begins trials of startable jobs, as many as a pool with these candidates has at a time. Likely
    /// culprits leave room to other jobs, if any wait.
    fn begin_trials(
        &self,
        trials: &mut Vec<CrashTrial>,
        startable: &[&JobName],
        has_others: bool,
        candidates: &[Candidate],
    ) {
        let has_proof = |job: &JobName| self.jobs.get(job).is_some_and(LiveJob::has_crash_proof);
        // A trial whose worker is silent only waits for what is learned, and needs no candidate.
        let silent = trials.iter().filter(|trial| self.has_silent_worker(trial));
        let silent = silent.count();
        let free = free_workers(candidates);
        let trials_max = free.max(candidates.len() / WORKERS_PER_TRIAL).max(1);
        let culprits_max = if has_others {
            free / FREE_WORKERS_PER_CULPRIT
        } else {
            free
        };
        let mut culprits = trials.iter().filter(|trial| has_proof(&trial.job)).count();
        for name in startable {
            if trials.len() - silent >= trials_max {
                return;
            }
            let is_culprit = has_proof(name);
            let is_limited = is_culprit && culprits >= culprits_max.max(1);
            if is_limited || trials.iter().any(|trial| trial.job == **name) {
                continue;
            }
            culprits += usize::from(is_culprit);
            trials.push(CrashTrial {
                job: (*name).clone(),
                workers: Vec::new(),
            });
        }
    }

    /// Whether a run of a trial's job may still crash one of its workers, or may have done so.
    fn is_running(&self, trial: &CrashTrial, now_ms: u64) -> bool {
        let window_ms = self.trial_window_ms(&trial.job);
        let workers = trial
            .workers
            .iter()
            .filter_map(|name| self.workers.get(name));
        let mut runs = workers.flat_map(|status| self.runs_of(status));
        runs.any(|(job, status, run)| {
            *job == trial.job && (!status.reachable || run.age_ms(now_ms) < window_ms)
        })
    }

    /// Returns how long a run of a job may still crash its worker, in milliseconds: no longer than
    /// its start takes, unless a crash may have come later.
    fn trial_window_ms(&self, name: &JobName) -> u64 {
        let job = self.jobs.get(name);
        if job.is_some_and(LiveJob::has_late_crash) {
            SAFE_RUN_MS
        } else {
            JUST_STARTED_MS + 1
        }
    }

    /// Returns the runs on a worker, each with its job.
    fn runs_of<'a>(
        &'a self,
        status: &'a WorkerStatus,
    ) -> impl Iterator<Item = (&'a JobName, &'a WorkerStatus, &'a TaskRun)> {
        status.runs.iter().filter_map(move |(task, number)| {
            let state = self.jobs.get(&task.job)?.task(task)?;
            let run = state.run_on(&status.listed.name, *number)?;
            Some((&task.job, status, run))
        })
    }

    /// Whether a worker of a trial does not answer, so that it is no candidate.
    fn has_silent_worker(&self, trial: &CrashTrial) -> bool {
        let mut workers = trial
            .workers
            .iter()
            .filter_map(|name| self.workers.get(name));
        workers.any(|status| !status.reachable)
    }

    /// Chooses the workers of a trial and takes them out of the candidates. It keeps those that it
    /// has, as far as they still accept tasks.
    fn reserve_workers(
        &mut self,
        trial: &mut CrashTrial,
        candidates: &mut Vec<Candidate>,
        now_ms: u64,
    ) -> TrialCandidates {
        let earlier = std::mem::take(&mut trial.workers);
        let mut planned = TrialCandidates {
            job: trial.job.clone(),
            ready: Vec::new(),
        };
        let Some((member, plan)) = self.first_startable(&trial.job) else {
            return planned;
        };
        let mut missing = u64::from(plan.least_tasks());
        while missing > 0 {
            let ranked = (0..candidates.len()).filter_map(|position| {
                let candidate = &candidates[position];
                let rank = self.trial_rank(&candidate.name, &plan, &member, now_ms)?;
                let is_new = !earlier.contains(&candidate.name);
                Some((is_new, rank, &candidate.name, position))
            });
            let Some((is_new, _, _, position)) = ranked.min() else {
                break;
            };
            let candidate = candidates.swap_remove(position);
            let status = &self.workers[&candidate.name];
            missing = missing.saturating_sub(status.free_slots(&plan, &member).max(1));
            let is_ready = self.young_runs_of_others(status, &trial.job, now_ms) == 0;
            if is_new {
                self.crash_notices.push(CrashNotice::TrialPlanned {
                    job: trial.job.clone(),
                    worker: candidate.name.clone(),
                });
            }
            trial.workers.push(candidate.name.clone());
            if is_ready {
                planned.ready.push(candidate);
            }
        }
        planned
    }

    /// Returns a task of a job's first startable step, one with suspected tasks if there is any.
    fn first_startable(&self, name: &JobName) -> Option<(TaskName, StepPlan)> {
        let job = self.jobs.get(name)?;
        let has_suspect = |step: &StepState| {
            let mut tasks = step.tasks.iter();
            tasks.any(|task| task.is_idle() && task.suspicion.is_suspected())
        };
        let steps = job.startable_steps().filter(|(_, _, step)| step.has_idle());
        let (occurrence, number, _) = steps.min_by_key(|(_, _, step)| !has_suspect(step))?;
        let member = TaskName {
            job: name.clone(),
            occurrence,
            step: u16::try_from(number).unwrap_or(u16::MAX),
            index: 0,
        };
        Some((member, job.record.plan.steps[number].clone()))
    }

    /// Ranks a worker for a trial by what a crash or the wait for it costs other jobs; `None` if
    /// it can't run the task.
    fn trial_rank(
        &self,
        name: &WorkerName,
        plan: &StepPlan,
        task: &TaskName,
        now_ms: u64,
    ) -> Option<(usize, usize, u64)> {
        let status = self.workers.get(name)?;
        let job = self.jobs.get(&task.job)?;
        let advice = job.step(task).filter(|_| job.record.advised);
        let is_allowed = advice.is_none_or(|step| step.advice.allows(status, now_ms));
        if !is_allowed || !status.is_eligible(plan, task) {
            return None;
        }
        let mut long_running = 0;
        let mut kept = Resources::default();
        for other in status.tasks().filter(|other| other.job != task.job) {
            let step = self.jobs.get(&other.job).map(|job| job.plan_of(other));
            if let Some(step) = step.filter(|step| step.long_running) {
                long_running += 1;
                kept += step.reserved();
            }
        }
        let fits = plan.reserved().fits(kept, status.listed.capacity);
        let young = self.young_runs_of_others(status, &task.job, now_ms);
        fits.then_some((long_running, young, status.used.cpu_milli))
    }

    /// Counts the runs of other jobs on a worker that may still crash it, for a trial of a job.
    fn young_runs_of_others(&self, status: &WorkerStatus, job: &JobName, now_ms: u64) -> usize {
        let window_ms = self.trial_window_ms(job);
        let others = self.runs_of(status).filter(|(other, ..)| *other != job);
        others
            .filter(|(_, _, run)| run.age_ms(now_ms) < window_ms)
            .count()
    }
}

/// Returns how many workers' worth of processor is free.
fn free_workers(candidates: &[Candidate]) -> usize {
    let (used, capacity) = use_of(candidates);
    let free_milli = capacity.cpu_milli.saturating_sub(used.cpu_milli);
    let free = candidates.len() as u64 * free_milli / capacity.cpu_milli.max(1);
    usize::try_from(free).unwrap_or(usize::MAX)
}
