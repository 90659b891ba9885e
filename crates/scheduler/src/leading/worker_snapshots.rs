//! Follows the platform's list of workers and keeps the stored worker snapshots current.

use {
    super::{leadership::Leadership, owner_writes::WriteChain, worker_task::start_worker},
    crate::{
        node::{SchedulerNode, lock, uptime_ms},
        store::{PrefixUpdate, ResumeMode, WORKER_SNAPSHOTS_KEY, follow_prefix},
    },
    dotterelshore_domain::{
        collections::FastSet,
        names::WorkerName,
        schedule::{FleetSchedule, ListedWorker, WorkerSnapshot},
    },
    dotterelshore_platform::{
        KvRow, KvTransaction, WORKER_PREFIX, WatchEvent, decode_worker, worker_of_key,
    },
    dotterelshore_wire::log_event,
    std::{sync::Arc, time::Duration},
};

/// Pause after the snapshots could not be stored.
const SNAPSHOT_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest time between comparisons of the stored snapshots with the schedule.
const SNAPSHOT_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Updates the listed workers and marks those that are no longer listed.
pub(super) fn apply_worker_rows(schedule: &mut FleetSchedule, rows: &[KvRow]) {
    let mut listed = FastSet::default();
    for row in rows {
        if let Some(worker) = parse_worker(row) {
            listed.insert(worker.name.clone());
            schedule.upsert_worker(worker);
        }
    }
    let missing: Vec<_> = schedule
        .workers()
        .filter(|status| status.present && !listed.contains(&status.listed.name))
        .map(|status| status.listed.name.clone())
        .collect();
    for name in missing {
        schedule.unlist_worker(&name, uptime_ms());
    }
}

fn parse_worker(row: &KvRow) -> Option<ListedWorker> {
    let name = worker_of_key(&row.key)?;
    decode_worker(name, &row.value)
        .inspect_err(|error| {
            log_event!(Warn, "worker-unreadable", key = row.key, error = error);
        })
        .ok()
}

/// Applies changes to the list of workers from a store revision on, until aborted.
pub(super) async fn follow_workers(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    revision: u64,
) {
    follow_prefix(
        &node,
        WORKER_PREFIX,
        ResumeMode::CatchUp,
        Some(revision),
        |update| {
            let mut schedule = lock(&leadership.schedule);
            match update {
                PrefixUpdate::Snapshot(rows) => apply_worker_rows(&mut schedule, &rows),
                PrefixUpdate::Change(WatchEvent::Written(row)) => {
                    if let Some(worker) = parse_worker(&row) {
                        if !schedule.upsert_worker(worker.clone()) {
                            return;
                        }
                        log_event!(
                            Info,
                            "worker-listed",
                            worker = worker.name,
                            pool = worker.pool,
                            born = worker.started_ms,
                            draining = worker.draining
                        );
                        leadership.snapshot_notify.notify_one();
                    } else if let Some(name) = worker_of_key(&row.key) {
                        schedule.unlist_worker(&name, uptime_ms());
                    }
                }
                PrefixUpdate::Change(WatchEvent::Removed { key, .. }) => {
                    if let Some(name) = worker_of_key(&key) {
                        log_event!(Info, "worker-unlisted", worker = name);
                        schedule.unlist_worker(&name, uptime_ms());
                    }
                }
            }
            leadership.plan_notify.notify_one();
        },
    )
    .await;
}

/// Stores the worker snapshots when they change, and starts the tasks of the workers in them.
pub(super) async fn maintain_worker_snapshots(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
) {
    let mut stored: Option<FastSet<(WorkerName, bool)>> = None;
    let mut interval = node.timer.interval(SNAPSHOT_CHECK_PERIOD);
    loop {
        let snapshots = lock(&leadership.schedule).worker_snapshots(uptime_ms());
        let names: FastSet<_> = snapshots
            .iter()
            .map(|snapshot| (snapshot.listed.name.clone(), snapshot.unreachable.is_some()))
            .collect();
        if stored.as_ref() != Some(&names) && leadership.has_authority() {
            match store_worker_snapshots(&node, &leadership, &snapshots).await {
                Ok(()) => stored = Some(names),
                Err(error) => {
                    // The workers that it lists as unreachable are held back until another one
                    // is stored, whether or not the list changes.
                    stored = None;
                    node.metrics.count_retry("roster");
                    log_event!(Warn, "worker-snapshots-not-stored", error = error);
                    tokio::time::sleep(SNAPSHOT_RETRY_PAUSE).await;
                }
            }
        }
        leadership.assign_delegates();
        for snapshot in snapshots {
            let name = &snapshot.listed.name;
            let is_stored = stored.as_ref().is_some_and(|stored| {
                stored.contains(&(name.clone(), true)) || stored.contains(&(name.clone(), false))
            });
            if is_stored && leadership.has_authority() {
                start_worker(&node, &leadership, snapshot.listed);
            }
        }
        tokio::select! {
            () = interval.tick() => {}
            () = leadership.snapshot_notify.notified() => {}
        }
    }
}

/// Stores the snapshots of workers on which runs may go on after this owner ends.
pub(super) async fn store_worker_snapshots(
    node: &SchedulerNode,
    leadership: &Leadership,
    snapshots: &[WorkerSnapshot],
) -> Result<(), dotterelshore_platform::KvFault> {
    lock(&leadership.schedule).begin_snapshot_write(snapshots);
    let value = serde_json::to_vec(snapshots).map_err(|error| {
        dotterelshore_platform::KvFault::NotApplied {
            detail: error.to_string(),
        }
    })?;
    let transaction = KvTransaction::default().write(WORKER_SNAPSHOTS_KEY, &value, 0);
    leadership
        .writes
        .commit(node, leadership, WriteChain::Roster, transaction)
        .await?;
    lock(&leadership.schedule).finish_snapshot_write(snapshots);
    Ok(())
}
