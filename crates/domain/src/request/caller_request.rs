//! A caller's request, validated against the table.

use {
    crate::{
        codes::{Refusal, ResultCode},
        names::{KeyDigest, QueueName, RequestName, TeamName},
        table::{FleetTable, QueueRow, TargetKind, TeamRow},
    },
    std::time::Duration,
};

/// The fields of a request as a front end read them, before validation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RawRequest {
    /// The queue's name.
    pub queue: String,
    /// The request identifier, if given.
    pub id: Option<String>,
    /// Digest of the caller's key, if one was sent.
    pub key: Option<KeyDigest>,
    /// The team's name, if given; it must be the key's team.
    pub team: Option<String>,
    /// Whether the caller marked the request as idempotent.
    pub idempotent: bool,
    /// The caller's timeout, if given.
    pub timeout: Option<Duration>,
}

/// A request that passed validation against the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// The queue it goes to.
    pub queue: QueueRow,
    /// The team on whose behalf it runs.
    pub team: TeamRow,
    /// The request identifier, if given.
    pub id: Option<RequestName>,
    /// Whether it may safely run more than once.
    pub idempotent: bool,
    /// The caller's timeout, or the queue's maximum wait.
    pub timeout: Duration,
}

/// Team of work without a key on open queues. The table need not declare it.
const OPEN_TEAM: &str = "open";
/// Weight of the open team, unless the table declares the team.
const OPEN_WEIGHT: u32 = 1;

impl CallerRequest {
    /// Validates a request against the table.
    ///
    /// # Errors
    ///
    /// `MalformedRequest` for invalid names, `UnknownQueue`, `WrongPoolKind`, and
    /// `KeyMissing`, `KeyUnknown` or `KeyOfOtherTeam` if the key is not accepted.
    pub fn check(raw: &RawRequest, table: &FleetTable, kind: TargetKind) -> Result<Self, Refusal> {
        let malformed = |fault: crate::names::NameFault| {
            Refusal::not_run(ResultCode::MalformedRequest, fault.to_string())
        };
        let queue_name = QueueName::try_from(raw.queue.as_str()).map_err(malformed)?;
        let queue = table.queue(&queue_name)?;
        let team = team_for(raw, queue, table)?;
        let pool = table.pool(&queue.pool)?;
        if pool.kind != kind {
            let detail = format!("queue '{}' is served by {:?}s", queue.name, pool.kind);
            return Err(Refusal::not_run(ResultCode::WrongPoolKind, detail));
        }
        let id = raw
            .id
            .as_deref()
            .map(RequestName::try_from)
            .transpose()
            .map_err(malformed)?;
        Ok(Self {
            queue: queue.clone(),
            team,
            id,
            idempotent: raw.idempotent,
            timeout: raw.timeout.unwrap_or_else(|| queue.max_wait()),
        })
    }
}

fn team_for(raw: &RawRequest, queue: &QueueRow, table: &FleetTable) -> Result<TeamRow, Refusal> {
    let team = match &raw.key {
        Some(key) => table.team_of(key)?.clone(),
        None if queue.open => open_team(table)?,
        None => {
            let detail = format!("send the team's key for queue '{}'", queue.name);
            return Err(Refusal::not_run(ResultCode::KeyMissing, detail));
        }
    };
    match &raw.team {
        Some(named) if named != team.name.as_str() => {
            let detail = format!("the key is not one of team '{named}'");
            Err(Refusal::not_run(ResultCode::KeyOfOtherTeam, detail))
        }
        _ => Ok(team),
    }
}

fn open_team(table: &FleetTable) -> Result<TeamRow, Refusal> {
    let name = TeamName::try_from(OPEN_TEAM)
        .map_err(|fault| Refusal::not_run(ResultCode::UnknownTeam, fault.to_string()))?;
    let undeclared = || TeamRow {
        name: name.clone(),
        weight: OPEN_WEIGHT,
        ceiling: u32::MAX,
    };
    Ok(table.teams.get(&name).cloned().unwrap_or_else(undeclared))
}
