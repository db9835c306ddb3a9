//! Hash map aliases used by the whole workspace.

use std::collections::HashMap;

/// Hash map with a fast hasher that doesn't resist hash flooding. Clients must not choose the keys.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher that doesn't resist hash flooding. Clients must not choose the keys.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;

/// Hash map with a randomly seeded hasher, which resists hash flooding. For keys that clients
/// choose.
pub type RandomStateMap<K, V> = HashMap<K, V>;
