//! What workers are told.

use {super::task_name::TaskName, crate::names::WorkerName, std::sync::Arc};

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerName,
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
    /// The text for the task.
    pub body: Arc<str>,
    /// Where it resumes from.
    pub checkpoint: Option<Arc<str>>,
    /// The adviser's leave to run it there, where its queue takes advice.
    pub ticket: Option<Arc<str>>,
}

/// An order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
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
    /// Let a filling task work at this share, in percent.
    Pace(StopOrder, u32),
}

impl WorkerOrder {
    /// The worker it is for.
    pub fn worker(&self) -> &WorkerName {
        match self {
            Self::Start(order) => &order.worker,
            Self::Stop(order) | Self::Pace(order, _) => &order.worker,
        }
    }
}
