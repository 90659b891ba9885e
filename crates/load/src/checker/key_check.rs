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
    withdrawn_at: Option<u64>,
}

#[derive(Debug, Clone)]
struct CallTrace {
    key: String,
    sent_at: u64,
}

/// Returns the violations that concern keys.
pub(super) fn check(lines: &[HistoryLine]) -> Vec<InvariantViolation> {
    let mut keys: FastMap<String, KeyTrace> = FastMap::default();
    let mut calls: FastMap<String, CallTrace> = FastMap::default();
    let mut violations = Vec::new();
    for line in lines {
        match &line.event {
            HistoryEvent::KeyGranted { key, team } => {
                let trace = KeyTrace {
                    team: team.clone(),
                    withdrawn_at: None,
                };
                keys.insert(key.clone(), trace);
            }
            HistoryEvent::KeyWithdrawn { key } => {
                if let Some(trace) = keys.get_mut(key) {
                    trace.withdrawn_at = Some(line.at_us);
                }
            }
            HistoryEvent::Sent { id, key, .. } => {
                let call = CallTrace {
                    key: key.clone(),
                    sent_at: line.at_us,
                };
                calls.insert(id.clone(), call);
            }
            HistoryEvent::RunBegun { id, team, .. } => {
                if let Some(call) = calls.get(id) {
                    violations.extend(check_run(line.at_us, id, team, call, keys.get(&call.key)));
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
    call: &CallTrace,
    key: Option<&KeyTrace>,
) -> Option<InvariantViolation> {
    let detail = match key {
        None if call.key.is_empty() => return None,
        None => format!("request {id} ran on a key that was never granted"),
        Some(key) if key.team != team => {
            format!(
                "request {id} ran for team {team} on a key of team {}",
                key.team
            )
        }
        Some(key) => {
            let expired = |withdrawn: u64| withdrawn + WITHDRAWAL_LAG_US < call.sent_at;
            if !key.withdrawn_at.is_some_and(expired) {
                return None;
            }
            format!("request {id} ran on a key withdrawn long before it was sent")
        }
    };
    Some(InvariantViolation::new(Invariant::Keys, now, detail))
}
