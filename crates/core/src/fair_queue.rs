//! Orders requests by priority, and within a priority fairly by account, while targets have too
//! little capacity.
//!
//! Without overload every request starts at once. Overload is what a daemon observes: requests that
//! are late while the targets that they need report queues. Only then the requests that run at once
//! are limited, by additive increase and multiplicative decrease; the others wait in order, or are
//! refused before any target has received a call.
//!
//! Requests that use the same targets form a pool. Requests of one priority are ordered by
//! start-time fair queuing with the same cost for each: a waiting account's next request has a tag,
//! the lowest tag starts first, and the account's following request has the next tag. An account
//! that begins to wait gets the tag after the last started one, so nothing is kept for accounts
//! without waiting requests, and it waits for at most one request of each other account.

use {
    crate::Time,
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
};

/// Part of its latency goal that a request may wait.
const WAIT_DIVISOR: u32 = 4;
/// Part of its latency goal after which a request is a sign of overload.
const LATE_FRACTION: f64 = 0.9;
/// The same while targets report queues of [`LONG_QUEUE`]: what waits for a quarter of the goal here
/// still is in time then. Without that condition, routes whose goal is short beside the time that a
/// call runs lost 1% of their requests at 0.95 of the capacity.
const EARLY_FRACTION: f64 = 0.5;
/// Waiting calls for each slot that are a long queue.
const LONG_QUEUE: f64 = 2.0;
/// Reports of a queue in a row after which a service counts as full. A single one is frequent
/// without overload.
const FULL_REPORTS: u32 = 5;
/// Time after which the reports of a service are not considered any more.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Range of the factors by which a limit is cut. Less than half would undershoot after a report that
/// was an outlier.
const CUT_FACTORS: (f64, f64) = (0.5, 0.9);
/// Factor for calls that were refused as busy, which does not tell by how much there were too many.
const BUSY_FACTOR: f64 = 0.7;
/// Part of the ended requests that others replace while more run than the limit allows. If none did,
/// all that waits would be refused after a cut, until the requests from before it have ended.
const REPLACED_FRACTION: f64 = 0.5;
/// Lowest limit: without running requests nothing would be observed.
const MIN_LIMIT: f64 = 1.0;
/// Time from the last cut on after which the limit grows by a part of itself in each round of
/// requests, so that it is right again within a second.
const FAST_GROWTH_AFTER: Duration = Duration::from_millis(500);
/// Growth for each answer whose targets reported empty queues.
const FREE_GROWTH: f64 = 0.5;
/// Growth for each answer then.
const FAST_GROWTH: f64 = 0.25;
/// Time without a cut after which a limit that is not used up is dropped.
const DROP_AFTER: Duration = Duration::from_secs(1);
/// Part of a limit up to which it counts as not used up.
const UNUSED_FRACTION: f64 = 0.75;
/// Most waiting requests of a pool.
const MAX_WAITING: usize = 512;
/// Weight of a new measurement in the moving average of durations.
const DURATION_WEIGHT: f64 = 0.1;
/// Shortest and longest time after which a refused request is to be sent again.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// Identifies a request that was submitted to a [`FairQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request that asks to run.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// What the requests that use the same targets have in common.
    pub pool: &'a str,
    /// Name of the account; requests without one share the empty name.
    pub account: &'a str,
    /// Priority; 0 is the most urgent.
    pub priority: u64,
    /// When it arrived.
    pub arrived: Time,
    /// Time within which its answer is worth most.
    pub goal: Duration,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It starts now.
    Start,
    /// It waits, until this time at the latest; see [`FairQueue::expire`].
    Wait(Ticket, Time),
    /// It has not run; it may be sent again after this time.
    Refuse(Duration),
}

/// Waiting requests about which something was decided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dispatch {
    /// Requests that start now.
    pub start: Vec<Ticket>,
    /// Requests that have not run, each with the time after which it may be sent again.
    pub refuse: Vec<(Ticket, Duration)>,
}

