//! The users' rule on cancelled jobs, and the process that has to keep it.

use {crate::fixture::FleetFixture, serde_json::Value, std::time::Duration};

/// By the users' rules a cancelled job's tasks have stopped after this time.
pub(crate) const CANCEL_TIMEOUT: Duration = Duration::from_millis(3_400);
/// The owner's key in the store.
const OWNER_KEY: &str = "dotterelshore/owner";

impl FleetFixture {
    /// Number of the process that owns the schedule.
    pub(crate) fn owner(&self) -> Option<usize> {
        let owner: Value = serde_json::from_slice(&self.fleet.stored_value(OWNER_KEY)?).ok()?;
        owner["name"].as_str()?.strip_prefix('e')?.parse().ok()
    }
}
