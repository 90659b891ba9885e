//! A whole deployment as separate processes on loopback.

mod child_process;
mod deployment_shape;
mod link_relay;
mod running_deployment;

pub use {
    child_process::{ChildProcess, ProcessUsage},
    deployment_shape::{DeploymentShape, ShapePool, ShapeTeam},
    link_relay::{LinkRelay, RelayGate},
    running_deployment::{DeploymentFault, DeploymentOptions, DeploymentView, RunningDeployment},
};
