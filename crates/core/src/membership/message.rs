//! Messages of the failure detector and the member records that they carry.

use {
    crate::{NodeId, rendezvous},
    std::net::SocketAddr,
};

/// State of a member as the observing daemon sees it.
///
/// Of two records with the same incarnation, the one with the later state in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The member answers probes.
    Alive,
    /// The member takes no new work but still answers probes: it shuts down, or cannot serve at
    /// the moment.
    Leaving,
    /// The member did not answer a probe; it is declared dead unless it refutes this in time.
    Suspect,
    /// The member's process ended or was declared dead.
    Dead,
}

/// Name, data centre, address and ports of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoints {
    /// Name from the member's settings.
    pub name: String,
    /// Data centre that the member runs in.
    pub centre: String,
    /// Address for gossip (UDP); the ports below are on the same IP address.
    pub gossip: SocketAddr,
    /// HTTP port for callers.
    pub http: u16,
    /// HTTP port for operators.
    pub admin: u16,
    /// RPC port of the first traffic thread; thread `i` listens on `rpc + i`.
    pub rpc: u16,
    /// Number of traffic threads.
    pub threads: u16,
}

/// State and endpoints of one member, as gossip passes them on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Identity of this run of the member's process; a restart gets a new one.
    pub id: NodeId,
    /// State that the sender of the record knows.
    pub state: State,
    /// Version of the record; only the member itself raises it, to refute or to change its state.
    pub incarnation: u32,
    /// Where to reach the member.
    pub endpoints: Endpoints,
}

/// Configuration versions that a daemon uses.
///
/// Every message carries those of its sender, so that a receiver with older ones fetches the newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// Version of the tables; in the tier, of the catalog.
    pub tables: u64,
    /// Version of the voter sets; in the tier, the revision of the discovered targets.
    pub voter_sets: u64,
    /// In the tier, digest of the discovered targets at that revision: daemons whose digests are
    /// equal know the same, whatever the revision. 0 if the daemon does not tell it.
    pub digest: u64,
}

/// Purpose of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Asks the receiver for an [`Ack`](Self::Ack) with the same number.
    Probe(u32),
    /// Asks the receiver to probe `NodeId` and to pass the answer on with the number given here.
    Indirect(u32, NodeId),
    /// Answers the probe with this number.
    Ack(u32),
    /// Carries records outside the gossip queue, most often a part of the sender's full list; true
    /// asks for the receiver's list.
    Sync(bool),
}

impl MessageKind {
    /// Announces only the sender's versions. Probes are numbered from 1, so 0 answers none.
    pub const ANNOUNCE: Self = Self::Ack(0);
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Identity of the sender.
    pub from: NodeId,
    /// Purpose, with the number or the flag that belongs to it.
    pub kind: MessageKind,
    /// Digest of all records that the sender holds; receivers compare it with their own.
    pub digest: u64,
    /// Configuration versions that the sender uses.
    pub versions: Versions,
    /// Member records that the sender passes on; may be empty.
    pub records: Vec<MemberRecord>,
}

/// A message together with its destination, for the caller to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Gossip address of the receiver.
    pub to: SocketAddr,
    /// The message to encode and send as one datagram.
    pub message: Message,
}

/// Digest of one record; the digest of the full list is the XOR of all, so order does not matter.
///
/// A suspect counts as alive: daemons suspect a member briefly and at different times, and their
/// digests should not differ because of that.
pub(super) fn record_digest(record: &MemberRecord) -> u64 {
    let state = match record.state {
        State::Alive | State::Suspect => 0,
        State::Leaving => 1,
        State::Dead => 2,
    };
    rendezvous::score(record.id, u64::from(record.incarnation) << 2 | state)
}
