//! Endpoints for operators, protected by the operators' token.

use {
    super::front_request::{FrontRequest, malformed},
    crate::{node::EntryNode, peers, table, waves},
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        collections::FastMap,
        names::{EntryName, InstanceName, KeyDigest, TeamName, WaveName},
        wave::WaveStatus,
    },
    dotterelshore_wire::{
        http_server::{FullResponse, json_response},
        operator_message::{
            ApplyRequest, ApplyResponse, MoveRequest, NewInstance, StatusReport, TeamStatus,
            WaveRequest,
        },
        peer_message::{PeerCall, PeerReply, TeamUsage},
    },
    hyper::Method,
    std::{sync::Arc, time::Duration},
};

/// Timeout of a request for a peer's usage.
const USAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Age of the last confirmation of the table after which the platform counts as unreachable.
const CONFIRMATION_AGE_MAX: Duration = Duration::from_secs(15);

/// Answers one call of an operator.
///
/// # Errors
///
/// Refuses a missing or wrong token and an unknown path, and passes on refusals of the call.
pub(super) async fn respond(
    node: &Arc<EntryNode>,
    request: FrontRequest,
    parts: &[&str],
) -> Result<FullResponse, Refusal> {
    check_token(node, &request)?;
    match (request.method.clone(), parts) {
        (Method::GET, ["table"]) => Ok(json_response(200, &*node.table())),
        (Method::POST, ["table"]) => {
            let apply_request: ApplyRequest = request.json()?;
            let revision = table::apply(node, apply_request).await?;
            Ok(json_response(200, &ApplyResponse { revision }))
        }
        (Method::GET, ["force"]) => {
            let revision = request.query("revision").and_then(|text| text.parse().ok());
            let revision = revision.ok_or_else(|| malformed("revision", "write a number"))?;
            Ok(json_response(200, &table::revision_status(node, revision)))
        }
        (Method::GET, ["history"]) => Ok(json_response(200, &table::history(node).await?)),
        (Method::GET, ["status"]) => Ok(json_response(200, &status(node).await)),
        (Method::GET, ["instances"]) => {
            let records: Vec<_> = node
                .fleet
                .instances()
                .into_iter()
                .map(|cached| cached.record)
                .collect();
            Ok(json_response(200, &records))
        }
        (Method::POST, ["instances"]) => {
            let added: Vec<NewInstance> = request.json()?;
            Ok(json_response(
                200,
                &waves::add_instances(node, added).await?,
            ))
        }
        (Method::POST, ["instances", name, verb]) => {
            instance_call(node, &request, name, verb).await
        }
        (Method::GET, ["waves"]) => Ok(json_response(200, &waves::list_waves(node).await?)),
        (Method::POST, ["waves"]) => {
            let wave_request: WaveRequest = request.json()?;
            Ok(json_response(
                200,
                &waves::start_wave(node, wave_request).await?,
            ))
        }
        (Method::POST, ["waves", name, verb]) => wave_call(node, name, verb).await,
        (method, _) => {
            let detail = format!("operators have no '{method} {}'", request.path);
            Err(Refusal::not_run(ResultCode::UnknownPath, detail))
        }
    }
}

/// Checks the token by its digest, so that the comparison time reveals nothing about it.
fn check_token(node: &EntryNode, request: &FrontRequest) -> Result<(), Refusal> {
    let presented = request.bearer()?.map(KeyDigest::of);
    if presented == Some(KeyDigest::of(&node.settings.operator_token)) {
        return Ok(());
    }
    Err(Refusal::not_run(
        ResultCode::OperatorOnly,
        "send the operators' token as a bearer token",
    ))
}

async fn instance_call(
    node: &Arc<EntryNode>,
    request: &FrontRequest,
    name: &str,
    verb: &str,
) -> Result<FullResponse, Refusal> {
    let name = InstanceName::try_from(name).map_err(|fault| malformed("instance", &fault))?;
    match verb {
        "move" => {
            let move_request: MoveRequest = request.json()?;
            waves::move_instance(node, &name, &move_request.pool).await?;
        }
        "drain" => waves::drain_instance(node, &name).await?,
        "resume" => waves::resume_instance(node, &name).await?,
        _ => return Err(malformed("instance", "use move, drain or resume")),
    }
    Ok(json_response(202, &name))
}

