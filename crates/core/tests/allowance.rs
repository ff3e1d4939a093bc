//! Quotas of accounts in virtual time: daemons as values, messages with delay and loss.
//!
//! Each case prints what was run, the highest use of a window as a fraction of what the bound allows,
//! and how much less ran than a single token bucket would have let through. The large sizes:
//! `cargo test -p rattanturn-core --test allowance -- --ignored --nocapture`.

use {
    rand::{RngExt, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    rattanturn_core::{
        NodeId, Time,
        allowance::{
            ASK_AGAIN, Allowance, Ask, Bucket, Grant, Lent, Limit, Owner, Permit, Returned, Rules,
            Standing, Take, owner_of,
        },
        rate_share::fraction,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        time::Duration,
    },
};

const RULES: Rules = Rules {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};
/// Longest wait of a request for tokens.
const MAX_WAIT: Duration = Duration::from_millis(60);
const TICK: Duration = Duration::from_millis(50);
/// The same before callers begin.
const IDLE_TICK: Duration = Duration::from_millis(500);
/// Delay from a request until the daemon's control thread has sent its questions.
const FLUSH_DELAY: Duration = Duration::from_micros(500);
/// When callers begin, the fault happens, it ends, and callers stop.
const BEGIN_MS: u64 = 60_000;
const FAULT_MS: u64 = 66_000;
const HEAL_MS: u64 = 74_000;
const END_MS: u64 = 80_000;
/// Time until a killed daemon is started again.
const DOWN_MS: u64 = 300;
/// Time until others notice that a daemon is dead.
const NOTICE_MS: u64 = 800;
/// Requests a second of an account that exceeds any small limit.
const FLOOD: f64 = 400.0;
/// Usual requests of an account as a fraction of its rate.
const USUAL: f64 = 0.6;
/// Factor of the usual rate at which a hot account is called.
const HOT: f64 = 7.5;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    OwnerKilled,
    OwnerCut,
    TwoOwners,
    HalfCut,
    Paused,
    AllRestarted,
    Lowered,
    /// The owner pauses for two seconds several times, so that it loses and regains its accounts.
    Flapping,
    /// The owner leaves and comes back every so many milliseconds, without a pause; a half of the
    /// daemons learns it half of that time later.
    BackAndForth(u64),
    /// Every so many milliseconds the owner leaves for good, so that another daemon follows it.
    Succession(u64),
    /// The owner pauses for the first time, in milliseconds, in each period of the second one.
    Pauses(u64, u64),
    /// No target takes a request, so that each gives its token back some milliseconds later.
    NoTargets,
    /// Daemons are killed every so many milliseconds, so many times, and start `DOWN_MS` later. Each
    /// knows only itself at first.
    Killed(Killed, u64, u64),
}

/// Which daemons are killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Killed {
    All,
    /// The owner of the hot account at the time of the kill.
    Owner,
    /// One daemon after the other.
    InTurn,
    /// At each kill one of the above.
    Mixed,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    daemons: usize,
    accounts: usize,
    /// Limit of the account that is called at `hot` times its usual rate.
    limit: Limit,
    hot: f64,
    /// Whether the hot account is called at one daemon only.
    single: bool,
    fault: Fault,
    loss: f64,
}

enum Message {
    Borrow(Vec<Ask>),
    Lent(Vec<Lent>),
    Returned(Vec<Returned>),
}

enum Event {
    Arrive(usize),
    Wake(usize),
    Deliver(usize, usize, Message),
    Flush(usize),
    Repeat(usize),
    Tick(usize),
    View(usize, Vec<usize>, Standing),
    Limit(usize),
    Pause(usize, Duration),
    Restart(usize),
    Kill(Killed, usize),
    Cut(Option<Vec<bool>>),
    Refund(usize, usize, Permit),
}

struct Waiting {
    daemon: usize,
    account: usize,
    arrived: Time,
    /// Whether a single token bucket would have let it through.
    within: bool,
    done: bool,
}

struct Daemon {
    id: NodeId,
    state: Allowance,
    up: bool,
    paused: Time,
    lowered: bool,
    flushing: bool,
    /// When the daemon asks owners again.
    repeat_at: Time,
}

struct Simulation {
    case: Case,
    rng: ChaCha8Rng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
    daemons: Vec<Daemon>,
    /// Daemons that callers are sent to and that may own accounts.
    advertised: usize,
    names: Vec<String>,
    limits: Vec<Limit>,
    waiting: Vec<Waiting>,
    open: BTreeMap<(usize, usize), Vec<usize>>,
    /// The side of each daemon while the network is partitioned.
    sides: Option<Vec<bool>>,
    ran: Vec<Vec<Time>>,
    /// When requests were refused that a single token bucket would have let through.
    refused: Vec<(usize, Time)>,
    reference: Vec<(Bucket, u64, u64)>,
    served: Vec<u64>,
    arrivals: u64,
    datagrams: u64,
}

/// Limits of the accounts beside the hot one: less than one request a second, and a few.
const OTHERS: [Limit; 3] = [
    Limit {
        rate: 0.3,
        burst: 1.0,
    },
    Limit {
        rate: 2.0,
        burst: 4.0,
    },
    Limit {
        rate: 0.9,
        burst: 0.0,
    },
];

