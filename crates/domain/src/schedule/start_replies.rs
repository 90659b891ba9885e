//! Replies of workers to start and stop orders.

use {
    super::{
        fleet_schedule::FleetSchedule,
        job_plan::Resources,
        run_reports::STOP_RESEND_MS,
        task_name::TaskName,
        task_run::RunPhase,
        worker_order::{StartOrder, StopOrder},
    },
    crate::names::WorkerName,
    serde::{Deserialize, Serialize},
};

/// A worker's reply to a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartReply {
    /// The run started.
    Started {
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The run did not start and never will.
    Refused(StartRefusal),
    /// No reply arrived; the run may start, now or later.
    Unknown,
}

/// Why a worker refused to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// Another owner holds the worker.
    Fenced,
    /// A run of the task with this number or a higher one ended there.
    Outdated,
    /// The order arrived after its deadline.
    Late,
    /// The worker has no room.
    NoRoom,
    /// The adviser's ticket is not valid.
    Ticket,
    /// The worker reports itself unhealthy.
    Unhealthy,
    /// The worker is another incarnation than the one addressed.
    OtherLife,
    /// The worker could not parse the order.
    Malformed,
    /// The order was not sent, since the worker's capacity has shrunk.
    Withheld,
}

impl FleetSchedule {
    /// Whether a start order is still valid. One that was delayed, as while the process was
    /// frozen, may have been given up and replaced by an order to another worker.
    pub fn is_start_pending(&self, order: &StartOrder) -> bool {
        let job = self.jobs.get(&order.task.job);
        let task = job.and_then(|job| job.task(&order.task));
        let run = task.and_then(|task| task.run_on(&order.worker, order.run));
        run.is_some_and(|run| run.phase == RunPhase::Ordered)
    }

    /// Whether a start order that is valid may be sent: what the worker's runs reserve is within the
    /// capacity that it reports now. It may have shrunk since the order was planned.
    pub fn admits_start(&self, order: &StartOrder) -> bool {
        let status = self.workers.get(&order.worker);
        status.is_some_and(|status| Resources::default().fits(status.used, status.listed.capacity))
    }

    /// Applies a worker's reply to a start order.
    pub fn apply_start_reply(
        &mut self,
        worker: &WorkerName,
        task: &TaskName,
        run: u32,
        reply: StartReply,
        now_ms: u64,
    ) {
        match reply {
            StartReply::Started { clock_ms } => {
                if let Some(status) = self.workers.get_mut(worker) {
                    status.contact_ms = now_ms;
                }
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.mark_begun();
                }
                if let Some(known) = self.find_run(worker, task, run)
                    && matches!(known.phase, RunPhase::Ordered | RunPhase::Unconfirmed)
                {
                    known.phase = RunPhase::Running { clock_ms };
                    known.phase_since_ms = now_ms;
                    known.begun_ms = Some(now_ms);
                }
            }
            StartReply::Refused(refusal) => {
                self.release(task, worker, run);
                if refusal == StartRefusal::Ticket {
                    self.drop_ticket(worker, task);
                }
                if matches!(refusal, StartRefusal::NoRoom | StartRefusal::Unhealthy)
                    && let Some(status) = self.workers.get_mut(worker)
                {
                    status.record_outcome(false, now_ms);
                }
            }
            StartReply::Unknown => {
                if let Some(known) = self.find_run(worker, task, run)
                    && known.phase == RunPhase::Ordered
                {
                    known.phase = RunPhase::Unconfirmed;
                    known.phase_since_ms = now_ms;
                }
                self.mark_unreachable(worker);
            }
        }
    }

    /// Begins to send a stop order and returns whether it is due. It is not if the run has ended,
    /// its stop was confirmed, or an order that was sent shortly before may still be answered.
    pub fn begin_stop(&mut self, order: &StopOrder, now_ms: u64) -> bool {
        let job = self.jobs.get_mut(&order.task.job);
        let Some(task) = job.and_then(|job| job.task_mut(&order.task)) else {
            // The run is not tracked, and only its worker knows whether it has ended.
            return true;
        };
        let run = task.run_on_mut(&order.worker, order.run);
        let Some(RunPhase::Stopping {
            clock_ms: None,
            sent_ms,
            ..
        }) = run.map(|run| &mut run.phase)
        else {
            return false;
        };
        if sent_ms.is_some_and(|sent_ms| now_ms < sent_ms + STOP_RESEND_MS) {
            return false;
        }
        *sent_ms = Some(now_ms);
        true
    }

    /// Records that a worker confirmed a stop at `at_ms` of its clock.
    pub fn confirm_stop(&mut self, order: &StopOrder, at_ms: u64) {
        if let Some(run) = self.find_run(&order.worker, &order.task, order.run)
            && let RunPhase::Stopping { clock_ms, .. } = &mut run.phase
        {
            *clock_ms = Some(at_ms);
        }
    }
}
