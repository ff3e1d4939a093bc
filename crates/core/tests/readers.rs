//! A fleet in virtual time: who reads the store while it is well, down or turns some away.

use {
    rattanturn_core::{
        NodeId, Time,
        readers::{ReaderContext, ReaderRole, is_primary_reader},
    },
    std::time::Duration,
};

const STEP: Duration = Duration::from_millis(50);

struct Node {
    reading: ReaderRole,
    read: Time,
    place: ReaderContext,
    running: bool,
    tries: u32,
}

struct Fleet {
    now: Time,
    nodes: Vec<Node>,
}

impl Fleet {
    fn new(count: u32) -> Self {
        let alive = || (0..count).map(|i| NodeId(u64::from(i)));
        let node = |i: u32| Node {
            reading: ReaderRole::new(Time::from_millis(1), i < 3),
            read: Time::ZERO,
            place: ReaderContext {
                primary: is_primary_reader(NodeId(u64::from(i)), alive()),
                alive: count as usize,
                jitter: f64::from(i * 37 % 100) / 100.0,
            },
            running: false,
            tries: 0,
        };
        Self {
            now: Time::from_millis(1),
            nodes: (0..count).map(node).collect(),
        }
    }

    /// Runs for a time; `served` says whether the store serves a daemon. Those that do not read
    /// hear of a read within a step.
    fn run(&mut self, time: Duration, served: impl Fn(usize) -> bool) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            let mut heard = false;
            for (i, node) in self.nodes.iter_mut().enumerate() {
                let wanted = node.reading.should_read(self.now, node.place, node.read);
                node.tries += u32::from(wanted && !node.running);
                node.running = wanted;
                if wanted && served(i) {
                    node.read = self.now;
                    heard = true;
                } else if wanted {
                    node.reading.session_failed(self.now, node.place);
                    node.running = false;
                }
            }
            for node in self.nodes.iter_mut().filter(|_| heard) {
                node.read = self.now;
            }
        }
    }

    fn readers(&self) -> usize {
        self.nodes.iter().filter(|n| n.running).count()
    }

    fn tries(&self) -> u32 {
        self.nodes.iter().map(|n| n.tries).sum()
    }
}

#[test]
fn two_daemons_read_a_store_that_is_well() {
    for count in [1, 2, 8, 90] {
        let mut fleet = Fleet::new(count);
        fleet.run(Duration::from_secs(20), |_| true);
        assert_eq!(fleet.readers(), 2.min(count as usize), "{count} daemons");
    }
}

#[test]
fn tries_during_an_outage_do_not_grow_with_the_fleet() {
    for count in [8, 90, 300] {
        let mut fleet = Fleet::new(count);
        fleet.run(Duration::from_secs(20), |_| true);
        // All of them find out once; then the rate counts.
        fleet.run(Duration::from_secs(4), |_| false);
        let before = fleet.tries();
        fleet.run(Duration::from_mins(1), |_| false);
        let rate = f64::from(fleet.tries() - before) / 60.0;
        assert!(rate < 12.0, "{count} daemons try {rate} times a second");
        fleet.run(Duration::from_secs(3), |_| true);
        let now = fleet.now;
        let oldest = fleet.nodes.iter().map(|n| now.since(n.read)).max();
        assert!(oldest.unwrap() < Duration::from_secs(3), "{oldest:?}");
    }
}

#[test]
fn when_the_readers_are_turned_away_others_read() {
    let mut fleet = Fleet::new(8);
    fleet.run(Duration::from_secs(10), |_| true);
    let readers: Vec<bool> = fleet.nodes.iter().map(|n| n.running).collect();
    let mut oldest = Duration::ZERO;
    for _ in 0..400 {
        fleet.run(STEP, |i| !readers[i]);
        let now = fleet.now;
        oldest = oldest.max(fleet.nodes.iter().map(|n| now.since(n.read)).max().unwrap());
    }
    // A leaving target must get nothing after 3 s.
    assert!(oldest < Duration::from_millis(2_500), "{oldest:?}");
}
