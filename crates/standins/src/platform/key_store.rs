//! In-memory key-value store with versions, compare-and-swap, leases and ordered changes.

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

/// Precondition of a write on the key's current version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyCondition {
    /// The key must not exist.
    Absent,
    /// The key must have this version.
    Version(u64),
}

/// All keys. A deleted key leaves a tombstone, so that watches report the deletion.
#[derive(Debug, Default)]
pub struct KeyStore {
    revision: u64,
    keys: BTreeMap<String, StoredKey>,
}

impl KeyStore {
    /// Returns the revision of the latest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a key's version and value, or `None` if it does not exist.
    pub fn get(&self, key: &str) -> Option<(u64, &str)> {
        let stored = self.keys.get(key)?;
        Some((stored.version, stored.value.as_deref()?))
    }

    /// Writes a key if the condition holds; a `None` value deletes it. Returns the new version, or
    /// `None` if the condition does not hold.
    pub fn put(
        &mut self,
        key: &str,
        value: Option<String>,
        condition: KeyCondition,
        lease: Option<Duration>,
    ) -> Option<u64> {
        let current = self.get(key).map(|(version, _)| version);
        let holds = match condition {
            KeyCondition::Absent => current.is_none(),
            KeyCondition::Version(version) => current == Some(version),
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

    /// Deletes the keys whose leases have expired.
    pub fn expire(&mut self, now: Instant) {
        let is_expired = |stored: &StoredKey| {
            stored.value.is_some() && stored.expires.is_some_and(|at| at <= now)
        };
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| is_expired(stored))
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

    /// Returns the keys under a prefix that changed after a revision, deleted ones included. With
    /// `after` 0, returns all existing keys.
    pub fn changes(&self, prefix: &str, after: u64) -> KeyList {
        let matching = self
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix));
        let changed = matching
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
