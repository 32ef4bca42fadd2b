//! Hash collections with a fast hasher.

/// Hash map keyed by trusted or already bounded input.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set keyed by trusted or already bounded input.
pub type Set<K> = rustc_hash::FxHashSet<K>;
