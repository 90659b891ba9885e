//! Permits: how much work of each team this entry may run, and how permits move between entries.

mod permit_registry;
mod permit_task;
mod permit_transfer;

pub(crate) use {
    permit_registry::PermitRegistry,
    permit_task::{reclaim, return_all, start},
    permit_transfer::transfer_permits,
};
