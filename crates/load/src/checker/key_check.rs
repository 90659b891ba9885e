//! Checks keys: a run belongs to the team of its key, and a withdrawn key is rejected after a grace
//! period.

use {
    super::invariant_violation::{Invariant, InvariantViolation},
    dotterelshore_domain::collections::FastMap,
    dotterelshore_standins::history::{HistoryEvent, HistoryLine},
};

/// Time after its withdrawal during which a key may still be accepted.
const WITHDRAWAL_LAG_US: u64 = 5_000_000;

#[derive(Debug, Default)]
struct KeyTrace {
    team: String,
    withdrawn_at_us: Option<u64>,
}

#[derive(Debug, Clone)]
struct RequestTrace {
    key: String,
    sent_at_us: u64,
}

/// Returns the violations that concern keys.
pub(super) fn check(lines: &[HistoryLine]) -> Vec<InvariantViolation> {
    let mut keys: FastMap<String, KeyTrace> = FastMap::default();
    let mut requests: FastMap<String, RequestTrace> = FastMap::default();
    let mut violations = Vec::new();
    for line in lines {
        match &line.event {
            HistoryEvent::KeyGranted { key, team } => {
                let trace = KeyTrace {
                    team: team.clone(),
                    withdrawn_at_us: None,
                };
                keys.insert(key.clone(), trace);
            }
            HistoryEvent::KeyWithdrawn { key } => {
                if let Some(trace) = keys.get_mut(key) {
                    trace.withdrawn_at_us = Some(line.at_us);
                }
            }
            HistoryEvent::Sent { id, key, .. } => {
                let request = RequestTrace {
                    key: key.clone(),
                    sent_at_us: line.at_us,
                };
                requests.insert(id.clone(), request);
            }
            HistoryEvent::RunBegun { id, team, .. } => {
                if let Some(request) = requests.get(id) {
                    violations.extend(check_run(
                        line.at_us,
                        id,
                        team,
                        request,
                        keys.get(&request.key),
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

fn check_run(
    now: u64,
    id: &str,
    team: &str,
    request: &RequestTrace,
    key: Option<&KeyTrace>,
) -> Option<InvariantViolation> {
    let detail = match key {
        None if request.key.is_empty() => return None,
        None => format!("request {id} ran on a key that was never granted"),
        Some(key) if key.team != team => {
            format!(
                "request {id} ran for team {team} on a key of team {}",
                key.team
            )
        }
        Some(key) => {
            let grace_over =
                |withdrawn_at_us: u64| withdrawn_at_us + WITHDRAWAL_LAG_US < request.sent_at_us;
            if !key.withdrawn_at_us.is_some_and(grace_over) {
                return None;
            }
            format!("request {id} ran on a key withdrawn long before it was sent")
        }
    };
    Some(InvariantViolation::new(Invariant::Keys, now, detail))
}
