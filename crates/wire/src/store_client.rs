//! Client of the platform's key-value store: reads, compare-and-swap writes, watches.

use {
    crate::{
        http_client::{HttpClient, HttpFault, HttpResponse, request_to},
        platform_message::KeyList,
    },
    bytes::Bytes,
    dotterelshore_domain::codes::{Refusal, ResultCode, RunOutcome},
    hyper::Method,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    snafu::Snafu,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Maximum size of a response, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;
/// Number of idle connections kept to the store.
const IDLE_CONNECTIONS: usize = 8;
/// Maximum number of attempts of an update that conflicts with other writers.
const UPDATE_ATTEMPTS_MAX: u32 = 40;
/// Maximum number of attempts to look up whether an unconfirmed write took effect.
const LOOKUP_ATTEMPTS_MAX: u32 = 5;
/// Maximum pause between attempts.
const BACKOFF_MAX: Duration = Duration::from_millis(400);

/// Error of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum StoreFault {
    /// The key was written since the expected version.
    #[snafu(display("somebody else wrote '{key}' first"))]
    Conflict {
        /// The key.
        key: String,
    },
    /// The store is unavailable and did not perform the call.
    #[snafu(display("the store does not answer: {detail}"))]
    Down {
        /// The error of the connection.
        detail: String,
    },
    /// The store may or may not have performed the call.
    #[snafu(display("the store's answer was lost: {detail}"))]
    OutcomeUnknown {
        /// The error of the connection.
        detail: String,
    },
    /// The record is malformed.
    #[snafu(display("the record at '{key}' can't be read: {detail}"))]
    Unreadable {
        /// The key.
        key: String,
        /// The error of the decoder.
        detail: String,
    },
}

impl From<StoreFault> for Refusal {
    fn from(fault: StoreFault) -> Self {
        let (code, outcome) = match &fault {
            StoreFault::Conflict { .. } => (ResultCode::StoreConflict, RunOutcome::NotRun),
            StoreFault::Down { .. } => (ResultCode::StoreDown, RunOutcome::NotRun),
            StoreFault::OutcomeUnknown { .. } => {
                (ResultCode::StoreUnsure, RunOutcome::OutcomeUnknown)
            }
            StoreFault::Unreadable { .. } => (ResultCode::StoreUnreadable, RunOutcome::NotRun),
        };
        Self {
            code,
            outcome,
            detail: fault.to_string(),
            retry_after: Some(Duration::from_secs(1)),
        }
    }
}

/// A record and the version at which it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The version that the next write has to expect.
    pub version: u64,
    /// The record.
    pub value: T,
}

/// The records under a prefix; malformed ones are listed separately.
#[derive(Debug, Clone)]
pub struct RecordList<T> {
    /// The store revision of this list.
    pub revision: u64,
    /// The records by key; `None` if the key was deleted.
    pub records: Vec<(String, Option<Versioned<T>>)>,
    /// The faults of malformed records.
    pub unreadable: Vec<StoreFault>,
}

/// The decision of an update function about the record it was given.
#[derive(Debug)]
pub enum UpdateDecision<T, R> {
    /// Leave the record unchanged and return the result.
    Keep(R),
    /// Write the new record and return the result.
    Write(T, R),
}

/// A record with the token of the write that stored it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct TokenEnvelope<T> {
    token: u64,
    value: T,
}

