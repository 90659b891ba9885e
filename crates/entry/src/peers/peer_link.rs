//! The task of one peer: sends calls over a connection that is opened on demand.

use {
    super::peer_registry::QueuedCall,
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

/// Timeout of opening a connection, the welcome reply included.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause before an unreachable peer is tried again; it doubles from the initial to the
/// maximum value.
const PAUSE_INITIAL: Duration = Duration::from_millis(50);
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Sends the queued calls of one peer, one at a time, until the queue is closed.
///
/// A call that can't be sent or is not answered is dropped, and its caller gets no reply.
pub(super) async fn run_link(
    node: Arc<EntryNode>,
    peer: PeerAddress,
    mut calls: mpsc::Receiver<QueuedCall>,
) {
    let mut stream = None;
    let mut pause = PAUSE_INITIAL;
    let mut retry_at = Instant::now();
    while let Some(queued) = calls.recv().await {
        if queued.reply.is_closed() {
            continue;
        }
        if stream.is_none() && Instant::now() >= retry_at {
            stream = connect(&node, &peer).await;
            pause = if stream.is_some() {
                PAUSE_INITIAL
            } else {
                PAUSE_MAX.min(pause * 2)
            };
            retry_at = Instant::now() + jittered_pause(pause);
        }
        let Some(open_stream) = stream.as_mut() else {
            continue;
        };
        match tokio::time::timeout(queued.timeout, exchange(&node, open_stream, &queued.call)).await
        {
            Ok(Ok(reply)) => {
                let _best_effort = queued.reply.send(reply);
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

async fn connect(node: &EntryNode, peer: &PeerAddress) -> Option<BufStream<TcpStream>> {
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
