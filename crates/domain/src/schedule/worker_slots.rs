//! How many tasks of a step a worker may get.

use super::{job_plan::StepPlan, task_name::TaskName, worker_status::WorkerStatus};

impl WorkerStatus {
    /// Whether a step's label and anti-affinity allow one more of its tasks here.
    pub(super) fn is_eligible(&self, plan: &StepPlan, task: &TaskName) -> bool {
        self.allowed_tasks(plan, task) > 0
    }

    /// Returns how many more tasks of a step it may get, by its free room and the step's limits.
    pub(super) fn free_slots(&self, plan: &StepPlan, task: &TaskName) -> u64 {
        let room = plan.reserved().count_in(self.used, self.listed.capacity);
        room.min(self.allowed_tasks(plan, task))
    }

    /// Returns how many more tasks of a step its label and anti-affinity allow here.
    fn allowed_tasks(&self, plan: &StepPlan, task: &TaskName) -> u64 {
        let has_label = |label| self.has_label(label);
        if !plan.requires.as_deref().is_none_or(has_label) {
            return 0;
        }
        plan.anti_affinity.map_or(u64::MAX, |limit| {
            u64::from(limit.saturating_sub(self.count_same_step(task)))
        })
    }

    /// Counts the runs of the task's step, in its occurrence.
    pub(super) fn count_same_step(&self, task: &TaskName) -> u32 {
        let same = |other: &&TaskName| {
            other.step == task.step && other.occurrence == task.occurrence && other.job == task.job
        };
        u32::try_from(self.tasks().filter(same).count()).unwrap_or(u32::MAX)
    }
}
