//! This entry's view of the fleet: instance records and the platform's list.

mod fleet_view;
mod fleet_watch;

pub(crate) use {
    fleet_view::{CachedInstance, FleetView},
    fleet_watch::{refresh_targets, sleep_and_double, start},
};
