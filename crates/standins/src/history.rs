//! What callers, targets and the platform saw, a JSON line an event.

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

/// One thing seen, from outside the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(
    missing_docs,
    reason = "the fields are named in the line above each variant"
)]
#[serde(
    tag = "event",
    rename_all = "kebab-case",
    rename_all_fields = "snake_case"
)]
pub enum HistoryEvent {
    /// A target began a request.
    RunBegun {
        target: String,
        id: String,
        run: String,
        team: String,
        queue: String,
    },
    /// A target ended a request; `cut` if a stop ended it.
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
    /// A worker ended a task; `cut` if a stop ended it.
    TaskEnded {
        target: String,
        job: String,
        epoch: u64,
        team: String,
        finished: bool,
        #[serde(rename = "cut")]
        interrupted: bool,
    },
    /// The platform stopped an instance.
    StopBegun { instance: String, planned: bool },
    /// The platform started an instance again.
    Started { instance: String },
    /// The platform announced that an instance leaves.
    Leaving { instance: String },
    /// The platform's store took a write of an instance record.
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
    /// A caller got an answer; `whole` if it was the whole answer to this request.
    Answered {
        id: String,
        #[serde(rename = "whole")]
        complete: bool,
        revision: u64,
        entry: String,
    },
    /// A caller got a refusal.
    Refused {
        id: String,
        code: u16,
        not_run: bool,
        entry: String,
    },
    /// A caller got nothing.
    Lost { id: String, entry: String },
    /// An operator was told that a revision is in force, or recorded.
    TableApplied {
        revision: u64,
        recorded_at_us: u64,
        in_force: bool,
        entries: Vec<String>,
    },
    /// What the revision says of a team's ceiling.
    CeilingSet { team: String, ceiling: u32 },
    /// What the revision says of a pool's budget.
    BudgetSet { pool: String, max_out: u32 },
    /// What the revision says of a queue that may spill to another pool.
    SpillSet { queue: String, pool: String },
    /// A key was granted to a team.
    KeyGranted { key: String, team: String },
    /// A key was withdrawn, and the withdrawal was recorded.
    KeyWithdrawn { key: String },
    /// A caller was told that a job was accepted.
    JobAccepted { job: String },
    /// A caller read that a job ended.
    JobRead { job: String, state: String },
}

/// An event with the time it was seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// Microseconds since the Unix epoch, by the one machine's clock.
    pub at_us: u64,
    /// What was seen.
    #[serde(flatten)]
    pub event: HistoryEvent,
}

/// Writes events to a file, or nowhere.
#[derive(Debug, Clone, Default)]
pub struct HistoryWriter {
    file: Option<Arc<Mutex<File>>>,
}

impl HistoryWriter {
    /// Appends to the file at `path`.
    ///
    /// # Errors
    ///
    /// The file system's fault.
    pub fn open(path: Option<&Path>) -> std::io::Result<Self> {
        let Some(path) = path else {
            return Ok(Self::default());
        };
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            file: Some(Arc::new(Mutex::new(file))),
        })
    }

    /// Writes one event with the present time.
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

/// Microseconds since the Unix epoch.
pub fn unix_micros() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Reads a file of events; a torn last line is passed over.
///
/// # Errors
///
/// The file system's fault.
pub fn read_history(path: &Path) -> std::io::Result<Vec<HistoryLine>> {
    let text = std::fs::read_to_string(path)?;
    Ok(text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect())
}
