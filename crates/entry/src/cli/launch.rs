//! From the command line to a running entry, and its graceful end.

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

/// How long other entries and callers are given to notice that this one leaves.
const LEAVE_NOTICE: Duration = Duration::from_millis(300);

/// Why an entry did not start.
#[derive(Debug, Snafu)]
pub(crate) enum LaunchFault {
    /// The settings are not right.
    #[snafu(transparent)]
    Settings {
        /// What is wrong.
        source: SettingsFault,
    },
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}; is another entry running there?"))]
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

/// Runs an entry until it is told to stop.
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
    let shutdown = settings.shutdown;
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

    let answering = Arc::clone(&node);
    let (close, closing) = watch::channel(false);
    let served = tokio::spawn(serve(
        listener,
        move |request| {
            let node = Arc::clone(&answering);
            async move { front::answer(node, request).await }
        },
        closing,
    ));
    wait_for_shutdown().await.context(StartSnafu)?;
    log_event!(
        Info,
        "entry-leaving",
        entry = node.stamp,
        running = node.desks.running()
    );
    node.leaving.send_replace(true);
    tokio::time::sleep(LEAVE_NOTICE).await;
    close.send_replace(true);
    let finished = tokio::time::timeout(shutdown, async {
        let _ended = served.await;
        node.desks.all_ended().await;
        jobs::hand_over(&node).await;
        permits::return_all(&node).await;
    });
    let whole = finished.await.is_ok();
    log_event!(
        Info,
        "entry-stopped",
        entry = node.stamp,
        whole = whole,
        running = node.desks.running()
    );
    Ok(())
}
