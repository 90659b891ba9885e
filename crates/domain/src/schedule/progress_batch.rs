//! Progress on its way to the store, and what follows from the writes.

use {
    super::{
        fleet_schedule::FleetSchedule,
        job_progress::{JobState, ProgressRecord},
        live_job::LiveJob,
        worker_order::WorkerOrder,
    },
    crate::{
        collections::FastSet,
        names::{JobName, WorkerName},
    },
};

/// How often in a row the store rejects the record of a job before the job fails.
const REJECTIONS_MAX: u32 = 3;
/// How often in a row the write of a job's record alone fails, while others take effect, before the
/// job fails. With the pauses between them that is longer than troubles of the store last.
const FAILED_WRITES_MAX: u32 = 20;

/// Progress to be recorded, with the run ends that it covers.
#[derive(Debug, Clone, Default)]
pub struct ProgressBatch {
    /// Jobs and their progress.
    pub records: Vec<(JobName, ProgressRecord)>,
    /// Per worker: its name, the start of its incarnation, and the highest run end that the
    /// records cover.
    pub ends: Vec<(WorkerName, u64, u64)>,
}

impl FleetSchedule {
    /// Whether progress is to be recorded at once: the end of a job, for which its caller waits, a
    /// crash, or a planned start.
    pub fn has_urgent_progress(&self) -> bool {
        let ended = |name| self.jobs.get(name).is_some_and(|job| job.ended.is_some());
        self.dirty
            .iter()
            .any(|name| ended(name) || self.suspects.contains(name) || self.planned.contains(name))
    }

    /// Takes the progress that is not recorded yet, also that of writes whose outcome was not
    /// learned. Run ends are acknowledged after [`mark_ends_recorded`](Self::mark_ends_recorded).
    pub fn take_progress_batch(&mut self) -> ProgressBatch {
        self.recording.extend(self.dirty.drain());
        let jobs = &self.jobs;
        self.recording.retain(|name| jobs.get(name).is_some());
        self.planned.clear();
        let records = self
            .recording
            .iter()
            .filter_map(|name| Some((name.clone(), self.jobs.get(name)?.progress())))
            .collect();
        let ends = self
            .workers
            .values()
            .filter(|status| status.applied_end > status.recorded_end)
            .map(|status| {
                (
                    status.listed.name.clone(),
                    status.listed.started_ms,
                    status.applied_end,
                )
            })
            .collect();
        ProgressBatch { records, ends }
    }

    /// Marks a batch as recorded, so that its run ends can be acknowledged.
    pub fn mark_progress_recorded(&mut self, batch: &ProgressBatch) {
        for (name, progress) in &batch.records {
            self.mark_job_recorded(name, progress);
        }
        self.mark_ends_recorded(&batch.ends, &FastSet::default());
    }

    /// Marks the progress of a job as recorded.
    pub fn mark_job_recorded(&mut self, name: &JobName, progress: &ProgressRecord) {
        self.recording.remove(name);
        if let Some(job) = self.jobs.get_untracked(name) {
            job.rejections = 0;
            job.failed_writes = 0;
            job.end_recorded |= progress.ended.is_some();
        }
        self.mark_attempts_recorded(name, progress);
    }

    /// Marks the run ends of a batch as recorded, but those of its jobs that are `unrecorded`.
    pub fn mark_ends_recorded(
        &mut self,
        ends: &[(WorkerName, u64, u64)],
        unrecorded: &FastSet<JobName>,
    ) {
        for (name, started_ms, end) in ends {
            if let Some(status) = self.workers.get_mut(name)
                && status.listed.started_ms == *started_ms
            {
                status.mark_ends_recorded(*end, unrecorded);
            }
        }
    }

    /// Queues a job of a batch again, because its write may have failed.
    pub fn requeue_progress(&mut self, name: &JobName) {
        let job = self.jobs.get(name);
        if job.is_some_and(LiveJob::has_planned_runs) {
            self.planned.insert(name.clone());
        }
        self.recording.remove(name);
        self.dirty.insert(name.clone());
    }

    /// Queues a job again whose record the store rejects, and returns the orders that follow.
    ///
    /// A job whose record is rejected again and again fails: its run ends could not be
    /// acknowledged, nor any others behind them at the same workers.
    pub fn reject_progress(
        &mut self,
        name: &JobName,
        now_ms: u64,
        wall_ms: u64,
    ) -> Vec<WorkerOrder> {
        self.recording.remove(name);
        self.dirty.insert(name.clone());
        let Some(job) = self.jobs.get_untracked(name) else {
            return Vec::new();
        };
        job.rejections += 1;
        if job.rejections < REJECTIONS_MAX || job.ended.is_some() {
            return Vec::new();
        }
        self.end_job(name, JobState::Failed, now_ms, wall_ms)
    }

    /// Returns how often in a row the write of a job's record has failed while others took effect.
    pub fn failed_writes(&self, name: &JobName) -> u32 {
        self.jobs.get(name).map_or(0, |job| job.failed_writes)
    }

    /// Notes that the write of a job's record failed while others took effect, by itself or with
    /// others, and returns the orders that follow: as [`reject_progress`](Self::reject_progress),
    /// a job whose record can't be stored fails in the end.
    pub fn note_failed_write(
        &mut self,
        name: &JobName,
        is_alone: bool,
        now_ms: u64,
        wall_ms: u64,
    ) -> Vec<WorkerOrder> {
        let Some(job) = self.jobs.get_untracked(name) else {
            return Vec::new();
        };
        job.failed_writes += 1;
        if !is_alone || job.failed_writes < FAILED_WRITES_MAX || job.ended.is_some() {
            return Vec::new();
        }
        self.end_job(name, JobState::Failed, now_ms, wall_ms)
    }
}
