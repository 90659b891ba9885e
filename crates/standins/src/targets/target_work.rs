//! Instructions to a stand-in target in the body of a request or task.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How the target responds. A worker fails the task for [`Self::Fail`] and finishes it otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResponseMode {
    /// Responds correctly.
    #[default]
    #[serde(rename = "well")]
    Normal,
    /// Responds with a failure.
    Fail,
    /// Sends a truncated response.
    Truncate,
    /// Sends the response of another request.
    #[serde(rename = "cross")]
    Mismatched,
    /// Sends the response of another request at once, while the run continues.
    #[serde(rename = "cross-early")]
    MismatchedEarly,
}

/// Body of a request or task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetWork {
    /// Duration of the work, in milliseconds.
    pub work_ms: u64,
    /// How the target responds.
    #[serde(rename = "act")]
    pub response_mode: ResponseMode,
    /// Text that the response repeats.
    pub nonce: String,
}

impl TargetWork {
    /// Parses a body; one that is no valid JSON gives the default.
    pub fn parse(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_default()
    }

    /// Returns the duration of the work.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.work_ms)
    }
}
