//! A TCP connector whose connections can be reset instead of closed.

use {
    hyper::Uri,
    hyper_util::{
        client::legacy::connect::{Connected, Connection},
        rt::TokioIo,
    },
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
    tower_service::Service,
};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Port of a URI without one.
const DEFAULT_PORT: u16 = 80;

/// Opens TCP connections. With `reset_on_close`, closing one discards data that the peer has
/// not received: an abandoned request is not delivered after a network partition heals.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResetConnector {
    pub(crate) reset_on_close: bool,
}

impl Service<Uri> for ResetConnector {
    type Response = TokioIo<OpenStream>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Uri) -> Self::Future {
        let reset_on_close = self.reset_on_close;
        Box::pin(async move {
            let host = req.host().unwrap_or_default();
            let host = host.trim_start_matches('[').trim_end_matches(']');
            let address = (host, req.port_u16().unwrap_or(DEFAULT_PORT));
            let opening = TcpStream::connect(address);
            let stream = match tokio::time::timeout(CONNECT_TIMEOUT, opening).await {
                Ok(opened) => opened?,
                Err(elapsed) => return Err(io::Error::new(io::ErrorKind::TimedOut, elapsed)),
            };
            stream.set_nodelay(true)?;
            if reset_on_close {
                stream.set_zero_linger()?;
            }
            Ok(TokioIo::new(OpenStream {
                stream,
                reset_on_close,
            }))
        })
    }
}

/// A connection that is closed gracefully, or reset.
#[derive(Debug)]
pub(crate) struct OpenStream {
    stream: TcpStream,
    reset_on_close: bool,
}

impl Connection for OpenStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl AsyncRead for OpenStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for OpenStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.reset_on_close {
            // After a graceful close the kernel would still deliver pending data.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
