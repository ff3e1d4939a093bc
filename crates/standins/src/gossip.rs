//! Many memberships in one process and in virtual time, joined by a lossy in-memory link.
//!
//! The memberships and the encoding are the real ones; only the datagrams are carried by hand,
//! so messages, bytes and detection times are those of real daemons.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rattanturn_core::{
        NodeId, Time,
        membership::{Endpoints, Envelope, Membership, Message, State, Versions},
    },
    rattanturn_wire::{Datagram, encode},
    std::{
        collections::BTreeMap,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Address of the first member: 10.0.0.0; nothing is sent to it.
const FIRST_IP: u32 = 0x0a00_0000;
/// Interval at which each member is ticked.
const TICK: Duration = Duration::from_millis(50);

/// One member and what it cost.
pub struct SimNode {
    /// Its membership.
    pub membership: Membership,
    /// Whether its process runs; a paused one keeps its datagrams.
    pub paused: bool,
    /// Whether its process exists.
    pub dead: bool,
    /// Version of the tables that it uses.
    pub tables: u64,
    /// Messages sent.
    pub messages: u64,
    /// Bytes sent.
    pub bytes: u64,
}

/// The in-memory link and its members.
pub struct SimNetwork {
    /// Virtual time.
    pub now: Time,
    /// Members by index.
    pub nodes: Vec<SimNode>,
    /// Share of datagrams lost.
    pub loss_rate: f64,
    /// Members on the two sides of a cut do not reach each other.
    pub partition: Option<usize>,
    queue: BTreeMap<(Time, u64), (usize, usize, Message)>,
    number: u64,
    rng: ChaCha8Rng,
}

/// Gossip address of a member.
#[must_use]
pub fn gossip_addr(index: usize) -> SocketAddr {
    let n = u32::try_from(index).unwrap_or(u32::MAX);
    SocketAddr::from((Ipv4Addr::from(FIRST_IP + n), 8_082))
}

/// Member at a gossip address.
fn node_index(addr: SocketAddr) -> Option<usize> {
    match addr.ip() {
        IpAddr::V4(ip) => usize::try_from(u32::from(ip).checked_sub(FIRST_IP)?).ok(),
        IpAddr::V6(_) => None,
    }
}

/// Identity of a member.
#[must_use]
pub fn node_id(index: usize) -> NodeId {
    NodeId(index as u64 + 1)
}

impl SimNetwork {
    /// `count` members that all know the first one.
    #[must_use]
    pub fn new(count: usize, seed: u64) -> Self {
        let mut net = Self {
            now: Time::from_millis(1),
            nodes: Vec::new(),
            loss_rate: 0.0,
            partition: None,
            queue: BTreeMap::new(),
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..count {
            net.join(index, seed);
        }
        net
    }

    /// Adds a member.
    pub fn join(&mut self, index: usize, seed: u64) {
        let place = Endpoints {
            name: format!("entry-{index}"),
            centre: format!("centre-{}", index % 3),
            gossip: gossip_addr(index),
            http: 8_080,
            admin: 8_081,
            rpc: 8_090,
            threads: 1,
        };
        let membership = Membership::new(node_id(index), place, vec![gossip_addr(0)], seed);
        self.nodes.push(SimNode {
            membership,
            paused: false,
            dead: false,
            tables: 0,
            messages: 0,
            bytes: 0,
        });
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver();
            for index in 0..self.nodes.len() {
                let node = &mut self.nodes[index];
                if node.dead || node.paused {
                    continue;
                }
                let out = node.membership.tick(self.now);
                self.send(index, out);
            }
        }
    }

    /// Runs until `done` or for `limit`; returns the time that passed, `None` at the limit.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run(TICK);
        }
        None
    }

    /// Members that `observer` believes to be in `state`.
    #[must_use]
    pub fn count_in_state(&self, observer: usize, state: State) -> usize {
        let members = self.nodes[observer].membership.members();
        members.filter(|m| m.record.state == state).count()
    }

    /// State of a member as `observer` believes it.
    #[must_use]
    pub fn state(&self, observer: usize, member: usize) -> Option<State> {
        self.nodes[observer]
            .membership
            .get(node_id(member))
            .map(|m| m.record.state)
    }

    /// True if all running members believe the same running members to be there.
    #[must_use]
    pub fn converged(&self) -> bool {
        let running = |i: &usize| !self.nodes[*i].dead;
        let all: Vec<usize> = (0..self.nodes.len()).filter(running).collect();
        all.iter().all(|o| {
            let dead = (0..self.nodes.len()).filter(|i| self.nodes[*i].dead);
            all.iter().all(|m| self.state(*o, *m) == Some(State::Alive))
                && dead
                    .into_iter()
                    .all(|m| self.state(*o, m).is_none_or(|s| s == State::Dead))
        })
    }

    /// Puts a version of the tables in force at one member.
    pub fn set_tables(&mut self, index: usize, version: u64) {
        let node = &mut self.nodes[index];
        node.tables = version;
        node.membership.set_versions(Versions {
            tables: version,
            voter_sets: 1,
        });
    }

    /// Forgets what was counted.
    pub fn reset_counts(&mut self) {
        for node in &mut self.nodes {
            (node.messages, node.bytes) = (0, 0);
        }
    }

    fn send(&mut self, from: usize, out: Vec<Envelope>) {
        for send in out {
            let node = &mut self.nodes[from];
            node.messages += 1;
            node.bytes += encode(&Datagram::Gossip(send.message.clone())).len() as u64;
            let Some(to) = node_index(send.to).filter(|i| *i < self.nodes.len()) else {
                continue;
            };
            let apart = self.partition.is_some_and(|c| (from < c) != (to < c));
            if apart || self.rng.random_range(0.0..1.0) < self.loss_rate {
                continue;
            }
            self.number += 1;
            let at = self.now + Duration::from_micros(self.rng.random_range(200..3_000));
            self.queue
                .insert((at, self.number), (from, to, send.message));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let ((at, number), (from, to, message)) = entry.remove_entry();
            let node = &mut self.nodes[to];
            if node.dead {
                continue;
            }
            if node.paused {
                // The kernel keeps a paused process's datagrams for a while.
                self.queue.insert((at + TICK, number), (from, to, message));
                continue;
            }
            let out = node.membership.receive(at, gossip_addr(from), &message);
            // Stands for fetching the newer tables from the sender.
            if message.versions.tables > node.tables {
                self.set_tables(to, message.versions.tables);
            }
            self.send(to, out);
        }
    }
}