impl Simulation {
    fn new(case: Case, seed: u64) -> Self {
        // Of the larger deployments, about a quarter are large VMs.
        let advertised = if case.daemons > 100 {
            case.daemons * 27 / 100
        } else {
            case.daemons
        };
        let daemons = (0..case.daemons).map(|i| {
            let id = NodeId(i as u64 + 1);
            Daemon {
                id,
                state: Allowance::new(id, RULES, Time::ZERO),
                up: true,
                paused: Time::ZERO,
                lowered: false,
                flushing: false,
                repeat_at: Time::ZERO,
            }
        });
        let limits: Vec<Limit> = (0..case.accounts)
            .map(|a| {
                if a == 0 {
                    case.limit
                } else {
                    OTHERS[a % OTHERS.len()]
                }
            })
            .collect();
        let full = |l: &Limit| (Bucket::new(l.burst.max(1.0), Time::ZERO), 0, 0);
        let mut out = Self {
            case,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            daemons: daemons.collect(),
            advertised,
            names: (0..case.accounts).map(|a| format!("account-{a}")).collect(),
            reference: limits.iter().map(full).collect(),
            limits,
            waiting: Vec::new(),
            open: BTreeMap::new(),
            sides: None,
            ran: vec![Vec::new(); case.accounts],
            refused: Vec::new(),
            served: vec![0; case.accounts],
            arrivals: 0,
            datagrams: 0,
        };
        let all: Vec<usize> = (0..advertised).collect();
        for d in 0..case.daemons {
            out.set_view(d, &all, out.standing(case.daemons));
            let jitter = out.rng.random_range(0..50);
            out.at(jitter, Event::Tick(d));
        }
        for a in 0..case.accounts {
            out.at(BEGIN_MS, Event::Arrive(a));
        }
        out.plan_fault();
        out
    }

    fn standing(&self, alive: usize) -> Standing {
        Standing {
            alive,
            registered: self.case.daemons,
        }
    }

    fn at(&mut self, ms: u64, event: Event) {
        self.push(Time::from_millis(ms), event);
    }

