//! SWIM-style membership: which daemons are alive, found by probing and spread by gossip.
//!
//! In each interval a daemon probes one member. If the member does not answer, the daemon asks
//! others to probe it (indirect probes), then suspects it. A suspected member refutes the
//! suspicion by raising its incarnation; if it does not do so in time, it is declared dead.
//!
//! Changed records travel on probes and answers. Each daemon sends a record a bounded number of
//! times, so in the steady state the cost for each member does not grow with the number of
//! members. Every message also carries a digest of the sender's full list. A member whose digest
//! differs from a sender's exchanges full lists with it from time to time (anti-entropy), which heals
//! partitions. A member that starts gets lists from the seeds that it probes.
//!
//! Lists grow with the deployment and the number of members that start at once does too, so each
//! member sends only a bounded number of records in lists each second. Beyond it, a member that just
//! started gets a few random records, so that it knows other members to ask, and further requests
//! are left unanswered. This spreads the load of a common start from the seeds to all members, at
//! the price of a slower first list.
//!
//! A process that was paused notices the gap between its own ticks. It drops its open probe
//! instead of suspecting a member whose answer it could not receive.
//!
//! [`Membership`] opens no socket: the caller calls [`Membership::tick`] regularly, passes each
//! received message to [`Membership::receive`] and sends the envelopes that both return.

mod lists;
mod message;
mod probing;

use {
    crate::{NodeId, Time},
    lists::ListBudget,
    message::record_digest,
    probing::{Probe, RelayedProbe},
    rand::{
        SeedableRng,
        seq::{IndexedRandom, SliceRandom},
    },
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, VecDeque},
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
/// Number of members that each daemon sends the changed record of a watched member to at once. With
/// four, the chance that a member is left out is about two in a hundred; gossip reaches it later.
const URGENT_FANOUT: usize = 4;
/// Maximum number of members that a daemon notifies directly that it joined or leaves. The others
/// learn it by gossip. Each notice is one datagram, so the burst stays near 10 kB.
pub const MAX_DIRECT_NOTICES: usize = 64;
/// For this long after its first tick, a daemon notifies each member that it learns of that it
/// joined.
const JOIN_PERIOD: Duration = Duration::from_secs(2);
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
    /// Members whose death should be found sooner than that of others.
    watched: BTreeSet<NodeId>,
    /// Watched members still to be probed in their round, in random order.
    watched_order: VecDeque<NodeId>,
    /// Watched members whose changed records are to be sent at the next tick.
    urgent: BTreeSet<NodeId>,
    /// Whether the next probe goes to a watched member.
    watched_turn: bool,
    probe: Option<Probe>,
    relays: Vec<RelayedProbe>,
    /// Number of the last probe sent.
    last_number: u32,
    next_probe: Time,
    last_tick: Option<Time>,
    /// When this daemon last requested a list.
    last_sync: Option<Time>,
    list_budget: ListBudget,
    changes: u64,
    rng: ChaCha8Rng,
}

impl Membership {
    /// Starts with only this daemon as a member.
    ///
    /// The gossip addresses in `seeds` are probed while no other member is known, and later while no
    /// present member has them. `seed` is for the
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
            watched: BTreeSet::new(),
            watched_order: VecDeque::new(),
            urgent: BTreeSet::new(),
            watched_turn: false,
            probe: None,
            relays: Vec::new(),
            last_number: 0,
            next_probe: Time::ZERO,
            last_tick: None,
            last_sync: None,
            list_budget: ListBudget::default(),
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

    /// Sets the members whose death should be found sooner than that of others, such as the few that
    /// callers are directed to. Every second probe goes to one of them, and their changed records
    /// are sent to a few members at once, besides the gossip.
    pub fn watch(&mut self, watched: BTreeSet<NodeId>) {
        self.watched = watched;
    }

    /// Adds a member that was found by other means than gossip, for example in a list of VMs.
    pub fn introduce(&mut self, now: Time, record: &MemberRecord) {
        self.apply(now, record, false);
    }

    /// Sets this daemon's state to leaving; the next tick notifies up to [`MAX_DIRECT_NOTICES`]
    /// members of it.
    pub fn leave(&mut self, now: Time) {
        self.change_state(now, State::Leaving);
    }

