//! Faults that the platform stand-in injects.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Faults of the platform, in effect until the next change; control calls are exempt.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultMode {
    /// Every call fails with status 503 and has no effect.
    pub down: bool,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Fraction of the calls other than GET that take effect, but are answered only after 60 s.
    ///
    /// The callers time out earlier, so that the response counts as lost.
    pub lose_fraction: f64,
    /// Delay before a change of liveness appears in the instance list, in milliseconds.
    pub list_lag_ms: u64,
}

impl FaultMode {
    /// Returns the delay before each call.
    pub fn call_delay(&self) -> Duration {
        Duration::from_millis(self.slow_ms)
    }
}
