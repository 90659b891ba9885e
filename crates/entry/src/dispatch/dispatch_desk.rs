//! All pools in one entry.

use {
    super::{
        pool_desk::{DeskPolicy, PoolDesk, TargetSeat, TurnSender},
        run_turn::RunTurn,
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

/// Part of the time until its deadline that a request may be expected to wait; the rest is
/// for its run.
const WAIT_PART_MAX: f64 = 0.5;
/// When to try again after a refusal for want of room.
const ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How often the end of all runs is looked for on shutdown.
const END_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// What a team has used in this entry.
#[derive(Debug, Clone, Copy, Default)]
struct TeamTally {
    used: Duration,
    ended: u64,
    late: u64,
}

/// All pools in one entry.
#[derive(Debug)]
pub(crate) struct DispatchDesk {
    executor_policy: DeskPolicy,
    worker_policy: DeskPolicy,
    pools: Mutex<FastMap<PoolName, Arc<Mutex<PoolDesk>>>>,
    tallies: Mutex<FastMap<TeamName, TeamTally>>,
    pub(crate) demand_changed: Notify,
}

impl DispatchDesk {
    /// No pools yet.
    pub(crate) fn new(settings: &EntrySettings) -> Self {
        let policy = |slots| DeskPolicy {
            order: settings.line_order,
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

    /// The desk of a pool that is known.
    pub(crate) fn known(&self, pool: &PoolName) -> Option<Arc<Mutex<PoolDesk>>> {
        lock(&self.pools).get(pool).map(Arc::clone)
    }

    /// The desk of a pool, made where there is none.
    pub(crate) fn desk(&self, pool: &PoolName, kind: TargetKind) -> Arc<Mutex<PoolDesk>> {
        let mut pools = lock(&self.pools);
        if let Some(desk) = pools.get(pool) {
            return Arc::clone(desk);
        }
        let policy = match kind {
            TargetKind::Executor => self.executor_policy.clone(),
            TargetKind::Worker => self.worker_policy.clone(),
        };
        let desk = Arc::new(Mutex::new(PoolDesk::new(policy)));
        pools.insert(pool.clone(), Arc::clone(&desk));
        desk
    }

    /// Every pool with its desk.
    pub(crate) fn all(&self) -> Vec<(PoolName, Arc<Mutex<PoolDesk>>)> {
        lock(&self.pools)
            .iter()
            .map(|(pool, desk)| (pool.clone(), Arc::clone(desk)))
            .collect()
    }

    /// Takes over which targets of a pool take work.
    pub(crate) fn set_seats(
        &self,
        pool: &PoolName,
        kind: TargetKind,
        seats: Vec<TargetSeat>,
        max_shunned: usize,
    ) {
        lock(&self.desk(pool, kind)).set_seats(seats, max_shunned);
    }

    /// Runs that have not ended.
    pub(crate) fn running(&self) -> u32 {
        self.all()
            .iter()
            .map(|(_, desk)| lock(desk).running_total())
            .sum()
    }

    /// Requests and jobs that wait.
    pub(crate) fn waiting(&self) -> u32 {
        self.all()
            .iter()
            .map(|(_, desk)| lock(desk).wait_queue.waiting())
            .sum()
    }

    /// Runs on a target that have not ended.
    pub(crate) fn running_on(&self, target: &InstanceName) -> u32 {
        self.all()
            .iter()
            .map(|(_, desk)| lock(desk).running_on(target))
            .sum()
    }

    /// A team's waiting, over all pools.
    pub(crate) fn waiting_of(&self, team: &TeamName) -> u32 {
        self.all()
            .iter()
            .map(|(_, desk)| lock(desk).wait_queue.waiting_of(team))
            .sum()
    }

    /// How many of each team wait and could go at once if permits were no matter.
    pub(crate) fn useful_waiting(&self) -> FastMap<TeamName, u32> {
        let mut teams: FastMap<TeamName, u32> = FastMap::default();
        for (_, desk) in self.all() {
            for (team, waiting) in lock(&desk).useful_waiting() {
                *teams.entry(team).or_default() += waiting;
            }
        }
        teams
    }

    /// Resolves when nothing runs any more.
    pub(crate) async fn all_ended(&self) {
        while self.running() > 0 {
            tokio::time::sleep(END_CHECK_PERIOD).await;
        }
    }

    /// Notes what a run cost a team.
    pub(crate) fn note_used(&self, team: &TeamName, used: Duration) {
        let mut tallies = lock(&self.tallies);
        let tally = tallies.entry(team.clone()).or_default();
        tally.used += used;
        tally.ended += 1;
    }

    /// Notes a refusal for lateness.
    pub(crate) fn note_late(&self, team: &TeamName) {
        lock(&self.tallies).entry(team.clone()).or_default().late += 1;
    }

    /// What each team has here.
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

/// Grants turns of a pool as long as somebody may go.
pub(crate) fn pump(node: &Arc<EntryNode>, pool: &PoolName) {
    let Some(desk) = node.desks.known(pool) else {
        return;
    };
    loop {
        let granted = lock(&desk).grant(&node.permits);
        let Some((waiter, turn)) = granted else {
            return;
        };
        let turn = RunTurn::new(node, pool.clone(), turn);
        // One that nobody takes any more is dropped here, and so given back.
        drop(waiter.send(turn));
    }
}

/// Grants turns of every pool as long as somebody may go.
pub(crate) fn pump_all(node: &Arc<EntryNode>) {
    for (pool, _) in node.desks.all() {
        pump(node, &pool);
    }
}

/// A place in a line, left when it is dropped.
struct LineSeat<'a> {
    desk: &'a Mutex<PoolDesk>,
    team: &'a TeamName,
    number: u64,
}

impl Drop for LineSeat<'_> {
    fn drop(&mut self) {
        lock(self.desk).wait_queue.remove(self.team, self.number);
    }
}

/// The pool whose line work of a queue joins: its own, or the one it spills to while its
/// own has no room and that one has.
pub(crate) fn choose_pool<'a>(
    node: &EntryNode,
    queue: &'a QueueRow,
    kind: TargetKind,
) -> &'a PoolName {
    let Some(spill) = queue.spill.as_ref().filter(|_| node.settings.spill) else {
        return &queue.pool;
    };
    let own_room = lock(&node.desks.desk(&queue.pool, kind)).has_room();
    if !own_room && lock(&node.desks.desk(spill, kind)).has_room() {
        return spill;
    }
    &queue.pool
}

/// Waits in a line of the queue for a turn, no longer than until `deadline`.
///
/// A job passes `None` for the deadline and waits as long as it takes.
pub(crate) async fn await_turn(
    node: &Arc<EntryNode>,
    queue: &QueueRow,
    pool: &PoolName,
    team: &TeamRow,
    kind: TargetKind,
    deadline: Option<Instant>,
) -> Result<RunTurn, Refusal> {
    let desk = node.desks.desk(pool, kind);
    let (waiter, granted) = oneshot::channel();
    let number = join_line(node, &desk, queue, team, deadline, waiter)?;
    let _seat = LineSeat {
        desk: &desk,
        team: &team.name,
        number,
    };
    node.permits.note_arrival(&team.name);
    pump(node, pool);
    node.desks.demand_changed.notify_one();
    let granted = match deadline {
        Some(deadline) => {
            // A turn so late that the run would be cut off helps nobody.
            let latest = lock(&desk).latest_start(deadline);
            tokio::time::timeout_at(latest.into(), granted).await
        }
        None => Ok(granted.await),
    };
    match granted {
        Ok(Ok(turn)) => Ok(turn),
        Ok(Err(_)) | Err(_) => Err(late_refusal(node, &desk, &team.name)),
    }
}

fn join_line(
    node: &EntryNode,
    desk: &Mutex<PoolDesk>,
    queue: &QueueRow,
    team: &TeamRow,
    deadline: Option<Instant>,
    waiter: TurnSender,
) -> Result<u64, Refusal> {
    let mut desk = lock(desk);
    desk.set_weight(&team.name, team.weight);
    if let Some(deadline) = deadline.filter(|_| node.settings.early_refusal) {
        let left = deadline.saturating_duration_since(Instant::now());
        let wait = desk.expected_wait(&team.name);
        if wait > left.mul_f64(WAIT_PART_MAX) {
            node.desks.note_late(&team.name);
            let detail = format!(
                "about {} ms of waiting are ahead, and {} ms are left",
                wait.as_millis(),
                left.as_millis()
            );
            return Err(Refusal::not_run(ResultCode::DeadlineTooNear, detail).retry_after(wait));
        }
    }
    let joined = desk.wait_queue.enqueue(
        &team.name,
        team.weight,
        queue.class,
        queue.max_waiting,
        waiter,
    );
    joined.map_err(|refusal| refusal.retry_after(ROOM_RETRY_AFTER))
}

fn late_refusal(node: &EntryNode, desk: &Mutex<PoolDesk>, team: &TeamName) -> Refusal {
    node.desks.note_late(team);
    if lock(desk).seats() == 0 {
        return Refusal::not_run(ResultCode::NoTarget, "no target of the pool is in service")
            .retry_after(ROOM_RETRY_AFTER);
    }
    if !node.permits.has_idle(team) {
        let detail = format!("team '{team}' runs as much as its ceiling allows here");
        return Refusal::not_run(ResultCode::CeilingReached, detail).retry_after(ROOM_RETRY_AFTER);
    }
    Refusal::not_run(
        ResultCode::DeadlinePassed,
        "the deadline passed while it waited",
    )
    .retry_after(ROOM_RETRY_AFTER)
}
