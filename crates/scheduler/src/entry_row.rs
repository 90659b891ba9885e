//! The row of an entry in the store, by which other entries find it.

use {
    crate::store::ENTRY_PREFIX,
    dotterelshore_domain::{
        names::{CentreName, EntryName},
        schedule::EntryResources,
    },
    dotterelshore_platform::{KvRow, NodeSettings},
    dotterelshore_wire::log_event,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// An entry's row in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct EntryRow {
    /// Address for calls from other entries.
    pub(crate) address: SocketAddr,
    /// The entry's data centre.
    pub(crate) centre: CentreName,
    /// Its processor share, in cores; 0 in the row of an earlier version.
    #[serde(default)]
    cores: f64,
    /// Capacity of its network link, in Mbit/s.
    #[serde(default)]
    link_mbps: f64,
    /// Whether, as a delegate, it knows polls for run ends; an earlier version does not.
    #[serde(default)]
    pub(crate) knows_ends_polls: bool,
}

impl EntryRow {
    /// The row of the entry with these settings.
    pub(crate) fn of_settings(settings: &NodeSettings) -> Self {
        Self {
            address: settings.peers,
            centre: settings.centre.clone(),
            cores: settings.cores,
            link_mbps: settings.link_mbps,
            knows_ends_polls: true,
        }
    }

    /// The entry's resources.
    pub(crate) fn resources(&self, name: EntryName) -> EntryResources {
        EntryResources {
            name,
            centre: self.centre.clone(),
            cores: self.cores,
            link_mbps: self.link_mbps,
        }
    }
}

/// Decodes an entry's row. Logs one that can't be decoded and returns `None`.
pub(crate) fn parse_entry_row(row: &KvRow) -> Option<EntryRow> {
    serde_json::from_slice(&row.value)
        .inspect_err(|error| log_event!(Warn, "entry-unreadable", key = row.key, error = error))
        .ok()
}

/// Returns the entry that a key in the store belongs to.
pub(crate) fn entry_of_key(key: &str) -> Option<EntryName> {
    EntryName::try_from(key.strip_prefix(ENTRY_PREFIX)?).ok()
}
