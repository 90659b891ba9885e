//! The command line, and the way from it to a running process and its graceful end.

use {
    crate::{
        explain::{ExplainFault, begin_ms, explain, told},
        front,
        log_pipe::{LogCounts, start_log},
        metrics,
        node::SchedulerNode,
        owner, peers, store_path, table_follow,
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

/// How long connections are taken after the order to end: the balancer looks once a second
/// Longest time for the last log lines to be written; two pauses of the writer.
const LOG_TIME: Duration = Duration::from_millis(250);
/// and goes by its second miss.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_600);
/// Part of the grace time kept back for the last steps.
const GRACE_RESERVE: Duration = Duration::from_millis(700);

/// Schedules teams' jobs on the workers of the platform.
#[derive(Debug, Parser)]
#[command(version)]
struct SchedulerArgs {
    /// Least important events that are logged
    #[arg(long, env = "DOTTERELSHORE_LOG", default_value = "info")]
    log: LevelFilter,
    #[command(subcommand)]
    command: Option<SchedulerCommand>,
}

#[derive(Debug, Subcommand)]
enum SchedulerCommand {
    /// Checks a settings file and names everything that is wrong in it
    CheckSettings {
        /// The settings file
        file: PathBuf,
    },
    /// Tells the story of a request or job from the logs of several processes
    Explain {
        /// The id
        id: String,
        /// The logs
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// One JSON object a line
        #[arg(long)]
        json: bool,
    },
}

/// Why the process did not start.
#[derive(Debug, Snafu)]
pub(crate) enum LaunchFault {
    /// The settings are not right.
    #[snafu(transparent)]
    Settings {
        /// What is wrong.
        source: SettingsFault,
    },
    /// No story could be told.
    #[snafu(transparent)]
    Explain {
        /// Why.
        source: ExplainFault,
    },
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}; is another process running there?"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The runtime did not start.
    #[snafu(display("can't start: {source}"))]
    Start {
        /// What the system said.
        source: std::io::Error,
    },
}

/// Runs the command, or the process until it is told to stop.
pub(crate) fn run() -> Result<(), LaunchFault> {
    let args = SchedulerArgs::parse();
    match args.command {
        Some(SchedulerCommand::CheckSettings { file }) => {
            let settings = NodeSettings::read(&file)?;
            println!("{}: good, for {}", file.display(), settings.name);
            return Ok(());
        }
        Some(SchedulerCommand::Explain { id, logs, json }) => return tell(&id, &logs, json),
        None => {}
    }
    let logged = start_log(args.log);
    let settings = read_settings()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    runtime.block_on(run_node(settings, logged))
}

fn tell(id: &str, logs: &[PathBuf], json: bool) -> Result<(), LaunchFault> {
    let lines = explain(id, logs)?;
    let begin_ms = begin_ms(&lines);
    for line in &lines {
        match serde_json::to_string(line) {
            Ok(object) if json => println!("{object}"),
            _ => println!("{}", told(line, begin_ms)),
        }
    }
    Ok(())
}

async fn run_node(settings: NodeSettings, logged: LogCounts) -> Result<(), LaunchFault> {
    let callers = listen(settings.front).context(ListenSnafu {
        address: settings.front,
    })?;
    let balancer = listen(settings.readiness).context(ListenSnafu {
        address: settings.readiness,
    })?;
    let peer_listener = listen(settings.peers).context(ListenSnafu {
        address: settings.peers,
    })?;
    let metrics_listener = listen(settings.metrics).context(ListenSnafu {
        address: settings.metrics,
    })?;
    let grace = settings.grace;
    let node = SchedulerNode::new(settings, logged.clone());
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
    tokio::spawn(metrics::serve_metrics(Arc::clone(&node), metrics_listener));
    tokio::spawn(front::serve_readiness(Arc::clone(&node), balancer));

    let answering = Arc::clone(&node);
    let (close, closing) = watch::channel(false);
    let served = tokio::spawn(serve(
        callers,
        move |request| front::answer(Arc::clone(&answering), request),
        closing,
    ));
    tokio::spawn(reload_on_hangup(Arc::clone(&node)));
    wait_for_shutdown().await.context(StartSnafu)?;
    log_event!(Info, "stopping", node = node.settings.name);
    let began = tokio::time::Instant::now();
    node.leaving.send_replace(true);
    owner::hand_over(&node).await;
    tokio::time::sleep_until(began + BALANCER_NOTICE).await;
    close.send_replace(true);
    let end = began + grace.saturating_sub(GRACE_RESERVE);
    let whole = tokio::time::timeout_at(end, served).await.is_ok();
    log_event!(Info, "stopped", node = node.settings.name, whole = whole);
    logged.written(LOG_TIME).await;
    Ok(())
}

/// The settings name addresses and bounds that a process keeps for its life; a changed
/// file is checked and told, and takes effect at the next start.
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
            Err(error) => log_event!(Warn, "settings-wrong", error = error),
        }
    }
}
