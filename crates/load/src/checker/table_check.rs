//! Checks the table: revisions come into force everywhere in time and are never reverted.

use {
    super::invariant_violation::{Invariant, InvariantViolation},
    dotterelshore_domain::collections::FastMap,
    dotterelshore_standins::history::{HistoryEvent, HistoryLine},
};

/// Time within which a recorded revision must be in force at every entry.
const IN_FORCE_LAG_US: u64 = 12_000_000;

/// Returns the violations that concern the table.
pub(super) fn check(lines: &[HistoryLine]) -> Vec<InvariantViolation> {
    let mut in_force = 0;
    let mut in_force_at_send: FastMap<String, u64> = FastMap::default();
    let mut violations = Vec::new();
    for line in lines {
        match &line.event {
            HistoryEvent::TableApplied {
                revision,
                recorded_at_us,
                in_force: everywhere,
                ..
            } => {
                if !everywhere || recorded_at_us + IN_FORCE_LAG_US < line.at_us {
                    let detail = format!("revision {revision} was not in force in time");
                    violations.push(InvariantViolation::new(
                        Invariant::Table,
                        line.at_us,
                        detail,
                    ));
                }
                if *everywhere {
                    in_force = in_force.max(*revision);
                }
            }
            HistoryEvent::Sent { id, .. } => {
                in_force_at_send.insert(id.clone(), in_force);
            }
            HistoryEvent::Answered {
                id,
                revision,
                entry,
                ..
            } => {
                let required = in_force_at_send.get(id).copied().unwrap_or_default();
                if *revision < required {
                    let detail = format!(
                        "{entry} answered under revision {revision} after {required} was in force"
                    );
                    violations.push(InvariantViolation::new(
                        Invariant::Table,
                        line.at_us,
                        detail,
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}
