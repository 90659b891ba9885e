//! What planning passes look at.

/// How many jobs and workers planning passes have looked at.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlanningWork {
    /// Planning passes.
    pub passes: u64,
    /// Jobs that may have changed or that wait, each in each pass.
    pub jobs: u64,
    /// Workers that may have changed, and those considered for a task.
    pub workers: u64,
}
