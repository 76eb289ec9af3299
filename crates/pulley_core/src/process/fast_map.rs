//! Hash collections with a fast, non-cryptographic hasher.

/// A hash map with the project's fast hasher; keys must not be chosen by callers.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the project's fast hasher; keys must not be chosen by callers.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
