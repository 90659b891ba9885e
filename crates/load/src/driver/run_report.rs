//! What a run came to.

use {
    super::{arrival_plan::PlannedRequest, caller_link::CallResult},
    dotterelshore_domain::codes::RunOutcome,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// Longest latency counted, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;

/// What one team got.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct TeamReport {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Seconds of slots that the answered ones were worth.
    pub work_seconds: f64,
}

/// What a run came to.
#[derive(Debug, Clone)]
pub struct RunReport {
    /// How long requests were sent.
    pub length: Duration,
    /// From when on work is counted for shares and goodput; until the end of sending.
    pub counted_from: Duration,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Answers that were not the whole ones.
    pub wrong: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Refused with the outcome unknown.
    pub unknown: u64,
    /// Sent to an entry that could not be reached.
    pub unreached: u64,
    /// Without any answer.
    pub lost: u64,
    /// Refusals by code.
    pub codes: BTreeMap<String, u64>,
    /// What each team got.
    pub teams: BTreeMap<String, TeamReport>,
    /// Latency of whole answers from the intended send time, in microseconds.
    pub latency: Histogram<u64>,
    /// Latency beyond the time that the request itself ran, in microseconds.
    pub overhead: Histogram<u64>,
}

impl RunReport {
    /// An empty report.
    ///
    /// # Panics
    ///
    /// Never: the histogram's bounds are constants that fit.
    pub fn new(length: Duration, counted_from: Duration) -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)
                .unwrap_or_else(|_| unreachable!("constant bounds"))
        };
        Self {
            length,
            counted_from,
            sent: 0,
            answered: 0,
            wrong: 0,
            not_run: 0,
            unknown: 0,
            unreached: 0,
            lost: 0,
            codes: BTreeMap::new(),
            teams: BTreeMap::new(),
            latency: histogram(),
            overhead: histogram(),
        }
    }

    /// Adds what became of one request.
    pub fn add(&mut self, planned: &PlannedRequest, result: &CallResult, latency: Duration) {
        let counted = (self.counted_from..self.length).contains(&(planned.at + latency));
        self.sent += 1;
        let team = self.teams.entry(planned.request.team.clone()).or_default();
        team.sent += 1;
        match result {
            CallResult::Whole => {
                self.answered += 1;
                team.answered += 1;
                if counted {
                    team.work_seconds += planned.request.work.duration().as_secs_f64();
                }
                self.latency.saturating_record(micros(latency));
                self.overhead.saturating_record(micros(
                    latency.saturating_sub(planned.request.work.duration()),
                ));
            }
            CallResult::Wrong => self.wrong += 1,
            CallResult::Refused(problem) => {
                let name = problem
                    .result_code()
                    .map_or_else(|| problem.code.to_string(), |code| code.slug().to_owned());
                *self.codes.entry(name).or_default() += 1;
                match problem.outcome {
                    RunOutcome::NotRun => self.not_run += 1,
                    RunOutcome::OutcomeUnknown => self.unknown += 1,
                }
            }
            CallResult::Unreached => self.unreached += 1,
            CallResult::Lost => self.lost += 1,
        }
    }

    /// Seconds of slots that the answered requests were worth, for each second counted.
    pub fn goodput(&self) -> f64 {
        let counted = self.length.saturating_sub(self.counted_from);
        let work: f64 = self.teams.values().map(|team| team.work_seconds).sum();
        work / counted.as_secs_f64()
    }

    /// A percentile of the latency in milliseconds.
    #[expect(
        clippy::cast_precision_loss,
        reason = "microseconds shown as milliseconds"
    )]
    pub fn latency_ms(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1000.0
    }

    /// A percentile of the latency beyond the work itself, in milliseconds.
    #[expect(
        clippy::cast_precision_loss,
        reason = "microseconds shown as milliseconds"
    )]
    pub fn overhead_ms(&self, percentile: f64) -> f64 {
        self.overhead.value_at_percentile(percentile) as f64 / 1000.0
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "sent {}  whole {}  wrong {}  not-run {}  outcome-unknown {}  unreached {}  lost {}",
            self.sent,
            self.answered,
            self.wrong,
            self.not_run,
            self.unknown,
            self.unreached,
            self.lost
        )?;
        writeln!(
            f,
            "latency ms  p50 {:.1}  p99 {:.1}  p99.9 {:.1}   beyond the work ms  p50 {:.1}  p99 {:.1}  p99.9 {:.1}",
            self.latency_ms(50.0),
            self.latency_ms(99.0),
            self.latency_ms(99.9),
            self.overhead_ms(50.0),
            self.overhead_ms(99.0),
            self.overhead_ms(99.9),
        )?;
        for (code, count) in &self.codes {
            writeln!(f, "  refused {code}: {count}")?;
        }
        Ok(())
    }
}

fn micros(latency: Duration) -> u64 {
    u64::try_from(latency.as_micros())
        .unwrap_or(u64::MAX)
        .max(1)
}
