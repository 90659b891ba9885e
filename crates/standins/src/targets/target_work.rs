//! What a request's or task's body asks the stand-in to do.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How an answer goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResponseMode {
    /// It does not.
    #[default]
    #[serde(rename = "well")]
    Normal,
    /// It fails.
    Fail,
    /// Its answer ends early.
    Truncate,
    /// Its answer is another request's.
    #[serde(rename = "cross")]
    Mismatched,
    /// Another request's answer comes at once, and it runs on.
    #[serde(rename = "cross-early")]
    MismatchedEarly,
}

/// The body of a request or task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetWork {
    /// How long it runs, in milliseconds.
    pub work_ms: u64,
    /// How it goes.
    #[serde(rename = "act")]
    pub response_mode: ResponseMode,
    /// Comes back in the answer.
    pub nonce: String,
}

impl TargetWork {
    /// Reads a body; one that is no JSON asks for nothing.
    pub fn parse(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_default()
    }

    /// How long it runs.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.work_ms)
    }
}
