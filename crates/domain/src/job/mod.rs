//! Jobs: long work that finishes exactly once.

mod job_record;

pub use job_record::{JobRecord, JobState, RunPlace};
