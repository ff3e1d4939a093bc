//! Which addresses callers should use.
//!
//! A caller keeps an answer for its lifetime. A leaving VM is left out of new answers at once
//! and keeps accepting until every answer that named it has expired.

use {
    crate::{NodeId, rendezvous},
    std::{net::SocketAddr, time::Duration},
};

/// Time a caller may use an answer.
pub const LIFETIME: Duration = Duration::from_secs(5);
/// Addresses in one answer.
const MAX_ADDRESSES: usize = 4;

/// A daemon that accepts callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its identity.
    pub id: NodeId,
    /// Its address for callers.
    pub addr: SocketAddr,
    /// Data centre it runs in.
    pub centre: String,
    /// False while it leaves or its data centre is taken out.
    pub open: bool,
    /// What it can serve relative to others, for example its processor's share; 0 if unknown.
    pub capacity: f64,
}

/// Share of the greatest capacity below which a daemon is named only if too few others are.
pub(crate) const LEAST_CAPACITY: f64 = 0.5;
/// Daemons that are named at least, if there are as many, so that the loss of one is borne.
const LEAST_NAMED: usize = 2;

/// The daemons that callers are sent to: the large ones.
///
/// A query over many shards costs processor time that a small VM takes long for, and fewer
/// daemons need fewer connections to each target and know each target better.
#[must_use]
pub fn named(entries: &[Entry]) -> Vec<&Entry> {
    let mut open: Vec<&Entry> = entries.iter().filter(|e| e.open).collect();
    open.sort_by(|a, b| b.capacity.total_cmp(&a.capacity));
    let best = open.first().map_or(0.0, |e| e.capacity);
    let large = open
        .iter()
        .filter(|e| e.capacity >= best * LEAST_CAPACITY)
        .count();
    open.truncate(large.max(LEAST_NAMED));
    open
}

/// Picks addresses for a caller near `centre`; `tie_break` differs from caller to caller.
///
/// ```
/// use rattanturn_core::{NodeId, addresses::{Entry, pick}};
/// let entry = |id, open| Entry {
///     id: NodeId(id),
///     addr: format!("127.0.0.{id}:80").parse().unwrap(),
///     centre: "a".into(),
///     open,
///     capacity: 1.0,
/// };
/// let picked = pick(&[entry(1, true), entry(2, false)], "a", 0);
/// assert_eq!(picked, ["127.0.0.1:80".parse().unwrap()]);
/// ```
#[must_use]
pub fn pick(entries: &[Entry], centre: &str, tie_break: u64) -> Vec<SocketAddr> {
    let mut open = named(entries);
    open.sort_by_key(|e| (e.centre != centre, rendezvous::score(e.id, tie_break)));
    open.iter().take(MAX_ADDRESSES).map(|e| e.addr).collect()
}
