//! Sample steps, and the starts that a planning pass orders.

#[path = "../recorded_orders/mod.rs"]
mod recorded_orders;

use {
    dotterelshore_domain::schedule::{FleetSchedule, Resources, StartOrder, StepPlan, WorkerOrder},
    recorded_orders::recorded_orders,
};

/// Returns a step of tasks with this processor need, in thousandths of a core.
pub(crate) fn sample_step(count: u32, cpu_milli: u64) -> StepPlan {
    StepPlan {
        count,
        need: Resources {
            cpu_milli,
            memory_mb: 100,
            gpus: 0,
        },
        estimate_ms: 800,
        ..StepPlan::default()
    }
}

/// Plans at a time and returns the start orders.
pub(crate) fn ordered_starts(
    schedule: &mut FleetSchedule,
    now_ms: u64,
    wall_ms: u64,
) -> Vec<StartOrder> {
    let orders = recorded_orders(schedule, now_ms, wall_ms).into_iter();
    let starts = orders.filter_map(|order| match order {
        WorkerOrder::Start(start) => Some(start),
        WorkerOrder::Stop(_) | WorkerOrder::Pace(..) => None,
    });
    starts.collect()
}
