//! Fetches from peers what they know in a newer version, and gives them what this daemon knows.

use {
    crate::{
        clock,
        control::{Event, objects},
        tier::peers::{CATALOG_KEY, FLEET_KEY},
        traffic::rpc::{Objects, Peers},
    },
    rattanturn_core::Time,
    std::{collections::HashMap, net::SocketAddr, sync::PoisonError, time::Duration},
    tokio::sync::mpsc::UnboundedSender,
};

/// A fetch that has not ended by then no longer keeps another one back.
const FETCH_LIMIT: Duration = Duration::from_millis(500);
/// Pause after a fetch that brought nothing.
const FETCH_PAUSE: Duration = Duration::from_millis(200);

/// A newer version at a peer.
#[derive(Clone, Copy)]
struct Wanted {
    peer: SocketAddr,
    version: u64,
}

/// This daemon's exchange of objects with its peers.
pub(crate) struct Exchange {
    objects: Objects,
    peers: Peers,
    events: UnboundedSender<Event>,
    wanted: HashMap<&'static str, Wanted>,
    busy: HashMap<&'static str, Time>,
    offered: HashMap<&'static str, u64>,
}

impl Exchange {
    pub(crate) fn open(objects: Objects, events: UnboundedSender<Event>) -> Self {
        Self {
            objects,
            peers: Peers::new(std::rc::Rc::new(|_| {}), Duration::ZERO),
            events,
            wanted: HashMap::new(),
            busy: HashMap::new(),
            offered: HashMap::new(),
        }
    }

    /// A peer has a newer version of an object.
    pub(crate) fn want(&mut self, key: &'static str, peer: SocketAddr, version: u64) {
        let newer = self.wanted.get(key).is_none_or(|w| version >= w.version);
        if newer {
            self.wanted.insert(key, Wanted { peer, version });
        }
    }

    /// Starts the fetches that are due; `known` tells the version of an object here.
    pub(crate) fn fetch(&mut self, known: impl Fn(&str) -> u64) {
        let now = clock::now();
        for key in [CATALOG_KEY, FLEET_KEY] {
            let Some(wanted) = self.wanted.get(key).copied() else {
                continue;
            };
            if wanted.version <= known(key) {
                self.wanted.remove(key);
                continue;
            }
            if self.busy.get(key).is_some_and(|until| now < *until) {
                continue;
            }
            self.busy.insert(key, now + FETCH_LIMIT);
            actix_rt::spawn(objects::fetch(
                self.peers.clone(),
                wanted.peer,
                key,
                // A patch needs the version that was offered here before.
                self.offered.get(key).copied().unwrap_or(0),
                self.objects.clone(),
                self.events.clone(),
            ));
        }
    }

    /// A fetch brought an object.
    pub(crate) fn fetched(&mut self, key: &str) {
        self.busy.remove(key);
    }

    /// A fetch brought nothing: the peer may have died, so another one's word is awaited.
    pub(crate) fn failed(&mut self, key: &'static str) {
        self.wanted.remove(key);
        self.busy.insert(key, clock::now() + FETCH_PAUSE);
    }

    /// Gives peers a version of an object.
    pub(crate) fn offer(&mut self, key: &'static str, version: u64, body: &[u8]) {
        if self.offered.insert(key, version) == Some(version) {
            return;
        }
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        objects.put(key, version, body);
    }
}
