//! Tasks that last and are not at work, with what each of them waits for.

use {
    super::{
        fleet_schedule::FleetSchedule,
        job_plan::StepPlan,
        live_job::LiveJob,
        step_state::TaskState,
        task_name::TaskName,
        task_run::{RunPhase, TaskRun},
    },
    crate::collections::FastMap,
};

/// What a task that is not at work waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MissingReason {
    /// A planning pass, or certainty that no other owner starts its job.
    Planning,
    /// The reports of workers on which an earlier owner may have started it.
    OrphanedRuns,
    /// The trial of its job, under which workers crashed.
    Trial,
    /// As [`Self::Trial`], which has to wait until it is known whether a worker crashed.
    DeferredTrial,
    /// The ceiling of its team.
    Ceiling,
    /// A worker with its label that accepts tasks.
    Worker,
    /// Room on such a worker.
    Room,
    /// Such a worker with room that is not kept for the trial of another job.
    TrialWorker,
    /// The record of its attempt in the store.
    Record,
    /// A report of the worker on which a record lists it.
    Restored,
    /// The reply to its start order.
    StartReply,
    /// The stop that rules out an unanswered start.
    RuledOutStart,
    /// The end of a run that was stopped.
    Stop,
    /// The end of the lease of a worker that does not answer.
    SilentWorker,
}

/// A task that lasts and is not at work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingTask {
    /// The task.
    pub task: TaskName,
    /// What it waits for.
    pub reason: MissingReason,
    /// For how long it has been missing, in milliseconds.
    pub missing_ms: u64,
}

/// Since when each task that lasts is missing.
#[derive(Debug, Default)]
pub struct MissingTasks {
    since_ms: FastMap<TaskName, u64>,
}

impl MissingTasks {
    /// Updates the times by the state of a schedule, and returns the tasks that are missing, the
    /// longest missing first. Until `sole_until_ms` the owner was certainly the only one.
    pub fn update(
        &mut self,
        schedule: &FleetSchedule,
        now_ms: u64,
        sole_until_ms: u64,
    ) -> Vec<MissingTask> {
        let reasons = schedule.missing_reasons(now_ms, sole_until_ms);
        let earlier = std::mem::take(&mut self.since_ms);
        let mut missing = Vec::with_capacity(reasons.len());
        for (task, reason) in reasons {
            let since_ms = earlier.get(&task).copied().unwrap_or(now_ms);
            self.since_ms.insert(task.clone(), since_ms);
            missing.push(MissingTask {
                task,
                reason,
                missing_ms: now_ms.saturating_sub(since_ms),
            });
        }
        missing.sort_unstable_by(|a, b| (b.missing_ms, &a.task).cmp(&(a.missing_ms, &b.task)));
        missing
    }
}

impl FleetSchedule {
    /// Returns the tasks that last and are not at work, as far as they have state.
    fn missing_reasons(&self, now_ms: u64, sole_until_ms: u64) -> Vec<(TaskName, MissingReason)> {
        let names = self.active.values().flatten();
        let jobs = names.filter_map(|name| self.jobs.get(name));
        let jobs = jobs.filter(|job| job.record.plan.long_running());
        let mut reasons = Vec::new();
        for job in jobs {
            for (occurrence, number, step) in job.ready_steps() {
                let plan = &job.record.plan.steps[number];
                if !plan.long_running {
                    continue;
                }
                for (index, state) in (0u32..).zip(&step.tasks) {
                    let task = TaskName {
                        job: job.record.name.clone(),
                        occurrence,
                        step: u16::try_from(number).unwrap_or(u16::MAX),
                        index,
                    };
                    let reason = match state.runs.first() {
                        None => Some(self.idle_reason(job, plan, &task, now_ms, sole_until_ms)),
                        Some(_) => self.run_reason(state),
                    };
                    reasons.extend(reason.map(|reason| (task, reason)));
                }
            }
        }
        reasons
    }

    /// Returns why none of a task's runs is at work; `None` if one is.
    fn run_reason(&self, state: &TaskState) -> Option<MissingReason> {
        let reasons = state.runs.iter().map(|run| self.reason_of(run));
        reasons.reduce(Option::and).flatten()
    }

    fn reason_of(&self, run: &TaskRun) -> Option<MissingReason> {
        let status = self.workers.get(&run.worker);
        match run.phase {
            RunPhase::Planned => Some(MissingReason::Record),
            RunPhase::Restored => Some(MissingReason::Restored),
            RunPhase::Ordered => Some(MissingReason::StartReply),
            RunPhase::Unconfirmed => Some(MissingReason::RuledOutStart),
            RunPhase::Stopping { .. } => Some(MissingReason::Stop),
            RunPhase::Running { .. } => {
                let answers = status.is_some_and(|status| status.reachable);
                (!answers).then_some(MissingReason::SilentWorker)
            }
        }
    }

    /// Returns why a task without a run does not start.
    fn idle_reason(
        &self,
        job: &LiveJob,
        plan: &StepPlan,
        task: &TaskName,
        now_ms: u64,
        sole_until_ms: u64,
    ) -> MissingReason {
        if job.awaits_orphans() && !plan.speculative {
            return MissingReason::OrphanedRuns;
        }
        if job.added_ms >= sole_until_ms {
            return MissingReason::Planning;
        }
        if self.needs_trial(&task.job) && !self.forgoes_trial(&task.job, now_ms) {
            return if self.defers_last_trial(&task.job, now_ms) {
                MissingReason::DeferredTrial
            } else {
                MissingReason::Trial
            };
        }
        if !self.ceiling_allows(job.record.team.as_ref(), plan.need) {
            return MissingReason::Ceiling;
        }
        let accepting = self
            .workers
            .values()
            .filter(|status| status.listed.pool == job.record.pool && status.accepts_tasks(now_ms));
        let mut eligible = accepting
            .filter(|status| status.is_eligible(plan, task))
            .peekable();
        if eligible.peek().is_none() {
            return MissingReason::Worker;
        }
        let mut fitting = eligible
            .filter(|status| status.free_slots(plan, task) > 0)
            .peekable();
        if fitting.peek().is_none() {
            return MissingReason::Room;
        }
        if fitting.all(|status| self.is_in_trial(&status.listed.name)) {
            MissingReason::TrialWorker
        } else {
            MissingReason::Planning
        }
    }
}
