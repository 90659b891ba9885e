//! A target's own word on what runs there.

use {
    super::run_turn::RunTurn,
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

/// Longest wait for a target's word.
const WORD_TIMEOUT: Duration = Duration::from_millis(1500);
/// First and longest pause between askings.
const ASK_FIRST: Duration = Duration::from_millis(50);
const ASK_LONGEST: Duration = Duration::from_secs(2);

async fn ask<T: DeserializeOwned>(
    node: &EntryNode,
    method: Method,
    address: &str,
    path: &str,
) -> Result<T, HttpFault> {
    let request = request_to(method, address, path, &[], Bytes::new())?;
    let answer = node.targets.send(request, WORD_TIMEOUT).await?;
    serde_json::from_slice(&answer.body).map_err(|error| HttpFault::NoResponse {
        detail: error.to_string(),
    })
}

/// How much a target has running for one life of an entry.
pub(crate) async fn running_for(
    node: &EntryNode,
    address: &str,
    entry: &EntryStamp,
) -> Result<u32, HttpFault> {
    let report: RunningReport = ask(
        node,
        Method::GET,
        address,
        &format!("/running?entry={entry}"),
    )
    .await?;
    Ok(report.running)
}

/// Whether a target says that nothing runs there.
pub(crate) async fn instance_quiet(node: &EntryNode, address: &str) -> bool {
    let report: Result<RunningReport, _> = ask(node, Method::GET, address, "/running").await;
    report.is_ok_and(|report| report.running == 0)
}

/// Fences a run whose outcome is unknown, and keeps its turn until the target's word, or
/// the platform's that the target is down, shows that it ended.
pub(crate) async fn settle_run(node: Arc<EntryNode>, turn: RunTurn, run: String) {
    let mut pause = ASK_FIRST;
    loop {
        if node.fleet.is_stopped(&turn.seat().name) {
            break;
        }
        let report: Result<RunReport, _> = ask(
            &node,
            Method::DELETE,
            &turn.seat().address,
            &format!("/runs/{run}"),
        )
        .await;
        if report.is_ok_and(|report| report.state != RunState::Running) {
            break;
        }
        tokio::time::sleep(pause).await;
        pause = ASK_LONGEST.min(pause * 2);
    }
    drop(turn);
}
