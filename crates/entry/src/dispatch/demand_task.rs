//! Telling other entries what this one's teams would use of each pool.

use {
    super::dispatch_desk::pump_all,
    crate::{
        node::{EntryNode, lock},
        peers,
    },
    dotterelshore_domain::{collections::FastSet, names::PoolName},
    dotterelshore_wire::peer_message::{PeerNotice, TeamDemand},
    std::{sync::Arc, time::Duration},
};

/// How often demand is told while there is any.
const DEMAND_PERIOD: Duration = Duration::from_millis(250);
/// Most teams told in one datagram.
const TEAMS_PER_NOTICE: usize = 40;

/// Starts the task that tells demand.
pub(crate) fn start(node: &Arc<EntryNode>) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let mut feed = node.timer.every(DEMAND_PERIOD);
        let mut told = FastSet::default();
        loop {
            feed.next().await;
            tell_demand(&node, &mut told).await;
            pump_all(&node);
        }
    });
}

/// Tells each pool's demand, and once more when it has ended.
async fn tell_demand(node: &Arc<EntryNode>, told: &mut FastSet<PoolName>) {
    for (pool, desk) in node.desks.all() {
        let mut teams = lock(&desk).own_demand();
        let had = told.contains(&pool);
        if teams.is_empty() && !had {
            continue;
        }
        if teams.is_empty() {
            told.remove(&pool);
        } else {
            told.insert(pool.clone());
        }
        largest_first(&mut teams);
        peers::tell_all(node, PeerNotice::Demand { pool, teams }).await;
    }
}

fn largest_first(teams: &mut Vec<TeamDemand>) {
    teams.sort_by_key(|demand| std::cmp::Reverse(demand.demand));
    teams.truncate(TEAMS_PER_NOTICE);
}
