//! Reports this entry's demand on each pool to its peers.

use {
    super::{pool_scheduler::PoolScheduler, scheduler_registry::grant_all_slots},
    crate::{
        node::{EntryNode, lock},
        peers,
    },
    dotterelshore_domain::{
        collections::{FastMap, FastSet},
        names::{PoolName, TeamName},
    },
    dotterelshore_wire::peer_message::{PeerNotice, PoolDemand},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Interval between reports.
const DEMAND_PERIOD: Duration = Duration::from_millis(400);
/// Largest number of teams reported in one datagram.
const TEAMS_PER_NOTICE_MAX: usize = 40;

/// Starts the task that reports demand.
pub(crate) fn start(node: &Arc<EntryNode>) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let mut interval = node.timer.interval(DEMAND_PERIOD);
        let mut announced = FastSet::default();
        loop {
            interval.tick().await;
            send_demand(&node, &mut announced).await;
            grant_all_slots(&node);
        }
    });
}

/// Sends the demand on each pool that is busy here or that a peer asks about.
///
/// It is sent once more when neither holds any longer, so that peers learn of the drop. A pool
/// with slots to spare needs no reports. `announced` holds the pools sent in the previous round.
async fn send_demand(node: &Arc<EntryNode>, announced: &mut FastSet<PoolName>) {
    let entries = u32::try_from(node.peers.count() + 1).unwrap_or(u32::MAX);
    for (pool, scheduler) in node.schedulers.all() {
        let (needs_demand, requested) = {
            let scheduler = lock(&scheduler);
            (
                scheduler.needs_peer_demand(entries),
                scheduler.has_peer_interest(),
            )
        };
        let was_announced = announced.remove(&pool);
        if !needs_demand && !requested && !was_announced {
            continue;
        }
        if needs_demand || requested {
            announced.insert(pool.clone());
        }
        let mut teams = demand_of(node, &scheduler);
        keep_largest(&mut teams);
        peers::broadcast(
            node,
            PeerNotice::Demand {
                pool,
                wanted: needs_demand,
                teams,
            },
        )
        .await;
    }
}

/// Returns this entry's demand on a pool and its idle permits, by team.
///
/// Teams with demand only at peers are included, so that the peers learn of idle permits here.
fn demand_of(node: &EntryNode, scheduler: &Mutex<PoolScheduler>) -> Vec<PoolDemand> {
    let scheduler = lock(scheduler);
    let mut demand: FastMap<TeamName, u32> = scheduler
        .peer_teams()
        .into_iter()
        .map(|team| (team, 0))
        .collect();
    demand.extend(
        scheduler
            .own_demand()
            .into_iter()
            .map(|own_demand| (own_demand.team, own_demand.count)),
    );
    drop(scheduler);
    let teams = demand.into_iter().map(|(team, demand)| PoolDemand {
        idle: node.permits.spare(&team),
        team,
        demand,
    });
    teams
        .filter(|demand| demand.demand + demand.idle > 0)
        .collect()
}

fn keep_largest(teams: &mut Vec<PoolDemand>) {
    teams.sort_by_key(|demand| std::cmp::Reverse(demand.demand));
    teams.truncate(TEAMS_PER_NOTICE_MAX);
}
