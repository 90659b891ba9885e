//! The platform's stand-in: key-value service, list of instances, reboot.

mod fault_mode;
mod instance_list;
mod key_store;
mod platform_front;

pub use {
    fault_mode::FaultMode,
    instance_list::AddedInstance,
    platform_front::{PlatformOptions, run_platform},
};
