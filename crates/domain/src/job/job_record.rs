//! The authoritative record of a job.

use {
    crate::{
        codes::{Refusal, ResultCode},
        names::{EntryStamp, InstanceName, JobName, QueueName, TeamName},
    },
    serde::{Deserialize, Serialize},
};

/// Number of failed runs after which a job fails.
const ATTEMPTS_MAX: u32 = 4;

/// The worker that runs a job, and the entry responsible for the run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunPlace {
    /// The worker.
    pub worker: InstanceName,
    /// The entry that holds the permit and renews the lease.
    pub entry: EntryStamp,
}

/// The state of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Waiting for a worker.
    Waiting,
    /// Assigned to a worker under the current epoch.
    Running(RunPlace),
    /// Finished, with the first result recorded.
    Finished(String),
    /// Ended without a result, for the reason given.
    Failed(String),
    /// Cancelled.
    Cancelled,
}

impl JobState {
    /// Whether the state is final.
    pub fn is_terminal(&self) -> bool {
        matches!(self, Self::Finished(_) | Self::Failed(_) | Self::Cancelled)
    }
}

/// A job as recorded in the store. Each transition is one compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRecord {
    /// The job.
    pub name: JobName,
    /// The team on whose behalf it runs.
    pub team: TeamName,
    /// The queue it waits in.
    pub queue: QueueName,
    /// The payload sent to the worker.
    pub body: String,
    /// The entry that is responsible for it.
    #[serde(rename = "home")]
    pub owner: EntryStamp,
    /// Incremented with every start.
    pub epoch: u64,
    /// Number of failed runs.
    pub attempts: u32,
    /// Whether cancellation was requested.
    #[serde(rename = "cancel_asked")]
    pub cancel_requested: bool,
    /// Its state.
    pub state: JobState,
    /// When its end was recorded, in milliseconds since the Unix epoch. Ended jobs are
    /// deleted after the retention period.
    #[serde(default)]
    pub ended_at_ms: Option<u64>,
}

impl JobRecord {
    /// Creates the record of a newly submitted job.
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

    /// Assigns it to a worker under a new epoch, and returns the epoch.
    ///
    /// # Errors
    ///
    /// `StoreConflict` if it is not waiting, or another entry owns it.
    pub fn start(&mut self, place: RunPlace) -> Result<u64, Refusal> {
        if self.state != JobState::Waiting || self.owner != place.entry {
            return Err(self.conflict_refusal());
        }
        self.epoch += 1;
        self.state = JobState::Running(place);
        Ok(self.epoch)
    }

    /// Ends the running epoch with a result. Only the first result is recorded.
    ///
    /// # Errors
    ///
    /// `StoreConflict` if `epoch` is not the running one, `JobEnded` if the job has ended.
    pub fn finish(&mut self, epoch: u64, result: String) -> Result<(), Refusal> {
        self.expect_running(epoch)?;
        self.state = JobState::Finished(result);
        Ok(())
    }

    /// Ends the running epoch after it has definitely ended without a result. The job waits
    /// for another worker, fails with the reason after too many attempts, or is cancelled
    /// if that was requested.
    ///
    /// # Errors
    ///
    /// `StoreConflict` if `epoch` is not the running one, `JobEnded` if the job has ended.
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

    /// Reverts a start after the worker confirmed that the epoch never ran.
    ///
    /// # Errors
    ///
    /// `StoreConflict` if `epoch` is not the running one, `JobEnded` if the job has ended.
    pub fn undo_start(&mut self, epoch: u64) -> Result<(), Refusal> {
        self.expect_running(epoch)?;
        self.state = if self.cancel_requested {
            JobState::Cancelled
        } else {
            JobState::Waiting
        };
        Ok(())
    }

    /// Requests cancellation; returns whether the job is cancelled already.
    ///
    /// # Errors
    ///
    /// `JobEnded` if the job has finished or failed.
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
            JobState::Finished(_) | JobState::Failed(_) => Err(self.ended_refusal()),
        }
    }

    /// Sets the time of its end if it has ended and the time is not set yet.
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

    /// Makes another entry the owner, after the previous one terminated or handed the job
    /// over. A run in progress keeps the permit of the entry that started it.
    ///
    /// # Errors
    ///
    /// `JobEnded` if the job has ended.
    pub fn reassign(&mut self, owner: EntryStamp) -> Result<(), Refusal> {
        if self.state.is_terminal() {
            return Err(self.ended_refusal());
        }
        self.owner = owner;
        Ok(())
    }

    fn expect_running(&self, epoch: u64) -> Result<(), Refusal> {
        match &self.state {
            JobState::Running(_) if self.epoch == epoch => Ok(()),
            state if state.is_terminal() => Err(self.ended_refusal()),
            _ => Err(self.conflict_refusal()),
        }
    }

    fn ended_refusal(&self) -> Refusal {
        Refusal::not_run(
            ResultCode::JobEnded,
            format!("job '{}' has ended: {:?}", self.name, self.state),
        )
    }

    fn conflict_refusal(&self) -> Refusal {
        let detail = format!(
            "job '{}' is at epoch {} and {:?}",
            self.name, self.epoch, self.state
        );
        Refusal::not_run(ResultCode::StoreConflict, detail)
    }
}
