//! How the platform's stand-in misbehaves.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What goes wrong with calls to the store, until it is set otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultMode {
    /// Every call is answered with 503 and does nothing.
    pub down: bool,
    /// Every call waits this long first, in milliseconds.
    pub slow_ms: u64,
    /// This part of the writes take effect and are never answered.
    pub lose_fraction: f64,
    /// Changes show in the list of instances this much later, in milliseconds.
    pub list_lag_ms: u64,
}

impl FaultMode {
    /// The wait before each call.
    pub fn slowness(&self) -> Duration {
        Duration::from_millis(self.slow_ms)
    }
}
