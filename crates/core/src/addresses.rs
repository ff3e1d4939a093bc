//! Which addresses callers should use.
//!
//! A caller keeps an answer for its lifetime. A leaving VM is left out of new answers at once
//! and keeps accepting until every answer that named it has expired.

use {
    crate::{NodeId, rendezvous},
    std::{net::SocketAddr, time::Duration},
};

/// Time a caller may use an answer.
pub const ANSWER_TTL: Duration = Duration::from_secs(5);
/// Addresses in one answer.
const MAX_ADDRESSES: usize = 4;

/// A daemon that accepts callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Frontend {
    /// Its identity.
    pub id: NodeId,
    /// Its address for callers.
    pub addr: SocketAddr,
    /// Data centre it runs in.
    pub centre: String,
    /// False while it leaves or its data centre is taken out.
    pub accepting: bool,
    /// What it can serve relative to others, for example its processor's share; 0 if unknown.
    pub capacity: f64,
}

/// Share of the greatest capacity below which a daemon is named only if too few others are.
pub(crate) const MIN_CAPACITY: f64 = 0.5;
/// Daemons that are named at least, if there are as many, so that the loss of one is borne.
const MIN_ADVERTISED: usize = 2;

/// The daemons that callers are sent to: the large ones.
///
/// A query over many shards costs processor time that a small VM takes long for, and fewer
/// daemons need fewer connections to each target and know each target better.
#[must_use]
pub fn advertised(entries: &[Frontend]) -> Vec<&Frontend> {
    let mut open: Vec<&Frontend> = entries.iter().filter(|e| e.accepting).collect();
    open.sort_by(|a, b| b.capacity.total_cmp(&a.capacity));
    let best = open.first().map_or(0.0, |e| e.capacity);
    let large = open
        .iter()
        .filter(|e| e.capacity >= best * MIN_CAPACITY)
        .count();
    open.truncate(large.max(MIN_ADVERTISED));
    open
}

/// Picks addresses for a caller near `centre`; `tie_break` differs from caller to caller.
///
/// ```
/// use rattanturn_core::{NodeId, addresses::{Frontend, choose}};
/// let entry = |id, accepting| Frontend {
///     id: NodeId(id),
///     addr: format!("127.0.0.{id}:80").parse().unwrap(),
///     centre: "a".into(),
///     accepting,
///     capacity: 1.0,
/// };
/// let picked = choose(&[entry(1, true), entry(2, false)], "a", 0);
/// assert_eq!(picked, ["127.0.0.1:80".parse().unwrap()]);
/// ```
#[must_use]
pub fn choose(entries: &[Frontend], centre: &str, tie_break: u64) -> Vec<SocketAddr> {
    let mut open = advertised(entries);
    open.sort_by_key(|e| (e.centre != centre, rendezvous::score(e.id, tie_break)));
    open.iter().take(MAX_ADDRESSES).map(|e| e.addr).collect()
}
