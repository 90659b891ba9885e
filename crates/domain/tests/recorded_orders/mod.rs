//! Orders of a planning pass, and of the starts that wait for a record.

use dotterelshore_domain::schedule::{FleetSchedule, WorkerOrder};

/// Plans at a time, and again once the progress that planned starts wait for is recorded.
pub(crate) fn recorded_orders(
    schedule: &mut FleetSchedule,
    now_ms: u64,
    wall_ms: u64,
) -> Vec<WorkerOrder> {
    let mut orders = schedule.plan_starts(now_ms, wall_ms, u64::MAX);
    if schedule.has_planned_starts() {
        let batch = schedule.take_progress_batch();
        schedule.mark_progress_recorded(&batch);
        orders.extend(schedule.plan_starts(now_ms, wall_ms, u64::MAX));
    }
    orders
}
