//! Takeover: restores the schedule from the store after a claim and starts the owner's tasks.

use {
    super::{
        advice_task::request_advice,
        crash_log::log_crash_notices,
        delegates::{follow_entries, run_delegates},
        instance_task::reconcile_instances,
        job_follow::{apply_job_rows, follow_jobs},
        leadership::{HandoverRecord, Leadership},
        missing_log::watch_missing_tasks,
        progress_recorder::record_progress,
        run_log::{log_dropped, log_run_notices, run_lists},
        worker_snapshots::{apply_worker_rows, follow_workers, maintain_worker_snapshots},
    },
    crate::{
        node::{SchedulerNode, lock, millis, uptime_ms},
        owner::{AUTHORITY_OVERLAP, OwnerClaim},
        store::{
            HANDOVER_KEY, JOB_PREFIX, ORDERED_INSTANCES_KEY, PROGRESS_PREFIX,
            WORKER_SNAPSHOTS_PREFIX,
        },
    },
    dotterelshore_domain::{
        collections::FastMap,
        names::{InstanceName, JobName},
        schedule::{FleetSchedule, OrderRule, ProgressRecord, WorkerSnapshot},
    },
    dotterelshore_platform::{KvFault, KvPage, KvRow, WORKER_PREFIX},
    dotterelshore_wire::{event_log::unix_millis, log_event, timer_hub::jittered_pause},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// Lease of a worker's runs, renewed by each poll. Longer than it takes to replace an owner,
/// shorter than the platform's maximum.
pub(super) const WORKER_LEASE: Duration = Duration::from_millis(3_600);
/// Margin for open calls and clock drift in the lease of orphaned runs, in milliseconds.
const ORPHAN_MARGIN_MS: u64 = 500;
/// Run numbers reserved for one term; far more than the starts of one task under one owner.
const RUNS_PER_TERM: u32 = 1_000;
/// Pause after a failed read.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Time between checks of leases, unanswered orders and due jobs.
const TICK_PERIOD: Duration = Duration::from_millis(100);
/// Shortest pause before a planning pass, so that runs that end close together share one pass.
const PLAN_PAUSE: Duration = Duration::from_millis(8);
/// The pause as a multiple of the time that the last pass took, so that planning leaves time for
/// reports and orders however many jobs wait.
const PLAN_PAUSE_FACTOR: u32 = 3;
/// Time between removals of jobs whose retention has ended.
const REMOVAL_PERIOD: Duration = Duration::from_secs(20);
/// Ended jobs are kept for this multiple of their query time, so that a late repeat of a
/// submission finds the job.
const RETENTION_FACTOR: u64 = 2;

/// All records of the schedule in the store.
struct StoredSchedule {
    snapshots: Vec<WorkerSnapshot>,
    /// Whether an earlier version stored all snapshots in one record.
    has_unsharded_snapshots: bool,
    handover: Option<HandoverRecord>,
    ordered: Vec<InstanceName>,
    workers: KvPage,
    progress: FastMap<JobName, ProgressRecord>,
    jobs: KvPage,
}

/// Restores the schedule from the store, then runs the owner's tasks until aborted.
pub(crate) async fn lead(node: Arc<SchedulerNode>, leadership: Arc<Leadership>, claim: OwnerClaim) {
    let stored = read_stored(&node).await;
    let handed_over = stored
        .handover
        .clone()
        .filter(|handover| handover.term + 1 == claim.term);
    restore(&node, &leadership, &stored, claim, handed_over.as_ref());
    log_event!(
        Info,
        "schedule-read",
        token = claim.token,
        term = claim.term,
        workers = stored.workers.rows.len(),
        held = stored.snapshots.len(),
        jobs = stored.jobs.rows.len(),
        handed_over = handed_over.is_some(),
        took_ms = uptime_ms().saturating_sub(claim.sent_ms)
    );
    node.leading.send_replace(Some(Arc::clone(&leadership)));
    let mut tasks = JoinSet::new();
    let clone_handles = || (Arc::clone(&node), Arc::clone(&leadership));
    let (n, l) = clone_handles();
    let following = follow_workers(n, l, stored.workers.revision);
    tasks.spawn(leadership.guard_task("follow-workers", following));
    let (n, l) = clone_handles();
    tasks.spawn(leadership.guard_task("follow-jobs", follow_jobs(n, l, stored.jobs.revision)));
    let (n, l) = clone_handles();
    tasks.spawn(leadership.guard_task("follow-entries", follow_entries(n, l)));
    let (n, l) = clone_handles();
    tasks.spawn(leadership.guard_task("delegates", run_delegates(n, l)));
    let (n, l) = clone_handles();
    let storing = maintain_worker_snapshots(n, l, stored.has_unsharded_snapshots);
    tasks.spawn(leadership.guard_task("worker-snapshots", storing));
    let (n, l) = clone_handles();
    tasks.spawn(leadership.guard_task("progress", record_progress(n, l)));
    let (n, l) = clone_handles();
    tasks.spawn(leadership.guard_task("planner", run_planner(n, l)));
    let (n, l) = clone_handles();
    tasks.spawn(leadership.guard_task("ended-jobs", remove_ended_jobs(n, l)));
    let (n, l) = clone_handles();
    tasks.spawn(leadership.guard_task("missing-tasks", watch_missing_tasks(n, l)));
    let (n, l) = clone_handles();
    tasks.spawn(leadership.guard_task("advice", request_advice(n, l)));
    let (n, l) = clone_handles();
    let reconciling = reconcile_instances(n, l, claim, stored.ordered);
    tasks.spawn(leadership.guard_task("instances", reconciling));
    while let Some(ended) = tasks.join_next().await {
        if let Err(error) = ended {
            log_event!(Error, "leading-task-failed", error = error);
        }
    }
}

async fn read_stored(node: &SchedulerNode) -> StoredSchedule {
    let (snapshots, handover, ordered, workers, progress, jobs) = tokio::join!(
        read_with_retries(node, "held", || node.kv.read_all(WORKER_SNAPSHOTS_PREFIX)),
        read_with_retries(node, "hand-over", || read_optional(node, HANDOVER_KEY)),
        read_with_retries(node, "ordered", || read_optional(
            node,
            ORDERED_INSTANCES_KEY
        )),
        read_with_retries(node, "workers", || node.kv.read_all(WORKER_PREFIX)),
        read_with_retries(node, "progress", || node.kv.read_all(PROGRESS_PREFIX)),
        read_with_retries(node, "jobs", || node.kv.read_all(JOB_PREFIX)),
    );
    let mut snapshot_rows = snapshots.rows.iter();
    let has_unsharded_snapshots = snapshot_rows.any(|row| row.key == WORKER_SNAPSHOTS_PREFIX);
    let snapshots = snapshots
        .rows
        .iter()
        .filter_map(parse_record::<Vec<WorkerSnapshot>>);
    let progress = progress.rows.iter().filter_map(|row| {
        let name = JobName::try_from(row.key.strip_prefix(PROGRESS_PREFIX)?).ok()?;
        Some((name, parse_record(row)?))
    });
    StoredSchedule {
        snapshots: snapshots.flatten().collect(),
        has_unsharded_snapshots,
        handover: handover.and_then(|row| parse_record(&row)),
        ordered: ordered
            .and_then(|row| parse_record(&row))
            .unwrap_or_default(),
        workers,
        progress: progress.collect(),
        jobs,
    }
}

async fn read_optional(node: &SchedulerNode, key: &str) -> Result<Option<KvRow>, KvFault> {
    match node.kv.read(key).await {
        Ok(row) => Ok(Some(row)),
        Err(KvFault::KeyNotFound) => Ok(None),
        Err(fault) => Err(fault),
    }
}

/// Repeats a read until it succeeds.
async fn read_with_retries<T, F: Future<Output = Result<T, KvFault>>>(
    node: &SchedulerNode,
    what: &str,
    read: impl Fn() -> F,
) -> T {
    loop {
        match read().await {
            Ok(read) => return read,
            Err(fault) => {
                log_event!(Warn, "takeover-read-failed", what = what, error = fault);
                node.metrics.count_retry("takeover-read");
                tokio::time::sleep(jittered_pause(READ_RETRY_PAUSE)).await;
            }
        }
    }
}

/// Decodes a record that an entry stored. Logs one that can't be decoded and returns `None`.
pub(super) fn parse_record<T: serde::de::DeserializeOwned>(row: &KvRow) -> Option<T> {
    serde_json::from_slice(&row.value)
        .inspect_err(|error| log_event!(Error, "record-unreadable", key = row.key, error = error))
        .ok()
}

fn restore(
    node: &SchedulerNode,
    leadership: &Leadership,
    stored: &StoredSchedule,
    claim: OwnerClaim,
    handed_over: Option<&HandoverRecord>,
) {
    let is_first_term = claim.term == 1;
    let now_ms = uptime_ms();
    let lease_ms = millis(WORKER_LEASE.min(node.settings.worker_lease_max));
    let lease_left_ms = lease_ms + lease_ms / 50 + ORPHAN_MARGIN_MS;
    let orphans_until_ms = match handed_over {
        _ if is_first_term => 0,
        Some(handed_over) => now_ms + lease_left_ms.max(handed_over.orphans_left_ms),
        None => now_ms + millis(AUTHORITY_OVERLAP) + lease_left_ms,
    };
    let mut schedule = FleetSchedule::new(OrderRule::default(), lease_ms, orphans_until_ms)
        .with_longest_lease(millis(node.settings.worker_lease_max));
    if let Some(table) = node.current_table() {
        schedule.set_table(&table);
    }
    let run_base = if is_first_term {
        0
    } else {
        claim.term * RUNS_PER_TERM
    };
    apply_job_rows(
        &mut schedule,
        &stored.jobs.rows,
        &stored.progress,
        run_base,
        now_ms,
        unix_millis(),
    );
    for snapshot in &stored.snapshots {
        log_restored(snapshot);
        schedule.restore_worker(snapshot.clone(), now_ms);
    }
    schedule.restore_attempts(now_ms);
    apply_worker_rows(&mut schedule, &stored.workers);
    *lock(&leadership.schedule) = schedule;
}

/// Logs the runs that a snapshot lists on a worker that the earlier owner could not reach.
fn log_restored(snapshot: &WorkerSnapshot) {
    let Some(unreachable) = &snapshot.unreachable else {
        return;
    };
    for runs in run_lists(&unreachable.runs) {
        log_event!(
            Info,
            "runs-restored",
            worker = snapshot.listed.name,
            runs = runs,
            lease_left_ms = unreachable.lease_left_ms
        );
    }
}

async fn run_planner(node: Arc<SchedulerNode>, leadership: Arc<Leadership>) {
    let mut interval = node.timer.interval(TICK_PERIOD);
    let mut took = Duration::ZERO;
    loop {
        let ticked = tokio::select! {
            () = leadership.plan_notify.notified() => false,
            () = interval.tick() => true,
        };
        if !ticked {
            tokio::time::sleep(PLAN_PAUSE.max(took * PLAN_PAUSE_FACTOR)).await;
        }
        if !leadership.has_authority() {
            continue;
        }
        let began = Instant::now();
        let now_ms = uptime_ms();
        let sole_owner_until_ms = leadership.sole_owner_until_ms();
        let (orders, dropped, notices, run_notices, has_planned) = {
            let mut schedule = lock(&leadership.schedule);
            let mut orders = if ticked {
                schedule.tick(now_ms, now_ms < sole_owner_until_ms)
            } else {
                Vec::new()
            };
            orders.extend(schedule.plan_starts(now_ms, unix_millis(), sole_owner_until_ms));
            let dropped = schedule.take_dropped_runs();
            let notices = schedule.take_crash_notices();
            let run_notices = schedule.take_run_notices();
            let has_planned = schedule.has_planned_starts();
            (orders, dropped, notices, run_notices, has_planned)
        };
        leadership.dispatch(orders);
        took = began.elapsed();
        log_dropped(&dropped);
        log_crash_notices(&node, &notices);
        log_run_notices(&node, &run_notices);
        if has_planned || !notices.is_empty() {
            leadership.record_notify.notify_one();
        }
    }
}

async fn remove_ended_jobs(node: Arc<SchedulerNode>, leadership: Arc<Leadership>) {
    let mut interval = node.timer.interval(REMOVAL_PERIOD);
    let retention_ms = millis(node.settings.status_retention);
    loop {
        interval.tick().await;
        let removed = lock(&leadership.schedule)
            .expire_ended_jobs(retention_ms * RETENTION_FACTOR, unix_millis());
        super::progress_recorder::remove_jobs(&node, &leadership, &removed).await;
    }
}
