//! A whole deployment as separate processes on loopback.

mod child_process;
mod control_link;
mod deployment_fault;
mod deployment_set_up;
mod deployment_shape;
mod fault_hooks;
mod link_relay;
mod port_plan;
mod running_deployment;

pub use {
    child_process::{ChildProcess, ProcessUsage, program_folder},
    deployment_fault::DeploymentFault,
    deployment_shape::{DeploymentShape, ShapePool, ShapeTeam},
    link_relay::{LinkRelay, RelayGate},
    running_deployment::{DeploymentOptions, DeploymentView, RunningDeployment},
};
