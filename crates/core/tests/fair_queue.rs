//! The order of requests under overload, in virtual time, against first come, first served.
//!
//! Each case prints who was served in time, by priority and for the hot account alone:
//! `cargo test -p rattanturn-core --test fair_queue -- --nocapture`.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rattanturn_core::{
        Time,
        fair_queue::{Dispatch, End, FairQueue, Finished, Report, Request, Ticket, Verdict},
    },
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
};

const GOAL: Duration = Duration::from_millis(200);
const SLOTS: u32 = 3;
const TARGETS: usize = 8;
/// Shortest and longest time that a call runs, in microseconds.
const RUN_MICROS: std::ops::Range<u64> = 10_000..30_000;
/// Requests a second that the targets can run.
const CAPACITY: f64 = 1_200.0;
const ACCOUNTS: usize = 20;
/// Accounts before this one have priority 0, the others 2.
const URGENT: usize = 4;
/// An account with priority 2 that may be hot.
const HOT: usize = 19;
const BEGIN: Duration = Duration::from_secs(4);
const HEAL: Duration = Duration::from_secs(8);
const STOP: Duration = Duration::from_secs(12);

/// What happens from [`BEGIN`] to [`HEAL`].
#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    Nothing,
    /// All accounts send more by this factor.
    Burst(f64),
    /// One account sends more by this factor.
    Hot(f64),
    /// Half of the targets take no new calls.
    Halved,
    /// Half of the targets are slower by this factor.
    Slow(u64),
}

#[derive(Clone, Copy, Debug)]
struct Call {
    daemon: usize,
    account: usize,
    arrived: Time,
    started: Time,
    target: usize,
    open: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival {
        account: usize,
    },
    /// A target has run a call.
    Done {
        call: usize,
    },
    /// A request's time is over.
    Timeout {
        call: usize,
    },
    Expire {
        daemon: usize,
        ticket: Ticket,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: u32,
    in_time: u32,
    waited: u32,
    refused: u32,
}

struct Sim {
    rng: ChaCha8Rng,
    case: Case,
    load: f64,
    goal: Duration,
    daemons: Vec<FairQueue>,
    fair: bool,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    calls: Vec<Call>,
    running: [usize; TARGETS],
    queues: [VecDeque<usize>; TARGETS],
    waiting: HashMap<(usize, Ticket), (usize, Time)>,
    /// Counts by account, of requests that arrived during the case.
    counts: [Counts; ACCOUNTS],
    /// The same for those that arrived more than a second after it.
    after: [Counts; ACCOUNTS],
    /// Refusals while at least a sixth of the slots was free.
    refused_with_room: u32,
    max_late_refusal: Duration,
}

/// Whether the case's fault is present.
fn in_case(now: Time) -> bool {
    (BEGIN..HEAL).contains(&now.since(Time::ZERO))
}

impl Sim {
    fn run(case: Case, load: f64, goal: Duration, daemons: usize, fair: bool, seed: u64) -> Self {
        let mut sim = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            case,
            load,
            goal,
            daemons: (0..daemons).map(|_| FairQueue::default()).collect(),
            fair,
            events: BTreeMap::new(),
            sequence: 0,
            calls: Vec::new(),
            running: [0; TARGETS],
            queues: Default::default(),
            waiting: HashMap::new(),
            counts: [Counts::default(); ACCOUNTS],
            after: [Counts::default(); ACCOUNTS],
            refused_with_room: 0,
            max_late_refusal: Duration::ZERO,
        };
        for account in 0..ACCOUNTS {
            sim.push(Time::from_millis(1), Event::Arrival { account });
        }
        while let Some(((now, _), event)) = sim.events.pop_first() {
            sim.handle(now, event);
        }
        for daemon in &sim.daemons {
            assert_eq!(daemon.waiting(), 0, "requests were left waiting");
        }
        sim
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Counts of the account for a request that arrived at a time.
    fn count(&mut self, account: usize, arrived: Time, change: impl FnOnce(&mut Counts)) {
        if in_case(arrived) {
            change(&mut self.counts[account]);
        } else if arrived.since(Time::ZERO) > HEAL + Duration::from_secs(1) {
            change(&mut self.after[account]);
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrival { account } => self.arrive(now, account),
            Event::Done { call } => self.done(now, call),
            Event::Timeout { call } => {
                if self.calls[call].open {
                    self.finish(now, call, false);
                }
            }
            Event::Expire { daemon, ticket } => {
                if self.waiting.contains_key(&(daemon, ticket)) {
                    let after = self.daemons[daemon].expire(ticket);
                    assert!(after.is_some(), "an expired request was not known");
                    self.refuse(now, daemon, ticket);
                }
            }
        }
    }

