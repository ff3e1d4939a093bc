//! Fetches objects from peers that have a newer version, and publishes this daemon's versions.
//!
//! There are two objects, the configuration and the targets. Peers announce their versions in
//! membership messages. A running fetch holds back further ones for the same object for a short
//! time, so that a burst of announcements causes a single transfer.

use {
    crate::{
        clock,
        control::{Event, objects},
        tier::peers::{CATALOG_KEY, TARGETS_KEY},
        traffic::rpc::{Peers, SharedObjects},
    },
    rattanturn_core::Time,
    std::{collections::HashMap, net::SocketAddr, sync::PoisonError, time::Duration},
    tokio::sync::mpsc::UnboundedSender,
};

/// Time for which a running fetch prevents another one for the same object. The fetch itself may
/// take longer.
const FETCH_BLOCK_TIME: Duration = Duration::from_millis(500);
/// Pause after a failed fetch.
const FETCH_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A version that a peer has announced, newer than the one here.
#[derive(Clone, Copy)]
struct NewerVersion {
    peer: SocketAddr,
    version: u64,
}

/// This daemon's exchange of objects with its peers.
pub(crate) struct PeerSync {
    objects: SharedObjects,
    peers: Peers,
    events: UnboundedSender<Event>,
    /// Newest version announced of each object, until it is here.
    newer: HashMap<&'static str, NewerVersion>,
    /// When the next fetch of each object may start, if it has to wait.
    blocked: HashMap<&'static str, Time>,
    /// Version of each object that peers can fetch from this daemon.
    published: HashMap<&'static str, u64>,
}

impl PeerSync {
    pub(crate) fn new(objects: SharedObjects, events: UnboundedSender<Event>) -> Self {
        Self {
            objects,
            peers: Peers::new(std::rc::Rc::new(|_| {}), Duration::ZERO),
            events,
            newer: HashMap::new(),
            blocked: HashMap::new(),
            published: HashMap::new(),
        }
    }

    /// Records that a peer has a newer version of an object.
    pub(crate) fn note_newer(&mut self, key: &'static str, peer: SocketAddr, version: u64) {
        let replaces = self.newer.get(key).is_none_or(|n| version >= n.version);
        if replaces {
            self.newer.insert(key, NewerVersion { peer, version });
        }
    }

    /// Starts the fetches that are due; `known` returns the version of an object that is here.
    pub(crate) fn start_fetches(&mut self, known: impl Fn(&str) -> u64) {
        let now = clock::now();
        for key in [CATALOG_KEY, TARGETS_KEY] {
            let Some(newer) = self.newer.get(key).copied() else {
                continue;
            };
            if newer.version <= known(key) {
                self.newer.remove(key);
                continue;
            }
            if self.blocked.get(key).is_some_and(|until| now < *until) {
                continue;
            }
            self.blocked.insert(key, now + FETCH_BLOCK_TIME);
            actix_rt::spawn(objects::fetch(
                self.peers.clone(),
                newer.peer,
                key,
                // The peer sends a patch of this version, which must be in `objects` here.
                self.published.get(key).copied().unwrap_or(0),
                self.objects.clone(),
                self.events.clone(),
            ));
        }
    }

    /// Allows the next fetch of an object that has arrived.
    pub(crate) fn fetch_succeeded(&mut self, key: &str) {
        self.blocked.remove(key);
    }

    /// Forgets the announcement whose fetch failed, because the peer may be dead. The next fetch
    /// waits for another announcement and for a pause.
    pub(crate) fn fetch_failed(&mut self, key: &'static str) {
        self.newer.remove(key);
        self.blocked.insert(key, clock::now() + FETCH_RETRY_PAUSE);
    }

    /// Makes a version of an object available to peers, unless it already is.
    pub(crate) fn publish(&mut self, key: &'static str, version: u64, body: &[u8]) {
        if self.published.insert(key, version) == Some(version) {
            return;
        }
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        objects.put(key, version, body);
    }
}
