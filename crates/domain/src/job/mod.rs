//! Jobs: long-running work with exactly one result.

mod job_record;

pub use job_record::{JobRecord, JobState, RunPlace};
