//! What of a pool is out, for any cause.

use {
    crate::node::EntryNode,
    dotterelshore_domain::{
        collections::FastSet,
        fleet::{InstanceRecord, ServiceState},
        names::{InstanceName, PoolName},
        table::PoolRow,
    },
    dotterelshore_wire::operator_message::PoolStatus,
};

/// What of a pool is out.
#[derive(Debug, Clone)]
pub(super) struct PoolOut {
    /// Members that take no work.
    pub(super) members: Vec<InstanceName>,
    /// How many the pool lacks of its size.
    pub(super) missing: u32,
}

/// What of a pool is out, as far as this entry knows.
pub(super) fn pool_out(node: &EntryNode, pool: &PoolRow) -> PoolOut {
    let members = node.fleet.members_of(&pool.name);
    let present = u32::try_from(members.len()).unwrap_or(u32::MAX);
    let out = members
        .iter()
        .filter(|record| !node.fleet.takes_work(record));
    PoolOut {
        members: out.map(|record| record.name.clone()).collect(),
        missing: pool.size.saturating_sub(present),
    }
}

/// The members of a pool that take work.
pub(super) fn in_service(node: &EntryNode, pool: &PoolName) -> Vec<InstanceRecord> {
    let members = node.fleet.members_of(pool).into_iter();
    members
        .filter(|record| record.state == ServiceState::InService && node.fleet.takes_work(record))
        .collect()
}

/// A pool as an operator asks about it.
pub(crate) fn pool_status(node: &EntryNode, pool: &PoolRow) -> PoolStatus {
    let out = pool_out(node, pool);
    let unique: FastSet<&InstanceName> = out.members.iter().collect();
    PoolStatus {
        pool: pool.name.clone(),
        size: pool.size,
        max_out: pool.max_out,
        in_service: u32::try_from(in_service(node, &pool.name).len()).unwrap_or(u32::MAX),
        out: unique.into_iter().cloned().collect(),
    }
}
