//! Two daemons never hold the lease of a unit at once, whatever messages are lost or delayed,
//! whichever daemon is paused and however its voter set changes.
//!
//! The tests simulate a few daemons and one voter set: requests and votes are delivered late or
//! lost, the platform changes the voter set, and daemons learn of changes late or never.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    rattanturn_core::{
        NodeId, Time,
        lease::{
            LEASE_DURATION, LEASE_GRACE, LeaseClient, LeaseRequest, UnitId, Vote, Voter, VoterSet,
        },
        voter_sets::{Candidate, SET_COUNT, VoterSetRecord, VoterSets},
    },
    std::time::Duration,
};

const NODES: usize = 8;
const UNIT: UnitId = UnitId(0);

#[derive(Clone, Debug)]
enum Op {
    /// A daemon requests the lease; the voters in the bit mask get the request and their votes
    /// arrive at once.
    Round { node: usize, voters: u8 },
    /// A daemon requests the lease; its requests are in flight.
    Ask { node: usize },
    /// One message in flight arrives; the vote on a request is then in flight.
    Deliver { pick: usize },
    /// One message in flight is lost.
    Lose { pick: usize },
    /// A daemon releases the lease; its requests are in flight.
    Release { node: usize },
    /// Time passes.
    Wait { ms: u64 },
    /// The voter set changes as by a registrar that considers one daemon dead.
    Change { dead: usize },
    /// The daemons in the bit mask learn the newest version of the voter set.
    Learn { nodes: u8 },
}

struct Node {
    lease: LeaseClient,
    voter: Voter,
    version: usize,
}

enum Message {
    Request { to: usize, request: LeaseRequest },
    Vote { to: usize, from: usize, vote: Vote },
}

struct World {
    now: Time,
    nodes: Vec<Node>,
    net: Vec<Message>,
    /// All versions of the voter set, starting with version 1.
    history: Vec<VoterSets>,
    step: fn(&VoterSets, u64, &[Candidate]) -> Option<VoterSets>,
}

fn id(node: usize) -> NodeId {
    NodeId(node as u64 + 1)
}

fn candidates(nodes: &[Node], mask: u8) -> Vec<Candidate> {
    let alive = (0..NODES).filter(|n| mask & (1 << n) != 0);
    alive
        .map(|n| Candidate {
            id: id(n),
            centre: n as u64 % 3,
            known: nodes[n].version as u64,
        })
        .collect()
}

impl World {
    fn new(step: fn(&VoterSets, u64, &[Candidate]) -> Option<VoterSets>) -> Self {
        let node = |n| Node {
            lease: LeaseClient::new(UNIT, id(n)),
            voter: Voter::default(),
            version: 1,
        };
        let nodes: Vec<Node> = (0..NODES).map(node).collect();
        let first = VoterSets {
            list: vec![VoterSetRecord {
                epoch: 1,
                voters: (0..5).map(id).collect(),
            }],
        };
        Self {
            now: Time::from_millis(1),
            nodes,
            net: Vec::new(),
            history: vec![first],
            step,
        }
    }

    fn voter_set(&self, node: usize) -> VoterSet {
        self.history[self.nodes[node].version - 1]
            .of(UNIT)
            .expect("the unit has a voter set")
    }

    fn run(&mut self, op: &Op) {
        match op {
            Op::Round { node, voters } => {
                let set = self.voter_set(*node);
                let request = self.nodes[*node].lease.request(self.now, &set);
                for voter in (0..NODES).filter(|v| voters & (1 << v) != 0) {
                    if let Some(vote) = self.vote(voter, &request) {
                        self.nodes[*node].lease.count(&set, id(voter), &vote);
                    }
                }
            }
            Op::Ask { node } => {
                let set = self.voter_set(*node);
                let request = self.nodes[*node].lease.request(self.now, &set);
                self.send(&set, request);
            }
            Op::Release { node } => {
                let set = self.voter_set(*node);
                let request = self.nodes[*node].lease.release();
                self.send(&set, request);
            }
            Op::Deliver { pick } => self.deliver(*pick),
            Op::Lose { pick } => {
                if !self.net.is_empty() {
                    self.net.swap_remove(pick % self.net.len());
                }
            }
            Op::Wait { ms } => self.now = self.now + Duration::from_millis(*ms),
            Op::Change { dead } => {
                let newest = self.history.last().expect("there is a first version");
                let candidates = candidates(&self.nodes, !(1 << dead));
                if let Some(next) = (self.step)(newest, self.history.len() as u64, &candidates) {
                    self.history.push(next);
                }
            }
            Op::Learn { nodes } => {
                for node in (0..NODES).filter(|n| nodes & (1 << n) != 0) {
                    self.nodes[node].version = self.history.len();
                }
            }
        }
    }

