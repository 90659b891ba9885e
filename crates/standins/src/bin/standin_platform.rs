//! Runs the platform stand-in as a process.

use {
    clap::Parser,
    dotterelshore_standins::{
        history::HistoryWriter,
        platform::{PlatformOptions, run_platform},
    },
    std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration},
};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Stand-in for the platform: key-value store, instance list, reboot.
#[derive(Debug, Parser)]
struct PlatformArgs {
    /// Address to listen on.
    #[arg(long, env = "STANDIN_LISTEN", default_value = "127.0.0.1:4700")]
    listen: SocketAddr,
    /// Time that an instance is down during a reboot, in milliseconds.
    #[arg(long, env = "STANDIN_REBOOT_MS", default_value_t = 1000)]
    reboot_ms: u64,
    /// File to append the event history to.
    #[arg(long, env = "STANDIN_HISTORY")]
    history: Option<PathBuf>,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    let args = PlatformArgs::parse();
    match launch(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-platform: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn launch(args: PlatformArgs) -> std::io::Result<()> {
    dotterelshore_wire::event_log::start_log(log::LevelFilter::Info);
    let history = HistoryWriter::open(args.history.as_deref())?;
    let listener = tokio::net::TcpListener::bind(args.listen).await?;
    run_platform(
        listener,
        PlatformOptions {
            reboot_duration: Duration::from_millis(args.reboot_ms),
            history,
        },
    )
    .await;
    Ok(())
}