    fn arrive(&mut self, now: Time, account: usize) {
        if now.since(Time::ZERO) >= STOP {
            return;
        }
        let factor = match self.case {
            Case::Burst(factor) if in_case(now) => factor,
            Case::Hot(factor) if account == HOT && in_case(now) => factor,
            _ => 1.0,
        };
        let rate = CAPACITY * self.load / f64::from(u32::try_from(ACCOUNTS).unwrap()) * factor;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.push(
            now + Duration::from_secs_f64(gap),
            Event::Arrival { account },
        );
        let daemon = self.rng.random_range(0..self.daemons.len());
        self.count(account, now, |c| c.sent += 1);
        if !self.fair {
            return self.start(now, daemon, account, now);
        }
        let name = account.to_string();
        let request = Request {
            pool: "p",
            account: &name,
            priority: if account < URGENT { 0 } else { 2 },
            arrived: now,
            goal: self.goal,
        };
        let (verdict, displaced) = self.daemons[daemon].submit(now, request);
        match verdict {
            Verdict::Start => self.start(now, daemon, account, now),
            Verdict::Wait(ticket, until) => {
                self.count(account, now, |c| c.waited += 1);
                self.waiting.insert((daemon, ticket), (account, now));
                self.push(until, Event::Expire { daemon, ticket });
            }
            Verdict::Refuse(after) => {
                assert!(after > Duration::ZERO);
                self.note_refusal(now, account, now);
            }
        }
        self.apply(now, daemon, displaced);
    }

    fn note_refusal(&mut self, now: Time, account: usize, arrived: Time) {
        let busy: usize = self.running.iter().sum();
        let targets = if self.case == Case::Halved && in_case(now) {
            TARGETS / 2
        } else {
            TARGETS
        };
        if busy * 6 < targets * SLOTS as usize * 5 {
            self.refused_with_room += 1;
        }
        self.max_late_refusal = self.max_late_refusal.max(now.since(arrived));
        self.count(account, arrived, |c| c.refused += 1);
    }

    fn refuse(&mut self, now: Time, daemon: usize, ticket: Ticket) {
        let (account, arrived) = self.waiting.remove(&(daemon, ticket)).unwrap();
        self.note_refusal(now, account, arrived);
    }

    fn apply(&mut self, now: Time, daemon: usize, dispatch: Dispatch) {
        for ticket in dispatch.start {
            let (account, arrived) = self.waiting.remove(&(daemon, ticket)).unwrap();
            self.start(now, daemon, account, arrived);
        }
        for (ticket, _) in dispatch.refuse {
            self.refuse(now, daemon, ticket);
        }
    }

    /// Calls the less loaded of two targets.
    fn start(&mut self, now: Time, daemon: usize, account: usize, arrived: Time) {
        let usable = if self.case == Case::Halved && in_case(now) {
            TARGETS / 2
        } else {
            TARGETS
        };
        let slow = match self.case {
            Case::Slow(factor) if in_case(now) => usize::try_from(factor).unwrap(),
            _ => 1,
        };
        let expected = |t: &usize| {
            let calls = self.running[*t] + self.queues[*t].len() + 1;
            calls * if *t < TARGETS / 2 { slow } else { 1 }
        };
        let choices = [(); 3].map(|()| self.rng.random_range(0..usable));
        let target = choices.into_iter().min_by_key(expected).unwrap();
        let call = self.calls.len();
        self.calls.push(Call {
            daemon,
            account,
            arrived,
            started: now,
            target,
            open: true,
        });
        self.push(arrived + self.goal * 5, Event::Timeout { call });
        self.queues[target].push_back(call);
        self.run_queue(now, target);
    }

