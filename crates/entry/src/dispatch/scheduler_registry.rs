//! The schedulers of all pools in one entry, and the queues in which work waits for a grant.

use {
    super::{
        pool_scheduler::{GrantSender, PoolScheduler, SchedulerPolicy, TargetEndpoint},
        run_grant::RunGrant,
    },
    crate::{
        cli::EntrySettings,
        node::{EntryNode, lock},
    },
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        collections::FastMap,
        names::{InstanceName, PoolName, TeamName},
        table::{QueueRow, TargetKind, TeamRow},
    },
    dotterelshore_wire::peer_message::TeamUsage,
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::sync::{Notify, oneshot},
};

/// Fraction of the time until its deadline that a request may be expected to wait; the rest
/// is reserved for its run.
const WAIT_FRACTION_MAX: f64 = 0.5;
/// `Retry-After` of a refusal for lack of capacity.
const CAPACITY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Interval at which shutdown checks whether all runs have ended.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Usage counters of a team in this entry since it started.
#[derive(Debug, Clone, Copy, Default)]
struct TeamTally {
    used: Duration,
    ended: u64,
    late: u64,
}

/// The schedulers of all pools in one entry, and the usage of each team.
#[derive(Debug)]
pub(crate) struct SchedulerRegistry {
    executor_policy: SchedulerPolicy,
    worker_policy: SchedulerPolicy,
    pools: Mutex<FastMap<PoolName, Arc<Mutex<PoolScheduler>>>>,
    tallies: Mutex<FastMap<TeamName, TeamTally>>,
    pub(crate) demand_changed: Notify,
}

impl SchedulerRegistry {
    /// Creates a registry without pools.
    pub(crate) fn new(settings: &EntrySettings) -> Self {
        let policy = |slots| SchedulerPolicy {
            discipline: settings.queue_discipline,
            choice: settings.target_choice,
            centre: settings.centre.clone(),
            slots,
        };
        Self {
            executor_policy: policy(settings.executor_slots),
            worker_policy: policy(settings.worker_tasks),
            pools: Mutex::default(),
            tallies: Mutex::default(),
            demand_changed: Notify::new(),
        }
    }

    /// Returns the scheduler of a pool, if it exists.
    pub(crate) fn get(&self, pool: &PoolName) -> Option<Arc<Mutex<PoolScheduler>>> {
        lock(&self.pools).get(pool).map(Arc::clone)
    }

    /// Returns the scheduler of a pool, and creates it if necessary.
    pub(crate) fn get_or_create(
        &self,
        pool: &PoolName,
        kind: TargetKind,
    ) -> Arc<Mutex<PoolScheduler>> {
        let mut pools = lock(&self.pools);
        if let Some(scheduler) = pools.get(pool) {
            return Arc::clone(scheduler);
        }
        let policy = match kind {
            TargetKind::Executor => self.executor_policy.clone(),
            TargetKind::Worker => self.worker_policy.clone(),
        };
        let scheduler = Arc::new(Mutex::new(PoolScheduler::new(policy)));
        pools.insert(pool.clone(), Arc::clone(&scheduler));
        scheduler
    }

    /// Returns every pool with its scheduler.
    pub(crate) fn all(&self) -> Vec<(PoolName, Arc<Mutex<PoolScheduler>>)> {
        lock(&self.pools)
            .iter()
            .map(|(pool, scheduler)| (pool.clone(), Arc::clone(scheduler)))
            .collect()
    }

    /// Replaces the targets of a pool, and sets how many failing ones may be ejected.
    pub(crate) fn set_targets(
        &self,
        pool: &PoolName,
        kind: TargetKind,
        targets: Vec<TargetEndpoint>,
        max_ejected: usize,
    ) {
        lock(&self.get_or_create(pool, kind)).set_targets(targets, max_ejected);
    }

    /// Returns the number of unfinished runs.
    pub(crate) fn running(&self) -> u32 {
        self.all()
            .iter()
            .map(|(_, scheduler)| lock(scheduler).running_total())
            .sum()
    }

