//! Follows the platform's list of workers and keeps the stored worker snapshots current.

use {
    super::{leadership::Leadership, owner_writes::WriteChain, worker_task::start_worker},
    crate::{
        node::{SchedulerNode, lock, uptime_ms},
        store::{
            PrefixUpdate, ResumeMode, WORKER_SNAPSHOTS_PREFIX, follow_prefix, worker_snapshots_key,
        },
    },
    dotterelshore_domain::{
        names::WorkerName,
        schedule::{
            FleetSchedule, RowOutcome, SnapshotShard, StoredSnapshots, WorkerRow,
            storable_snapshots,
        },
    },
    dotterelshore_platform::{
        KvFault, KvPage, KvRow, KvTransaction, WORKER_PREFIX, WatchEvent, decode_worker,
        worker_of_key,
    },
    dotterelshore_wire::log_event,
    std::{sync::Arc, time::Duration},
};

/// Pause after the snapshots could not be stored.
const SNAPSHOT_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Shards that one transaction writes; the store takes 32 entries, among them the owner's key
/// and the revision of the chain.
const SHARDS_PER_WRITE: usize = 24;
/// Longest time between comparisons of the stored snapshots with the schedule.
const SNAPSHOT_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Applies the platform's list of workers.
pub(super) fn apply_worker_rows(schedule: &mut FleetSchedule, page: &KvPage) {
    let rows = page.rows.iter().filter_map(parse_worker).collect();
    schedule.apply_row_list(rows, page.revision, uptime_ms());
}

/// Reads the row of a worker that reports as another incarnation, if the watch of the rows has not
/// shown it yet.
pub(super) async fn refresh_row(node: &SchedulerNode, leadership: &Leadership, name: &WorkerName) {
    match node.kv.read(&format!("{WORKER_PREFIX}{name}")).await {
        Ok(row) => {
            if let Some(row) = parse_worker(&row) {
                let mut schedule = lock(&leadership.schedule);
                if schedule.worker(name).map(|status| status.listed.started_ms)
                    == Some(row.listed.started_ms)
                {
                    schedule.apply_row(row);
                    leadership.plan_notify.notify_one();
                }
            }
        }
        Err(fault) => {
            node.metrics.count_retry("worker-row");
            log_event!(Info, "worker-row-not-read", worker = name, error = fault);
        }
    }
}

fn parse_worker(row: &KvRow) -> Option<WorkerRow> {
    let name = worker_of_key(&row.key)?;
    let listed = decode_worker(name, &row.value)
        .inspect_err(|error| {
            log_event!(Warn, "worker-unreadable", key = row.key, error = error);
        })
        .ok()?;
    Some(WorkerRow {
        listed,
        revision: row.revision,
    })
}

/// Applies one change of the list of workers. Returns whether the schedule may have changed.
fn apply_worker_change(
    node: &SchedulerNode,
    schedule: &mut FleetSchedule,
    event: &WatchEvent,
) -> bool {
    let (key, revision) = match event {
        WatchEvent::Written(row) => {
            if let Some(row) = parse_worker(row) {
                return apply_written_row(node, schedule, row);
            }
            (&row.key, row.revision)
        }
        WatchEvent::Removed { key, revision } => (key, *revision),
    };
    let Some(name) = worker_of_key(key) else {
        return false;
    };
    let is_applied = schedule.remove_row(&name, revision, uptime_ms());
    log_event!(Info, "worker-unlisted", worker = name, applied = is_applied);
    is_applied
}

fn apply_written_row(node: &SchedulerNode, schedule: &mut FleetSchedule, row: WorkerRow) -> bool {
    let WorkerRow { listed, revision } = row.clone();
    let outcome = schedule.apply_row(row);
    let ignored = match outcome {
        RowOutcome::Unchanged => None,
        RowOutcome::Applied => {
            log_event!(
                Info,
                "worker-listed",
                worker = listed.name,
                pool = listed.pool,
                born = listed.started_ms,
                draining = listed.draining,
                revision = revision
            );
            None
        }
        RowOutcome::Outdated => Some("outdated"),
        RowOutcome::Held => Some("held"),
    };
    if let Some(reason) = ignored {
        node.metrics.count_ignored_row(reason);
        log_event!(
            Info,
            "worker-row-ignored",
            worker = listed.name,
            reason = reason,
            born = listed.started_ms,
            revision = revision
        );
    }
    outcome == RowOutcome::Applied
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
                PrefixUpdate::Snapshot(page) => apply_worker_rows(&mut schedule, &page),
                PrefixUpdate::Change(event) => {
                    if !apply_worker_change(&node, &mut schedule, &event) {
                        return;
                    }
                    if matches!(event, WatchEvent::Written(_)) {
                        leadership.snapshot_notify.notify_one();
                    }
                }
            }
            leadership.plan_notify.notify_one();
        },
    )
    .await;
}