    fn run_queue(&mut self, now: Time, target: usize) {
        while self.running[target] < SLOTS as usize {
            let Some(call) = self.queues[target].pop_front() else {
                return;
            };
            // A target does not run what has passed its deadline.
            if !self.calls[call].open {
                continue;
            }
            self.running[target] += 1;
            let slow = match self.case {
                Case::Slow(factor) if target < TARGETS / 2 && in_case(now) => factor,
                _ => 1,
            };
            let time = Duration::from_micros(self.rng.random_range(RUN_MICROS) * slow);
            self.push(now + time, Event::Done { call });
        }
    }

    fn done(&mut self, now: Time, call: usize) {
        let target = self.calls[call].target;
        let waiting = u32::try_from(self.queues[target].len()).unwrap();
        self.running[target] -= 1;
        self.run_queue(now, target);
        if self.calls[call].open {
            let report = Report::Load {
                waiting,
                slots: SLOTS,
            };
            self.daemons[self.calls[call].daemon].report(now, "s", report);
            self.finish(now, call, true);
        }
    }

    fn finish(&mut self, now: Time, call: usize, answered: bool) {
        self.calls[call].open = false;
        let Call {
            daemon,
            account,
            arrived,
            started,
            ..
        } = self.calls[call];
        if answered && now.since(arrived) <= self.goal {
            self.count(account, arrived, |c| c.in_time += 1);
        }
        if !self.fair {
            return;
        }
        let services = ["s".to_owned()];
        let end = End::Observed {
            services: &services,
            needed: 1,
            answered,
        };
        let finished = Finished {
            pool: "p",
            started,
            goal: self.goal,
            end,
        };
        let dispatch = self.daemons[daemon].finish(now, finished);
        self.apply(now, daemon, dispatch);
    }

    /// Part of the requests of some accounts that was served in time.
    fn in_time(counts: &[Counts]) -> f64 {
        let sum = |f: fn(&Counts) -> u32| f64::from(counts.iter().map(f).sum::<u32>());
        sum(|c| c.in_time) / sum(|c| c.sent).max(1.0)
    }

