//! Stand-ins for the platform and for targets: small fakes at the interfaces.

pub mod history;
pub mod platform;
pub mod targets;
