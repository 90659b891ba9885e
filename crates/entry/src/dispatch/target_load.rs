//! Load and health of a target as observed by this entry.

use std::time::{Duration, Instant};

/// How long a target's report of its busy slots stays valid.
const BUSY_REPORT_TTL: Duration = Duration::from_millis(150);
/// How long a target gets no work after it reported that it is full.
const FULL_REPORT_TTL: Duration = Duration::from_millis(15);
/// Consecutive failures after which a target is ejected.
const CONSECUTIVE_FAILURES_MAX: u32 = 5;
/// Ejection time of a failing target; it doubles with each ejection up to the maximum.
const EJECTION_TIME_INITIAL: Duration = Duration::from_millis(500);
const EJECTION_TIME_MAX: Duration = Duration::from_secs(30);

/// Outcome of an exchange with a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetOutcome {
    /// It answered, and may have reported its number of busy slots.
    Answered(Option<u32>),
    /// It refused the run because all its slots are busy.
    Full,
    /// It could not be reached.
    Unreachable,
    /// It was reached, but gave no valid answer or failed the run.
    Failed,
}

/// Busy slots and consecutive failures of one target.
#[derive(Debug, Default)]
pub(crate) struct TargetLoad {
    own_runs: u32,
    other_runs: u32,
    other_runs_until: Option<Instant>,
    full_until: Option<Instant>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl TargetLoad {
    /// Returns the number of this entry's unfinished runs on the target.
    pub(crate) fn own_runs(&self) -> u32 {
        self.own_runs
    }

    /// Estimates the number of busy slots, runs of other entries included.
    pub(crate) fn busy(&self, now: Instant) -> u32 {
        let other_runs = if self.other_runs_until.is_some_and(|until| until > now) {
            self.other_runs
        } else {
            0
        };
        self.own_runs + other_runs
    }

    /// Whether the target may be given another run.
    pub(crate) fn accepts_work(&self, slots: u32, now: Instant) -> bool {
        let is_past = |until: Option<Instant>| until.is_none_or(|until| until <= now);
        self.busy(now) < slots && is_past(self.full_until) && is_past(self.ejected_until)
    }

    /// Whether the target is ejected because of its failures.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Adds a run that is about to start.
    pub(crate) fn add_run(&mut self) {
        self.own_runs += 1;
    }

    /// Removes a run that has ended or was never sent.
    pub(crate) fn remove_run(&mut self) {
        self.own_runs = self.own_runs.saturating_sub(1);
    }

    /// Records the outcome of an exchange.
    ///
    /// An unreachable target is always ejected; a failing one only if `may_eject` is set.
    pub(crate) fn record_outcome(
        &mut self,
        outcome: TargetOutcome,
        slots: u32,
        may_eject: bool,
        now: Instant,
    ) {
        match outcome {
            TargetOutcome::Answered(busy) => {
                self.failures = 0;
                self.ejections = 0;
                if let Some(busy) = busy {
                    self.other_runs = busy.saturating_sub(self.own_runs.saturating_sub(1));
                    self.other_runs_until = Some(now + BUSY_REPORT_TTL);
                }
            }
            TargetOutcome::Full => {
                self.other_runs = slots.saturating_sub(self.own_runs.saturating_sub(1));
                self.other_runs_until = Some(now + FULL_REPORT_TTL);
                self.full_until = Some(now + FULL_REPORT_TTL);
            }
            TargetOutcome::Unreachable => self.eject(now),
            TargetOutcome::Failed => {
                self.failures += 1;
                if self.failures >= CONSECUTIVE_FAILURES_MAX && may_eject {
                    self.eject(now);
                }
            }
        }
    }

    fn eject(&mut self, now: Instant) {
        self.ejected_until = Some(
            now + EJECTION_TIME_MAX.min(EJECTION_TIME_INITIAL * 2_u32.pow(self.ejections.min(8))),
        );
        self.ejections += 1;
    }
}
