//! One peer's task: a connection, opened when there is something to ask.

use {
    super::peer_book::QueuedCall,
    crate::node::EntryNode,
    dotterelshore_wire::{
        log_event,
        peer_codec::{PeerFault, read_frame, write_frame},
        peer_message::{PeerAddress, PeerCall, PeerReply},
        timer_hub::jittered_pause,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{io::BufStream, net::TcpStream, sync::mpsc},
};

/// Longest time to open a connection and be welcomed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// First and longest time during which a peer that could not be reached is not tried again.
const PAUSE_FIRST: Duration = Duration::from_millis(50);
const PAUSE_LONGEST: Duration = Duration::from_secs(2);

/// Takes calls for one peer, one after another, until the entry ends.
pub(super) async fn run_link(
    node: Arc<EntryNode>,
    peer: PeerAddress,
    mut calls: mpsc::Receiver<QueuedCall>,
) {
    let mut stream = None;
    let mut pause = PAUSE_FIRST;
    let mut not_before = Instant::now();
    while let Some(queued) = calls.recv().await {
        if queued.reply.is_closed() {
            continue;
        }
        if stream.is_none() && Instant::now() >= not_before {
            stream = open(&node, &peer).await;
            pause = if stream.is_some() {
                PAUSE_FIRST
            } else {
                PAUSE_LONGEST.min(pause * 2)
            };
            not_before = Instant::now() + jittered_pause(pause);
        }
        let Some(open) = stream.as_mut() else {
            continue;
        };
        match tokio::time::timeout(queued.timeout, exchange(&node, open, &queued.call)).await {
            Ok(Ok(reply)) => {
                let _gave_up = queued.reply.send(reply);
            }
            Ok(Err(fault)) => {
                node.metrics.count_peer_fault("connection");
                log_event!(Debug, "peer-call-failed", peer = peer.name, error = fault);
                stream = None;
            }
            Err(_) => {
                node.metrics.count_peer_fault("timeout");
                stream = None;
            }
        }
    }
}

async fn open(node: &EntryNode, peer: &PeerAddress) -> Option<BufStream<TcpStream>> {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, async {
        let stream = TcpStream::connect(peer.address)
            .await
            .map_err(|source| PeerFault::Connection { source })?;
        let _best_effort = stream.set_nodelay(true);
        let mut stream = BufStream::new(stream);
        let hello = PeerCall::Hello {
            cluster: node.settings.cluster,
            from: node.stamp.clone(),
        };
        let reply = exchange(node, &mut stream, &hello).await?;
        Ok::<_, PeerFault>((stream, reply))
    });
    match opened.await {
        Ok(Ok((stream, PeerReply::Welcome { from }))) if from.name == peer.name => Some(stream),
        Ok(Ok((_, reply))) => {
            node.metrics.count_peer_fault("foreign");
            log_event!(
                Warn,
                "peer-foreign",
                peer = peer.name,
                reply = format!("{reply:?}")
            );
            None
        }
        Ok(Err(_)) | Err(_) => {
            node.metrics.count_peer_fault("connect");
            None
        }
    }
}

async fn exchange(
    node: &EntryNode,
    stream: &mut BufStream<TcpStream>,
    call: &PeerCall,
) -> Result<PeerReply, PeerFault> {
    node.metrics
        .count_peer_bytes(write_frame(stream, call).await?);
    read_frame(stream).await
}
