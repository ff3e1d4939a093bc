//! Encoding of the UDP datagrams that carry membership and lease messages, evidence against crashing
//! requests, and the tokens of accounts.
//!
//! Evidence and tokens are JSON, all else the packed Cap'n Proto format. No datagram in that format
//! begins with a brace: it would stand for a message of more than 60,000 segments. A JSON datagram's
//! kind follows from its fields, and fields that are not known are ignored. Daemons of older versions
//! drop kinds that they do not know as datagrams that cannot be decoded.
//!
//! The structs of `peer.capnp` are converted to and from the types of the core crate. Some names of
//! the schema differ from those of the core, because names on the wire never change.

use {
    crate::{
        items::{Items, UnreadableItem},
        peer_capnp::{datagram, fact, gossip, lease_request, lease_vote},
    },
    capnp::{message, serialize_packed},
    rattanturn_core::{
        NodeId,
        allowance::{Ask, Lent, Returned},
        lease::{LeaseRequest, LeaseTerm, UnitId, Vote},
        membership::{Endpoints, MemberRecord, Message, MessageKind, State, Versions},
        quarantine::Evidence,
        rollout,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Most bytes of evidence on roll-outs in one datagram, which then takes less than 1,200 bytes with
/// the sender and so fits into a packet.
pub const MAX_ROLLOUT_BYTES: usize = 1_100;

/// A datagram that one daemon sends to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// Membership message.
    Gossip(Message),
    /// Lease requests to one voter, with the id of the daemon that requests.
    LeaseRequests(NodeId, Vec<LeaseRequest>),
    /// Answers to lease requests, with the id of the voter.
    LeaseVotes(NodeId, Vec<Vote>),
    /// Evidence against requests, with the id of the daemon that sends it.
    Evidence(NodeId, Vec<Evidence>),
    /// Counts of answers by version, with the id of the daemon that sends them.
    Rollouts(NodeId, Vec<rollout::Evidence>),
    /// Requests for tokens of accounts, with the id of the daemon that asks.
    Borrow(NodeId, Vec<Ask>),
    /// Answers to such requests, with the id of the daemon that answers.
    Lent(NodeId, Vec<Lent>),
    /// The sender, and leased tokens that it did not use.
    Returned(NodeId, Vec<Returned>),
}

/// A JSON datagram as it is sent; the name of its list says of which kind it is.
#[derive(Serialize)]
struct JsonMessage {
    from: NodeId,
    #[serde(flatten)]
    list: JsonList,
}

/// The same as it is read. A flattened enum would be buffered, and maps in it whose keys are numbers, as
/// in the evidence on roll-outs, could not be read.
#[derive(Deserialize)]
struct ReadMessage {
    from: NodeId,
    #[serde(default)]
    evidence: Option<Items<Evidence>>,
    #[serde(default)]
    rollouts: Option<Items<rollout::Evidence>>,
    #[serde(default)]
    borrow: Option<Items<Ask>>,
    #[serde(default)]
    lent: Option<Items<Lent>>,
    #[serde(default)]
    returned: Option<Items<Returned>>,
}

impl ReadMessage {
    /// The datagram and what could not be read of it; `None` if it is of an unknown kind.
    fn datagram(self) -> Option<Decoded> {
        let from = self.from;
        let evidence = decoded(self.evidence, |list| Datagram::Evidence(from, list));
        let rollouts = decoded(self.rollouts, |list| Datagram::Rollouts(from, list));
        let borrow = decoded(self.borrow, |list| Datagram::Borrow(from, list));
        let lent = decoded(self.lent, |list| Datagram::Lent(from, list));
        let returned = decoded(self.returned, |list| Datagram::Returned(from, list));
        evidence.or(rollouts).or(borrow).or(lent).or(returned)
    }
}

/// A datagram, and what could not be read of it.
type Decoded = (Datagram, Vec<UnreadableItem>);

fn decoded<T>(
    items: Option<Items<T>>,
    datagram: impl FnOnce(Vec<T>) -> Datagram,
) -> Option<Decoded> {
    items.map(|items| (datagram(items.readable), items.unreadable))
}

#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
enum JsonList {
    Evidence(Vec<Evidence>),
    Rollouts(Vec<rollout::Evidence>),
    Borrow(Vec<Ask>),
    Lent(Vec<Lent>),
    Returned(Vec<Returned>),
}

/// Encodes a datagram.
///
/// ```
/// use {rattanturn_core::NodeId, rattanturn_wire::{Datagram, decode, encode}};
/// let datagram = Datagram::LeaseVotes(NodeId(3), vec![]);
/// assert_eq!(decode(&encode(&datagram)).unwrap(), (datagram, vec![]));
/// ```
#[must_use]
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let mut message = message::Builder::new_default();
    let root = message.init_root::<datagram::Builder<'_>>();
    match datagram {
        Datagram::Gossip(m) => write_gossip(root.init_gossip(), m),
        Datagram::LeaseRequests(from, list) => write_requests(root, *from, list),
        Datagram::LeaseVotes(from, list) => write_votes(root, *from, list),
        Datagram::Evidence(from, list) => return json(*from, JsonList::Evidence(list.clone())),
        Datagram::Rollouts(from, list) => return json(*from, JsonList::Rollouts(list.clone())),
        Datagram::Borrow(from, list) => return json(*from, JsonList::Borrow(list.clone())),
        Datagram::Lent(from, list) => return json(*from, JsonList::Lent(list.clone())),
        Datagram::Returned(from, list) => return json(*from, JsonList::Returned(list.clone())),
    }
    let mut out = Vec::new();
    // Writing to a `Vec` is infallible.
    let _ = serialize_packed::write_message(&mut out, &message);
    out
}

