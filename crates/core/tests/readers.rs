//! Which daemons read the store while it is reachable, unreachable or refuses some of them. Many
//! daemons run in one process and in virtual time.

use {
    rattanturn_core::{
        NodeId, Time,
        readers::{Candidate, PRIMARY_READERS, ReaderContext, ReaderRole, reading_order},
    },
    std::time::Duration,
};

const STEP: Duration = Duration::from_millis(50);

struct Node {
    role: ReaderRole,
    last_read: Time,
    context: ReaderContext,
    reading: bool,
    attempts: u32,
    /// When the current read began.
    reading_since: Time,
    /// Whether the process has ended.
    dead: bool,
}

struct Deployment {
    now: Time,
    nodes: Vec<Node>,
    /// Time from the start of a daemon's read until all others have what it read.
    read_time: Duration,
}

/// Data centre of the daemon with this index.
fn centre(index: u32) -> &'static str {
    ["a", "b", "c", "d", "e"][index as usize % 5]
}

/// Positions of `count` daemons in the order in which they read.
fn ranks(count: u32) -> Vec<usize> {
    let candidates = (0..count).map(|i| Candidate {
        id: NodeId(u64::from(i)),
        centre: centre(i),
    });
    let order = reading_order(candidates);
    let rank = |i: u32| order.iter().position(|id| id.0 == u64::from(i));
    (0..count).map(|i| rank(i).unwrap()).collect()
}

impl Deployment {
    fn new(count: u32) -> Self {
        let ranks = ranks(count);
        let node = |i: u32| Node {
            role: ReaderRole::new(Time::from_millis(1), i < 3),
            last_read: Time::ZERO,
            context: ReaderContext {
                rank: ranks[i as usize],
                alive: count as usize,
                peer_has_newer: false,
                jitter: f64::from(i * 37 % 100) / 100.0,
            },
            reading: false,
            attempts: 0,
            reading_since: Time::ZERO,
            dead: false,
        };
        Self {
            now: Time::from_millis(1),
            nodes: (0..count).map(node).collect(),
            read_time: Duration::ZERO,
        }
    }

    /// Advances virtual time; `served` says whether the store answers the daemon with this index.
    /// All other daemons receive what was read within the same step.
    fn run(&mut self, time: Duration, served: impl Fn(usize) -> bool) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            let mut read = false;
            let running = self.nodes.iter_mut().enumerate().filter(|(_, n)| !n.dead);
            for (i, node) in running {
                let should_read = node
                    .role
                    .should_read(self.now, node.context, node.last_read);
                if should_read && !node.reading {
                    node.attempts += 1;
                    node.reading_since = self.now;
                }
                node.reading = should_read;
                if should_read && served(i) {
                    read |= self.now.since(node.reading_since) >= self.read_time;
                } else if should_read {
                    node.role.session_failed(self.now, node.context);
                    node.reading = false;
                }
            }
            for node in self.nodes.iter_mut().filter(|_| read) {
                node.last_read = self.now;
            }
        }
    }

    fn readers(&self) -> usize {
        self.nodes.iter().filter(|n| n.reading).count()
    }

    fn attempts(&self) -> u32 {
        self.nodes.iter().map(|n| n.attempts).sum()
    }
}

#[test]
fn two_daemons_read_a_reachable_store() {
    for count in [1, 2, 8, 90] {
        let mut deployment = Deployment::new(count);
        deployment.run(Duration::from_secs(20), |_| true);
        assert_eq!(
            deployment.readers(),
            2.min(count as usize),
            "{count} daemons"
        );
    }
}

#[test]
fn rate_of_attempts_during_an_outage_does_not_grow_with_the_number_of_daemons() {
    for count in [8, 90, 300] {
        let mut deployment = Deployment::new(count);
        deployment.run(Duration::from_secs(20), |_| true);
        // Every daemon may fail once at first; the bound is for the rate after that.
        deployment.run(Duration::from_secs(4), |_| false);
        let before = deployment.attempts();
        deployment.run(Duration::from_mins(1), |_| false);
        let rate = f64::from(deployment.attempts() - before) / 60.0;
        assert!(rate < 12.0, "{count} daemons make {rate} attempts a second");
        deployment.run(Duration::from_secs(3), |_| true);
        let now = deployment.now;
        let oldest = deployment
            .nodes
            .iter()
            .map(|n| now.since(n.last_read))
            .max();
        assert!(oldest.unwrap() < Duration::from_secs(3), "{oldest:?}");
    }
}

