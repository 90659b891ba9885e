//! One run of a task on a worker.

use {
    super::{
        job_progress::WorkerIncarnation,
        task_name::TaskName,
        worker_order::{StopOrder, WorkerOrder},
        worker_status::ReportedRun,
    },
    crate::names::WorkerName,
};

/// Progress, in percent, at which a long-running task is ready.
pub(super) const READY_PERCENT: f64 = 100.0;

/// Shortest time without progress after which a run counts as stalled, in milliseconds. Longer
/// than a poll waits.
const STALL_TIMEOUT_MS: u64 = 1_800;
/// How much slower than estimated a run may advance by a percent before it counts as stalled.
const STALL_SLOWDOWN: u64 = 6;

/// Phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// Its start waits until it is recorded with the progress of its job.
    Planned,
    /// An earlier owner recorded it. Its worker has not reported to this owner.
    Restored,
    /// The start order is in flight.
    Ordered,
    /// The start order was not answered.
    Unconfirmed,
    /// The worker started it.
    Running {
        /// The worker's clock when the run was first known to be there, in milliseconds.
        clock_ms: u64,
    },
    /// A stop was ordered.
    Stopping {
        /// The worker's clock when it confirmed the stop, in milliseconds; `None` until then.
        clock_ms: Option<u64>,
        /// When the stop was last ordered, in scheduler milliseconds.
        ordered_ms: u64,
        /// When the order was last sent, in scheduler milliseconds; `None` while it waits for its
        /// turn.
        sent_ms: Option<u64>,
    },
}

/// One run of a task.
#[derive(Debug, Clone)]
pub(super) struct TaskRun {
    pub(super) run: u32,
    pub(super) worker: WorkerName,
    pub(super) phase: RunPhase,
    pub(super) phase_since_ms: u64,
    /// Whether its worker's incarnation, as the schedule knows it, has listed it.
    pub(super) is_reported: bool,
    /// When it was ordered, or found, in scheduler milliseconds.
    pub(super) ordered_ms: u64,
    /// When it was first known to go on, in scheduler milliseconds.
    pub(super) begun_ms: Option<u64>,
    /// Whether an earlier owner started it.
    pub(super) from_earlier_owner: bool,
    /// Where it starts, if it is recorded with the progress of its job: its task may have crashed
    /// a worker before.
    pub(super) recorded_at: Option<Box<WorkerIncarnation>>,
    pub(super) progress_percent: f64,
    pub(super) progressed_ms: u64,
    /// The pace last sent to it, in percent; `None` if that is unknown.
    pub(super) pace_percent: Option<u32>,
    /// When the pace was last sent, in scheduler milliseconds.
    pub(super) paced_ms: u64,
}

impl TaskRun {
    /// Creates a run of which only the start order is known.
    pub(super) fn ordered(worker: WorkerName, run: u32, now_ms: u64) -> Self {
        Self {
            run,
            worker,
            phase: RunPhase::Ordered,
            phase_since_ms: now_ms,
            is_reported: false,
            ordered_ms: now_ms,
            begun_ms: None,
            from_earlier_owner: false,
            recorded_at: None,
            progress_percent: 0.0,
            progressed_ms: now_ms,
            pace_percent: Some(100),
            paced_ms: now_ms,
        }
    }

    /// Creates a run that starts once it is recorded.
    pub(super) fn planned(at: WorkerIncarnation, run: u32, now_ms: u64) -> Self {
        Self {
            phase: RunPhase::Planned,
            recorded_at: Some(Box::new(at.clone())),
            ..Self::ordered(at.worker, run, now_ms)
        }
    }

    /// Creates a run that an earlier owner recorded. Its progress and pace are not known.
    pub(super) fn restored(worker: WorkerName, run: u32, now_ms: u64) -> Self {
        Self {
            phase: RunPhase::Restored,
            from_earlier_owner: true,
            pace_percent: None,
            ..Self::ordered(worker, run, now_ms)
        }
    }

    /// Updates the run by a report that lists it, at a time of its worker's clock.
    pub(super) fn update(&mut self, reported: &ReportedRun, clock_ms: u64, now_ms: u64) {
        self.is_reported = true;
        if matches!(
            self.phase,
            RunPhase::Restored | RunPhase::Ordered | RunPhase::Unconfirmed
        ) {
            self.phase = RunPhase::Running { clock_ms };
        }
        self.begun_ms.get_or_insert(now_ms);
        if self.progress_percent.to_bits() != reported.progress_percent.to_bits() {
            self.progress_percent = reported.progress_percent;
            self.progressed_ms = now_ms;
        }
    }

    /// Whether it runs, is not ready, and has made no progress for too long. Progress is reported
    /// in percent of a duration that is estimated at `estimate_ms`; 0 if there is no estimate.
    pub(super) fn is_stalled(&self, estimate_ms: u64, now_ms: u64) -> bool {
        let timeout_ms = STALL_TIMEOUT_MS.max(estimate_ms.saturating_mul(STALL_SLOWDOWN) / 100);
        matches!(self.phase, RunPhase::Running { .. })
            && self.progress_percent < READY_PERCENT
            && now_ms
                > self
                    .progressed_ms
                    .max(self.phase_since_ms)
                    .saturating_add(timeout_ms)
    }

    /// Marks the run as stopping and returns the stop order.
    pub(super) fn stop(&mut self, task: &TaskName, now_ms: u64) -> WorkerOrder {
        let sent_ms = match self.phase {
            RunPhase::Stopping { sent_ms, .. } => sent_ms,
            _ => None,
        };
        self.phase = RunPhase::Stopping {
            clock_ms: None,
            ordered_ms: now_ms,
            sent_ms,
        };
        WorkerOrder::Stop(StopOrder {
            worker: self.worker.clone(),
            task: task.clone(),
            run: self.run,
        })
    }

    /// Leaves it open whether the run is at its worker's next incarnation, whose clock differs.
    pub(super) fn carry_over(&mut self) {
        self.begun_ms = None;
        self.phase = match self.phase {
            RunPhase::Stopping { ordered_ms, .. } => RunPhase::Stopping {
                clock_ms: None,
                ordered_ms,
                sent_ms: None,
            },
            _ => RunPhase::Unconfirmed,
        };
    }

    /// Whether a stop was ordered.
    pub(super) fn is_stopping(&self) -> bool {
        matches!(self.phase, RunPhase::Stopping { .. })
    }

    /// Whether a long-running task was past its startup at its worker's last report.
    pub(super) fn is_serving(&self) -> bool {
        matches!(self.phase, RunPhase::Running { .. }) && self.progress_percent >= READY_PERCENT
    }
}
