//! Stand-in for the platform: key-value store, instance list, reboot.

mod fault_mode;
mod instance_registry;
mod key_store;
mod platform_server;

pub use {
    fault_mode::FaultMode,
    instance_registry::AddedInstance,
    platform_server::{PlatformOptions, run_platform},
};
