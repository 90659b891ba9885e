//! Follows accepted and cancelled jobs in the store.

use {
    super::{leadership::Leadership, takeover::parse_record},
    crate::{
        node::{SchedulerNode, lock, uptime_ms},
        store::{JOB_PREFIX, JobKey, PrefixUpdate, ResumeMode, follow_prefix},
    },
    dotterelshore_domain::{
        collections::{FastMap, FastSet},
        names::JobName,
        schedule::{FleetSchedule, JobRecord, ProgressRecord, WorkerOrder},
    },
    dotterelshore_platform::{KvRow, WatchEvent},
    dotterelshore_wire::{event_log::unix_millis, log_event},
    std::sync::Arc,
};

/// Adds jobs to the schedule, then applies cancellations. Returns the orders that follow.
pub(super) fn apply_job_rows(
    schedule: &mut FleetSchedule,
    rows: &[KvRow],
    progress: &FastMap<JobName, ProgressRecord>,
    run_base: u32,
    now_ms: u64,
    wall_ms: u64,
) -> Vec<WorkerOrder> {
    let mut cancelled = Vec::new();
    for row in rows {
        match JobKey::parse(&row.key) {
            Some(JobKey::Record(name)) => {
                let Some(record) = parse_record::<JobRecord>(row) else {
                    continue;
                };
                schedule.add_job(record, progress.get(&name), run_base, now_ms, wall_ms);
            }
            Some(JobKey::Cancelled(name)) => cancelled.push((name, row.revision)),
            None => log_event!(Warn, "job-key-unknown", key = row.key),
        }
    }
    let orders = cancelled
        .iter()
        .flat_map(|(name, revision)| apply_cancel(schedule, name, *revision, now_ms, wall_ms));
    orders.collect()
}

/// Cancels a job and logs it, unless the job has ended before.
fn apply_cancel(
    schedule: &mut FleetSchedule,
    name: &JobName,
    revision: u64,
    now_ms: u64,
    wall_ms: u64,
) -> Vec<WorkerOrder> {
    let before = schedule.state(name);
    let stops = schedule.cancel(name, now_ms, wall_ms);
    if before != schedule.state(name) {
        log_event!(
            Info,
            "cancel-applied",
            job = name,
            revision = revision,
            stops = stops.len()
        );
    }
    stops
}

/// Applies a cancellation that another entry has just recorded.
pub(crate) fn apply_announced_cancel(leadership: &Leadership, job: &JobName, revision: u64) {
    let (now_ms, wall_ms) = (uptime_ms(), unix_millis());
    let mut schedule = lock(&leadership.schedule);
    let stops = apply_cancel(&mut schedule, job, revision, now_ms, wall_ms);
    drop(schedule);
    follow_up(leadership, stops);
}

/// Sends the orders that follow from changes to jobs, and has the rest planned and recorded.
fn follow_up(leadership: &Leadership, orders: Vec<WorkerOrder>) {
    leadership.dispatch(orders);
    leadership.plan_notify.notify_one();
    leadership.record_notify.notify_one();
}

/// Returns the jobs whose records are among these rows.
fn recorded_jobs(rows: &[KvRow]) -> FastSet<JobName> {
    let names = rows.iter().filter_map(|row| match JobKey::parse(&row.key) {
        Some(JobKey::Record(name)) => Some(name),
        Some(JobKey::Cancelled(_)) | None => None,
    });
    names.collect()
}

/// Forgets the job of a key that was removed from the store.
fn forget_removed(leadership: &Leadership, key: &str) {
    let Some(JobKey::Record(name)) = JobKey::parse(key) else {
        return;
    };
    if !lock(&leadership.schedule).forget_removed(&name) {
        log_event!(Warn, "job-record-lost", job = name);
    }
}

/// Applies changes to jobs from a store revision on, until aborted.
pub(super) async fn follow_jobs(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    revision: u64,
) {
    follow_prefix(
        &node,
        JOB_PREFIX,
        ResumeMode::CatchUp,
        Some(revision),
        |update| {
            let rows = match update {
                PrefixUpdate::Snapshot(page) => {
                    lock(&leadership.schedule).forget_missing(&recorded_jobs(&page.rows));
                    page.rows
                }
                PrefixUpdate::Change(WatchEvent::Written(row)) => vec![row],
                PrefixUpdate::Change(WatchEvent::Removed { key, .. }) => {
                    forget_removed(&leadership, &key);
                    return;
                }
            };
            let orders = apply_job_rows(
                &mut lock(&leadership.schedule),
                &rows,
                &FastMap::default(),
                0,
                uptime_ms(),
                unix_millis(),
            );
            follow_up(&leadership, orders);
        },
    )
    .await;
}
