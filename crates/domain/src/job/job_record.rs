//! A job's record, the truth about it.

use {
    crate::{
        codes::{Refusal, ResultCode},
        names::{EntryStamp, InstanceName, JobName, QueueName, TeamName},
    },
    serde::{Deserialize, Serialize},
};

/// How often a job may fail before it ends with a reason.
const ATTEMPTS_MAX: u32 = 4;

/// Where a job runs, and under which entry's care.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunPlace {
    /// The worker.
    pub worker: InstanceName,
    /// The entry that holds the permit and renews the lease.
    pub entry: EntryStamp,
}

/// Where a job stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// It waits for a worker.
    Waiting,
    /// It was given to a worker under the current epoch.
    Running(RunPlace),
    /// It finished; the first finish won.
    Finished(String),
    /// It ended without a result, for the reason given.
    Failed(String),
    /// It was cancelled.
    Cancelled,
}

impl JobState {
    /// Whether nothing changes any more.
    pub fn is_terminal(&self) -> bool {
        matches!(self, Self::Finished(_) | Self::Failed(_) | Self::Cancelled)
    }
}

/// A job as recorded in the store. Each step is one compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRecord {
    /// The job.
    pub name: JobName,
    /// The team it runs for.
    pub team: TeamName,
    /// The queue it waits in.
    pub queue: QueueName,
    /// What the worker is told.
    pub body: String,
    /// The entry that looks after it.
    #[serde(rename = "home")]
    pub owner: EntryStamp,
    /// Rises with every start.
    pub epoch: u64,
    /// How often it failed.
    pub attempts: u32,
    /// Whether a cancellation was asked for.
    #[serde(rename = "cancel_asked")]
    pub cancel_requested: bool,
    /// Where it stands.
    pub state: JobState,
    /// Milliseconds since the Unix epoch when its end was recorded, to sweep it out later.
    #[serde(default)]
    pub ended_at_ms: Option<u64>,
}

impl JobRecord {
    /// A job just submitted.
    pub fn new(
        name: JobName,
        team: TeamName,
        queue: QueueName,
        body: String,
        owner: EntryStamp,
    ) -> Self {
        Self {
            name,
            team,
            queue,
            body,
            owner,
            epoch: 0,
            attempts: 0,
            cancel_requested: false,
            state: JobState::Waiting,
            ended_at_ms: None,
        }
    }

    /// Starts it on a worker under a new epoch, and returns the epoch.
    ///
    /// # Errors
    ///
    /// `StoreConflict` if it is not waiting, or another entry looks after it.
    pub fn start(&mut self, place: RunPlace) -> Result<u64, Refusal> {
        if self.state != JobState::Waiting || self.owner != place.entry {
            return Err(self.moved_on());
        }
        self.epoch += 1;
        self.state = JobState::Running(place);
        Ok(self.epoch)
    }

    /// Ends the running epoch with a result. The first finish wins.
    ///
    /// # Errors
    ///
    /// `StoreConflict` if another epoch runs, `JobEnded` if it has ended.
    pub fn finish(&mut self, epoch: u64, result: String) -> Result<(), Refusal> {
        self.expect_running(epoch)?;
        self.state = JobState::Finished(result);
        Ok(())
    }

    /// Notes that the running epoch surely ended without a result. The job waits for
    /// another worker, or ends with the reason when it failed too often or was cancelled.
    ///
    /// # Errors
    ///
    /// `StoreConflict` if another epoch runs, `JobEnded` if it has ended.
    pub fn fail_run(&mut self, epoch: u64, reason: &str) -> Result<(), Refusal> {
        self.expect_running(epoch)?;
        self.attempts += 1;
        self.state = if self.cancel_requested {
            JobState::Cancelled
        } else if self.attempts >= ATTEMPTS_MAX {
            JobState::Failed(format!("failed {} times, last: {reason}", self.attempts))
        } else {
            JobState::Waiting
        };
        Ok(())
    }

    /// Puts back a start that the worker vouches never took place.
    ///
    /// # Errors
    ///
    /// `StoreConflict` if another epoch runs, `JobEnded` if it has ended.
    pub fn undo_start(&mut self, epoch: u64) -> Result<(), Refusal> {
        self.expect_running(epoch)?;
        self.state = if self.cancel_requested {
            JobState::Cancelled
        } else {
            JobState::Waiting
        };
        Ok(())
    }

    /// Asks for cancellation; says whether the job ended at once.
    ///
    /// # Errors
    ///
    /// `JobEnded` if it finished or failed before.
    pub fn cancel(&mut self) -> Result<bool, Refusal> {
        match &self.state {
            JobState::Waiting | JobState::Cancelled => {
                self.state = JobState::Cancelled;
                Ok(true)
            }
            JobState::Running(_) => {
                self.cancel_requested = true;
                Ok(false)
            }
            JobState::Finished(_) | JobState::Failed(_) => Err(self.has_ended()),
        }
    }

    /// Notes when its end was recorded, once.
    pub fn mark_ended(&mut self, now_ms: u64) {
        if self.state.is_terminal() && self.ended_at_ms.is_none() {
            self.ended_at_ms = Some(now_ms);
        }
    }

    /// Whether it ended more than `retention_ms` ago.
    pub fn is_expired(&self, now_ms: u64, retention_ms: u64) -> bool {
        self.ended_at_ms
            .is_some_and(|at| at.saturating_add(retention_ms) < now_ms)
    }

    /// Hands the job to another entry, after its home is known to be gone or gave it up.
    /// A run under way stays on the permit of the entry that started it.
    ///
    /// # Errors
    ///
    /// `JobEnded` if there is nothing left to look after.
    pub fn reassign(&mut self, owner: EntryStamp) -> Result<(), Refusal> {
        if self.state.is_terminal() {
            return Err(self.has_ended());
        }
        self.owner = owner;
        Ok(())
    }

    fn expect_running(&self, epoch: u64) -> Result<(), Refusal> {
        match &self.state {
            JobState::Running(_) if self.epoch == epoch => Ok(()),
            state if state.is_terminal() => Err(self.has_ended()),
            _ => Err(self.moved_on()),
        }
    }

    fn has_ended(&self) -> Refusal {
        Refusal::not_run(
            ResultCode::JobEnded,
            format!("job '{}' has ended: {:?}", self.name, self.state),
        )
    }

    fn moved_on(&self) -> Refusal {
        let detail = format!(
            "job '{}' is at epoch {} and {:?}",
            self.name, self.epoch, self.state
        );
        Refusal::not_run(ResultCode::StoreConflict, detail)
    }
}