fn json(from: NodeId, list: JsonList) -> Vec<u8> {
    // Writing plain data to a `Vec` is infallible.
    serde_json::to_vec(&JsonMessage { from, list }).unwrap_or_default()
}

/// Decodes a datagram, and returns what cannot be read of its lists besides: such an item hides only
/// itself.
///
/// # Errors
///
/// The bytes are no valid datagram of this schema, or a JSON datagram is of an unknown kind.
///
/// ```
/// use {rattanturn_core::NodeId, rattanturn_wire::{Datagram, decode}};
/// let (datagram, unreadable) = decode(br#"{"from": 3, "evidence": [7]}"#).unwrap();
/// assert_eq!(datagram, Datagram::Evidence(NodeId(3), vec![]));
/// assert_eq!(unreadable.len(), 1);
/// ```
pub fn decode(bytes: &[u8]) -> capnp::Result<(Datagram, Vec<UnreadableItem>)> {
    if bytes.first() == Some(&b'{') {
        let message: ReadMessage = serde_json::from_slice(bytes)
            .map_err(|error| capnp::Error::failed(format!("invalid JSON datagram: {error}")))?;
        let unknown = || capnp::Error::failed("JSON datagram of an unknown kind".into());
        return message.datagram().ok_or_else(unknown);
    }
    let reader = serialize_packed::read_message(bytes, message::ReaderOptions::new())?;
    let root = reader.get_root::<datagram::Reader<'_>>()?;
    let mut unreadable = Vec::new();
    let datagram = match root.which()? {
        datagram::Gossip(m) => Datagram::Gossip(read_gossip(m?, &mut unreadable)?),
        datagram::Requests(m) => {
            let m = m?;
            let from = NodeId(m.get_from());
            let read = |r: lease_request::Reader<'_>| LeaseRequest {
                unit: UnitId(r.get_unit()),
                term: LeaseTerm {
                    holder: from,
                    number: r.get_tenure(),
                },
                epoch: r.get_epoch(),
                round: r.get_round(),
                release: r.get_release(),
            };
            Datagram::LeaseRequests(from, m.get_list()?.iter().map(read).collect())
        }
        datagram::Votes(m) => {
            let m = m?;
            let read = |r: lease_vote::Reader<'_>| Vote {
                unit: UnitId(r.get_unit()),
                round: r.get_round(),
                epoch: r.get_epoch(),
                granted: r.get_granted(),
                previous: previous_term(r),
            };
            Datagram::LeaseVotes(
                NodeId(m.get_from()),
                m.get_list()?.iter().map(read).collect(),
            )
        }
    };
    Ok((datagram, unreadable))
}

/// The last other lease term that the voter granted the unit to. Number 0 means that it knows none.
fn previous_term(vote: lease_vote::Reader<'_>) -> Option<LeaseTerm> {
    let holder = NodeId(vote.get_previous_holder());
    let number = vote.get_previous_number();
    (number > 0).then_some(LeaseTerm { holder, number })
}

