//! Parses the arguments and runs the command.

use {
    super::{
        ctl_args::{CtlArgs, CtlCommand},
        ctl_fault::CtlFault,
    },
    crate::{
        commands::{self, CommandContext},
        output::Printer,
    },
    clap::Parser,
    dotterelshore_wire::operator_client::OperatorClient,
    std::time::Duration,
};

/// Runs the command given on the command line.
///
/// # Errors
///
/// Fails if the runtime does not start or the command fails.
pub(crate) fn run() -> Result<(), CtlFault> {
    let args = CtlArgs::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| CtlFault::File {
            subject: "can't start the runtime".to_owned(),
            source,
        })?;
    runtime.block_on(dispatch(args))
}

async fn dispatch(args: CtlArgs) -> Result<(), CtlFault> {
    let context = CommandContext {
        client: OperatorClient::new(args.entry, args.operator_token),
        author: args.author,
        printer: Printer::new(args.json),
    };
    match args.command {
        CtlCommand::Check(declaration) => commands::check(&context, &declaration.file),
        CtlCommand::Diff(declaration) => commands::diff(&context, &declaration.file).await,
        CtlCommand::Apply {
            declaration,
            wait,
            wait_s,
        } => {
            let wait = wait.then(|| Duration::from_secs(wait_s));
            commands::apply(&context, &declaration.file, wait).await
        }
        CtlCommand::Show { out } => commands::show(&context, out.as_deref()).await,
        CtlCommand::History => commands::history(&context).await,
        CtlCommand::Status => commands::status(&context).await,
        CtlCommand::Keys(command) => commands::keys(&context, command).await,
        CtlCommand::Instances(command) => commands::instances(&context, command).await,
        CtlCommand::Waves(command) => commands::waves(&context, command).await,
    }
}
