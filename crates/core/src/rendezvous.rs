//! Rendezvous hashing: daemons with the same members make the same choice without coordination.
//!
//! When one of N members leaves, only the keys that it was first for move: about one in N. In
//! return, each choice scores every member.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Identity of one run of a daemon; it changes with every restart.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u64);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// 64-bit XXH3 hash of bytes, the same in every process. It is not cryptographic.
#[must_use]
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}

/// Key of a name for [`score`], [`first`] and [`top`].
///
/// ```
/// assert_ne!(rattanturn_core::rendezvous::key("a"), rattanturn_core::rendezvous::key("b"));
/// ```
#[must_use]
pub fn key(name: &str) -> u64 {
    digest(name.as_bytes())
}

/// Score of `node` for `key`; the node with the highest score is the first choice.
#[must_use]
pub fn score(node: NodeId, key: u64) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), key)
}

/// First choice among `nodes` for `key`; `None` if there are no nodes.
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

/// The `count` first choices among `nodes` for `key`, best first, or all nodes if they are fewer.
#[must_use]
pub fn top(nodes: impl IntoIterator<Item = NodeId>, key: u64, count: usize) -> Vec<NodeId> {
    let mut all: Vec<NodeId> = nodes.into_iter().collect();
    all.sort_by_key(|n| std::cmp::Reverse((score(*n, key), *n)));
    all.truncate(count);
    all
}