    fn send(&mut self, set: &VoterSet, request: LeaseRequest) {
        for to in (0..NODES).filter(|n| set.voters.contains(&id(*n))) {
            self.net.push(Message::Request { to, request });
        }
    }

    fn vote(&mut self, voter: usize, request: &LeaseRequest) -> Option<Vote> {
        let set = self.voter_set(voter);
        if !set.voters.contains(&id(voter)) {
            return None;
        }
        Some(self.nodes[voter].voter.vote(self.now, &set, request))
    }

    fn deliver(&mut self, pick: usize) {
        if self.net.is_empty() {
            return;
        }
        match self.net.swap_remove(pick % self.net.len()) {
            Message::Request { to, request } => {
                if let Some(vote) = self.vote(to, &request) {
                    let asker =
                        usize::try_from(request.term.holder.0 - 1).expect("node indexes are small");
                    self.net.push(Message::Vote {
                        to: asker,
                        from: to,
                        vote,
                    });
                }
            }
            Message::Vote { to, from, vote } => {
                let set = self.voter_set(to);
                self.nodes[to].lease.count(&set, id(from), &vote);
            }
        }
    }

    fn holders(&self) -> usize {
        self.nodes.iter().filter(|n| n.lease.held(self.now)).count()
    }
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        4 => (0..NODES, any::<u8>()).prop_map(|(node, voters)| Op::Round { node, voters }),
        2 => (0..NODES).prop_map(|node| Op::Ask { node }),
        4 => any::<usize>().prop_map(|pick| Op::Deliver { pick }),
        1 => any::<usize>().prop_map(|pick| Op::Lose { pick }),
        1 => (0..NODES).prop_map(|node| Op::Release { node }),
        2 => (1..2_500_u64).prop_map(|ms| Op::Wait { ms }),
        3 => (0..NODES).prop_map(|dead| Op::Change { dead }),
        2 => any::<u8>().prop_map(|nodes| Op::Learn { nodes }),
    ];
    proptest::collection::vec(op, 1..60)
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    }
}

/// Runs generated sequences of operations; returns an error if two daemons held the lease at once.
fn explore(
    cases: u32,
    step: fn(&VoterSets, u64, &[Candidate]) -> Option<VoterSets>,
) -> Result<(), String> {
    let mut runner = proptest::test_runner::TestRunner::new(config(cases));
    let result = runner.run(&ops(), |ops| {
        let mut world = World::new(step);
        for op in &ops {
            world.run(op);
            prop_assert!(world.holders() <= 1, "two holders at {}", world.now);
        }
        Ok(())
    });
    result.map_err(|e| e.to_string())
}

#[test]
fn two_daemons_never_hold_the_lease_at_once() {
    explore(3_000, VoterSets::next_step).unwrap();
}

/// Checks that the exploration finds the fault that the rule of [`VoterSets::next_step`] prevents:
/// without waiting until a majority of the voters knows the current version, two consecutive
/// changes lead to majorities without a common voter.
#[test]
fn changes_that_do_not_wait_for_the_voters_allow_two_holders() {
    fn unchecked_step(
        sets: &VoterSets,
        version: u64,
        candidates: &[Candidate],
    ) -> Option<VoterSets> {
        let informed: Vec<Candidate> = candidates
            .iter()
            .map(|p| Candidate {
                known: version,
                ..p.clone()
            })
            .collect();
        sets.next_step(version, &informed)
    }
    let error = explore(6_000, unchecked_step).unwrap_err();
    assert!(error.contains("two holders"), "{error}");
}

/// A holder may be paused for longer than its lease and grace period last, for example with its VM.
/// When it resumes, another daemon may hold the lease.
#[test]
fn a_holder_that_was_paused_past_its_lease_no_longer_holds_it() {
    let mut world = World::new(VoterSets::next_step);
    world.run(&Op::Round {
        node: 0,
        voters: u8::MAX,
    });
    assert!(world.nodes[0].lease.held(world.now));
    let paused = LEASE_DURATION + LEASE_GRACE;
    world.now = world.now + paused;
    world.run(&Op::Round {
        node: 1,
        voters: u8::MAX,
    });
    assert!(world.nodes[1].lease.held(world.now));
    assert!(!world.nodes[0].lease.held(world.now));
}

/// Calls of the last holder may still be running during the grace period after its lease expired.
#[test]
fn no_daemon_gets_the_lease_during_the_grace_period() {
    let mut world = World::new(VoterSets::next_step);
    world.run(&Op::Round {
        node: 0,
        voters: u8::MAX,
    });
    world.now = world.now + LEASE_DURATION + LEASE_GRACE - Duration::from_millis(1);
    world.run(&Op::Round {
        node: 1,
        voters: u8::MAX,
    });
    assert_eq!(world.holders(), 0);
}

