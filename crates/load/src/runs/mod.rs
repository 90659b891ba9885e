//! Whole runs: the demonstration, failure runs, policies beside baselines, slopes.

mod background_work;
mod capacity_run;
mod demo_run;
mod failure_run;
mod failures;
mod overhead_run;
mod policy_run;
mod policy_variant;

pub use {
    background_work::{BackgroundJobs, JobEnd},
    capacity_run::{CapacityPoint, CapacitySize, capacity_sizes, measure_capacity},
    demo_run::{DemoOutcome, run_demo},
    failure_run::{FailureCase, FailureOutcome, FailureRun, run_failure},
    failures::FAILURE_CASES,
    overhead_run::{OverheadMeasure, measure_overhead},
    policy_run::{PolicyMeasures, measure_policy},
    policy_variant::{PolicyVariant, policy_variants},
};