async fn wave_call(node: &Arc<EntryNode>, name: &str, verb: &str) -> Result<FullResponse, Refusal> {
    let name = WaveName::try_from(name).map_err(|fault| malformed("wave", &fault))?;
    let status = match verb {
        "pause" => WaveStatus::Paused,
        "resume" => WaveStatus::Running,
        _ => return Err(malformed("wave", "use pause or resume")),
    };
    Ok(json_response(
        200,
        &waves::set_status(node, &name, status).await?,
    ))
}

/// Reports the usage of each team against its row, and the status of pools and waves.
async fn status(node: &Arc<EntryNode>) -> StatusReport {
    let table = node.table();
    let mut usage: FastMap<TeamName, TeamUsage> = FastMap::default();
    add_usage(&mut usage, node.schedulers.usage(node));
    let mut entries = vec![node.stamp.name.clone()];
    let mut silent = Vec::new();
    for (peer, reply) in peer_usage(node).await {
        match reply {
            Some(reported) => {
                add_usage(&mut usage, reported);
                entries.push(peer);
            }
            None => silent.push(peer),
        }
    }
    entries.sort();
    silent.sort();
    let weights: u64 = table.teams.values().map(|row| u64::from(row.weight)).sum();
    let used: u64 = usage.values().map(|usage| usage.used_ms).sum();
    let mut teams: Vec<TeamStatus> = table
        .teams
        .values()
        .map(|row| {
            let usage = usage
                .remove(&row.name)
                .unwrap_or_else(|| no_usage(&row.name));
            TeamStatus {
                team: row.name.clone(),
                due_percent: percent(u64::from(row.weight), weights),
                got_percent: percent(usage.used_ms, used),
                ceiling: row.ceiling,
                usage,
            }
        })
        .collect();
    teams.sort_by(|a, b| a.team.cmp(&b.team));
    let mut pools: Vec<_> = table
        .pools
        .values()
        .map(|row| waves::pool_status(node, row))
        .collect();
    pools.sort_by(|a, b| a.pool.cmp(&b.pool));
    StatusReport {
        entry: node.stamp.name.clone(),
        revision: table.revision,
        platform_reached: node.confirmed_age() < CONFIRMATION_AGE_MAX,
        entries,
        silent,
        pools,
        teams,
        waves: waves::list_waves(node).await.unwrap_or_default(),
    }
}

async fn peer_usage(node: &Arc<EntryNode>) -> Vec<(EntryName, Option<Vec<TeamUsage>>)> {
    let mut calls = tokio::task::JoinSet::new();
    for peer in node.peers.names() {
        let node = Arc::clone(node);
        calls.spawn(async move {
            let usage = match peers::call(&node, &peer, PeerCall::Usage, USAGE_TIMEOUT).await {
                Some(PeerReply::Usage(usage)) => Some(usage),
                _ => None,
            };
            (peer, usage)
        });
    }
    calls.join_all().await
}

fn add_usage(sum: &mut FastMap<TeamName, TeamUsage>, usage: Vec<TeamUsage>) {
    for part in usage {
        let total = sum
            .entry(part.team.clone())
            .or_insert_with(|| no_usage(&part.team));
        total.held += part.held;
        total.running += part.running;
        total.waiting += part.waiting;
        total.used_ms += part.used_ms;
        total.ended += part.ended;
        total.late += part.late;
    }
}

fn no_usage(team: &TeamName) -> TeamUsage {
    TeamUsage {
        team: team.clone(),
        held: 0,
        running: 0,
        waiting: 0,
        used_ms: 0,
        ended: 0,
        late: 0,
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a rounded percentage for display"
)]
fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        100.0 * part as f64 / whole as f64
    }
}
