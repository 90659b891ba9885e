//! This entry's cache of the instance records and of the platform's list.

use {
    crate::node::lock,
    dotterelshore_domain::{
        collections::FastMap,
        fleet::{InstanceRecord, ServiceState},
        names::{EntryStamp, InstanceName, PoolName},
    },
    dotterelshore_wire::platform_message::{InstanceLiveness, ListedInstance},
    std::sync::Mutex,
};

/// An instance record and the store version at which it was read.
#[derive(Debug, Clone)]
pub(crate) struct CachedInstance {
    pub(crate) version: u64,
    pub(crate) record: InstanceRecord,
}

#[derive(Debug, Clone, Copy)]
struct InstanceListing {
    liveness: InstanceLiveness,
    boot_count: u32,
}

#[derive(Debug, Default)]
struct FleetState {
    instances: FastMap<InstanceName, CachedInstance>,
    listings: FastMap<String, InstanceListing>,
}

/// Caches the instance records and the platform's list.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    state: Mutex<FleetState>,
}

impl FleetView {
    /// Stores a record if its version is newer, and returns whether it was.
    pub(crate) fn apply_record(&self, version: u64, record: InstanceRecord) -> bool {
        let mut state = lock(&self.state);
        let newer = state
            .instances
            .get(&record.name)
            .is_none_or(|cached| cached.version < version);
        if newer {
            state
                .instances
                .insert(record.name.clone(), CachedInstance { version, record });
        }
        newer
    }

    /// Updates the liveness and boot counts from entries of the platform's list.
    pub(crate) fn apply_listing(&self, listed: Vec<ListedInstance>) {
        let mut state = lock(&self.state);
        for instance in listed {
            state.listings.insert(
                instance.name,
                InstanceListing {
                    liveness: instance.liveness,
                    boot_count: instance.boot_count,
                },
            );
        }
    }

    /// Returns the record of an instance, if it is cached.
    pub(crate) fn instance(&self, name: &InstanceName) -> Option<CachedInstance> {
        lock(&self.state).instances.get(name).cloned()
    }

    /// Returns every cached record, sorted by name.
    pub(crate) fn instances(&self) -> Vec<CachedInstance> {
        let mut cached: Vec<CachedInstance> =
            lock(&self.state).instances.values().cloned().collect();
        cached.sort_by(|a, b| a.record.name.cmp(&b.record.name));
        cached
    }

    /// Returns the records of a pool, sorted by name.
    pub(crate) fn records_of(&self, pool: &PoolName) -> Vec<InstanceRecord> {
        let records = self.instances().into_iter().map(|cached| cached.record);
        records.filter(|record| record.pool == *pool).collect()
    }

    /// Returns the liveness that the platform's list gives for a name, if it is listed.
    pub(crate) fn liveness(&self, name: &str) -> Option<InstanceLiveness> {
        lock(&self.state)
            .listings
            .get(name)
            .map(|listing| listing.liveness)
    }

    /// Returns how many times the platform started an instance.
    pub(crate) fn boot_count(&self, name: &InstanceName) -> u32 {
        lock(&self.state)
            .listings
            .get(name.as_str())
            .map_or(0, |listing| listing.boot_count)
    }

    /// Whether the instance is listed as down or removed, and so runs nothing.
    pub(crate) fn is_stopped(&self, name: &InstanceName) -> bool {
        matches!(
            self.liveness(name.as_str()),
            Some(InstanceLiveness::Down | InstanceLiveness::Gone)
        )
    }

    /// Whether an instance accepts work: it is in service, and listed as live or not listed.
    pub(crate) fn accepts_work(&self, record: &InstanceRecord) -> bool {
        let is_live = matches!(
            self.liveness(record.name.as_str()),
            None | Some(InstanceLiveness::Live)
        );
        record.state == ServiceState::InService && is_live
    }

    /// Returns the listed entry incarnations with their liveness.
    pub(crate) fn entries(&self) -> Vec<(EntryStamp, InstanceLiveness)> {
        let state = lock(&self.state);
        let stamps = state
            .listings
            .iter()
            .filter_map(|(name, listing)| Some((name.parse().ok()?, listing.liveness)));
        stamps.collect()
    }
}
