//! Which daemons read the store while it is reachable, unreachable or refuses some of them. Many
//! daemons run in one process and in virtual time.

use {
    rattanturn_core::{
        NodeId, Time,
        readers::{ReaderContext, ReaderRole, is_primary_reader},
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
}

struct Deployment {
    now: Time,
    nodes: Vec<Node>,
}

impl Deployment {
    fn new(count: u32) -> Self {
        let alive = || (0..count).map(|i| NodeId(u64::from(i)));
        let node = |i: u32| Node {
            role: ReaderRole::new(Time::from_millis(1), i < 3),
            last_read: Time::ZERO,
            context: ReaderContext {
                primary: is_primary_reader(NodeId(u64::from(i)), alive()),
                alive: count as usize,
                jitter: f64::from(i * 37 % 100) / 100.0,
            },
            reading: false,
            attempts: 0,
        };
        Self {
            now: Time::from_millis(1),
            nodes: (0..count).map(node).collect(),
        }
    }

    /// Advances virtual time; `served` says whether the store answers the daemon with this index.
    /// All other daemons receive what was read within the same step.
    fn run(&mut self, time: Duration, served: impl Fn(usize) -> bool) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            let mut read = false;
            for (i, node) in self.nodes.iter_mut().enumerate() {
                let should_read = node
                    .role
                    .should_read(self.now, node.context, node.last_read);
                node.attempts += u32::from(should_read && !node.reading);
                node.reading = should_read;
                if should_read && served(i) {
                    node.last_read = self.now;
                    read = true;
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