#[test]
fn other_daemons_read_when_the_store_refuses_the_primary_readers() {
    let mut deployment = Deployment::new(8);
    deployment.run(Duration::from_secs(10), |_| true);
    let readers: Vec<bool> = deployment.nodes.iter().map(|n| n.reading).collect();
    let mut oldest = Duration::ZERO;
    for _ in 0..400 {
        deployment.run(STEP, |i| !readers[i]);
        let now = deployment.now;
        oldest = oldest.max(
            deployment
                .nodes
                .iter()
                .map(|n| now.since(n.last_read))
                .max()
                .unwrap(),
        );
    }
    // A target that leaves must get no calls after 3 s, so daemons have to learn of it before that.
    assert!(oldest < Duration::from_millis(2_500), "{oldest:?}");
}

#[test]
fn the_primary_readers_run_in_different_data_centres() {
    for seed in 0..200 {
        let all = (0..10).map(|i| Candidate {
            id: NodeId(seed * 10 + i),
            centre: if i < 9 { "a" } else { "b" },
        });
        let order = reading_order(all);
        let primary = &order[..PRIMARY_READERS];
        assert!(primary.contains(&NodeId(seed * 10 + 9)), "{seed}");
    }
}

/// Each reader lists the store and announces to every other daemon, so when both primary readers die
/// at once, the number of daemons that take over must not grow with the deployment.
#[test]
fn few_daemons_take_over_when_the_primary_readers_die() {
    for count in [8, 90, 302, 1_000] {
        let mut deployment = Deployment::new(count);
        deployment.read_time = Duration::from_millis(150);
        deployment.run(Duration::from_secs(10), |_| true);
        let before = deployment.attempts();
        for node in &mut deployment.nodes {
            node.dead = node.reading;
        }
        deployment.run(Duration::from_secs(4), |_| true);
        let started = deployment.attempts() - before;
        assert!(started <= 3, "{started} of {count} daemons started to read");
        let now = deployment.now;
        let alive = deployment.nodes.iter().filter(|n| !n.dead);
        let oldest = alive.map(|n| now.since(n.last_read)).max().unwrap();
        assert!(oldest < Duration::from_secs(1), "{count}: {oldest:?}");
    }
}

/// All VMs lost power and the seeds come back last: nobody has the data, and callers already wait.
#[test]
fn a_daemon_without_peers_reads_within_200_ms() {
    for jitter in [0.0, 0.5, 0.99] {
        let context = ReaderContext {
            rank: 0,
            alive: 1,
            peer_has_newer: false,
            jitter,
        };
        let start = Time::from_millis(1);
        let mut role = ReaderRole::new(start, false);
        let at = start + Duration::from_millis(200);
        assert!(role.should_read(at, context, Time::ZERO), "{jitter}");
    }
}

/// A daemon that starts chooses itself until it knows its peers, so a whole deployment that starts at
/// once would read the store. One that hears of a peer with data waits for that.
#[test]
fn a_daemon_that_starts_does_not_read_while_a_peer_has_the_data() {
    let context = ReaderContext {
        rank: 0,
        alive: 2,
        peer_has_newer: true,
        jitter: 0.3,
    };
    let start = Time::from_millis(1);
    let mut role = ReaderRole::new(start, false);
    for ms in (0..1_500).step_by(50) {
        let at = start + Duration::from_millis(ms);
        assert!(!role.should_read(at, context, Time::ZERO), "{ms} ms");
    }
    // The peer cannot be reached.
    let at = start + Duration::from_millis(3_200);
    assert!((0..40).any(|i| role.should_read(
        at + Duration::from_millis(i * 50),
        context,
        Time::ZERO
    )));
}

/// A deployment that starts at once must not list the store once for each daemon: those that the
/// others find it through read without waiting, and the others hear of them within milliseconds.
#[test]
fn a_daemon_that_knows_a_peer_gives_it_time_to_read() {
    for jitter in [0.0, 0.5, 0.99] {
        let context = ReaderContext {
            rank: 0,
            alive: 2,
            peer_has_newer: false,
            jitter,
        };
        let start = Time::from_millis(1);
        let mut role = ReaderRole::new(start, false);
        let early = start + Duration::from_millis(700);
        assert!(!role.should_read(early, context, Time::ZERO), "{jitter}");
        let late = start + Duration::from_secs(1);
        assert!(role.should_read(late, context, Time::ZERO), "{jitter}");
    }
}

/// Daemons that come back while the seeds are gone find each other soon after the first has begun to
/// read, which must not end its read.
#[test]
fn a_peer_that_appears_does_not_end_the_first_read() {
    let alone = ReaderContext {
        rank: 0,
        alive: 1,
        peer_has_newer: false,
        jitter: 0.1,
    };
    let start = Time::from_millis(1);
    let mut role = ReaderRole::new(start, false);
    let at = |ms| start + Duration::from_millis(ms);
    assert!(role.should_read(at(50), alone, Time::ZERO));
    let found = ReaderContext { alive: 2, ..alone };
    assert!(role.should_read(at(100), found, Time::ZERO));
}
