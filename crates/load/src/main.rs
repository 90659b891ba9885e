//! The load tool: demonstration, failure runs, measurements and history checks.

mod cli;

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    match cli::run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("dotterelshore-load: {fault}");
            ExitCode::FAILURE
        }
    }
}
