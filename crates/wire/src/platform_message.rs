//! The protocol of the platform: JSON bodies over HTTP.

use serde::{Deserialize, Serialize};

/// One key of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// The key.
    pub key: String,
    /// Version of the last write of this key; increases with each write of any key.
    pub version: u64,
    /// The value; `None` if the key was deleted.
    pub value: Option<String>,
}

/// The keys under a prefix, or the changed keys among them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyList {
    /// The store revision of this list.
    pub revision: u64,
    /// The keys.
    pub entries: Vec<KeyEntry>,
}

/// The liveness of an instance as reported by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceLiveness {
    /// Running.
    Live,
    /// Running, but about to be stopped.
    Leaving,
    /// Stopped; it will be started again.
    Down,
    /// Terminated for good; none of its processes run any more.
    Gone,
}

/// An instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedInstance {
    /// Its name; for an entry, its stamp.
    pub name: String,
    /// Host and port of its HTTP server.
    pub address: String,
    /// Its liveness.
    #[serde(rename = "life")]
    pub liveness: InstanceLiveness,
    /// Number of times it was started.
    #[serde(rename = "boots")]
    pub boot_count: u32,
}

/// The platform's list of instances, or the changed instances in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceList {
    /// The list's revision.
    pub revision: u64,
    /// The instances.
    pub instances: Vec<ListedInstance>,
}
