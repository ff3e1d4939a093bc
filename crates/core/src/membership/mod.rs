//! SWIM-style membership: which daemons are alive, found by probing and spread by gossip.
//!
//! In each interval a daemon probes one member. If the member does not answer, the daemon asks
//! others to probe it (indirect probes), then suspects it. A suspected member refutes the
//! suspicion by raising its incarnation; if it does not do so in time, it is declared dead.
//!
//! Changed records travel on probes and answers. Each daemon sends a record a bounded number of
//! times, so in the steady state the cost for each member does not grow with the number of
//! members. Every message also carries a digest of the sender's full list. Members whose digests
//! differ exchange their full lists from time to time (anti-entropy), which heals partitions.
//!
//! A process that was paused notices the gap between its own ticks. It drops its open probe
//! instead of suspecting a member whose answer it could not receive.
//!
//! [`Membership`] opens no socket: the caller calls [`Membership::tick`] regularly, passes each
//! received message to [`Membership::receive`] and sends the envelopes that both return.

mod message;
mod probing;

use {
    crate::{NodeId, Time},
    message::record_digest,
    probing::{Probe, RelayedProbe},
    rand::{SeedableRng, seq::SliceRandom},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

pub use message::{Endpoints, Envelope, MemberRecord, Message, MessageKind, State, Versions};

/// Time between two direct probes of a daemon.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// A longer gap between two ticks means that this process itself was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);
/// Maximum number of pending records that one message takes along.
const RECORDS_PER_MESSAGE: usize = 20;
/// Each daemon sends a record this many times the binary logarithm of the member count, which is
/// about how many rounds gossip takes to reach all members.
const SENDS_FACTOR: u32 = 1;
/// Minimum time between two full exchanges that a daemon starts because digests differ.
const SYNC_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of members that a daemon notifies directly that it joined or leaves. The others
/// learn it by gossip. Each notice is one datagram, so the burst stays near 10 kB.
pub const MAX_DIRECT_NOTICES: usize = 64;
/// For this long after its first tick, a daemon notifies each member that it learns of that it
/// joined.
const JOIN_PERIOD: Duration = Duration::from_secs(2);
/// Maximum number of records in one message of a full exchange.
const RECORDS_PER_SYNC: usize = 12;

/// What this daemon knows of a member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Newest record received, or set by this daemon itself.
    pub record: MemberRecord,
    /// Configuration versions in the last message from the member; zeros before the first.
    pub versions: Versions,
    /// When this daemon last stored a new record of the member. For a suspect it is also reset when
    /// this process resumes from a pause.
    pub changed: Time,
}

/// A record that is still to be passed on.
struct PendingGossip {
    id: NodeId,
    sends_left: u32,
}

/// One daemon's view of all members, and its part in the protocol.
pub struct Membership {
    me: NodeId,
    members: BTreeMap<NodeId, Member>,
    seeds: Vec<SocketAddr>,
    versions: Versions,
    digest: u64,
    pending: Vec<PendingGossip>,
    /// Members to be notified directly of this daemon's own record.
    to_notify: Vec<NodeId>,
    /// Number of members that were notified directly that this daemon joined.
    join_notices: usize,
    first_tick: Option<Time>,
    /// Members still to be probed in this round, in random order.
    probe_order: VecDeque<NodeId>,
    probe: Option<Probe>,
    relays: Vec<RelayedProbe>,
    /// Number of the last probe sent.
    last_number: u32,
    next_probe: Time,
    last_tick: Option<Time>,
    last_sync: Time,
    changes: u64,
    rng: ChaCha8Rng,
}

impl Membership {
    /// Starts with only this daemon as a member.
    ///
    /// The gossip addresses in `seeds` are probed while no other member is known. `seed` is for the
    /// random choices; the same seed and events give the same messages.
    #[must_use]
    pub fn new(me: NodeId, endpoints: Endpoints, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let record = MemberRecord {
            id: me,
            state: State::Alive,
            incarnation: 1,
            endpoints,
        };
        let digest = record_digest(&record);
        let member = Member {
            record,
            versions: Versions::default(),
            changed: Time::ZERO,
        };
        Self {
            me,
            members: BTreeMap::from([(me, member)]),
            seeds,
            versions: Versions::default(),
            digest,
            pending: Vec::new(),
            to_notify: Vec::new(),
            join_notices: 0,
            first_tick: None,
            probe_order: VecDeque::new(),
            probe: None,
            relays: Vec::new(),
            last_number: 0,
            next_probe: Time::ZERO,
            last_tick: None,
            last_sync: Time::ZERO,
            changes: 1,
            rng: ChaCha8Rng::seed_from_u64(seed ^ me.0),
        }
    }

    /// This daemon's identity.
    #[must_use]
    pub fn me(&self) -> NodeId {
        self.me
    }

