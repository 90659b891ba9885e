//! The promises, and a breach of one.

use {serde::Serialize, std::fmt};

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// Every pool's availability budget holds.
    Budget,
    /// An instance belongs to exactly one pool.
    OnePool,
    /// Work is taken only for the team whose key came with it; withdrawn keys stop.
    Keys,
    /// No team has more running than its ceiling.
    Ceiling,
    /// A caller gets the whole answer to its own request.
    WholeAnswer,
    /// A refusal that says "not run" is true.
    TrueRefusal,
    /// Non-idempotent work runs at most once, and a job finishes once.
    AtMostOnce,
    /// A leaving target gets no new work.
    Leaving,
    /// A planned stop cuts off nothing.
    GracefulStop,
    /// A configuration is in force everywhere in time and never reverts.
    Table,
}

impl Promise {
    /// Every promise.
    pub const ALL: [Self; 10] = [
        Self::Budget,
        Self::OnePool,
        Self::Keys,
        Self::Ceiling,
        Self::WholeAnswer,
        Self::TrueRefusal,
        Self::AtMostOnce,
        Self::Leaving,
        Self::GracefulStop,
        Self::Table,
    ];
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PromiseBreach {
    /// Which.
    pub promise: Promise,
    /// When, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// What was seen.
    pub detail: String,
}

impl PromiseBreach {
    /// A breach seen at a time.
    pub fn new(promise: Promise, at_us: u64, detail: impl Into<String>) -> Self {
        Self {
            promise,
            at_us,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for PromiseBreach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {}: {}", self.promise, self.at_us, self.detail)
    }
}
