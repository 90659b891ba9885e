//! Report of a load run.

use {
    super::{arrival_plan::PlannedRequest, caller_client::CallResult},
    dotterelshore_domain::codes::RunOutcome,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// Upper bound of the latency histograms, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;

/// Results of one team.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct TeamReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete response.
    #[serde(rename = "answered")]
    pub completed: u64,
    /// Total run time of the requests that completed in the measured interval, in seconds.
    #[serde(rename = "work_seconds")]
    pub slot_seconds: f64,
}

/// Results of a load run.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Time during which requests were sent.
    pub duration: Duration,
    /// Start of the measured interval for shares and goodput, which ends with `duration`.
    pub warm_up: Duration,
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete response.
    pub completed: u64,
    /// Requests with an incomplete response or that of another request.
    pub incorrect: u64,
    /// Requests refused with the outcome "not run".
    pub not_run: u64,
    /// Requests refused with the outcome unknown.
    pub outcome_unknown: u64,
    /// Requests whose entry was unreachable.
    pub unreachable: u64,
    /// Requests without a readable response.
    pub lost: u64,
    /// Refusals by result code.
    pub codes: BTreeMap<String, u64>,
    /// Results by team.
    pub teams: BTreeMap<String, TeamReport>,
    /// Latency of complete responses from the intended send time, in microseconds.
    pub latency: Histogram<u64>,
    /// Latency minus the request's own run time, in microseconds.
    pub overhead: Histogram<u64>,
}

impl LoadReport {
    /// Creates an empty report.
    ///
    /// # Panics
    ///
    /// Never: the constant bounds of the histograms are valid.
    pub fn new(duration: Duration, warm_up: Duration) -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)
                .unwrap_or_else(|_| unreachable!("constant bounds"))
        };
        Self {
            duration,
            warm_up,
            sent: 0,
            completed: 0,
            incorrect: 0,
            not_run: 0,
            outcome_unknown: 0,
            unreachable: 0,
            lost: 0,
            codes: BTreeMap::new(),
            teams: BTreeMap::new(),
            latency: histogram(),
            overhead: histogram(),
        }
    }

    /// Adds the result of one request.
    pub fn add(&mut self, planned: &PlannedRequest, result: &CallResult, latency: Duration) {
        let is_measured = (self.warm_up..self.duration).contains(&(planned.at + latency));
        self.sent += 1;
        let team = self.teams.entry(planned.request.team.clone()).or_default();
        team.sent += 1;
        match result {
            CallResult::Complete => {
                self.completed += 1;
                team.completed += 1;
                if is_measured {
                    team.slot_seconds += planned.request.work.duration().as_secs_f64();
                }
                self.latency.saturating_record(micros(latency));
                self.overhead.saturating_record(micros(
                    latency.saturating_sub(planned.request.work.duration()),
                ));
            }
            CallResult::Incorrect => self.incorrect += 1,
            CallResult::Refused(problem) => {
                let name = problem
                    .result_code()
                    .map_or_else(|| problem.code.to_string(), |code| code.slug().to_owned());
                *self.codes.entry(name).or_default() += 1;
                match problem.outcome {
                    RunOutcome::NotRun => self.not_run += 1,
                    RunOutcome::OutcomeUnknown => self.outcome_unknown += 1,
                }
            }
            CallResult::Unreachable => self.unreachable += 1,
            CallResult::Lost => self.lost += 1,
        }
    }

    /// Returns the goodput: slot-seconds of completed work per second of the measured interval.
    pub fn goodput(&self) -> f64 {
        let measured = self.duration.saturating_sub(self.warm_up);
        let work: f64 = self.teams.values().map(|team| team.slot_seconds).sum();
        work / measured.as_secs_f64()
    }

    /// Returns a percentile of the latency, in milliseconds.
    #[expect(
        clippy::cast_precision_loss,
        reason = "microseconds shown as milliseconds"
    )]
    pub fn latency_ms(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1000.0
    }

    /// Returns a percentile of the latency minus the request's own run time, in milliseconds.
    #[expect(
        clippy::cast_precision_loss,
        reason = "microseconds shown as milliseconds"
    )]
    pub fn overhead_ms(&self, percentile: f64) -> f64 {
        self.overhead.value_at_percentile(percentile) as f64 / 1000.0
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "sent {}  complete {}  incorrect {}  not-run {}  outcome-unknown {}  unreachable {}  lost {}",
            self.sent,
            self.completed,
            self.incorrect,
            self.not_run,
            self.outcome_unknown,
            self.unreachable,
            self.lost
        )?;
        writeln!(
            f,
            "latency ms  p50 {:.1}  p99 {:.1}  p99.9 {:.1}   overhead ms  p50 {:.1}  p99 {:.1}  p99.9 {:.1}",
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
