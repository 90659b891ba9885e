//! Complete runs: demonstration, failure runs, policy comparison, overhead and capacity
//! measurements.

mod background_jobs;
mod capacity_run;
mod demo_run;
mod failure_cases;
mod failure_run;
mod overhead_run;
mod policy_config;
mod policy_run;

pub use {
    background_jobs::{BackgroundJobs, JobOutcome},
    capacity_run::{CapacityPoint, CapacitySize, capacity_sizes, measure_capacity},
    demo_run::{DemoOutcome, run_demo},
    failure_cases::FAILURE_CASES,
    failure_run::{FailureCase, FailureOutcome, FailureRun, run_failure},
    overhead_run::{OverheadMeasure, measure_overhead},
    policy_config::{PolicyConfig, policy_configs},
    policy_run::{PolicyMeasures, measure_policy},
};
