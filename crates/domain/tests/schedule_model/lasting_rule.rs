//! The rule on tasks that last: each is at work again soon after its last run, if there is room.

use {
    super::fleet_model::FleetModel,
    dotterelshore_domain::{
        names::WorkerName,
        schedule::{MissingTasks, StepPlan, TaskName},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// How long after its last run a task may be missing whatever happens, in milliseconds.
const MISSING_AFTER_MS: u64 = 6_000;
/// How long there has to be room for a task that is missing, in milliseconds.
const MISSING_FOR_MS: u64 = 3_000;
/// Time without a fault before that, in milliseconds.
const CALM_BEFORE_MS: u64 = 4_000;
/// How often a task has to fit for its worker to count as one with room.
const ROOM_FACTOR: u64 = 2;

/// The workers that may get tasks, each with the time since when.
#[derive(Debug, Default)]
pub(super) struct OpenWorkers(BTreeMap<WorkerName, u64>);

impl FleetModel {
    /// Checks that no task that lasts is missing for long while there is room for it.
    pub(super) fn check_missing_tasks(&mut self) {
        let open = self.open_workers();
        let now_ms = self.now_ms;
        let since_ms = &mut self.open_workers.0;
        since_ms.retain(|name, _| open.contains(name));
        for name in open {
            since_ms.entry(name).or_insert(now_ms);
        }
        for (task, missing_ms, step) in self.oracle.missing_tasks() {
            let Some(room_ms) = self.room_since_ms(&step) else {
                continue;
            };
            let calm_ms = self.calm_since_ms() + CALM_BEFORE_MS;
            let from_ms = room_ms.max(calm_ms).max(missing_ms + MISSING_AFTER_MS);
            if now_ms > from_ms + MISSING_FOR_MS {
                let reason = self.missing_reason(&task);
                self.oracle.fail_missing(&task, missing_ms, &reason);
            }
        }
    }

    /// Returns when the last fault ended. Orders that are carried out late are one here.
    fn calm_since_ms(&self) -> u64 {
        let fault_until_ms = self.oracle.fault_until_ms();
        if self.profile.late_orders > 0.0 {
            fault_until_ms.max(self.faults_until_ms)
        } else {
            fault_until_ms
        }
    }

    /// Returns what the owner says that a task waits for.
    fn missing_reason(&self, task: &TaskName) -> String {
        let Some(owner) = self.current_owner() else {
            return "no owner".to_owned();
        };
        let process = &self.owners[owner];
        let (now_ms, sole_until_ms) = (self.now_ms, process.sole_owner_until_ms());
        let missing = MissingTasks::default().update(&process.schedule, now_ms, sole_until_ms);
        let known = missing.iter().find(|missing| missing.task == *task);
        known.map_or_else(
            || "not missing to its owner".to_owned(),
            |missing| format!("{:?}", missing.reason),
        )
    }

    /// Returns the workers that are listed, are not leaving and can be reached.
    fn open_workers(&self) -> BTreeSet<WorkerName> {
        let alive = self.workers.iter();
        let open = alive.filter(|(name, process)| {
            let row = self.store.workers.get(*name);
            let is_open = row.is_some_and(|row| row.listed == process.listed);
            is_open && !process.listed.draining && !self.is_cut(name)
        });
        open.map(|(name, _)| name.clone()).collect()
    }

    /// Returns since when some open worker has room for a step's task.
    fn room_since_ms(&self, step: &StepPlan) -> Option<u64> {
        let fitting = self.open_workers.0.iter().filter(|(name, _)| {
            let process = &self.workers[*name];
            let has_label = |label: &std::sync::Arc<str>| process.listed.labels.contains(label);
            step.requires.as_ref().is_none_or(has_label)
                && process.free_cpu_milli() >= step.need.cpu_milli * ROOM_FACTOR
        });
        fitting.map(|(_, since_ms)| *since_ms).min()
    }
}
