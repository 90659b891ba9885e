//! Keys: work only for the key's team, and none on a key withdrawn seconds ago.

use {
    super::promise_breach::{Promise, PromiseBreach},
    dotterelshore_domain::collections::FastMap,
    dotterelshore_standins::history::{HistoryEvent, HistoryLine},
};

/// Time in which a withdrawn key may still work.
const WITHDRAWAL_LAG_US: u64 = 5_000_000;

#[derive(Debug, Default)]
struct KeySeen {
    team: String,
    withdrawn_at: Option<u64>,
}

#[derive(Debug, Clone)]
struct CallSeen {
    key: String,
    sent_at: u64,
}

/// Breaches concerning keys.
pub(super) fn judge(lines: &[HistoryLine]) -> Vec<PromiseBreach> {
    let mut keys: FastMap<String, KeySeen> = FastMap::default();
    let mut calls: FastMap<String, CallSeen> = FastMap::default();
    let mut breaches = Vec::new();
    for line in lines {
        match &line.event {
            HistoryEvent::KeyGranted { key, team } => {
                let seen = KeySeen {
                    team: team.clone(),
                    withdrawn_at: None,
                };
                keys.insert(key.clone(), seen);
            }
            HistoryEvent::KeyWithdrawn { key } => {
                if let Some(seen) = keys.get_mut(key) {
                    seen.withdrawn_at = Some(line.at_us);
                }
            }
            HistoryEvent::Sent { id, key, .. } => {
                let call = CallSeen {
                    key: key.clone(),
                    sent_at: line.at_us,
                };
                calls.insert(id.clone(), call);
            }
            HistoryEvent::RunBegun { id, team, .. } => {
                if let Some(call) = calls.get(id) {
                    breaches.extend(judge_run(line.at_us, id, team, call, keys.get(&call.key)));
                }
            }
            _ => {}
        }
    }
    breaches
}

fn judge_run(
    now: u64,
    id: &str,
    team: &str,
    call: &CallSeen,
    key: Option<&KeySeen>,
) -> Option<PromiseBreach> {
    let detail = match key {
        None if call.key.is_empty() => return None,
        None => format!("request {id} ran on a key that was never granted"),
        Some(key) if key.team != team => {
            format!("request {id} ran for team {team} on a key of {}", key.team)
        }
        Some(key) => {
            let late = |withdrawn: u64| withdrawn + WITHDRAWAL_LAG_US < call.sent_at;
            if !key.withdrawn_at.is_some_and(late) {
                return None;
            }
            format!("request {id} ran on a key withdrawn long before it was sent")
        }
    };
    Some(PromiseBreach::new(Promise::Keys, now, detail))
}
