//! Client of the operator API of the entries.

use {
    crate::{
        http_client::{HttpClient, HttpFault, request_to},
        operator_message::{
            ApplyRequest, ApplyResponse, HistoryReport, MoveRequest, NewInstance, RevisionStatus,
            StatusReport, WaveRequest,
        },
        problem_details::ProblemDetails,
    },
    bytes::Bytes,
    dotterelshore_domain::{
        codes::ResultCode,
        fleet::InstanceRecord,
        names::{InstanceName, WaveName},
        table::{FleetTable, RowChange},
        wave::WaveRecord,
    },
    hyper::Method,
    serde::{Serialize, de::DeserializeOwned},
    snafu::Snafu,
    std::time::{Duration, Instant},
};

/// Maximum size of a response, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;
/// Maximum duration of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between polls of a revision's status, and maximum pause before a row change
/// is retried.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of retries of a row change that conflicts with other changes.
const CHANGE_RETRIES_MAX: u32 = 20;

/// Error of a call to the operator API.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum OperatorFault {
    /// None of the given entries responded.
    #[snafu(display("no entry answered ({tried}); last: {source}"))]
    NoEntry {
        /// The entries tried.
        tried: String,
        /// The error of the last call.
        source: HttpFault,
    },
    /// The entry refused.
    #[snafu(display("{} ({}): {}", problem.title, problem.code, problem.detail))]
    Refused {
        /// The refusal.
        problem: ProblemDetails,
    },
    /// The response is malformed.
    #[snafu(display("malformed response: {detail}"))]
    Unreadable {
        /// The error of the decoder.
        detail: String,
    },
}

impl OperatorFault {
    /// Whether the entry refused with this code.
    pub fn is(&self, code: ResultCode) -> bool {
        matches!(self, Self::Refused { problem } if problem.code == code.number())
    }
}

/// A client of the operator API that tries the entries in order.
#[derive(Clone)]
pub struct OperatorClient {
    http: HttpClient,
    entries: Vec<String>,
    token: String,
}

impl std::fmt::Debug for OperatorClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OperatorClient")
            .field("entries", &self.entries)
            .finish_non_exhaustive()
    }
}

impl OperatorClient {
    /// Creates a client of the entries, given as host and port.
    pub fn new(entries: Vec<String>, token: String) -> Self {
        Self {
            http: HttpClient::new(2, RESPONSE_BYTES_MAX),
            entries,
            token,
        }
    }

    /// Returns the table in force at the entry.
    ///
    /// # Errors
    ///
    /// No entry responded, or the entry refused.
    pub async fn table(&self) -> Result<FleetTable, OperatorFault> {
        self.call(Method::GET, "table", &()).await
    }

    /// Records changes as the next revision.
    ///
    /// # Errors
    ///
    /// No entry responded, or the entry refused.
    pub async fn apply(&self, request: &ApplyRequest) -> Result<u64, OperatorFault> {
        let response: ApplyResponse = self.call(Method::POST, "table", request).await?;
        Ok(response.revision)
    }

    /// Records the rows that `choose` returns for the current table as the next revision.
    /// Retries if others change the table concurrently. Returns the revision, or `None` if
    /// there are no changes.
    ///
    /// # Errors
    ///
    /// No entry responded, the entry refused, or `choose` failed.
    pub async fn change_rows(
        &self,
        author: &str,
        choose: impl Fn(&FleetTable) -> Result<Vec<RowChange>, OperatorFault>,
    ) -> Result<Option<u64>, OperatorFault> {
        let token = rand::random();
        let mut retries = 0;
        loop {
            let table = self.table().await?;
            let rows = choose(&table)?;
            if rows.is_empty() {
                return Ok(None);
            }
            let request = ApplyRequest {
                base_revision: table.revision,
                token,
                author: author.to_owned(),
                rows,
            };
            match self.apply(&request).await {
                Err(fault)
                    if fault.is(ResultCode::RevisionOutdated) && retries < CHANGE_RETRIES_MAX =>
                {
                    retries += 1;
                    tokio::time::sleep(POLL_INTERVAL.mul_f64(rand::random::<f64>())).await;
                }
                applied => return applied.map(Some),
            }
        }
    }

    /// Returns the entries at which a revision is in force.
    ///
    /// # Errors
    ///
    /// No entry responded, or the entry refused.
    pub async fn revision_status(&self, revision: u64) -> Result<RevisionStatus, OperatorFault> {
        self.call(Method::GET, &format!("force?revision={revision}"), &())
            .await
    }

