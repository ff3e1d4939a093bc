//! Which peers run the requests of a daemon that has lost its targets, and whether the daemon is
//! advertised to callers meanwhile.
//!
//! Callers use an address for seconds after it is no longer advertised, so a daemon that cannot reach
//! the targets has its peers run what still arrives. This costs the peers a request each and this
//! daemon some processor time, so it also stops being advertised, but only on evidence that peers
//! reach the targets: one has run such a request. When targets are down for everyone, no relay
//! succeeds, requests are refused at once, and no daemon withdraws.

use {
    crate::{
        NodeId, Time,
        addresses::{self, Frontend},
        alternate::alternate_centres,
        rendezvous,
    },
    std::{collections::HashMap, time::Duration},
};

/// Number of peers that are asked to run one request, one after the other while none has.
pub const MAX_PEERS: usize = 2;
/// A peer that did not answer a request is not asked to run one of the same route for this time, and one
/// that could not be reached none at all. It bounds what is sent in vain while the targets are down for
/// everyone.
const PEER_PAUSE: Duration = Duration::from_secs(1);

/// A call that a daemon began for a request before it passes the request on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierCall {
    /// Index of the service among those of the request.
    pub service: usize,
    /// When the call began; it may have waited for a connection since.
    pub started: Time,
    /// Whether it was written to a connection, so that a target may have got it.
    pub written: bool,
}

/// How many targets of each service a peer may send a request to, so that this daemon and the peer
/// together keep to the route's `max_attempts`. `heard` is when any target last answered.
///
/// A call that began later has not reached a target, if this daemon has lost them all.
///
/// ```
/// use rattanturn_core::{Time, relay::{EarlierCall, attempts_left}};
/// let call = |ms, written| EarlierCall { service: 0, started: Time::from_millis(ms), written };
/// let heard = Time::from_millis(10);
/// assert_eq!(attempts_left(2, heard, [call(5, true)]), 1);
/// assert_eq!(attempts_left(2, heard, [call(5, false), call(15, true)]), 2);
/// ```
#[must_use]
pub fn attempts_left(
    max_attempts: u32,
    heard: Time,
    calls: impl IntoIterator<Item = EarlierCall>,
) -> u32 {
    let mut used: HashMap<usize, u32> = HashMap::new();
    for call in calls {
        *used.entry(call.service).or_default() += u32::from(call.written && call.started <= heard);
    }
    let most = used.into_values().max().unwrap_or(0);
    max_attempts.saturating_sub(most)
}

/// What a peer's answer says about the request that was passed on to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerVerdict {
    /// It ran, or the peer tried to run it, or refused it for its key: the answer is the caller's.
    Ran,
    /// The peer has not run it and never will, but another one may.
    NotRun,
    /// The peer has not run it, because the caller's account is over its limit.
    OverLimit,
}

impl PeerVerdict {
    /// The verdict of an answer with this status. `signed` tells whether it is a target's own answer,
    /// which has run whatever its status is.
    ///
    /// A peer refuses what its configuration does not allow, such as a route that it does not know yet.
    /// This daemon's configuration allows the request, and its caller may try again elsewhere. A refusal
    /// for the key holds: the peer may know that the key was revoked.
    ///
    /// ```
    /// use rattanturn_core::relay::PeerVerdict;
    /// assert_eq!(PeerVerdict::of(503, false), PeerVerdict::NotRun);
    /// assert_eq!(PeerVerdict::of(503, true), PeerVerdict::Ran);
    /// assert_eq!(PeerVerdict::of(404, false), PeerVerdict::NotRun);
    /// assert_eq!(PeerVerdict::of(401, false), PeerVerdict::Ran);
    /// assert_eq!(PeerVerdict::of(504, false), PeerVerdict::Ran);
    /// ```
    #[must_use]
    pub fn of(status: u16, signed: bool) -> Self {
        match status {
            _ if signed => Self::Ran,
            400 | 404 | 408 | 413 | 421 | 431 | 503 => Self::NotRun,
            429 => Self::OverLimit,
            _ => Self::Ran,
        }
    }
}

