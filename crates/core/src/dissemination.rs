//! To whom a daemon announces what it has read or learned.
//!
//! A reader of the store announces changes, and regularly that there were none. In a small
//! deployment it tells every other daemon itself. In a large one it tells those of its own data
//! centre and a few [`RELAYS`] of each other one, and whoever gets an announcement from another
//! data centre passes it on within its own, with what it has fetched because of it. So the load of
//! a reader grows with the size of a data centre instead of the deployment, and each change crosses
//! between two data centres a few times instead of once for every daemon. The price is one more hop
//! and that a data centre whose relays have just died waits until they are replaced.

use {
    crate::{NodeId, addresses::MIN_CAPACITY, rendezvous},
    std::collections::BTreeMap,
};

/// Daemons of a data centre that a reader in another one announces to: two, so that one is left if
/// the other dies.
pub const RELAYS: usize = 2;
/// Up to this number of daemons, a reader announces to all of them itself.
const MAX_DIRECT: usize = 32;

/// A daemon that announcements are sent to.
#[derive(Clone, Copy, Debug)]
pub struct Peer<'a> {
    /// Identity of the daemon.
    pub id: NodeId,
    /// Data centre that it runs in.
    pub centre: &'a str,
    /// Whether it is alive; others get announcements but do not pass them on.
    pub alive: bool,
    /// Its capacity in any unit; large daemons are preferred as relays.
    pub capacity: f64,
}

/// Daemons to which a reader in data centre `centre` announces, out of all others.
///
/// ```
/// use rattanturn_core::{NodeId, dissemination::{Peer, reader_audience}};
/// let peer = |i: u64| Peer { id: NodeId(i), centre: "b", alive: true, capacity: 1.0 };
/// let few: Vec<Peer> = (0..8).map(peer).collect();
/// assert_eq!(reader_audience("a", &few).len(), 8);
/// let many: Vec<Peer> = (0..80).map(peer).collect();
/// assert_eq!(reader_audience("a", &many).len(), 2);
/// ```
#[must_use]
pub fn reader_audience(centre: &str, others: &[Peer<'_>]) -> Vec<NodeId> {
    if others.len() <= MAX_DIRECT {
        return others.iter().map(|p| p.id).collect();
    }
    let mut out = centre_audience(centre, others);
    let mut elsewhere: BTreeMap<&str, Vec<Peer<'_>>> = BTreeMap::new();
    for peer in others.iter().filter(|p| p.centre != centre) {
        elsewhere.entry(peer.centre).or_default().push(*peer);
    }
    for peers in elsewhere.values() {
        out.extend(relays(peers));
    }
    out
}

/// Daemons to which a daemon in data centre `centre` passes on an announcement from another data
/// centre: none in a small deployment.
#[must_use]
pub fn relay_audience(centre: &str, others: &[Peer<'_>]) -> Vec<NodeId> {
    if others.len() <= MAX_DIRECT {
        return Vec::new();
    }
    centre_audience(centre, others)
}

fn centre_audience(centre: &str, others: &[Peer<'_>]) -> Vec<NodeId> {
    let own = others.iter().filter(|p| p.centre == centre);
    own.map(|p| p.id).collect()
}

/// The relays among the daemons of one data centre: large ones, chosen by rendezvous hashing.
fn relays(peers: &[Peer<'_>]) -> Vec<NodeId> {
    let alive: Vec<&Peer<'_>> = peers.iter().filter(|p| p.alive).collect();
    let largest = alive.iter().map(|p| p.capacity).fold(0.0, f64::max);
    let large = alive
        .iter()
        .filter(|p| p.capacity >= largest * MIN_CAPACITY)
        .map(|p| p.id);
    let mut out = rendezvous::top(large, rendezvous::key("relay"), RELAYS);
    if out.len() < RELAYS {
        let rest = alive.iter().map(|p| p.id).filter(|id| !out.contains(id));
        let missing = RELAYS - out.len();
        out.extend(rendezvous::top(rest, rendezvous::key("relay"), missing));
    }
    out
}
