//! A table that knows which of its rows may have changed.

use {
    crate::collections::{FastMap, FastSet},
    std::{hash::Hash, ops::Index},
};

/// Rows by key, and the keys of those that were added, lent for a change or removed since they
/// were last asked for. Decisions that depend on many rows look at these again.
#[derive(Debug, Clone)]
pub(super) struct TrackedTable<K, V> {
    rows: FastMap<K, V>,
    changed: FastSet<K>,
}

impl<K, V> Default for TrackedTable<K, V> {
    fn default() -> Self {
        Self {
            rows: FastMap::default(),
            changed: FastSet::default(),
        }
    }
}

impl<K: Clone + Eq + Hash, V> TrackedTable<K, V> {
    pub(super) fn get(&self, key: &K) -> Option<&V> {
        self.rows.get(key)
    }

    /// Lends a row for a change.
    pub(super) fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let row = self.rows.get_mut(key)?;
        if !self.changed.contains(key) {
            self.changed.insert(key.clone());
        }
        Some(row)
    }

    /// Lends a row for a change that no decision on many rows depends on.
    pub(super) fn get_untracked(&mut self, key: &K) -> Option<&mut V> {
        self.rows.get_mut(key)
    }

    /// Lends all rows for such a change.
    pub(super) fn iter_untracked(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.rows.iter_mut()
    }

    /// Lends a row, added if it is missing.
    pub(super) fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        self.changed.insert(key.clone());
        self.rows.entry(key).or_insert_with(make)
    }

    pub(super) fn insert(&mut self, key: K, row: V) {
        self.changed.insert(key.clone());
        self.rows.insert(key, row);
    }

    pub(super) fn remove(&mut self, key: &K) {
        if self.rows.remove(key).is_some() {
            self.changed.insert(key.clone());
        }
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &V> {
        self.rows.values()
    }

    /// Takes the keys of the rows that may have changed since the last call.
    pub(super) fn take_changed(&mut self) -> FastSet<K> {
        std::mem::take(&mut self.changed)
    }
}

impl<K: Eq + Hash, V> Index<&K> for TrackedTable<K, V> {
    type Output = V;

    fn index(&self, index: &K) -> &V {
        &self.rows[index]
    }
}
