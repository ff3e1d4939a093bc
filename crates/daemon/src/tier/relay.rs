//! Has a peer run a request when this daemon cannot reach the targets.
//!
//! The peer gets the request on its listener for callers, with the time left and a header that says
//! that a daemon passes it on, so that it is never passed on twice. Dropping the future closes the
//! connection, by which the peer learns that the caller left: daemons never close the sending side
//! alone, so the peer need not wait as for other callers.

use {
    crate::{
        clock,
        tier::{
            connection::{Answer, Expected, Room, TargetConnection},
            ending::Ending,
            memory::{Memory, MemoryUser},
            meters,
            request::Reply,
            upstream::Call,
            view::View,
        },
    },
    actix_http::{
        RequestHead, RequestHeadType,
        header::{HeaderName, HeaderValue},
    },
    rattanturn_core::{
        Time,
        addresses::Frontend,
        relay::{PeerVerdict, Relays},
        rendezvous,
    },
    rattanturn_platform::http::{relay_headers, request_id, return_headers},
    std::{cell::RefCell, collections::HashMap, io::ErrorKind, net::SocketAddr, rc::Rc},
    tokio::time::timeout,
};

/// Header of a request that a daemon passes on: how many targets of each service the peer may send
/// it to. Targets do not get the header.
pub(crate) const RELAYED: HeaderName = HeaderName::from_static("x-rattanturn-relayed");
/// Idle connections that are kept to each peer.
const MAX_IDLE: usize = 4;

/// A request that is passed on, and where it came in.
pub(crate) struct Relayed<'a> {
    pub(crate) call: &'a Call,
    pub(crate) view: &'a View,
    /// Data centre of this daemon.
    pub(crate) centre: &'a str,
    /// How many targets of each service the peer may send it to.
    pub(crate) attempts: u32,
    /// Learns whether a peer may have run it.
    pub(crate) ending: &'a Ending,
}

/// What came of a request that was to be passed on.
pub(crate) enum RelayResult {
    /// A peer's answer, which is the caller's as well.
    Answered(Reply),
    /// No peer ran it and none will.
    NotRun,
    /// A peer may have run it, but no answer came.
    Lost,
}

/// How a peer handled a request.
enum PeerOutcome {
    /// It ran it, or tried to.
    Ran(Answer),
    /// It has certainly not run it.
    NotRun,
    /// It was not reached.
    NotReached,
    /// It has not run it, because the caller's account is over its limit.
    OverLimit(Answer),
    /// It may have run it, but the connection broke.
    Lost,
    /// It may have run it, but its answer was late, could not be read or had no room.
    NoAnswer,
}

/// Connections to peers, and what is known of the peers.
pub(crate) struct RelayClient {
    relays: RefCell<Relays>,
    idle: RefCell<HashMap<SocketAddr, Vec<TargetConnection>>>,
    /// Counts the answers of all peers while they are in memory.
    answers: Rc<MemoryUser>,
}

impl RelayClient {
    pub(crate) fn new(memory: &Rc<Memory>) -> Self {
        Self {
            relays: RefCell::default(),
            idle: RefCell::default(),
            answers: memory.add_user("peers", "peers"),
        }
    }

    /// Has a peer run a request.
    pub(crate) async fn run(&self, request: Relayed<'_>) -> RelayResult {
        let id = request.call.id.as_deref().unwrap_or("");
        let route = &*request.call.route;
        let order = (route, rendezvous::key(id));
        let peers: Vec<Frontend> = {
            let (relays, view) = (self.relays.borrow(), request.view);
            let now = clock::now();
            let peers = relays.choose(now, &view.frontends, view.me, request.centre, order);
            peers.into_iter().cloned().collect()
        };
        for peer in &peers {
            match self.ask(peer, &request).await {
                PeerOutcome::Ran(answer) => {
                    if answer.status < 500 {
                        self.relays.borrow_mut().succeeded();
                    }
                    meters::count_relay("ran");
                    return RelayResult::Answered(pass_back(answer));
                }
                PeerOutcome::OverLimit(answer) => {
                    meters::count_relay("not-run");
                    // The peer does not know of the calls that were made here before.
                    return if request.ending.may_have_run() {
                        RelayResult::NotRun
                    } else {
                        RelayResult::Answered(pass_back(answer))
                    };
                }
                // The peer may have sent it to as many targets as are allowed, so nobody else may.
                outcome @ (PeerOutcome::Lost | PeerOutcome::NoAnswer) => {
                    meters::count_relay("lost");
                    self.pause(peer, route, matches!(outcome, PeerOutcome::Lost));
                    return RelayResult::Lost;
                }
                outcome @ (PeerOutcome::NotRun | PeerOutcome::NotReached) => {
                    meters::count_relay("not-run");
                    self.pause(peer, route, matches!(outcome, PeerOutcome::NotReached));
                }
            }
            tracing::debug!(request = id, peer = %peer.addr, "a peer did not run a request");
        }
        self.relays.borrow_mut().exhausted();
        RelayResult::NotRun
    }

