//! Event history of callers, targets and the platform, in JSON Lines files.

use {
    serde::{Deserialize, Serialize},
    std::{
        fs::{File, OpenOptions},
        io::Write,
        path::Path,
        sync::{Arc, Mutex, PoisonError},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// An event observed by a caller, an operator, a target or the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs, reason = "the comment of each variant covers its fields")]
#[serde(
    tag = "event",
    rename_all = "kebab-case",
    rename_all_fields = "snake_case"
)]
pub enum HistoryEvent {
    /// A target began a run of a request.
    RunBegun {
        target: String,
        id: String,
        run: String,
        team: String,
        queue: String,
    },
    /// A run ended; `interrupted` if a stop of the target ended it.
    RunEnded {
        target: String,
        id: String,
        run: String,
        team: String,
        #[serde(rename = "cut")]
        interrupted: bool,
    },
    /// A worker began a task.
    TaskBegun {
        target: String,
        job: String,
        epoch: u64,
        team: String,
    },
    /// A task ended; `finished` if it succeeded, `interrupted` if a stop of the worker ended it.
    TaskEnded {
        target: String,
        job: String,
        epoch: u64,
        team: String,
        finished: bool,
        #[serde(rename = "cut")]
        interrupted: bool,
    },
    /// The platform began to stop an instance; `planned` if by a reboot.
    StopBegun { instance: String, planned: bool },
    /// The platform started an instance again.
    Started { instance: String },
    /// The platform announced that an instance is leaving.
    Leaving { instance: String },
    /// The platform's store accepted a write of an instance record.
    InstanceWritten {
        instance: String,
        pool: String,
        state: String,
    },
    /// A caller sent a request.
    Sent {
        id: String,
        team: String,
        queue: String,
        key: String,
        idempotent: bool,
        entry: String,
    },
    /// A caller received a response; `complete` if it was the complete response to this request.
    Answered {
        id: String,
        #[serde(rename = "whole")]
        complete: bool,
        revision: u64,
        entry: String,
    },
    /// A caller received a refusal; `not_run` if it states that the request did not run.
    Refused {
        id: String,
        code: u16,
        not_run: bool,
        entry: String,
    },
    /// A caller received no response, or an unreadable one.
    Lost { id: String, entry: String },
    /// An operator received the report on a recorded revision; `in_force` if it is in force at every
    /// entry.
    TableApplied {
        revision: u64,
        recorded_at_us: u64,
        in_force: bool,
        entries: Vec<String>,
    },
    /// An operator set a team's ceiling.
    CeilingSet { team: String, ceiling: u32 },
    /// An operator set a pool's availability budget.
    BudgetSet {
        pool: String,
        #[serde(rename = "max_out")]
        max_unavailable: u32,
    },
    /// An operator let a queue spill to another pool.
    SpillSet { queue: String, pool: String },
    /// A key was granted to a team.
    KeyGranted { key: String, team: String },
    /// A key was withdrawn and the withdrawal was recorded in the table.
    KeyWithdrawn { key: String },
    /// A caller received the acceptance of a job.
    JobAccepted { job: String },
    /// A caller read the final state of a job.
    JobRead { job: String, state: String },
}

/// An event with the time at which it was recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// Microseconds since the Unix epoch; all recorders share one machine's clock.
    pub at_us: u64,
    /// The recorded event.
    #[serde(flatten)]
    pub event: HistoryEvent,
}

/// Appends events to a file, or discards them if there is none.
#[derive(Debug, Clone, Default)]
pub struct HistoryWriter {
    file: Option<Arc<Mutex<File>>>,
}

impl HistoryWriter {
    /// Opens the file at `path` for appending; `None` discards all events.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the file can't be opened.
    pub fn open(path: Option<&Path>) -> std::io::Result<Self> {
        let Some(path) = path else {
            return Ok(Self::default());
        };
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            file: Some(Arc::new(Mutex::new(file))),
        })
    }

    /// Writes one event with the current time. A write error is logged.
    pub fn record(&self, event: HistoryEvent) {
        let Some(file) = &self.file else { return };
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        let line = HistoryLine {
            at_us: unix_micros(),
            event,
        };
        let Ok(mut text) = serde_json::to_vec(&line) else {
            return;
        };
        text.push(b'\n');
        if let Err(error) = file.write_all(&text) {
            log::error!("event=history-write-failed error={error:?}");
        }
    }
}

/// Returns the current time in microseconds since the Unix epoch.
pub fn unix_micros() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Reads a history file. Lines that do not parse, such as a truncated last one, are skipped.
///
/// # Errors
///
/// Returns the I/O error if the file can't be read.
pub fn read_history(path: &Path) -> std::io::Result<Vec<HistoryLine>> {
    let text = std::fs::read_to_string(path)?;
    Ok(text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect())
}
