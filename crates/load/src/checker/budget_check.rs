//! Checks instances: availability budgets, pool membership, leaving targets, planned stops.

use {
    super::invariant_violation::{Invariant, InvariantViolation},
    dotterelshore_domain::collections::FastMap,
    dotterelshore_standins::history::{HistoryEvent, HistoryLine},
};

/// Time for which a target may still receive work after it was announced as leaving or taken out of
/// service.
const LEAVING_GRACE_US: u64 = 5_000_000;
/// Time after which an unplanned stop counts against the budget.
const FAILURE_LAG_US: u64 = 5_000_000;

/// A stop of an instance, as the platform recorded it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct InstanceStop {
    planned: bool,
    at_us: u64,
}

#[derive(Debug, Default)]
struct InstanceTrace {
    pool: String,
    /// Runs and tasks in progress on the instance.
    running: u32,
    /// When the instance record left `in-service`, in microseconds since the Unix epoch.
    out_of_service_since: Option<u64>,
    /// When the platform announced that the instance leaves, in microseconds since the Unix epoch.
    leaving_since: Option<u64>,
    stopped: Option<InstanceStop>,
}

impl InstanceTrace {
    fn is_unavailable(&self, now_us: u64) -> bool {
        let counts_as_down =
            |stop: InstanceStop| stop.planned || stop.at_us + FAILURE_LAG_US < now_us;
        self.out_of_service_since.is_some() || self.stopped.is_some_and(counts_as_down)
    }

    /// Returns the time since which the instance must receive no new work.
    fn ineligible_since(&self) -> Option<u64> {
        self.leaving_since
            .into_iter()
            .chain(self.out_of_service_since)
            .min()
    }
}

#[derive(Debug, Default)]
struct FleetTrace {
    instances: FastMap<String, InstanceTrace>,
    budgets: FastMap<String, u32>,
    spills: FastMap<String, String>,
    violations: Vec<InvariantViolation>,
}

/// Returns the violations that concern instances.
pub(super) fn check(lines: &[HistoryLine]) -> Vec<InvariantViolation> {
    let mut trace = FleetTrace::default();
    for line in lines {
        trace.apply(line);
    }
    trace.violations
}

impl FleetTrace {
    fn apply(&mut self, line: &HistoryLine) {
        let now = line.at_us;
        match &line.event {
            HistoryEvent::BudgetSet {
                pool,
                max_unavailable,
            } => {
                self.budgets.insert(pool.clone(), *max_unavailable);
            }
            HistoryEvent::SpillSet { queue, pool } => {
                self.spills.insert(queue.clone(), pool.clone());
            }
            HistoryEvent::InstanceWritten {
                instance,
                pool,
                state,
            } => self.apply_record(now, instance, pool, state),
            HistoryEvent::StopBegun { instance, planned } => {
                let trace = self.instances.entry(instance.clone()).or_default();
                trace.stopped = Some(InstanceStop {
                    planned: *planned,
                    at_us: now,
                });
                if *planned {
                    self.check_budget(now, instance);
                }
            }
            HistoryEvent::Started { instance } => {
                let trace = self.instances.entry(instance.clone()).or_default();
                trace.stopped = None;
                trace.leaving_since = None;
            }
            HistoryEvent::Leaving { instance } => {
                let trace = self.instances.entry(instance.clone()).or_default();
                trace.leaving_since = Some(now);
            }
            HistoryEvent::RunBegun { target, queue, .. } => {
                self.check_pool(now, target, queue);
                self.begin(now, target);
            }
            HistoryEvent::TaskBegun { target, .. } => self.begin(now, target),
            HistoryEvent::RunEnded {
                target,
                interrupted,
                ..
            }
            | HistoryEvent::TaskEnded {
                target,
                interrupted,
                ..
            } => self.end(now, target, *interrupted),
            _ => {}
        }
    }

    fn apply_record(&mut self, now: u64, instance: &str, pool: &str, state: &str) {
        self.check_move(now, instance, pool);
        let trace = self.instances.entry(instance.to_owned()).or_default();
        pool.clone_into(&mut trace.pool);
        if state == "in-service" {
            trace.out_of_service_since = None;
        } else if trace.out_of_service_since.is_none() {
            trace.out_of_service_since = Some(now);
            self.check_budget(now, instance);
        }
    }

    fn check_move(&mut self, now: u64, instance: &str, pool: &str) {
        let Some(trace) = self.instances.get(instance) else {
            return;
        };
        let moved = !trace.pool.is_empty() && trace.pool != pool;
        if moved && trace.running > 0 {
            let detail = format!(
                "{instance} moved to pool {pool} with {} runs or tasks in progress",
                trace.running
            );
            self.report(Invariant::OnePool, now, detail);
        }
    }

    fn check_budget(&mut self, now: u64, instance: &str) {
        let Some(pool) = self.instances.get(instance).map(|trace| trace.pool.clone()) else {
            return;
        };
        let Some(max_unavailable) = self.budgets.get(&pool) else {
            return;
        };
        let members = self.instances.values().filter(|trace| trace.pool == pool);
        let unavailable = members.filter(|trace| trace.is_unavailable(now)).count();
        if unavailable > *max_unavailable as usize {
            let detail = format!(
                "{unavailable} instances of pool {pool} are unavailable, the budget is {max_unavailable}"
            );
            self.report(Invariant::Budget, now, detail);
        }
    }

    fn check_pool(&mut self, now: u64, target: &str, queue: &str) {
        let Some(trace) = self.instances.get(target) else {
            return;
        };
        let serves = trace.pool == queue || self.spills.get(queue) == Some(&trace.pool);
        if !trace.pool.is_empty() && !serves {
            let detail = format!(
                "{target} of pool {} began work of queue {queue}",
                trace.pool
            );
            self.report(Invariant::OnePool, now, detail);
        }
    }

    fn check_leaving(&mut self, now: u64, target: &str) {
        let since = self
            .instances
            .get(target)
            .and_then(InstanceTrace::ineligible_since);
        if since.is_some_and(|since| since + LEAVING_GRACE_US < now) {
            let detail = format!(
                "{target} began work long after it was announced as leaving or taken out of service"
            );
            self.report(Invariant::Leaving, now, detail);
        }
    }

    fn begin(&mut self, now: u64, target: &str) {
        self.check_leaving(now, target);
        self.instances.entry(target.to_owned()).or_default().running += 1;
    }

    fn end(&mut self, now: u64, target: &str, interrupted: bool) {
        let trace = self.instances.entry(target.to_owned()).or_default();
        trace.running = trace.running.saturating_sub(1);
        if interrupted {
            self.check_planned_stop(now, target);
        }
    }

    fn check_planned_stop(&mut self, now: u64, target: &str) {
        let stop = self.instances.get(target).and_then(|trace| trace.stopped);
        if stop.is_some_and(|stop| stop.planned) {
            let detail = format!("a planned stop of {target} interrupted its work");
            self.report(Invariant::GracefulStop, now, detail);
        }
    }

    fn report(&mut self, invariant: Invariant, at_us: u64, detail: String) {
        self.violations
            .push(InvariantViolation::new(invariant, at_us, detail));
    }
}
