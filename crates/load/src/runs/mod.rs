//! Whole runs: the demonstration, failure runs, benches and slopes.

mod background_work;
mod failure_run;
mod failures;

pub use {
    background_work::{BackgroundJobs, JobEnd},
    failure_run::{FailureCase, FailureOutcome, FailureRun, run_failure},
    failures::FAILURE_CASES,
};
