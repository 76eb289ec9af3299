//! Hash collections with a fast, non-cryptographic hasher.

/// A hash map with a fast hasher. Callers must not control the keys, as the hasher does not resist
/// deliberate collisions.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher. Callers must not control the keys, as the hasher does not resist
/// deliberate collisions.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
