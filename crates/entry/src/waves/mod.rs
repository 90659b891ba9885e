//! Maintenance: drains, stops and moves of instances, and waves of them.

mod drain_steps;
mod instance_orders;
mod pool_shortfall;
mod wave_run;

pub(crate) use {
    instance_orders::{add_instances, drain_instance, move_instance, resume_instance},
    pool_shortfall::pool_status,
    wave_run::{adopt_waves_of, list_waves, set_status, start_wave},
};