    /// Sets the state of a daemon that was leaving back to alive, and notifies members as for
    /// [`Self::leave`].
    pub fn stay(&mut self, now: Time) {
        self.change_state(now, State::Alive);
    }

    fn change_state(&mut self, now: Time, state: State) {
        let mut record = self.members[&self.me].record.clone();
        record.state = state;
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

    /// The message that announces this daemon's configuration versions to any other member.
    #[must_use]
    pub fn announcement(&self) -> Message {
        self.message(MessageKind::ANNOUNCE)
    }

    /// Like [`Self::announcement`], but receivers do not take it for a confirmation that the versions
    /// are the newest.
    #[must_use]
    pub fn versions_notice(&self) -> Message {
        self.message(MessageKind::Sync(false))
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
        self.send_urgent(&mut out);
        self.relays.retain(|r| now.since(r.sent) < PROBE_INTERVAL);
        self.request_indirect_probes(now, &mut out);
        if now >= self.next_probe {
            self.suspect_unanswered(now);
            self.expire_members(now);
            self.start_probe(now, &mut out);
            self.probe_missing_seed(&mut out);
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
        let is_new = !self.members.contains_key(&message.from);
        let is_list = matches!(message.kind, MessageKind::Sync(false));
        for record in &message.records {
            self.apply(now, record, is_list);
        }
        if let Some(member) = self.members.get_mut(&message.from) {
            member.versions = message.versions;
        }
        let mut out = Vec::new();
        match message.kind {
            // Only a member that just started probes others that do not know it.
            MessageKind::Probe(n) if is_new => self.welcome(now, from_addr, n, &mut out),
            MessageKind::Probe(n) => out.push(self.envelope(from_addr, MessageKind::Ack(n))),
            MessageKind::Indirect(n, id) => self.relay_probe(now, from_addr, n, id, &mut out),
            MessageKind::Ack(n) => self.handle_ack(n, &mut out),
            MessageKind::Sync(true) => {
                self.send_list(now, from_addr, &mut out);
            }
            MessageKind::Sync(false) => {}
        }
        if self.needs_list(now, message) {
            self.last_sync = Some(now);
            self.request_list(now, from_addr, &mut out);
        }
        out
    }

    fn uptime(&self, now: Time) -> Duration {
        self.first_tick.map_or(Duration::ZERO, |t| now.since(t))
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

    /// Sends the changed records of watched members to a few members.
    fn send_urgent(&mut self, out: &mut Vec<Envelope>) {
        if self.urgent.is_empty() {
            return;
        }
        let urgent = std::mem::take(&mut self.urgent);
        let mut message = self.message(MessageKind::Sync(false));
        let known = urgent.iter().filter_map(|id| self.members.get(id));
        message.records = known.map(|m| m.record.clone()).collect();
        let present = |m: &&Member| m.record.state < State::Suspect;
        let others = self.others().filter(present);
        let others: Vec<SocketAddr> = others.map(|m| m.record.endpoints.gossip).collect();
        let receivers = others.sample(&mut self.rng, URGENT_FANOUT);
        out.extend(receivers.map(|to| Envelope {
            to: *to,
            message: message.clone(),
        }));
    }

    fn others(&self) -> impl Iterator<Item = &Member> {
        self.present().filter(|m| m.record.id != self.me)
    }

    /// Stores a record if it is newer than the known one.
    ///
    /// A higher incarnation wins, then the later state. Only a higher incarnation revives a dead
    /// member. A record of a list is not passed on while this daemon joins, because others know it.
    fn apply(&mut self, now: Time, record: &MemberRecord, from_list: bool) {
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
        let joining = self.uptime(now) < JOIN_PERIOD;
        let unknown = record.state != State::Dead && !self.members.contains_key(&record.id);
        if joining && unknown && self.join_notices < MAX_DIRECT_NOTICES {
            self.join_notices += 1;
            self.to_notify.push(record.id);
        }
        if joining && from_list {
            self.store(now, record.clone());
        } else {
            self.store_and_gossip(now, record.clone());
        }
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
        if self.watched.contains(&record.id) {
            self.urgent.insert(record.id);
        }
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
        self.pending.sort_by_key(|n| Reverse(n.sends_left));
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
