//! Stand-ins for targets: executors with slots, workers with leased tasks.

mod executor_target;
mod target_host;
mod target_server;
mod target_work;
mod worker_target;

pub use {
    target_host::{HostOptions, run_host},
    target_server::{TargetBehaviour, TargetKind},
    target_work::{ResponseMode, TargetWork},
};
