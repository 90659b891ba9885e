//! The invariants that the checker verifies, and violations of them.

use {serde::Serialize, std::fmt};

/// A property that must hold in every history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// No pool has more instances unavailable than its availability budget allows.
    Budget,
    /// An instance belongs to exactly one pool at a time and runs work of that pool only.
    OnePool,
    /// A run belongs to the team whose key authorised the request, and withdrawn keys are rejected.
    Keys,
    /// No team has more runs and tasks in progress than its ceiling.
    Ceiling,
    /// A caller receives the complete response to its own request.
    WholeAnswer,
    /// A request refused with the outcome "not run" did not run.
    TrueRefusal,
    /// A non-idempotent request runs at most once, and a job finishes at most once.
    AtMostOnce,
    /// A target that leaves or is out of service receives no new work.
    Leaving,
    /// A planned stop interrupts no run or task.
    GracefulStop,
    /// A table revision comes into force at every entry in time and is never reverted.
    Table,
}

impl Invariant {
    /// All invariants.
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

/// A violation of an invariant, found in a history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InvariantViolation {
    /// The violated invariant.
    #[serde(rename = "promise")]
    pub invariant: Invariant,
    /// Time of the violating event, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// What was observed.
    pub detail: String,
}

impl InvariantViolation {
    /// Creates a violation observed at `at_us`.
    pub fn new(invariant: Invariant, at_us: u64, detail: impl Into<String>) -> Self {
        Self {
            invariant,
            at_us,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {}: {}", self.invariant, self.at_us, self.detail)
    }
}