    fn push(&mut self, at: Time, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count)));
        self.events.insert(self.count, event);
    }

    fn set_view(&mut self, d: usize, advertised: &[usize], standing: Standing) {
        let ids: Vec<NodeId> = advertised.iter().map(|i| self.daemons[*i].id).collect();
        let part = fraction(self.advertised, self.case.daemons, d < self.advertised);
        let now = self.now;
        self.daemons[d].state.set_daemons(now, &ids, part, standing);
    }

    /// The owner of the hot account, and the daemon that gets its requests if it has only one.
    fn owner(&self) -> usize {
        let ids: Vec<NodeId> = self.daemons[..self.advertised]
            .iter()
            .map(|d| d.id)
            .collect();
        let owner = owner_of(&self.names[0], &ids).unwrap();
        ids.iter().position(|id| *id == owner).unwrap()
    }

    /// Tells all daemons but those in `except` within a range of milliseconds who is advertised.
    fn views(&mut self, from: u64, spread: u64, except: &[usize], gone: &[usize], alive: usize) {
        let all: Vec<usize> = (0..self.advertised).filter(|d| !gone.contains(d)).collect();
        for d in (0..self.case.daemons).filter(|d| !except.contains(d)) {
            let at = from + self.rng.random_range(0..=spread);
            self.at(at, Event::View(d, all.clone(), self.standing(alive)));
        }
    }

    fn plan_fault(&mut self) {
        let (owner, n) = (self.owner(), self.case.daemons);
        match self.case.fault {
            Fault::None | Fault::NoTargets => {}
            Fault::OwnerKilled => {
                self.at(FAULT_MS, Event::Pause(owner, Duration::from_hours(1)));
                self.views(FAULT_MS + 800, 1_200, &[owner], &[owner], n - 1);
            }
            Fault::OwnerCut => {
                let sides = (0..n).map(|d| d == owner).collect();
                self.at(FAULT_MS, Event::Cut(Some(sides)));
                self.views(FAULT_MS + 800, 1_200, &[owner], &[owner], n - 1);
                // It hears from no other daemon.
                self.at(
                    FAULT_MS + 1_100,
                    Event::View(owner, vec![owner], self.standing(1)),
                );
                self.at(HEAL_MS, Event::Cut(None));
                self.views(HEAL_MS, 1_000, &[], &[], n);
            }
            Fault::TwoOwners => {
                // Half of the daemons learn a second later than the others that the owner left and
                // came back.
                for d in 0..n {
                    let gone = (0..self.advertised).filter(|i| *i != owner).collect();
                    let late = u64::from(d.is_multiple_of(2)) * 1_000;
                    self.at(FAULT_MS + late, Event::View(d, gone, self.standing(n)));
                    let all = (0..self.advertised).collect();
                    self.at(
                        FAULT_MS + 3_000 + late,
                        Event::View(d, all, self.standing(n)),
                    );
                }
            }
            Fault::HalfCut => self.plan_half_cut(),
            Fault::Paused => {
                for d in [owner, (owner + 1) % self.advertised] {
                    self.at(FAULT_MS, Event::Pause(d, Duration::from_millis(6_500)));
                }
                self.views(FAULT_MS + 800, 1_200, &[owner], &[owner], n - 1);
                self.views(FAULT_MS + 7_500, 1_000, &[], &[], n);
            }
            Fault::AllRestarted => {
                for d in 0..n {
                    let at = FAULT_MS + self.rng.random_range(0..300);
                    self.at(at, Event::Restart(d));
                }
                self.views(FAULT_MS + 400, 1_000, &[], &[], n);
            }
            Fault::Lowered => {
                for d in 0..n {
                    let at = FAULT_MS + self.rng.random_range(0..3_000);
                    self.at(at, Event::Limit(d));
                }
            }
            Fault::BackAndForth(period) => {
                let moves = (HEAL_MS - FAULT_MS) / period;
                for round in 0..moves {
                    let gone = if round % 2 == 0 { vec![owner] } else { vec![] };
                    let set: Vec<usize> =
                        (0..self.advertised).filter(|d| !gone.contains(d)).collect();
                    for d in 0..n {
                        let late = if d.is_multiple_of(2) { period / 2 } else { 0 };
                        let at = FAULT_MS + round * period + late;
                        self.at(at, Event::View(d, set.clone(), self.standing(n)));
                    }
                }
                self.views(HEAL_MS + period, 600, &[], &[], n);
            }
            Fault::Succession(period) => {
                let ids: Vec<NodeId> = self.daemons.iter().map(|d| d.id).collect();
                let mut gone = Vec::new();
                for round in 0..(HEAL_MS - FAULT_MS) / period {
                    let left = (0..self.advertised).filter(|d| !gone.contains(d));
                    let left: Vec<NodeId> = left.map(|d| ids[d]).collect();
                    if left.len() < 2 {
                        break;
                    }
                    let first = owner_of(&self.names[0], &left).unwrap();
                    gone.push(ids.iter().position(|id| *id == first).unwrap());
                    let gone = gone.clone();
                    self.views(FAULT_MS + round * period, 200, &[], &gone, n);
                }
                self.views(HEAL_MS + period, 600, &[], &[], n);
            }
            Fault::Pauses(time, period) => self.plan_pauses(owner, time, period),
            Fault::Killed(killed, period, times) => self.plan_kills(killed, period, times),
            Fault::Flapping => {
                for round in 0..4 {
                    let at = FAULT_MS + round * 3_000;
                    self.at(at, Event::Pause(owner, Duration::from_secs(2)));
                    self.views(at + 800, 600, &[owner], &[owner], n - 1);
                    self.views(at + 2_000, 600, &[], &[], n);
                }
            }
        }
    }

    fn plan_pauses(&mut self, owner: usize, time: u64, period: u64) {
        let n = self.case.daemons;
        for round in 0..(HEAL_MS - FAULT_MS) / period {
            let at = FAULT_MS + round * period;
            self.at(at, Event::Pause(owner, Duration::from_millis(time)));
            // A shorter pause is not noticed by others.
            if time > 1_000 {
                self.views(at + 800, 600, &[owner], &[owner], n - 1);
                self.views(at + time, 600, &[], &[], n);
            }
        }
    }

    fn plan_kills(&mut self, killed: Killed, period: u64, times: u64) {
        for round in 0..times {
            let number = usize::try_from(round).unwrap() % self.case.daemons;
            self.at(FAULT_MS + round * period, Event::Kill(killed, number));
        }
    }

    /// Kills daemons. Those that start know only themselves, then as many daemons as are registered,
    /// then all; the others notice the death and the start.
    fn kill(&mut self, killed: Killed, number: usize) {
        let n = self.case.daemons;
        let dead: Vec<usize> = match killed {
            Killed::All => (0..n).collect(),
            Killed::Owner => vec![self.owner()],
            Killed::InTurn => vec![number],
            Killed::Mixed => {
                let kinds = [Killed::All, Killed::Owner, Killed::InTurn];
                let kind = kinds[self.rng.random_range(0..kinds.len())];
                return self.kill(kind, number);
            }
        };
        let now = self.now.micros() / 1_000;
        for d in &dead {
            self.daemons[*d].up = false;
            let start = now + DOWN_MS + self.rng.random_range(0..100);
            self.at(start, Event::Restart(*d));
            let alone = |registered| Standing {
                alive: 1,
                registered,
            };
            self.at(start + 50, Event::View(*d, vec![*d], alone(1)));
            let read = start + self.rng.random_range(100..300);
            self.at(read, Event::View(*d, vec![*d], alone(n)));
            let all = (0..self.advertised).collect();
            let found = start + self.rng.random_range(300..900);
            self.at(found, Event::View(*d, all, self.standing(n)));
        }
        if dead.len() < n {
            self.views(now + NOTICE_MS, 400, &dead, &dead, n - dead.len());
            self.views(now + NOTICE_MS + 400, 400, &dead, &[], n);
        }
    }

    /// Each daemon loses every second other one, and notices it in steps.
    fn plan_half_cut(&mut self) {
        let n = self.case.daemons;
        let side = |d: usize| d.is_multiple_of(2);
        self.at(FAULT_MS, Event::Cut(Some((0..n).map(side).collect())));
        for d in 0..n {
            for step in 1..=4 {
                let at = FAULT_MS + 600 + 400 * step + self.rng.random_range(0..400);
                let lost = |i: &usize| side(*i) != side(d) && (*i as u64 / 2) % 4 < step;
                let seen: Vec<usize> = (0..self.advertised).filter(|i| !lost(i)).collect();
                let alive = (0..n).filter(|i| !lost(i)).count();
                self.at(at, Event::View(d, seen, self.standing(alive)));
            }
        }
        self.at(HEAL_MS, Event::Cut(None));
        self.views(HEAL_MS, 1_000, &[], &[], n);
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > Time::from_millis(END_MS + 1_000) {
                break;
            }
            self.now = at;
            let event = self.events.remove(&id).unwrap();
            self.handle(event);
        }
        self
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive(a) => self.arrive(a),
            Event::Wake(i) => self.wake(i),
            Event::Deliver(from, to, message) => self.deliver(from, to, message),
            Event::Flush(d) if self.runs(d) => self.flush(d),
            Event::Repeat(d) if self.runs(d) && self.daemons[d].repeat_at == now => self.flush(d),
            Event::Tick(d) => {
                if self.runs(d) {
                    let lowered = self.daemons[d].lowered;
                    let limits = self.limits_by_name(lowered);
                    self.daemons[d].state.tick(now, limits);
                    self.flush(d);
                    for (owner, list) in self.daemons[d].state.returns(now) {
                        let to = self.daemons.iter().position(|x| x.id == owner);
                        if let Some(to) = to {
                            self.send(d, to, Message::Returned(list));
                        }
                    }
                }
                let begun = now + IDLE_TICK > Time::from_millis(BEGIN_MS);
                let interval = if begun { TICK } else { IDLE_TICK };
                self.push(now + interval, Event::Tick(d));
            }
            Event::View(d, set, standing) => {
                let paused = self.daemons[d].paused;
                if paused > now {
                    self.push(paused, Event::View(d, set, standing));
                } else if self.daemons[d].up {
                    self.set_view(d, &set, standing);
                }
            }
            Event::Limit(d) => self.daemons[d].lowered = true,
            Event::Pause(d, time) => self.daemons[d].paused = now + time,
            Event::Kill(killed, number) => self.kill(killed, number),
            Event::Restart(d) => {
                let daemon = &mut self.daemons[d];
                daemon.up = true;
                daemon.flushing = false;
                daemon.id = NodeId(daemon.id.0 + 1_000_000);
                daemon.state = Allowance::new(daemon.id, RULES, now);
                daemon.state.set_daemons(now, &[], 0.0, Standing::default());
            }
            Event::Cut(sides) => self.sides = sides,
            Event::Refund(d, a, permit) => {
                let name = &self.names[a];
                self.daemons[d].state.refund(now, name, permit);
            }
            Event::Flush(_) | Event::Repeat(_) => {}
        }
    }

    fn runs(&self, d: usize) -> bool {
        self.daemons[d].up && self.daemons[d].paused <= self.now
    }

    fn limits_by_name(&self, lowered: bool) -> impl Fn(&str) -> Option<Limit> + use<> {
        let limit = self.case.limit;
        move |name: &str| {
            let number: usize = name.strip_prefix("account-")?.parse().ok()?;
            let known = if number == 0 {
                limit
            } else {
                OTHERS[number % OTHERS.len()]
            };
            Some(if lowered { halved(known) } else { known })
        }
    }

    fn limit_at(&self, d: usize, a: usize) -> Limit {
        let limit = self.limits[a];
        if self.daemons[d].lowered {
            halved(limit)
        } else {
            limit
        }
    }

    fn arrive(&mut self, a: usize) {
        let now = self.now;
        let hot = if a == 0 { self.case.hot } else { 1.0 };
        let rate = self.limits[a].rate * USUAL * hot;
        let uniform: f64 = self.rng.random();
        let wait = -(1.0 - uniform).ln() / rate;
        if now + Duration::from_secs_f64(wait) < Time::from_millis(END_MS) {
            self.push(now + Duration::from_secs_f64(wait), Event::Arrive(a));
        }
        if now == Time::from_millis(BEGIN_MS) {
            return; // all accounts would begin at the same moment
        }
        let owner = self.owner();
        let d = if a == 0 && self.case.single {
            (owner + 1) % self.advertised
        } else {
            let up: Vec<usize> = (0..self.advertised).filter(|d| self.runs(*d)).collect();
            up.choose(&mut self.rng).copied().unwrap_or(owner)
        };
        if !self.runs(d) {
            return;
        }
        self.arrivals += 1;
        let limit = self.limits[a];
        let no_targets = self.has_no_targets();
        let (bucket, _, let_through) = &mut self.reference[a];
        let tokens = bucket.refill(now, limit.rate, limit.burst.max(1.0));
        let within = tokens >= 1.0 && !no_targets;
        if within {
            bucket.take(1.0);
            *let_through += 1;
        }
        self.take(d, a, now, within, true);
    }

    fn has_no_targets(&self) -> bool {
        let range = Time::from_millis(FAULT_MS)..Time::from_millis(HEAL_MS);
        self.case.fault == Fault::NoTargets && range.contains(&self.now)
    }

    fn take(&mut self, d: usize, a: usize, arrived: Time, within: bool, first: bool) {
        let limit = self.limit_at(d, a);
        let now = self.now;
        let take = self.daemons[d]
            .state
            .take(now, &self.names[a], limit, first);
        match take {
            Take::Run(permit) if self.has_no_targets() => {
                let later = now + Duration::from_millis(self.rng.random_range(1..300));
                self.push(later, Event::Refund(d, a, permit));
            }
            Take::Run(_) => {
                self.served[a] += 1;
                self.ran[a].push(now);
            }
            Take::Refuse(after) => {
                assert!(after <= Duration::from_secs(15), "{after:?}");
                self.refused.extend(within.then_some((a, now)));
            }
            Take::Wait => {
                self.waiting.push(Waiting {
                    daemon: d,
                    account: a,
                    arrived,
                    within,
                    done: false,
                });
                let id = self.waiting.len() - 1;
                self.open.entry((d, a)).or_default().push(id);
                self.push(now + ASK_AGAIN, Event::Wake(id));
            }
        }
        if self.daemons[d].state.take_news() && !self.daemons[d].flushing {
            self.daemons[d].flushing = true;
            self.push(now + FLUSH_DELAY, Event::Flush(d));
        }
    }

    fn wake(&mut self, id: usize) {
        let Waiting {
            daemon,
            account,
            arrived,
            within,
            done,
        } = self.waiting[id];
        if done {
            return;
        }
        if self.daemons[daemon].paused > self.now {
            let paused = self.daemons[daemon].paused;
            self.push(paused, Event::Wake(id));
            return;
        }
        self.waiting[id].done = true;
        if !self.daemons[daemon].up {
            return;
        }
        self.daemons[daemon].state.end_wait(&self.names[account]);
        if self.now.since(arrived) < MAX_WAIT {
            self.take(daemon, account, arrived, within, false);
        } else {
            self.refused.extend(within.then_some((account, self.now)));
        }
    }

    fn flush(&mut self, d: usize) {
        self.daemons[d].flushing = false;
        for (owner, asks) in self.daemons[d].state.asks(self.now) {
            let to = self.daemons.iter().position(|x| x.id == owner);
            if let Some(to) = to {
                self.send(d, to, Message::Borrow(asks));
            }
        }
        if self.daemons[d].state.has_open_asks() {
            self.daemons[d].repeat_at = self.now + ASK_AGAIN;
            self.push(self.now + ASK_AGAIN, Event::Repeat(d));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.datagrams += 1;
        let cut = self.sides.as_ref().is_some_and(|s| s[from] != s[to]);
        if cut || self.rng.random_bool(self.case.loss) {
            return;
        }
        // Daemons of one data centre are near, others are some milliseconds away.
        let micros = if from % 3 == to % 3 {
            300..900
        } else {
            2_000..9_000
        };
        let delay = Duration::from_micros(self.rng.random_range(micros));
        self.push(self.now + delay, Event::Deliver(from, to, message));
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let now = self.now;
        if !self.daemons[to].up {
            return;
        }
        if self.daemons[to].paused > now {
            // The socket keeps what arrives meanwhile.
            let paused = self.daemons[to].paused;
            self.push(paused, Event::Deliver(from, to, message));
            return;
        }
        match message {
            Message::Borrow(asks) => {
                let id = self.daemons[from].id;
                let limits = self.limits_by_name(self.daemons[to].lowered);
                let answers = self.daemons[to].state.answer(now, id, &asks, limits);
                self.send(to, from, Message::Lent(answers));
            }
            Message::Returned(list) => {
                let id = self.daemons[from].id;
                self.daemons[to].state.take_back(now, id, &list);
            }
            Message::Lent(answers) => {
                self.daemons[to].state.accept(now, &answers);
                for lent in answers {
                    let a = self.names.iter().position(|n| *n == lent.account).unwrap();
                    for id in self.open.remove(&(to, a)).unwrap_or_default() {
                        self.wake(id);
                    }
                }
                self.flush(to);
            }
        }
    }
}

