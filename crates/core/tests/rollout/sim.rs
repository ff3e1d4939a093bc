//! A service under a roll-out in virtual time: daemons, targets of two versions, a store and a
//! deciding daemon. Status changes and evidence arrive late, and some evidence is lost.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rattanturn_core::{
        NodeId,
        rollout::{
            Call, Evidence, Limits, Order, Outcome, Rollout, ShareCredit, Situation, State, Use,
            carriers, choose, next,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

pub(crate) const DURATION_MS: u64 = 12_000;
const TICK_MS: u64 = 5;
/// Time at which the order is written.
const ORDER_MS: u64 = 1_700_000_000_000;
const DECISION_MS: u64 = 100;
const QUIET_NEWS_MS: u64 = 500;
/// Most time from a decision until a daemon applies it.
const APPLY_MS: u64 = 300;
const CALL_LIMIT_MS: u64 = 1_000;
/// Lost calls in a row after which a daemon avoids a target, and the time for which it does.
const DOWN_AFTER: u32 = 3;
const DOWN_MS: u64 = 1_000;
const NEWS_LOSS: f64 = 0.05;
const MESSAGE_BYTES: usize = 1_150;
pub(crate) const LIMITS: Limits = Limits {
    exposure: 0.1,
    slack: 50.0,
    rollback: Duration::from_secs(5),
    evacuation: Duration::from_secs(2),
};

/// What is wrong with the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    Failures(f64),
    /// Five times slower in this fraction of answers.
    Slow(f64),
    /// Failures after half of the time.
    Late(f64),
    /// Failures of targets that get at least 0.9 of an old target's usual requests.
    UnderLoad(f64),
    /// Failures on the last route.
    OneRoute(f64),
}

