//! Instances: budgets, one pool at a time, leaving targets, planned stops.

use {
    super::promise_breach::{Promise, PromiseBreach},
    dotterelshore_domain::collections::FastMap,
    dotterelshore_standins::history::{HistoryEvent, HistoryLine},
};

/// Time in which a leaving target may still get work.
const LEAVING_GRACE_US: u64 = 5_000_000;
/// Age from which a failure must be counted against a budget.
const FAILURE_LAG_US: u64 = 5_000_000;

/// How an instance was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StopSeen {
    planned: bool,
    at_us: u64,
}

#[derive(Debug, Default)]
struct InstanceSeen {
    pool: String,
    /// Requests and tasks that run on it.
    running: u32,
    /// Since when its record has it out of service.
    out_since: Option<u64>,
    /// Since when the platform announced that it leaves.
    leaving_since: Option<u64>,
    stopped: Option<StopSeen>,
}

impl InstanceSeen {
    fn is_out(&self, now_us: u64) -> bool {
        let down = |stop: StopSeen| stop.planned || stop.at_us + FAILURE_LAG_US < now_us;
        self.out_since.is_some() || self.stopped.is_some_and(down)
    }

    /// Since when it should get no work.
    fn closed_since(&self) -> Option<u64> {
        self.leaving_since.into_iter().chain(self.out_since).min()
    }
}

#[derive(Debug, Default)]
struct FleetSeen {
    instances: FastMap<String, InstanceSeen>,
    budgets: FastMap<String, u32>,
    spills: FastMap<String, String>,
    breaches: Vec<PromiseBreach>,
}

/// Breaches concerning instances.
pub(super) fn judge(lines: &[HistoryLine]) -> Vec<PromiseBreach> {
    let mut fleet = FleetSeen::default();
    for line in lines {
        fleet.see(line);
    }
    fleet.breaches
}

impl FleetSeen {
    fn see(&mut self, line: &HistoryLine) {
        let now = line.at_us;
        match &line.event {
            HistoryEvent::BudgetSet { pool, max_out } => {
                self.budgets.insert(pool.clone(), *max_out);
            }
            HistoryEvent::SpillSet { queue, pool } => {
                self.spills.insert(queue.clone(), pool.clone());
            }
            HistoryEvent::InstanceWritten {
                instance,
                pool,
                state,
            } => self.see_record(now, instance, pool, state),
            HistoryEvent::StopBegun { instance, planned } => {
                let seen = self.instances.entry(instance.clone()).or_default();
                seen.stopped = Some(StopSeen {
                    planned: *planned,
                    at_us: now,
                });
                if *planned {
                    self.check_budget(now, instance);
                }
            }
            HistoryEvent::Started { instance } => {
                let seen = self.instances.entry(instance.clone()).or_default();
                seen.stopped = None;
                seen.leaving_since = None;
            }
            HistoryEvent::Leaving { instance } => {
                let seen = self.instances.entry(instance.clone()).or_default();
                seen.leaving_since = Some(now);
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

    fn see_record(&mut self, now: u64, instance: &str, pool: &str, state: &str) {
        self.check_move(now, instance, pool);
        let seen = self.instances.entry(instance.to_owned()).or_default();
        pool.clone_into(&mut seen.pool);
        if state == "in-service" {
            seen.out_since = None;
        } else if seen.out_since.is_none() {
            seen.out_since = Some(now);
            self.check_budget(now, instance);
        }
    }

    fn check_move(&mut self, now: u64, instance: &str, pool: &str) {
        let Some(seen) = self.instances.get(instance) else {
            return;
        };
        let moved = !seen.pool.is_empty() && seen.pool != pool;
        if moved && seen.running > 0 {
            let detail = format!(
                "{instance} moved to pool {pool} with {} running",
                seen.running
            );
            self.breach(Promise::OnePool, now, detail);
        }
    }

    fn check_budget(&mut self, now: u64, instance: &str) {
        let Some(pool) = self.instances.get(instance).map(|seen| seen.pool.clone()) else {
            return;
        };
        let Some(max_out) = self.budgets.get(&pool) else {
            return;
        };
        let members = self.instances.values().filter(|seen| seen.pool == pool);
        let out = members.filter(|seen| seen.is_out(now)).count();
        if out > *max_out as usize {
            let detail = format!("{out} of pool {pool} are out, and {max_out} may be");
            self.breach(Promise::Budget, now, detail);
        }
    }

    fn check_pool(&mut self, now: u64, target: &str, queue: &str) {
        let Some(seen) = self.instances.get(target) else {
            return;
        };
        let serves = seen.pool == queue || self.spills.get(queue) == Some(&seen.pool);
        if !seen.pool.is_empty() && !serves {
            let detail = format!("{target} of pool {} began work of {queue}", seen.pool);
            self.breach(Promise::OnePool, now, detail);
        }
    }

    fn check_closed(&mut self, now: u64, target: &str) {
        let closed = self
            .instances
            .get(target)
            .and_then(InstanceSeen::closed_since);
        if closed.is_some_and(|since| since + LEAVING_GRACE_US < now) {
            let detail = format!("{target} began work long after it was leaving");
            self.breach(Promise::Leaving, now, detail);
        }
    }

    fn begin(&mut self, now: u64, target: &str) {
        self.check_closed(now, target);
        self.instances.entry(target.to_owned()).or_default().running += 1;
    }

    fn end(&mut self, now: u64, target: &str, interrupted: bool) {
        let seen = self.instances.entry(target.to_owned()).or_default();
        seen.running = seen.running.saturating_sub(1);
        if interrupted {
            self.check_interrupted(now, target);
        }
    }

    fn check_interrupted(&mut self, now: u64, target: &str) {
        let stop = self.instances.get(target).and_then(|seen| seen.stopped);
        if stop.is_some_and(|stop| stop.planned) {
            let detail = format!("a planned stop of {target} cut its work off");
            self.breach(Promise::GracefulStop, now, detail);
        }
    }

    fn breach(&mut self, promise: Promise, at_us: u64, detail: String) {
        self.breaches
            .push(PromiseBreach::new(promise, at_us, detail));
    }
}
