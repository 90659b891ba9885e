//! A team's permit and a target's slot, held until their run is confirmed ended.

use {
    super::{
        pool_scheduler::{SlotGrant, TargetEndpoint},
        scheduler_registry::grant_slots,
        target_load::TargetOutcome,
    },
    crate::node::{EntryNode, lock},
    dotterelshore_domain::names::{PoolName, TeamName},
    std::{sync::Arc, time::Instant},
};

/// Owns a granted permit and slot, and returns both when it is dropped.
///
/// It must be kept until the complete answer has arrived or the run is confirmed ended:
/// returning the permit earlier would let the team exceed its ceiling.
#[derive(Debug)]
pub(crate) struct RunGrant {
    node: Arc<EntryNode>,
    pool: PoolName,
    grant: SlotGrant,
    granted_at: Instant,
    abandoned: bool,
}

impl RunGrant {
    /// Takes ownership of a granted permit and slot.
    pub(crate) fn new(node: &Arc<EntryNode>, pool: PoolName, grant: SlotGrant) -> Self {
        Self {
            node: Arc::clone(node),
            pool,
            grant,
            granted_at: Instant::now(),
            abandoned: false,
        }
    }

    pub(crate) fn endpoint(&self) -> &TargetEndpoint {
        &self.grant.endpoint
    }

    pub(crate) fn team(&self) -> &TeamName {
        &self.grant.team
    }

    /// Records the outcome of an exchange with the target.
    pub(crate) fn record_outcome(&self, outcome: TargetOutcome) {
        if let Some(scheduler) = self.node.schedulers.get(&self.pool) {
            lock(&scheduler).record_outcome(&self.grant.endpoint.name, outcome);
        }
    }

    /// Frees the slot but keeps the permit in use, because the run continues without this entry.
    ///
    /// The permit is not used again by this incarnation of the entry.
    pub(crate) fn abandon(mut self) {
        self.abandoned = true;
    }

    /// Moves the grant to another target, and returns whether one was available.
    ///
    /// The current target must have refused the run or not have received it.
    pub(crate) fn reassign(&mut self) -> bool {
        let Some(scheduler) = self.node.schedulers.get(&self.pool) else {
            return false;
        };
        let endpoint = lock(&scheduler).reassign(&self.grant.endpoint);
        let found = endpoint.is_some();
        if let Some(endpoint) = endpoint {
            self.grant.endpoint = endpoint;
        }
        found
    }
}

impl Drop for RunGrant {
    fn drop(&mut self) {
        let slot_time = self.granted_at.elapsed();
        if let Some(scheduler) = self.node.schedulers.get(&self.pool) {
            lock(&scheduler).end_run(&self.grant, slot_time);
        }
        if self.abandoned {
            return;
        }
        self.node.permits.end_run(&self.grant.team);
        self.node
            .schedulers
            .record_usage(&self.grant.team, slot_time);
        grant_slots(&self.node, &self.pool);
    }
}