/// What happens beside the roll-out, times in milliseconds after the order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Trouble {
    None,
    /// This fraction of the answers of both versions fail for a second.
    Burst {
        at: u64,
        failed: f64,
    },
    /// The first target of the new version answers nothing for a time.
    Pause {
        at: u64,
        length: u64,
    },
    /// The first target of the new version ends.
    Crash {
        at: u64,
    },
    /// The new targets take five times as long for their first three seconds.
    Cold,
    /// This fraction of the answers of both versions take five times as long.
    Busy {
        slow: f64,
    },
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Site {
    pub(crate) daemons: u64,
    /// Requests a second.
    pub(crate) rate: f64,
    /// Number of routes, which get the same number of requests.
    pub(crate) routes: usize,
    /// Fraction of failures of both versions.
    pub(crate) failed: f64,
    pub(crate) fault: Fault,
    pub(crate) trouble: Trouble,
    /// Time after the order at which the new targets are usable, in milliseconds.
    pub(crate) started: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Result {
    pub(crate) state: Option<State>,
    pub(crate) ended_ms: Option<u64>,
    pub(crate) requests: u64,
    pub(crate) exposed: u64,
    pub(crate) bad: u64,
    pub(crate) bad_50_ms: Option<u64>,
    pub(crate) last_new_ms: u64,
    pub(crate) reason: String,
    /// Changes of the state, with their times and the requests that the version had got.
    pub(crate) steps: Vec<(u64, State, u64)>,
}

impl Result {
    pub(crate) fn exposure_limit(&self) -> f64 {
        let requests = f64::from(u32::try_from(self.requests).unwrap());
        LIMITS.exposure * requests + LIMITS.slack
    }

    pub(crate) fn is_exposed_too_much(&self) -> bool {
        f64::from(u32::try_from(self.exposed).unwrap()) > self.exposure_limit()
    }

    /// Whether a call went to the version too long after its 50th bad answer.
    pub(crate) fn is_too_late(&self) -> bool {
        let limit = LIMITS.rollback.as_millis();
        self.bad_50_ms
            .is_some_and(|at| u128::from(self.last_new_ms) > u128::from(at) + limit)
    }
}

struct Daemon {
    id: NodeId,
    credit: ShareCredit,
    rollout: Rollout,
    evidence: Evidence,
    news: bool,
    urgent: bool,
    told_ms: u64,
    lost: BTreeMap<&'static str, u32>,
    down: BTreeMap<&'static str, u64>,
}

// The flags are independent of each other.
#[allow(clippy::struct_excessive_bools)]
struct Open {
    daemon: usize,
    target: &'static str,
    route: &'static str,
    new: bool,
    failed: bool,
    lost: bool,
    cold: bool,
    started: u64,
}

const ROUTES: [&str; 5] = ["r1", "r2", "r3", "r4", "r5"];
const OLD: [&str; 8] = ["o1", "o2", "o3", "o4", "o5", "o6", "o7", "o8"];
const NEW: [&str; 8] = ["n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"];

pub(crate) struct Sim {
    site: Site,
    rng: ChaCha8Rng,
    now: u64,
    daemons: Vec<Daemon>,
    stored: Rollout,
    /// Arrival of statuses at daemons.
    statuses: BTreeSet<(u64, usize)>,
    merged: Evidence,
    open: BTreeMap<(u64, u64), Open>,
    calls: u64,
    recent: BTreeMap<&'static str, Vec<u64>>,
    result: Result,
}

impl Sim {
    pub(crate) fn run(site: Site, seed: u64) -> Result {
        let mut sim = Self::new(site, seed);
        while sim.now < DURATION_MS + 1_000 {
            sim.tick();
            sim.now += TICK_MS;
        }
        let status = sim.stored.status.as_ref();
        sim.result.state = status.map(|s| s.state);
        sim.result.reason = status.map_or(String::new(), |s| s.reason.clone());
        sim.result
    }

    fn new(site: Site, seed: u64) -> Self {
        let order = Order {
            service: "a".into(),
            version: "v2".into(),
            duration: Duration::from_millis(DURATION_MS),
        };
        let stored = Rollout {
            order,
            status: None,
            revision: 1,
        };
        let daemon = |id| Daemon {
            id: NodeId(id),
            credit: ShareCredit::default(),
            rollout: stored.clone(),
            evidence: Evidence::new("a", "v2", ORDER_MS),
            news: false,
            urgent: false,
            told_ms: 0,
            lost: BTreeMap::new(),
            down: BTreeMap::new(),
        };
        Self {
            site,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            daemons: (0..site.daemons).map(daemon).collect(),
            stored: stored.clone(),
            statuses: BTreeSet::new(),
            merged: Evidence::new("a", "v2", ORDER_MS),
            open: BTreeMap::new(),
            calls: 0,
            recent: BTreeMap::new(),
            result: Result::default(),
        }
    }

    fn tick(&mut self) {
        let mut expected = self.site.rate * 0.001 * 5.0;
        while expected > 0.0 {
            if self.rng.random::<f64>() < expected {
                self.request();
            }
            expected -= 1.0;
        }
        self.finish_calls();
        self.exchange();
        if self.now.is_multiple_of(DECISION_MS) {
            self.decide();
        }
    }

    fn request(&mut self) {
        if self.now < DURATION_MS {
            self.result.requests += 1;
        }
        // Half of the daemons get most requests.
        let half = self.site.daemons.div_ceil(2);
        let count = if self.rng.random_bool(0.8) {
            half
        } else {
            self.site.daemons
        };
        let at = usize::try_from(self.rng.random_range(0..count)).unwrap();
        let daemon = &mut self.daemons[at];
        let uses = choose(Some(&daemon.rollout), Duration::ZERO, &mut daemon.credit);
        let new = uses == Use::New;
        let share = match daemon.rollout.current_state() {
            Some(State::Running { share }) => share,
            _ => 1.0,
        };
        let targets = if new {
            let now = self.now;
            let is_usable = |t: &&str| daemon.down.get(t).is_none_or(|until| *until <= now);
            let usable: Vec<&'static str> = NEW.into_iter().filter(is_usable).collect();
            carriers(&usable, OLD.len(), share)
        } else {
            OLD.to_vec()
        };
        let target = targets[self.rng.random_range(0..targets.len())];
        // `carriers` returns names of NEW.
        let names = OLD.into_iter().chain(NEW);
        let target = names.into_iter().find(|t| *t == target).unwrap();
        self.call(at, target, new);
    }

    fn call(&mut self, daemon: usize, target: &'static str, new: bool) {
        let route = ROUTES[self.rng.random_range(0..self.site.routes)];
        let mut latency = 20.0 * (0.4 * self.normal()).exp();
        let mut failed = self.rng.random_bool(self.site.failed);
        let mut lost = false;
        let mut cold = false;
        if let Trouble::Busy { slow } = self.site.trouble
            && self.rng.random_bool(slow)
        {
            latency *= 5.0;
        }
        if let Trouble::Burst { at, failed: rate } = self.site.trouble
            && (at..at + 1_000).contains(&self.now)
        {
            failed |= self.rng.random_bool(rate);
        }
        if new {
            failed |= self.is_faulty(target, route);
            if let Fault::Slow(rate) = self.site.fault
                && self.rng.random_bool(rate)
            {
                latency *= 5.0;
            }
            match self.site.trouble {
                Trouble::Pause { at, length }
                    if target == first_new() && (at..at + length).contains(&self.now) =>
                {
                    latency += float(at + length - self.now);
                }
                Trouble::Crash { at } if target == first_new() && self.now >= at => {
                    // The connection is refused: the call did not run.
                    self.mark_lost(daemon, target);
                    return;
                }
                Trouble::Cold if self.now < self.site.started + 3_000 => {
                    cold = true;
                    latency *= 5.0;
                }
                _ => {}
            }
            if self.now < DURATION_MS {
                self.result.exposed += 1;
            }
            self.result.last_new_ms = self.now;
        }
        if latency > float(CALL_LIMIT_MS) {
            latency = float(CALL_LIMIT_MS);
            (failed, lost) = (true, true);
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let end = self.now + (latency as u64).max(1);
        self.calls += 1;
        let open = Open {
            daemon,
            target,
            route,
            new,
            failed,
            lost,
            cold,
            started: self.now,
        };
        self.open.insert((end, self.calls), open);
    }

    fn is_faulty(&mut self, target: &'static str, route: &str) -> bool {
        let now = self.now;
        let recent = self.recent.entry(target).or_default();
        recent.push(now);
        recent.retain(|at| at + 500 > now);
        let usual = self.site.rate / 8.0 * 0.5;
        let loaded = float(recent.len() as u64) >= 0.9 * usual;
        let rate = match self.site.fault {
            Fault::Failures(rate) => rate,
            Fault::Late(rate) if now >= DURATION_MS / 2 => rate,
            Fault::UnderLoad(rate) if loaded => rate,
            Fault::OneRoute(rate) if route == ROUTES[self.site.routes - 1] => rate,
            _ => 0.0,
        };
        self.rng.random_bool(rate)
    }

    fn normal(&mut self) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        sum - 6.0
    }

    fn mark_lost(&mut self, daemon: usize, target: &'static str) {
        let daemon = &mut self.daemons[daemon];
        let lost = daemon.lost.entry(target).or_default();
        *lost += 1;
        if *lost >= DOWN_AFTER {
            daemon.down.insert(target, self.now + DOWN_MS);
        }
    }

    fn finish_calls(&mut self) {
        if let Trouble::Crash { at } = self.site.trouble
            && self.now == at
        {
            for ((_, _), open) in &mut self.open {
                if open.target == first_new() {
                    (open.failed, open.lost) = (true, true);
                }
            }
        }
        let later = self.open.split_off(&(self.now + 1, 0));
        for ((end, _), open) in std::mem::replace(&mut self.open, later) {
            self.finish(end, &open);
        }
    }

    fn finish(&mut self, end: u64, open: &Open) {
        if open.lost {
            self.mark_lost(open.daemon, open.target);
        } else {
            self.daemons[open.daemon].lost.remove(open.target);
        }
        let call = Call {
            route: open.route,
            target: open.target,
            new: open.new,
            cold: open.cold,
            outcome: if open.failed {
                Outcome::Failed
            } else {
                Outcome::Answered
            },
            latency: Duration::from_millis(end - open.started),
            at_ms: ORDER_MS + end,
        };
        let daemon = &mut self.daemons[open.daemon];
        daemon.news = true;
        if daemon.evidence.record(daemon.id, &call) {
            daemon.urgent = true;
            self.result.bad += 1;
            if self.result.bad == 50 {
                self.result.bad_50_ms = Some(end);
            }
        }
    }

    /// Daemons tell their evidence and learn the status.
    fn exchange(&mut self) {
        for daemon in &mut self.daemons {
            let quiet = self.now - daemon.told_ms;
            let due = daemon.urgent && quiet >= DECISION_MS || quiet >= QUIET_NEWS_MS;
            if !(daemon.news && due) {
                continue;
            }
            (daemon.news, daemon.urgent, daemon.told_ms) = (false, false, self.now);
            for part in daemon.evidence.split(MESSAGE_BYTES).into_iter().take(2) {
                if !self.rng.random_bool(NEWS_LOSS) {
                    self.merged.merge(&part);
                }
            }
        }
        while let Some((at, daemon)) = self.statuses.first().copied()
            && at <= self.now
        {
            self.statuses.pop_first();
            self.daemons[daemon].rollout = self.stored.clone();
        }
    }

    fn decide(&mut self) {
        let situation = Situation {
            now_ms: ORDER_MS + self.now,
            seen_for: Duration::from_millis(self.now),
            from_start: true,
            silent: Duration::ZERO,
            rollout: &self.stored,
            known: None,
            evidence: &self.merged,
            old_slots: 8,
            new_slots: if self.now >= self.site.started { 8 } else { 0 },
            limits: LIMITS,
        };
        let Some(status) = next(&situation) else {
            return;
        };
        if matches!(status.state, State::Done | State::Reverted) {
            self.result.ended_ms = Some(self.now);
        }
        let exposed = self.result.exposed;
        self.result.steps.push((self.now, status.state, exposed));
        self.stored.status = Some(status);
        self.stored.revision += 1;
        for daemon in 0..self.daemons.len() {
            let delay = self.rng.random_range(20..APPLY_MS);
            self.statuses.insert((self.now + delay, daemon));
        }
    }
}

/// The target that carries the first step.
fn first_new() -> &'static str {
    let first = carriers(&NEW, OLD.len(), 0.08)[0];
    NEW.into_iter().find(|t| *t == first).unwrap()
}

// Times and counts of a run are small.
#[allow(clippy::cast_precision_loss)]
fn float(count: u64) -> f64 {
    count as f64
}