/// Stores the worker snapshots when they change, and starts the tasks of the workers in them.
/// `has_unsharded` means that the store has a record of an earlier version, which is deleted.
pub(super) async fn maintain_worker_snapshots(
    node: Arc<SchedulerNode>,
    leadership: Arc<Leadership>,
    mut has_unsharded: bool,
) {
    let mut stored = StoredSnapshots::default();
    let mut interval = node.timer.interval(SNAPSHOT_CHECK_PERIOD);
    let mut is_check = true;
    loop {
        let newly_listed = lock(&leadership.schedule).take_newly_listed();
        let outdated = if is_check {
            stored.outdated_shards(&lock(&leadership.schedule), uptime_ms())
        } else {
            stored.shards_without(&newly_listed)
        };
        if !outdated.is_empty() && leadership.has_authority() {
            let outcome = store_worker_snapshots(&node, &leadership, &mut stored, &outdated);
            if let Err(error) = outcome.await {
                node.metrics.count_retry("roster");
                log_event!(Warn, "worker-snapshots-not-stored", error = error);
                tokio::time::sleep(SNAPSHOT_RETRY_PAUSE).await;
                is_check = true;
                continue;
            }
        }
        if has_unsharded && stored.is_complete() && leadership.has_authority() {
            has_unsharded = delete_unsharded(&node, &leadership).await.is_err();
        }
        let to_start = if is_check {
            leadership.assign_delegates();
            leadership.workers_to_start(&stored)
        } else {
            leadership.assign_new_to_delegates(&newly_listed);
            leadership.workers_to_start_of(&newly_listed, &stored)
        };
        for listed in to_start {
            if leadership.has_authority() {
                start_worker(&node, &leadership, listed);
            }
        }
        is_check = tokio::select! {
            () = interval.tick() => true,
            () = leadership.snapshot_notify.notified() => false,
        };
    }
}

/// Deletes the record in which an earlier version stored all snapshots.
async fn delete_unsharded(node: &SchedulerNode, leadership: &Leadership) -> Result<(), KvFault> {
    let transaction = KvTransaction::default().delete(WORKER_SNAPSHOTS_PREFIX);
    let writes = &leadership.writes;
    writes
        .commit(node, leadership, WriteChain::Roster, transaction)
        .await
}

/// Stores shards of the snapshots of workers on which runs may go on after this owner ends. A
/// shard whose write fails stays outdated: the workers that it lists as unreachable are held back
/// until another one is stored, whether or not the list changes.
pub(super) async fn store_worker_snapshots(
    node: &SchedulerNode,
    leadership: &Leadership,
    stored: &mut StoredSnapshots,
    shards: &[SnapshotShard],
) -> Result<(), KvFault> {
    for shards in shards.chunks(SHARDS_PER_WRITE) {
        stored.begin_write(shards);
        let snapshots;
        let storable = {
            let mut schedule = lock(&leadership.schedule);
            snapshots = schedule.snapshots_in(shards, uptime_ms());
            let storable = storable_snapshots(&snapshots);
            schedule.begin_snapshot_write(&storable);
            storable
        };
        let mut transaction = KvTransaction::default();
        for shard in shards {
            let in_shard = storable.iter();
            let in_shard = in_shard
                .filter(|snapshot| SnapshotShard::of_worker(&snapshot.listed.name) == *shard);
            let in_shard: Vec<_> = in_shard.collect();
            let value = serde_json::to_vec(&in_shard).map_err(|error| KvFault::NotApplied {
                detail: error.to_string(),
            })?;
            transaction = transaction.write(worker_snapshots_key(*shard), &value, 0);
        }
        leadership
            .writes
            .commit(node, leadership, WriteChain::Roster, transaction)
            .await?;
        lock(&leadership.schedule).finish_snapshot_write(&storable);
        stored.finish_write(shards, &snapshots);
    }
    Ok(())
}
