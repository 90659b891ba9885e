//! A set of indices, most of which are consecutive.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Indices as ranges that neither overlap nor touch: each first index with the one after the last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<(u32, u32)>", into = "Vec<(u32, u32)>")]
pub struct IndexRanges(BTreeMap<u32, u32>);

impl From<Vec<(u32, u32)>> for IndexRanges {
    fn from(ranges: Vec<(u32, u32)>) -> Self {
        let mut set = Self::default();
        for (first, after) in ranges {
            set.insert_range(first, after);
        }
        set
    }
}

impl From<IndexRanges> for Vec<(u32, u32)> {
    fn from(set: IndexRanges) -> Self {
        set.0.into_iter().collect()
    }
}

impl IndexRanges {
    /// Adds an index below `u32::MAX`.
    pub(super) fn insert(&mut self, index: u32) {
        self.insert_range(index, index.saturating_add(1));
    }

    fn insert_range(&mut self, mut first: u32, mut after: u32) {
        if first >= after {
            return;
        }
        let touching = self.0.range(..=after).rev();
        let touching = touching.take_while(|(_, other_after)| **other_after >= first);
        let touching: Vec<_> = touching.map(|(first, after)| (*first, *after)).collect();
        for (other_first, other_after) in touching {
            self.0.remove(&other_first);
            first = first.min(other_first);
            after = after.max(other_after);
        }
        self.0.insert(first, after);
    }

    /// Whether an index is in the set.
    pub fn contains(&self, index: u32) -> bool {
        self.after_range_of(index).is_some()
    }

    /// Returns the first index after the range that contains `index`; `None` if none does.
    pub(super) fn after_range_of(&self, index: u32) -> Option<u32> {
        let (_, after) = self.0.range(..=index).next_back()?;
        (index < *after).then_some(*after)
    }

    /// Whether it has no index.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether it has all indices below `count`.
    pub(super) fn has_all(&self, count: u32) -> bool {
        count == 0 || self.0.get(&0).is_some_and(|after| *after >= count)
    }
}
