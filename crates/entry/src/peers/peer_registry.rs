//! The peers named in the settings, each with its own task.

use {
    super::{peer_link::run_link, peer_notices, peer_server::accept_peers},
    crate::node::EntryNode,
    dotterelshore_domain::{collections::FastMap, names::EntryName},
    dotterelshore_wire::peer_message::{PeerCall, PeerReply},
    std::{
        net::SocketAddr,
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::{mpsc, oneshot},
    },
};

/// Largest number of calls queued for one peer.
const CALLS_WAITING_MAX: usize = 256;

/// A call queued for a peer's task.
#[derive(Debug)]
pub(super) struct QueuedCall {
    pub(super) call: PeerCall,
    pub(super) reply: oneshot::Sender<PeerReply>,
    pub(super) timeout: Duration,
}

#[derive(Debug)]
struct PeerHandle {
    address: SocketAddr,
    calls: mpsc::Sender<QueuedCall>,
}

/// The peers by name, and the socket for datagrams.
#[derive(Debug, Default)]
pub(crate) struct PeerRegistry {
    peers: OnceLock<FastMap<EntryName, PeerHandle>>,
    pub(super) socket: OnceLock<UdpSocket>,
}

impl PeerRegistry {
    /// Returns the peers' names.
    pub(crate) fn names(&self) -> Vec<EntryName> {
        self.peers
            .get()
            .map(|peers| peers.keys().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns the number of peers.
    pub(crate) fn count(&self) -> usize {
        self.peers.get().map_or(0, FastMap::len)
    }

    /// Returns the addresses at which the peers receive datagrams.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers
            .get()
            .map(|peers| peers.values().map(|peer| peer.address).collect())
            .unwrap_or_default()
    }
}

/// Starts a task for each peer, and the tasks that receive calls and datagrams.
pub(crate) fn start(node: &Arc<EntryNode>, listener: TcpListener, socket: UdpSocket) {
    let mut peers = FastMap::default();
    for peer in &node.settings.peers {
        let (calls, receiver) = mpsc::channel(CALLS_WAITING_MAX);
        peers.insert(
            peer.name.clone(),
            PeerHandle {
                address: peer.address,
                calls,
            },
        );
        tokio::spawn(run_link(Arc::clone(node), peer.clone(), receiver));
    }
    let is_first_start =
        node.peers.peers.set(peers).is_ok() && node.peers.socket.set(socket).is_ok();
    debug_assert!(is_first_start, "peers were started twice");
    tokio::spawn(accept_peers(Arc::clone(node), listener));
    peer_notices::start(node);
}

/// Calls a peer and returns its reply.
///
/// Returns `None` if the peer is unknown, its queue is full, or no reply arrives within the
/// timeout.
pub(crate) async fn call(
    node: &EntryNode,
    peer: &EntryName,
    call: PeerCall,
    timeout: Duration,
) -> Option<PeerReply> {
    let handle = node.peers.peers.get()?.get(peer)?;
    let (reply, replied) = oneshot::channel();
    let queued = QueuedCall {
        call,
        reply,
        timeout,
    };
    handle.calls.try_send(queued).ok()?;
    tokio::time::timeout(timeout, replied).await.ok()?.ok()
}
