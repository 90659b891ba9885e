//! Set-up shared by all server processes: the listening socket and shutdown signals.

use {
    std::{io, net::SocketAddr},
    tokio::{
        net::{TcpListener, TcpSocket},
        signal::unix::{SignalKind, signal},
    },
};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// Listens on an address with `SO_REUSEADDR`, so that a restarted process can bind at once.
///
/// # Errors
///
/// Any error of the socket calls, for example if the address is in use.
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
/// If the signal handlers can't be installed.
pub async fn wait_for_shutdown() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