fn halved(limit: Limit) -> Limit {
    Limit {
        rate: limit.rate / 2.0,
        burst: limit.burst / 2.0,
    }
}

/// Highest number of requests in any window, as a fraction of the bound.
fn worst(times: &[Time], limit: Limit) -> f64 {
    let mut first = 0;
    let mut most = 0;
    for (i, at) in times.iter().enumerate() {
        while at.since(times[first]) >= RULES.window {
            first += 1;
        }
        most = most.max(i + 1 - first);
    }
    f64::from(u32::try_from(most).unwrap()) / RULES.bound(limit)
}

/// Runs a case and checks the bound. Returns the fraction of what is within the limit that did not
/// run, for the hot account and for all others.
fn check(case: Case) -> (f64, f64) {
    report(case, &Simulation::new(case, 7).run())
}

fn report(case: Case, done: &Simulation) -> (f64, f64) {
    let mut highest: f64 = 0.0;
    let lowered = Time::from_millis(FAULT_MS + 3_000) + RULES.window;
    for (times, limit) in done.ran.iter().zip(&done.limits) {
        highest = highest.max(worst(times, *limit));
        if case.fault == Fault::Lowered {
            let late: Vec<Time> = times.iter().copied().filter(|t| *t >= lowered).collect();
            highest = highest.max(worst(&late, halved(*limit)));
        }
    }
    let lost = |range: std::ops::Range<usize>| {
        let within: u64 = range.clone().map(|a| done.reference[a].2).sum();
        let less = |a: usize| done.reference[a].2.saturating_sub(done.served[a]);
        let lost: u64 = range.map(less).sum();
        #[allow(clippy::cast_precision_loss)] // far below 2^52
        let part = lost as f64 / within.max(1) as f64;
        part
    };
    let (hot, others) = (lost(0..1), lost(1..case.accounts));
    println!(
        "{:4} daemons, {:5} accounts, rate {} burst {} x{}{}, {:?}, loss {}: {} requests, {} datagrams, \
         highest window {:.2} of the bound, lost of what is within the limit: hot {:.2}%, others {:.2}%",
        case.daemons,
        case.accounts,
        case.limit.rate,
        case.limit.burst,
        case.hot,
        if case.single { " at one" } else { "" },
        case.fault,
        case.loss,
        done.arrivals,
        done.datagrams,
        highest,
        hot * 100.0,
        others * 100.0
    );
    assert!(
        highest <= 1.0,
        "the bound is exceeded: {highest:.3} of it, {case:?}"
    );
    (hot, others)
}

