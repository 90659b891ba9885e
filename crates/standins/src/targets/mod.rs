//! The targets' stand-ins: executors with slots, workers with leased tasks.

mod executor_target;
mod target_front;
mod target_host;
mod target_work;
mod worker_target;

pub use {
    target_front::{TargetBehaviour, TargetKind},
    target_host::{HostOptions, run_host},
    target_work::{ResponseMode, TargetWork},
};
