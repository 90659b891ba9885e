//! An operator's calls to any entry.

use {
    crate::{
        http_link::{HttpFault, HttpLink, request_to},
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

/// Largest answer taken, in bytes.
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;
/// Longest call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between askings whether a revision is in force.
const FORCE_PAUSE: Duration = Duration::from_millis(50);
/// How often a row change is made anew because others changed the table.
const CHANGE_TRIES_MAX: u32 = 20;

/// Why an operator's call failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum OperatorFault {
    /// No entry of those given answered.
    #[snafu(display("no entry answered ({tried}); last: {source}"))]
    NoEntry {
        /// The entries tried.
        tried: String,
        /// What the last exchange said.
        source: HttpFault,
    },
    /// The entry refused.
    #[snafu(display("{} ({}): {}", problem.title, problem.code, problem.detail))]
    Refused {
        /// The refusal.
        problem: ProblemDetails,
    },
    /// The answer was not one of ours.
    #[snafu(display("the answer can't be read: {detail}"))]
    Unreadable {
        /// What the decoder said.
        detail: String,
    },
}

impl OperatorFault {
    /// Whether the entry refused with this code.
    pub fn is(&self, code: ResultCode) -> bool {
        matches!(self, Self::Refused { problem } if problem.code == code.number())
    }
}

/// An operator's client: tries the entries in order.
#[derive(Clone)]
pub struct OperatorLink {
    http: HttpLink,
    entries: Vec<String>,
    token: String,
}

impl std::fmt::Debug for OperatorLink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OperatorLink")
            .field("entries", &self.entries)
            .finish_non_exhaustive()
    }
}

impl OperatorLink {
    /// A client of the entries given as host and port.
    pub fn new(entries: Vec<String>, token: String) -> Self {
        Self {
            http: HttpLink::new(2, ANSWER_BYTES_MAX),
            entries,
            token,
        }
    }

    /// The table in force at the entry.
    ///
    /// # Errors
    ///
    /// No entry answered, or the entry refused.
    pub async fn table(&self) -> Result<FleetTable, OperatorFault> {
        self.call(Method::GET, "table", &()).await
    }

    /// Records changes as the next revision.
    ///
    /// # Errors
    ///
    /// No entry answered, or the entry refused.
    pub async fn apply(&self, order: &ApplyRequest) -> Result<u64, OperatorFault> {
        let receipt: ApplyResponse = self.call(Method::POST, "table", order).await?;
        Ok(receipt.revision)
    }

    /// Changes rows whatever else others change meanwhile; `None` if nothing was to change.
    ///
    /// # Errors
    ///
    /// No entry answered, the entry refused, or the choice failed.
    pub async fn change_rows(
        &self,
        author: &str,
        choose: impl Fn(&FleetTable) -> Result<Vec<RowChange>, OperatorFault>,
    ) -> Result<Option<u64>, OperatorFault> {
        let token = rand::random();
        let mut tries = 0;
        loop {
            let table = self.table().await?;
            let rows = choose(&table)?;
            if rows.is_empty() {
                return Ok(None);
            }
            let order = ApplyRequest {
                base_revision: table.revision,
                token,
                author: author.to_owned(),
                rows,
            };
            match self.apply(&order).await {
                Err(fault)
                    if fault.is(ResultCode::RevisionOutdated) && tries < CHANGE_TRIES_MAX =>
                {
                    tries += 1;
                    tokio::time::sleep(FORCE_PAUSE.mul_f64(rand::random::<f64>())).await;
                }
                applied => return applied.map(Some),
            }
        }
    }

    /// How far a revision is in force.
    ///
    /// # Errors
    ///
    /// No entry answered, or the entry refused.
    pub async fn revision_status(&self, revision: u64) -> Result<RevisionStatus, OperatorFault> {
        self.call(Method::GET, &format!("force?revision={revision}"), &())
            .await
    }

