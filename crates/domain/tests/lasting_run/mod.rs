//! A job with one task that runs until it is stopped, and a worker's reports of its runs.

use {
    dotterelshore_domain::{
        names::{JobName, WorkerName},
        schedule::{ReportedRun, Resources, StepPlan, StopOrder, TaskName, WorkerReport},
    },
    std::sync::Arc,
};

/// Name of the job.
pub(crate) const JOB: &str = "lasting";
/// Processor capacity of the worker, in thousandths of a core.
pub(crate) const WORKER_MILLI: u64 = 64_000;

pub(crate) fn job_name() -> JobName {
    JobName::try_from(JOB).expect("a name")
}

pub(crate) fn worker_name(text: &str) -> WorkerName {
    WorkerName::try_from(text).expect("a name")
}

pub(crate) fn task() -> TaskName {
    format!("{JOB}.0.0.0").parse().expect("a task")
}

/// Returns the job's only step.
pub(crate) fn lasting_step() -> StepPlan {
    StepPlan {
        count: 1,
        need: Resources {
            cpu_milli: 4_000,
            memory_mb: 1_000,
            gpus: 0,
        },
        long_running: true,
        max_unavailable: Some(1),
        ..StepPlan::default()
    }
}

/// Returns an order to the first worker to stop a run of the task.
pub(crate) fn stop_order(run: u32) -> StopOrder {
    StopOrder {
        worker: worker_name("w-1"),
        task: task(),
        run,
    }
}

/// Returns a report that lists these runs of the task.
pub(crate) fn report(clock_ms: u64, runs: &[u32]) -> WorkerReport {
    let running = runs.iter().map(|run| ReportedRun {
        task: task(),
        run: *run,
        checkpoint: Arc::from(""),
        progress_percent: 100.0,
        metric: 0.0,
    });
    WorkerReport {
        started_ms: Some(1),
        clock_ms,
        running: running.collect(),
        finished: Vec::new(),
        ..WorkerReport::default()
    }
}
