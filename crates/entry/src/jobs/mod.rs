//! Jobs: recorded before they are accepted, run under epochs, finished once.

mod job_desk;
mod job_front;
mod job_run;
mod worker_link;

pub(crate) use {
    job_desk::{JobDesk, adopt_from, hand_over, start, take_handed},
    job_front::{cancel, read, submit},
};

/// Where a job's record is kept.
fn job_key(job: &dotterelshore_domain::names::JobName) -> String {
    format!("job/{job}")
}
