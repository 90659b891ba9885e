//! What every server process does at its edge: listen, and wait for the order to end.

use {
    std::{io, net::SocketAddr},
    tokio::{
        net::{TcpListener, TcpSocket},
        signal::unix::{SignalKind, signal},
    },
};

/// Connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// Listens on an address, also just after another process left it.
///
/// # Errors
///
/// What the system says, as when another process listens there.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// If the signals can't be waited for.
pub async fn wait_for_shutdown() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
