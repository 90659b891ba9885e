//! Calls to a worker that start, renew and fence one epoch of a job.

use {
    crate::node::EntryNode,
    bytes::Bytes,
    dotterelshore_domain::job::JobRecord,
    dotterelshore_wire::{
        http_client::{HttpFault, HttpResponse, request_to},
        target_message::{
            HEADER_ENTRY, HEADER_EPOCH, HEADER_LEASE_MS, HEADER_OUTCOME, HEADER_TEAM,
            OUTCOME_NOT_RUN, TaskReport,
        },
    },
    hyper::Method,
    std::time::Duration,
};

/// Timeout of one call to a worker.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of starting an epoch on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StartResult {
    /// The worker accepted the start, or may have received it.
    Sent,
    /// The worker is full or has seen a newer epoch, and ran nothing.
    Refused,
    /// The request did not reach the worker.
    Unreachable,
}

/// An epoch of a job and the address of the worker that runs it.
#[derive(Debug, Clone)]
pub(super) struct WorkerRun {
    pub(super) address: String,
    pub(super) job: String,
    pub(super) epoch: u64,
    /// The entry that holds the permit of the run.
    pub(super) entry: String,
}

impl WorkerRun {
    /// Starts the epoch on the worker.
    pub(super) async fn start(&self, node: &EntryNode, record: &JobRecord) -> StartResult {
        let epoch = self.epoch.to_string();
        let lease = lease_ms(node);
        let headers = [
            (HEADER_TEAM, record.team.as_str()),
            (HEADER_ENTRY, self.entry.as_str()),
            (HEADER_EPOCH, epoch.as_str()),
            (HEADER_LEASE_MS, lease.as_str()),
        ];
        let path = format!("/tasks/{}", self.job);
        let body = Bytes::from(record.body.clone());
        match call(node, Method::PUT, &self.address, &path, &headers, body).await {
            Ok(response) if response.header(HEADER_OUTCOME) == Some(OUTCOME_NOT_RUN) => {
                StartResult::Refused
            }
            Err(HttpFault::NotSent { .. }) => StartResult::Unreachable,
            Ok(_) | Err(_) => StartResult::Sent,
        }
    }

    /// Renews the task's lease, and returns the task's state if the worker answers.
    pub(super) async fn renew(&self, node: &EntryNode) -> Option<TaskReport> {
        let lease = lease_ms(node);
        let headers = [
            (HEADER_LEASE_MS, lease.as_str()),
            (HEADER_ENTRY, self.entry.as_str()),
        ];
        let path = format!("/tasks/{}/lease?epoch={}", self.job, self.epoch);
        report(
            call(
                node,
                Method::POST,
                &self.address,
                &path,
                &headers,
                Bytes::new(),
            )
            .await,
        )
    }

    /// Stops the task, or keeps it from starting if it has not started yet.
    pub(super) async fn fence(&self, node: &EntryNode) -> Option<TaskReport> {
        let path = format!("/tasks/{}?epoch={}", self.job, self.epoch);
        report(
            call(
                node,
                Method::DELETE,
                &self.address,
                &path,
                &[],
                Bytes::new(),
            )
            .await,
        )
    }
}

fn lease_ms(node: &EntryNode) -> String {
    node.settings.task_lease.as_millis().to_string()
}

async fn call(
    node: &EntryNode,
    method: Method,
    address: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<HttpResponse, HttpFault> {
    let request = request_to(method, address, path, headers, body)?;
    node.targets.send(request, CALL_TIMEOUT).await
}

fn report(response: Result<HttpResponse, HttpFault>) -> Option<TaskReport> {
    serde_json::from_slice(&response.ok()?.body).ok()
}
