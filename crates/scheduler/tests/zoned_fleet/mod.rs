//! Fleets whose workers and processes are in zones.

use {
    crate::fixture::{FleetFixture, program},
    dotterelshore_emulator::{
        EmulatedFleet, PlatformTraits, ProcessSettings, SchedulerProcess, StoreEndpoint,
    },
};

impl FleetFixture {
    /// Starts processes in the zones of a platform, each with the store's endpoint of its zone.
    pub(crate) async fn start_with_traits(
        (nodes, workers, cores): (usize, usize, f64),
        traits: PlatformTraits,
    ) -> (Self, Vec<StoreEndpoint>) {
        let fleet = EmulatedFleet::start_with_traits(workers, traits).await;
        let mut endpoints = Vec::new();
        for zone in 0..traits.zones {
            endpoints.push(fleet.open_zone_endpoint(zone).await);
        }
        let folder = tempfile::tempdir().expect("a folder");
        let nodes = (0..nodes).map(|number| {
            let settings = ProcessSettings {
                store: endpoints[number % traits.zones].address(),
                adviser: fleet.adviser_address(),
                name: &format!("e{number}"),
                cores,
                zone: number % traits.zones,
                lease_max_ms: traits.lease_max_ms,
            };
            SchedulerProcess::start_with_settings(&settings, program(), folder.path())
        });
        let nodes = nodes.collect();
        (Self::wait_until_up(fleet, nodes, folder).await, endpoints)
    }
}
