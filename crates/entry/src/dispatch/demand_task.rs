//! Telling other entries what this one's teams would use of each pool.

use {
    super::{dispatch_desk::pump_all, pool_desk::PoolDesk},
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

/// How often demand is told while it is wanted.
const DEMAND_PERIOD: Duration = Duration::from_millis(400);
/// Most teams told in one datagram.
const TEAMS_PER_NOTICE: usize = 40;

/// Starts the task that tells demand.
pub(crate) fn start(node: &Arc<EntryNode>) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let mut interval = node.timer.interval(DEMAND_PERIOD);
        let mut told = FastSet::default();
        loop {
            interval.tick().await;
            tell_demand(&node, &mut told).await;
            pump_all(&node);
        }
    });
}

/// Tells the demand on each pool that is busy here, or that another entry asks about, and
/// once more when it has ended. A pool with slots to spare needs no telling.
async fn tell_demand(node: &Arc<EntryNode>, told: &mut FastSet<PoolName>) {
    let entries = u32::try_from(node.peers.count() + 1).unwrap_or(u32::MAX);
    for (pool, desk) in node.desks.all() {
        let (wanted, asked) = {
            let desk = lock(&desk);
            (desk.wants_demand(entries), desk.is_wanted())
        };
        let had = told.remove(&pool);
        if !wanted && !asked && !had {
            continue;
        }
        if wanted || asked {
            told.insert(pool.clone());
        }
        let mut teams = demand_of(node, &desk);
        largest_first(&mut teams);
        peers::tell_all(
            node,
            PeerNotice::Demand {
                pool,
                wanted,
                teams,
            },
        )
        .await;
    }
}

/// This entry's demand on a pool, and its idle permits of teams wanted elsewhere.
fn demand_of(node: &EntryNode, desk: &Mutex<PoolDesk>) -> Vec<PoolDemand> {
    let desk = lock(desk);
    let mut demand: FastMap<TeamName, u32> = desk
        .teams_elsewhere()
        .into_iter()
        .map(|team| (team, 0))
        .collect();
    demand.extend(
        desk.own_demand()
            .into_iter()
            .map(|own| (own.team, own.demand)),
    );
    drop(desk);
    let teams = demand.into_iter().map(|(team, demand)| PoolDemand {
        idle: node.permits.spare(&team),
        team,
        demand,
    });
    teams.filter(|team| team.demand + team.idle > 0).collect()
}

fn largest_first(teams: &mut Vec<PoolDemand>) {
    teams.sort_by_key(|demand| std::cmp::Reverse(demand.demand));
    teams.truncate(TEAMS_PER_NOTICE);
}
