//! A caller: sends a request, checks that the answer is the whole one to it.

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

/// Largest answer taken, in bytes.
const ANSWER_BYTES_MAX: usize = 32 * 1024 * 1024;
/// Spare connections to each entry.
const IDLE_CONNECTIONS: usize = 512;
/// How much longer than its deadline a caller waits for an answer.
const GRACE: Duration = Duration::from_secs(3);

/// A request as a caller sends it.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Its identifier.
    pub id: String,
    /// The team.
    pub team: String,
    /// The team's key.
    pub key: String,
    /// The queue.
    pub queue: String,
    /// Whether it is marked idempotent.
    pub idempotent: bool,
    /// How long the caller waits.
    pub timeout: Duration,
    /// What the target is asked to do.
    pub work: TargetWork,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The whole answer to this request came.
    Whole,
    /// An answer came that is not the whole one to this request.
    Wrong,
    /// It was refused.
    Refused(ProblemDetails),
    /// The entry could not be reached; nothing was sent.
    Unreached,
    /// Nothing came, or what came can't be read.
    Lost,
}

/// Callers' connections to the entries.
#[derive(Debug, Clone)]
pub struct CallerLink {
    http: HttpClient,
    history: HistoryWriter,
}

impl CallerLink {
    /// Callers who write what they see to `history`.
    pub fn new(history: HistoryWriter) -> Self {
        Self {
            http: HttpClient::new(IDLE_CONNECTIONS, ANSWER_BYTES_MAX),
            history,
        }
    }

    /// Sends a request to an entry and checks the answer.
    pub async fn call(&self, entry: &str, request: &SentRequest) -> CallResult {
        self.history.record(HistoryEvent::Sent {
            id: request.id.clone(),
            team: request.team.clone(),
            queue: request.queue.clone(),
            key: request.key.clone(),
            idempotent: request.idempotent,
            entry: entry.to_owned(),
        });
        let answer = self.send(entry, request).await;
        let result = judge(&answer, request);
        self.history
            .record(seen(entry, request, &result, answer.as_ref().ok()));
        result
    }

    async fn send(&self, entry: &str, request: &SentRequest) -> Result<HttpResponse, HttpFault> {
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
        let sent = request_to(method, entry, &path, &headers, Bytes::from(body))?;
        self.http.send(sent, request.timeout + GRACE).await
    }

    /// Submits a job; the answer says that it is accepted.
    ///
    /// # Errors
    ///
    /// The refusal, or `None` if nothing came.
    pub async fn submit(
        &self,
        entry: &str,
        request: &SentRequest,
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

    /// Reads a job, or cancels it.
    ///
    /// # Errors
    ///
    /// The refusal, or `None` if nothing came.
    pub async fn read_job(
        &self,
        entry: &str,
        job: &str,
        request: &SentRequest,
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
        request: &SentRequest,
        body: Bytes,
    ) -> Result<JobReport, Option<ProblemDetails>> {
        let authorization = format!("Bearer {}", request.key);
        let headers = [
            ("authorization", authorization.as_str()),
            ("idempotency-key", request.id.as_str()),
        ];
        let sent = request_to(method, entry, path, &headers, body)
            .ok()
            .ok_or(None)?;
        let answer = self
            .http
            .send(sent, request.timeout + GRACE)
            .await
            .ok()
            .ok_or(None)?;
        if answer.status.is_success() {
            return serde_json::from_slice(&answer.body).ok().ok_or(None);
        }
        Err(serde_json::from_slice(&answer.body).ok())
    }
}

fn judge(answer: &Result<HttpResponse, HttpFault>, request: &SentRequest) -> CallResult {
    let answer = match answer {
        Ok(answer) => answer,
        Err(HttpFault::NotSent { .. }) => return CallResult::Unreached,
        Err(_) => return CallResult::Lost,
    };
    if answer.status.is_success() {
        let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let complete =
            body["id"] == request.id.as_str() && body["nonce"] == request.work.nonce.as_str();
        return if complete {
            CallResult::Whole
        } else {
            CallResult::Wrong
        };
    }
    serde_json::from_slice(&answer.body).map_or(CallResult::Lost, CallResult::Refused)
}

fn seen(
    entry: &str,
    request: &SentRequest,
    result: &CallResult,
    answer: Option<&HttpResponse>,
) -> HistoryEvent {
    let id = request.id.clone();
    let entry = entry.to_owned();
    let revision = answer
        .and_then(|answer| answer.header(HEADER_REVISION)?.parse().ok())
        .unwrap_or_default();
    match result {
        CallResult::Whole => HistoryEvent::Answered {
            id,
            complete: true,
            revision,
            entry,
        },
        CallResult::Wrong => HistoryEvent::Answered {
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
        CallResult::Lost | CallResult::Unreached => HistoryEvent::Lost { id, entry },
    }
}