/// What the end of a call tells about its target's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// An answer that states how many calls wait at the target for one of its slots.
    Load {
        /// Waiting calls.
        waiting: u32,
        /// Calls that the target runs at once.
        slots: u32,
    },
    /// The target refused the call as busy.
    Busy,
}

/// A request that started and has ended.
#[derive(Clone, Copy, Debug)]
pub struct Finished<'a> {
    /// Its pool.
    pub pool: &'a str,
    /// When it started.
    pub started: Time,
    /// Time within which its answer was worth most, from its start on.
    pub goal: Duration,
    /// How it ended.
    pub end: End<'a>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
pub enum End<'a> {
    /// Its targets answered, or did not in time.
    Observed {
        /// The services that it asked.
        services: &'a [String],
        /// How many of them had to answer.
        needed: usize,
        /// Whether enough did.
        answered: bool,
    },
    /// It tells nothing, as when its caller left or a peer ran it.
    Unknown,
}

/// The last reports of a service's targets.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceReports {
    /// Reports of a queue in a row, up to [`FULL_REPORTS`]; less one for each of a short queue.
    full: u32,
    /// Factor by which the last report of a queue says that there should be fewer calls.
    factor: f64,
    /// Whether the last report told of an empty queue.
    free: bool,
    at: Time,
}

/// Capacity of all services that a request needs.
enum Capacity {
    /// So many are full that it cannot be answered without them; the factor that follows.
    Full(f64),
    /// Enough of them last reported an empty queue.
    Free,
    Unclear,
}

/// An account's waiting requests.
#[derive(Debug, Default)]
struct Flow {
    /// Tag of the first one; the others have the following ones.
    tag: u64,
    /// Orders equal tags by when each began.
    order: u64,
    waiting: VecDeque<Ticket>,
}

impl Flow {
    /// Tag and order of the last waiting request.
    fn last(&self) -> (u64, u64) {
        let len = u64::try_from(self.waiting.len()).unwrap_or(u64::MAX);
        (self.tag + len.saturating_sub(1), self.order)
    }
}

/// The waiting requests of one priority.
#[derive(Debug, Default)]
struct Level {
    flows: HashMap<String, Flow>,
    /// Accounts by the tag and order of their first request.
    heads: BTreeMap<(u64, u64), String>,
    /// The tag and order of each account's last request.
    tails: BTreeMap<(u64, u64), String>,
    /// Tag of the last request that started.
    last_started: u64,
    waiting: usize,
}

/// Requests that use the same targets.
#[derive(Debug, Default)]
struct Pool {
    running: usize,
    limit: Option<f64>,
    cut_at: Time,
    /// Requests that may start although more run than the limit allows.
    credit: f64,
    mean_secs: f64,
    levels: BTreeMap<u64, Level>,
}

/// Decides which requests of one daemon start, wait or are refused.
///
/// ```
/// use rattanturn_core::{Time, fair_queue::{FairQueue, Request, Verdict}};
/// use std::time::Duration;
/// let mut queue = FairQueue::default();
/// let request = Request {
///     pool: "p",
///     account: "a",
///     priority: 0,
///     arrived: Time::ZERO,
///     goal: Duration::from_millis(200),
/// };
/// // Without overload, any number of requests starts at once.
/// for _ in 0..1_000 {
///     assert_eq!(queue.submit(Time::ZERO, request).0, Verdict::Start);
/// }
/// ```
#[derive(Debug, Default)]
pub struct FairQueue {
    pools: HashMap<String, Pool>,
    services: HashMap<String, ServiceReports>,
    /// Pool, priority and account of each waiting request.
    places: HashMap<Ticket, (String, u64, String)>,
    next: u64,
}

