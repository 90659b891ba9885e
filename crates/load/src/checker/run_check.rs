//! Checks runs: ceilings, complete responses, truthful refusals, at-most-once execution.

use {
    super::invariant_violation::{Invariant, InvariantViolation},
    dotterelshore_domain::collections::FastMap,
    dotterelshore_standins::history::{HistoryEvent, HistoryLine},
    std::collections::VecDeque,
};

/// Time within which a lowered ceiling must be in force at every entry.
const CEILING_LAG_US: u64 = 12_000_000;

#[derive(Debug, Default)]
struct RequestTrace {
    idempotent: bool,
    sent: u32,
    refused_not_run: u32,
    runs: u32,
    last_at_us: u64,
}

#[derive(Debug, Default)]
struct TeamTrace {
    running: u32,
    /// Ceilings with the times at which they were set, oldest first.
    ceilings: VecDeque<(u64, u32)>,
}

impl TeamTrace {
    /// Returns the highest ceiling that may still be in force at `now`.
    fn ceiling(&mut self, now: u64) -> Option<u32> {
        while self
            .ceilings
            .get(1)
            .is_some_and(|(at, _)| at + CEILING_LAG_US < now)
        {
            self.ceilings.pop_front();
        }
        self.ceilings.iter().map(|(_, ceiling)| *ceiling).max()
    }
}

#[derive(Debug, Default)]
struct RunTrace {
    requests: FastMap<String, RequestTrace>,
    teams: FastMap<String, TeamTrace>,
    finishes: FastMap<String, u32>,
    violations: Vec<InvariantViolation>,
}

/// Returns the violations that concern runs.
pub(super) fn check(lines: &[HistoryLine]) -> Vec<InvariantViolation> {
    let mut trace = RunTrace::default();
    for line in lines {
        trace.apply(line);
    }
    trace.into_violations()
}

impl RunTrace {
    fn apply(&mut self, line: &HistoryLine) {
        let now = line.at_us;
        match &line.event {
            HistoryEvent::CeilingSet { team, ceiling } => {
                let trace = self.teams.entry(team.clone()).or_default();
                trace.ceilings.push_back((now, *ceiling));
            }
            HistoryEvent::Sent { id, idempotent, .. } => {
                let trace = self.requests.entry(id.clone()).or_default();
                trace.idempotent = *idempotent;
                trace.sent += 1;
            }
            HistoryEvent::RunBegun { id, team, .. } => {
                let trace = self.requests.entry(id.clone()).or_default();
                trace.runs += 1;
                trace.last_at_us = now;
                self.begin(now, team);
            }
            HistoryEvent::TaskBegun { team, .. } => self.begin(now, team),
            HistoryEvent::RunEnded { team, .. } => self.end(team),
            HistoryEvent::TaskEnded {
                team,
                job,
                finished,
                ..
            } => {
                self.end(team);
                if *finished {
                    self.finish_job(now, job);
                }
            }
            HistoryEvent::Answered {
                id,
                complete: false,
                ..
            } => {
                let detail =
                    format!("request {id} received a response that is incomplete or not its own");
                self.report(Invariant::WholeAnswer, now, detail);
            }
            HistoryEvent::Refused {
                id, not_run: true, ..
            } => {
                self.requests.entry(id.clone()).or_default().refused_not_run += 1;
            }
            _ => {}
        }
    }

    fn begin(&mut self, now: u64, team: &str) {
        let trace = self.teams.entry(team.to_owned()).or_default();
        trace.running += 1;
        let running = trace.running;
        if let Some(ceiling) = trace.ceiling(now).filter(|ceiling| running > *ceiling) {
            let detail = format!(
                "team {team} has {running} runs or tasks in progress, the ceiling is {ceiling}"
            );
            self.report(Invariant::Ceiling, now, detail);
        }
    }

    fn end(&mut self, team: &str) {
        let trace = self.teams.entry(team.to_owned()).or_default();
        trace.running = trace.running.saturating_sub(1);
    }

    fn finish_job(&mut self, now: u64, job: &str) {
        let finishes = self.finishes.entry(job.to_owned()).or_default();
        *finishes += 1;
        if *finishes > 1 {
            let detail = format!("job {job} finished {finishes} times");
            self.report(Invariant::AtMostOnce, now, detail);
        }
    }

    fn into_violations(mut self) -> Vec<InvariantViolation> {
        for (id, trace) in std::mem::take(&mut self.requests) {
            if trace.sent > 0 && trace.sent == trace.refused_not_run && trace.runs > 0 {
                let detail = format!("request {id} was refused as not run, but ran");
                self.report(Invariant::TrueRefusal, trace.last_at_us, detail);
            }
            if trace.sent > 0 && !trace.idempotent && trace.runs > 1 {
                let detail = format!("non-idempotent request {id} ran {} times", trace.runs);
                self.report(Invariant::AtMostOnce, trace.last_at_us, detail);
            }
        }
        self.violations
    }

    fn report(&mut self, invariant: Invariant, at_us: u64, detail: String) {
        self.violations
            .push(InvariantViolation::new(invariant, at_us, detail));
    }
}