    /// Asks a peer to run no request for a while, or none of a route.
    fn pause(&self, peer: &Frontend, route: &str, all_routes: bool) {
        let (mut relays, now) = (self.relays.borrow_mut(), clock::now());
        if all_routes {
            relays.failed(now, peer.id);
        } else {
            relays.refused(now, peer.id, route);
        }
    }

    /// Whether callers should be directed to other daemons; `lost` tells whether this daemon has
    /// lost most targets.
    pub(crate) fn is_withdrawn(&self, lost: bool) -> bool {
        self.relays.borrow_mut().is_withdrawn(lost)
    }

    async fn ask(&self, peer: &Frontend, request: &Relayed<'_>) -> PeerOutcome {
        let call = request.call;
        let remaining = call.deadline.since(clock::now());
        let connecting = self.connect(peer.addr, call.non_idempotent);
        let Ok(Some(mut connection)) = timeout(remaining, connecting).await else {
            return PeerOutcome::NotReached;
        };
        let remaining = call.deadline.since(clock::now());
        let mut extra = relay_headers(remaining);
        extra.insert(RELAYED, HeaderValue::from(request.attempts));
        // The peer checks the caller's key itself.
        if call.access.confirm().is_err() {
            self.keep(peer.addr, connection);
            return PeerOutcome::NotRun;
        }
        if let Some((name, value)) = call.access.credentials() {
            extra.insert(name.clone(), value.clone());
        }
        let head = RequestHeadType::Rc(call.head.clone(), Some(extra));
        request.ending.was_relayed.set(true);
        let expected = Expected::FromPeer(call.id.as_deref());
        let room = Room {
            hold: self.answers.hold(),
            until: call.deadline,
        };
        let trip = connection.round_trip(head, &call.body, expected, room);
        match timeout(remaining, trip).await {
            // Daemons state the length of each answer.
            Ok(Ok(answer)) if !answer.framed => PeerOutcome::Lost,
            Ok(Ok(answer)) => {
                self.keep(peer.addr, connection);
                let verdict = PeerVerdict::of(answer.status, answer.head.signature.is_some());
                request.ending.was_relayed.set(verdict == PeerVerdict::Ran);
                match verdict {
                    PeerVerdict::Ran => PeerOutcome::Ran(answer),
                    PeerVerdict::NotRun => PeerOutcome::NotRun,
                    PeerVerdict::OverLimit => PeerOutcome::OverLimit(answer),
                }
            }
            Ok(Err(error)) if error.kind() == ErrorKind::InvalidData => PeerOutcome::NoAnswer,
            Ok(Err(_)) => PeerOutcome::Lost,
            Err(_) => PeerOutcome::NoAnswer,
        }
    }

    /// Takes an idle connection, unless the request must not run twice, or opens one.
    async fn connect(&self, addr: SocketAddr, new: bool) -> Option<TargetConnection> {
        let now: Time = clock::now();
        let mut idle = self.idle.borrow_mut().remove(&addr).unwrap_or_default();
        idle.retain(|c| c.is_reusable(now));
        let kept = if new { None } else { idle.pop() };
        self.idle.borrow_mut().insert(addr, idle);
        if kept.is_some() {
            return kept;
        }
        TargetConnection::connect(addr).await.ok()
    }

    fn keep(&self, addr: SocketAddr, connection: TargetConnection) {
        let mut all = self.idle.borrow_mut();
        let idle = all.entry(addr).or_default();
        if connection.is_reusable(clock::now()) && idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }
}

/// Passes a peer's answer back to the caller.
fn pass_back(answer: Answer) -> Reply {
    let mut reply = Reply::text(answer.status, "");
    return_headers(&answer.headers, &mut reply.headers);
    reply.body = answer.body;
    reply.hold = answer.hold;
    reply
}

/// How many targets of each service a request may be sent to, if a daemon passed it on.
pub(crate) fn relayed_attempts(head: &RequestHead) -> Option<u32> {
    let value = head.headers.get(RELAYED)?;
    Some(
        value
            .to_str()
            .ok()
            .and_then(|v| v.parse().ok())
            .unwrap_or(1),
    )
}

/// Id that the answer to a request must repeat, because a daemon passed it on.
pub(crate) fn id_to_echo(head: &RequestHead) -> Option<String> {
    let id = request_id(head).filter(|_| relayed_attempts(head).is_some())?;
    Some(id.to_owned())
}
