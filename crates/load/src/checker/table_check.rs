//! The table: in force everywhere in time, and never reverting.

use {
    super::promise_breach::{Promise, PromiseBreach},
    dotterelshore_domain::collections::FastMap,
    dotterelshore_standins::history::{HistoryEvent, HistoryLine},
};

/// Time in which a revision comes into force everywhere.
const FORCE_LAG_US: u64 = 12_000_000;

/// Breaches concerning the table.
pub(super) fn judge(lines: &[HistoryLine]) -> Vec<PromiseBreach> {
    let mut in_force = 0;
    let mut sent_under: FastMap<String, u64> = FastMap::default();
    let mut breaches = Vec::new();
    for line in lines {
        match &line.event {
            HistoryEvent::TableApplied {
                revision,
                recorded_at_us,
                in_force: everywhere,
                ..
            } => {
                if !everywhere || recorded_at_us + FORCE_LAG_US < line.at_us {
                    let detail = format!("revision {revision} was not in force in time");
                    breaches.push(PromiseBreach::new(Promise::Table, line.at_us, detail));
                }
                if *everywhere {
                    in_force = in_force.max(*revision);
                }
            }
            HistoryEvent::Sent { id, .. } => {
                sent_under.insert(id.clone(), in_force);
            }
            HistoryEvent::Answered {
                id,
                revision,
                entry,
                ..
            } => {
                let due = sent_under.get(id).copied().unwrap_or_default();
                if *revision < due {
                    let detail = format!(
                        "{entry} answered under revision {revision} after {due} was in force"
                    );
                    breaches.push(PromiseBreach::new(Promise::Table, line.at_us, detail));
                }
            }
            _ => {}
        }
    }
    breaches
}
