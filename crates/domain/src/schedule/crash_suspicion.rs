//! The crashes of workers under the runs of one task.

use {
    super::job_progress::WorkerIncarnation,
    serde::{Deserialize, Serialize},
    std::cmp::Reverse,
};

/// Crashes under a task after which it is the proven cause, if two of them are proofs.
const CRASHES_MIN: usize = 3;
const PROOFS_MIN: usize = 2;
/// Crashes under a task after which it is the cause, unless those from this one on have likelier
/// causes. The platform's users allow two
/// starts after three crashes; one crash may be unknown, since it came while owners changed.
const CRASHES_MAX: usize = 4;
/// A run that began this long before a crash, or less, is a likely cause, in milliseconds.
pub(super) const JUST_STARTED_MS: u64 = 300;

/// A crash of a worker under a run of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CrashedRun {
    /// Number of the run.
    pub run: u32,
    /// How long the run had gone on at the last contact with the worker, in milliseconds.
    pub age_ms: u64,
    /// How long it had gone on at most when the worker crashed, in milliseconds; `u64::MAX` if that
    /// is not known.
    pub age_max_ms: u64,
    /// Whether the run is among the likely causes: its job was one of the last to start there.
    pub likely: bool,
    /// Whether no other job had a run there that may have caused the crash.
    pub alone: bool,
    /// Whether the worker is known to have crashed; otherwise it may only be cut off.
    pub confirmed: bool,
    /// The worker, until its crash is confirmed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unconfirmed_at: Option<WorkerIncarnation>,
}

impl CrashedRun {
    /// Whether the crash came at the start of a run, and only the run's job can have caused it.
    pub fn is_proof(&self) -> bool {
        self.alone && self.confirmed && self.age_max_ms <= JUST_STARTED_MS
    }
}

/// The crashes under a task since it was last cleared.
#[derive(Debug, Clone, Default)]
pub(super) struct CrashSuspicion(Vec<CrashedRun>);

impl CrashSuspicion {
    /// Adds a crash, unless one under this run is known. Returns whether it was added.
    pub(super) fn add(&mut self, crash: CrashedRun) -> bool {
        if self.0.iter().any(|other| other.run == crash.run) {
            return false;
        }
        self.0.push(crash);
        true
    }

    /// Restores recorded crashes.
    pub(super) fn restore(&mut self, crashes: &[CrashedRun]) {
        self.0 = crashes.to_vec();
    }

    /// Returns the crashes.
    pub(super) fn crashes(&self) -> &[CrashedRun] {
        &self.0
    }

    /// Whether a worker has crashed under the task.
    pub(super) fn is_suspected(&self) -> bool {
        !self.0.is_empty()
    }

    /// Marks the worker under a run as crashed for certain. Returns whether that is news.
    pub(super) fn confirm(&mut self, run: u32) -> bool {
        let unconfirmed = |crash: &&mut CrashedRun| crash.run == run && !crash.confirmed;
        let Some(crash) = self.0.iter_mut().find(unconfirmed) else {
            return false;
        };
        crash.confirmed = true;
        crash.unconfirmed_at = None;
        true
    }

    /// Removes the crash under a run, whose worker was only cut off. Returns whether it was known.
    pub(super) fn retract(&mut self, run: u32) -> bool {
        let before = self.0.len();
        self.0.retain(|crash| crash.run != run);
        self.0.len() < before
    }

    /// Clears the task, since a run of it did not crash its worker. Returns whether it was
    /// suspected.
    pub(super) fn clear(&mut self) -> bool {
        !std::mem::take(&mut self.0).is_empty()
    }

    /// Whether its next run has to be a trial, away from other tasks that have just started.
    pub(super) fn needs_trial(&self) -> bool {
        let is_likely = |crash: &CrashedRun| crash.likely && crash.confirmed;
        self.crashes().len() > 1 || self.crashes().iter().any(is_likely)
    }

    /// Whether a crash may have come some time after the start of its run.
    pub(super) fn has_late_crash(&self) -> bool {
        let mut crashes = self.crashes().iter();
        crashes.any(|crash| crash.age_max_ms > JUST_STARTED_MS)
    }

    /// Whether a crash points to the task alone: its next run likely crashes its worker too.
    pub(super) fn has_proof(&self) -> bool {
        self.crashes().iter().any(CrashedRun::is_proof)
    }

    /// How likely the task is a cause, to compare with others: by the crashes under it, then by
    /// how soon after its start the last one came.
    pub(super) fn likelihood(&self) -> (usize, Reverse<u64>) {
        let age_ms = self.crashes().last().map_or(u64::MAX, |crash| crash.age_ms);
        (self.crashes().len(), Reverse(age_ms))
    }

    /// Whether its next run decides: it must not start while another crash may have other causes.
    pub(super) fn is_last_trial(&self) -> bool {
        self.crashes().len() >= CRASHES_MIN
    }

    /// Whether it counts as proven that the task crashes the workers that start it. While workers
    /// also crash by other causes, every crash has to have come at the start of its run. Many
    /// crashes are proof only if one of those that decide has no likelier cause.
    pub(super) fn is_proven(&self, has_other_causes: bool) -> bool {
        let count = |counts: fn(&&CrashedRun) -> bool| self.crashes().iter().filter(counts).count();
        let crashes = count(|crash| crash.confirmed);
        let proofs = count(|crash| crash.is_proof());
        let is_consistent = !has_other_causes || !self.has_late_crash();
        let has_proofs = proofs >= PROOFS_MIN && crashes >= CRASHES_MIN && is_consistent;
        let mut deciding = self.crashes().iter().skip(CRASHES_MAX - 1);
        let is_pointed_to = deciding.any(|crash| crash.likely || crash.alone);
        has_proofs || is_pointed_to && crashes >= CRASHES_MAX
    }
}
