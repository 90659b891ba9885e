//! Maintenance: drains, stops, moves, and waves made of them.

mod drain_steps;
mod instance_orders;
mod pool_out;
mod wave_run;

pub(crate) use {
    instance_orders::{add_instances, drain_instance, move_instance, resume_instance},
    pool_out::pool_status,
    wave_run::{adopt_from, list_waves, set_status, start_wave},
};
