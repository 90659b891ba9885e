//! Pacing of best-effort tasks beside serving tasks: additive increase, multiplicative
//! decrease.

use {
    super::{
        fleet_schedule::FleetSchedule,
        task_name::TaskName,
        task_run::RunPhase,
        worker_order::{StopOrder, WorkerOrder},
        worker_status::WorkerReport,
    },
    crate::names::WorkerName,
};

/// Tail latency, in percent of its target, from which best-effort tasks are slowed.
const NEAR_TARGET_PERCENT: f64 = 90.0;
/// Tail latency, in percent of its target, below which best-effort tasks speed up.
const RELAXED_PERCENT: f64 = 70.0;
/// Divisor of the pace when a tail latency is near its target.
const NEAR_DIVISOR: u32 = 2;
/// Divisor of the pace when a tail latency is over its target. Best-effort tasks pause after
/// two steps, well within the four seconds that the users allow.
const OVER_DIVISOR: u32 = 8;
/// Pace below which best-effort tasks pause, in percent.
const PACE_PERCENT_MIN: u32 = 5;
/// Increase of the pace per step, in percentage points.
const INCREASE_PERCENT: u32 = 10;
/// Time between two steps, in milliseconds. The platform applies a new pace within 100 ms, and
/// workers report tail latencies over the last 500 ms.
const ADJUST_INTERVAL_MS: u64 = 600;
/// Time after which a paused task no longer shows processor use, in milliseconds: the platform
/// applies a pace within 100 ms, and workers report the use of the last 500 ms.
const PAUSE_TIMEOUT_MS: u64 = 1_000;

/// Controls the pace of the best-effort tasks on one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceController {
    percent: u32,
    adjusted_ms: u64,
}

impl Default for PaceController {
    fn default() -> Self {
        Self {
            percent: 100,
            adjusted_ms: 0,
        }
    }
}

impl PaceController {
    /// Returns the current pace, in percent.
    pub fn percent(&self) -> u32 {
        self.percent
    }

    /// Adjusts the pace to the highest tail latency on the worker, in percent of its target.
    ///
    /// Best-effort and serving tasks share a worker, and their load and interference change
    /// within seconds. The pace falls by a factor, so that a latency over its target is relieved
    /// within two steps, and rises slowly, so that it does not push the latency over again.
    pub fn update(&mut self, latency_percent: f64, now_ms: u64) {
        if now_ms < self.adjusted_ms + ADJUST_INTERVAL_MS {
            return;
        }
        let next = if latency_percent >= 100.0 {
            self.percent / OVER_DIVISOR
        } else if latency_percent >= NEAR_TARGET_PERCENT {
            self.percent / NEAR_DIVISOR
        } else if latency_percent < RELAXED_PERCENT {
            (self.percent + INCREASE_PERCENT).min(100)
        } else {
            self.percent
        };
        let next = if next < PACE_PERCENT_MIN { 0 } else { next };
        if next != self.percent {
            self.percent = next;
            self.adjusted_ms = now_ms;
        }
    }
}

impl FleetSchedule {
    /// Whether a worker runs best-effort tasks, whose pace follows its reports.
    pub fn runs_best_effort(&self, worker: &WorkerName) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|status| status.tasks().any(|task| self.is_best_effort(task)))
    }

    fn is_best_effort(&self, task: &TaskName) -> bool {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.record.plan.steps.get(usize::from(task.step)));
        step.is_some_and(|step| step.best_effort)
    }

    /// Paces the best-effort tasks on a worker by the tail latencies that it reports.
    pub(super) fn pace_best_effort(
        &mut self,
        worker: &WorkerName,
        report: &WorkerReport,
        now_ms: u64,
    ) -> Vec<WorkerOrder> {
        let best_effort: Vec<_> = report
            .running
            .iter()
            .filter(|reported| self.is_best_effort(&reported.task))
            .collect();
        let latency_percent = report.running.iter().filter_map(|reported| {
            let job = self.jobs.get(&reported.task.job)?;
            let step = job.record.plan.steps.get(usize::from(reported.task.step))?;
            let target_ms = step.target_ms.filter(|_| !step.best_effort)?;
            #[expect(
                clippy::cast_precision_loss,
                reason = "targets in milliseconds are small"
            )]
            let target_ms = target_ms.max(1) as f64;
            Some(reported.metric * 100.0 / target_ms)
        });
        let latency_percent = latency_percent.fold(0.0, f64::max);
        let Some(status) = self.workers.get_mut(worker) else {
            return Vec::new();
        };
        if best_effort.is_empty() {
            status.pace_controller = PaceController::default();
            return Vec::new();
        }
        status.pace_controller.update(latency_percent, now_ms);
        let percent = status.pace_controller.percent();
        let mut orders = Vec::new();
        for reported in best_effort {
            let Some(run) = self.find_run(worker, &reported.task, reported.run) else {
                continue;
            };
            // An earlier order may be carried out after the one that paused the task.
            let works_on =
                percent == 0 && reported.metric > 0.0 && now_ms > run.paced_ms + PAUSE_TIMEOUT_MS;
            if (run.pace_percent != Some(percent) || works_on)
                && matches!(run.phase, RunPhase::Running { .. })
            {
                run.pace_percent = Some(percent);
                run.paced_ms = now_ms;
                let order = StopOrder {
                    worker: worker.clone(),
                    task: reported.task.clone(),
                    run: reported.run,
                };
                orders.push(WorkerOrder::Pace(order, percent));
            }
        }
        orders
    }

    /// Marks a pace order as unconfirmed, so that the pace is sent again.
    pub fn mark_pace_unconfirmed(&mut self, order: &StopOrder) {
        if let Some(run) = self.find_run(&order.worker, &order.task, order.run) {
            run.pace_percent = None;
        }
    }
}
