//! The platform's key-value service: reads, compare-and-swap, watches.

use {
    crate::{
        http_link::{HttpFault, HttpLink, HttpResponse, request_to},
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

/// Largest answer taken from the store, in bytes.
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;
/// Spare connections to the store.
const IDLE_CONNECTIONS: usize = 8;
/// How often an update is tried against other writers.
const UPDATE_TRIES_MAX: u32 = 40;
/// How often an unsure write is looked for.
const LOOKUP_TRIES_MAX: u32 = 5;
/// Longest pause between tries.
const TRY_PAUSE_MAX: Duration = Duration::from_millis(400);

/// Why the store did not do it.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum StoreFault {
    /// Somebody else wrote first.
    #[snafu(display("somebody else wrote '{key}' first"))]
    Conflict {
        /// The key.
        key: String,
    },
    /// The store did not act.
    #[snafu(display("the store does not answer: {detail}"))]
    Down {
        /// What the connection said.
        detail: String,
    },
    /// The store may or may not have acted.
    #[snafu(display("the store's answer was lost: {detail}"))]
    Unsure {
        /// What the connection said.
        detail: String,
    },
    /// The record is not one of ours.
    #[snafu(display("the record at '{key}' can't be read: {detail}"))]
    Unreadable {
        /// The key.
        key: String,
        /// What the decoder said.
        detail: String,
    },
}

impl From<StoreFault> for Refusal {
    fn from(fault: StoreFault) -> Self {
        let (code, outcome) = match &fault {
            StoreFault::Conflict { .. } => (ResultCode::StoreConflict, RunOutcome::NotRun),
            StoreFault::Down { .. } => (ResultCode::StoreDown, RunOutcome::NotRun),
            StoreFault::Unsure { .. } => (ResultCode::StoreUnsure, RunOutcome::OutcomeUnknown),
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

/// A record with the version it was read at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The version to compare with on the next write.
    pub version: u64,
    /// The record.
    pub value: T,
}

/// Keys under a prefix, read as records; unreadable ones are named apart.
#[derive(Debug, Clone)]
pub struct RecordList<T> {
    /// The store's revision this list is of.
    pub revision: u64,
    /// The records, `None` where the key was deleted.
    pub records: Vec<(String, Option<Versioned<T>>)>,
    /// The keys whose records can't be read.
    pub unreadable: Vec<StoreFault>,
}

/// What an update's rule decided about the record it saw.
#[derive(Debug)]
pub enum UpdateDecision<T, R> {
    /// Leave it as it is.
    Keep(R),
    /// Write this in its place.
    Write(T, R),
}

/// A record under the token of the write that made it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct TokenEnvelope<T> {
    token: u64,
    value: T,
}

/// A client of the platform's key-value service.
#[derive(Debug, Clone)]
pub struct StoreLink {
    http: HttpLink,
    authority: String,
    timeout: Duration,
    calls: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl StoreLink {
    /// A client of the store at `authority`, host and port. Each call is given up
    /// after `timeout`.
    pub fn new(authority: String, timeout: Duration) -> Self {
        let http = HttpLink::new(IDLE_CONNECTIONS, ANSWER_BYTES_MAX);
        Self {
            http,
            authority,
            timeout,
            calls: Arc::new(AtomicU64::new(0)),
            bytes: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Calls made so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Bytes of bodies sent and read so far, heads not counted.
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
    /// `Down` if the store does not answer, `Unreadable` if the record is not ours.
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

    /// Writes a record if the key's version is still `expected`, `None` for a key that
    /// must not exist. Returns the new version.
    ///
    /// # Errors
    ///
    /// `Conflict`, `Down`, or `Unsure` when the answer was lost.
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
    /// `Conflict`, `Down`, or `Unsure` when the answer was lost.
    pub async fn delete(&self, key: &str, expected: u64) -> Result<(), StoreFault> {
        let tag = format!("\"{expected}\"");
        let answer = self
            .call(
                Method::DELETE,
                &format!("/kv/{key}"),
                &[("if-match", &tag)],
                Bytes::new(),
            )
            .await?;
        written(key, &answer).map(drop)
    }

    /// Changes a record by a rule, which may run several times on what is read. A lost
    /// answer is looked up by the write's token.
    ///
    /// # Errors
    ///
    /// What the rule refuses, or the store's faults as refusals.
    pub async fn update<T, R>(
        &self,
        key: &str,
        rule: impl FnMut(Option<T>) -> Result<UpdateDecision<T, R>, Refusal>,
    ) -> Result<R, Refusal>
    where
        T: Serialize + DeserializeOwned,
    {
        let mut unsure = false;
        let updated = self.update_tries(key, rule, &mut unsure).await;
        updated.map_err(|refusal| match refusal.code {
            // An earlier try of this update may still take effect.
            ResultCode::StoreDown | ResultCode::StoreConflict if unsure => StoreFault::Unsure {
                detail: refusal.detail,
            }
            .into(),
            _ => refusal,
        })
    }

    async fn update_tries<T, R>(
        &self,
        key: &str,
        mut rule: impl FnMut(Option<T>) -> Result<UpdateDecision<T, R>, Refusal>,
        unsure: &mut bool,
    ) -> Result<R, Refusal>
    where
        T: Serialize + DeserializeOwned,
    {
        let token = rand::random();
        for turn in 0..UPDATE_TRIES_MAX {
            let read: Option<(u64, TokenEnvelope<T>)> = self.get_envelope(key).await?;
            let (version, record) = read.map_or((None, None), |(version, envelope)| {
                (Some(version), Some(envelope.value))
            });
            let (record, result) = match rule(record)? {
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
                    if turn > 0 && self.last_token::<T>(key).await? == Some(token) {
                        return Ok(result);
                    }
                    try_pause(turn).await;
                }
                Err(StoreFault::Unsure { detail }) => {
                    *unsure = true;
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

    /// Every record under a prefix.
    ///
    /// # Errors
    ///
    /// `Down` if the store does not answer.
    pub async fn list<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<RecordList<T>, StoreFault> {
        let answer = self
            .call(
                Method::GET,
                &format!("/kv?prefix={prefix}"),
                &[],
                Bytes::new(),
            )
            .await?;
        read_list(prefix, &answer)
    }

    /// Waits up to `wait` for changes under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// `Down` if the store does not answer.
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
        let answer = self
            .http
            .send(request, wait + self.timeout)
            .await
            .map_err(down)?;
        self.count_bytes(answer.body.len());
        read_list(prefix, &answer)
    }

    async fn took_effect<T: DeserializeOwned>(
        &self,
        key: &str,
        token: u64,
        lost: &str,
    ) -> Result<bool, Refusal> {
        for turn in 0..LOOKUP_TRIES_MAX {
            match self.last_token::<T>(key).await {
                Ok(found) => return Ok(found == Some(token)),
                Err(StoreFault::Down { .. }) => try_pause(turn + 2).await,
                Err(fault) => return Err(fault.into()),
            }
        }
        Err(StoreFault::Unsure {
            detail: lost.to_owned(),
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
        let answer = match self
            .call(Method::GET, &format!("/kv/{key}"), &[], Bytes::new())
            .await
        {
            Err(StoreFault::Unsure { detail }) => return Err(StoreFault::Down { detail }),
            answer => answer?,
        };
        match answer.status.as_u16() {
            404 => Ok(None),
            200 => {
                let version = entity_tag(&answer)
                    .ok_or_else(|| unreadable(key, &"no version came with it"))?;
                let envelope = serde_json::from_slice(&answer.body)
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
        let answer = self
            .call(
                Method::PUT,
                &format!("/kv/{key}"),
                &[condition],
                Bytes::from(body),
            )
            .await?;
        written(key, &answer)
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
        let answer = self.http.send(request, self.timeout).await;
        let answer = answer.map_err(|fault| match fault {
            HttpFault::NotSent { detail } => StoreFault::Down { detail },
            fault => StoreFault::Unsure {
                detail: fault.to_string(),
            },
        })?;
        self.count_bytes(answer.body.len());
        Ok(answer)
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

fn entity_tag(answer: &HttpResponse) -> Option<u64> {
    answer.header("etag")?.trim_matches('"').parse().ok()
}

fn written(key: &str, answer: &HttpResponse) -> Result<u64, StoreFault> {
    match answer.status.as_u16() {
        200 => Ok(entity_tag(answer).unwrap_or_default()),
        412 => Err(StoreFault::Conflict {
            key: key.to_owned(),
        }),
        503 | 429 => Err(StoreFault::Down {
            detail: format!("status {}", answer.status),
        }),
        status => Err(StoreFault::Unsure {
            detail: format!("status {status}"),
        }),
    }
}

fn read_list<T: DeserializeOwned>(
    prefix: &str,
    answer: &HttpResponse,
) -> Result<RecordList<T>, StoreFault> {
    if answer.status.as_u16() != 200 {
        return Err(StoreFault::Down {
            detail: format!("status {}", answer.status),
        });
    }
    let list: KeyList =
        serde_json::from_slice(&answer.body).map_err(|error| unreadable(prefix, &error))?;
    let mut records = Vec::with_capacity(list.entries.len());
    let mut bad = Vec::new();
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
            Err(error) => bad.push(unreadable(&entry.key, &error)),
        }
    }
    Ok(RecordList {
        revision: list.revision,
        records,
        unreadable: bad,
    })
}

async fn try_pause(turn: u32) {
    let ceiling = TRY_PAUSE_MAX.min(Duration::from_millis(4 << turn.min(8)));
    tokio::time::sleep(ceiling.mul_f64(rand::random::<f64>())).await;
}
