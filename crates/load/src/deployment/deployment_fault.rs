//! Why a deployment did not come up, or a call to it failed.

use {
    dotterelshore_domain::names::NameFault,
    dotterelshore_wire::{http_client::HttpFault, operator_client::OperatorFault},
    snafu::Snafu,
};

/// Why a deployment did not come up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DeploymentFault {
    /// The system refused.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What was tried.
        what: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// A name is none.
    #[snafu(transparent)]
    Name {
        /// Which.
        source: NameFault,
    },
    /// An entry refused.
    #[snafu(transparent)]
    Operator {
        /// What it said.
        source: OperatorFault,
    },
    /// A control call failed.
    #[snafu(transparent)]
    Control {
        /// What it said.
        source: HttpFault,
    },
    /// Something did not happen in time.
    #[snafu(display("{what} did not happen in time"))]
    Late {
        /// What.
        what: String,
    },
}
