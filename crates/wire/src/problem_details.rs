//! Refusals as HTTP problem details (RFC 9457).

use {
    crate::http_server::{FullResponse, content_response},
    dotterelshore_domain::codes::{Refusal, ResultCode, RunOutcome},
    hyper::header::HeaderValue,
    serde::{Deserialize, Serialize},
};

/// Content type of problem details.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// A refusal as callers receive it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemDetails {
    /// Identifies the problem type.
    pub r#type: String,
    /// One-line description.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// Details of this occurrence.
    pub detail: String,
    /// The numbered code.
    pub code: u16,
    /// Whether the work may have run.
    pub outcome: RunOutcome,
}

impl From<&Refusal> for ProblemDetails {
    fn from(refusal: &Refusal) -> Self {
        Self {
            r#type: format!("urn:dotterelshore:{}", refusal.code.slug()),
            title: refusal.code.title().to_owned(),
            status: refusal.code.status(),
            detail: refusal.detail.clone(),
            code: refusal.code.number(),
            outcome: refusal.outcome,
        }
    }
}

impl ProblemDetails {
    /// Returns the result code, if this version defines it.
    pub fn result_code(&self) -> Option<ResultCode> {
        ResultCode::ALL
            .iter()
            .copied()
            .find(|code| code.number() == self.code)
    }
}

/// Creates the HTTP response for a refusal.
pub fn problem_response(refusal: &Refusal) -> FullResponse {
    let problem = ProblemDetails::from(refusal);
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = content_response(problem.status, PROBLEM_TYPE, body);
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_millis().div_ceil(1000).max(1);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            response.headers_mut().insert("retry-after", value);
        }
    }
    response
}