/// What one daemon knows of its peers as relays.
///
/// ```
/// use rattanturn_core::{NodeId, Time, addresses::Frontend, relay::Relays};
/// let frontend = |id| Frontend {
///     id: NodeId(id),
///     addr: format!("127.0.0.{id}:80").parse().unwrap(),
///     centre: "a".into(),
///     accepting: true,
///     suspect: false,
///     closes_at: None,
///     capacity: 1.0,
/// };
/// let all = [frontend(1), frontend(2), frontend(3)];
/// let mut relays = Relays::default();
/// let now = Time::from_millis(1_000);
/// let first = |relays: &Relays, route: &str| {
///     relays.choose(now, &all, NodeId(1), "a", (route, 0)).first().map(|f| f.id)
/// };
/// relays.refused(now, NodeId(2), "search");
/// assert_eq!(first(&relays, "search"), Some(NodeId(3)));
/// relays.failed(now, NodeId(3));
/// assert_eq!(first(&relays, "search"), None);
/// assert_eq!(first(&relays, "orders"), Some(NodeId(2)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Relays {
    /// Until when each peer that failed is not asked.
    paused: HashMap<NodeId, Time>,
    /// Until when each peer is not asked to run requests of a route.
    refusing: HashMap<(NodeId, String), Time>,
    /// Whether the last request that was sent to peers was run by one.
    useful: bool,
}

impl Relays {
    /// Peers to send a request of a route to, in this order: those in data centre `centre` first, then in
    /// turn those of the other data centres. `tie_break` should differ from request to request.
    #[must_use]
    pub fn choose<'a>(
        &self,
        now: Time,
        frontends: &'a [Frontend],
        me: NodeId,
        centre: &str,
        (route, tie_break): (&str, u64),
    ) -> Vec<&'a Frontend> {
        let mut peers = addresses::advertised(frontends);
        peers.retain(|f| f.id != me && !self.is_paused(now, f.id, route));
        peers.sort_by_key(|f| rendezvous::score(f.id, tie_break));
        let (near, far): (Vec<&Frontend>, Vec<&Frontend>) =
            peers.into_iter().partition(|f| f.centre == centre);
        let far = alternate_centres(far, |f| &f.centre);
        near.into_iter().chain(far).take(MAX_PEERS).collect()
    }

    /// Records that a peer ran a request.
    pub fn succeeded(&mut self) {
        self.useful = true;
    }

    fn is_paused(&self, now: Time, peer: NodeId, route: &str) -> bool {
        let route = self.refusing.get(&(peer, route.to_owned()));
        let pauses = self.paused.get(&peer).into_iter().chain(route);
        pauses.into_iter().any(|until| now < *until)
    }

    /// Records that a peer could not be reached, or that the connection to it broke.
    pub fn failed(&mut self, now: Time, peer: NodeId) {
        self.paused.retain(|_, until| now < *until);
        self.paused.insert(peer, now + PEER_PAUSE);
    }

    /// Records that a peer gave no answer to a request of a route, or did not run it. It may run those of
    /// others, whose targets may be well or whose answers may have room.
    pub fn refused(&mut self, now: Time, peer: NodeId, route: &str) {
        self.refusing.retain(|_, until| now < *until);
        self.refusing
            .insert((peer, route.to_owned()), now + PEER_PAUSE);
    }

    /// Records that no peer ran a request.
    pub fn exhausted(&mut self) {
        self.useful = false;
    }

    /// Whether this daemon should not be advertised; `lost` tells whether it has lost most targets.
    ///
    /// It stays withdrawn while no request arrives, which is what withdrawing is for.
    pub fn is_withdrawn(&mut self, lost: bool) -> bool {
        self.useful &= lost;
        self.useful
    }
}
