//! Reports that a task panicked.

use std::fmt;

/// Calls a function when it is dropped by a panic. Held by a task whose end by a panic must not
/// go unnoticed, since a runtime keeps a panic within its task.
pub struct PanicGuard<F: Fn()> {
    report: F,
}

impl<F: Fn()> PanicGuard<F> {
    /// Creates a guard that calls `report` if the current task panics while holding it.
    pub fn new(report: F) -> Self {
        Self { report }
    }

    /// Runs a task under the guard.
    pub async fn watch<T>(self, task: impl Future<Output = T>) -> T {
        task.await
    }
}

impl<F: Fn()> fmt::Debug for PanicGuard<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PanicGuard").finish_non_exhaustive()
    }
}

impl<F: Fn()> Drop for PanicGuard<F> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            (self.report)();
        }
    }
}
