//! Gangs of which a member did not start or ended before the others.

use {
    super::{
        fleet_schedule::FleetSchedule, step_state::TaskState, task_name::TaskName,
        worker_order::WorkerOrder,
    },
    crate::names::JobName,
};

impl FleetSchedule {
    /// Stops the members of gangs that lack others. They would wait for these until they end, and
    /// the gang only starts as a whole.
    pub(super) fn stop_partial_gangs(&mut self, jobs: &[JobName], now_ms: u64) -> Vec<WorkerOrder> {
        let mut orders = Vec::new();
        for name in jobs {
            let Some(job) = self.jobs.get_mut(name) else {
                continue;
            };
            let is_partial = |tasks: &[TaskState]| {
                tasks.iter().any(TaskState::is_idle) && !tasks.iter().all(TaskState::is_idle)
            };
            let steps = job.startable_steps().filter(|(_, number, step)| {
                job.record.plan.steps[*number].gang && is_partial(&step.tasks)
            });
            let steps: Vec<_> = steps
                .map(|(occurrence, number, _)| (occurrence, number))
                .collect();
            for (occurrence, number) in steps {
                let step = u16::try_from(number).unwrap_or(u16::MAX);
                let state = job.occurrences.steps_mut(occurrence);
                let Some(state) = state.and_then(|steps| steps.get_mut(number)) else {
                    continue;
                };
                for (index, task) in (0u32..).zip(&mut state.tasks) {
                    let member = TaskName {
                        job: name.clone(),
                        occurrence,
                        step,
                        index,
                    };
                    let runs = task.runs.iter_mut().filter(|run| !run.is_stopping());
                    orders.extend(runs.map(|run| run.stop(&member, now_ms)));
                }
            }
        }
        orders
    }
}
