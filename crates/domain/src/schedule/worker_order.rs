//! Orders to workers.

use {
    super::task_name::TaskName,
    crate::names::WorkerName,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerName,
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
    /// Body of the task.
    pub body: Arc<str>,
    /// Checkpoint that it resumes from.
    pub checkpoint: Option<Arc<str>>,
    /// The adviser's ticket for the worker, if the queue has an adviser.
    pub ticket: Option<Arc<str>>,
}

/// An order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// The worker.
    pub worker: WorkerName,
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerOrder {
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Set the pace of a best-effort task, in percent.
    Pace(StopOrder, u32),
}

impl WorkerOrder {
    /// Returns the worker that the order is for.
    pub fn worker(&self) -> &WorkerName {
        match self {
            Self::Start(order) => &order.worker,
            Self::Stop(order) | Self::Pace(order, _) => &order.worker,
        }
    }
}
