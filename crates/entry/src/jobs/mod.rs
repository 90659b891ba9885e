//! Jobs: recorded before they are accepted, run in epochs, and ended exactly once.

mod job_front;
mod job_registry;
mod job_run;
mod worker_run;

pub(crate) use {
    job_front::{cancel, read, submit},
    job_registry::{JobRegistry, accept_handover, adopt_jobs_of, start, wait_for_tasks},
};

/// Returns the store key of a job's record.
fn job_key(job: &dotterelshore_domain::names::JobName) -> String {
    format!("job/{job}")
}