const USUAL_CASE: Case = Case {
    daemons: 8,
    accounts: 10,
    limit: Limit {
        rate: 19.0,
        burst: 19.0,
    },
    hot: HOT,
    single: false,
    fault: Fault::None,
    loss: 0.0,
};

/// Fails if requests within the limit are refused while nothing is wrong.
fn check_steady(daemons: usize, accounts: usize) {
    for (rate, burst) in [(19.0, 19.0), (0.5, 1.0), (100.0, 1.0), (400.0, 0.0)] {
        for (hot, single) in [(1.0, false), (1.0, true), (HOT, false), (HOT, true)] {
            let limit = Limit { rate, burst };
            let case = Case {
                daemons,
                accounts,
                limit,
                hot,
                single,
                ..USUAL_CASE
            };
            let (lost, others) = check(case);
            assert!(lost < 0.01, "{:.2}% of the hot account", lost * 100.0);
            assert!(others < 0.01, "{:.2}% of the others", others * 100.0);
        }
    }
}

const FAULTS: [Fault; 9] = [
    Fault::NoTargets,
    Fault::OwnerKilled,
    Fault::OwnerCut,
    Fault::TwoOwners,
    Fault::HalfCut,
    Fault::Paused,
    Fault::AllRestarted,
    Fault::Lowered,
    Fault::Flapping,
];

