//! Links between processes that a test can cut.

use {
    std::net::SocketAddr,
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpStream, UdpSocket},
        sync::watch,
    },
};

/// Largest datagram relayed, in bytes.
const DATAGRAM_BYTES_MAX: usize = 2048;

/// Opens or cuts a link. Cut links take connections and say nothing.
#[derive(Debug, Clone)]
pub struct RelayGate {
    open: watch::Sender<bool>,
}

impl Default for RelayGate {
    fn default() -> Self {
        Self {
            open: watch::Sender::new(true),
        }
    }
}

impl RelayGate {
    /// Opens the link or cuts it.
    pub fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }

    fn is_open(&self) -> bool {
        *self.open.borrow()
    }
}

/// A link from one address to another.
#[derive(Debug)]
pub struct LinkRelay;

impl LinkRelay {
    /// Starts relaying TCP connections, each in its own task.
    ///
    /// # Errors
    ///
    /// An address that can't be listened on.
    pub async fn start_tcp(
        from: SocketAddr,
        to: SocketAddr,
        gate: RelayGate,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(from).await?;
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay_stream(stream, to, gate.clone()));
            }
        });
        Ok(())
    }

    /// Starts relaying datagrams.
    ///
    /// # Errors
    ///
    /// An address that can't be listened on.
    pub async fn start_udp(
        from: SocketAddr,
        to: SocketAddr,
        gate: RelayGate,
    ) -> std::io::Result<()> {
        let socket = UdpSocket::bind(from).await?;
        tokio::spawn(async move {
            let mut bytes = vec![0; DATAGRAM_BYTES_MAX];
            loop {
                let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
                    continue;
                };
                if gate.is_open() {
                    let _lost = socket.send_to(&bytes[..length], to).await;
                }
            }
        });
        Ok(())
    }
}

async fn relay_stream(mut stream: TcpStream, to: SocketAddr, gate: RelayGate) {
    let mut open = gate.open.subscribe();
    if open.wait_for(|open| *open).await.is_err() {
        return;
    }
    let Ok(mut onward) = TcpStream::connect(to).await else {
        return;
    };
    let _best_effort = (stream.set_nodelay(true), onward.set_nodelay(true));
    let mut cut = open.clone();
    tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut onward) => return,
        _ = cut.wait_for(|open| !*open) => {}
    }
    // Both sides hang until the link is back, and then learn that it broke.
    let _opened = open.wait_for(|open| *open).await;
}
