//! Which daemons are alive: probing in turn, indirect probes, suspicion and refutation.
//!
//! Each interval a daemon probes one member. Without an answer it asks others to probe for it,
//! then suspects the member, and declares it dead when nobody refutes the suspicion in time.
//! News travels on probes and answers, a bounded number of times each, so the steady cost of a
//! member does not grow with their number. A digest of the whole state travels along; members
//! whose digests keep differing exchange their full lists, which heals partitions.
//!
//! A process that was paused sees the gap in its own ticks and drops its open probes instead
//! of accusing the members that it did not hear.

mod message;
mod probing;

use {
    crate::{NodeId, Time},
    message::record_digest,
    probing::{Probe, Relay},
    rand::{SeedableRng, seq::SliceRandom},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

pub use message::{Endpoints, Envelope, MemberRecord, Message, MessageKind, State, Versions};

/// Time between probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// A tick gap above this means that this process itself was paused.
const PAUSE: Duration = Duration::from_millis(600);
/// Facts carried by one message.
const RECORDS_PER_MESSAGE: usize = 20;
/// Each record is sent this many times, times the logarithm of the member count.
const RECORD_SENDS: u32 = 1;
/// Least time between two full exchanges with differing digests.
const SYNC_INTERVAL: Duration = Duration::from_secs(5);
/// Members that a daemon tells directly that it joined or leaves; gossip tells the others. One
/// datagram each, so the burst stays near 10 kB.
pub const MAX_DIRECT_NOTICES: usize = 64;
/// A daemon younger than this tells the members that it learns of that it joined.
const JOIN_TIME: Duration = Duration::from_secs(2);
/// Facts in one part of a full exchange.
const SYNC_RECORDS: usize = 12;

/// What a daemon knows of another.
#[derive(Clone, Debug)]
pub struct Member {
    /// Newest record.
    pub record: MemberRecord,
    /// Versions it was last heard to use.
    pub versions: Versions,
    /// When its state changed here.
    pub changed: Time,
}

struct PendingGossip {
    id: NodeId,
    sends: u32,
}

/// One daemon's membership.
pub struct Membership {
    me: NodeId,
    members: BTreeMap<NodeId, Member>,
    seeds: Vec<SocketAddr>,
    versions: Versions,
    digest: u64,
    news: Vec<PendingGossip>,
    /// Members to be told directly of this daemon's own record.
    untold: Vec<NodeId>,
    /// Members that were told directly that this daemon joined.
    told: usize,
    first_tick: Option<Time>,
    order: VecDeque<NodeId>,
    probe: Option<Probe>,
    relays: Vec<Relay>,
    number: u32,
    next_probe: Time,
    last_tick: Option<Time>,
    last_sync: Time,
    changes: u64,
    rng: ChaCha8Rng,
}

impl Membership {
    /// Starts with only this daemon; `seeds` are asked until somebody else is known.
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
            news: Vec::new(),
            untold: Vec::new(),
            told: 0,
            first_tick: None,
            order: VecDeque::new(),
            probe: None,
            relays: Vec::new(),
            number: 0,
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

    /// All members known, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members that answer: alive, leaving or merely suspected.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|m| m.record.state != State::Dead)
    }

    /// A member by identity.
    #[must_use]
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Facts that this daemon still spreads.
    #[must_use]
    pub fn pending_gossip(&self) -> usize {
        self.news.len()
    }

    /// Raised whenever a member's state changes.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Sets the versions that this daemon uses.
    pub fn set_versions(&mut self, versions: Versions) {
        self.versions = versions;
        if let Some(member) = self.members.get_mut(&self.me) {
            member.versions = versions;
        }
    }

    /// Takes in a member that was learned of elsewhere, for example from a VM list.
    pub fn introduce(&mut self, now: Time, record: &MemberRecord) {
        self.apply(now, record);
    }

    /// Announces that this daemon is about to stop.
    pub fn leave(&mut self, now: Time) {
        let mut record = self.members[&self.me].record.clone();
        record.state = State::Leaving;
        record.incarnation += 1;
        self.set(now, record);
        let mut others: Vec<NodeId> = self.others().map(|m| m.record.id).collect();
        others.shuffle(&mut self.rng);
        others.truncate(MAX_DIRECT_NOTICES);
        self.untold = others;
    }

    /// Last words before the process ends: the receivers need not detect the death.
    pub fn death_notice(&mut self, now: Time) -> Vec<Envelope> {
        let mut record = self.members[&self.me].record.clone();
        record.state = State::Dead;
        record.incarnation += 1;
        self.set(now, record.clone());
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

    /// Tells every other member at once which versions this daemon knows.
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

    /// Advances time: probes, suspicions and full exchanges.
    pub fn tick(&mut self, now: Time) -> Vec<Envelope> {
        let paused = self.last_tick.is_some_and(|t| now.since(t) > PAUSE);
        self.last_tick = Some(now);
        if paused {
            self.reset_after_pause(now);
        }
        self.first_tick.get_or_insert(now);
        let mut out = self.tell_directly();
        self.relays.retain(|r| now.since(r.sent) < PROBE_INTERVAL);
        self.ask_helpers(now, &mut out);
        if now >= self.next_probe {
            self.fail_probe(now);
            self.expire_members(now);
            self.start_probe(now, &mut out);
            self.next_probe = now + PROBE_INTERVAL;
        }
        out
    }

    /// Takes in a message from `from_addr`.
    pub fn receive(
        &mut self,
        now: Time,
        from_addr: SocketAddr,
        message: &Message,
    ) -> Vec<Envelope> {
        // A newcomer introduces itself in its first probe and needs the list at once.
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
            MessageKind::Probe(n) => out.push(self.send(from_addr, MessageKind::Ack(n))),
            MessageKind::Indirect(n, id) => self.relay(now, from_addr, n, id, &mut out),
            MessageKind::Ack(n) => self.acked(n, &mut out),
            MessageKind::Sync(wanted) => {
                if wanted {
                    self.sync(from_addr, false, &mut out);
                }
            }
        }
        let stranger = newcomer || !self.members.contains_key(&message.from);
        if stranger || (differs && now.since(self.last_sync) > SYNC_INTERVAL) {
            self.last_sync = now;
            self.sync(from_addr, true, &mut out);
        }
        out
    }

    /// Own news to members that should not have to wait for gossip.
    fn tell_directly(&mut self) -> Vec<Envelope> {
        let mut message = self.message(MessageKind::Sync(false));
        message.records = vec![self.members[&self.me].record.clone()];
        let untold = std::mem::take(&mut self.untold);
        let known = untold.iter().filter_map(|id| self.members.get(id));
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

    fn sync(&mut self, to: SocketAddr, wanted: bool, out: &mut Vec<Envelope>) {
        let all: Vec<MemberRecord> = self.members.values().map(|m| m.record.clone()).collect();
        for (i, part) in all.chunks(SYNC_RECORDS).enumerate() {
            let mut message = self.message(MessageKind::Sync(wanted && i == 0));
            message.records = part.to_vec();
            out.push(Envelope { to, message });
        }
    }

    /// Takes in news of a member.
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
        let young = self.first_tick.is_none_or(|t| now.since(t) < JOIN_TIME);
        let unknown = record.state != State::Dead && !self.members.contains_key(&record.id);
        if young && unknown && self.told < MAX_DIRECT_NOTICES {
            self.told += 1;
            self.untold.push(record.id);
        }
        self.set(now, record.clone());
        if record.state != State::Dead {
            self.replace_old_run(now, record);
        }
    }

    /// A new run at the same address proves that the old run is gone.
    fn replace_old_run(&mut self, now: Time, new: &MemberRecord) {
        let old: Vec<MemberRecord> = self
            .others()
            .filter(|m| m.record.endpoints.gossip == new.endpoints.gossip && m.record.id != new.id)
            .map(|m| m.record.clone())
            .collect();
        for mut gone in old {
            gone.state = State::Dead;
            self.set(now, gone);
        }
    }

    fn refute(&mut self, now: Time, record: &MemberRecord) {
        let mine = &self.members[&self.me].record;
        if record.incarnation < mine.incarnation || record.state == mine.state {
            return;
        }
        if mine.state == State::Dead {
            return;
        }
        let mut fresh = mine.clone();
        fresh.incarnation = record.incarnation + 1;
        self.set(now, fresh);
    }

    /// Stores a record and queues it for gossip.
    fn set(&mut self, now: Time, record: MemberRecord) {
        let count = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let sends = RECORD_SENDS * (count.max(2).ilog2() + 1);
        self.news.retain(|n| n.id != record.id);
        self.news.push(PendingGossip {
            id: record.id,
            sends,
        });
        self.replace(now, record);
    }

    /// Stores a record without queueing it for gossip.
    fn replace(&mut self, now: Time, record: MemberRecord) {
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

    fn send(&mut self, to: SocketAddr, kind: MessageKind) -> Envelope {
        let mut message = self.message(kind);
        self.news.sort_by_key(|n| std::cmp::Reverse(n.sends));
        for news in self.news.iter_mut().take(RECORDS_PER_MESSAGE) {
            news.sends -= 1;
            message
                .records
                .extend(self.members.get(&news.id).map(|m| m.record.clone()));
        }
        self.news.retain(|n| n.sends > 0);
        // Before others know this daemon, every message introduces it.
        if self.others().next().is_none() {
            message.records.push(self.members[&self.me].record.clone());
        }
        Envelope { to, message }
    }

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