    /// Waits until a revision is in force at every live entry, or `wait` has elapsed.
    ///
    /// # Errors
    ///
    /// No entry responded, or the entry refused.
    pub async fn await_revision(
        &self,
        revision: u64,
        wait: Duration,
    ) -> Result<RevisionStatus, OperatorFault> {
        let deadline = Instant::now() + wait;
        loop {
            let status = self.revision_status(revision).await?;
            if status.awaiting.is_empty() || Instant::now() >= deadline {
                return Ok(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the retained changes of the table.
    ///
    /// # Errors
    ///
    /// No entry responded, or the entry refused.
    pub async fn history(&self) -> Result<HistoryReport, OperatorFault> {
        self.call(Method::GET, "history", &()).await
    }

    /// Returns the status of pools, teams and waves.
    ///
    /// # Errors
    ///
    /// No entry responded, or the entry refused.
    pub async fn status(&self) -> Result<StatusReport, OperatorFault> {
        self.call(Method::GET, "status", &()).await
    }

    /// Returns all recorded instances.
    ///
    /// # Errors
    ///
    /// No entry responded, or the entry refused.
    pub async fn instances(&self) -> Result<Vec<InstanceRecord>, OperatorFault> {
        self.call(Method::GET, "instances", &()).await
    }

    /// Records new instances and returns the number of those not recorded before.
    ///
    /// # Errors
    ///
    /// No entry responded, or the entry refused.
    pub async fn add_instances(&self, instances: &[NewInstance]) -> Result<usize, OperatorFault> {
        self.call(Method::POST, "instances", &instances).await
    }

    /// Requests the move of an instance to another pool.
    ///
    /// # Errors
    ///
    /// No entry responded, or the entry refused.
    pub async fn move_instance(
        &self,
        name: &InstanceName,
        request: &MoveRequest,
    ) -> Result<InstanceName, OperatorFault> {
        self.call(Method::POST, &format!("instances/{name}/move"), request)
            .await
    }

    /// Drains an instance, or puts it back into service.
    ///
    /// # Errors
    ///
    /// No entry responded, or the entry refused.
    pub async fn set_drained(
        &self,
        name: &InstanceName,
        drained: bool,
    ) -> Result<InstanceName, OperatorFault> {
        let verb = if drained { "drain" } else { "resume" };
        self.call(Method::POST, &format!("instances/{name}/{verb}"), &())
            .await
    }

    /// Returns all recorded waves.
    ///
    /// # Errors
    ///
    /// No entry responded, or the entry refused.
    pub async fn waves(&self) -> Result<Vec<WaveRecord>, OperatorFault> {
        self.call(Method::GET, "waves", &()).await
    }

    /// Starts a wave.
    ///
    /// # Errors
    ///
    /// No entry responded, or the entry refused.
    pub async fn start_wave(&self, request: &WaveRequest) -> Result<WaveRecord, OperatorFault> {
        self.call(Method::POST, "waves", request).await
    }

    /// Pauses or resumes a wave.
    ///
    /// # Errors
    ///
    /// No entry responded, or the entry refused.
    pub async fn set_paused(
        &self,
        wave: &WaveName,
        paused: bool,
    ) -> Result<WaveRecord, OperatorFault> {
        let verb = if paused { "pause" } else { "resume" };
        self.call(Method::POST, &format!("waves/{wave}/{verb}"), &())
            .await
    }

    /// Calls the entries in order until one responds. A request other than GET that may have
    /// reached an entry is not sent to another.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, OperatorFault> {
        let authorization = format!("Bearer {}", self.token);
        let headers = [
            ("authorization", authorization.as_str()),
            ("content-type", "application/json"),
        ];
        let bytes = if method == Method::GET {
            Vec::new()
        } else {
            encode(body)?
        };
        let bytes = Bytes::from(bytes);
        let mut last = HttpFault::NotSent {
            detail: "no entries given".to_owned(),
        };
        for entry in &self.entries {
            let path = format!("/operator/v1/{path}");
            let request = request_to(method.clone(), entry, &path, &headers, bytes.clone());
            let response = match request {
                Ok(request) => self.http.send(request, CALL_TIMEOUT).await,
                Err(fault) => Err(fault),
            };
            match response {
                Ok(response) if response.status.is_success() => return decode(&response.body),
                Ok(response) => {
                    return Err(OperatorFault::Refused {
                        problem: decode(&response.body)?,
                    });
                }
                Err(fault) => {
                    let may_retry =
                        method == Method::GET || matches!(fault, HttpFault::NotSent { .. });
                    last = fault;
                    if !may_retry {
                        break;
                    }
                }
            }
        }
        Err(OperatorFault::NoEntry {
            tried: self.entries.join(", "),
            source: last,
        })
    }
}

fn encode(body: &impl Serialize) -> Result<Vec<u8>, OperatorFault> {
    serde_json::to_vec(body).map_err(|error| OperatorFault::Unreadable {
        detail: error.to_string(),
    })
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, OperatorFault> {
    serde_json::from_slice(body).map_err(|error| OperatorFault::Unreadable {
        detail: error.to_string(),
    })
}