/// Fails if a fault lets an account exceed its bound.
fn check_faults(daemons: usize, accounts: usize, loss: f64) {
    for fault in FAULTS {
        for (rate, burst) in [(19.0, 19.0), (1.0, 30.0), (300.0, 100.0)] {
            let limit = Limit { rate, burst };
            check(Case {
                daemons,
                accounts,
                limit,
                fault,
                loss,
                ..USUAL_CASE
            });
        }
    }
}

#[test]
fn requests_within_the_limit_are_served_while_nothing_is_wrong() {
    check_steady(8, 10);
    check_steady(82, 100);
}

#[test]
fn no_fault_lets_an_account_exceed_its_bound() {
    check_faults(8, 10, 0.0);
    check_faults(82, 10, 0.05);
}

/// Guards against a limit that multiplies when the ownership moves again and again: each new owner
/// starts with some tokens.
#[test]
fn ownership_that_moves_again_and_again_does_not_exceed_the_bound() {
    let mut faults = Vec::new();
    for period in [100, 250, 500, 1_000, 1_500, 2_500] {
        faults.push(Fault::BackAndForth(period));
        faults.push(Fault::Succession(period));
    }
    for (time, period) in [
        (300, 500),
        (700, 900),
        (700, 2_000),
        (1_500, 2_000),
        (2_000, 4_000),
    ] {
        faults.push(Fault::Pauses(time, period));
    }
    for fault in faults {
        for (rate, burst) in [(0.3, 1.0), (1.0, 30.0), (19.0, 19.0), (300.0, 100.0)] {
            for daemons in [8, 82] {
                check(Case {
                    daemons,
                    limit: Limit { rate, burst },
                    fault,
                    ..USUAL_CASE
                });
            }
        }
    }
}

/// Guards against a limit that multiplies when daemons are killed again and again: one that has just
/// started knows neither the others nor what they granted before.
#[test]
fn kills_again_and_again_do_not_exceed_the_bound() {
    let (mut exceeded, mut highest): (_, f64) = (Vec::new(), 0.0);
    let series = [
        (8_000, 1),
        (2_000, 2),
        (700, 11),
        (1_000, 8),
        (1_500, 5),
        (2_500, 3),
    ];
    let daemons_and_losses = [(2, 0.0), (4, 0.0), (8, 0.0), (8, 0.1), (30, 0.0)];
    for killed in [Killed::All, Killed::Owner, Killed::InTurn, Killed::Mixed] {
        for (period, times) in series {
            for (rate, burst) in [(0.1, 0.0), (0.5, 1.0), (1.0, 30.0), (19.0, 19.0)] {
                for ((daemons, loss), seed) in daemons_and_losses.into_iter().zip(0..) {
                    let case = Case {
                        daemons,
                        limit: Limit { rate, burst },
                        hot: FLOOD / (rate * USUAL),
                        fault: Fault::Killed(killed, period, times),
                        loss,
                        ..USUAL_CASE
                    };
                    let done = Simulation::new(case, seed).run();
                    let most = worst(&done.ran[0], case.limit);
                    highest = highest.max(most);
                    if most > 1.0 {
                        exceeded.push(format!(
                            "{most:.2} of the bound: {killed:?} killed {times} times, {period} ms apart, \
                             {daemons} daemons, rate {rate}, burst {burst}, loss {loss}, seed {seed}"
                        ));
                    }
                }
            }
        }
    }
    println!("highest window {highest:.2} of the bound");
    let list = exceeded.join("\n");
    assert!(exceeded.is_empty(), "{} cases:\n{list}", exceeded.len());
}

