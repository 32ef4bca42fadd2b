//! Hash collections with a fast hasher, which does not protect against keys chosen to collide.

/// Hash map for keys from trusted sources or of limited number.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set for keys from trusted sources or of limited number.
pub type Set<K> = rustc_hash::FxHashSet<K>;
