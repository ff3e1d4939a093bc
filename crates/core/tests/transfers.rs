//! A large object reaches all daemons of a data centre from one that has it.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rattanturn_core::{
        Time,
        transfers::{TransferKey, Transfers},
    },
    std::time::Duration,
};

/// Daemons of a data centre at the size that the design is for.
const DAEMONS: usize = 244;
/// Largest configuration that the store accepts.
const OBJECT_BYTES: u32 = 1 << 20;
/// Time within which a change must be in force, in milliseconds.
const FORCE_MS: u64 = 15_000;
/// Time after which a fetch is given up, and the pause after it, in milliseconds.
const FETCH_MS: u64 = 2_000;
const PAUSE_MS: u64 = 200;
/// Pause after a refusal before it is doubled, and how often it is doubled at most.
const REFUSED_PAUSE_MS: u64 = 50;
const MAX_DOUBLINGS: u32 = 4;
/// Intervals of a daemon's messages to random others, and of a source's announcements to all.
const MESSAGE_MS: u64 = 200;
const ANNOUNCE_MS: u64 = 900;
const STEP_MS: u32 = 10;

/// A fetch that runs.
struct Fetch {
    from: usize,
    began: u64,
    left: f64,
    key: Option<TransferKey>,
}

struct Daemon {
    has_object: bool,
    /// Of whom it last heard that it has the object.
    source: Option<usize>,
    fetch: Option<Fetch>,
    refusals: u32,
    paused_until: u64,
    transfers: Transfers,
}

struct Sim {
    rng: ChaCha8Rng,
    daemons: Vec<Daemon>,
    limited: bool,
    /// Bytes that a daemon's link sends in a step.
    link: f64,
}

impl Sim {
    fn new(mbit_s: f64, limited: bool, seed: u64) -> Self {
        let daemon = |number| Daemon {
            has_object: number == 0,
            source: None,
            fetch: None,
            refusals: 0,
            paused_until: 0,
            transfers: Transfers::new(Duration::from_millis(FETCH_MS)),
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            daemons: (0..DAEMONS).map(daemon).collect(),
            limited,
            link: mbit_s * 1e6 / 8.0 / 1e3 * f64::from(STEP_MS),
        }
    }

    /// `to` hears of the object from `from`.
    fn hear(&mut self, from: usize, to: usize) {
        if self.daemons[from].has_object {
            self.daemons[to].source = Some(from);
        }
    }

    /// Starts the fetches that are due.
    fn fetch(&mut self, now: u64) {
        for to in 0..DAEMONS {
            let daemon = &self.daemons[to];
            let waits = daemon.has_object || daemon.fetch.is_some() || now < daemon.paused_until;
            let Some(from) = daemon.source.filter(|_| !waits) else {
                continue;
            };
            let time = Time::from_millis(now + 1);
            let transfers = &mut self.daemons[from].transfers;
            let key = transfers.begin(time, OBJECT_BYTES as usize);
            let daemon = &mut self.daemons[to];
            if self.limited && key.is_none() {
                daemon.refusals += 1;
                let pause = REFUSED_PAUSE_MS << daemon.refusals.min(MAX_DOUBLINGS);
                daemon.paused_until = now + self.rng.random_range(pause / 2..pause);
                continue;
            }
            let (began, left) = (now, f64::from(OBJECT_BYTES));
            daemon.fetch = Some(Fetch {
                from,
                began,
                left,
                key,
            });
        }
    }

    fn tell(&mut self, now: u64) {
        if now.is_multiple_of(ANNOUNCE_MS) {
            (1..DAEMONS).for_each(|to| self.hear(0, to));
        }
        for to in 0..DAEMONS {
            // Each daemon has its own beat.
            if (now + to as u64 * u64::from(STEP_MS)).is_multiple_of(MESSAGE_MS) {
                let from = self.rng.random_range(0..DAEMONS);
                self.hear(from, to);
            }
        }
    }

    fn send(&mut self, now: u64) {
        let mut open = vec![0_u32; DAEMONS];
        for daemon in &self.daemons {
            daemon.fetch.iter().for_each(|f| open[f.from] += 1);
        }
        for to in 0..DAEMONS {
            let Some(mut fetch) = self.daemons[to].fetch.take() else {
                continue;
            };
            fetch.left -= self.link / f64::from(open[fetch.from]);
            let is_done = fetch.left <= 0.0;
            if !is_done && now - fetch.began < FETCH_MS {
                self.daemons[to].fetch = Some(fetch);
                continue;
            }
            if let Some(key) = fetch.key {
                self.daemons[fetch.from].transfers.end(key);
            }
            self.daemons[to].has_object |= is_done;
            self.daemons[to].paused_until = now + PAUSE_MS;
        }
    }

    /// Time until all have the object, in milliseconds; `None` if that is too late.
    fn run(mut self) -> Option<u64> {
        for now in (0..FORCE_MS).step_by(STEP_MS as usize) {
            self.tell(now);
            self.fetch(now);
            self.send(now);
            if self.daemons.iter().all(|d| d.has_object) {
                return Some(now);
            }
        }
        None
    }
}

/// Guards against fetches that take each other's part of a link, so that none ends in time.
#[test]
fn a_large_object_reaches_a_whole_data_centre_in_time() {
    for mbit_s in [20.0, 100.0, 200.0, 1_000.0] {
        for seed in 0..5 {
            let took = Sim::new(mbit_s, true, seed).run();
            println!("{mbit_s} Mbit/s, seed {seed}: {took:?} ms");
            assert!(took.is_some(), "{mbit_s} Mbit/s, seed {seed}");
        }
    }
}

/// The simulation shows the fault: without the limit, a slow link delivers the object to nobody in time.
#[test]
fn without_the_limit_it_is_late() {
    assert_eq!(Sim::new(20.0, false, 1).run(), None);
}

/// Guards against a receiver that has gone and keeps all others from being served.
#[test]
fn a_transfer_ends_when_its_receiver_has_given_up() {
    let mut transfers = Transfers::new(Duration::from_millis(FETCH_MS));
    let at = Time::from_millis;
    assert!(transfers.begin(at(1), 4 << 20).is_some());
    assert!(transfers.begin(at(FETCH_MS), 1 << 20).is_none());
    assert!(transfers.begin(at(FETCH_MS), 1 << 10).is_some(), "small");
    assert!(transfers.begin(at(FETCH_MS + 1), 1 << 20).is_some());
}

/// Guards against an object that is larger than what may be sent at a time and so is never sent.
#[test]
fn one_object_of_any_size_is_sent() {
    let mut transfers = Transfers::new(Duration::from_millis(FETCH_MS));
    let now = Time::from_millis(1);
    let key = transfers.begin(now, 64 << 20).unwrap();
    assert!(transfers.begin(now, 64 << 20).is_none());
    transfers.end(key);
    transfers.end(key);
    assert!(transfers.begin(now, 64 << 20).is_some());
}
