//! Fetches from peers what they know in a newer version, and gives them what this daemon knows.

use {
    crate::{
        clock,
        control::{Event, objects},
        tier::peers::{CATALOG_KEY, TARGETS_KEY},
        traffic::rpc::{Objects, Peers},
    },
    rattanturn_core::Time,
    std::{collections::HashMap, net::SocketAddr, sync::PoisonError, time::Duration},
    tokio::sync::mpsc::UnboundedSender,
};

/// A fetch that has not ended by then no longer keeps another one back.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a fetch that brought nothing.
const FETCH_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A newer version at a peer.
#[derive(Clone, Copy)]
struct NewerVersion {
    peer: SocketAddr,
    version: u64,
}

/// This daemon's exchange of objects with its peers.
pub(crate) struct PeerSync {
    objects: Objects,
    peers: Peers,
    events: UnboundedSender<Event>,
    newer: HashMap<&'static str, NewerVersion>,
    blocked: HashMap<&'static str, Time>,
    published: HashMap<&'static str, u64>,
}

impl PeerSync {
    pub(crate) fn new(objects: Objects, events: UnboundedSender<Event>) -> Self {
        Self {
            objects,
            peers: Peers::new(std::rc::Rc::new(|_| {}), Duration::ZERO),
            events,
            newer: HashMap::new(),
            blocked: HashMap::new(),
            published: HashMap::new(),
        }
    }

    /// A peer has a newer version of an object.
    pub(crate) fn note_newer(&mut self, key: &'static str, peer: SocketAddr, version: u64) {
        let replaces = self.newer.get(key).is_none_or(|w| version >= w.version);
        if replaces {
            self.newer.insert(key, NewerVersion { peer, version });
        }
    }

    /// Starts the fetches that are due; `known` tells the version of an object here.
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
            self.blocked.insert(key, now + FETCH_TIMEOUT);
            actix_rt::spawn(objects::fetch(
                self.peers.clone(),
                newer.peer,
                key,
                // A patch needs the version that was offered here before.
                self.published.get(key).copied().unwrap_or(0),
                self.objects.clone(),
                self.events.clone(),
            ));
        }
    }

    /// A fetch brought an object.
    pub(crate) fn fetch_succeeded(&mut self, key: &str) {
        self.blocked.remove(key);
    }

    /// A fetch brought nothing: the peer may have died, so another one's word is awaited.
    pub(crate) fn fetch_failed(&mut self, key: &'static str) {
        self.newer.remove(key);
        self.blocked.insert(key, clock::now() + FETCH_RETRY_PAUSE);
    }

    /// Gives peers a version of an object.
    pub(crate) fn publish(&mut self, key: &'static str, version: u64, body: &[u8]) {
        if self.published.insert(key, version) == Some(version) {
            return;
        }
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        objects.put(key, version, body);
    }
}