impl FairQueue {
    /// Decides about a request that arrives. The other requests in the result are those that it
    /// displaces.
    pub fn submit(&mut self, now: Time, request: Request<'_>) -> (Verdict, Dispatch) {
        let pool = self.pools.entry(request.pool.to_owned()).or_default();
        pool.drop_unused_limit(now);
        if pool.has_room() && pool.waiting() == 0 {
            pool.running += 1;
            return (Verdict::Start, Dispatch::default());
        }
        let until = request.arrived + request.goal / WAIT_DIVISOR;
        let (own, ahead) = pool.ahead(request.priority, request.account);
        let wait = pool.time_for(ahead + 1);
        let mut displaced = Dispatch::default();
        // The estimate is not exact, so an account with nothing waiting is not refused by it.
        if now >= until || (own > 0 && now + wait > until) {
            return (Verdict::Refuse(retry_time(wait)), displaced);
        }
        if pool.waiting() >= MAX_WAITING {
            let Some(ticket) = pool.displace(request.priority, request.account) else {
                return (Verdict::Refuse(retry_time(wait)), displaced);
            };
            self.places.remove(&ticket);
            displaced.refuse.push((ticket, retry_time(wait)));
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        let level = pool.levels.entry(request.priority).or_default();
        level.push(request.account, ticket, self.next);
        let place = (
            request.pool.to_owned(),
            request.priority,
            request.account.to_owned(),
        );
        self.places.insert(ticket, place);
        (Verdict::Wait(ticket, until), displaced)
    }

    /// Notes what the end of a call tells about a service.
    pub fn report(&mut self, now: Time, service: &str, report: Report) {
        if !self.services.contains_key(service) {
            // Names that the configuration no longer has would take memory without end.
            self.services
                .retain(|_, s| now.since(s.at) <= REPORT_LIFETIME);
            self.services.insert(service.to_owned(), <_>::default());
        }
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        if now.since(known.at) > REPORT_LIFETIME {
            *known = ServiceReports::default();
        }
        known.at = now;
        let factor = match report {
            Report::Busy => Some(BUSY_FACTOR),
            Report::Load { waiting, slots } if waiting.saturating_mul(2) >= slots.max(1) => {
                let (waiting, slots) = (f64::from(waiting), f64::from(slots.max(1)));
                Some(slots / (slots + waiting))
            }
            Report::Load { .. } => None,
        };
        known.free = matches!(report, Report::Load { waiting: 0, .. });
        if let Some(factor) = factor {
            known.full = (known.full + 1).min(FULL_REPORTS);
            known.factor = factor;
        } else if known.free {
            known.full = 0;
        } else {
            known.full = known.full.saturating_sub(1);
        }
    }

    /// Records the end of a request that started.
    pub fn finish(&mut self, now: Time, request: Finished<'_>) -> Dispatch {
        let capacity = self.capacity(now, &request.end);
        let Some(pool) = self.pools.get_mut(request.pool) else {
            return Dispatch::default();
        };
        if let End::Observed { answered, .. } = request.end {
            let took = now.since(request.started);
            let fraction = match capacity {
                Capacity::Full(factor) if factor * (1.0 + LONG_QUEUE) <= 1.0 => EARLY_FRACTION,
                _ => LATE_FRACTION,
            };
            let late = !answered || took > request.goal.mul_f64(fraction);
            let weight = if pool.mean_secs > 0.0 {
                DURATION_WEIGHT
            } else {
                1.0
            };
            pool.mean_secs += (took.as_secs_f64() - pool.mean_secs) * weight;
            match capacity {
                Capacity::Full(factor) if late => pool.cut(now, request.started, factor),
                _ if answered && took <= request.goal => pool.grow(now, &capacity),
                _ => {}
            }
        }
        pool.running = pool.running.saturating_sub(1);
        pool.credit = (pool.credit + REPLACED_FRACTION).min(1.0);
        self.start_waiting(now, request.pool)
    }

    /// Ends the wait of a request whose time has come; the result is the time after which it may be
    /// sent again, or `None` if it does not wait any more.
    pub fn expire(&mut self, ticket: Ticket) -> Option<Duration> {
        let (pool, priority, account) = self.places.get(&ticket)?;
        let pool = self.pools.get(pool)?;
        let (_, ahead) = pool.ahead(*priority, account);
        let after = retry_time(pool.time_for(ahead + 1));
        self.cancel(ticket);
        Some(after)
    }

    /// Removes a waiting request; false if it does not wait any more.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some((name, priority, account)) = self.places.remove(&ticket) else {
            return false;
        };
        if let Some(pool) = self.pools.get_mut(&name) {
            if let Some(level) = pool.levels.get_mut(&priority) {
                level.remove(&account, ticket);
            }
            self.drop_idle(&name);
        }
        true
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.places.len()
    }

    /// The limit of a pool; `None` without overload.
    #[must_use]
    pub fn limit(&self, pool: &str) -> Option<f64> {
        self.pools.get(pool)?.limit
    }

    /// Running requests and limit of each pool, in no order.
    pub fn pools(&self) -> impl Iterator<Item = (&str, usize, Option<f64>)> {
        let pools = self.pools.iter();
        pools.map(|(name, pool)| (name.as_str(), pool.running, pool.limit))
    }

    fn capacity(&self, now: Time, end: &End<'_>) -> Capacity {
        let End::Observed {
            services, needed, ..
        } = end
        else {
            return Capacity::Unclear;
        };
        let known = services.iter().filter_map(|s| self.services.get(s));
        let known = known.filter(|s| now.since(s.at) <= REPORT_LIFETIME);
        let (mut full, mut free) = (Vec::new(), 0);
        for service in known {
            if service.full >= FULL_REPORTS {
                full.push(service.factor);
            }
            free += usize::from(service.free);
        }
        // The request could have been answered without as many services.
        let spare = services.len().saturating_sub(*needed);
        full.sort_by(f64::total_cmp);
        if full.len() > spare {
            return Capacity::Full(full[spare]);
        }
        if free >= *needed {
            return Capacity::Free;
        }
        Capacity::Unclear
    }

    fn start_waiting(&mut self, now: Time, name: &str) -> Dispatch {
        let mut out = Dispatch::default();
        let Some(pool) = self.pools.get_mut(name) else {
            return out;
        };
        while (pool.has_room() || pool.credit >= 1.0)
            && let Some(ticket) = pool.pop()
        {
            pool.credit = 0.0;
            self.places.remove(&ticket);
            pool.running += 1;
            out.start.push(ticket);
        }
        pool.drop_unused_limit(now);
        self.drop_idle(name);
        out
    }

    /// Drops a pool that nothing uses, so that names in old configurations take no memory.
    fn drop_idle(&mut self, name: &str) {
        let idle = |p: &Pool| p.running == 0 && p.limit.is_none() && p.waiting() == 0;
        if self.pools.get(name).is_some_and(idle) {
            self.pools.remove(name);
        }
    }
}

