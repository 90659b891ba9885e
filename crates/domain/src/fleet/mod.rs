//! Instances, the pools they belong to, and each pool's availability budget.

mod instance_record;
mod pool_ledger;

pub use {
    instance_record::{InstanceRecord, ServiceState},
    pool_ledger::{DisruptionToken, PoolLedger},
};
