//! Numbered result codes, and the refusals that carry them.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Whether a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// No byte of it reached a target, or the target confirmed that it did not run.
    NotRun,
    /// It may have run, partly or completely.
    OutcomeUnknown,
}

impl RunOutcome {
    /// Returns the text that callers receive.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::OutcomeUnknown => "outcome-unknown",
        }
    }
}

macro_rules! result_codes {
    ($($name:ident = $number:literal, $status:literal, $slug:literal, $title:literal;)+) => {
        /// Result codes; their numbers never change.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum ResultCode {
            $(#[doc = $title] $name = $number,)+
        }

        impl ResultCode {
            /// All codes, in order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// Returns the stable number.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// Returns the HTTP status.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// Returns the short name used in metrics and problem types.
            pub fn slug(self) -> &'static str {
                match self { $(Self::$name => $slug,)+ }
            }

            /// Returns a one-line description.
            pub fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)+ }
            }
        }
    };
}

result_codes! {
    MalformedRequest = 1001, 400, "malformed-request", "The request can't be read";
    HeadersTooLarge = 1002, 431, "headers-too-large", "The headers are larger than the entry takes";
    BodyTooLarge = 1003, 413, "body-too-large", "The body is larger than the entry takes";
    UnknownPath = 1004, 404, "unknown-path", "There is nothing at this path";
    UnknownQueue = 1005, 404, "unknown-queue", "There is no such queue";
    KeyMissing = 1006, 401, "key-missing", "This queue takes no work without a key";
    KeyUnknown = 1007, 401, "key-unknown", "The key is not known or was withdrawn";
    KeyOfOtherTeam = 1008, 403, "key-of-other-team", "The key belongs to another team";
    WrongPoolKind = 1009, 409, "wrong-pool-kind", "The queue's pool does not take this kind of work";
    MethodNotAllowed = 1010, 405, "method-not-allowed", "The path does not take this method";
    OperatorOnly = 1011, 403, "operator-only", "This needs the operators' token";
    QueueFull = 2001, 429, "queue-full", "The queue holds as much as it may";
    TeamQueueFull = 2002, 429, "team-queue-full", "The team has as much waiting as it may";
    DeadlineTooNear = 2003, 503, "deadline-too-near", "It can't start before its deadline";
    DeadlinePassed = 2004, 504, "deadline-passed", "The deadline passed";
    NoTarget = 2005, 503, "no-target", "No target of the pool can be reached";
    EntryLeaving = 2006, 503, "entry-leaving", "This entry is shutting down";
    TableMissing = 2007, 503, "table-missing", "This entry has no table yet";
    CeilingReached = 2008, 429, "ceiling-reached", "The team runs as much as its ceiling allows";
    TargetFailed = 3001, 502, "target-failed", "The target failed while it had the request";
    AnswerTruncated = 3002, 502, "answer-truncated", "The target's answer ended early";
    AnswerCrossed = 3003, 502, "answer-crossed", "The target answered another request";
    AnswerTooLarge = 3004, 502, "answer-too-large", "The answer is larger than the entry takes";
    TargetRefused = 3005, 503, "target-refused", "Every target asked was full and vouched that it ran nothing";
    AlreadyClaimed = 3006, 409, "already-claimed", "A request with this identifier was taken before";
    ClaimUnrecorded = 3007, 503, "claim-unrecorded", "The identifier could not be recorded in the store";
    StoreDown = 4001, 503, "store-down", "The platform's store does not answer";
    StoreConflict = 4002, 409, "store-conflict", "Somebody else changed it first";
    StoreUnreadable = 4003, 500, "store-unreadable", "A record in the store can't be read";
    StoreUnsure = 4004, 503, "store-unsure", "The store may or may not have taken the write";
    UnknownJob = 5001, 404, "unknown-job", "There is no such job";
    JobEnded = 5002, 409, "job-ended", "The job has ended";
    JobNeverRan = 5003, 409, "job-never-ran", "The job can't run anywhere";
    DeclarationFaulty = 6001, 422, "declaration-faulty", "The declaration has faults";
    RevisionOutdated = 6002, 409, "revision-outdated", "The table has moved on since it was read";
    UnknownTeam = 6003, 404, "unknown-team", "There is no such team";
    UnknownPool = 6004, 404, "unknown-pool", "There is no such pool";
    UnknownInstance = 6005, 404, "unknown-instance", "There is no such instance";
    UnknownWave = 6006, 404, "unknown-wave", "There is no such wave";
    BudgetSpent = 6007, 409, "budget-spent", "The pool's availability budget allows no more out";
    InstanceBusy = 6008, 409, "instance-busy", "The instance is draining or stopped already";
    WaveExists = 6009, 409, "wave-exists", "A wave with this name exists";
    PeerForeign = 7001, 400, "peer-foreign", "The datagram is torn or not ours";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.slug(), self.number())
    }
}

/// A refusal: its code, whether the work may have run, and when to retry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, snafu::Snafu)]
#[snafu(display("{code}: {detail}"))]
pub struct Refusal {
    /// The numbered code.
    pub code: ResultCode,
    /// Whether the work may have run.
    pub outcome: RunOutcome,
    /// Details in one sentence, with a remedy where there is one.
    pub detail: String,
    /// Time to wait before a retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of work that definitely did not run.
    pub fn not_run(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome: RunOutcome::NotRun,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Creates a refusal of work that may have run.
    pub fn unknown(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome: RunOutcome::OutcomeUnknown,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets the time to wait before a retry.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