/// Length of a list as the schema's type.
fn list_len(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn write_requests(root: datagram::Builder<'_>, from: NodeId, list: &[LeaseRequest]) {
    let mut m = root.init_requests();
    m.set_from(from.0);
    let mut out = m.init_list(list_len(list.len()));
    for (i, request) in (0..).zip(list) {
        let mut r = out.reborrow().get(i);
        r.set_unit(request.unit.0);
        r.set_epoch(request.epoch);
        r.set_round(request.round);
        r.set_release(request.release);
        r.set_tenure(request.term.number);
    }
}

fn write_votes(root: datagram::Builder<'_>, from: NodeId, list: &[Vote]) {
    let mut m = root.init_votes();
    m.set_from(from.0);
    let mut out = m.init_list(list_len(list.len()));
    for (i, vote) in (0..).zip(list) {
        let mut r = out.reborrow().get(i);
        r.set_unit(vote.unit.0);
        r.set_epoch(vote.epoch);
        r.set_round(vote.round);
        r.set_granted(vote.granted);
        if let Some(previous) = vote.previous {
            r.set_previous_holder(previous.holder.0);
            r.set_previous_number(previous.number);
        }
    }
}

fn write_gossip(mut out: gossip::Builder<'_>, m: &Message) {
    out.set_from(m.from.0);
    out.set_digest(m.digest);
    out.set_tables(m.versions.tables);
    out.set_panels(m.versions.voter_sets);
    out.set_targets_digest(m.versions.digest);
    match m.kind {
        MessageKind::Probe(n) => {
            out.set_number(n);
            out.set_probe(());
        }
        MessageKind::Indirect(n, id) => {
            out.set_number(n);
            out.set_indirect(id.0);
        }
        MessageKind::Ack(n) => {
            out.set_number(n);
            out.set_ack(());
        }
        MessageKind::Sync(wanted) => out.set_sync(wanted),
    }
    let mut list = out.init_facts(list_len(m.records.len()));
    for (i, record) in (0..).zip(&m.records) {
        write_record(list.reborrow().get(i), record);
    }
}

fn write_record(mut out: fact::Builder<'_>, record: &MemberRecord) {
    out.set_id(record.id.0);
    out.set_state(record.state as u8);
    out.set_incarnation(record.incarnation);
    out.set_name(&record.endpoints.name);
    out.set_centre(&record.endpoints.centre);
    out.set_gossip(record.endpoints.gossip.to_string());
    out.set_http(record.endpoints.http);
    out.set_admin(record.endpoints.admin);
    out.set_rpc(record.endpoints.rpc);
    out.set_threads(record.endpoints.threads);
}

/// Reads a membership message; records that cannot be read are added to `unreadable`.
fn read_gossip(
    m: gossip::Reader<'_>,
    unreadable: &mut Vec<UnreadableItem>,
) -> capnp::Result<Message> {
    let n = m.get_number();
    let kind = match m.which()? {
        gossip::Probe(()) => MessageKind::Probe(n),
        gossip::Indirect(id) => MessageKind::Indirect(n, NodeId(id)),
        gossip::Ack(()) => MessageKind::Ack(n),
        gossip::Sync(wanted) => MessageKind::Sync(wanted),
    };
    let mut records = Vec::new();
    for fact in m.get_facts()? {
        match read_record(fact) {
            Ok(record) => records.push(record),
            Err(error) => unreadable.push(UnreadableItem {
                id: Some(NodeId(fact.get_id()).to_string()),
                problem: error.extra,
            }),
        }
    }
    Ok(Message {
        from: NodeId(m.get_from()),
        kind,
        digest: m.get_digest(),
        versions: Versions {
            tables: m.get_tables(),
            voter_sets: m.get_panels(),
            digest: m.get_targets_digest(),
        },
        records,
    })
}

fn read_record(m: fact::Reader<'_>) -> capnp::Result<MemberRecord> {
    let state = match m.get_state() {
        0 => State::Alive,
        1 => State::Leaving,
        2 => State::Suspect,
        3 => State::Dead,
        n => return Err(capnp::Error::failed(format!("unknown member state {n}"))),
    };
    let gossip: SocketAddr = m
        .get_gossip()?
        .to_str()?
        .parse()
        .map_err(|_| capnp::Error::failed("invalid gossip address of a member".into()))?;
    Ok(MemberRecord {
        id: NodeId(m.get_id()),
        state,
        incarnation: m.get_incarnation(),
        endpoints: Endpoints {
            name: m.get_name()?.to_str()?.into(),
            centre: m.get_centre()?.to_str()?.into(),
            gossip,
            http: m.get_http(),
            admin: m.get_admin(),
            rpc: m.get_rpc(),
            threads: m.get_threads(),
        },
    })
}
