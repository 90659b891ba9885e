//! Runs: ceilings, whole answers, true refusals, at most once.

use {
    super::promise_breach::{Promise, PromiseBreach},
    dotterelshore_domain::collections::FastMap,
    dotterelshore_standins::history::{HistoryEvent, HistoryLine},
    std::collections::VecDeque,
};

/// Time in which a lowered ceiling comes into force.
const CEILING_LAG_US: u64 = 12_000_000;

#[derive(Debug, Default)]
struct RequestSeen {
    idempotent: bool,
    sent: u32,
    refused_not_run: u32,
    runs: u32,
    last_at_us: u64,
}

#[derive(Debug, Default)]
struct TeamSeen {
    running: u32,
    /// Ceilings with the times they were set, oldest first.
    ceilings: VecDeque<(u64, u32)>,
}

impl TeamSeen {
    /// The highest ceiling that may still be in force.
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
struct RunsSeen {
    requests: FastMap<String, RequestSeen>,
    teams: FastMap<String, TeamSeen>,
    finishes: FastMap<String, u32>,
    breaches: Vec<PromiseBreach>,
}

/// Breaches concerning runs.
pub(super) fn judge(lines: &[HistoryLine]) -> Vec<PromiseBreach> {
    let mut runs = RunsSeen::default();
    for line in lines {
        runs.see(line);
    }
    runs.finish()
}

impl RunsSeen {
    fn see(&mut self, line: &HistoryLine) {
        let now = line.at_us;
        match &line.event {
            HistoryEvent::CeilingSet { team, ceiling } => {
                let seen = self.teams.entry(team.clone()).or_default();
                seen.ceilings.push_back((now, *ceiling));
            }
            HistoryEvent::Sent { id, idempotent, .. } => {
                let seen = self.requests.entry(id.clone()).or_default();
                seen.idempotent = *idempotent;
                seen.sent += 1;
            }
            HistoryEvent::RunBegun { id, team, .. } => {
                let seen = self.requests.entry(id.clone()).or_default();
                seen.runs += 1;
                seen.last_at_us = now;
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
                let detail = format!("request {id} got something else than its whole answer");
                self.breach(Promise::WholeAnswer, now, detail);
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
        let seen = self.teams.entry(team.to_owned()).or_default();
        seen.running += 1;
        let running = seen.running;
        if let Some(ceiling) = seen.ceiling(now).filter(|ceiling| running > *ceiling) {
            let detail = format!("team {team} has {running} running, and {ceiling} may");
            self.breach(Promise::Ceiling, now, detail);
        }
    }

    fn end(&mut self, team: &str) {
        let seen = self.teams.entry(team.to_owned()).or_default();
        seen.running = seen.running.saturating_sub(1);
    }

    fn finish_job(&mut self, now: u64, job: &str) {
        let finishes = self.finishes.entry(job.to_owned()).or_default();
        *finishes += 1;
        if *finishes > 1 {
            let detail = format!("job {job} finished {finishes} times");
            self.breach(Promise::AtMostOnce, now, detail);
        }
    }

    fn finish(mut self) -> Vec<PromiseBreach> {
        for (id, seen) in std::mem::take(&mut self.requests) {
            if seen.sent > 0 && seen.sent == seen.refused_not_run && seen.runs > 0 {
                let detail = format!("request {id} was refused as not run, and ran");
                self.breach(Promise::TrueRefusal, seen.last_at_us, detail);
            }
            if seen.sent > 0 && !seen.idempotent && seen.runs > 1 {
                let detail = format!("non-idempotent request {id} ran {} times", seen.runs);
                self.breach(Promise::AtMostOnce, seen.last_at_us, detail);
            }
        }
        self.breaches
    }

    fn breach(&mut self, promise: Promise, at_us: u64, detail: String) {
        self.breaches
            .push(PromiseBreach::new(promise, at_us, detail));
    }
}
