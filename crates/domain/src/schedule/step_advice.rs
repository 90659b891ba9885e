//! Which workers may run the steps of jobs whose queue takes advice.

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

/// Workers named in one question; what the users count into a job's objective.
const WORKERS_ASKED: usize = 30;
/// A ticket with less than this left is not used, in milliseconds: the order is under way for
/// a part of it.
const TICKET_SLACK_MS: u64 = 500;

/// What the adviser said of one worker.
#[derive(Debug, Clone)]
struct WorkerAdvice {
    started_ms: u64,
    /// Its ticket and until when that is valid; nothing if it may not run the step.
    ticket: Option<(Arc<str>, u64)>,
}

/// What the adviser said of one step's workers.
#[derive(Debug, Clone, Default)]
pub(super) struct StepAdvice {
    workers: FastMap<WorkerName, WorkerAdvice>,
}

impl StepAdvice {
    /// The ticket for a worker's present life.
    pub(super) fn ticket(&self, seat: &WorkerStatus, now_ms: u64) -> Option<&Arc<str>> {
        let advice = self.workers.get(&seat.listed.name)?;
        let (ticket, until_ms) = advice.ticket.as_ref()?;
        let valid = now_ms + TICKET_SLACK_MS < *until_ms;
        (valid && advice.started_ms == seat.listed.started_ms).then_some(ticket)
    }

    /// Whether a worker is worth asking about: nothing is known of its present life, or its
    /// ticket runs out.
    fn is_open(&self, seat: &WorkerStatus, now_ms: u64) -> bool {
        self.workers.get(&seat.listed.name).is_none_or(|advice| {
            let runs_out = |(_, until_ms): &(Arc<str>, u64)| now_ms + TICKET_SLACK_MS >= *until_ms;
            advice.started_ms != seat.listed.started_ms
                || advice.ticket.as_ref().is_some_and(runs_out)
        })
    }
}

/// A question to the adviser.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The job.
    pub job: JobName,
    /// Its queue, which says how long tickets are valid.
    pub queue: QueueName,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
    /// The workers, each with its life.
    pub workers: Vec<(WorkerName, u64)>,
}

impl FleetSchedule {
    /// What to ask the adviser next: about the most urgent step with tasks that wait and no
    /// worker with a ticket and room. Workers that no answer covers yet come first, those with
    /// the most room ahead.
    pub fn next_advice_request(&self, now_ms: u64) -> Option<AdviceRequest> {
        let advised = self.active.values().flatten().filter_map(|name| {
            let job = self.jobs.get(name)?;
            let waits = job.record.advised && !job.held_back;
            waits.then(|| (job.urgency().key(self.rule, now_ms), job))
        });
        let mut advised: Vec<_> = advised.collect();
        advised.sort_unstable_by_key(|(key, job)| (*key, job.record.name.clone()));
        advised
            .into_iter()
            .find_map(|(_, job)| self.question_of(job, now_ms))
    }

    fn question_of(&self, job: &LiveJob, now_ms: u64) -> Option<AdviceRequest> {
        for (occurrence, number, step) in job.ready_steps() {
            let plan = &job.record.plan.steps[number];
            if !step.tasks.iter().any(super::live_job::TaskState::idle) {
                continue;
            }
            let fits = |seat: &&WorkerStatus| {
                seat.listed.pool == job.record.pool
                    && seat.accepts_tasks(now_ms)
                    && plan.reserved().fits(seat.used, seat.listed.capacity)
            };
            let mut seats: Vec<_> = self.workers.values().filter(fits).collect();
            if seats
                .iter()
                .any(|seat| step.advice.ticket(seat, now_ms).is_some())
            {
                continue;
            }
            seats.retain(|seat| step.advice.is_open(seat, now_ms));
            if seats.is_empty() {
                continue;
            }
            let room = |seat: &WorkerStatus| {
                let capacity = seat.listed.capacity.cpu_milli;
                capacity.saturating_sub(seat.used.cpu_milli)
            };
            seats.sort_by_key(|seat| (std::cmp::Reverse(room(seat)), seat.listed.name.clone()));
            let asked = seats.into_iter().take(WORKERS_ASKED);
            return Some(AdviceRequest {
                job: job.record.name.clone(),
                queue: job.record.queue.clone(),
                occurrence,
                step: u16::try_from(number).unwrap_or(u16::MAX),
                workers: asked
                    .map(|seat| (seat.listed.name.clone(), seat.listed.started_ms))
                    .collect(),
            });
        }
        None
    }

    /// Takes in the adviser's answer: the workers that may run the step, with tickets that are
    /// valid until `valid_until_ms`. The others of the question may not.
    pub fn apply_advice(
        &mut self,
        question: &AdviceRequest,
        tickets: &[(WorkerName, Arc<str>)],
        valid_until_ms: u64,
    ) {
        let name = TaskName {
            job: question.job.clone(),
            occurrence: question.occurrence,
            step: question.step,
            index: 0,
        };
        let job = self.jobs.get_mut(&question.job);
        let Some(step) = job.and_then(|job| job.step_mut(&name)) else {
            return;
        };
        for (worker, started_ms) in &question.workers {
            let ticket = tickets.iter().find(|(good, _)| good == worker);
            let advice = WorkerAdvice {
                started_ms: *started_ms,
                ticket: ticket.map(|(_, ticket)| (Arc::clone(ticket), valid_until_ms)),
            };
            step.advice.workers.insert(worker.clone(), advice);
        }
    }

    /// Forgets a ticket that a worker did not take.
    pub(super) fn drop_ticket(&mut self, worker: &WorkerName, task: &TaskName) {
        let job = self.jobs.get_mut(&task.job);
        if let Some(step) = job.and_then(|job| job.step_mut(task)) {
            step.advice.workers.remove(worker);
        }
    }
}
