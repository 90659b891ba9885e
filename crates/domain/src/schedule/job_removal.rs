//! Ended jobs, until their records are gone from the store.

use {
    super::fleet_schedule::FleetSchedule,
    crate::{collections::FastSet, names::JobName},
};

impl FleetSchedule {
    /// Returns the jobs that ended more than `retention_ms` ago, for removal from the store. Each
    /// is known until [`forget_removed`](Self::forget_removed) or
    /// [`forget_missing`](Self::forget_missing): as long as its record is stored, a reader of the
    /// store would take it for a new job.
    pub fn expire_ended_jobs(&mut self, retention_ms: u64, wall_ms: u64) -> Vec<JobName> {
        let mut expired = Vec::new();
        for (name, job) in self.jobs.iter_untracked() {
            let has_ended = job.end_recorded && job.run_count == 0;
            let ended_ms = job.ended_ms.filter(|_| has_ended);
            if ended_ms.is_some_and(|at| at.saturating_add(retention_ms) < wall_ms) {
                job.removal_ordered = true;
                expired.push(name.clone());
            }
        }
        expired
    }

    /// Forgets a job whose record is gone from the store. Returns whether its removal was ordered;
    /// otherwise the job stays.
    pub fn forget_removed(&mut self, name: &JobName) -> bool {
        let job = self.jobs.get(name);
        let is_ordered = job.is_none_or(|job| job.removal_ordered);
        if is_ordered {
            self.jobs.remove(name);
        }
        is_ordered
    }

    /// Forgets the jobs whose removal was ordered and that the store does not list any more.
    pub fn forget_missing(&mut self, listed: &FastSet<JobName>) {
        let jobs = self.jobs.values();
        let gone = jobs.filter(|job| job.removal_ordered && !listed.contains(&job.record.name));
        let gone: Vec<_> = gone.map(|job| job.record.name.clone()).collect();
        for name in gone {
            self.jobs.remove(&name);
        }
    }
}
