//! Messages between the owner and a delegate.

use {
    dotterelshore_domain::{
        names::WorkerName,
        schedule::{ListedWorker, PollRequest, StartOrder, StartReply, StopOrder, WorkerReport},
    },
    dotterelshore_platform::WorkerFault,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Time between frames of either side while it has nothing else to send.
pub(super) const STAMP_PERIOD: Duration = Duration::from_millis(200);
/// Longest time without a frame after which the owner gives a delegate up.
pub(super) const DELEGATE_SILENCE_MAX: Duration = Duration::from_millis(700);
/// Longest time without a frame after which a delegate gives the owner up.
pub(super) const OWNER_SILENCE_MAX: Duration = Duration::from_secs(2);
/// Greatest age of a call that a delegate still sends, in milliseconds. The owner has given an
/// older one up, or soon will.
pub(super) const CALL_AGE_MAX_MS: u64 = 700;

/// The worker that a call is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WorkerTarget {
    /// Its name.
    pub(crate) name: WorkerName,
    /// Its address, as host and port.
    pub(crate) address: Arc<str>,
    /// Start of its incarnation, in milliseconds since the Unix epoch.
    pub(crate) started_ms: u64,
}

impl WorkerTarget {
    /// The target of calls to a listed worker.
    pub(crate) fn of_listed(listed: &ListedWorker) -> Self {
        Self {
            name: listed.name.clone(),
            address: Arc::clone(&listed.address),
            started_ms: listed.started_ms,
        }
    }
}

/// A call to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WorkerCall {
    /// Polls the lists of runs.
    Poll(PollRequest),
    /// Starts a task.
    Start {
        /// The order.
        order: StartOrder,
        /// End of the lease, in milliseconds of the worker's clock.
        lease_until_ms: u64,
        /// The owner's fencing token.
        token: u64,
    },
    /// Stops a run.
    Stop {
        /// The order.
        order: StopOrder,
        /// The owner's fencing token.
        token: u64,
    },
    /// Sets the pace of a run.
    Pace {
        /// The run.
        order: StopOrder,
        /// The pace, in percent.
        percent: u32,
        /// The owner's fencing token.
        token: u64,
    },
    /// Polls the lists and returns the run ends after a number. Only for delegates whose row says
    /// that they know it.
    PollEnds(PollRequest, u64),
}

/// The outcome of a [`WorkerCall`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum WorkerReply {
    /// The outcome of a poll.
    Polled(Result<WorkerReport, WorkerFault>),
    /// The outcome of a start.
    Started(StartReply),
    /// The outcome of a stop or a pace: the worker's clock, in milliseconds.
    Confirmed(Result<u64, WorkerFault>),
    /// The call was too old and was not sent.
    NotSent,
    /// The outcome of a poll: a report of a worker that may have more run ends.
    PolledInPart(WorkerReport),
    /// The outcome of a poll for run ends: a report without runs in progress.
    PolledEnds(WorkerReport),
}

impl WorkerReply {
    /// Makes the reply to a poll.
    pub(super) fn of_poll(outcome: Result<WorkerReport, WorkerFault>) -> Self {
        match outcome {
            Ok(report) if report.ends_only => Self::PolledEnds(report),
            Ok(report) if report.may_have_more_ends => Self::PolledInPart(report),
            outcome => Self::Polled(outcome),
        }
    }

    /// Returns the length of its checkpoints in bytes: what may make it long.
    pub(super) fn checkpoint_bytes(&self) -> usize {
        let report = match self {
            Self::Polled(Ok(report)) | Self::PolledInPart(report) | Self::PolledEnds(report) => {
                report
            }
            Self::Polled(Err(_)) | Self::Started(_) | Self::Confirmed(_) | Self::NotSent => {
                return 0;
            }
        };
        let running = report.running.iter().map(|run| run.checkpoint.len());
        let ended = report.finished.iter().map(|run| run.checkpoint.len());
        running.chain(ended).sum()
    }

    /// Returns the outcome of a poll; `None` if it is the reply to another call.
    pub(crate) fn into_poll(self) -> Option<Result<WorkerReport, WorkerFault>> {
        match self {
            Self::Polled(outcome) => Some(outcome),
            Self::PolledInPart(report) => Some(Ok(WorkerReport {
                may_have_more_ends: true,
                ..report
            })),
            Self::PolledEnds(report) => Some(Ok(WorkerReport {
                ends_only: true,
                ..report
            })),
            Self::Started(_) | Self::Confirmed(_) | Self::NotSent => None,
        }
    }
}

/// A call with the number by which its reply refers to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct NumberedCall {
    pub(super) number: u64,
    pub(super) target: WorkerTarget,
    pub(super) call: WorkerCall,
}

/// What the owner sends.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct CallFrame {
    /// The newest stamp that the owner had received from the delegate. The calls were sent after
    /// it, so that the delegate knows their greatest age by its own clock.
    pub(super) stamp_ms: u64,
    pub(super) calls: Vec<NumberedCall>,
}

/// What a delegate sends.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct ReplyFrame {
    /// The delegate's clock when it sent the frame, in milliseconds.
    pub(super) stamp_ms: u64,
    /// Whether the delegate shuts down and wants no further calls.
    pub(super) is_leaving: bool,
    pub(super) replies: Vec<(u64, WorkerReply)>,
}