    fn refused(counts: &[Counts]) -> u32 {
        counts.iter().map(|c| c.refused).sum()
    }
}

/// Parts served in time of a case, averaged over the seeds.
#[derive(Debug, Default)]
struct Outcome {
    urgent: f64,
    others: f64,
    hot: f64,
    all: f64,
    after: f64,
    refused: u32,
    waited: u32,
    refused_after: u32,
    refused_with_room: u32,
    latest_refusal: Duration,
}

const SEEDS: u32 = 5;

fn outcome(case: Case, load: f64, goal: Duration, daemons: usize, fair: bool) -> Outcome {
    let mut out = Outcome::default();
    for seed in 0..SEEDS {
        let sim = Sim::run(case, load, goal, daemons, fair, seed.into());
        let part = 1.0 / f64::from(SEEDS);
        out.urgent += Sim::in_time(&sim.counts[..URGENT]) * part;
        out.others += Sim::in_time(&sim.counts[URGENT..HOT]) * part;
        out.hot += Sim::in_time(&sim.counts[HOT..]) * part;
        out.all += Sim::in_time(&sim.counts) * part;
        out.after += Sim::in_time(&sim.after) * part;
        out.refused += Sim::refused(&sim.counts);
        out.refused_after += Sim::refused(&sim.after);
        out.waited += sim.counts.iter().map(|c| c.waited).sum::<u32>();
        out.refused_with_room += sim.refused_with_room;
        out.latest_refusal = out.latest_refusal.max(sim.max_late_refusal);
    }
    let who = if fair { "fair" } else { "first come" };
    println!(
        "{case:?}, load {load}, goal {goal:?}, {daemons} daemons, {who}: in time: urgent {:.3}, others {:.3}, hot {:.3}, all {:.3}, after {:.3}; \
         waited {}, refused {}, refused afterwards {}, with room {}",
        out.urgent,
        out.others,
        out.hot,
        out.all,
        out.after,
        out.waited,
        out.refused,
        out.refused_after,
        out.refused_with_room
    );
    out
}

/// Runs a case with and without the queue.
fn compare(case: Case, load: f64, daemons: usize) -> (Outcome, Outcome) {
    (
        outcome(case, load, GOAL, daemons, false),
        outcome(case, load, GOAL, daemons, true),
    )
}

/// Guards against a queue that costs anything while there is capacity, also near its limit, and while
/// targets are slow that requests can avoid.
#[test]
fn nothing_waits_or_is_refused_without_overload() {
    for daemons in [1, 4, 16] {
        for load in [0.6, 0.9] {
            let (_, fair) = compare(Case::Nothing, load, daemons);
            assert_eq!((fair.waited, fair.refused), (0, 0));
        }
        let (first, fair) = compare(Case::Slow(4), 0.5, daemons);
        assert!(fair.all >= first.all - 0.01, "{fair:?}");
    }
}

/// Guards against requests that are refused although they would be in time, where the goal is short
/// beside the time that a call runs, and targets are nearly full.
#[test]
fn a_short_goal_alone_is_no_overload() {
    for daemons in [1, 4, 16] {
        for (load, goal_ms) in [(0.9, 45), (0.95, 45), (0.95, 60), (0.98, 60)] {
            let goal = Duration::from_millis(goal_ms);
            let first = outcome(Case::Nothing, load, goal, daemons, false);
            let fair = outcome(Case::Nothing, load, goal, daemons, true);
            assert!(fair.all >= first.all - 0.01, "{first:?} {fair:?}");
        }
    }
}

/// Guards against a burst in which everything is late, and against one that the urgent requests notice.
#[test]
fn a_burst_is_served_by_priority() {
    for (daemons, urgent) in [(1, 0.99), (4, 0.99), (16, 0.9)] {
        let (first, fair) = compare(Case::Burst(2.0), 0.8, daemons);
        check(&first, &fair, urgent);
        // Capacity is for 0.625 of what is sent.
        assert!(fair.all >= 0.6, "{fair:?}");
    }
}

/// Guards against accounts that lose requests because of a hot one although they ask for less than
/// their share. Several daemons do not coordinate, which costs the part that the bounds leave.
#[test]
fn a_hot_account_pays_for_what_it_asks_too_much() {
    for (daemons, urgent, others) in [(1, 0.99, 0.97), (4, 0.99, 0.85), (16, 0.94, 0.74)] {
        let (first, fair) = compare(Case::Hot(15.0), 0.8, daemons);
        check(&first, &fair, urgent);
        assert!(fair.others >= others, "{fair:?}");
        assert!(fair.hot < fair.others, "{fair:?}");
    }
}

/// Guards against losing more than the capacity that is gone, and against a limit that stays low when
/// it is back.
#[test]
fn halved_capacity_is_used_and_full_capacity_again_afterwards() {
    for (daemons, urgent) in [(1, 0.99), (4, 0.97), (16, 0.83)] {
        let (first, fair) = compare(Case::Halved, 0.8, daemons);
        check(&first, &fair, urgent);
        assert!(fair.all >= 0.6, "{fair:?}");
    }
}

fn check(first: &Outcome, fair: &Outcome, urgent: f64) {
    assert!(fair.all > first.all, "{first:?} {fair:?}");
    assert!(fair.urgent >= urgent, "{fair:?}");
    assert!(fair.after >= 0.99 && fair.refused_after == 0, "{fair:?}");
    // When capacity comes or goes, daemons learn of it with the next answers.
    assert!(
        f64::from(fair.refused_with_room) <= 0.01 * f64::from(fair.refused),
        "{fair:?}"
    );
    assert!(fair.latest_refusal <= GOAL / 4, "{fair:?}");
}

fn request(account: &str, priority: u64, arrived: Time) -> Request<'_> {
    Request {
        pool: "p",
        account,
        priority,
        arrived,
        goal: GOAL,
    }
}

/// Ends a request that took `took`, while its service reports the waiting calls.
fn finish(queue: &mut FairQueue, now: Time, took: Duration, waiting: u32) -> Dispatch {
    for _ in 0..5 {
        queue.report(now, "s", Report::Load { waiting, slots: 3 });
    }
    let services = ["s".to_owned()];
    let end = End::Observed {
        services: &services,
        needed: 1,
        answered: true,
    };
    let finished = Finished {
        pool: "p",
        started: now - took,
        goal: GOAL,
        end,
    };
    queue.finish(now, finished)
}