impl Pool {
    fn waiting(&self) -> usize {
        self.levels.values().map(|l| l.waiting).sum()
    }

    fn has_room(&self) -> bool {
        self.limit.is_none_or(|limit| count(self.running) < limit)
    }

    /// Waiting requests of the account, and all that start before its next one.
    fn ahead(&self, priority: u64, account: &str) -> (usize, usize) {
        let more_urgent = self.levels.range(..priority).map(|(_, l)| l.waiting);
        let more_urgent: usize = more_urgent.sum();
        let Some(level) = self.levels.get(&priority) else {
            return (0, more_urgent);
        };
        let own = level.flows.get(account).map_or(0, |f| f.waiting.len());
        let rounds = level.flows.len().max(1) * (own + 1);
        (own, more_urgent + level.waiting.min(rounds))
    }

    /// Time in which so many requests start.
    fn time_for(&self, requests: usize) -> Duration {
        let limit = self.limit.unwrap_or(f64::INFINITY).max(MIN_LIMIT);
        Duration::from_secs_f64(self.mean_secs * count(requests) / limit)
    }

    fn cut(&mut self, now: Time, started: Time, factor: f64) {
        // What started before the last cut still shows the load from before it.
        if self.limit.is_some() && started <= self.cut_at {
            return;
        }
        let running = count(self.running);
        let factor = factor.clamp(CUT_FACTORS.0, CUT_FACTORS.1);
        let limit = self.limit.unwrap_or(running).min(running) * factor;
        self.limit = Some(limit.max(MIN_LIMIT));
        self.cut_at = now;
    }

