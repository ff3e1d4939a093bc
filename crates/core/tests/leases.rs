//! Two daemons never hold the same unit, whatever is lost, delayed, paused or changed.
//!
//! A small world of daemons with one panel: requests and votes are delivered, delayed or lost,
//! the platform changes the panel, and daemons learn of changes late or never.

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
    /// A daemon asks; the voters in the mask get the request and their votes arrive at once.
    Round { node: usize, voters: u8 },
    /// A daemon asks; its requests are under way.
    Ask { node: usize },
    /// One message under way arrives; a vote joins the messages under way.
    Deliver { pick: usize },
    /// One message under way is lost.
    Lose { pick: usize },
    /// A daemon gives the unit back; the request is under way.
    Release { node: usize },
    /// Time passes.
    Wait { ms: u64 },
    /// The platform's panel changes as a registrar would that sees one daemon as dead.
    Change { dead: usize },
    /// The daemons in the mask learn the newest panel.
    Learn { nodes: u8 },
}

struct Node {
    hold: LeaseClient,
    voter: Voter,
    version: usize,
}

enum Message {
    LeaseRequest { to: usize, request: LeaseRequest },
    Vote { to: usize, from: usize, vote: Vote },
}

struct World {
    now: Time,
    nodes: Vec<Node>,
    net: Vec<Message>,
    /// Voter sets by version, starting with version 1.
    history: Vec<VoterSets>,
    step: fn(&VoterSets, u64, &[Candidate]) -> Option<VoterSets>,
}

fn id(node: usize) -> NodeId {
    NodeId(node as u64 + 1)
}

