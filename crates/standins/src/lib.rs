//! Stand-ins for the platform and for targets: fakes that implement their network interfaces.

pub mod history;
pub mod platform;
pub mod targets;
