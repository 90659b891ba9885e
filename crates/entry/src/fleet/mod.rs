//! What this entry knows of the fleet: instance records and the platform's list.

mod fleet_view;
mod fleet_watch;

pub(crate) use {
    fleet_view::{FleetView, KnownInstance},
    fleet_watch::{pause_and_double, refresh_seats, start},
};
