//! HTTP server: one task per connection, and graceful shutdown.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Request, Response,
        body::{Body, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{mpsc, watch},
    },
};

/// Maximum size of a request head, in bytes.
pub const HEAD_BYTES_MAX: usize = 16 * 1024;
/// Maximum time to receive the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a connection accepts requests in flight after shutdown begins.
const SHUTDOWN_LINGER: Duration = Duration::from_millis(300);
/// Maximum time for which a rejected body is read and discarded.
pub const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Error of a streamed body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A response whose complete body is in memory.
pub type FullResponse = Response<Full<Bytes>>;

/// Accepts connections until `shutdown` becomes true, then lets open ones finish.
/// Each connection has its own task, which calls `respond` for each request.
pub async fn serve<F, A, B>(listener: TcpListener, respond: F, shutdown: watch::Receiver<bool>)
where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    let respond = Arc::new(respond);
    let mut closing = shutdown.clone();
    let (open, mut all_closed) = mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|shutdown| *shutdown) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        spawn_connection(stream, &respond, &shutdown, &open);
    }
    // Connections that were established before the port closes are still served.
    while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        spawn_connection(stream, &respond, &shutdown, &open);
    }
    drop(listener);
    drop(open);
    let _none = all_closed.recv().await;
}

fn spawn_connection<F, A, B>(
    stream: TcpStream,
    respond: &Arc<F>,
    shutdown: &watch::Receiver<bool>,
    open: &mpsc::Sender<()>,
) where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    let respond = Arc::clone(respond);
    let shutdown = shutdown.clone();
    let open = open.clone();
    tokio::spawn(async move {
        serve_connection(stream, respond, shutdown).await;
        drop(open);
    });
}

async fn serve_connection<F, A, B>(
    stream: TcpStream,
    respond: Arc<F>,
    mut shutdown: watch::Receiver<bool>,
) where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    let _best_effort = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let response = respond(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = shutdown.wait_for(|shutdown| *shutdown) => {}
    }
    // A request in flight when the port closes is still accepted.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = tokio::time::sleep(SHUTDOWN_LINGER) => connection.as_mut().graceful_shutdown(),
    }
    let _ended = connection.await;
}

/// Reason why the body of a request could not be read completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFault {
    /// It exceeds the size limit.
    TooLarge,
    /// The caller ended it early.
    Broken,
}

/// Reads the complete body of a request, of at most `limit` bytes.
///
/// # Errors
///
/// `TooLarge` beyond the limit, `Broken` if the caller ended it early.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyFault> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyFault::TooLarge),
        Err(_) => Err(BodyFault::Broken),
    }
}

/// Reads and discards a body, so that its sender receives the refusal instead of a
/// connection error. Stops after `limit` bytes or [`DISCARD_TIMEOUT`].
pub async fn discard_body(mut body: Incoming, limit: usize) {
    let discarded = tokio::time::timeout(DISCARD_TIMEOUT, async {
        let mut read = 0;
        while let Some(Ok(frame)) = body.frame().await {
            read += frame.data_ref().map_or(0, Bytes::len);
            if read > limit {
                return;
            }
        }
    });
    let _timed_out = discarded.await;
}

/// Creates a response with a JSON body.
pub fn json_response<T: serde::Serialize>(status: u16, value: &T) -> FullResponse {
    let body =
        serde_json::to_vec(value).unwrap_or_else(|error| format!("\"{error}\"").into_bytes());
    content_response(status, "application/json", body)
}

/// Creates a response with a body of the given content type.
pub fn content_response(status: u16, content_type: &str, body: impl Into<Bytes>) -> FullResponse {
    let response = Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Full::new(body.into()));
    response.unwrap_or_default()
}
