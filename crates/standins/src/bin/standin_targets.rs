//! Stand-ins for targets as a process.

use {
    clap::Parser,
    dotterelshore_standins::{
        history::HistoryWriter,
        targets::{HostOptions, TargetKind, run_host},
    },
    std::{
        net::{IpAddr, SocketAddr},
        path::PathBuf,
        process::ExitCode,
    },
};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Stands in for several targets of one kind.
#[derive(Debug, Parser)]
struct TargetsArgs {
    /// What the targets are.
    #[arg(long, env = "STANDIN_KIND", value_enum)]
    kind: TargetKind,
    /// Their names, separated by commas.
    #[arg(long, env = "STANDIN_NAMES", value_delimiter = ',', required = true)]
    names: Vec<String>,
    /// Address that all listen on.
    #[arg(long, env = "STANDIN_HOST", default_value = "127.0.0.1")]
    host: IpAddr,
    /// Port of the control; the targets take the ports after it.
    #[arg(long, env = "STANDIN_PORT")]
    port: u16,
    /// Slots of an executor, tasks at once of a worker.
    #[arg(long, env = "STANDIN_SLOTS", default_value_t = 8)]
    slots: u32,
    /// File that events are appended to.
    #[arg(long, env = "STANDIN_HISTORY")]
    history: Option<PathBuf>,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    let args = TargetsArgs::parse();
    match launch(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-targets: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn launch(args: TargetsArgs) -> std::io::Result<()> {
    dotterelshore_wire::event_log::start_log(log::LevelFilter::Info);
    let history = HistoryWriter::open(args.history.as_deref())?;
    let control = tokio::net::TcpListener::bind((args.host, args.port)).await?;
    let ports = (1..).map(|offset| SocketAddr::new(args.host, args.port + offset));
    let targets = args.names.into_iter().zip(ports).collect();
    run_host(
        control,
        HostOptions {
            kind: args.kind,
            targets,
            slots: args.slots,
            history,
        },
    )
    .await
}
