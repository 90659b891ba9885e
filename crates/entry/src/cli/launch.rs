//! Starts an entry from its command line, and shuts it down gracefully.

use {
    super::{
        entry_args::EntryArgs,
        entry_settings::{EntrySettings, SettingsFault},
    },
    crate::{fleet, front, jobs, metrics, node::EntryNode, peers, permits, table, takeover},
    clap::Parser,
    dotterelshore_wire::{
        http_server::serve,
        log_event,
        server_process::{listen, wait_for_shutdown},
    },
    snafu::{ResultExt, Snafu},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::UdpSocket, sync::watch},
};

/// Time that peers and callers get to notice the shutdown before connections are closed.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(300);

/// Reason why an entry did not start.
#[derive(Debug, Snafu)]
pub(crate) enum LaunchFault {
    /// The settings are invalid.
    #[snafu(transparent)]
    Settings { source: SettingsFault },
    /// The entry can't listen on an address.
    #[snafu(display("can't listen on {address}: {source}; is another entry running there?"))]
    Listen {
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The runtime or the signal handlers did not start.
    #[snafu(display("can't start: {source}"))]
    Start {
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Runs an entry until it receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the settings are invalid, an address is in use, or the runtime does not start.
pub(crate) fn run() -> Result<(), LaunchFault> {
    let args = EntryArgs::parse();
    dotterelshore_wire::event_log::start_log(args.log);
    let settings = EntrySettings::try_from(args)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    runtime.block_on(run_entry(settings))
}

async fn run_entry(settings: EntrySettings) -> Result<(), LaunchFault> {
    let listener = listen(settings.listen).context(ListenSnafu {
        address: settings.listen,
    })?;
    let peer_listener = listen(settings.peer_listen).context(ListenSnafu {
        address: settings.peer_listen,
    })?;
    let socket = UdpSocket::bind(settings.peer_listen)
        .await
        .context(ListenSnafu {
            address: settings.peer_listen,
        })?;
    let shutdown_timeout = settings.shutdown_timeout;
    let node = EntryNode::new(settings);
    log_event!(
        Info,
        "entry-started",
        entry = node.stamp,
        data_centre = node.settings.centre,
        listen = node.settings.listen
    );
    peers::start(&node, peer_listener, socket);
    table::start(&node);
    fleet::start(&node);
    permits::start(&node);
    jobs::start(&node);
    takeover::start(&node);
    metrics::start_gauges(&node);

    let serving_node = Arc::clone(&node);
    let (close, closing) = watch::channel(false);
    let server = tokio::spawn(serve(
        listener,
        move |request| {
            let node = Arc::clone(&serving_node);
            async move { front::respond(node, request).await }
        },
        closing,
    ));
    wait_for_shutdown().await.context(StartSnafu)?;
    log_event!(
        Info,
        "entry-leaving",
        entry = node.stamp,
        running = node.schedulers.running()
    );
    node.shutting_down.send_replace(true);
    tokio::time::sleep(SHUTDOWN_NOTICE).await;
    close.send_replace(true);
    let drained = tokio::time::timeout(shutdown_timeout, async {
        let _ended = server.await;
        node.schedulers.wait_until_idle().await;
        jobs::wait_for_tasks(&node).await;
        permits::return_all(&node).await;
    });
    let complete = drained.await.is_ok();
    log_event!(
        Info,
        "entry-stopped",
        entry = node.stamp,
        whole = complete,
        running = node.schedulers.running()
    );
    Ok(())
}
