//! Which daemons read the store; the others receive what these have read.
//!
//! Two daemons, the primary readers, read all the time; they are chosen by rendezvous hashing, in
//! two data centres where daemons run in more than one, so that the loss of a data centre leaves a
//! reader. Any other daemon reads for a few seconds when its data becomes stale. This happens when
//! the primary readers died, when the store refuses them, or when the network between them and the
//! daemon is down. Daemons that become stale together start one after the other, in an order that
//! alternates between data centres, so that the first one that succeeds makes the others' reads
//! needless: each reader lists the store and announces to all daemons, so many at once cost more
//! than the outage. While no daemon can read, all of them together retry at a rate that does not
//! grow with their number.

use {
    crate::{
        NodeId, Time,
        addresses::{self, Frontend},
        alternate::alternate_centres,
        rendezvous,
    },
    std::{cmp::Reverse, time::Duration},
};

/// Number of daemons that read all the time: two, so that one is left if the other dies.
pub const PRIMARY_READERS: usize = 2;
/// Data that was read longer ago than this is stale. The primary readers read every 0.7 s and pass
/// changes on at once.
pub const STALE_AFTER: Duration = Duration::from_millis(1_600);
/// A daemon that starts waits for a random part of this time before it acts as a primary reader:
/// until it knows its peers, it would always choose itself. A running peer answers well within this
/// time; if none does, nobody else may read for it, and callers already wait.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// The wait is longer by this time once a peer has answered: the first to answer are those by which
/// daemons find the deployment, and they read without waiting.
const PEER_WAIT: Duration = Duration::from_millis(800);
/// How long a daemon that is not a primary reader reads once its data became stale.
const FALLBACK_READ_TIME: Duration = Duration::from_secs(5);
/// Daemons whose data becomes stale at the same time start to read this long after each other. A
/// reader has read and announced the targets within about this time.
const FALLBACK_STEP: Duration = Duration::from_millis(100);
/// Number of daemons that start one after the other. If none of them has read by then, the network
/// or the store is at fault, and the order tells little about who can read.
const ORDERED_FALLBACKS: usize = 6;
/// The remaining daemons start at random times until this long after their data became stale.
const MAX_FALLBACK_DELAY: Duration = Duration::from_millis(1_500);
/// Time from the end of a read until all other daemons have applied it, and the delays of the timers
/// on the way.
const SPREAD_TIME: Duration = Duration::from_millis(200);
/// Shortest poll, whatever the limit: the platform charges for each call.
const MIN_POLL_TIME: Duration = Duration::from_millis(200);
/// Longest poll, whatever the limit: a dead connection is noticed only when its poll should have ended.
const MAX_POLL_TIME: Duration = Duration::from_millis(1_500);
/// A primary reader whose session failed waits between one and two times this long, at random.
const PRIMARY_RETRY_DELAY: Duration = Duration::from_millis(500);
/// While no daemon can read, those that are not primary readers together make one attempt in this
/// time on average.
const SHARED_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Lower bound of one daemon's mean time between two attempts; it matters with fewer than four
/// daemons.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A daemon that may read the store.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Identity of the daemon.
    pub id: NodeId,
    /// Data centre that it runs in.
    pub centre: &'a str,
}

/// Returns the candidates in the order in which they should read the store.
///
/// The first [`PRIMARY_READERS`] read all the time. The order is that of rendezvous hashing, but the
/// best candidate of every data centre comes before the second best of any. Daemons that know the
/// same members agree on it.
///
/// ```
/// use rattanturn_core::{NodeId, readers::{Candidate, reading_order}};
/// let centres = ["a", "a", "a", "b"];
/// let all = (0..4).map(|i| Candidate { id: NodeId(i), centre: centres[i as usize] });
/// assert!(reading_order(all)[..2].contains(&NodeId(3)));
/// ```
#[must_use]
pub fn reading_order<'a>(candidates: impl IntoIterator<Item = Candidate<'a>>) -> Vec<NodeId> {
    let key = rendezvous::key("store");
    let mut all: Vec<Candidate<'a>> = candidates.into_iter().collect();
    all.sort_by_key(|c| Reverse((rendezvous::score(c.id, key), c.id)));
    let ordered = alternate_centres(all.iter().copied(), |c| c.centre);
    ordered.into_iter().map(|c| c.id).collect()
}

/// Position of `me` in the order in which the daemons of a deployment should read the store.
///
/// The daemons that callers are directed to come first: they are the large ones, and a reader sends
/// every change to all other daemons. One that does not accept callers comes last.
#[must_use]
pub fn reading_rank(me: NodeId, frontends: &[Frontend]) -> usize {
    let order = reading_ranks(frontends);
    let rank = order.iter().position(|id| *id == me);
    rank.unwrap_or(order.len())
}

/// The daemons of a deployment in the order of [`reading_rank`], without those that accept no callers.
///
/// ```
/// use rattanturn_core::readers::reading_ranks;
/// assert_eq!(reading_ranks(&[]), []);
/// ```
#[must_use]
pub fn reading_ranks(frontends: &[Frontend]) -> Vec<NodeId> {
    let large = addresses::advertised(frontends);
    let small = frontends
        .iter()
        .filter(|f| f.accepting && large.iter().all(|l| l.id != f.id));
    let mut order = reading_order(large.iter().copied().map(candidate));
    order.extend(reading_order(small.map(candidate)));
    order
}

fn candidate(frontend: &Frontend) -> Candidate<'_> {
    Candidate {
        id: frontend.id,
        centre: &frontend.centre,
    }
}