    fn grow(&mut self, now: Time, capacity: &Capacity) {
        let used = self.waiting() > 0 || !self.is_unused();
        let Some(limit) = self.limit.as_mut().filter(|_| used) else {
            return;
        };
        let fast = now.since(self.cut_at) >= FAST_GROWTH_AFTER;
        *limit += match capacity {
            Capacity::Free => FREE_GROWTH.max(1.0 / *limit),
            Capacity::Unclear if fast => FAST_GROWTH.max(1.0 / *limit),
            // Targets without a free slot have no use for more at first, but other daemons may have
            // less to send by and by.
            Capacity::Full(_) if !fast => 0.0,
            Capacity::Full(_) | Capacity::Unclear => 1.0 / *limit,
        };
    }

    fn is_unused(&self) -> bool {
        let limit = self.limit.unwrap_or(f64::INFINITY);
        count(self.running) < limit * UNUSED_FRACTION
    }

    fn drop_unused_limit(&mut self, now: Time) {
        if now.since(self.cut_at) >= DROP_AFTER && self.waiting() == 0 && self.is_unused() {
            self.limit = None;
        }
    }

    /// Takes the next request to start.
    fn pop(&mut self) -> Option<Ticket> {
        let level = self.levels.values_mut().find(|l| l.waiting > 0)?;
        level.pop()
    }

    /// Removes the request that would start last, if a new one of the account starts before it.
    fn displace(&mut self, priority: u64, account: &str) -> Option<Ticket> {
        let (last_priority, level) = self.levels.iter_mut().rfind(|(_, l)| l.waiting > 0)?;
        let (&(tag, _), name) = level.tails.last_key_value()?;
        let own = level.flows.get(account);
        let own_tag = own.map_or(level.last_started + 1, |f| f.last().0 + 1);
        if *last_priority < priority || (*last_priority == priority && own_tag >= tag) {
            return None;
        }
        let name = name.clone();
        let ticket = *level.flows.get(&name)?.waiting.back()?;
        level.remove(&name, ticket);
        Some(ticket)
    }
}

impl Level {
    fn push(&mut self, account: &str, ticket: Ticket, order: u64) {
        let (tag, waiting) = (self.last_started + 1, VecDeque::new());
        let mut flow = self.take(account).unwrap_or(Flow {
            tag,
            order,
            waiting,
        });
        flow.waiting.push_back(ticket);
        self.put(account, flow);
    }

    fn pop(&mut self) -> Option<Ticket> {
        let account = self.heads.first_key_value()?.1.clone();
        let mut flow = self.take(&account)?;
        let next = flow.waiting.pop_front();
        self.last_started = flow.tag;
        flow.tag += 1;
        self.put(&account, flow);
        next
    }

    fn remove(&mut self, account: &str, ticket: Ticket) {
        if let Some(mut flow) = self.take(account) {
            flow.waiting.retain(|t| *t != ticket);
            self.put(account, flow);
        }
    }

    /// Takes an account out, to change and [`Self::put`] it.
    fn take(&mut self, account: &str) -> Option<Flow> {
        let flow = self.flows.remove(account)?;
        self.heads.remove(&(flow.tag, flow.order));
        self.tails.remove(&flow.last());
        self.waiting -= flow.waiting.len();
        Some(flow)
    }

    /// Inserts an account, unless nothing of it waits.
    fn put(&mut self, account: &str, flow: Flow) {
        if flow.waiting.is_empty() {
            return;
        }
        self.waiting += flow.waiting.len();
        self.heads
            .insert((flow.tag, flow.order), account.to_owned());
        self.tails.insert(flow.last(), account.to_owned());
        self.flows.insert(account.to_owned(), flow);
    }
}

fn retry_time(wait: Duration) -> Duration {
    wait.clamp(RETRY_RANGE.0, RETRY_RANGE.1)
}

fn count(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