    /// Returns the number of requests and jobs that wait for a grant.
    pub(crate) fn waiting(&self) -> u32 {
        self.all()
            .iter()
            .map(|(_, scheduler)| lock(scheduler).wait_queue.waiting())
            .sum()
    }

    /// Returns the number of unfinished runs on a target.
    pub(crate) fn running_on(&self, target: &InstanceName) -> u32 {
        self.all()
            .iter()
            .map(|(_, scheduler)| lock(scheduler).running_on(target))
            .sum()
    }

    /// Returns the number of a team's requests and jobs that wait, over all pools.
    pub(crate) fn waiting_of(&self, team: &TeamName) -> u32 {
        self.all()
            .iter()
            .map(|(_, scheduler)| lock(scheduler).wait_queue.waiting_of(team))
            .sum()
    }

    /// Returns how much waiting work of each team could start now if permits did not limit it.
    pub(crate) fn waiting_within_share(&self) -> FastMap<TeamName, u32> {
        let mut teams: FastMap<TeamName, u32> = FastMap::default();
        for (_, scheduler) in self.all() {
            for (team, waiting) in lock(&scheduler).waiting_within_share() {
                *teams.entry(team).or_default() += waiting;
            }
        }
        teams
    }

    /// Waits until all runs have ended.
    pub(crate) async fn wait_until_idle(&self) {
        while self.running() > 0 {
            tokio::time::sleep(IDLE_CHECK_PERIOD).await;
        }
    }

    /// Adds a finished run to a team's usage.
    pub(crate) fn record_usage(&self, team: &TeamName, used: Duration) {
        let mut tallies = lock(&self.tallies);
        let tally = tallies.entry(team.clone()).or_default();
        tally.used += used;
        tally.ended += 1;
    }

    /// Counts work that was refused because it could not start before its deadline.
    pub(crate) fn record_late(&self, team: &TeamName) {
        lock(&self.tallies).entry(team.clone()).or_default().late += 1;
    }

    /// Returns the permits, runs, waiting work and usage of each team with any of these.
    pub(crate) fn usage(&self, node: &EntryNode) -> Vec<TeamUsage> {
        let tallies = lock(&self.tallies).clone();
        let table = node.table();
        let teams = table.teams.keys();
        let usage = teams.map(|team| {
            let tally = tallies.get(team).copied().unwrap_or_default();
            let (held, running) = node.permits.counts(team);
            TeamUsage {
                team: team.clone(),
                held,
                running,
                waiting: self.waiting_of(team),
                used_ms: u64::try_from(tally.used.as_millis()).unwrap_or(u64::MAX),
                ended: tally.ended,
                late: tally.late,
            }
        });
        usage
            .filter(|usage| usage.held + usage.waiting > 0 || usage.ended + usage.late > 0)
            .collect()
    }
}

/// Grants slots of a pool until no waiter is eligible or no target is free.
pub(crate) fn grant_slots(node: &Arc<EntryNode>, pool: &PoolName) {
    let Some(scheduler) = node.schedulers.get(pool) else {
        return;
    };
    loop {
        let granted = lock(&scheduler).grant_next(&node.permits);
        let Some((waiter, slot)) = granted else {
            return;
        };
        let grant = RunGrant::new(node, pool.clone(), slot);
        // If the waiter is gone, `send` returns the grant, and dropping it returns permit and slot.
        drop(waiter.send(grant));
    }
}

/// Grants slots of every pool until no waiter is eligible or no target is free.
pub(crate) fn grant_all_slots(node: &Arc<EntryNode>) {
    for (pool, _) in node.schedulers.all() {
        grant_slots(node, &pool);
    }
}

/// A waiter's place in a team's queue; dropping it removes the waiter.
struct WaitGuard<'a> {
    scheduler: &'a Mutex<PoolScheduler>,
    team: &'a TeamName,
    number: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        lock(self.scheduler)
            .wait_queue
            .remove(self.team, self.number);
    }
}

