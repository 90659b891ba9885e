//! Errors of commands.

use {
    dotterelshore_domain::names::NameFault,
    dotterelshore_wire::{declaration::DeclarationFault, operator_client::OperatorFault},
    snafu::Snafu,
};

/// Reason why a command failed.
#[derive(Debug, Snafu)]
pub(crate) enum CtlFault {
    /// An entry refused the call, or none answered.
    #[snafu(transparent)]
    Operator {
        /// The refusal or the connection error.
        source: OperatorFault,
    },
    /// The declaration has faults.
    #[snafu(display("the declaration has {} faults:\n{}", faults.len(), fault_lines(faults)))]
    Declaration {
        /// All faults found.
        faults: Vec<DeclarationFault>,
    },
    /// A name is invalid.
    #[snafu(transparent)]
    Name { source: NameFault },
    /// A file can't be read or written.
    #[snafu(display("{subject}: {source}"))]
    File {
        /// The file, or the action that failed.
        subject: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A revision is recorded but not yet in force at every live entry.
    #[snafu(display(
        "revision {revision} is recorded but not yet in force at: {}; it is not lost: check again later with 'show'",
        awaiting.join(", ")
    ))]
    Awaiting {
        revision: u64,
        /// The entries at which it is not in force.
        awaiting: Vec<String>,
    },
    /// A requested key, team or wave does not exist or is ambiguous.
    #[snafu(display("{detail}"))]
    Missing {
        /// What is missing, and how to correct the command.
        detail: String,
    },
}

fn fault_lines(faults: &[DeclarationFault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
    lines.join("\n")
}
