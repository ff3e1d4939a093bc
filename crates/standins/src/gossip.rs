//! A simulated network of daemons that run the membership protocol, in one process and in virtual
//! time.
//!
//! The protocol and the encoding are those of real daemons; only the transport is simulated. It
//! delays each datagram at random and can lose datagrams or partition the network. So the numbers
//! of messages and bytes and the detection times are those of real daemons.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rattanturn_core::{
        NodeId, Time,
        membership::{Endpoints, Envelope, Membership, Message, State, Versions},
        rendezvous,
    },
    rattanturn_wire::{Datagram, encode},
    std::{
        collections::BTreeMap,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// IP address of the first member, 10.0.0.0; the others follow it. No packet leaves the process.
const FIRST_IP: u32 = 0x0a00_0000;
/// Virtual time between two ticks of each member.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// One simulated member and the traffic that it sent.
pub struct SimNode {
    /// The member's own view, driven by the simulation.
    pub membership: Membership,
    /// Whether the process is paused; its datagrams wait until it resumes.
    pub paused: bool,
    /// Whether the process has ended; its datagrams are dropped.
    pub dead: bool,
    /// Version of the tables that the member uses.
    pub tables: u64,
    /// Number of messages sent since the last [`SimNetwork::reset_counts`].
    pub messages: u64,
    /// Encoded bytes sent since the last [`SimNetwork::reset_counts`].
    pub bytes: u64,
}

/// The simulated network and its members.
pub struct SimNetwork {
    /// Current virtual time.
    pub now: Time,
    /// Members by index, in the order in which they joined; dead ones stay.
    pub nodes: Vec<SimNode>,
    /// Share of datagrams that are lost, from 0 to 1.
    pub loss_rate: f64,
    /// While set, the members below this index and the others cannot reach each other.
    pub partition: Option<usize>,
    /// Datagrams in flight by arrival time and number, with sender and receiver.
    in_flight: BTreeMap<(Time, u64), (usize, usize, Message)>,
    /// Number of the last datagram sent; keeps those that arrive at the same time in order.
    last_number: u64,
    rng: ChaCha8Rng,
}

/// Gossip address of the member with this index.
#[must_use]
pub fn gossip_addr(index: usize) -> SocketAddr {
    let n = u32::try_from(index).unwrap_or(u32::MAX);
    SocketAddr::from((Ipv4Addr::from(FIRST_IP + n), 8_082))
}

/// Index of the member at a gossip address, whether or not it exists.
fn node_index(addr: SocketAddr) -> Option<usize> {
    match addr.ip() {
        IpAddr::V4(ip) => usize::try_from(u32::from(ip).checked_sub(FIRST_IP)?).ok(),
        IpAddr::V6(_) => None,
    }
}

/// Identity of the member with this index.
#[must_use]
pub fn node_id(index: usize) -> NodeId {
    // Real identities are random, so that the order of the members tells nothing about their age.
    NodeId(rendezvous::score(NodeId(index as u64), 0))
}

impl SimNetwork {
    /// Creates `count` members that all have the first one as their only seed.
    ///
    /// `seed` decides all random choices; the same calls with the same seed give the same messages.
    #[must_use]
    pub fn new(count: usize, seed: u64) -> Self {
        let mut net = Self {
            now: Time::from_millis(1),
            nodes: Vec::new(),
            loss_rate: 0.0,
            partition: None,
            in_flight: BTreeMap::new(),
            last_number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..count {
            net.join(index, seed);
        }
        net
    }

    /// Adds a member, which also has the first one as its only seed. `index` must be the number of
    /// members so far.
    pub fn join(&mut self, index: usize, seed: u64) {
        let endpoints = Endpoints {
            name: format!("entry-{index}"),
            centre: format!("centre-{}", index % 3),
            gossip: gossip_addr(index),
            http: 8_080,
            admin: 8_081,
            rpc: 8_090,
            threads: 1,
        };
        let membership = Membership::new(node_id(index), endpoints, vec![gossip_addr(0)], seed);
        self.nodes.push(SimNode {
            membership,
            paused: false,
            dead: false,
            tables: 0,
            messages: 0,
            bytes: 0,
        });
    }

    /// Advances virtual time by `time`: delivers datagrams and ticks all running members.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
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

    /// Advances virtual time until `done` returns true, for at most `limit`.
    ///
    /// Returns the time that passed, or `None` if `done` stayed false.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run(TICK_INTERVAL);
        }
        None
    }

    /// Number of members that are in `state` as `observer` sees it.
    #[must_use]
    pub fn count_in_state(&self, observer: usize, state: State) -> usize {
        let members = self.nodes[observer].membership.members();
        members.filter(|m| m.record.state == state).count()
    }

    /// State of a member as `observer` sees it; `None` if it does not know the member.
    #[must_use]
    pub fn state(&self, observer: usize, member: usize) -> Option<State> {
        self.nodes[observer]
            .membership
            .get(node_id(member))
            .map(|m| m.record.state)
    }

    /// Whether every running member sees all running members as alive and all dead ones as dead, or
    /// does not know them any more.
    #[must_use]
    pub fn converged(&self) -> bool {
        let runs = |i: &usize| !self.nodes[*i].dead;
        let running: Vec<usize> = (0..self.nodes.len()).filter(runs).collect();
        running.iter().all(|o| {
            let dead = (0..self.nodes.len()).filter(|i| self.nodes[*i].dead);
            running
                .iter()
                .all(|m| self.state(*o, *m) == Some(State::Alive))
                && dead
                    .into_iter()
                    .all(|m| self.state(*o, m).is_none_or(|s| s == State::Dead))
        })
    }

    /// Makes one member use a version of the tables and announce it in its messages.
    pub fn set_tables(&mut self, index: usize, version: u64) {
        let node = &mut self.nodes[index];
        node.tables = version;
        node.membership.set_versions(Versions {
            tables: version,
            voter_sets: 1,
            digest: 0,
        });
    }

    /// Sets all counts of messages and bytes to zero.
    pub fn reset_counts(&mut self) {
        for node in &mut self.nodes {
            (node.messages, node.bytes) = (0, 0);
        }
    }

    /// Counts the messages of a member and puts those in flight that are not lost.
    fn send(&mut self, from: usize, out: Vec<Envelope>) {
        for envelope in out {
            let node = &mut self.nodes[from];
            node.messages += 1;
            node.bytes += encode(&Datagram::Gossip(envelope.message.clone())).len() as u64;
            let Some(to) = node_index(envelope.to).filter(|i| *i < self.nodes.len()) else {
                continue;
            };
            let separated = self.partition.is_some_and(|c| (from < c) != (to < c));
            if separated || self.rng.random_range(0.0..1.0) < self.loss_rate {
                continue;
            }
            self.last_number += 1;
            let at = self.now + Duration::from_micros(self.rng.random_range(200..3_000));
            self.in_flight
                .insert((at, self.last_number), (from, to, envelope.message));
        }
    }

    /// Delivers the datagrams that have arrived by now, and sends the answers.
    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let ((at, number), (from, to, message)) = entry.remove_entry();
            let node = &mut self.nodes[to];
            if node.dead {
                continue;
            }
            if node.paused {
                // The kernel buffers datagrams of a paused process; they arrive after the pause.
                self.in_flight
                    .insert((at + TICK_INTERVAL, number), (from, to, message));
                continue;
            }
            let out = node.membership.receive(at, gossip_addr(from), &message);
            // A real daemon would fetch the newer tables from the sender.
            if message.versions.tables > node.tables {
                self.set_tables(to, message.versions.tables);
            }
            self.send(to, out);
        }
    }
}
