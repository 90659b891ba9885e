//! The peers that settings name, each with a task of its own.

use {
    super::{peer_answers::accept_peers, peer_link::run_link, peer_notices},
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

/// Calls waiting for one peer.
const CALLS_WAITING_MAX: usize = 256;

/// A call on its way to a peer's task.
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

/// The peers by name.
#[derive(Debug, Default)]
pub(crate) struct PeerBook {
    peers: OnceLock<FastMap<EntryName, PeerHandle>>,
    pub(super) socket: OnceLock<UdpSocket>,
}

impl PeerBook {
    /// The peers' names.
    pub(crate) fn names(&self) -> Vec<EntryName> {
        self.peers
            .get()
            .map(|peers| peers.keys().cloned().collect())
            .unwrap_or_default()
    }

    /// How many peers there are.
    pub(crate) fn count(&self) -> usize {
        self.peers.get().map_or(0, FastMap::len)
    }

    /// Where each peer hears datagrams.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers
            .get()
            .map(|peers| peers.values().map(|peer| peer.address).collect())
            .unwrap_or_default()
    }
}

/// Starts a task for each peer, and those that listen to peers.
pub(crate) fn start(node: &Arc<EntryNode>, listener: TcpListener, socket: UdpSocket) {
    let mut peers = FastMap::default();
    for peer in &node.settings.peers {
        let (calls, taken) = mpsc::channel(CALLS_WAITING_MAX);
        peers.insert(
            peer.name.clone(),
            PeerHandle {
                address: peer.address,
                calls,
            },
        );
        tokio::spawn(run_link(Arc::clone(node), peer.clone(), taken));
    }
    let fresh = node.peers.peers.set(peers).is_ok() && node.peers.socket.set(socket).is_ok();
    debug_assert!(fresh, "peers were started twice");
    tokio::spawn(accept_peers(Arc::clone(node), listener));
    peer_notices::start(node);
}

/// Calls a peer and waits for its reply, `None` if it can't be had in time.
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