/// A client of the platform's key-value store.
#[derive(Debug, Clone)]
pub struct StoreClient {
    http: HttpClient,
    authority: String,
    timeout: Duration,
    calls: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl StoreClient {
    /// Creates a client of the store at `authority`, host and port, with a timeout for each
    /// call.
    pub fn new(authority: String, timeout: Duration) -> Self {
        let http = HttpClient::new(IDLE_CONNECTIONS, RESPONSE_BYTES_MAX);
        Self {
            http,
            authority,
            timeout,
            calls: Arc::new(AtomicU64::new(0)),
            bytes: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the bytes of request and response bodies so far, without headers.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn count_bytes(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// `Down` if the store is unavailable, `Unreadable` if the record is malformed.
    pub async fn get<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<Versioned<T>>, StoreFault> {
        Ok(self
            .get_envelope(key)
            .await?
            .map(|(version, envelope)| Versioned {
                version,
                value: envelope.value,
            }))
    }

    /// Writes a record if the key's version is still `expected`; `None` if the key must not
    /// exist. Returns the new version.
    ///
    /// # Errors
    ///
    /// `Conflict`, `Down`, or `OutcomeUnknown` if the response was lost.
    pub async fn put<T: Serialize>(
        &self,
        key: &str,
        value: &T,
        expected: Option<u64>,
    ) -> Result<u64, StoreFault> {
        self.put_envelope(
            key,
            &TokenEnvelope {
                token: rand::random(),
                value,
            },
            expected,
        )
        .await
    }

    /// Deletes a key if its version is still `expected`.
    ///
    /// # Errors
    ///
    /// `Conflict`, `Down`, or `OutcomeUnknown` if the response was lost.
    pub async fn delete(&self, key: &str, expected: u64) -> Result<(), StoreFault> {
        let tag = format!("\"{expected}\"");
        let response = self
            .call(
                Method::DELETE,
                &format!("/kv/{key}"),
                &[("if-match", &tag)],
                Bytes::new(),
            )
            .await?;
        write_result(key, &response).map(drop)
    }

    /// Updates a record by compare-and-swap. After an attempt that did not take effect,
    /// `decide` is called again with the record read anew. If the response to a write is
    /// lost, the token in the stored record shows whether the write took effect.
    ///
    /// # Errors
    ///
    /// The refusals of `decide`, or a [`StoreFault`] as a refusal.
    pub async fn update<T, R>(
        &self,
        key: &str,
        decide: impl FnMut(Option<T>) -> Result<UpdateDecision<T, R>, Refusal>,
    ) -> Result<R, Refusal>
    where
        T: Serialize + DeserializeOwned,
    {
        let mut outcome_unknown = false;
        let updated = self
            .update_attempts(key, decide, &mut outcome_unknown)
            .await;
        updated.map_err(|refusal| match refusal.code {
            // An earlier attempt of this update may still take effect.
            ResultCode::StoreDown | ResultCode::StoreConflict if outcome_unknown => {
                StoreFault::OutcomeUnknown {
                    detail: refusal.detail,
                }
                .into()
            }
            _ => refusal,
        })
    }

    async fn update_attempts<T, R>(
        &self,
        key: &str,
        mut decide: impl FnMut(Option<T>) -> Result<UpdateDecision<T, R>, Refusal>,
        outcome_unknown: &mut bool,
    ) -> Result<R, Refusal>
    where
        T: Serialize + DeserializeOwned,
    {
        let token = rand::random();
        for attempt in 0..UPDATE_ATTEMPTS_MAX {
            let read: Option<(u64, TokenEnvelope<T>)> = self.get_envelope(key).await?;
            let (version, record) = read.map_or((None, None), |(version, envelope)| {
                (Some(version), Some(envelope.value))
            });
            let (record, result) = match decide(record)? {
                UpdateDecision::Keep(result) => return Ok(result),
                UpdateDecision::Write(record, result) => (record, result),
            };
            let envelope = TokenEnvelope {
                token,
                value: record,
            };
            match self.put_envelope(key, &envelope, version).await {
                Ok(_) => return Ok(result),
                Err(StoreFault::Conflict { .. }) => {
                    if attempt > 0 && self.last_token::<T>(key).await? == Some(token) {
                        return Ok(result);
                    }
                    backoff(attempt).await;
                }
                Err(StoreFault::OutcomeUnknown { detail }) => {
                    *outcome_unknown = true;
                    if self.took_effect::<T>(key, token, &detail).await? {
                        return Ok(result);
                    }
                }
                Err(fault) => return Err(fault.into()),
            }
        }
        Err(StoreFault::Conflict {
            key: key.to_owned(),
        }
        .into())
    }

    /// Returns all records under a prefix.
    ///
    /// # Errors
    ///
    /// `Down` if the store is unavailable.
    pub async fn list<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<RecordList<T>, StoreFault> {
        let response = self
            .call(
                Method::GET,
                &format!("/kv?prefix={prefix}"),
                &[],
                Bytes::new(),
            )
            .await?;
        decode_list(prefix, &response)
    }

    /// Returns the changes under a prefix after a revision; waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// `Down` if the store is unavailable.
    pub async fn watch<T: DeserializeOwned>(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<RecordList<T>, StoreFault> {
        let path = format!(
            "/watch?prefix={prefix}&after={after}&wait_ms={}",
            wait.as_millis()
        );
        let request =
            request_to(Method::GET, &self.authority, &path, &[], Bytes::new()).map_err(down)?;
        self.calls.fetch_add(1, Ordering::Relaxed);
        let response = self
            .http
            .send(request, wait + self.timeout)
            .await
            .map_err(down)?;
        self.count_bytes(response.body.len());
        decode_list(prefix, &response)
    }

    async fn took_effect<T: DeserializeOwned>(
        &self,
        key: &str,
        token: u64,
        detail: &str,
    ) -> Result<bool, Refusal> {
        for attempt in 0..LOOKUP_ATTEMPTS_MAX {
            match self.last_token::<T>(key).await {
                Ok(found) => return Ok(found == Some(token)),
                Err(StoreFault::Down { .. }) => backoff(attempt + 2).await,
                Err(fault) => return Err(fault.into()),
            }
        }
        Err(StoreFault::OutcomeUnknown {
            detail: detail.to_owned(),
        }
        .into())
    }

    async fn last_token<T: DeserializeOwned>(&self, key: &str) -> Result<Option<u64>, StoreFault> {
        Ok(self
            .get_envelope::<T>(key)
            .await?
            .map(|(_, envelope)| envelope.token))
    }

    async fn get_envelope<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(u64, TokenEnvelope<T>)>, StoreFault> {
        let response = match self
            .call(Method::GET, &format!("/kv/{key}"), &[], Bytes::new())
            .await
        {
            Err(StoreFault::OutcomeUnknown { detail }) => return Err(StoreFault::Down { detail }),
            response => response?,
        };
        match response.status.as_u16() {
            404 => Ok(None),
            200 => {
                let version = entity_tag(&response)
                    .ok_or_else(|| unreadable(key, &"no version came with it"))?;
                let envelope = serde_json::from_slice(&response.body)
                    .map_err(|error| unreadable(key, &error))?;
                Ok(Some((version, envelope)))
            }
            status => Err(StoreFault::Down {
                detail: format!("status {status}"),
            }),
        }
    }

    async fn put_envelope<T: Serialize>(
        &self,
        key: &str,
        envelope: &TokenEnvelope<T>,
        expected: Option<u64>,
    ) -> Result<u64, StoreFault> {
        let body = serde_json::to_vec(envelope).map_err(|error| unreadable(key, &error))?;
        let tag = expected.map(|version| format!("\"{version}\""));
        let condition = tag
            .as_deref()
            .map_or(("if-none-match", "*"), |tag| ("if-match", tag));
        let response = self
            .call(
                Method::PUT,
                &format!("/kv/{key}"),
                &[condition],
                Bytes::from(body),
            )
            .await?;
        write_result(key, &response)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<HttpResponse, StoreFault> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.count_bytes(body.len());
        let request = request_to(method, &self.authority, path, headers, body).map_err(down)?;
        let response = self.http.send(request, self.timeout).await;
        let response = response.map_err(|fault| match fault {
            HttpFault::NotSent { detail } => StoreFault::Down { detail },
            fault => StoreFault::OutcomeUnknown {
                detail: fault.to_string(),
            },
        })?;
        self.count_bytes(response.body.len());
        Ok(response)
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function to map errors with"
)]
fn down(fault: HttpFault) -> StoreFault {
    StoreFault::Down {
        detail: fault.to_string(),
    }
}

fn unreadable(key: &str, detail: &impl ToString) -> StoreFault {
    StoreFault::Unreadable {
        key: key.to_owned(),
        detail: detail.to_string(),
    }
}

fn entity_tag(response: &HttpResponse) -> Option<u64> {
    response.header("etag")?.trim_matches('"').parse().ok()
}

fn write_result(key: &str, response: &HttpResponse) -> Result<u64, StoreFault> {
    match response.status.as_u16() {
        200 => Ok(entity_tag(response).unwrap_or_default()),
        412 => Err(StoreFault::Conflict {
            key: key.to_owned(),
        }),
        503 | 429 => Err(StoreFault::Down {
            detail: format!("status {}", response.status),
        }),
        status => Err(StoreFault::OutcomeUnknown {
            detail: format!("status {status}"),
        }),
    }
}

fn decode_list<T: DeserializeOwned>(
    prefix: &str,
    response: &HttpResponse,
) -> Result<RecordList<T>, StoreFault> {
    if response.status.as_u16() != 200 {
        return Err(StoreFault::Down {
            detail: format!("status {}", response.status),
        });
    }
    let list: KeyList =
        serde_json::from_slice(&response.body).map_err(|error| unreadable(prefix, &error))?;
    let mut records = Vec::with_capacity(list.entries.len());
    let mut malformed = Vec::new();
    for entry in list.entries {
        let Some(text) = entry.value else {
            records.push((entry.key, None));
            continue;
        };
        match serde_json::from_str::<TokenEnvelope<T>>(&text) {
            Ok(envelope) => {
                records.push((
                    entry.key,
                    Some(Versioned {
                        version: entry.version,
                        value: envelope.value,
                    }),
                ));
            }
            Err(error) => malformed.push(unreadable(&entry.key, &error)),
        }
    }
    Ok(RecordList {
        revision: list.revision,
        records,
        unreadable: malformed,
    })
}

async fn backoff(attempt: u32) {
    let pause_max = BACKOFF_MAX.min(Duration::from_millis(4 << attempt.min(8)));
    tokio::time::sleep(pause_max.mul_f64(rand::random::<f64>())).await;
}
