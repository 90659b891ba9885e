//! The owner's planner: checks leases and unanswered orders, and plans starts.

use {
    super::fleet_model::FleetModel,
    dotterelshore_domain::schedule::{TaskName, WorkerOrder},
};

/// Time between checks of leases and unanswered orders, in milliseconds.
const TICK_PERIOD_MS: u64 = 100;
/// Pause before a planning pass, in milliseconds.
const PLAN_PAUSE_MS: u64 = 3;

impl FleetModel {
    pub(super) fn start_planner(&mut self, owner: usize) {
        self.after_in_owner(owner, TICK_PERIOD_MS, move |model| {
            if model.owners[owner].leads() {
                model.plan(owner, true);
                model.start_planner(owner);
            }
        });
    }

    /// Wakes the planner.
    pub(super) fn notify_planner(&mut self, owner: usize) {
        if std::mem::replace(&mut self.owners[owner].is_plan_notified, true) {
            return;
        }
        self.after_in_owner(owner, PLAN_PAUSE_MS, move |model| {
            model.owners[owner].is_plan_notified = false;
            if model.owners[owner].leads() {
                model.plan(owner, false);
            }
        });
    }

    fn plan(&mut self, owner: usize, ticked: bool) {
        let (now_ms, wall_ms) = (self.now_ms, self.wall_ms());
        let process = &mut self.owners[owner];
        if process.is_planning || !process.has_authority(now_ms) {
            return;
        }
        let sole_until_ms = process.sole_owner_until_ms();
        process.is_planning = true;
        self.act_after_pause(owner, move |model| {
            let process = &mut model.owners[owner];
            process.is_planning = false;
            if process.leads() {
                model.apply_plan(owner, ticked, (now_ms, wall_ms), sole_until_ms);
            }
        });
    }

    /// Plans by the times that were read before.
    fn apply_plan(
        &mut self,
        owner: usize,
        ticked: bool,
        (now_ms, wall_ms): (u64, u64),
        sole_until_ms: u64,
    ) {
        let process = &mut self.owners[owner];
        let mut orders = if ticked {
            process.schedule.tick(now_ms, now_ms < sole_until_ms)
        } else {
            Vec::new()
        };
        // The order within a worker's queue must not depend on a hash map.
        orders.sort_by_key(order_key);
        orders.extend(process.schedule.plan_starts(now_ms, wall_ms, sole_until_ms));
        for runs in process.schedule.take_dropped_runs() {
            let text = format!("owner {owner} drops {runs:?}");
            self.oracle.note(None, text);
        }
        let notices = self.owners[owner].schedule.take_crash_notices();
        for notice in &notices {
            self.oracle.note(None, format!("owner {owner}: {notice:?}"));
        }
        let has_planned = self.owners[owner].schedule.has_planned_starts();
        if has_planned || !notices.is_empty() {
            self.notify_recorder(owner);
        }
        self.dispatch(owner, orders);
    }
}

pub(super) fn order_key(order: &WorkerOrder) -> (TaskName, u32) {
    match order {
        WorkerOrder::Start(order) => (order.task.clone(), order.run),
        WorkerOrder::Stop(order) | WorkerOrder::Pace(order, _) => (order.task.clone(), order.run),
    }
}