/// Longest time of a long poll for objects whose changes must be applied everywhere within `limit`.
///
/// The limit holds even if the polls of both primary readers hang. A poll fails `answer_time` after
/// its own time. Then the readers stop confirming what they read, the other daemons' data becomes
/// stale, and one of them reads.
///
/// ```
/// use {rattanturn_core::readers::poll_time, std::time::Duration};
/// let (limit, answer) = (Duration::from_secs(3), Duration::from_millis(500));
/// assert_eq!(poll_time(limit, answer), Duration::from_millis(600));
/// ```
#[must_use]
pub fn poll_time(limit: Duration, answer_time: Duration) -> Duration {
    let rest = answer_time + STALE_AFTER + FALLBACK_STEP + SPREAD_TIME;
    let longest = limit.saturating_sub(rest);
    longest.clamp(MIN_POLL_TIME, MAX_POLL_TIME)
}

/// What a daemon's decision to read the store depends on besides time.
#[derive(Clone, Copy, Debug)]
pub struct ReaderContext {
    /// Position of the daemon among all that may read, see [`reading_rank`].
    pub rank: usize,
    /// Number of daemons that are alive.
    pub alive: usize,
    /// Whether a peer has newer data, which is to be fetched from it.
    pub peer_has_newer: bool,
    /// A number from 0 to 1 that each daemon draws at random once; it keeps daemons from acting at
    /// the same time.
    pub jitter: f64,
}

impl ReaderContext {
    /// Whether the daemon reads all the time.
    #[must_use]
    pub fn is_primary(&self) -> bool {
        self.rank < PRIMARY_READERS
    }
}

/// Decides whether one daemon reads the store.
///
/// ```
/// use rattanturn_core::{Time, readers::{ReaderContext, ReaderRole}};
/// let alone = ReaderContext { rank: 0, alive: 1, peer_has_newer: false, jitter: 0.5 };
/// let mut role = ReaderRole::new(Time::ZERO, false);
/// assert!(!role.should_read(Time::from_millis(50), alone, Time::ZERO));
/// assert!(role.should_read(Time::from_millis(100), alone, Time::ZERO));
/// ```
#[derive(Clone, Debug)]
pub struct ReaderRole {
    started: Time,
    seed: bool,
    reading: bool,
    /// A daemon that is not a primary reader reads until this time.
    fallback_end: Time,
    /// Earliest time of the next attempt after a failed one.
    next_try: Time,
    /// When this daemon starts to read if its data is still stale then.
    fallback_start: Option<Time>,
}

impl ReaderRole {
    /// Starts without reading. `seed` says that other daemons find the deployment through this one,
    /// so it need not wait for peers before it reads.
    #[must_use]
    pub fn new(now: Time, seed: bool) -> Self {
        Self {
            started: now,
            seed,
            reading: false,
            fallback_end: Time::ZERO,
            next_try: Time::ZERO,
            fallback_start: None,
        }
    }

    /// Whether this daemon should read now. `last_read` is when its data was read from the store by
    /// any daemon.
    ///
    /// Call it regularly; once it returns false, a running session should end.
    pub fn should_read(&mut self, now: Time, context: ReaderContext, last_read: Time) -> bool {
        let primary = context.is_primary() && self.is_settled(now, context, last_read);
        if self.reading {
            self.reading = context.is_primary() || now < self.fallback_end;
        } else if now >= self.next_try {
            let stale = self.fallback_due(now, context, last_read);
            if stale {
                self.fallback_end = now + FALLBACK_READ_TIME;
            }
            self.reading = primary || stale;
        }
        self.reading
    }

    /// Whether a daemon may act as a primary reader: it has data, or it can expect none from a peer.
    fn is_settled(&self, now: Time, context: ReaderContext, last_read: Time) -> bool {
        let alone = context.alive <= 1;
        let wait = if alone { Duration::ZERO } else { PEER_WAIT };
        let wait = wait + SETTLE_TIME.mul_f64(context.jitter);
        let waited = now.since(self.started) >= wait && !context.peer_has_newer;
        self.seed || last_read > Time::ZERO || waited
    }

    /// Records that a session ended because the store could not be read, and schedules the next
    /// attempt.
    pub fn session_failed(&mut self, now: Time, context: ReaderContext) {
        let count = u32::try_from(context.alive).unwrap_or(u32::MAX);
        let delay = if context.is_primary() {
            PRIMARY_RETRY_DELAY.mul_f64(1.0 + context.jitter)
        } else {
            let interval = (SHARED_RETRY_INTERVAL * count).max(MIN_RETRY_DELAY);
            interval.mul_f64(0.5 + context.jitter)
        };
        self.reading = false;
        self.fallback_start = None;
        self.next_try = now + delay;
    }

    /// Whether the data has been stale for longer than this daemon waits for others to read.
    fn fallback_due(&mut self, now: Time, context: ReaderContext, last_read: Time) -> bool {
        if now.since(last_read.max(self.started)) <= STALE_AFTER {
            self.fallback_start = None;
            return false;
        }
        let wait = fallback_wait(context);
        let due = *self.fallback_start.get_or_insert(now + wait);
        now >= due
    }
}

/// How long a daemon whose data became stale waits for others to read.
///
/// The primary readers are the reason why the data is stale, so the order starts after them.
fn fallback_wait(context: ReaderContext) -> Duration {
    let step = |n: usize| FALLBACK_STEP * u32::try_from(n).unwrap_or(u32::MAX);
    let position = context.rank.saturating_sub(PRIMARY_READERS);
    if position < ORDERED_FALLBACKS {
        return step(position);
    }
    let ordered = step(ORDERED_FALLBACKS);
    ordered
        + MAX_FALLBACK_DELAY
            .saturating_sub(ordered)
            .mul_f64(context.jitter)
}
