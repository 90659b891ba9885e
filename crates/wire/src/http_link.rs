//! A small HTTP client that reads whole, bounded answers.

use {
    crate::reset_connector::ResetConnector,
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Request, StatusCode, header},
    hyper_util::{
        client::legacy::Client,
        rt::{TokioExecutor, TokioTimer},
    },
    snafu::Snafu,
    std::time::Duration,
};

/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why an exchange brought no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum HttpFault {
    /// No byte of the request reached the server.
    #[snafu(display("could not connect: {detail}"))]
    NotSent {
        /// What the connection said.
        detail: String,
    },
    /// The request was or may have been sent, and no answer came.
    #[snafu(display("no answer: {detail}"))]
    NoResponse {
        /// What the connection said.
        detail: String,
    },
    /// The answer began and ended early.
    #[snafu(display("the answer ended early: {detail}"))]
    Truncated {
        /// What the connection said.
        detail: String,
    },
    /// The answer is larger than allowed.
    #[snafu(display("the answer is larger than {limit} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

impl HttpResponse {
    /// A header as text, if it is there and readable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A client that keeps connections open between exchanges.
#[derive(Debug, Clone)]
pub struct HttpLink {
    client: Client<ResetConnector, Full<Bytes>>,
    answer_bytes_max: usize,
}

impl HttpLink {
    /// A client with `idle_per_host` spare connections to each server, and answers of
    /// at most `answer_bytes_max` bytes.
    pub fn new(idle_per_host: usize, answer_bytes_max: usize) -> Self {
        Self::build(idle_per_host, answer_bytes_max, false)
    }

    /// As [`new`](Self::new), but a connection that is given up is reset: what its server
    /// has not received of a request is never delivered.
    pub fn with_reset_on_close(idle_per_host: usize, answer_bytes_max: usize) -> Self {
        Self::build(idle_per_host, answer_bytes_max, true)
    }

    fn build(idle_per_host: usize, answer_bytes_max: usize, reset_on_close: bool) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(idle_per_host)
            .build(ResetConnector { reset_on_close });
        Self {
            client,
            answer_bytes_max,
        }
    }

    /// Sends a request and reads the whole answer within `timeout`.
    ///
    /// # Errors
    ///
    /// `NotSent` only if no byte was sent; every other fault leaves open whether the
    /// server acted.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpResponse, HttpFault> {
        match tokio::time::timeout(
            timeout,
            self.send_with_idle_timeout(request, timeout, timeout),
        )
        .await
        {
            Ok(answer) => answer,
            Err(elapsed) => Err(no_answer(&elapsed)),
        }
    }

    /// Sends a request and reads the whole answer, however long that takes, as long as its
    /// head comes within `head_timeout` and each further part within `part_timeout`. For
    /// answers whose size is not known, over links that may be thin.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send).
    pub async fn send_with_idle_timeout(
        &self,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
        part_timeout: Duration,
    ) -> Result<HttpResponse, HttpFault> {
        let head = tokio::time::timeout(head_timeout, self.client.request(request)).await;
        let answer = head.map_err(|elapsed| no_answer(&elapsed))?;
        let answer = answer.map_err(|error| {
            let detail = error.to_string();
            if error.is_connect() {
                HttpFault::NotSent { detail }
            } else {
                HttpFault::NoResponse { detail }
            }
        })?;
        let (parts, mut body) = answer.into_parts();
        let limit = self.answer_bytes_max;
        let mut read = BytesMut::new();
        loop {
            let frame = match tokio::time::timeout(part_timeout, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => break,
                Ok(Some(Err(error))) => {
                    let detail = error.to_string();
                    return Err(HttpFault::Truncated { detail });
                }
                Err(elapsed) => return Err(no_answer(&elapsed)),
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

fn no_answer(elapsed: &tokio::time::error::Elapsed) -> HttpFault {
    HttpFault::NoResponse {
        detail: elapsed.to_string(),
    }
}

fn check_length(headers: &HeaderMap, read: usize) -> Result<(), HttpFault> {
    let told = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    match told {
        Some(told) if told != read => Err(HttpFault::Truncated {
            detail: format!("{read} of {told} bytes came"),
        }),
        _ => Ok(()),
    }
}

/// A request to a server by host and port.
///
/// # Errors
///
/// `NotSent` if the parts make no valid request.
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
    builder
        .body(Full::new(body))
        .map_err(|error| HttpFault::NotSent {
            detail: error.to_string(),
        })
}
