//! The command line, process start and graceful shutdown.

use {
    crate::{
        explain::{ExplainFault, explain, first_own_ms, format_line},
        front,
        log_pipe::{LogCounts, start_log},
        metrics,
        node::SchedulerNode,
        owner, peers, store_path, table_follow, work_meter,
    },
    clap::{Parser, Subcommand},
    dotterelshore_platform::{NodeSettings, SettingsFault, read_settings},
    dotterelshore_wire::{
        http_server::serve,
        log_event,
        server_process::{listen, wait_for_shutdown},
    },
    simplelog::LevelFilter,
    snafu::{ResultExt, Snafu},
    std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::watch,
    },
};

/// Longest time for writing the last log lines: two pauses of the writer, and a margin.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(250);
/// How long connections are accepted after SIGTERM: the balancer checks readiness once a second
/// and removes an entry after its second failed check.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace time that is reserved for the steps after the server has closed.
const GRACE_RESERVE: Duration = Duration::from_millis(700);

/// Schedules teams' jobs on the workers of the platform.
#[derive(Debug, Parser)]
#[command(version)]
struct SchedulerArgs {
    /// Least severe level that is logged: error, warn, info or debug.
    #[arg(long, env = "DOTTERELSHORE_LOG", default_value = "info")]
    log: LevelFilter,
    #[command(subcommand)]
    command: Option<SchedulerCommand>,
}

#[derive(Debug, Subcommand)]
enum SchedulerCommand {
    /// Check a settings file and list every error in it.
    CheckSettings {
        /// The settings file.
        file: PathBuf,
    },
    /// Print the timeline of a request or job from the logs of several processes.
    Explain {
        /// Identifier of the request or job.
        id: String,
        /// Log files.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// Print one JSON object per line.
        #[arg(long)]
        json: bool,
    },
}

/// Why the process did not start.
#[derive(Debug, Snafu)]
pub(crate) enum LaunchFault {
    /// The settings are invalid.
    #[snafu(transparent)]
    Settings {
        /// The cause.
        source: SettingsFault,
    },
    /// The timeline could not be printed.
    #[snafu(transparent)]
    Explain {
        /// The cause.
        source: ExplainFault,
    },
    /// The process can't listen on an address.
    #[snafu(display("can't listen on {address}: {source}; is another process running there?"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The runtime did not start.
    #[snafu(display("can't start: {source}"))]
    Start {
        /// The system's error.
        source: std::io::Error,
    },
}

/// Runs the subcommand, or without one the process until SIGTERM or SIGINT.
pub(crate) fn run() -> Result<(), LaunchFault> {
    let args = SchedulerArgs::parse();
    match args.command {
        Some(SchedulerCommand::CheckSettings { file }) => {
            let settings = NodeSettings::read(&file)?;
            println!("{}: valid settings for {}", file.display(), settings.name);
            return Ok(());
        }
        Some(SchedulerCommand::Explain { id, logs, json }) => {
            return print_timeline(&id, &logs, json);
        }
        None => {}
    }
    let log_counts = start_log(args.log);
    let settings = read_settings()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    runtime.block_on(run_node(settings, log_counts))
}

fn print_timeline(id: &str, logs: &[PathBuf], json: bool) -> Result<(), LaunchFault> {
    let lines = explain(id, logs)?;
    let first_own_ms = first_own_ms(&lines);
    for line in &lines {
        match serde_json::to_string(line) {
            Ok(object) if json => println!("{object}"),
            _ => println!("{}", format_line(line, first_own_ms)),
        }
    }
    Ok(())
}

async fn run_node(settings: NodeSettings, log_counts: LogCounts) -> Result<(), LaunchFault> {
    let caller_listener = listen(settings.front).context(ListenSnafu {
        address: settings.front,
    })?;
    let readiness_listener = listen(settings.readiness).context(ListenSnafu {
        address: settings.readiness,
    })?;
    let peer_listener = listen(settings.peers).context(ListenSnafu {
        address: settings.peers,
    })?;
    let metrics_listener = listen(settings.metrics).context(ListenSnafu {
        address: settings.metrics,
    })?;
    let grace = settings.grace;
    let node = SchedulerNode::new(settings, log_counts.clone());
    log_event!(
        Info,
        "started",
        node = node.settings.name,
        data_centre = node.settings.centre,
        incarnation = node.incarnation
    );
    table_follow::start(&node);
    store_path::start(&node);
    owner::start(&node);
    peers::start(&node, peer_listener);
    tokio::spawn(work_meter::probe_timers(Arc::clone(&node)));
    tokio::spawn(metrics::serve_metrics(Arc::clone(&node), metrics_listener));
    tokio::spawn(front::serve_readiness(
        Arc::clone(&node),
        readiness_listener,
    ));

    let answering_node = Arc::clone(&node);
    let (close, closing) = watch::channel(false);
    let served = tokio::spawn(serve(
        caller_listener,
        move |request| {
            let node = Arc::clone(&answering_node);
            async move {
                let answering = front::respond(Arc::clone(&node), request);
                node.metrics.work.watch("caller-calls", answering).await
            }
        },
        closing,
    ));
    tokio::spawn(reload_on_hangup(Arc::clone(&node)));
    wait_for_shutdown().await.context(StartSnafu)?;
    log_event!(Info, "stopping", node = node.settings.name);
    let stop_began = tokio::time::Instant::now();
    node.shutdown.send_replace(true);
    owner::hand_over(&node).await;
    tokio::time::sleep_until(stop_began + BALANCER_DETECTION_TIME).await;
    close.send_replace(true);
    let end = stop_began + grace.saturating_sub(GRACE_RESERVE);
    let is_complete = tokio::time::timeout_at(end, served).await.is_ok();
    log_event!(
        Info,
        "stopped",
        node = node.settings.name,
        whole = is_complete
    );
    log_counts.wait_until_written(LOG_FLUSH_TIMEOUT).await;
    Ok(())
}

/// Reads the settings file on SIGHUP and logs whether it is valid and has changed. Changes take
/// effect at the next start, since addresses and bounds are fixed while the process runs.
async fn reload_on_hangup(node: Arc<SchedulerNode>) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else {
        log_event!(Error, "no-hangup-signal");
        return;
    };
    while hangups.recv().await.is_some() {
        match read_settings() {
            Ok(settings) => {
                let changed = settings != node.settings;
                log_event!(Info, "settings-read", changed = changed);
            }
            Err(error) => log_event!(Warn, "settings-invalid", error = error),
        }
    }
}
