//! What members tell each other.

use {
    crate::{NodeId, rendezvous},
    std::net::SocketAddr,
};

/// A member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Answers probes.
    Alive,
    /// Answers probes and takes no new work.
    Leaving,
    /// Did not answer; dead unless it refutes in time.
    Suspect,
    /// Gone.
    Dead,
}

/// Where a member is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoints {
    /// Name in its settings.
    pub name: String,
    /// Data centre it runs in.
    pub centre: String,
    /// Gossip address (UDP).
    pub gossip: SocketAddr,
    /// Port for callers.
    pub http: u16,
    /// Port for operators.
    pub admin: u16,
    /// First RPC port.
    pub rpc: u16,
    /// Number of traffic threads, each with its own RPC port.
    pub threads: u16,
}

/// What is known of one member, as passed on by gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The member.
    pub id: NodeId,
    /// Its state.
    pub state: State,
    /// Raised by the member itself when it refutes or changes.
    pub incarnation: u32,
    /// Where it is reached.
    pub endpoints: Endpoints,
}

/// Versions that a daemon uses, carried on every message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// Version of the tables.
    pub tables: u64,
    /// Version of the voter sets; in the tier, the revision of the discovered targets.
    pub voter_sets: u64,
}

/// What a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Asks for an answer with the same number.
    Probe(u32),
    /// Asks the receiver to probe `NodeId`.
    Indirect(u32, NodeId),
    /// Answers a probe.
    Ack(u32),
    /// Carries a part of the sender's full list; true asks for the receiver's.
    Sync(bool),
}

impl MessageKind {
    /// Only tells the sender's versions: probes are numbered from 1, so it answers none.
    pub const ANNOUNCE: Self = Self::Ack(0);
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Sender.
    pub from: NodeId,
    /// What it is for.
    pub kind: MessageKind,
    /// Digest of the sender's list.
    pub digest: u64,
    /// Versions that the sender uses.
    pub versions: Versions,
    /// Records that the sender passes on.
    pub records: Vec<MemberRecord>,
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Receiver's gossip address.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Digest of one record; the list's digest combines them in any order.
///
/// Suspicion is passing and local, so a suspect counts as alive.
pub(super) fn record_digest(record: &MemberRecord) -> u64 {
    let state = match record.state {
        State::Alive | State::Suspect => 0,
        State::Leaving => 1,
        State::Dead => 2,
    };
    rendezvous::score(record.id, u64::from(record.incarnation) << 2 | state)
}
