//! Commands of the operators' tool.

mod declaration_commands;
mod instance_commands;
mod key_commands;
mod status_command;
mod wave_commands;

use {crate::output::Printer, dotterelshore_wire::operator_client::OperatorClient};

pub(crate) use {
    declaration_commands::{apply, check, diff, history, show},
    instance_commands::instances,
    key_commands::keys,
    status_command::status,
    wave_commands::waves,
};

/// Client, author and printer that a command uses.
#[derive(Debug)]
pub(crate) struct CommandContext {
    pub(crate) client: OperatorClient,
    pub(crate) author: String,
    pub(crate) printer: Printer,
}
