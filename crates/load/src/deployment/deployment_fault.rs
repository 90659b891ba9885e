//! Errors of starting, controlling and running a deployment.

use {
    dotterelshore_domain::names::NameFault,
    dotterelshore_wire::{http_client::HttpFault, operator_client::OperatorFault},
    snafu::Snafu,
};

/// Error of starting, controlling or running a deployment.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DeploymentFault {
    /// A system call failed.
    #[snafu(display("{operation}: {source}"))]
    System {
        /// The attempted operation.
        operation: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A name is invalid.
    #[snafu(transparent)]
    Name {
        /// The error of the name.
        source: NameFault,
    },
    /// An operator's call to an entry failed.
    #[snafu(transparent)]
    Operator {
        /// The error of the call.
        source: OperatorFault,
    },
    /// A control call failed.
    #[snafu(transparent)]
    Control {
        /// The error of the call.
        source: HttpFault,
    },
    /// A wait timed out, a task failed or an argument is unknown.
    #[snafu(display("{message}"))]
    Failed {
        /// Description of the failure.
        message: String,
    },
}
