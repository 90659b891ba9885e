//! Pacing tasks that fill beside tasks that serve: additive increase, multiplicative decrease.

use {
    super::{
        fleet_schedule::FleetSchedule,
        live_job::RunPhase,
        task_name::TaskName,
        worker_order::{StopOrder, WorkerOrder},
        worker_status::WorkerReport,
    },
    crate::names::WorkerName,
};

/// Share of its target, in percent, from which a serving task's tail slows the fillers.
const NEAR_TARGET_PERCENT: f64 = 90.0;
/// Share of its target, in percent, below which a serving task's tail lets them go faster.
const EASY_PERCENT: f64 = 70.0;
/// What is left of the fillers' pace, as a part, when a tail is near its target.
const NEAR_PART: u32 = 2;
/// What is left of it when a tail is over its target: nothing is left after two steps, well
/// within the four seconds that the users allow.
const OVER_PART: u32 = 8;
/// Pace below which the fillers stand, in percent.
const LEAST_PERCENT: u32 = 5;
/// What the pace gains in a step, in percent.
const GAIN_PERCENT: u32 = 10;
/// Time between two steps, in milliseconds: a pace takes force within the platform's 100, and
/// tails are told for the last 500.
const STEP_MS: u64 = 600;

/// The pace of the fillers on one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceController {
    percent: u32,
    stepped_ms: u64,
}

impl Default for PaceController {
    fn default() -> Self {
        Self {
            percent: 100,
            stepped_ms: 0,
        }
    }
}

impl PaceController {
    /// The pace in force, in percent.
    pub fn percent(&self) -> u32 {
        self.percent
    }

    /// Takes in the highest tail beside the fillers, in percent of its target.
    ///
    /// Load it answers: fillers and serving tasks on one worker, whose load and disturbance
    /// change within seconds. The pace falls by parts, so that a tail over its target is
    /// relieved within two steps, and rises slowly, so that it is not driven over it again.
    pub fn take_tail(&mut self, tail_percent: f64, now_ms: u64) {
        if now_ms < self.stepped_ms + STEP_MS {
            return;
        }
        let next = if tail_percent >= 100.0 {
            self.percent / OVER_PART
        } else if tail_percent >= NEAR_TARGET_PERCENT {
            self.percent / NEAR_PART
        } else if tail_percent < EASY_PERCENT {
            (self.percent + GAIN_PERCENT).min(100)
        } else {
            self.percent
        };
        let next = if next < LEAST_PERCENT { 0 } else { next };
        if next != self.percent {
            self.percent = next;
            self.stepped_ms = now_ms;
        }
    }
}

impl FleetSchedule {
    /// Whether a worker runs fillers, whose pace follows what it reports.
    pub fn runs_best_effort(&self, worker: &WorkerName) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|seat| seat.runs.keys().any(|task| self.is_best_effort(task)))
    }

    fn is_best_effort(&self, task: &TaskName) -> bool {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.record.plan.steps.get(usize::from(task.step)));
        step.is_some_and(|step| step.best_effort)
    }

    /// Paces the fillers on a worker by the tails that it reports.
    pub(super) fn pace_fillers(
        &mut self,
        worker: &WorkerName,
        report: &WorkerReport,
        now_ms: u64,
    ) -> Vec<WorkerOrder> {
        let fillers: Vec<_> = report
            .running
            .iter()
            .filter(|row| self.is_best_effort(&row.task))
            .collect();
        let tail_percent = report.running.iter().filter_map(|row| {
            let job = self.jobs.get(&row.task.job)?;
            let step = job.record.plan.steps.get(usize::from(row.task.step))?;
            let target_ms = step.target_ms.filter(|_| !step.best_effort)?;
            #[expect(clippy::cast_precision_loss, reason = "milliseconds are few")]
            let target_ms = target_ms.max(1) as f64;
            Some(row.metric * 100.0 / target_ms)
        });
        let tail_percent = tail_percent.fold(0.0, f64::max);
        let Some(seat) = self.workers.get_mut(worker) else {
            return Vec::new();
        };
        if fillers.is_empty() {
            seat.pace = PaceController::default();
            return Vec::new();
        }
        seat.pace.take_tail(tail_percent, now_ms);
        let percent = seat.pace.percent();
        let mut orders = Vec::new();
        for row in fillers {
            let Some(run) = self.find_run(worker, &row.task, row.run) else {
                continue;
            };
            if run.paced != Some(percent) && matches!(run.phase, RunPhase::Running { .. }) {
                run.paced = Some(percent);
                let order = StopOrder {
                    worker: worker.clone(),
                    task: row.task.clone(),
                    run: row.run,
                };
                orders.push(WorkerOrder::Pace(order, percent));
            }
        }
        orders
    }

    /// Takes note that an order for a filler's pace got no answer: it is given again.
    pub fn mark_pace_unconfirmed(&mut self, order: &StopOrder) {
        if let Some(run) = self.find_run(&order.worker, &order.task, order.run) {
            run.paced = None;
        }
    }
}
