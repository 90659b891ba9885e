//! The protocol that the platform speaks: HTTP with these bodies.

use serde::{Deserialize, Serialize};

/// One key as the platform tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// The key.
    pub key: String,
    /// Rises with each write of any key.
    pub version: u64,
    /// The value, or nothing where the key was deleted.
    pub value: Option<String>,
}

/// Keys under a prefix, or their changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyList {
    /// The store's revision this list is of.
    pub revision: u64,
    /// The keys.
    pub entries: Vec<KeyEntry>,
}

/// What the platform says of an instance's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceLiveness {
    /// It lives.
    Live,
    /// It will be stopped soon.
    Leaving,
    /// It is stopped and will come back.
    Down,
    /// It is gone for ever; nothing of it runs any more.
    Gone,
}

/// An instance on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedInstance {
    /// Its name; for an entry, its stamp.
    pub name: String,
    /// Host and port of its HTTP front.
    pub address: String,
    /// What the platform says of its life.
    #[serde(rename = "life")]
    pub liveness: InstanceLiveness,
    /// How often it was started; rises with each start.
    #[serde(rename = "boots")]
    pub boot_count: u32,
}

/// The platform's list or what changed in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceList {
    /// The list's revision.
    pub revision: u64,
    /// The instances.
    pub instances: Vec<ListedInstance>,
}