    /// Waits until every live entry has a revision in force, or until `wait` has passed.
    ///
    /// # Errors
    ///
    /// No entry answered, or the entry refused.
    pub async fn await_revision(
        &self,
        revision: u64,
        wait: Duration,
    ) -> Result<RevisionStatus, OperatorFault> {
        let until = Instant::now() + wait;
        loop {
            let report = self.revision_status(revision).await?;
            if report.awaiting.is_empty() || Instant::now() >= until {
                return Ok(report);
            }
            tokio::time::sleep(FORCE_PAUSE).await;
        }
    }

    /// The changes still kept.
    ///
    /// # Errors
    ///
    /// No entry answered, or the entry refused.
    pub async fn history(&self) -> Result<HistoryReport, OperatorFault> {
        self.call(Method::GET, "history", &()).await
    }

    /// What each team is getting, what is out, what is late.
    ///
    /// # Errors
    ///
    /// No entry answered, or the entry refused.
    pub async fn status(&self) -> Result<StatusReport, OperatorFault> {
        self.call(Method::GET, "status", &()).await
    }

    /// Every instance recorded.
    ///
    /// # Errors
    ///
    /// No entry answered, or the entry refused.
    pub async fn instances(&self) -> Result<Vec<InstanceRecord>, OperatorFault> {
        self.call(Method::GET, "instances", &()).await
    }

    /// Records new instances; returns how many were new.
    ///
    /// # Errors
    ///
    /// No entry answered, or the entry refused.
    pub async fn add_instances(&self, instances: &[NewInstance]) -> Result<usize, OperatorFault> {
        self.call(Method::POST, "instances", &instances).await
    }

    /// Moves an instance to another pool.
    ///
    /// # Errors
    ///
    /// No entry answered, or the entry refused.
    pub async fn move_instance(
        &self,
        name: &InstanceName,
        order: &MoveRequest,
    ) -> Result<InstanceName, OperatorFault> {
        self.call(Method::POST, &format!("instances/{name}/move"), order)
            .await
    }

    /// Drains an instance, or resumes it.
    ///
    /// # Errors
    ///
    /// No entry answered, or the entry refused.
    pub async fn set_drained(
        &self,
        name: &InstanceName,
        drained: bool,
    ) -> Result<InstanceName, OperatorFault> {
        let verb = if drained { "drain" } else { "resume" };
        self.call(Method::POST, &format!("instances/{name}/{verb}"), &())
            .await
    }

    /// Every wave recorded.
    ///
    /// # Errors
    ///
    /// No entry answered, or the entry refused.
    pub async fn waves(&self) -> Result<Vec<WaveRecord>, OperatorFault> {
        self.call(Method::GET, "waves", &()).await
    }

    /// Starts a wave.
    ///
    /// # Errors
    ///
    /// No entry answered, or the entry refused.
    pub async fn start_wave(&self, form: &WaveRequest) -> Result<WaveRecord, OperatorFault> {
        self.call(Method::POST, "waves", form).await
    }

    /// Pauses a wave, or lets it go on.
    ///
    /// # Errors
    ///
    /// No entry answered, or the entry refused.
    pub async fn set_paused(
        &self,
        wave: &WaveName,
        paused: bool,
    ) -> Result<WaveRecord, OperatorFault> {
        let verb = if paused { "pause" } else { "resume" };
        self.call(Method::POST, &format!("waves/{wave}/{verb}"), &())
            .await
    }

    /// Calls the entries in order until one answers. An order that may have reached an
    /// entry is not sent to another.
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
            detail: "no entry was given".to_owned(),
        };
        for entry in &self.entries {
            let path = format!("/operator/v1/{path}");
            let request = request_to(method.clone(), entry, &path, &headers, bytes.clone());
            let answer = match request {
                Ok(request) => self.http.send(request, CALL_TIMEOUT).await,
                Err(fault) => Err(fault),
            };
            match answer {
                Ok(answer) if answer.status.is_success() => return decode(&answer.body),
                Ok(answer) => {
                    return Err(OperatorFault::Refused {
                        problem: decode(&answer.body)?,
                    });
                }
                Err(fault) => {
                    let may_go_on =
                        method == Method::GET || matches!(fault, HttpFault::NotSent { .. });
                    last = fault;
                    if !may_go_on {
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
