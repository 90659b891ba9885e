//! Sample jobs and workers for tests.

use {
    dotterelshore_domain::{
        names::{CentreName, JobName, PoolName, QueueName, WorkerName},
        schedule::{JobPlan, JobRecord, ListedWorker, Resources, StepPlan},
    },
    std::sync::Arc,
};

/// Start time on the schedule's clock, in milliseconds.
pub(crate) const NOW_MS: u64 = 100_000;
/// Wall-clock time, in milliseconds since the Unix epoch.
pub(crate) const WALL_MS: u64 = 1_700_000_000_000;

/// Returns a listed worker of the pool `proofs`.
pub(crate) fn sample_worker(text: &str, cpu_milli: u64) -> ListedWorker {
    ListedWorker {
        name: WorkerName::try_from(text).expect("a name"),
        started_ms: 1,
        instance: None,
        address: Arc::from("127.0.0.1:1"),
        pool: PoolName::try_from("proofs").expect("a name"),
        centre: CentreName::try_from("north").expect("a name"),
        labels: Vec::new(),
        capacity: Resources {
            cpu_milli,
            memory_mb: 128_000,
            gpus: 0,
        },
        draining: false,
    }
}

/// Returns a job with one step for the pool `proofs`.
pub(crate) fn sample_job(text: &str, step: StepPlan) -> JobRecord {
    JobRecord {
        name: JobName::try_from(text).expect("a name"),
        queue: QueueName::try_from("quick").expect("a name"),
        pool: PoolName::try_from("proofs").expect("a name"),
        team: None,
        accepted_ms: WALL_MS,
        priority: 0,
        attempts: 2,
        objective_factor: 1.6,
        target_latency_ms: 600,
        advised: false,
        plan: JobPlan {
            task_body: Arc::from(""),
            steps: vec![step],
            timed_occurrences: 0,
            start_at_ms: 0,
            interval_ms: 0,
        },
    }
}
