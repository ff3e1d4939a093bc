//! Which daemons read the store; the others receive what these have read.
//!
//! Two daemons, the primary readers, read all the time; they are chosen by rendezvous hashing. Any
//! other daemon reads for a few seconds when its data becomes stale. This happens when the primary
//! readers died, when the store refuses them, or when the network between them and the daemon is
//! down. While no daemon can read, all of them together retry at a rate that does not grow with
//! their number.

use {
    crate::{NodeId, Time, rendezvous},
    std::time::Duration,
};

/// Number of daemons that read all the time: two, so that one is left if the other dies.
pub const PRIMARY_READERS: usize = 2;
/// Data that was read longer ago than this is stale. The primary readers read every 0.7 s and pass
/// changes on at once.
pub const STALE_AFTER: Duration = Duration::from_millis(1_600);
/// Time after its start for which a daemon does not act as a primary reader. Until it knows its
/// peers, it would always choose itself.
const SETTLE_TIME: Duration = Duration::from_millis(400);
/// How long a daemon that is not a primary reader reads once its data became stale.
const FALLBACK_READ_TIME: Duration = Duration::from_secs(5);
/// Daemons whose data becomes stale at the same time start to read at random times within a period
/// of this length for each daemon that is alive.
const FALLBACK_DELAY_PER_DAEMON: Duration = Duration::from_millis(40);
/// Upper bound of that period.
const MAX_FALLBACK_DELAY: Duration = Duration::from_millis(1_500);
/// A primary reader whose session failed waits between one and two times this long, at random.
const PRIMARY_RETRY_DELAY: Duration = Duration::from_millis(500);
/// While no daemon can read, those that are not primary readers together make one attempt in this
/// time on average.
const SHARED_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Lower bound of one daemon's mean time between two attempts; it matters with fewer than four
/// daemons.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Whether `me` is one of the [`PRIMARY_READERS`] daemons among `alive` that read all the time.
///
/// Daemons that know the same members agree on the answer.
#[must_use]
pub fn is_primary_reader(me: NodeId, alive: impl IntoIterator<Item = NodeId>) -> bool {
    rendezvous::top(alive, rendezvous::key("store"), PRIMARY_READERS).contains(&me)
}

/// What a daemon's decision to read the store depends on besides time.
#[derive(Clone, Copy, Debug)]
pub struct ReaderContext {
    /// Whether the daemon is a primary reader, see [`is_primary_reader`].
    pub primary: bool,
    /// Number of daemons that are alive.
    pub alive: usize,
    /// A number from 0 to 1 that each daemon draws at random once; it keeps daemons from acting at
    /// the same time.
    pub jitter: f64,
}

/// Decides whether one daemon reads the store.
///
/// ```
/// use rattanturn_core::{Time, readers::{ReaderContext, ReaderRole}};
/// let alone = ReaderContext { primary: true, alive: 1, jitter: 0.5 };
/// let mut role = ReaderRole::new(Time::ZERO, false);
/// assert!(!role.should_read(Time::from_millis(10), alone, Time::ZERO));
/// assert!(role.should_read(Time::from_millis(500), alone, Time::ZERO));
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
        let settled = self.seed || now.since(self.started) >= SETTLE_TIME;
        let primary = settled && context.primary;
        if self.reading {
            self.reading = primary || now < self.fallback_end;
        } else if now >= self.next_try {
            let stale = self.fallback_due(now, context, last_read);
            if stale {
                self.fallback_end = now + FALLBACK_READ_TIME;
            }
            self.reading = primary || stale;
        }
        self.reading
    }

    /// Records that a session ended because the store could not be read, and schedules the next
    /// attempt.
    pub fn session_failed(&mut self, now: Time, context: ReaderContext) {
        let count = u32::try_from(context.alive).unwrap_or(u32::MAX);
        let delay = if context.primary {
            PRIMARY_RETRY_DELAY.mul_f64(1.0 + context.jitter)
        } else {
            let interval = (SHARED_RETRY_INTERVAL * count).max(MIN_RETRY_DELAY);
            interval.mul_f64(0.5 + context.jitter)
        };
        self.reading = false;
        self.fallback_start = None;
        self.next_try = now + delay;
    }

    /// Whether the data has been stale for longer than this daemon's random delay.
    fn fallback_due(&mut self, now: Time, context: ReaderContext, last_read: Time) -> bool {
        if now.since(last_read.max(self.started)) <= STALE_AFTER {
            self.fallback_start = None;
            return false;
        }
        let count = u32::try_from(context.alive).unwrap_or(u32::MAX);
        let wait = (FALLBACK_DELAY_PER_DAEMON * count)
            .min(MAX_FALLBACK_DELAY)
            .mul_f64(context.jitter);
        let due = *self.fallback_start.get_or_insert(now + wait);
        now >= due
    }
}
