//! Queries to a target about the runs it executes.

use {
    super::run_grant::RunGrant,
    crate::node::EntryNode,
    bytes::Bytes,
    dotterelshore_domain::names::EntryStamp,
    dotterelshore_wire::{
        http_client::{HttpFault, request_to},
        target_message::{RunReport, RunState, RunningReport},
    },
    hyper::Method,
    serde::de::DeserializeOwned,
    std::{sync::Arc, time::Duration},
};

/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause between repeated queries; it doubles from the initial to the maximum value.
const QUERY_PAUSE_INITIAL: Duration = Duration::from_millis(50);
const QUERY_PAUSE_MAX: Duration = Duration::from_secs(2);

async fn query<T: DeserializeOwned>(
    node: &EntryNode,
    method: Method,
    address: &str,
    path: &str,
) -> Result<T, HttpFault> {
    let request = request_to(method, address, path, &[], Bytes::new())?;
    let response = node.targets.send(request, QUERY_TIMEOUT).await?;
    serde_json::from_slice(&response.body).map_err(|error| HttpFault::NoResponse {
        detail: error.to_string(),
    })
}

/// Returns the number of runs that a target executes for one incarnation of an entry.
///
/// # Errors
///
/// Fails if the target can't be reached, does not answer in time, or sends invalid JSON.
pub(crate) async fn running_for_entry(
    node: &EntryNode,
    address: &str,
    entry: &EntryStamp,
) -> Result<u32, HttpFault> {
    let report: RunningReport = query(
        node,
        Method::GET,
        address,
        &format!("/running?entry={entry}"),
    )
    .await?;
    Ok(report.running)
}

/// Whether a target confirms that it executes no run of any entry.
pub(crate) async fn is_instance_idle(node: &EntryNode, address: &str) -> bool {
    let report: Result<RunningReport, _> = query(node, Method::GET, address, "/running").await;
    report.is_ok_and(|report| report.running == 0)
}

/// Fences a run whose outcome is unknown, and holds its grant until the run has ended.
///
/// The run has ended when the target confirms it or the platform lists the target as stopped.
pub(crate) async fn confirm_run_end(node: Arc<EntryNode>, grant: RunGrant, run_id: String) {
    let mut pause = QUERY_PAUSE_INITIAL;
    loop {
        if node.fleet.is_stopped(&grant.endpoint().name) {
            break;
        }
        let report: Result<RunReport, _> = query(
            &node,
            Method::DELETE,
            &grant.endpoint().address,
            &format!("/runs/{run_id}"),
        )
        .await;
        if report.is_ok_and(|report| report.state != RunState::Running) {
            break;
        }
        tokio::time::sleep(pause).await;
        pause = QUERY_PAUSE_MAX.min(pause * 2);
    }
    drop(grant);
}
