//! Hash maps and sets with a fast, non-cryptographic hasher.

use std::collections::{HashMap, HashSet};

/// A hash map with a fast hasher.
pub type FastMap<K, V> = HashMap<K, V, foldhash::fast::RandomState>;

/// A hash set with a fast hasher.
pub type FastSet<K> = HashSet<K, foldhash::fast::RandomState>;
