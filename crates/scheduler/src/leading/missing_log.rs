//! Logs the tasks that are to last and are not at work, with what they wait for.

use {
    super::leadership::Leadership,
    crate::node::{SchedulerNode, lock, uptime_ms},
    dotterelshore_domain::schedule::{MissingTask, MissingTasks},
    dotterelshore_wire::log_event,
    std::{sync::Arc, time::Duration},
};

/// Time between looks at the schedule.
const WATCH_PERIOD: Duration = Duration::from_secs(1);
/// How long a task may be missing before it is logged and counted, in milliseconds. Longer than a
/// restart on another worker takes.
const LOG_AFTER_MS: u64 = 3_000;
/// Tasks that one look logs.
const LINES_MAX: usize = 8;

/// Looks for missing tasks, until aborted.
pub(super) async fn watch_missing_tasks(node: Arc<SchedulerNode>, leadership: Arc<Leadership>) {
    let mut watched = MissingTasks::default();
    let mut interval = node.timer.interval(WATCH_PERIOD);
    loop {
        interval.tick().await;
        let sole_until_ms = leadership.sole_owner_until_ms();
        let mut missing = {
            let schedule = lock(&leadership.schedule);
            watched.update(&schedule, uptime_ms(), sole_until_ms)
        };
        missing.retain(|task| task.missing_ms >= LOG_AFTER_MS);
        node.metrics.set_missing(&missing);
        log_missing(&missing);
    }
}

fn log_missing(missing: &[MissingTask]) {
    for MissingTask {
        task,
        reason,
        missing_ms,
    } in missing.iter().take(LINES_MAX)
    {
        log_event!(
            Info,
            "task-missing",
            task = task,
            reason = format!("{reason:?}"),
            missing_ms = missing_ms,
            missing_tasks = missing.len()
        );
    }
}
