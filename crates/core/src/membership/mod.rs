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
    message::fact_digest,
    probing::{Probe, Relay},
    rand::{SeedableRng, seq::SliceRandom},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

pub use message::{Fact, Message, Place, Purpose, Send, State, Versions};

/// Time between probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// A tick gap above this means that this process itself was paused.
const PAUSE: Duration = Duration::from_millis(600);
/// Facts carried by one message.
const FACTS_PER_MESSAGE: usize = 20;
/// Each fact is sent this many times, times the logarithm of the member count.
const FACT_SENDS: u32 = 1;
/// Least time between two full exchanges with differing digests.
const SYNC_INTERVAL: Duration = Duration::from_secs(5);
/// Members that a daemon tells directly that it joined or leaves; gossip tells the others. One
/// datagram each, so the burst stays near 10 kB.
pub const DIRECT_NEWS: usize = 64;
/// A daemon younger than this tells the members that it learns of that it joined.
const JOIN_TIME: Duration = Duration::from_secs(2);
/// Facts in one part of a full exchange.
const SYNC_FACTS: usize = 12;

/// What a daemon knows of another.
#[derive(Clone, Debug)]
pub struct Member {
    /// Newest fact.
    pub fact: Fact,
    /// Versions it was last heard to use.
    pub versions: Versions,
    /// When its state changed here.
    pub changed: Time,
}

