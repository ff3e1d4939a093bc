//! Targets whose entries expire in an outage of the store, at daemons that read the store or adopt
//! each other's targets in generated orders.
//!
//! The daemons exchange revisions as in the tier: one whose state changed raises its revision, and a
//! daemon fetches the buckets that differ from a peer with a higher one. A reader that meets another
//! state of its revision raises it.

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    rattanturn_core::{
        Time,
        discovery::{EXPIRY_GRACE, PeerTargets, Target, TargetSet},
        readers::STALE_AFTER,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// When the store goes down, and when it returns.
const DOWN: u64 = 1_000;
const UP: u64 = 5_500;
/// Time in which living targets write their entries again; the platform promises it.
const RENEWAL_MS: u64 = 2_000;
/// Longest time between two reads of a reader: its pause and the length of a poll.
const POLL_MS: u64 = 900;
/// End of the generated steps.
const END: u64 = UP + 6_000;
/// A target that stopped in the outage, and those that live.
const GONE: &str = "gone";
const LIVING: [&str; 3] = ["a", "b", "c"];

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn target(id: &str, sequence: u64, slots: u32) -> Target {
    Target {
        id: id.into(),
        service: "s".into(),
        addr: "127.0.0.1:80".parse().unwrap(),
        centre: "a".into(),
        slots,
        leaving: false,
        version: String::new(),
        cold_left: Duration::ZERO,
        incarnation: 1,
        sequence,
    }
}

/// The store's entries and the history of their changes; the revision is its length.
#[derive(Default)]
struct Store {
    entries: BTreeMap<String, Target>,
    history: Vec<(String, Option<Target>)>,
}

impl Store {
    fn write(&mut self, id: &str, entry: Option<Target>) {
        match &entry {
            Some(target) => self.entries.insert(id.into(), target.clone()),
            None => self.entries.remove(id),
        };
        self.history.push((id.into(), entry));
    }
}

#[derive(Default)]
struct Daemon {
    set: TargetSet,
    reads: bool,
    position: Option<usize>,
    revision: u64,
    /// Change counter of the targets at `revision`.
    shared: u64,
    read_at: u64,
    polled: u64,
}

impl Daemon {
    fn read(&mut self, now: u64, store: &Store) {
        self.polled = now;
        if (DOWN..UP).contains(&now) {
            self.position = None;
            if now - self.read_at > u64::try_from(STALE_AFTER.as_millis()).unwrap() {
                self.set.store_unavailable(at(now));
            }
            return;
        }
        self.set.store_available(at(now));
        if let Some(position) = self.position {
            for (id, entry) in &store.history[position..] {
                match entry {
                    Some(target) => {
                        self.set.upsert(at(now), target.clone());
                    }
                    None => self.set.entry_removed(at(now), id),
                }
            }
        } else {
            let list = store.entries.values().cloned().collect();
            self.set.apply_list(at(now), list);
        }
        self.position = Some(store.history.len());
        self.set.read_complete(at(now));
        self.read_at = now;
        if self.set.changes() != self.shared {
            self.shared = self.set.changes();
            self.revision = (self.revision + 1).max(store.history.len() as u64);
        }
    }

    fn adopt(&mut self, now: u64, peer: &Self) {
        if peer.revision <= self.revision {
            return;
        }
        self.revision = peer.revision;
        let ours = self.set.digests();
        if peer.set.digests() == ours {
            return;
        }
        let buckets = peer.set.digests().differing(ours.as_slice());
        let from = PeerTargets {
            targets: peer.set.in_buckets(&buckets).cloned().collect(),
            expiry: peer.set.expiry_notice(at(now)),
            ..PeerTargets::default()
        };
        let refused = self.set.adopt_buckets(at(now), &buckets, from);
        self.revision += u64::from(refused);
        self.shared = self.set.changes();
        self.read_at = now;
    }

    /// Hears that a reader has just read the store.
    fn confirm(&mut self, now: u64, reader: &Self) {
        if reader.read_at == now && self.revision >= reader.revision {
            self.set.store_available(at(now));
            self.read_at = now;
        }
    }

    fn knows(&self, id: &str) -> bool {
        self.set.targets().any(|t| t.id == id)
    }
}

#[derive(Clone, Debug)]
enum Action {
    /// The daemon polls the store, earlier than it has to.
    Read(usize),
    /// The second daemon hears of the first one's revision.
    Exchange(usize, usize),
    /// Some other target changes, so that revisions rise.
    Change(usize),
}

#[derive(Clone, Debug)]
struct Plan {
    /// Which daemons read the store; the first one does in any case.
    readers: Vec<bool>,
    /// When each daemon starts; the first two know the targets before the outage.
    start: u64,
    /// When each living target writes its entry again, after the store's return.
    renewals: Vec<u64>,
    steps: Vec<(u64, Action)>,
}

fn plans(daemons: usize) -> impl Strategy<Value = Plan> {
    let pair = (0..daemons, 0..daemons);
    let action = prop_oneof![
        1 => (0..daemons).prop_map(Action::Read),
        4 => pair.prop_map(|(from, to)| Action::Exchange(from, to)),
        2 => (0usize..4).prop_map(Action::Change),
    ];
    (
        prop::collection::vec(any::<bool>(), daemons),
        prop_oneof![Just(0), DOWN..UP],
        prop::collection::vec(0..=RENEWAL_MS, LIVING.len()),
        prop::collection::vec((10u64..150, action), 60..200),
    )
        .prop_map(|(readers, start, renewals, steps)| Plan {
            readers,
            start,
            renewals,
            steps,
        })
}

/// One run of a plan.
struct Run {
    store: Store,
    daemons: Vec<Daemon>,
    /// Changes of entries still to come, by time.
    due: Vec<(u64, String, Option<Target>)>,
    start: u64,
    /// Living targets that each daemon has known.
    known: Vec<Vec<&'static str>>,
}

impl Run {
    fn new(plan: &Plan) -> Self {
        let mut store = Store::default();
        let mut due = Vec::new();
        for id in LIVING.into_iter().chain([GONE]) {
            store.write(id, Some(target(id, 1, 3)));
            due.push((DOWN + 500, id.to_owned(), None));
        }
        for (id, after) in LIVING.iter().zip(&plan.renewals) {
            due.push((UP + after, (*id).to_owned(), Some(target(id, 5, 3))));
        }
        due.sort_by_key(|d| d.0);
        let daemon = |(i, reads): (usize, &bool)| Daemon {
            reads: *reads || i == 0,
            ..Daemon::default()
        };
        Self {
            store,
            daemons: plan.readers.iter().enumerate().map(daemon).collect(),
            due,
            start: plan.start,
            known: vec![Vec::new(); plan.readers.len()],
        }
    }

    /// Whether a daemon runs: the last one starts late.
    fn runs(&self, daemon: usize, now: u64) -> bool {
        now >= self.start || daemon + 1 < self.daemons.len()
    }

    /// Lets everything happen that is due at `now`.
    fn advance(&mut self, now: u64) {
        // Targets renew their entries all the time, which raises the store's revision.
        if !(DOWN..UP).contains(&now) {
            let beat = self.store.history.len() as u64;
            self.store.write("beat", Some(target("beat", beat, 3)));
        }
        while self.due.first().is_some_and(|d| d.0 <= now) {
            let (_, id, entry) = self.due.remove(0);
            self.store.write(&id, entry);
        }
        for i in 0..self.daemons.len() {
            if !self.runs(i, now) {
                continue;
            }
            let daemon = &mut self.daemons[i];
            // A daemon that hears nothing tries to read as well.
            let stale = now - daemon.read_at > 2_000;
            let first = daemon.polled == 0 && i + 1 < self.known.len();
            if first || ((daemon.reads || stale) && now - daemon.polled >= POLL_MS - 200) {
                daemon.read(now, &self.store);
            }
            daemon.set.tick(at(now));
        }
    }

    fn act(&mut self, now: u64, action: &Action) {
        match action {
            Action::Read(i) if self.daemons[*i].reads && self.runs(*i, now) => {
                self.daemons[*i].read(now, &self.store);
            }
            Action::Exchange(from, to)
                if from != to && self.runs(*from, now) && self.runs(*to, now) =>
            {
                self.exchange(now, *from, *to);
            }
            Action::Change(n) if !(DOWN..UP).contains(&now) => {
                let (id, sequence) = (format!("x{n}"), self.store.history.len() as u64);
                let slots = u32::try_from(sequence).unwrap();
                self.store.write(&id, Some(target(&id, sequence, slots)));
            }
            _ => {}
        }
    }

    fn exchange(&mut self, now: u64, from: usize, to: usize) {
        let mut receiver = std::mem::take(&mut self.daemons[to]);
        let sender = &self.daemons[from];
        let differs = receiver.set.digests() != sender.set.digests();
        if receiver.revision == sender.revision && differs && receiver.reads {
            receiver.revision += 1;
        }
        receiver.adopt(now, &self.daemons[from]);
        receiver.confirm(now, &self.daemons[from]);
        self.daemons[to] = receiver;
    }

    /// Fails if a daemon has dropped a living target.
    fn check(&mut self, now: u64) -> Result<(), TestCaseError> {
        for (i, daemon) in self.daemons.iter().enumerate() {
            for id in LIVING {
                let before = self.known[i].contains(&id);
                if daemon.knows(id) && !before {
                    self.known[i].push(id);
                }
                prop_assert!(
                    daemon.knows(id) || !before,
                    "daemon {i} dropped {id} at {now} ms"
                );
            }
        }
        Ok(())
    }
}

fn play(plan: &Plan) -> Result<(), TestCaseError> {
    let mut run = Run::new(plan);
    let mut now = 1;
    for (pause, action) in plan.steps.iter().cycle() {
        now += pause;
        if now >= END {
            break;
        }
        run.advance(now);
        run.check(now)?;
        run.act(now, action);
        run.check(now)?;
    }
    // All daemons hear of each other, as they do all the time.
    for round in 0..4 {
        let now = END + round * POLL_MS;
        run.advance(now);
        for from in 0..run.daemons.len() {
            for to in (0..run.daemons.len()).filter(|to| *to != from) {
                run.exchange(now, from, to);
            }
        }
        run.check(now)?;
    }
    for (i, daemon) in run.daemons.iter().enumerate() {
        prop_assert!(!daemon.knows(GONE), "daemon {i} still uses the target");
        for id in LIVING {
            prop_assert!(daemon.knows(id), "daemon {i} lacks {id}");
        }
    }
    Ok(())
}

fn assert_settled(daemons: usize, cases: u32) {
    let config = Config {
        failure_persistence: None,
        ..Config::with_cases(cases)
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let played = runner.run(&plans(daemons), |plan| play(&plan));
    if let Err(error) = played {
        panic!("{error}");
    }
}

/// Guards against a target that stays in use, or a living one that is dropped, after an outage.
#[test]
fn expired_entries_are_settled_between_two_daemons() {
    assert_settled(2, 4_000);
}

/// The same with a third daemon.
#[test]
fn expired_entries_are_settled_between_three_daemons() {
    assert_settled(3, 4_000);
}

/// Guards against readers that adopt each other's targets and forget which entries they wait for.
#[test]
fn readers_that_adopt_from_each_other_remove_a_lapsed_target() {
    let plan = Plan {
        readers: vec![true, true],
        start: 0,
        renewals: vec![0, 1_000, RENEWAL_MS],
        steps: vec![
            (50, Action::Change(0)),
            (50, Action::Read(0)),
            (50, Action::Exchange(0, 1)),
            (50, Action::Change(1)),
            (50, Action::Read(1)),
            (50, Action::Exchange(1, 0)),
        ],
    };
    play(&plan).unwrap();
}

/// Guards against a target that is removed between its renewal and the next read of the store.
#[test]
fn a_target_is_removed_only_by_a_read_after_the_time_for_renewals() {
    let mut set = TargetSet::default();
    set.upsert(at(0), target("a", 1, 3));
    set.store_unavailable(at(100));
    set.store_available(at(5_000));
    set.apply_list(at(5_000), Vec::new());
    set.read_complete(at(5_000));
    set.tick(at(5_000) + EXPIRY_GRACE + Duration::from_millis(100));
    assert_eq!(set.targets().count(), 1);
    set.upsert(at(7_500), target("a", 2, 3));
    set.read_complete(at(7_500));
    assert_eq!(set.targets().count(), 1);
}

/// Guards against calls to a target whose entry is removed while the daemon that reads that has only
/// just begun to read.
#[test]
fn a_target_removed_at_a_new_reader_is_removed_at_its_peers() {
    let (mut reader, mut peer) = (TargetSet::default(), TargetSet::default());
    let entries = || vec![target("a", 4, 2), target("b", 4, 2)];
    let targets = entries();
    peer.adopt_from_peer(
        at(0),
        PeerTargets {
            targets,
            ..PeerTargets::default()
        },
    );
    reader.apply_list(at(0), entries());
    reader.read_complete(at(0));
    reader.entry_removed(at(500), "a");
    reader.read_complete(at(500));
    let sent = PeerTargets {
        targets: reader.targets().cloned().collect(),
        expiry: reader.expiry_notice(at(600)),
        ..PeerTargets::default()
    };
    peer.adopt_from_peer(at(600), sent);
    let ids: Vec<&str> = peer.targets().map(|t| t.id.as_str()).collect();
    assert_eq!(ids, ["b"]);
}
