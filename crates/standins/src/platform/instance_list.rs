//! The list of instances, published with a lag.

use {
    dotterelshore_wire::platform_message::{InstanceList, InstanceLiveness, ListedInstance},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// An instance told to the stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddedInstance {
    /// Its name; for an entry, its stamp.
    pub name: String,
    /// Host and port of its HTTP front.
    pub address: String,
    /// Host and port by which it is stopped and started, empty for an entry.
    #[serde(default)]
    pub control: String,
}

#[derive(Debug)]
struct ListedLife {
    added: AddedInstance,
    life: InstanceLiveness,
    shown: InstanceLiveness,
    shown_at: u64,
    boot_count: u32,
    shown_boots: u32,
    last_ticket: String,
}

/// All instances: how they are, and how the list shows them.
#[derive(Debug, Default)]
pub struct InstanceBook {
    revision: u64,
    instances: BTreeMap<String, ListedLife>,
}

impl InstanceBook {
    /// Adds an instance, shown at once.
    pub fn add(&mut self, added: AddedInstance) {
        self.revision += 1;
        let life = ListedLife {
            life: InstanceLiveness::Live,
            shown: InstanceLiveness::Live,
            shown_at: self.revision,
            boot_count: 1,
            shown_boots: 1,
            last_ticket: String::new(),
            added,
        };
        self.instances.insert(life.added.name.clone(), life);
    }

    /// Changes an instance's life; the list shows it once it is published.
    pub fn set_life(&mut self, name: &str, life: InstanceLiveness) -> bool {
        let Some(listed) = self.instances.get_mut(name) else {
            return false;
        };
        if life == InstanceLiveness::Live {
            listed.boot_count += 1;
        }
        listed.life = life;
        true
    }

    /// Shows an instance's present life in the list.
    pub fn publish(&mut self, name: &str) {
        let Some(listed) = self.instances.get_mut(name) else {
            return;
        };
        if listed.shown != listed.life || listed.shown_boots != listed.boot_count {
            self.revision += 1;
            listed.shown_boots = listed.boot_count;
            listed.shown = listed.life;
            listed.shown_at = self.revision;
        }
    }

    /// Where an instance is stopped and started, if the ticket is a new one.
    pub fn begin_reboot(&mut self, name: &str, ticket: &str) -> RebootAnswer {
        let Some(listed) = self.instances.get_mut(name) else {
            return RebootAnswer::Unknown;
        };
        if listed.last_ticket == ticket {
            return RebootAnswer::Known;
        }
        ticket.clone_into(&mut listed.last_ticket);
        RebootAnswer::Begin(listed.added.control.clone())
    }

    /// What the list shows that changed after a revision.
    pub fn changes(&self, after: u64) -> InstanceList {
        let changed = self
            .instances
            .values()
            .filter(|listed| listed.shown_at > after);
        let instances = changed.map(|listed| ListedInstance {
            name: listed.added.name.clone(),
            address: listed.added.address.clone(),
            liveness: listed.shown,
            boot_count: listed.shown_boots,
        });
        InstanceList {
            revision: self.revision,
            instances: instances.collect(),
        }
    }
}

/// What becomes of a request to reboot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RebootAnswer {
    /// There is no such instance.
    Unknown,
    /// This reboot was asked for before.
    Known,
    /// It begins now, through this control address.
    Begin(String),
}
