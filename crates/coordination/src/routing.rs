//! Routing of programs to instances by rendezvous hashing.
//!
//! Programs are spread evenly over the live instances. When an instance is added or removed,
//! only the programs that it gains or loses move.

use state::control::{Snapshot, Standing};
use state::id;

/// Rendezvous score of `node` for `key`; the node with the highest score is chosen.
pub fn score(key: &str, node: &str) -> u64 {
    let mut bytes = key.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(node.as_bytes());
    digest(&bytes)
}

/// Uniformly distributed 64-bit hash of `bytes`.
pub fn digest(bytes: &[u8]) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(word)
}

/// Rendezvous score of a node for a key, both given as [`digest`]s.
///
/// It is distributed as evenly as [`score`] but does not hash names for each decision. This is
/// the finalizer of SplitMix64.
pub fn mix(key: u64, node: u64) -> u64 {
    let mut word = key ^ node;
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Node with the highest score for `key` among `nodes`.
pub fn pick<'a>(key: &str, nodes: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    nodes.max_by_key(|node| score(key, node))
}

/// Name and address of the instance whose entry serves a program; `None` if no instance is live.
///
/// Draining instances are not chosen.
pub fn entry<'a>(snapshot: &'a Snapshot, program: &id::Program) -> Option<(&'a str, &'a str)> {
    let live = snapshot.instances.iter().filter(|(_, i)| i.standing == Standing::Live);
    let key = format!("{}/{}", program.deployment, program.root());
    let name = pick(&key, live.map(|(name, _)| name.as_str()))?;
    let instance = snapshot.instances.get(name)?;
    Some((name, &instance.address))
}