#[test]
fn a_delayed_release_does_not_undo_a_later_renewal() {
    let mut world = World::new(VoterSets::next_step);
    world.run(&Op::Round {
        node: 0,
        voters: u8::MAX,
    });
    world.run(&Op::Release { node: 0 });
    world.run(&Op::Round {
        node: 0,
        voters: u8::MAX,
    });
    while !world.net.is_empty() {
        world.run(&Op::Deliver { pick: 0 });
    }
    world.run(&Op::Round {
        node: 1,
        voters: u8::MAX,
    });
    assert!(world.nodes[0].lease.held(world.now));
    assert_eq!(world.holders(), 1);
}

#[test]
fn voter_sets_regain_their_size_after_the_loss_of_a_data_centre() {
    let all: Vec<Candidate> = (0..9)
        .map(|n| Candidate {
            id: id(n),
            centre: n as u64 % 3,
            known: 1,
        })
        .collect();
    let mut sets = VoterSets::create(&all);
    let left: Vec<Candidate> = all.into_iter().filter(|p| p.centre != 0).collect();
    for version in 1..10 {
        let inform = |p: &Candidate| Candidate {
            known: version,
            ..p.clone()
        };
        let informed: Vec<Candidate> = left.iter().map(inform).collect();
        match sets.next_step(version, &informed) {
            Some(next) => sets = next,
            None => break,
        }
    }
    assert_eq!(sets.list.len(), SET_COUNT);
    for set in &sets.list {
        assert_eq!(set.voters.len(), 5);
        assert!(set.voters.iter().all(|v| left.iter().any(|p| p.id == *v)));
    }
}

/// A daemon that got the vote of one voter only, and so never held the lease, must not hide the
/// term that the new holder directly follows.
#[test]
fn a_new_holder_learns_the_previous_term_despite_a_failed_attempt() {
    let mut world = World::new(VoterSets::next_step);
    world.run(&Op::Round {
        node: 0,
        voters: u8::MAX,
    });
    let first = world.nodes[0].lease.term();
    world.run(&Op::Release { node: 0 });
    while !world.net.is_empty() {
        world.run(&Op::Deliver { pick: 0 });
    }
    // Without a majority the attempt begins no term.
    world.run(&Op::Round {
        node: 1,
        voters: 0b1,
    });
    assert!(!world.nodes[1].lease.held(world.now));
    world.run(&Op::Round {
        node: 1,
        voters: u8::MAX,
    });
    assert!(world.nodes[1].lease.held(world.now));
    assert_eq!(world.nodes[1].lease.previous(), Some(first));
}

/// Guards against a table that the next owner does not continue, because another daemon asked for the
/// lease in vain in between and one voter names its attempt as the previous term.
#[test]
fn a_new_holder_learns_the_previous_term_despite_an_attempt_of_another_daemon() {
    let mut world = World::new(VoterSets::next_step);
    world.run(&Op::Round {
        node: 0,
        voters: u8::MAX,
    });
    let first = world.nodes[0].lease.term();
    let deliver = |world: &mut World| {
        while !world.net.is_empty() {
            world.run(&Op::Deliver { pick: 0 });
        }
    };
    world.run(&Op::Release { node: 0 });
    deliver(&mut world);
    world.run(&Op::Round {
        node: 2,
        voters: 0b1,
    });
    assert!(!world.nodes[2].lease.held(world.now));
    world.run(&Op::Release { node: 2 });
    deliver(&mut world);
    world.run(&Op::Round {
        node: 1,
        voters: u8::MAX,
    });
    assert!(world.nodes[1].lease.held(world.now));
    assert_eq!(world.nodes[1].lease.previous(), Some(first));
}

/// A daemon must not believe that it directly follows an old term when only one of its voters
/// remembers the term in between.
#[test]
fn a_term_in_between_is_noticed_if_one_voter_remembers_it() {
    let mut world = World::new(VoterSets::next_step);
    world.run(&Op::Round {
        node: 0,
        voters: u8::MAX,
    });
    let first = world.nodes[0].lease.term();
    world.run(&Op::Wait { ms: 4_000 });
    world.run(&Op::Round {
        node: 2,
        voters: 0b0_0111,
    });
    assert!(world.nodes[2].lease.held(world.now));
    world.run(&Op::Wait { ms: 4_000 });
    world.run(&Op::Round {
        node: 1,
        voters: 0b1_1100,
    });
    assert!(world.nodes[1].lease.held(world.now));
    assert_ne!(world.nodes[1].lease.previous(), Some(first));
}
