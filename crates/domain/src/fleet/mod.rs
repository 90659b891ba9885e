//! Instances, their pools, and the availability budget of each pool.

mod instance_record;
mod pool_ledger;

pub use {
    instance_record::{InstanceRecord, ServiceState},
    pool_ledger::{DisruptionToken, PoolLedger},
};