/// Guards against accounts below their limits that are refused for longer than a window after daemons
/// were killed.
#[test]
fn accounts_below_their_limits_are_served_a_window_after_daemons_were_killed() {
    let series = [
        (Killed::All, 1),
        (Killed::All, 2),
        (Killed::All, 4),
        (Killed::Owner, 1),
        (Killed::InTurn, 8),
    ];
    let limits = [
        (0.5, 1.0),
        (1.0, 30.0),
        (4.0, 4.0),
        (19.0, 19.0),
        (100.0, 1.0),
    ];
    for (killed, times) in series {
        // The last start, the time in which the others find it, and a window.
        let last = FAULT_MS + (times - 1) * 1_000 + DOWN_MS + 1_000;
        let end = Time::from_millis(last) + RULES.window;
        let (mut within, mut refused, mut late) = (0, 0, 0);
        for (rate, burst) in limits {
            let case = Case {
                limit: Limit { rate, burst },
                hot: 1.0,
                fault: Fault::Killed(killed, 1_000, times),
                ..USUAL_CASE
            };
            for seed in 0..20 {
                let done = Simulation::new(case, seed).run();
                within += done.reference.iter().map(|r| r.2).sum::<u64>();
                refused += done.refused.len();
                late += done.refused.iter().filter(|(_, at)| *at >= end).count();
            }
        }
        #[allow(clippy::cast_precision_loss)] // far below 2^52
        let part = |n: usize| n as f64 * 100.0 / within as f64;
        println!(
            "{killed:?} killed {times} times: {:.2}% of {within} requests within the limits were \
             refused, {:.2}% after a window",
            part(refused),
            part(late)
        );
        assert!(
            part(late) < 1.0,
            "{:.2}% refused after a window",
            part(late)
        );
    }
}

/// Guards against accounts below their limits that are refused because a question, its answer or both
/// were lost, also in the first window of a process, when its overdraft is small.
#[test]
fn accounts_below_their_limits_are_served_while_half_of_the_datagrams_is_lost() {
    let start = Time::from_millis(FAULT_MS + DOWN_MS);
    let settled = start + RULES.window + Duration::from_millis(100);
    let from = start + Duration::from_secs(3);
    let limit = Limit {
        rate: 20.0,
        burst: 10.0,
    };
    let case = Case {
        daemons: 4,
        limit,
        // 8 requests a second.
        hot: 8.0 / (limit.rate * USUAL),
        fault: Fault::Killed(Killed::All, 8_000, 1),
        loss: 0.5,
        ..USUAL_CASE
    };
    let (mut refused, mut served) = ([0.0; 2], [0.0; 2]);
    for seed in 0..100 {
        let done = Simulation::new(case, seed).run();
        let late = |at: Time| usize::from(at >= settled);
        let hot = done.refused.iter().filter(|(account, _)| *account == 0);
        for (_, at) in hot.filter(|(_, at)| *at >= from) {
            refused[late(*at)] += 1.0;
        }
        for at in done.ran[0].iter().filter(|at| **at >= from) {
            served[late(*at)] += 1.0;
        }
    }
    for (i, time) in ["in the first window", "later"].iter().enumerate() {
        let part = refused[i] * 100.0 / (refused[i] + served[i]);
        println!("{part:.2}% refused {time}");
        assert!(part <= 5.0, "{part:.2}% refused {time}");
    }
}

/// Guards against tokens that are lost with requests that no target took: the account would be refused
/// when its targets are back. `HOT` times the usual rate is 4.5 times the limit.
#[test]
fn tokens_of_requests_that_no_target_took_are_returned() {
    for (rate, burst) in [(0.5, 20.0), (1.0, 30.0), (4.0, 40.0), (19.0, 19.0)] {
        for daemons in [2, 8, 82] {
            let (lost, _) = check(Case {
                daemons,
                limit: Limit { rate, burst },
                fault: Fault::NoTargets,
                ..USUAL_CASE
            });
            // Far above a larger limit, leases are open at many daemons when the targets are back.
            let allowed = if rate < 10.0 { 0.02 } else { 0.05 };
            assert!(lost < allowed, "{:.2}% lost", lost * 100.0);
        }
    }
}

/// Guards against accounts below their limits that are refused for a second after their owner did not
/// run for a moment.
#[test]
fn accounts_below_their_limits_are_served_after_a_short_pause_of_their_owner() {
    const PERIOD: u64 = 4_000;
    for (pause, rate, burst) in [(700, 150.0, 150.0), (700, 19.0, 19.0), (900, 150.0, 150.0)] {
        let case = Case {
            daemons: 5,
            limit: Limit { rate, burst },
            hot: 0.5,
            fault: Fault::Pauses(pause, PERIOD),
            ..USUAL_CASE
        };
        let (mut within, mut refused) = (0, 0);
        for seed in 0..20 {
            let done = Simulation::new(case, seed).run();
            // Requests wait for some tens of milliseconds, and a refusal is repeated for 100 ms.
            let resumed = |at: Time| {
                let from = Time::from_millis(FAULT_MS + pause + 200);
                let passed = at.since(from).as_millis() % u128::from(PERIOD);
                at >= from && passed < u128::from(PERIOD - pause - 200)
            };
            let hot = |r: &&(usize, Time)| r.0 == 0 && resumed(r.1);
            within += done.ran[0].iter().filter(|at| resumed(**at)).count();
            refused += done.refused.iter().filter(hot).count();
        }
        println!("{refused} refused and {within} served after pauses of {pause} ms, rate {rate}");
        assert!(
            refused * 100 <= within,
            "{refused} refused, {within} served"
        );
    }
}

