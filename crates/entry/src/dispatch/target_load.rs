//! How busy a target is, as far as this entry knows.

use std::time::{Duration, Instant};

/// How long a target's word on its busy slots is believed.
const WORD_LIFE: Duration = Duration::from_millis(150);
/// How long a target that said it is full is passed over.
const FULL_PAUSE: Duration = Duration::from_millis(15);
/// Failures in a row after which a target is passed over.
const FAILURE_STREAK: u32 = 5;
/// First and longest time that a failing target is passed over.
const SHUN_FIRST: Duration = Duration::from_millis(500);
const SHUN_LONGEST: Duration = Duration::from_secs(30);

/// What became of an exchange with a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetResult {
    /// It answered, with so many slots busy.
    Answered(Option<u32>),
    /// It said that it is full.
    Full,
    /// It could not be reached.
    Unreachable,
    /// It failed the work.
    Failed,
}

/// One target as seen from here.
#[derive(Debug, Default)]
pub(crate) struct TargetLoad {
    mine: u32,
    others: u32,
    others_until: Option<Instant>,
    full_until: Option<Instant>,
    failures: u32,
    shuns: u32,
    shunned_until: Option<Instant>,
}

impl TargetLoad {
    /// Runs from here that have not ended.
    pub(crate) fn mine(&self) -> u32 {
        self.mine
    }

    /// Slots believed busy.
    pub(crate) fn busy(&self, now: Instant) -> u32 {
        let others = if self.others_until.is_some_and(|until| until > now) {
            self.others
        } else {
            0
        };
        self.mine + others
    }

    /// Whether it may be given work.
    pub(crate) fn takes_work(&self, slots: u32, now: Instant) -> bool {
        let past = |until: Option<Instant>| until.is_none_or(|until| until <= now);
        self.busy(now) < slots && past(self.full_until) && past(self.shunned_until)
    }

    /// Whether it is passed over for its failures.
    pub(crate) fn is_shunned(&self, now: Instant) -> bool {
        self.shunned_until.is_some_and(|until| until > now)
    }

    /// Notes a run that begins.
    pub(crate) fn begin(&mut self) {
        self.mine += 1;
    }

    /// Notes a run that surely ended, or that was never sent.
    pub(crate) fn end(&mut self) {
        self.mine = self.mine.saturating_sub(1);
    }

    /// Notes what became of an exchange; `may_shun` says whether one more target may be
    /// passed over for failing.
    pub(crate) fn note(&mut self, result: TargetResult, slots: u32, may_shun: bool, now: Instant) {
        match result {
            TargetResult::Answered(busy) => {
                self.failures = 0;
                self.shuns = 0;
                if let Some(busy) = busy {
                    self.others = busy.saturating_sub(self.mine.saturating_sub(1));
                    self.others_until = Some(now + WORD_LIFE);
                }
            }
            TargetResult::Full => {
                self.others = slots.saturating_sub(self.mine.saturating_sub(1));
                self.others_until = Some(now + FULL_PAUSE);
                self.full_until = Some(now + FULL_PAUSE);
            }
            TargetResult::Unreachable => self.shun(now),
            TargetResult::Failed => {
                self.failures += 1;
                if self.failures >= FAILURE_STREAK && may_shun {
                    self.shun(now);
                }
            }
        }
    }

    fn shun(&mut self, now: Instant) {
        self.shunned_until =
            Some(now + SHUN_LONGEST.min(SHUN_FIRST * 2_u32.pow(self.shuns.min(8))));
        self.shuns += 1;
    }
}