fn peers(nodes: &[Node], mask: u8) -> Vec<Candidate> {
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
            hold: LeaseClient::new(UNIT, id(n)),
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

    fn panel(&self, node: usize) -> VoterSet {
        self.history[self.nodes[node].version - 1]
            .of(UNIT)
            .expect("there is a panel")
    }

    fn run(&mut self, op: &Op) {
        match op {
            Op::Round { node, voters } => {
                let panel = self.panel(*node);
                let request = self.nodes[*node].hold.request(self.now, &panel);
                for voter in (0..NODES).filter(|v| voters & (1 << v) != 0) {
                    if let Some(vote) = self.vote(voter, &request) {
                        self.nodes[*node].hold.count(&panel, id(voter), &vote);
                    }
                }
            }
            Op::Ask { node } => {
                let panel = self.panel(*node);
                let request = self.nodes[*node].hold.request(self.now, &panel);
                self.send(&panel, request);
            }
            Op::Release { node } => {
                let panel = self.panel(*node);
                let request = self.nodes[*node].hold.release();
                self.send(&panel, request);
            }
            Op::Deliver { pick } => self.deliver(*pick),
            Op::Lose { pick } => {
                if !self.net.is_empty() {
                    self.net.swap_remove(pick % self.net.len());
                }
            }
            Op::Wait { ms } => self.now = self.now + Duration::from_millis(*ms),
            Op::Change { dead } => {
                let newest = self.history.last().expect("there is a version");
                let peers = peers(&self.nodes, !(1 << dead));
                if let Some(next) = (self.step)(newest, self.history.len() as u64, &peers) {
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

    fn send(&mut self, panel: &VoterSet, request: LeaseRequest) {
        for to in (0..NODES).filter(|n| panel.voters.contains(&id(*n))) {
            self.net.push(Message::LeaseRequest { to, request });
        }
    }

    fn vote(&mut self, voter: usize, request: &LeaseRequest) -> Option<Vote> {
        let panel = self.panel(voter);
        if !panel.voters.contains(&id(voter)) {
            return None;
        }
        Some(self.nodes[voter].voter.vote(self.now, &panel, request))
    }

    fn deliver(&mut self, pick: usize) {
        if self.net.is_empty() {
            return;
        }
        match self.net.swap_remove(pick % self.net.len()) {
            Message::LeaseRequest { to, request } => {
                if let Some(vote) = self.vote(to, &request) {
                    let asker = usize::try_from(request.term.holder.0 - 1).expect("a small number");
                    self.net.push(Message::Vote {
                        to: asker,
                        from: to,
                        vote,
                    });
                }
            }
            Message::Vote { to, from, vote } => {
                let panel = self.panel(to);
                self.nodes[to].hold.count(&panel, id(from), &vote);
            }
        }
    }

    fn holders(&self) -> usize {
        self.nodes.iter().filter(|n| n.hold.held(self.now)).count()
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

/// Runs generated orders of events; returns an error if two daemons ever held the unit.
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
fn never_two_holders() {
    explore(3_000, VoterSets::next_step).unwrap();
}

/// The rule that a majority must know the present panel is what keeps changes safe.
#[test]
fn a_panel_that_changes_ahead_of_its_voters_is_found() {
    fn hasty(panels: &VoterSets, version: u64, peers: &[Candidate]) -> Option<VoterSets> {
        let informed: Vec<Candidate> = peers
            .iter()
            .map(|p| Candidate {
                known: version,
                ..p.clone()
            })
            .collect();
        panels.next_step(version, &informed)
    }
    let found = explore(6_000, hasty).unwrap_err();
    assert!(found.contains("two holders"), "{found}");
}

/// A holder that was paused across its lease's end must not believe in it when it wakes.
#[test]
fn a_paused_holder_that_wakes_does_not_hold() {
    let mut world = World::new(VoterSets::next_step);
    world.run(&Op::Round {
        node: 0,
        voters: u8::MAX,
    });
    assert!(world.nodes[0].hold.held(world.now));
    let paused = LEASE_DURATION + LEASE_GRACE;
    world.now = world.now + paused;
    world.run(&Op::Round {
        node: 1,
        voters: u8::MAX,
    });
    assert!(world.nodes[1].hold.held(world.now));
    assert!(!world.nodes[0].hold.held(world.now));
}

/// Nobody may take over while a lapsed holder's calls may still run.
#[test]
fn the_grace_period_keeps_a_second_holder_out() {
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
    assert!(world.nodes[0].hold.held(world.now));
    assert_eq!(world.holders(), 1);
}

#[test]
fn panels_recover_their_size_after_a_data_centre_is_lost() {
    let all: Vec<Candidate> = (0..9)
        .map(|n| Candidate {
            id: id(n),
            centre: n as u64 % 3,
            known: 1,
        })
        .collect();
    let mut panels = VoterSets::create(&all);
    let left: Vec<Candidate> = all.into_iter().filter(|p| p.centre != 0).collect();
    for version in 1..10 {
        let inform = |p: &Candidate| Candidate {
            known: version,
            ..p.clone()
        };
        let informed: Vec<Candidate> = left.iter().map(inform).collect();
        match panels.next_step(version, &informed) {
            Some(next) => panels = next,
            None => break,
        }
    }
    assert_eq!(panels.list.len(), SET_COUNT);
    for entry in &panels.list {
        assert_eq!(entry.voters.len(), 5);
        assert!(entry.voters.iter().all(|v| left.iter().any(|p| p.id == *v)));
    }
}

/// A new holder learns which term it directly follows, and only if that is certain.
#[test]
fn a_new_holder_knows_the_tenure_it_follows() {
    let mut world = World::new(VoterSets::next_step);
    world.run(&Op::Round {
        node: 0,
        voters: u8::MAX,
    });
    let first = world.nodes[0].hold.term();
    world.run(&Op::Release { node: 0 });
    while !world.net.is_empty() {
        world.run(&Op::Deliver { pick: 0 });
    }
    // A try that reaches no majority is no term and hides nothing.
    world.run(&Op::Round {
        node: 1,
        voters: 0b1,
    });
    assert!(!world.nodes[1].hold.held(world.now));
    world.run(&Op::Round {
        node: 1,
        voters: u8::MAX,
    });
    assert!(world.nodes[1].hold.held(world.now));
    assert_eq!(world.nodes[1].hold.previous(), Some(first));
}

/// A term in between shows, also when the voters that remember it are few.
#[test]
fn a_tenure_in_between_is_never_hidden() {
    let mut world = World::new(VoterSets::next_step);
    world.run(&Op::Round {
        node: 0,
        voters: u8::MAX,
    });
    let first = world.nodes[0].hold.term();
    world.run(&Op::Wait { ms: 4_000 });
    world.run(&Op::Round {
        node: 2,
        voters: 0b0_0111,
    });
    assert!(world.nodes[2].hold.held(world.now));
    world.run(&Op::Wait { ms: 4_000 });
    world.run(&Op::Round {
        node: 1,
        voters: 0b1_1100,
    });
    assert!(world.nodes[1].hold.held(world.now));
    assert_ne!(world.nodes[1].hold.previous(), Some(first));
}
