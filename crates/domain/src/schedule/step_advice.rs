//! Workers that may run the steps of jobs whose queue has an adviser.

use {
    super::{
        fleet_schedule::FleetSchedule, live_job::LiveJob, task_name::TaskName,
        worker_status::WorkerStatus,
    },
    crate::{
        collections::FastMap,
        names::{JobName, QueueName, WorkerName},
    },
    std::sync::Arc,
};

/// Most workers per request: the number that the users count into a job's objective.
const WORKERS_PER_REQUEST: usize = 30;
/// Tickets that expire sooner than this are not used, in milliseconds. The start order is in
/// transit for a part of it.
const TICKET_SLACK_MS: u64 = 500;

/// Advice on one worker.
#[derive(Debug, Clone)]
struct WorkerAdvice {
    started_ms: u64,
    /// Its ticket and the end of its validity in scheduler milliseconds; `None` if it may not
    /// run the step.
    ticket: Option<(Arc<str>, u64)>,
}

/// Advice on the workers of one step.
#[derive(Debug, Clone, Default)]
pub(super) struct StepAdvice {
    workers: FastMap<WorkerName, WorkerAdvice>,
}

impl StepAdvice {
    /// Returns the valid ticket for a worker's current incarnation.
    pub(super) fn ticket(&self, status: &WorkerStatus, now_ms: u64) -> Option<&Arc<str>> {
        let advice = self.workers.get(&status.listed.name)?;
        let (ticket, until_ms) = advice.ticket.as_ref()?;
        let valid = now_ms + TICKET_SLACK_MS < *until_ms;
        (valid && advice.started_ms == status.listed.started_ms).then_some(ticket)
    }

    /// Whether there is a valid ticket for a worker's current incarnation.
    pub(super) fn allows(&self, status: &WorkerStatus, now_ms: u64) -> bool {
        self.ticket(status, now_ms).is_some()
    }

    /// Whether there is no advice on a worker's current incarnation, or its ticket expires.
    fn needs_advice(&self, status: &WorkerStatus, now_ms: u64) -> bool {
        self.workers.get(&status.listed.name).is_none_or(|advice| {
            let expires = |(_, until_ms): &(Arc<str>, u64)| now_ms + TICKET_SLACK_MS >= *until_ms;
            advice.started_ms != status.listed.started_ms
                || advice.ticket.as_ref().is_some_and(expires)
        })
    }
}

/// A request to the adviser for the workers that may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The job.
    pub job: JobName,
    /// Its queue, which sets the validity of tickets.
    pub queue: QueueName,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
    /// The workers, each with the start of its incarnation in Unix milliseconds.
    pub workers: Vec<(WorkerName, u64)>,
}

impl FleetSchedule {
    /// Returns the next request to the adviser. It is for the most urgent step that may start
    /// under the ceiling of its team and for which workers with tickets have too little room. It
    /// names workers that need advice, those with the most room first.
    pub fn next_advice_request(&self, now_ms: u64) -> Option<AdviceRequest> {
        let advised = self.active.values().flatten().filter_map(|name| {
            let job = self.jobs.get(name)?;
            let eligible = job.record.advised && !job.awaits_orphans();
            eligible.then(|| (job.urgency().sort_key(self.rule, now_ms), job))
        });
        let mut advised: Vec<_> = advised.collect();
        advised.sort_unstable_by_key(|(key, job)| (*key, job.record.name.clone()));
        advised
            .into_iter()
            .find_map(|(_, job)| self.advice_request_for(job, now_ms))
    }

    fn advice_request_for(&self, job: &LiveJob, now_ms: u64) -> Option<AdviceRequest> {
        for (occurrence, number, step) in job.ready_steps() {
            let plan = &job.record.plan.steps[number];
            if !step.has_idle()
                || !self.ceiling_allows(job.record.team.as_ref(), plan.least_start())
            {
                continue;
            }
            let task = TaskName {
                job: job.record.name.clone(),
                occurrence,
                step: u16::try_from(number).unwrap_or(u16::MAX),
                index: 0,
            };
            let accepting = self.workers.values().filter(|status| {
                status.listed.pool == job.record.pool && status.accepts_tasks(now_ms)
            });
            let mut allowed_slots = 0_u64;
            let mut possible_slots = 0_u64;
            let mut statuses = Vec::new();
            for status in accepting {
                let slots = status.free_slots(plan, &task);
                if step.advice.allows(status, now_ms) {
                    allowed_slots = allowed_slots.saturating_add(slots);
                } else if slots > 0 && step.advice.needs_advice(status, now_ms) {
                    possible_slots = possible_slots.saturating_add(slots);
                    statuses.push(status);
                }
            }
            let needed = u64::from(plan.least_tasks());
            if allowed_slots >= needed || allowed_slots.saturating_add(possible_slots) < needed {
                continue;
            }
            let room = |status: &WorkerStatus| {
                let capacity = status.listed.capacity.cpu_milli;
                capacity.saturating_sub(status.used.cpu_milli)
            };
            statuses.sort_by_key(|status| {
                (std::cmp::Reverse(room(status)), status.listed.name.clone())
            });
            let chosen = statuses.into_iter().take(WORKERS_PER_REQUEST);
            return Some(AdviceRequest {
                job: job.record.name.clone(),
                queue: job.record.queue.clone(),
                occurrence,
                step: task.step,
                workers: chosen
                    .map(|status| (status.listed.name.clone(), status.listed.started_ms))
                    .collect(),
            });
        }
        None
    }

    /// Applies the adviser's answer. `tickets` are for the workers that may run the step and
    /// valid until `valid_until_ms`; the other workers of the request may not run it.
    pub fn apply_advice(
        &mut self,
        request: &AdviceRequest,
        tickets: &[(WorkerName, Arc<str>)],
        valid_until_ms: u64,
    ) {
        let name = TaskName {
            job: request.job.clone(),
            occurrence: request.occurrence,
            step: request.step,
            index: 0,
        };
        let job = self.jobs.get_mut(&request.job);
        let Some(step) = job.and_then(|job| job.step_mut(&name)) else {
            return;
        };
        for (worker, started_ms) in &request.workers {
            let ticket = tickets.iter().find(|(allowed, _)| allowed == worker);
            let advice = WorkerAdvice {
                started_ms: *started_ms,
                ticket: ticket.map(|(_, ticket)| (Arc::clone(ticket), valid_until_ms)),
            };
            step.advice.workers.insert(worker.clone(), advice);
        }
    }

    /// Discards a ticket that a worker refused.
    pub(super) fn drop_ticket(&mut self, worker: &WorkerName, task: &TaskName) {
        let job = self.jobs.get_mut(&task.job);
        if let Some(step) = job.and_then(|job| job.step_mut(task)) {
            step.advice.workers.remove(worker);
        }
    }
}
