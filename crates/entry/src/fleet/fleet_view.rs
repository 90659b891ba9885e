//! Instance records and lives, as far as this entry has read them.

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

/// An instance record with the version it was read at.
#[derive(Debug, Clone)]
pub(crate) struct KnownInstance {
    pub(crate) version: u64,
    pub(crate) record: InstanceRecord,
}

#[derive(Debug, Clone, Copy)]
struct ListedLife {
    life: InstanceLiveness,
    boot_count: u32,
}

#[derive(Debug, Default)]
struct FleetState {
    instances: FastMap<InstanceName, KnownInstance>,
    lives: FastMap<String, ListedLife>,
}

/// What this entry knows of the fleet.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    state: Mutex<FleetState>,
}

impl FleetView {
    /// Takes over a record if its version is newer; says whether it was.
    pub(crate) fn learn(&self, version: u64, record: InstanceRecord) -> bool {
        let mut state = lock(&self.state);
        let newer = state
            .instances
            .get(&record.name)
            .is_none_or(|known| known.version < version);
        if newer {
            state
                .instances
                .insert(record.name.clone(), KnownInstance { version, record });
        }
        newer
    }

    /// Takes over what the platform's list says of instances.
    pub(crate) fn learn_lives(&self, listed: Vec<ListedInstance>) {
        let mut state = lock(&self.state);
        for instance in listed {
            state.lives.insert(
                instance.name,
                ListedLife {
                    life: instance.liveness,
                    boot_count: instance.boot_count,
                },
            );
        }
    }

    /// A record, if it is known.
    pub(crate) fn instance(&self, name: &InstanceName) -> Option<KnownInstance> {
        lock(&self.state).instances.get(name).cloned()
    }

    /// Every record, by name.
    pub(crate) fn instances(&self) -> Vec<KnownInstance> {
        let mut known: Vec<KnownInstance> = lock(&self.state).instances.values().cloned().collect();
        known.sort_by(|a, b| a.record.name.cmp(&b.record.name));
        known
    }

    /// The records of a pool, by name.
    pub(crate) fn members_of(&self, pool: &PoolName) -> Vec<InstanceRecord> {
        let records = self.instances().into_iter().map(|known| known.record);
        records.filter(|record| record.pool == *pool).collect()
    }

    /// What the list says of a life, if it names it.
    pub(crate) fn life(&self, name: &str) -> Option<InstanceLiveness> {
        lock(&self.state).lives.get(name).map(|listed| listed.life)
    }

    /// How often the platform started an instance.
    pub(crate) fn boot_count(&self, name: &InstanceName) -> u32 {
        lock(&self.state)
            .lives
            .get(name.as_str())
            .map_or(0, |listed| listed.boot_count)
    }

    /// Whether the list says that nothing of the instance runs.
    pub(crate) fn is_stopped(&self, name: &InstanceName) -> bool {
        matches!(
            self.life(name.as_str()),
            Some(InstanceLiveness::Down | InstanceLiveness::Gone)
        )
    }

    /// Whether an instance takes work: in service, and not leaving or down.
    pub(crate) fn takes_work(&self, record: &InstanceRecord) -> bool {
        let lives = matches!(
            self.life(record.name.as_str()),
            None | Some(InstanceLiveness::Live)
        );
        record.state == ServiceState::InService && lives
    }

    /// The lives of entries that the list names, with what it says of them.
    pub(crate) fn entries(&self) -> Vec<(EntryStamp, InstanceLiveness)> {
        let state = lock(&self.state);
        let stamps = state
            .lives
            .iter()
            .filter_map(|(name, listed)| Some((name.parse().ok()?, listed.life)));
        stamps.collect()
    }
}
