//! The entry process: accepts requests of callers and operators, and dispatches work to targets.

mod claims;
mod cli;
mod dispatch;
mod fleet;
mod front;
mod jobs;
mod metrics;
mod node;
mod peers;
mod permits;
mod table;
mod takeover;
mod waves;

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dotterelshore-entry: {error}");
            ExitCode::FAILURE
        }
    }
}
