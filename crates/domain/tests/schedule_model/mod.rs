//! A fleet in virtual time: model workers, a network, a store and a succession of owners, each
//! with a real schedule.

mod fault_plan;
mod fleet_model;
mod instance_orders;
mod job_source;
mod lasting_rule;
mod owner_planning;
mod owner_process;
mod owner_storage;
mod ownership;
mod run_oracle;
mod sharded_storage;
mod store_model;
mod takeover;
mod worker_calls;
mod worker_process;
mod worker_tasks;

pub(crate) use fleet_model::{FaultProfile, FleetModel};
