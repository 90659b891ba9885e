//! The registered instances and the published list of them, which lags behind.

use {
    dotterelshore_wire::platform_message::{InstanceList, InstanceLiveness, ListedInstance},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// An instance to register at the stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddedInstance {
    /// Instance name; for an entry, its stamp.
    pub name: String,
    /// Host and port of its HTTP server.
    pub address: String,
    /// Host and port of the control interface that stops and starts it; empty for an entry.
    #[serde(default)]
    pub control: String,
}

#[derive(Debug)]
struct RegisteredInstance {
    added: AddedInstance,
    liveness: InstanceLiveness,
    published_liveness: InstanceLiveness,
    published_revision: u64,
    boot_count: u32,
    published_boot_count: u32,
    last_ticket: String,
}

/// All instances, each with its actual and its published liveness.
#[derive(Debug, Default)]
pub struct InstanceRegistry {
    revision: u64,
    instances: BTreeMap<String, RegisteredInstance>,
}

impl InstanceRegistry {
    /// Adds an instance and publishes it at once.
    pub fn add(&mut self, added: AddedInstance) {
        self.revision += 1;
        let instance = RegisteredInstance {
            liveness: InstanceLiveness::Live,
            published_liveness: InstanceLiveness::Live,
            published_revision: self.revision,
            boot_count: 1,
            published_boot_count: 1,
            last_ticket: String::new(),
            added,
        };
        self.instances.insert(instance.added.name.clone(), instance);
    }

    /// Sets an instance's liveness; the list shows it after [`Self::publish`]. Returns whether the
    /// instance exists.
    pub fn set_liveness(&mut self, name: &str, liveness: InstanceLiveness) -> bool {
        let Some(instance) = self.instances.get_mut(name) else {
            return false;
        };
        if liveness == InstanceLiveness::Live {
            instance.boot_count += 1;
        }
        instance.liveness = liveness;
        true
    }

    /// Publishes an instance's current liveness in the list.
    pub fn publish(&mut self, name: &str) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        if instance.published_liveness != instance.liveness
            || instance.published_boot_count != instance.boot_count
        {
            self.revision += 1;
            instance.published_boot_count = instance.boot_count;
            instance.published_liveness = instance.liveness;
            instance.published_revision = self.revision;
        }
    }

    /// Begins a reboot unless the ticket is that of the instance's last reboot.
    pub fn begin_reboot(&mut self, name: &str, ticket: &str) -> RebootOutcome {
        let Some(instance) = self.instances.get_mut(name) else {
            return RebootOutcome::UnknownInstance;
        };
        if instance.last_ticket == ticket {
            return RebootOutcome::AlreadyRequested;
        }
        ticket.clone_into(&mut instance.last_ticket);
        RebootOutcome::Begin(instance.added.control.clone())
    }

    /// Returns the published instances that changed after a revision.
    pub fn changes(&self, after: u64) -> InstanceList {
        let changed = self
            .instances
            .values()
            .filter(|instance| instance.published_revision > after);
        let instances = changed.map(|instance| ListedInstance {
            name: instance.added.name.clone(),
            address: instance.added.address.clone(),
            liveness: instance.published_liveness,
            boot_count: instance.published_boot_count,
        });
        InstanceList {
            revision: self.revision,
            instances: instances.collect(),
        }
    }
}

/// Result of a request to reboot an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RebootOutcome {
    /// The instance does not exist.
    UnknownInstance,
    /// The reboot with this ticket was requested before.
    AlreadyRequested,
    /// The reboot begins; holds the instance's control address.
    Begin(String),
}