    /// All known members, including this daemon and members that died within the last hour.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// All members that are not dead: alive, leaving or suspected, including this daemon.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|m| m.record.state != State::Dead)
    }

    /// Looks a member up by its identity.
    #[must_use]
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Number of records that this daemon still has to pass on; 0 once its gossip is quiet.
    #[must_use]
    pub fn pending_gossip(&self) -> usize {
        self.pending.len()
    }

    /// Counts stored records, so a caller sees whether any member changed since its last look.
    ///
    /// Forgetting a member that died long ago does not count.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Sets the configuration versions that later messages carry.
    pub fn set_versions(&mut self, versions: Versions) {
        self.versions = versions;
        if let Some(member) = self.members.get_mut(&self.me) {
            member.versions = versions;
        }
    }

    /// Adds a member that was found by other means than gossip, for example in a list of VMs.
    pub fn introduce(&mut self, now: Time, record: &MemberRecord) {
        self.apply(now, record);
    }

    /// Sets this daemon's state to leaving; the next tick notifies up to [`MAX_DIRECT_NOTICES`]
    /// members of it.
    pub fn leave(&mut self, now: Time) {
        let mut record = self.members[&self.me].record.clone();
        record.state = State::Leaving;
        record.incarnation += 1;
        self.store_and_gossip(now, record);
        let mut others: Vec<NodeId> = self.others().map(|m| m.record.id).collect();
        others.shuffle(&mut self.rng);
        others.truncate(MAX_DIRECT_NOTICES);
        self.to_notify = others;
    }

    /// Declares this daemon dead and returns a notice for every other member.
    ///
    /// The caller sends them right before the process ends, so that the others need not wait for
    /// the failure detector.
    pub fn death_notice(&mut self, now: Time) -> Vec<Envelope> {
        let mut record = self.members[&self.me].record.clone();
        record.state = State::Dead;
        record.incarnation += 1;
        self.store_and_gossip(now, record.clone());
        let to: Vec<SocketAddr> = self.others().map(|m| m.record.endpoints.gossip).collect();
        let mut message = self.message(MessageKind::Sync(false));
        message.records = vec![record];
        to.into_iter()
            .map(|to| Envelope {
                to,
                message: message.clone(),
            })
            .collect()
    }

    /// Returns a message for every other member that carries this daemon's configuration versions.
    pub fn announce(&mut self) -> Vec<Envelope> {
        let message = self.message(MessageKind::ANNOUNCE);
        let to: Vec<SocketAddr> = self.others().map(|m| m.record.endpoints.gossip).collect();
        to.into_iter()
            .map(|to| Envelope {
                to,
                message: message.clone(),
            })
            .collect()
    }

    /// Advances time: notifies members, probes, and expires suspects. Returns the messages to send.
    ///
    /// Call it several times for each [`PROBE_INTERVAL`]: the timeout of a direct probe is shorter,
    /// and a gap of more than 600 ms counts as a pause of this process.
    pub fn tick(&mut self, now: Time) -> Vec<Envelope> {
        let paused = self
            .last_tick
            .is_some_and(|t| now.since(t) > PAUSE_THRESHOLD);
        self.last_tick = Some(now);
        if paused {
            self.reset_after_pause(now);
        }
        self.first_tick.get_or_insert(now);
        let mut out = self.notify_directly();
        self.relays.retain(|r| now.since(r.sent) < PROBE_INTERVAL);
        self.request_indirect_probes(now, &mut out);
        if now >= self.next_probe {
            self.suspect_unanswered(now);
            self.expire_members(now);
            self.start_probe(now, &mut out);
            self.next_probe = now + PROBE_INTERVAL;
        }
        out
    }

    /// Handles a message that came from `from_addr`. Returns the messages to send.
    pub fn receive(
        &mut self,
        now: Time,
        from_addr: SocketAddr,
        message: &Message,
    ) -> Vec<Envelope> {
        // A new member carries its own record in its first probe and needs the full list at once.
        let probed = matches!(message.kind, MessageKind::Probe(_));
        let newcomer = probed && !self.members.contains_key(&message.from);
        for record in &message.records {
            self.apply(now, record);
        }
        let differs = message.digest != self.digest;
        if let Some(member) = self.members.get_mut(&message.from) {
            member.versions = message.versions;
        }
        let mut out = Vec::new();
        match message.kind {
            MessageKind::Probe(n) => out.push(self.envelope(from_addr, MessageKind::Ack(n))),
            MessageKind::Indirect(n, id) => self.relay_probe(now, from_addr, n, id, &mut out),
            MessageKind::Ack(n) => self.handle_ack(n, &mut out),
            MessageKind::Sync(reply_wanted) => {
                if reply_wanted {
                    self.send_list(from_addr, false, &mut out);
                }
            }
        }
        let needs_list = newcomer || !self.members.contains_key(&message.from);
        if needs_list || (differs && now.since(self.last_sync) > SYNC_INTERVAL) {
            self.last_sync = now;
            self.send_list(from_addr, true, &mut out);
        }
        out
    }

    /// Sends this daemon's own record to the members that should not wait for gossip.
    fn notify_directly(&mut self) -> Vec<Envelope> {
        let mut message = self.message(MessageKind::Sync(false));
        message.records = vec![self.members[&self.me].record.clone()];
        let to_notify = std::mem::take(&mut self.to_notify);
        let known = to_notify.iter().filter_map(|id| self.members.get(id));
        known
            .map(|m| Envelope {
                to: m.record.endpoints.gossip,
                message: message.clone(),
            })
            .collect()
    }

    fn others(&self) -> impl Iterator<Item = &Member> {
        self.present().filter(|m| m.record.id != self.me)
    }

    /// Adds messages with the full list; the first one asks for the receiver's if `reply_wanted`.
    fn send_list(&mut self, to: SocketAddr, reply_wanted: bool, out: &mut Vec<Envelope>) {
        let all: Vec<MemberRecord> = self.members.values().map(|m| m.record.clone()).collect();
        for (i, part) in all.chunks(RECORDS_PER_SYNC).enumerate() {
            let mut message = self.message(MessageKind::Sync(reply_wanted && i == 0));
            message.records = part.to_vec();
            out.push(Envelope { to, message });
        }
    }

    /// Stores a record if it is newer than the known one.
    ///
    /// A higher incarnation wins, then the later state. Only a higher incarnation revives a dead
    /// member.
    fn apply(&mut self, now: Time, record: &MemberRecord) {
        if record.id == self.me {
            self.refute(now, record);
            return;
        }
        let newer = match self.members.get(&record.id) {
            None => true,
            Some(m) => {
                (record.incarnation, record.state) > (m.record.incarnation, m.record.state)
                    && (m.record.state != State::Dead || record.incarnation > m.record.incarnation)
            }
        };
        if !newer {
            return;
        }
        let joining = self.first_tick.is_none_or(|t| now.since(t) < JOIN_PERIOD);
        let unknown = record.state != State::Dead && !self.members.contains_key(&record.id);
        if joining && unknown && self.join_notices < MAX_DIRECT_NOTICES {
            self.join_notices += 1;
            self.to_notify.push(record.id);
        }
        self.store_and_gossip(now, record.clone());
        if record.state != State::Dead {
            self.expire_replaced(now, record);
        }
    }

    /// Declares a member dead whose gossip address another process uses now: two cannot share it.
    fn expire_replaced(&mut self, now: Time, new: &MemberRecord) {
        let old: Vec<MemberRecord> = self
            .others()
            .filter(|m| m.record.endpoints.gossip == new.endpoints.gossip && m.record.id != new.id)
            .map(|m| m.record.clone())
            .collect();
        for mut gone in old {
            gone.state = State::Dead;
            self.store_and_gossip(now, gone);
        }
    }

    /// Raises this daemon's incarnation if a record reports it in another state than its own.
    fn refute(&mut self, now: Time, record: &MemberRecord) {
        let mine = &self.members[&self.me].record;
        if record.incarnation < mine.incarnation || record.state == mine.state {
            return;
        }
        if mine.state == State::Dead {
            return;
        }
        let mut refutation = mine.clone();
        refutation.incarnation = record.incarnation + 1;
        self.store_and_gossip(now, refutation);
    }

    /// Stores a record and queues it for gossip.
    fn store_and_gossip(&mut self, now: Time, record: MemberRecord) {
        let count = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let sends_left = SENDS_FACTOR * (count.max(2).ilog2() + 1);
        self.pending.retain(|n| n.id != record.id);
        self.pending.push(PendingGossip {
            id: record.id,
            sends_left,
        });
        self.store(now, record);
    }

    /// Stores a record without queueing it for gossip.
    fn store(&mut self, now: Time, record: MemberRecord) {
        self.changes += 1;
        self.digest ^= record_digest(&record);
        let versions = self
            .members
            .get(&record.id)
            .map(|m| m.versions)
            .unwrap_or_default();
        let id = record.id;
        if let Some(old) = self.members.insert(
            id,
            Member {
                record,
                versions,
                changed: now,
            },
        ) {
            self.digest ^= record_digest(&old.record);
        }
    }

    /// Builds a message with the pending gossip records that were sent least often so far.
    fn envelope(&mut self, to: SocketAddr, kind: MessageKind) -> Envelope {
        let mut message = self.message(kind);
        self.pending
            .sort_by_key(|n| std::cmp::Reverse(n.sends_left));
        for gossip in self.pending.iter_mut().take(RECORDS_PER_MESSAGE) {
            gossip.sends_left -= 1;
            message
                .records
                .extend(self.members.get(&gossip.id).map(|m| m.record.clone()));
        }
        self.pending.retain(|n| n.sends_left > 0);
        // While no other member is known, every message carries this daemon's own record, so that
        // whichever seed receives it learns of this daemon.
        if self.others().next().is_none() {
            message.records.push(self.members[&self.me].record.clone());
        }
        Envelope { to, message }
    }

    /// Builds a message without records.
    fn message(&self, kind: MessageKind) -> Message {
        Message {
            from: self.me,
            kind,
            digest: self.digest,
            versions: self.versions,
            records: Vec::new(),
        }
    }
}