fn limit(queue: &FairQueue) -> Option<f64> {
    queue.pools().next().and_then(|(.., limit)| limit)
}

/// A queue with one running request less than stated and a limit of half as many.
fn overloaded(now: Time, running: u32) -> FairQueue {
    let mut queue = FairQueue::default();
    for _ in 0..running {
        assert_eq!(
            queue.submit(now, request("first", 0, now)).0,
            Verdict::Start
        );
    }
    finish(&mut queue, now, GOAL, 30);
    assert_eq!(limit(&queue), Some(f64::from(running) / 2.0));
    queue
}

fn wait(queue: &mut FairQueue, now: Time, account: &str, priority: u64) -> Ticket {
    // Long enough that the estimate of the wait refuses nothing.
    let goal = GOAL * 100;
    let request = Request {
        goal,
        ..request(account, priority, now)
    };
    match queue.submit(now, request).0 {
        Verdict::Wait(ticket, until) => {
            assert_eq!(until, now + goal / 4);
            ticket
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against a limit from a sign that is none: late answers alone, queues without late answers, a
/// service of a gather that its answer does not need, and old reports.
#[test]
fn only_late_requests_at_full_services_are_overload() {
    let now = Time::from_millis(10_000);
    let start = || {
        let mut queue = FairQueue::default();
        for _ in 0..10 {
            queue.submit(now, request("a", 0, now));
        }
        queue
    };
    for (took, waiting) in [(GOAL * 3, 0), (GOAL * 3, 1), (GOAL / 4, 30)] {
        let mut queue = start();
        finish(&mut queue, now, took, waiting);
        assert_eq!(limit(&queue), None, "{took:?} {waiting}");
    }
    let services: Vec<String> = ["a", "b", "c"].map(Into::into).into();
    for (needed, age, limited) in [(3, 0, true), (2, 0, false), (3, 2_000, false)] {
        let mut queue = start();
        for _ in 0..5 {
            queue.report(now, "a", Report::Busy);
            queue.report(
                now,
                "b",
                Report::Load {
                    waiting: 0,
                    slots: 3,
                },
            );
        }
        let now = now + Duration::from_millis(age);
        let end = End::Observed {
            services: &services,
            needed,
            answered: false,
        };
        let finished = Finished {
            pool: "p",
            started: now - GOAL,
            goal: GOAL,
            end,
        };
        queue.finish(now, finished);
        assert_eq!(limit(&queue).is_some(), limited, "{needed} {age}");
    }
}

/// Guards against an answer that is lost, or a full service that counts as free, by a number out of range.
#[test]
fn a_report_of_more_waiting_calls_than_can_be_doubled_counts_as_full() {
    for waiting in [1 << 31, u32::MAX] {
        let now = Time::from_millis(10_000);
        let mut queue = FairQueue::default();
        for _ in 0..10 {
            queue.submit(now, request("a", 0, now));
        }
        finish(&mut queue, now, GOAL, waiting);
        assert!(limit(&queue).is_some(), "{waiting}");
    }
}

/// Guards against a limit that stays too low: requests are started again within a second of answers
/// in time, whether or not targets report that their queues are empty.
#[test]
fn limit_grows_again_within_a_second() {
    for waiting in [0, 1] {
        let mut now = Time::from_millis(10_000);
        let mut queue = overloaded(now, 10);
        // The limit is far too low: 1 for 50 requests in 50 ms each.
        for _ in 0..9 {
            finish(&mut queue, now, GOAL / 8, 1);
        }
        let begin = now;
        let mut running = 0_usize;
        let mut open = VecDeque::new();
        while now.since(begin) < Duration::from_millis(1_200) {
            now = now + Duration::from_millis(1);
            let (verdict, _) = queue.submit(now, request("a", 0, now));
            if verdict == Verdict::Start {
                open.push_back(now);
            }
            while open.front().is_some_and(|t| now.since(*t) >= GOAL / 4) {
                open.pop_front();
                let started = finish(&mut queue, now, GOAL / 4, waiting).start;
                open.extend(started.iter().map(|_| now));
            }
            running = open.len();
        }
        println!("{running} requests run after a second with {waiting} waiting calls reported");
        assert!(running >= 45, "{running} of 50 run");
    }
}

/// Guards against accounts that get more than others while both wait: they differ by two starts at
/// most in any interval. Also accounts that ask again only when their last request has started.
#[test]
fn waiting_accounts_differ_by_two_starts_at_most() {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let now = Time::from_millis(10_000);
        let mut queue = overloaded(now, 100);
        let names: Vec<String> = (0..6).map(|a| format!("a{a}")).collect();
        let mut owner = HashMap::new();
        for name in &names {
            for _ in 0..=rng.random_range(0..3) {
                owner.insert(wait(&mut queue, now, name, 1), name.clone());
            }
        }
        let mut starts: Vec<String> = Vec::new();
        while starts.len() < 300 {
            for ticket in finish(&mut queue, now, GOAL / 8, 1).start {
                let name = owner.remove(&ticket).unwrap();
                // Every account has a request waiting at any time.
                if !owner.values().any(|n| *n == name) || rng.random_bool(0.3) {
                    owner.insert(wait(&mut queue, now, &name, 1), name.clone());
                }
                starts.push(name);
            }
        }
        for begin in 0..starts.len() {
            let mut counts: HashMap<&str, i32> = names.iter().map(|n| (n.as_str(), 0)).collect();
            for name in &starts[begin..] {
                *counts.get_mut(name.as_str()).unwrap() += 1;
                let (least, most) = (counts.values().min(), counts.values().max());
                assert!(
                    most.unwrap() - least.unwrap() <= 2,
                    "seed {seed}: {counts:?}"
                );
            }
        }
    }
}

/// Guards against a less urgent request that starts before a more urgent one.
#[test]
fn more_urgent_requests_start_first() {
    let now = Time::from_millis(10_000);
    let mut queue = overloaded(now, 100);
    let late = wait(&mut queue, now, "a", 2);
    let urgent = wait(&mut queue, now, "b", 0);
    let middle = wait(&mut queue, now, "c", 1);
    let mut order = Vec::new();
    while order.len() < 3 {
        order.extend(finish(&mut queue, now, GOAL / 8, 1).start);
    }
    assert_eq!(order, [urgent, middle, late]);
}

/// Guards against requests that start, or keep a place, after their callers left; and against memory
/// that idle accounts and pools take.
#[test]
fn cancelled_and_expired_requests_leave_nothing() {
    let now = Time::from_millis(10_000);
    let mut queue = overloaded(now, 100);
    let left = wait(&mut queue, now, "a", 1);
    let stays = wait(&mut queue, now, "a", 1);
    let expires = wait(&mut queue, now, "b", 1);
    assert!(queue.cancel(left) && !queue.cancel(left));
    assert!(
        queue
            .expire(expires)
            .is_some_and(|after| after > Duration::ZERO)
    );
    assert_eq!(queue.expire(expires), None);
    let mut started = Vec::new();
    for _ in 0..99 {
        started.extend(finish(&mut queue, now, GOAL / 8, 1).start);
    }
    assert_eq!(started, [stays]);
    let later = now + Duration::from_secs(2);
    finish(&mut queue, later, GOAL / 8, 0);
    assert_eq!((queue.waiting(), queue.pools().count()), (0, 0));
}

/// Guards against a queue without bound, and against a full one that refuses those who ask for little
/// or are more urgent.
#[test]
fn full_queue_displaces_what_would_start_last() {
    let now = Time::from_millis(10_000);
    let mut queue = overloaded(now, 100);
    let names: Vec<String> = (0..512).map(|a| format!("a{a}")).collect();
    let mut tickets: Vec<Ticket> = names.iter().map(|n| wait(&mut queue, now, n, 1)).collect();
    let last = tickets.pop().unwrap();
    assert_eq!(queue.waiting(), 512);
    let (verdict, displaced) = queue.submit(now, request("less urgent", 2, now));
    assert!(matches!(verdict, Verdict::Refuse(_)) && displaced == Dispatch::default());
    let (verdict, displaced) = queue.submit(now, request("urgent", 0, now));
    assert!(matches!(verdict, Verdict::Wait(..)), "{verdict:?}");
    assert_eq!(displaced.refuse.len(), 1);
    assert_eq!(displaced.refuse[0].0, last);
    assert_eq!(queue.waiting(), 512);
}
