//! Keys with versions, compare-and-swap, leases and a change order.

use {
    dotterelshore_wire::platform_message::{KeyEntry, KeyList},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

#[derive(Debug)]
struct StoredKey {
    version: u64,
    value: Option<String>,
    expires: Option<Instant>,
}

/// A condition on a key's present version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyCondition {
    /// The key must not exist.
    Absent,
    /// The key must have this version.
    Version(u64),
}

/// All keys. Deleted ones leave a mark, so that watches see the deletion.
#[derive(Debug, Default)]
pub struct KeyStore {
    revision: u64,
    keys: BTreeMap<String, StoredKey>,
}

impl KeyStore {
    /// The revision of the newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<(u64, &str)> {
        let stored = self.keys.get(key)?;
        Some((stored.version, stored.value.as_deref()?))
    }

    /// Writes a key, or deletes it where the value is `None`, if the condition holds.
    /// Returns the new version.
    pub fn put(
        &mut self,
        key: &str,
        value: Option<String>,
        condition: KeyCondition,
        lease: Option<Duration>,
    ) -> Option<u64> {
        let present = self.get(key).map(|(version, _)| version);
        let holds = match condition {
            KeyCondition::Absent => present.is_none(),
            KeyCondition::Version(version) => present == Some(version),
        };
        if !holds {
            return None;
        }
        self.revision += 1;
        let expires = lease.map(|lease| Instant::now() + lease);
        self.keys.insert(
            key.to_owned(),
            StoredKey {
                version: self.revision,
                value,
                expires,
            },
        );
        Some(self.revision)
    }

    /// Deletes the keys whose leases lapsed.
    pub fn expire(&mut self, now: Instant) {
        let lapsed = |stored: &StoredKey| {
            stored.value.is_some() && stored.expires.is_some_and(|at| at <= now)
        };
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| lapsed(stored))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.keys.insert(
                key,
                StoredKey {
                    version: self.revision,
                    value: None,
                    expires: None,
                },
            );
        }
    }

    /// The keys under a prefix that changed after a revision; with `after` nought,
    /// all that exist.
    pub fn changes(&self, prefix: &str, after: u64) -> KeyList {
        let under = self
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix));
        let changed = under
            .filter(|(_, stored)| stored.version > after && (after > 0 || stored.value.is_some()));
        let entries = changed.map(|(key, stored)| KeyEntry {
            key: key.clone(),
            version: stored.version,
            value: stored.value.clone(),
        });
        KeyList {
            revision: self.revision,
            entries: entries.collect(),
        }
    }
}
