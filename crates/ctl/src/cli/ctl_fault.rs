//! Why a command failed.

use {
    dotterelshore_domain::names::NameFault,
    dotterelshore_wire::{declaration::DeclarationFault, operator_client::OperatorFault},
    snafu::Snafu,
};

/// Why a command failed.
#[derive(Debug, Snafu)]
pub(crate) enum CtlFault {
    /// An entry refused, or none answered.
    #[snafu(transparent)]
    Operator {
        /// What it said.
        source: OperatorFault,
    },
    /// The declaration has faults.
    #[snafu(display("the declaration has {} faults:\n{}", faults.len(), listed(faults)))]
    Declaration {
        /// Every fault.
        faults: Vec<DeclarationFault>,
    },
    /// A name is none.
    #[snafu(transparent)]
    Name {
        /// Which.
        source: NameFault,
    },
    /// A file can't be read or written.
    #[snafu(display("{what}: {source}"))]
    File {
        /// Which.
        what: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// A revision was recorded and is not in force everywhere yet.
    #[snafu(display(
        "revision {revision} is recorded, and not in force yet at: {}; run 'show' later, it can't be lost",
        awaiting.join(", ")
    ))]
    Awaiting {
        /// The revision.
        revision: u64,
        /// The entries waited for.
        awaiting: Vec<String>,
    },
    /// Something asked for does not exist.
    #[snafu(display("{detail}"))]
    Missing {
        /// What, and what to do.
        detail: String,
    },
}

fn listed(faults: &[DeclarationFault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
    lines.join("\n")
}
