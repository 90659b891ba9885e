//! Runs stand-ins for several targets in one process.

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

/// Stand-ins for several targets of one kind.
#[derive(Debug, Parser)]
struct TargetsArgs {
    /// Kind of the targets.
    #[arg(long, env = "STANDIN_KIND", value_enum)]
    kind: TargetKind,
    /// Names of the targets, separated by commas.
    #[arg(long, env = "STANDIN_NAMES", value_delimiter = ',', required = true)]
    names: Vec<String>,
    /// IP address that all targets listen on.
    #[arg(long, env = "STANDIN_HOST", default_value = "127.0.0.1")]
    host: IpAddr,
    /// Port of the control interface; the targets listen on the ports after it.
    #[arg(long, env = "STANDIN_PORT")]
    port: u16,
    /// Slots of each executor, or concurrent tasks of each worker.
    #[arg(long, env = "STANDIN_SLOTS", default_value_t = 8)]
    slots: u32,
    /// File to append the event history to.
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
