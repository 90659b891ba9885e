//! An HTTP request with its complete body, and access to its headers and query.

use {
    bytes::Bytes,
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        names::KeyDigest,
    },
    dotterelshore_wire::http_server::{BodyFault, discard_body, read_body},
    hyper::{HeaderMap, Method, Request, body::Incoming, header},
    serde::de::DeserializeOwned,
    std::time::Duration,
};

/// Longest timeout a caller may set, in seconds.
const TIMEOUT_SECONDS_MAX: f64 = 3600.0;

/// Multiple of the body limit up to which an oversized body is read before it is refused.
const DISCARD_FACTOR: usize = 8;

/// A request with its complete body.
#[derive(Debug)]
pub(super) struct FrontRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) query: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl FrontRequest {
    /// Reads a request and its complete body.
    ///
    /// # Errors
    ///
    /// Refuses if the body is larger than `body_bytes_max` or ends early.
    pub(super) async fn read(
        request: Request<Incoming>,
        body_bytes_max: usize,
    ) -> Result<Self, Refusal> {
        let (parts, body) = request.into_parts();
        let declared_bytes = parts
            .headers
            .get(header::CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
        let too_large = || {
            Refusal::not_run(
                ResultCode::BodyTooLarge,
                format!("send at most {body_bytes_max} bytes"),
            )
        };
        if declared_bytes.is_some_and(|declared_bytes| declared_bytes > body_bytes_max) {
            discard_body(body, body_bytes_max.saturating_mul(DISCARD_FACTOR)).await;
            return Err(too_large());
        }
        let body = read_body(body, body_bytes_max)
            .await
            .map_err(|fault| match fault {
                BodyFault::TooLarge => too_large(),
                BodyFault::Broken => {
                    Refusal::not_run(ResultCode::MalformedRequest, "the body ended early")
                }
            })?;
        Ok(Self {
            method: parts.method,
            path: parts.uri.path().to_owned(),
            query: parts.uri.query().unwrap_or_default().to_owned(),
            headers: parts.headers,
            body,
        })
    }

    /// Returns a header as trimmed text.
    ///
    /// # Errors
    ///
    /// Refuses if the value is not ASCII text.
    pub(super) fn header(&self, name: &str) -> Result<Option<&str>, Refusal> {
        let Some(value) = self.headers.get(name) else {
            return Ok(None);
        };
        let text = value.to_str().map_err(|error| malformed(name, &error))?;
        Ok(Some(text.trim()))
    }

    /// Returns the bearer token of the `Authorization` header.
    ///
    /// # Errors
    ///
    /// Refuses if the header is present without a bearer token.
    pub(super) fn bearer(&self) -> Result<Option<&str>, Refusal> {
        let Some(value) = self.header("authorization")? else {
            return Ok(None);
        };
        let token = value
            .strip_prefix("Bearer ")
            .or_else(|| value.strip_prefix("bearer "));
        let token = token.map(str::trim).filter(|token| !token.is_empty());
        token
            .map(Some)
            .ok_or_else(|| malformed("authorization", "write 'Bearer' and the key"))
    }

    /// Returns the digest of the presented key, if any.
    ///
    /// # Errors
    ///
    /// Refuses if the `Authorization` header is malformed.
    pub(super) fn key(&self) -> Result<Option<KeyDigest>, Refusal> {
        Ok(self.bearer()?.map(KeyDigest::of))
    }

    /// Returns the timeout from the `Request-Timeout` header, which is in seconds.
    ///
    /// # Errors
    ///
    /// Refuses if the header is not a number from 0 to 3600.
    pub(super) fn timeout(&self) -> Result<Option<Duration>, Refusal> {
        let Some(text) = self.header("request-timeout")? else {
            return Ok(None);
        };
        let seconds = text
            .parse::<f64>()
            .ok()
            .filter(|seconds| (0.0..=TIMEOUT_SECONDS_MAX).contains(seconds));
        let seconds =
            seconds.ok_or_else(|| malformed("request-timeout", "write seconds from 0 to 3600"))?;
        Ok(Some(Duration::from_secs_f64(seconds)))
    }

    /// Whether the request is idempotent: by the `Idempotent` header, or else if it is a `PUT`.
    ///
    /// # Errors
    ///
    /// Refuses if the header is neither `true` nor `false`.
    pub(super) fn idempotent(&self) -> Result<bool, Refusal> {
        match self.header("idempotent")? {
            None => Ok(self.method == Method::PUT),
            Some("true") => Ok(true),
            Some("false") => Ok(false),
            Some(_) => Err(malformed("idempotent", "write 'true' or 'false'")),
        }
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Refuses if the body is not valid JSON for `T`.
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        serde_json::from_slice(&self.body).map_err(|error| malformed("body", &error))
    }

    /// Returns the first value of a query parameter.
    pub(super) fn query(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value)
            .next()
    }

    /// Checks the method.
    ///
    /// # Errors
    ///
    /// Refuses methods other than `allowed`.
    pub(super) fn expect_method(&self, allowed: &[Method]) -> Result<(), Refusal> {
        if allowed.contains(&self.method) {
            return Ok(());
        }
        let names: Vec<&str> = allowed.iter().map(Method::as_str).collect();
        Err(Refusal::not_run(
            ResultCode::MethodNotAllowed,
            format!("use {}", names.join(" or ")),
        ))
    }
}

/// Builds the refusal of a malformed part of a request.
pub(super) fn malformed(part: &str, fault: &(impl ToString + ?Sized)) -> Refusal {
    Refusal::not_run(
        ResultCode::MalformedRequest,
        format!("{part}: {}", fault.to_string()),
    )
}
