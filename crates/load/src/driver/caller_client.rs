//! A caller: sends requests and checks that each response is complete and its own.

use {
    bytes::Bytes,
    dotterelshore_standins::{
        history::{HistoryEvent, HistoryWriter},
        targets::TargetWork,
    },
    dotterelshore_wire::{
        http_client::{HttpClient, HttpFault, HttpResponse, request_to},
        operator_message::{HEADER_REVISION, JobReport},
        problem_details::ProblemDetails,
    },
    hyper::Method,
    std::time::Duration,
};

/// Maximum size of a response body, in bytes.
const RESPONSE_BYTES_MAX: usize = 32 * 1024 * 1024;
/// Maximum number of idle connections to each entry.
const IDLE_CONNECTIONS: usize = 512;
/// Time that a caller waits for a response beyond the request's timeout.
const RESPONSE_GRACE: Duration = Duration::from_secs(3);

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Request identifier, sent as the idempotency key.
    pub id: String,
    /// Team of the caller.
    pub team: String,
    /// Key of the team.
    pub key: String,
    /// Queue of the request.
    pub queue: String,
    /// Whether the request is sent as idempotent.
    pub idempotent: bool,
    /// Timeout that the request names.
    pub timeout: Duration,
    /// Instructions to the target.
    pub work: TargetWork,
}

/// Result of a request, from the caller's side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The complete response to this request arrived.
    Complete,
    /// A response arrived that is incomplete or belongs to another request.
    Incorrect,
    /// The entry refused the request.
    Refused(ProblemDetails),
    /// The entry was unreachable; nothing was sent.
    Unreachable,
    /// No response arrived, or an unreadable one.
    Lost,
}

/// Client of the entries that records its requests and results in a history.
#[derive(Debug, Clone)]
pub struct CallerClient {
    http: HttpClient,
    history: HistoryWriter,
}

impl CallerClient {
    /// Creates a client that records to `history`.
    pub fn new(history: HistoryWriter) -> Self {
        Self {
            http: HttpClient::new(IDLE_CONNECTIONS, RESPONSE_BYTES_MAX),
            history,
        }
    }

    /// Sends a request to an entry and checks the response.
    pub async fn call(&self, entry: &str, request: &CallerRequest) -> CallResult {
        self.history.record(HistoryEvent::Sent {
            id: request.id.clone(),
            team: request.team.clone(),
            queue: request.queue.clone(),
            key: request.key.clone(),
            idempotent: request.idempotent,
            entry: entry.to_owned(),
        });
        let response = self.send(entry, request).await;
        let result = classify(&response, request);
        self.history.record(history_event(
            entry,
            request,
            &result,
            response.as_ref().ok(),
        ));
        result
    }

    async fn send(&self, entry: &str, request: &CallerRequest) -> Result<HttpResponse, HttpFault> {
        let authorization = format!("Bearer {}", request.key);
        let timeout = request.timeout.as_secs_f64().to_string();
        let method = if request.idempotent {
            Method::PUT
        } else {
            Method::POST
        };
        let headers = [
            ("authorization", authorization.as_str()),
            ("idempotency-key", request.id.as_str()),
            ("request-timeout", timeout.as_str()),
            ("content-type", "application/json"),
        ];
        let body = serde_json::to_vec(&request.work).unwrap_or_default();
        let path = format!("/v1/queues/{}/requests", request.queue);
        let outgoing = request_to(method, entry, &path, &headers, Bytes::from(body))?;
        self.http
            .send(outgoing, request.timeout + RESPONSE_GRACE)
            .await
    }

    /// Submits a job and records its acceptance.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or `None` if no readable response arrived.
    pub async fn submit(
        &self,
        entry: &str,
        request: &CallerRequest,
    ) -> Result<JobReport, Option<ProblemDetails>> {
        let path = format!("/v1/queues/{}/jobs", request.queue);
        let body = serde_json::to_vec(&request.work).unwrap_or_default();
        let report = self
            .job_call(Method::POST, entry, &path, request, Bytes::from(body))
            .await?;
        self.history.record(HistoryEvent::JobAccepted {
            job: report.job.to_string(),
        });
        Ok(report)
    }

    /// Reads a job, or cancels it if `cancel` is set.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or `None` if no readable response arrived.
    pub async fn read_job(
        &self,
        entry: &str,
        job: &str,
        request: &CallerRequest,
        cancel: bool,
    ) -> Result<JobReport, Option<ProblemDetails>> {
        let method = if cancel { Method::DELETE } else { Method::GET };
        let report = self
            .job_call(
                method,
                entry,
                &format!("/v1/jobs/{job}"),
                request,
                Bytes::new(),
            )
            .await?;
        if report.state.is_terminal() {
            let state = format!("{:?}", report.state);
            self.history.record(HistoryEvent::JobRead {
                job: job.to_owned(),
                state,
            });
        }
        Ok(report)
    }

    async fn job_call(
        &self,
        method: Method,
        entry: &str,
        path: &str,
        request: &CallerRequest,
        body: Bytes,
    ) -> Result<JobReport, Option<ProblemDetails>> {
        let authorization = format!("Bearer {}", request.key);
        let headers = [
            ("authorization", authorization.as_str()),
            ("idempotency-key", request.id.as_str()),
        ];
        let outgoing = request_to(method, entry, path, &headers, body)
            .ok()
            .ok_or(None)?;
        let response = self
            .http
            .send(outgoing, request.timeout + RESPONSE_GRACE)
            .await
            .ok()
            .ok_or(None)?;
        if response.status.is_success() {
            return serde_json::from_slice(&response.body).ok().ok_or(None);
        }
        Err(serde_json::from_slice(&response.body).ok())
    }
}

fn classify(response: &Result<HttpResponse, HttpFault>, request: &CallerRequest) -> CallResult {
    let response = match response {
        Ok(response) => response,
        Err(HttpFault::NotSent { .. }) => return CallResult::Unreachable,
        Err(_) => return CallResult::Lost,
    };
    if response.status.is_success() {
        let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let complete =
            body["id"] == request.id.as_str() && body["nonce"] == request.work.nonce.as_str();
        return if complete {
            CallResult::Complete
        } else {
            CallResult::Incorrect
        };
    }
    serde_json::from_slice(&response.body).map_or(CallResult::Lost, CallResult::Refused)
}

fn history_event(
    entry: &str,
    request: &CallerRequest,
    result: &CallResult,
    response: Option<&HttpResponse>,
) -> HistoryEvent {
    let id = request.id.clone();
    let entry = entry.to_owned();
    let revision = response
        .and_then(|response| response.header(HEADER_REVISION)?.parse().ok())
        .unwrap_or_default();
    match result {
        CallResult::Complete => HistoryEvent::Answered {
            id,
            complete: true,
            revision,
            entry,
        },
        CallResult::Incorrect => HistoryEvent::Answered {
            id,
            complete: false,
            revision,
            entry,
        },
        CallResult::Refused(problem) => {
            let not_run = problem.outcome == dotterelshore_domain::codes::RunOutcome::NotRun;
            HistoryEvent::Refused {
                id,
                code: problem.code,
                not_run,
                entry,
            }
        }
        CallResult::Lost | CallResult::Unreachable => HistoryEvent::Lost { id, entry },
    }
}
