//! TCP and UDP proxies between processes, which a test can partition.

use {
    std::net::SocketAddr,
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpStream, UdpSocket},
        sync::watch,
    },
};

/// Maximum size of a forwarded datagram, in bytes.
const DATAGRAM_BYTES_MAX: usize = 2048;

/// Connects or partitions a proxied link. A partitioned link accepts connections but forwards
/// nothing.
#[derive(Debug, Clone)]
pub struct ProxySwitch {
    connected: watch::Sender<bool>,
}

impl Default for ProxySwitch {
    fn default() -> Self {
        Self {
            connected: watch::Sender::new(true),
        }
    }
}

impl ProxySwitch {
    /// Connects or partitions the link.
    pub fn set_connected(&self, connected: bool) {
        self.connected.send_replace(connected);
    }

    fn is_connected(&self) -> bool {
        *self.connected.borrow()
    }
}

/// Proxy from one address to another.
#[derive(Debug)]
pub struct LinkProxy;

impl LinkProxy {
    /// Starts forwarding TCP connections, each in its own task.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if `from` can't be bound.
    pub async fn start_tcp(
        from: SocketAddr,
        to: SocketAddr,
        switch: ProxySwitch,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(from).await?;
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(proxy_stream(stream, to, switch.clone()));
            }
        });
        Ok(())
    }

    /// Starts forwarding UDP datagrams.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if `from` can't be bound.
    pub async fn start_udp(
        from: SocketAddr,
        to: SocketAddr,
        switch: ProxySwitch,
    ) -> std::io::Result<()> {
        let socket = UdpSocket::bind(from).await?;
        tokio::spawn(async move {
            let mut bytes = vec![0; DATAGRAM_BYTES_MAX];
            loop {
                let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
                    continue;
                };
                if switch.is_connected() {
                    let _lost = socket.send_to(&bytes[..length], to).await;
                }
            }
        });
        Ok(())
    }
}

async fn proxy_stream(mut stream: TcpStream, to: SocketAddr, switch: ProxySwitch) {
    let mut connected = switch.connected.subscribe();
    if connected.wait_for(|connected| *connected).await.is_err() {
        return;
    }
    let Ok(mut upstream) = TcpStream::connect(to).await else {
        return;
    };
    let _best_effort = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let mut partitioned = connected.clone();
    tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut upstream) => return,
        _ = partitioned.wait_for(|connected| !*connected) => {}
    }
    // Both ends receive nothing until the link is connected again; then both connections close.
    let _reconnected = connected.wait_for(|connected| *connected).await;
}
