//! The scheduler process: answers callers and runs their jobs on workers. All durable state is in
//! the platform's store.
//!
//! Each scheduler process is an entry: callers may use any of them, and one at a time owns the
//! schedule.

mod cli;
mod delegation;
mod entry_row;
mod explain;
mod front;
mod hedged_call;
mod job_records;
mod leading;
mod log_pipe;
mod metrics;
mod node;
mod owner;
mod peers;
mod store;
mod store_path;
mod table_follow;
mod work_meter;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dotterelshore-scheduler: {error}");
            ExitCode::FAILURE
        }
    }
}
