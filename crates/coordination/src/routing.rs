//! Which instance a caller should use.
//!
//! Rendezvous hashing spreads programs over the live instances, and moves only the
//! programs of an instance that comes or goes.

use state::control::{Snapshot, Standing};
use state::id;

/// Score of `node` for `key`; the highest wins.
pub fn score(key: &str, node: &str) -> u64 {
    let mut both = key.as_bytes().to_vec();
    both.push(0);
    both.extend_from_slice(node.as_bytes());
    digest(&both)
}

/// Even number that stands for some bytes.
pub fn digest(bytes: &[u8]) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(word)
}

/// Score of a node for a key, both as digests: as even as [`score`], without hashing names
/// for each decision. The finalizer of SplitMix64.
pub fn mix(key: u64, node: u64) -> u64 {
    let mut word = key ^ node;
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// The instance with the highest score among `nodes`.
pub fn pick<'a>(key: &str, nodes: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    nodes.max_by_key(|node| score(key, node))
}

/// Name and address of the entry for a program: live and not draining.
pub fn entry<'a>(snapshot: &'a Snapshot, program: &id::Program) -> Option<(&'a str, &'a str)> {
    let live = snapshot.instances.iter().filter(|(_, i)| i.standing == Standing::Live);
    let key = format!("{}/{}", program.deployment, program.root());
    let name = pick(&key, live.map(|(name, _)| name.as_str()))?;
    let instance = snapshot.instances.get(name)?;
    Some((name, &instance.address))
}