/// An owner that is paused for `pause` after each `run` milliseconds, and the one that others choose
/// meanwhile, both called without a pause from the first one on.
struct Pauses {
    pause: u64,
    run: u64,
    /// Milliseconds from the begin of a pause until the other one is chosen.
    notice: u64,
    /// Milliseconds from the end of a pause until members agree on the owner again.
    agree: u64,
}

impl Pauses {
    /// When tokens were lent.
    fn lent(&self, limit: Limit) -> Vec<Time> {
        const STEP: u64 = 10;
        const CALLS_FROM: u64 = 60_000;
        let ids: Vec<NodeId> = (1..=5).map(NodeId).collect();
        let first = owner_of("a", &ids).unwrap();
        let others: Vec<NodeId> = ids.iter().copied().filter(|id| *id != first).collect();
        let second = owner_of("a", &others).unwrap();
        let mut owners = [first, second].map(|id| {
            let mut owner = Owner::new(id, RULES, Time::ZERO);
            owner.set_daemons(Time::ZERO, &ids);
            let (alive, registered) = (5, 5);
            owner.set_standing(Time::ZERO, Standing { alive, registered });
            owner
        });
        let mut lent = Vec::new();
        for ms in (0..CALLS_FROM + 20_000).step_by(usize::try_from(STEP).unwrap()) {
            let now = Time::from_millis(ms);
            let since = ms.checked_sub(CALLS_FROM);
            let at = since.map(|ms| ms % (self.pause + self.run));
            if at == Some(self.notice) {
                owners[1].set_daemons(now, &others);
            } else if at == Some(self.pause + self.agree) {
                owners[1].set_daemons(now, &ids);
            }
            let paused = at.is_some_and(|at| at < self.pause);
            for (i, owner) in owners
                .iter_mut()
                .enumerate()
                .filter(|(i, _)| *i > 0 || !paused)
            {
                owner.observe(now);
                // The first owner's bucket is in use before.
                let calls = if since.is_some() {
                    u32::MAX
                } else {
                    u32::from(i == 0 && ms % 500 == 0)
                };
                for _ in 0..calls {
                    if !matches!(owner.lend(now, "a", limit, 1), Grant::Lent(_)) {
                        break;
                    }
                    lent.push(now);
                }
            }
        }
        lent
    }
}

/// Guards against limits that multiply because an owner keeps its tokens in a short pause, while others
/// choose another owner.
#[test]
fn short_pauses_of_an_owner_do_not_exceed_the_bound() {
    // Parts of the slack for overdrafts and minorities.
    const OTHER_PARTS: f64 = 0.6;
    let mut highest: f64 = 0.0;
    for (rate, burst) in [
        (0.5, 1.0),
        (1.0, 30.0),
        (19.0, 19.0),
        (100.0, 1.0),
        (150.0, 150.0),
    ] {
        let limit = Limit { rate, burst };
        let leases = rate * RULES.life().as_secs_f64();
        let allowed = RULES.bound(limit) - RULES.slack * OTHER_PARTS - leases;
        for pause in [610, 700, 900, 1_000] {
            for run in [100, 500, 900, 1_100, 1_500, 3_000, 6_000] {
                for (notice, agree) in [(0, 1_000), (400, 1_000), (400, 300), (600, 0)] {
                    let pauses = Pauses {
                        pause,
                        run,
                        notice,
                        agree,
                    };
                    let most = worst(&pauses.lent(limit), limit) * RULES.bound(limit);
                    highest = highest.max(most / allowed);
                    assert!(
                        most <= allowed,
                        "{most:.0} of {allowed:.0}: rate {rate}, burst {burst}, paused {pause} ms after \
                         {run} ms, noticed after {notice} ms, agreed on after {agree} ms"
                    );
                }
            }
        }
    }
    println!("highest window {highest:.2} of what is left for owners");
}

/// An account with many requests a second needs large leases: the number of datagrams is bounded.
#[test]
fn a_fast_account_needs_few_datagrams() {
    let limit = Limit {
        rate: 10_000.0,
        burst: 10_000.0,
    };
    for (hot, single) in [(1.0, false), (1.5, false), (1.0, true)] {
        let case = Case {
            daemons: 82,
            accounts: 1,
            limit,
            hot,
            single,
            ..USUAL_CASE
        };
        let done = Simulation::new(case, 7).run();
        let (lost, _) = report(case, &done);
        assert!(lost < 0.01, "{:.2}% lost", lost * 100.0);
        let seconds = (END_MS - BEGIN_MS) / 1_000;
        let per_daemon = done.datagrams / seconds / 82;
        assert!(
            per_daemon < 80,
            "{per_daemon} datagrams a second and daemon"
        );
    }
}

/// Lost datagrams cost waiting time and some requests, and never exceed the bound.
#[test]
fn lost_datagrams_do_not_exceed_the_bound() {
    for loss in [0.01, 0.1, 0.5] {
        check(Case { loss, ..USUAL_CASE });
        check(Case {
            daemons: 82,
            loss,
            ..USUAL_CASE
        });
    }
}

/// `cargo test -p rattanturn-core --test allowance -- --ignored --nocapture`
#[test]
#[ignore = "large"]
fn large_deployments() {
    check_steady(302, 1_000);
    check_steady(1_000, 10_000);
    check_faults(302, 100, 0.01);
    check_faults(1_000, 10_000, 0.01);
}
