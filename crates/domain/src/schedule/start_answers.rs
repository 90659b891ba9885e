//! How workers answer orders.

use {
    super::{
        fleet_schedule::FleetSchedule,
        live_job::RunPhase,
        task_name::TaskName,
        worker_order::{StartOrder, StopOrder},
    },
    crate::names::WorkerName,
};

/// How a worker answered an order to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// It runs.
    Started {
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
    },
    /// It does not run and never will.
    Refused(StartRefusal),
    /// No answer came; it may run, now or later.
    Unknown,
}

/// Why a worker refused to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// Another owner has the worker.
    Fenced,
    /// A run with this number or a higher one ended there.
    Outdated,
    /// The order came after its deadline.
    Late,
    /// It has no room.
    NoRoom,
    /// The adviser's ticket is not valid.
    Ticket,
    /// It does not feel well.
    Unhealthy,
    /// It is another life than the one named.
    OtherLife,
    /// It could not read the order.
    Malformed,
}

impl FleetSchedule {
    /// Whether an order to start a task still stands. One that was held up, as while the
    /// process was frozen, may have been given up and followed by another elsewhere.
    pub fn is_start_pending(&self, order: &StartOrder) -> bool {
        let task = self
            .jobs
            .get(&order.task.job)
            .and_then(|job| job.task(&order.task));
        task.is_some_and(|task| {
            task.runs.iter().any(|run| {
                run.run == order.run && run.worker == order.worker && run.phase == RunPhase::Ordered
            })
        })
    }

    /// Takes in how a worker answered an order to start a task.
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
                if let Some(known) = self.find_run(worker, task, run)
                    && matches!(known.phase, RunPhase::Ordered | RunPhase::Unsure)
                {
                    known.phase = RunPhase::Running { clock_ms };
                    known.since_ms = now_ms;
                }
            }
            StartReply::Refused(refusal) => {
                self.release(task, worker, run);
                if refusal == StartRefusal::Ticket {
                    self.drop_ticket(worker, task);
                }
                if matches!(refusal, StartRefusal::NoRoom | StartRefusal::Unhealthy)
                    && let Some(seat) = self.workers.get_mut(worker)
                {
                    seat.record_outcome(false, now_ms);
                }
            }
            StartReply::Unknown => {
                if let Some(known) = self.find_run(worker, task, run)
                    && known.phase == RunPhase::Ordered
                {
                    known.phase = RunPhase::Unsure;
                    known.since_ms = now_ms;
                }
                self.mark_unreachable(worker);
            }
        }
    }

    /// Takes in that a worker confirmed a stop, at this time of its clock.
    pub fn confirm_stop(&mut self, order: &StopOrder, at_ms: u64) {
        if let Some(run) = self.find_run(&order.worker, &order.task, order.run)
            && let RunPhase::Stopping { clock_ms, .. } = &mut run.phase
        {
            *clock_ms = Some(at_ms);
        }
    }
}
