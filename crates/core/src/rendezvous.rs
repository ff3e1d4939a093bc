//! Rendezvous hashing: every daemon derives the same choice from the same members.
//!
//! When one of N members goes, only the keys it was first for move, one in N.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Identity of one run of one daemon; a restart has another.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u64);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Digest of bytes.
#[must_use]
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}

/// Key of a name.
///
/// ```
/// assert_ne!(rattanturn_core::rendezvous::key("a"), rattanturn_core::rendezvous::key("b"));
/// ```
#[must_use]
pub fn key(name: &str) -> u64 {
    digest(name.as_bytes())
}

/// Rank of `node` for `key`; the highest is the first choice.
#[must_use]
pub fn score(node: NodeId, key: u64) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), key)
}

/// First choice among `nodes` for `key`.
///
/// ```
/// use rattanturn_core::{NodeId, rendezvous};
/// let nodes = [NodeId(1), NodeId(2), NodeId(3)];
/// let first = rendezvous::first(nodes, 7).unwrap();
/// let rest = nodes.into_iter().filter(|n| *n != first);
/// assert_ne!(rendezvous::first(rest, 7), Some(first));
/// ```
#[must_use]
pub fn first(nodes: impl IntoIterator<Item = NodeId>, key: u64) -> Option<NodeId> {
    nodes.into_iter().max_by_key(|n| (score(*n, key), *n))
}

/// The `count` first choices among `nodes` for `key`, best first.
#[must_use]
pub fn top(nodes: impl IntoIterator<Item = NodeId>, key: u64, count: usize) -> Vec<NodeId> {
    let mut all: Vec<NodeId> = nodes.into_iter().collect();
    all.sort_by_key(|n| std::cmp::Reverse((score(*n, key), *n)));
    all.truncate(count);
    all
}
