//! Jobs: queued work that runs on a worker and ends with at most one recorded result.

mod job_record;

pub use job_record::{JobRecord, JobState, RunPlace};
