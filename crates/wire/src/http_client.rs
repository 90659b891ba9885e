//! An HTTP client that reads complete responses of limited size.

use {
    crate::reset_connector::ResetConnector,
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Request, StatusCode, Uri, header},
    hyper_util::{
        client::legacy::Client,
        rt::{TokioExecutor, TokioTimer},
    },
    snafu::Snafu,
    std::time::Duration,
};

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Reason why no complete response was received.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum HttpFault {
    /// No byte of the request reached the server.
    #[snafu(display("could not connect: {detail}"))]
    NotSent {
        /// The error of the connection.
        detail: String,
    },
    /// The request was or may have been sent, but no response was received.
    #[snafu(display("no answer: {detail}"))]
    NoResponse {
        /// The error of the connection.
        detail: String,
    },
    /// The response was incomplete.
    #[snafu(display("the answer ended early: {detail}"))]
    Truncated {
        /// The error of the connection.
        detail: String,
    },
    /// The response exceeds the size limit.
    #[snafu(display("the answer is larger than {limit} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its complete body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns a header's value if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// An HTTP client with a connection pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<ResetConnector, Full<Bytes>>,
    response_bytes_max: usize,
}

impl HttpClient {
    /// Creates a client that keeps up to `idle_per_host` idle connections per server and
    /// accepts responses of up to `response_bytes_max` bytes.
    pub fn new(idle_per_host: usize, response_bytes_max: usize) -> Self {
        Self::build(idle_per_host, response_bytes_max, false)
    }

    /// As [`new`](Self::new), but connections are reset when they are closed, so that the
    /// part of an abandoned request that the server has not received is never delivered.
    pub fn with_reset_on_close(idle_per_host: usize, response_bytes_max: usize) -> Self {
        Self::build(idle_per_host, response_bytes_max, true)
    }

    fn build(idle_per_host: usize, response_bytes_max: usize, reset_on_close: bool) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(idle_per_host)
            .build(ResetConnector { reset_on_close });
        Self {
            client,
            response_bytes_max,
        }
    }

    /// Sends a request and reads the complete response within `timeout`.
    ///
    /// # Errors
    ///
    /// `NotSent` only if no byte was sent; after any other fault the server may have
    /// processed the request.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpResponse, HttpFault> {
        self.send_with_body_timeout(request, timeout, Duration::ZERO)
            .await
    }

    /// Sends a request and reads the complete response, whose head has to arrive within
    /// `head_timeout` and all of it within `body_timeout` more.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send).
    pub async fn send_with_body_timeout(
        &self,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
        body_timeout: Duration,
    ) -> Result<HttpResponse, HttpFault> {
        let timeout = head_timeout + body_timeout;
        let reading = self.send_with_idle_timeout(request, head_timeout, timeout);
        match tokio::time::timeout(timeout, reading).await {
            Ok(response) => response,
            Err(elapsed) => Err(timed_out(&elapsed)),
        }
    }

    /// Sends a request and reads the complete response without a total time limit: the head
    /// has to arrive within `head_timeout` and each frame of the body within `idle_timeout`.
    /// For responses of unknown size over links that may be slow.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send).
    pub async fn send_with_idle_timeout(
        &self,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
        idle_timeout: Duration,
    ) -> Result<HttpResponse, HttpFault> {
        let head = tokio::time::timeout(head_timeout, self.client.request(request)).await;
        let response = head.map_err(|elapsed| timed_out(&elapsed))?;
        let response = response.map_err(|error| {
            let detail = error.to_string();
            if error.is_connect() {
                HttpFault::NotSent { detail }
            } else {
                HttpFault::NoResponse { detail }
            }
        })?;
        let (parts, mut body) = response.into_parts();
        let limit = self.response_bytes_max;
        let mut read = BytesMut::new();
        loop {
            let frame = match tokio::time::timeout(idle_timeout, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => break,
                Ok(Some(Err(error))) => {
                    let detail = error.to_string();
                    return Err(HttpFault::Truncated { detail });
                }
                Err(elapsed) => return Err(timed_out(&elapsed)),
            };
            if let Ok(data) = frame.into_data() {
                if read.len() + data.len() > limit {
                    return Err(HttpFault::TooLarge { limit });
                }
                read.extend_from_slice(&data);
            }
        }
        let body = read.freeze();
        check_length(&parts.headers, body.len())?;
        Ok(HttpResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

fn timed_out(elapsed: &tokio::time::error::Elapsed) -> HttpFault {
    HttpFault::NoResponse {
        detail: elapsed.to_string(),
    }
}

fn check_length(headers: &HeaderMap, read: usize) -> Result<(), HttpFault> {
    let declared = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    match declared {
        Some(declared) if declared != read => Err(HttpFault::Truncated {
            detail: format!("{read} of {declared} bytes came"),
        }),
        _ => Ok(()),
    }
}

/// Builds a request to the server at `authority`, host and port. Without a port it is 80.
///
/// # Errors
///
/// `NotSent` if the request or its port is invalid.
pub fn request_to(
    method: hyper::Method,
    authority: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<Request<Full<Bytes>>, HttpFault> {
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{authority}{path}"));
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder
        .body(Full::new(body))
        .map_err(|error| HttpFault::NotSent {
            detail: error.to_string(),
        })?;
    check_authority(request.uri(), authority)?;
    Ok(request)
}

/// Checks that an authority is a host and a port from 1 to 65535, or a host alone. The URI's
/// parser takes a port beyond that range for none.
fn check_authority(uri: &Uri, authority: &str) -> Result<(), HttpFault> {
    let parsed = uri.authority().filter(|parsed| *parsed == authority);
    let is_valid = parsed.is_some_and(|parsed| match parsed.port_u16() {
        Some(port) => port > 0 && !authority.contains('@'),
        None => parsed.host() == authority,
    });
    if is_valid {
        return Ok(());
    }
    let detail = format!("'{authority}' is no host and port");
    Err(HttpFault::NotSent { detail })
}