/// Chooses the pool that runs work of a queue.
///
/// Returns the pool that the queue spills to if only that pool has capacity, and otherwise the
/// queue's own pool.
pub(crate) fn choose_pool<'a>(
    node: &EntryNode,
    queue: &'a QueueRow,
    kind: TargetKind,
) -> &'a PoolName {
    let Some(spill) = queue.spill.as_ref().filter(|_| node.settings.spill) else {
        return &queue.pool;
    };
    let own_has_capacity = lock(&node.schedulers.get_or_create(&queue.pool, kind)).has_capacity();
    if !own_has_capacity && lock(&node.schedulers.get_or_create(spill, kind)).has_capacity() {
        return spill;
    }
    &queue.pool
}

/// Waits for a grant in a pool, at most until the latest start that can meet `deadline`.
///
/// Jobs pass `None` and wait without limit.
///
/// # Errors
///
/// Refuses if the wait queue is full, or if the work can't start early enough for `deadline`.
pub(crate) async fn await_grant(
    node: &Arc<EntryNode>,
    queue: &QueueRow,
    pool: &PoolName,
    team: &TeamRow,
    kind: TargetKind,
    deadline: Option<Instant>,
) -> Result<RunGrant, Refusal> {
    let scheduler = node.schedulers.get_or_create(pool, kind);
    let (waiter, granted) = oneshot::channel();
    let number = join_queue(node, &scheduler, queue, team, deadline, waiter)?;
    let _guard = WaitGuard {
        scheduler: &scheduler,
        team: &team.name,
        number,
    };
    node.permits.record_arrival(&team.name);
    grant_slots(node, pool);
    node.schedulers.demand_changed.notify_one();
    let granted = match deadline {
        Some(deadline) => {
            // A run that starts later would be cut off by its deadline.
            let latest_start = lock(&scheduler).latest_start(deadline);
            tokio::time::timeout_at(latest_start.into(), granted).await
        }
        None => Ok(granted.await),
    };
    match granted {
        Ok(Ok(grant)) => Ok(grant),
        Ok(Err(_)) | Err(_) => Err(timeout_refusal(node, &scheduler, &team.name)),
    }
}

fn join_queue(
    node: &EntryNode,
    scheduler: &Mutex<PoolScheduler>,
    queue: &QueueRow,
    team: &TeamRow,
    deadline: Option<Instant>,
    waiter: GrantSender,
) -> Result<u64, Refusal> {
    let mut scheduler = lock(scheduler);
    scheduler.set_weight(&team.name, team.weight);
    if let Some(deadline) = deadline.filter(|_| node.settings.early_refusal) {
        let left = deadline.saturating_duration_since(Instant::now());
        let wait = scheduler.expected_wait(&team.name);
        if wait > left.mul_f64(WAIT_FRACTION_MAX) {
            node.schedulers.record_late(&team.name);
            let detail = format!(
                "about {} ms of waiting are ahead, and {} ms are left",
                wait.as_millis(),
                left.as_millis()
            );
            return Err(Refusal::not_run(ResultCode::DeadlineTooNear, detail).retry_after(wait));
        }
    }
    let joined = scheduler.wait_queue.enqueue(
        &team.name,
        team.weight,
        queue.class,
        queue.max_waiting,
        waiter,
    );
    joined.map_err(|refusal| refusal.retry_after(CAPACITY_RETRY_AFTER))
}

fn timeout_refusal(node: &EntryNode, scheduler: &Mutex<PoolScheduler>, team: &TeamName) -> Refusal {
    node.schedulers.record_late(team);
    if lock(scheduler).target_count() == 0 {
        return Refusal::not_run(ResultCode::NoTarget, "no target of the pool is in service")
            .retry_after(CAPACITY_RETRY_AFTER);
    }
    if !node.permits.has_free(team) {
        let detail = format!("team '{team}' runs as much as its ceiling allows here");
        return Refusal::not_run(ResultCode::CeilingReached, detail)
            .retry_after(CAPACITY_RETRY_AFTER);
    }
    Refusal::not_run(
        ResultCode::DeadlinePassed,
        "the deadline passed while it waited",
    )
    .retry_after(CAPACITY_RETRY_AFTER)
}
