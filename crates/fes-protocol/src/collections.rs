//! Hash map aliases used by the whole workspace.

use std::collections::HashMap;

/// Hash map with a fast, non-cryptographic hasher. Keys must not be chosen by clients.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast, non-cryptographic hasher. Keys must not be chosen by clients.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;

/// Hash map with a keyed hasher, for keys that clients choose.
pub type RandomStateMap<K, V> = HashMap<K, V>;
