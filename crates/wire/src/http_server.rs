//! Serving HTTP: one task for each connection, and a graceful end.

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

/// Largest head of a request, in bytes.
pub const HEAD_BYTES_MAX: usize = 16 * 1024;
/// Longest wait for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a connection is kept open for a request on its way when serving ends.
const CLOSE_LINGER: Duration = Duration::from_millis(300);
/// Longest time that a body is read only to be thrown away.
pub const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a streamed body may fail with.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A whole answer to a caller.
pub type FullResponse = Response<Full<Bytes>>;

/// Accepts connections until `leaving` turns true, then lets open ones finish.
/// Each connection has its own task; `answer` is called for each request on it.
pub async fn serve<F, A, B>(listener: TcpListener, answer: F, leaving: watch::Receiver<bool>)
where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    let answer = Arc::new(answer);
    let mut closing = leaving.clone();
    let (open, mut all_closed) = mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|leaving| *leaving) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        spawn_connection(stream, &answer, &leaving, &open);
    }
    // Who connected before the port closes is still served.
    while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        spawn_connection(stream, &answer, &leaving, &open);
    }
    drop(listener);
    drop(open);
    let _none = all_closed.recv().await;
}

fn spawn_connection<F, A, B>(
    stream: TcpStream,
    answer: &Arc<F>,
    leaving: &watch::Receiver<bool>,
    open: &mpsc::Sender<()>,
) where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    let answer = Arc::clone(answer);
    let leaving = leaving.clone();
    let open = open.clone();
    tokio::spawn(async move {
        serve_connection(stream, answer, leaving).await;
        drop(open);
    });
}

async fn serve_connection<F, A, B>(
    stream: TcpStream,
    answer: Arc<F>,
    mut leaving: watch::Receiver<bool>,
) where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    let _best_effort = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answered = answer(request);
        async move { Ok::<_, Infallible>(answered.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = leaving.wait_for(|leaving| *leaving) => {}
    }
    // A request that is on its way when the port closes is still taken.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = tokio::time::sleep(CLOSE_LINGER) => connection.as_mut().graceful_shutdown(),
    }
    let _ended = connection.await;
}

/// Why a request's body was not read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFault {
    /// It is larger than allowed.
    TooLarge,
    /// The caller ended it early.
    Broken,
}

/// Reads a request's whole body of at most `limit` bytes.
///
/// # Errors
///
/// `TooLarge` past the limit, `Broken` if the caller ended it early.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyFault> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyFault::TooLarge),
        Err(_) => Err(BodyFault::Broken),
    }
}

/// Reads a body and throws it away, so that its sender reads the refusal instead of a
/// broken connection; gives up after `limit` bytes or [`DISCARD_TIMEOUT`].
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
    let _gave_up = discarded.await;
}

/// An answer with a JSON body.
pub fn json_response<T: serde::Serialize>(status: u16, value: &T) -> FullResponse {
    let body =
        serde_json::to_vec(value).unwrap_or_else(|error| format!("\"{error}\"").into_bytes());
    content_response(status, "application/json", body)
}

/// An answer with a body of the given type.
pub fn content_response(status: u16, content_type: &str, body: impl Into<Bytes>) -> FullResponse {
    let answer = Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Full::new(body.into()));
    answer.unwrap_or_default()
}
