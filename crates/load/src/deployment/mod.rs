//! A complete deployment of separate processes on loopback.

mod child_process;
mod control_client;
mod deployment_fault;
mod deployment_set_up;
mod deployment_shape;
mod fault_injection;
mod link_proxy;
mod port_layout;
mod running_deployment;

pub use {
    child_process::{ChildProcess, ProcessUsage, program_folder},
    deployment_fault::DeploymentFault,
    deployment_shape::{DeploymentShape, ShapePool, ShapeTeam},
    link_proxy::{LinkProxy, ProxySwitch},
    running_deployment::{DeploymentOptions, DeploymentView, RunningDeployment},
};
