//! Fetches objects from peers that have a newer version, and publishes this daemon's versions.
//!
//! There are two objects, the configuration and the targets. Peers announce their versions in
//! membership messages. A running fetch holds back further ones for the same object for a short
//! time, so that a burst of announcements causes a single transfer.

use {
    crate::{
        clock,
        control::{Event, objects},
        tier::peers::{self, CATALOG_KEY, KnownTargets, TARGETS_KEY, TargetsEvent},
        traffic::rpc::SharedObjects,
    },
    rand::RngExt,
    rattanturn_core::Time,
    std::{collections::HashMap, net::SocketAddr, sync::PoisonError, time::Duration},
    tokio::sync::mpsc::UnboundedSender,
};

/// Time for which a running fetch prevents another one for the same object. The fetch itself may
/// take longer.
const FETCH_BLOCK_TIME: Duration = Duration::from_millis(500);
/// Pause before the first refused fetch is repeated, before doubling and jitter.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);
/// Most times that this pause is doubled.
const MAX_DOUBLINGS: u32 = 4;
/// Pause after a failed fetch.
const FETCH_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A version that a peer has announced, newer than the one here.
#[derive(Clone, Copy)]
struct NewerVersion {
    peer: SocketAddr,
    version: u64,
    /// When to fetch it.
    due: Time,
    /// How often a peer that has it has refused to send it now.
    refusals: u32,
}

/// This daemon's exchange of objects with its peers.
pub(crate) struct PeerSync {
    objects: SharedObjects,
    events: UnboundedSender<Event>,
    targets: UnboundedSender<TargetsEvent>,
    /// Newest version announced of each object, until it is here.
    newer: HashMap<&'static str, NewerVersion>,
    /// When the next fetch of each object may start, if it has to wait.
    blocked: HashMap<&'static str, Time>,
    /// Version of each object that peers can fetch from this daemon.
    published: HashMap<&'static str, u64>,
}

impl PeerSync {
    pub(crate) fn new(
        objects: SharedObjects,
        events: UnboundedSender<Event>,
        targets: UnboundedSender<TargetsEvent>,
    ) -> Self {
        Self {
            objects,
            events,
            targets,
            newer: HashMap::new(),
            blocked: HashMap::new(),
            published: HashMap::new(),
        }
    }

    /// Records that a peer has a newer version of an object, to be fetched after `wait` unless a
    /// daemon that is known to be nearer announces it before.
    pub(crate) fn note_newer(
        &mut self,
        key: &'static str,
        peer: SocketAddr,
        version: u64,
        wait: Duration,
    ) {
        let due = clock::now() + wait;
        let is_better =
            |known: &NewerVersion| due < known.due || (wait.is_zero() && version > known.version);
        let known = self.newer.get_mut(key);
        let refused = known.filter(|k| k.refusals > 0 && wait.is_zero() && version >= k.version);
        if let Some(refused) = refused {
            (refused.peer, refused.version) = (peer, version);
        } else if self.newer.get(key).is_none_or(is_better) {
            let newer = NewerVersion {
                peer,
                version,
                due,
                refusals: 0,
            };
            self.newer.insert(key, newer);
        }
    }

    /// Whether a peer has announced a version that is not here yet.
    pub(crate) fn has_newer(&self) -> bool {
        !self.newer.is_empty()
    }

    /// Starts the fetches that are due. `version` is that of the configuration here, `targets`
    /// returns the targets known here.
    pub(crate) fn start_fetches(
        &mut self,
        version: u64,
        revision: u64,
        targets: impl Fn() -> KnownTargets,
    ) {
        if let Some(peer) = self.next_fetch(CATALOG_KEY, version) {
            actix_rt::spawn(objects::fetch(
                peer,
                CATALOG_KEY,
                // The peer sends a patch of this version, which must be in `objects` here.
                self.published.get(CATALOG_KEY).copied().unwrap_or(0),
                self.objects.clone(),
                self.events.clone(),
            ));
        }
        if let Some(peer) = self.next_fetch(TARGETS_KEY, revision) {
            let events = self.targets.clone();
            actix_rt::spawn(peers::fetch_targets(peer, targets(), events));
        }
    }

    /// The peer to fetch an object from now, if it has a newer version than `known`.
    fn next_fetch(&mut self, key: &'static str, known: u64) -> Option<SocketAddr> {
        let now = clock::now();
        let newer = self.newer.get(key).copied()?;
        if newer.version <= known {
            self.newer.remove(key);
            return None;
        }
        let blocked = self.blocked.get(key).is_some_and(|until| now < *until);
        if blocked || now < newer.due {
            return None;
        }
        self.blocked.insert(key, now + FETCH_BLOCK_TIME);
        Some(newer.peer)
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

    /// Lets the next fetch wait longer after each refusal, and start at the daemon that is heard of next, if
    /// there is one by then: it may have got the object from the one that refused.
    pub(crate) fn fetch_refused(&mut self, key: &'static str) {
        let Some(newer) = self.newer.get_mut(key) else {
            return;
        };
        newer.refusals += 1;
        let pause = REFUSED_PAUSE * (1 << newer.refusals.min(MAX_DOUBLINGS));
        let jitter = rand::rng().random_range(0.5..1.0);
        self.blocked
            .insert(key, clock::now() + pause.mul_f64(jitter));
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
