//! Which workers there are, followed and recorded.

use {
    super::{leadership::Leadership, owner_log::LogChain, worker_task::start_worker},
    crate::{
        node::{SchedulerNode, lock, uptime_ms},
        store::{AfterFault, FollowStep, HELD_KEY, follow},
    },
    dotterelshore_domain::{
        collections::FastSet,
        names::WorkerName,
        schedule::{FleetSchedule, ListedWorker, WorkerSnapshot},
    },
    dotterelshore_platform::{
        KeyRow, KvTransaction, WORKER_PREFIX, WatchEvent, decode_worker, worker_of_key,
    },
    dotterelshore_wire::log_event,
    std::{sync::Arc, time::Duration},
};

/// Pause after the list could not be stored.
const ROSTER_PAUSE: Duration = Duration::from_millis(200);
/// Time between looks at whether the stored list of workers is still right.
const ROSTER_PERIOD: Duration = Duration::from_millis(500);

/// Takes in the listed workers; those no longer listed are marked.
pub(super) fn take_worker_rows(schedule: &mut FleetSchedule, rows: &[KeyRow]) {
    let mut listed = FastSet::default();
    for row in rows {
        if let Some(worker) = read_worker(row) {
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

fn read_worker(row: &KeyRow) -> Option<ListedWorker> {
    let name = worker_of_key(&row.key)?;
    decode_worker(name, &row.value)
        .inspect_err(|error| {
            log_event!(Warn, "worker-unreadable", key = row.key, error = error);
        })
        .ok()
}

/// Follows the workers' listings from a revision on.
pub(super) async fn follow_workers(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    revision: u64,
) {
    follow(
        &node,
        WORKER_PREFIX,
        AfterFault::CatchUp,
        Some(revision),
        |step| {
            let mut schedule = lock(&leadership.schedule);
            match step {
                FollowStep::Whole(rows) => take_worker_rows(&mut schedule, &rows),
                FollowStep::Change(WatchEvent::Written(row)) => {
                    if let Some(worker) = read_worker(&row) {
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
                        leadership.roster.notify_one();
                    } else if let Some(name) = worker_of_key(&row.key) {
                        schedule.unlist_worker(&name, uptime_ms());
                    }
                }
                FollowStep::Change(WatchEvent::Removed { key, .. }) => {
                    if let Some(name) = worker_of_key(&key) {
                        log_event!(Info, "worker-unlisted", worker = name);
                        schedule.unlist_worker(&name, uptime_ms());
                    }
                }
            }
            leadership.plan.notify_one();
        },
    )
    .await;
}

/// Keeps the stored list of workers right, and starts the tasks of those on it.
pub(super) async fn watch_roster(node: Arc<SchedulerNode>, leadership: Arc<Leadership>) {
    let mut stored: Option<FastSet<(WorkerName, bool)>> = None;
    let mut interval = node.timer.interval(ROSTER_PERIOD);
    loop {
        let workers = lock(&leadership.schedule).worker_snapshots(uptime_ms());
        let names: FastSet<_> = workers
            .iter()
            .map(|held| (held.listed.name.clone(), held.unreachable.is_some()))
            .collect();
        if stored.as_ref() != Some(&names) && leadership.may_order() {
            match store_roster(&node, &leadership, &workers).await {
                Ok(()) => stored = Some(names),
                Err(error) => {
                    node.metrics.count_retry("roster");
                    log_event!(Warn, "roster-not-stored", error = error);
                    tokio::time::sleep(ROSTER_PAUSE).await;
                }
            }
        }
        for held in workers {
            let name = &held.listed.name;
            let known = stored.as_ref().is_some_and(|stored| {
                stored.contains(&(name.clone(), true)) || stored.contains(&(name.clone(), false))
            });
            if known && leadership.may_order() {
                start_worker(&node, &leadership, held.listed);
            }
        }
        tokio::select! {
            () = interval.tick() => {}
            () = leadership.roster.notified() => {}
        }
    }
}

/// Records the workers on which something may be left running.
pub(super) async fn store_roster(
    node: &SchedulerNode,
    leadership: &Leadership,
    workers: &[WorkerSnapshot],
) -> Result<(), dotterelshore_platform::KvFault> {
    lock(&leadership.schedule).begin_snapshot_write(workers);
    let value = serde_json::to_vec(workers).map_err(|error| {
        dotterelshore_platform::KvFault::NotApplied {
            detail: error.to_string(),
        }
    })?;
    let write = KvTransaction::default().write(HELD_KEY, &value, 0);
    leadership
        .log
        .commit(node, leadership, LogChain::Roster, write)
        .await?;
    lock(&leadership.schedule).finish_snapshot_write(workers);
    Ok(())
}