struct News {
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
    news: Vec<News>,
    /// Members to be told directly of this daemon's own fact.
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
    pub fn new(me: NodeId, place: Place, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let fact = Fact {
            id: me,
            state: State::Alive,
            incarnation: 1,
            place,
        };
        let digest = fact_digest(&fact);
        let member = Member {
            fact,
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
            .filter(|m| m.fact.state != State::Dead)
    }

    /// A member by identity.
    #[must_use]
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Facts that this daemon still spreads.
    #[must_use]
    pub fn pending_news(&self) -> usize {
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
    pub fn introduce(&mut self, now: Time, fact: &Fact) {
        self.learn(now, fact);
    }

    /// Announces that this daemon is about to stop.
    pub fn leave(&mut self, now: Time) {
        let mut fact = self.members[&self.me].fact.clone();
        fact.state = State::Leaving;
        fact.incarnation += 1;
        self.set(now, fact);
        let mut others: Vec<NodeId> = self.others().map(|m| m.fact.id).collect();
        others.shuffle(&mut self.rng);
        others.truncate(DIRECT_NEWS);
        self.untold = others;
    }

    /// Last words before the process ends: the receivers need not detect the death.
    pub fn farewell(&mut self, now: Time) -> Vec<Send> {
        let mut fact = self.members[&self.me].fact.clone();
        fact.state = State::Dead;
        fact.incarnation += 1;
        self.set(now, fact.clone());
        let to: Vec<SocketAddr> = self.others().map(|m| m.fact.place.gossip).collect();
        let mut message = self.message(Purpose::Sync(false));
        message.facts = vec![fact];
        to.into_iter()
            .map(|to| Send {
                to,
                message: message.clone(),
            })
            .collect()
    }

    /// Tells every other member at once which versions this daemon knows.
    pub fn announce(&mut self) -> Vec<Send> {
        let message = self.message(Purpose::ANNOUNCE);
        let to: Vec<SocketAddr> = self.others().map(|m| m.fact.place.gossip).collect();
        to.into_iter()
            .map(|to| Send {
                to,
                message: message.clone(),
            })
            .collect()
    }

    /// Advances time: probes, suspicions and full exchanges.
    pub fn tick(&mut self, now: Time) -> Vec<Send> {
        let paused = self.last_tick.is_some_and(|t| now.since(t) > PAUSE);
        self.last_tick = Some(now);
        if paused {
            self.forgive(now);
        }
        self.first_tick.get_or_insert(now);
        let mut out = self.tell_directly();
        self.relays.retain(|r| now.since(r.sent) < PROBE_INTERVAL);
        self.ask_helpers(now, &mut out);
        if now >= self.next_probe {
            self.fail_probe(now);
            self.bury(now);
            self.start_probe(now, &mut out);
            self.next_probe = now + PROBE_INTERVAL;
        }
        out
    }

    /// Takes in a message from `from_addr`.
    pub fn receive(&mut self, now: Time, from_addr: SocketAddr, message: &Message) -> Vec<Send> {
        // A newcomer introduces itself in its first probe and needs the list at once.
        let probed = matches!(message.purpose, Purpose::Probe(_));
        let newcomer = probed && !self.members.contains_key(&message.from);
        for fact in &message.facts {
            self.learn(now, fact);
        }
        let differs = message.digest != self.digest;
        if let Some(member) = self.members.get_mut(&message.from) {
            member.versions = message.versions;
        }
        let mut out = Vec::new();
        match message.purpose {
            Purpose::Probe(n) => out.push(self.send(from_addr, Purpose::Ack(n))),
            Purpose::Indirect(n, id) => self.relay(now, from_addr, n, id, &mut out),
            Purpose::Ack(n) => self.acked(n, &mut out),
            Purpose::Sync(wanted) => {
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
    fn tell_directly(&mut self) -> Vec<Send> {
        let mut message = self.message(Purpose::Sync(false));
        message.facts = vec![self.members[&self.me].fact.clone()];
        let untold = std::mem::take(&mut self.untold);
        let known = untold.iter().filter_map(|id| self.members.get(id));
        known
            .map(|m| Send {
                to: m.fact.place.gossip,
                message: message.clone(),
            })
            .collect()
    }

    fn others(&self) -> impl Iterator<Item = &Member> {
        self.present().filter(|m| m.fact.id != self.me)
    }

    fn sync(&mut self, to: SocketAddr, wanted: bool, out: &mut Vec<Send>) {
        let all: Vec<Fact> = self.members.values().map(|m| m.fact.clone()).collect();
        for (i, part) in all.chunks(SYNC_FACTS).enumerate() {
            let mut message = self.message(Purpose::Sync(wanted && i == 0));
            message.facts = part.to_vec();
            out.push(Send { to, message });
        }
    }

    /// Takes in news of a member.
    fn learn(&mut self, now: Time, fact: &Fact) {
        if fact.id == self.me {
            self.refute(now, fact);
            return;
        }
        let newer = match self.members.get(&fact.id) {
            None => true,
            Some(m) => {
                (fact.incarnation, fact.state) > (m.fact.incarnation, m.fact.state)
                    && (m.fact.state != State::Dead || fact.incarnation > m.fact.incarnation)
            }
        };
        if !newer {
            return;
        }
        let young = self.first_tick.is_none_or(|t| now.since(t) < JOIN_TIME);
        let unknown = fact.state != State::Dead && !self.members.contains_key(&fact.id);
        if young && unknown && self.told < DIRECT_NEWS {
            self.told += 1;
            self.untold.push(fact.id);
        }
        self.set(now, fact.clone());
        if fact.state != State::Dead {
            self.replace_old_run(now, fact);
        }
    }

    /// A new run at the same address proves that the old run is gone.
    fn replace_old_run(&mut self, now: Time, fact: &Fact) {
        let old: Vec<Fact> = self
            .others()
            .filter(|m| m.fact.place.gossip == fact.place.gossip && m.fact.id != fact.id)
            .map(|m| m.fact.clone())
            .collect();
        for mut gone in old {
            gone.state = State::Dead;
            self.set(now, gone);
        }
    }

    fn refute(&mut self, now: Time, fact: &Fact) {
        let mine = &self.members[&self.me].fact;
        if fact.incarnation < mine.incarnation || fact.state == mine.state {
            return;
        }
        if mine.state == State::Dead {
            return;
        }
        let mut fresh = mine.clone();
        fresh.incarnation = fact.incarnation + 1;
        self.set(now, fresh);
    }

    /// Records a fact and spreads it.
    fn set(&mut self, now: Time, fact: Fact) {
        let count = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let sends = FACT_SENDS * (count.max(2).ilog2() + 1);
        self.news.retain(|n| n.id != fact.id);
        self.news.push(News { id: fact.id, sends });
        self.replace(now, fact);
    }

    /// Records a fact without spreading it.
    fn replace(&mut self, now: Time, fact: Fact) {
        self.changes += 1;
        self.digest ^= fact_digest(&fact);
        let versions = self
            .members
            .get(&fact.id)
            .map(|m| m.versions)
            .unwrap_or_default();
        let id = fact.id;
        if let Some(old) = self.members.insert(
            id,
            Member {
                fact,
                versions,
                changed: now,
            },
        ) {
            self.digest ^= fact_digest(&old.fact);
        }
    }

    fn send(&mut self, to: SocketAddr, purpose: Purpose) -> Send {
        let mut message = self.message(purpose);
        self.news.sort_by_key(|n| std::cmp::Reverse(n.sends));
        for news in self.news.iter_mut().take(FACTS_PER_MESSAGE) {
            news.sends -= 1;
            message
                .facts
                .extend(self.members.get(&news.id).map(|m| m.fact.clone()));
        }
        self.news.retain(|n| n.sends > 0);
        // Before others know this daemon, every message introduces it.
        if self.others().next().is_none() {
            message.facts.push(self.members[&self.me].fact.clone());
        }
        Send { to, message }
    }

    fn message(&self, purpose: Purpose) -> Message {
        Message {
            from: self.me,
            purpose,
            digest: self.digest,
            versions: self.versions,
            facts: Vec::new(),
        }
    }
}
