//! Which daemons read the store, so that the others learn from them.
//!
//! Two daemons of the fleet read all the time, chosen by rank. Any other one reads for a while
//! when what it knows has grown stale, which happens when the readers died, when the store turns
//! them away or when it is cut off from them. While nobody can read, daemons try at a rate that
//! does not grow with their number.

use {
    crate::{NodeId, Time, rendezvous},
    std::time::Duration,
};

/// Daemons that read all the time: one may die and the other goes on.
pub const READERS: usize = 2;
/// What a daemon knows is stale at this age: the readers read each 0.7 s and tell at once.
pub const STALE_AFTER: Duration = Duration::from_millis(1_600);
/// A daemon that started waits this long for peers before it counts itself among the readers.
const SETTLE: Duration = Duration::from_millis(400);
/// How long a daemon reads whose knowledge was stale.
const FALLBACK_READ_TIME: Duration = Duration::from_secs(5);
/// Daemons that find themselves stale at once begin within this time for each of them.
const STAGGER: Duration = Duration::from_millis(40);
/// Longest such wait.
const MAX_STAGGER: Duration = Duration::from_millis(1_500);
/// Pause of a reader whose session ended, at least and at most.
const READER_PAUSE: Duration = Duration::from_millis(500);
/// Time between two tries of a fleet that cannot read, divided among its daemons.
const TRY_INTERVAL: Duration = Duration::from_millis(250);
/// Least pause of one daemon between two tries.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Whether `me` is among the daemons that read all the time.
#[must_use]
pub fn is_primary_reader(me: NodeId, alive: impl IntoIterator<Item = NodeId>) -> bool {
    rendezvous::top(alive, rendezvous::key("store"), READERS).contains(&me)
}

/// What the decision of one daemon to read the store depends on.
#[derive(Clone, Copy, Debug)]
pub struct ReaderContext {
    /// It is among the daemons that read all the time.
    pub primary: bool,
    /// Daemons that live.
    pub alive: usize,
    /// A number from 0 to 1 that differs from daemon to daemon.
    pub jitter: f64,
}

/// One daemon's decision whether to read.
///
/// ```
/// use rattanturn_core::{Time, readers::{ReaderContext, ReaderRole}};
/// let alone = ReaderContext { primary: true, alive: 1, jitter: 0.5 };
/// let mut reading = ReaderRole::new(Time::ZERO, false);
/// assert!(!reading.should_read(Time::from_millis(10), alone, Time::ZERO));
/// assert!(reading.should_read(Time::from_millis(500), alone, Time::ZERO));
/// ```
#[derive(Clone, Debug)]
pub struct ReaderRole {
    started: Time,
    first: bool,
    running: bool,
    until: Time,
    next: Time,
    due: Option<Time>,
}

impl ReaderRole {
    /// `first` daemons are those that others start from; they need not wait for peers.
    #[must_use]
    pub fn new(now: Time, first: bool) -> Self {
        Self {
            started: now,
            first,
            running: false,
            until: Time::ZERO,
            next: Time::ZERO,
            due: None,
        }
    }

    /// Whether this daemon reads now; `read` is when what it knows was read, by any daemon.
    pub fn should_read(&mut self, now: Time, context: ReaderContext, read: Time) -> bool {
        let settled = self.first || now.since(self.started) >= SETTLE;
        let reader = settled && context.primary;
        if self.running {
            self.running = reader || now < self.until;
        } else if now >= self.next {
            let stale = self.stale(now, context, read);
            if stale {
                self.until = now + FALLBACK_READ_TIME;
            }
            self.running = reader || stale;
        }
        self.running
    }

    /// A session ended because the store could not be read.
    pub fn session_failed(&mut self, now: Time, context: ReaderContext) {
        let count = u32::try_from(context.alive).unwrap_or(u32::MAX);
        let pause = if context.primary {
            READER_PAUSE.mul_f64(1.0 + context.jitter)
        } else {
            let fair = (TRY_INTERVAL * count).max(MIN_PAUSE);
            fair.mul_f64(0.5 + context.jitter)
        };
        self.running = false;
        self.due = None;
        self.next = now + pause;
    }

    fn stale(&mut self, now: Time, context: ReaderContext, read: Time) -> bool {
        if now.since(read.max(self.started)) <= STALE_AFTER {
            self.due = None;
            return false;
        }
        let count = u32::try_from(context.alive).unwrap_or(u32::MAX);
        let wait = (STAGGER * count).min(MAX_STAGGER).mul_f64(context.jitter);
        let due = *self.due.get_or_insert(now + wait);
        now >= due
    }
}
