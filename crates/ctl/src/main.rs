//! The command line for operators.

mod cli;
mod commands;
mod output;

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("dotterelshore: {fault}");
            ExitCode::FAILURE
        }
    }
}
