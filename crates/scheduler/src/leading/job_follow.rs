//! Following accepted and cancelled jobs in the store.

use {
    super::{leadership::Leadership, takeover::parsed},
    crate::{
        node::{SchedulerNode, lock, uptime_ms},
        store::{AfterFault, FollowStep, JOB_PREFIX, JobKey, follow},
    },
    dotterelshore_domain::{
        collections::FastMap,
        names::JobName,
        schedule::{FleetSchedule, JobRecord, ProgressRecord, WorkerOrder},
    },
    dotterelshore_platform::{KeyRow, WatchEvent},
    dotterelshore_wire::{event_log::unix_millis, log_event},
    std::sync::Arc,
};

/// Takes in jobs and then the marks of cancelled ones.
pub(super) fn take_job_rows(
    schedule: &mut FleetSchedule,
    rows: &[KeyRow],
    progress: &FastMap<JobName, ProgressRecord>,
    run_base: u32,
    now_ms: u64,
    wall_ms: u64,
) -> Vec<WorkerOrder> {
    let mut cancelled = Vec::new();
    for row in rows {
        match JobKey::parse(&row.key) {
            Some(JobKey::Record(name)) => {
                let Some(record) = parsed::<JobRecord>(row) else {
                    continue;
                };
                schedule.add_job(record, progress.get(&name), run_base, now_ms, wall_ms);
            }
            Some(JobKey::Cancelled(name)) => cancelled.push(name),
            None => log_event!(Warn, "foreign-key", key = row.key),
        }
    }
    let orders = cancelled
        .iter()
        .flat_map(|name| schedule.cancel(name, now_ms, wall_ms));
    orders.collect()
}

/// Follows jobs from a revision on.
pub(super) async fn follow_jobs(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    revision: u64,
) {
    follow(
        &node,
        JOB_PREFIX,
        AfterFault::CatchUp,
        Some(revision),
        |step| {
            let rows = match step {
                FollowStep::Whole(rows) => rows,
                FollowStep::Change(WatchEvent::Written(row)) => vec![row],
                FollowStep::Change(WatchEvent::Removed { .. }) => return,
            };
            let orders = take_job_rows(
                &mut lock(&leadership.schedule),
                &rows,
                &FastMap::default(),
                0,
                uptime_ms(),
                unix_millis(),
            );
            leadership.dispatch(orders);
            leadership.plan.notify_one();
            leadership.record.notify_one();
        },
    )
    .await;
}
