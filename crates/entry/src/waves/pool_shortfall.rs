//! Instances that a pool lacks or that are unavailable, for any cause.

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

/// The instances of a pool that are unavailable, and the number it lacks.
#[derive(Debug, Clone)]
pub(super) struct PoolShortfall {
    /// Instances of the pool that accept no work.
    pub(super) unavailable: Vec<InstanceName>,
    /// Number of instances by which the pool is below its declared size.
    pub(super) missing: u32,
}

/// Returns the shortfall of a pool according to this entry's view of the fleet.
pub(super) fn pool_shortfall(node: &EntryNode, pool: &PoolRow) -> PoolShortfall {
    let records = node.fleet.records_of(&pool.name);
    let present = u32::try_from(records.len()).unwrap_or(u32::MAX);
    let unavailable = records
        .iter()
        .filter(|record| !node.fleet.accepts_work(record));
    PoolShortfall {
        unavailable: unavailable.map(|record| record.name.clone()).collect(),
        missing: pool.size.saturating_sub(present),
    }
}

/// Returns the records of a pool's instances that accept work.
pub(super) fn in_service(node: &EntryNode, pool: &PoolName) -> Vec<InstanceRecord> {
    let records = node.fleet.records_of(pool).into_iter();
    records
        .filter(|record| record.state == ServiceState::InService && node.fleet.accepts_work(record))
        .collect()
}

/// Returns the status of a pool for operators.
pub(crate) fn pool_status(node: &EntryNode, pool: &PoolRow) -> PoolStatus {
    let shortfall = pool_shortfall(node, pool);
    let unique: FastSet<&InstanceName> = shortfall.unavailable.iter().collect();
    PoolStatus {
        pool: pool.name.clone(),
        size: pool.size,
        max_out: pool.max_out,
        in_service: u32::try_from(in_service(node, &pool.name).len()).unwrap_or(u32::MAX),
        out: unique.into_iter().cloned().collect(),
    }
}
