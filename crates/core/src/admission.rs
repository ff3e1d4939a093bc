//! Which requests start under overload.
//!
//! Shedding single calls of a fan-out would leave almost every answer incomplete, so overload is
//! met before the fan-out: each entry VM limits the queries that it runs at once on a pool. The
//! limit follows the pressure that finished queries report, up by addition and down by
//! multiplication. Part of it is kept for higher priorities. A request that could not start in
//! time is refused at once with the time after which to come back.

use {
    crate::{Priority, Time},
    std::{collections::VecDeque, time::Duration},
};

/// Queries at once when a pool is first used.
const INITIAL_LIMIT: f64 = 16.0;
/// The limit never falls below this.
const MIN_LIMIT: f64 = 2.0;
/// The limit never grows above this.
const MAX_LIMIT: f64 = 4_096.0;
/// Factor on the limit when queries report pressure.
const DECREASE: f64 = 0.9;
/// Least time between two decreases.
const DECREASE_INTERVAL: Duration = Duration::from_millis(50);
/// Share of the limit that each priority may use, lowest first.
const SHARES: [f64; 3] = [0.6, 0.85, 1.0];
/// Requests that may wait, for each priority.
const MAX_WAITING: usize = 256;
/// Every so many starts from the queue the lowest priority goes first.
const FAIR_TURN: u64 = 10;
/// A request waits at most this fraction of the time that it has left; one over this.
const WAIT_SHARE: u32 = 3;
/// Time kept for a request, relative to the mean duration.
const SLACK: f64 = 1.5;
/// Weight of a new measurement in the mean duration.
const SMOOTHING: f64 = 0.1;
/// Duration assumed before the first measurement.
const INITIAL_TOOK: f64 = 0.02;

/// A request as admission knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run it now.
    Start,
    /// It waits.
    Queued,
    /// It was not run; the caller may come back after this time.
    Refused(Duration),
}

/// What changed after a request finished or time passed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dispatch {
    /// Requests to run now.
    pub start: Vec<RequestId>,
    /// Requests that were not run and will not be, and when to come back.
    pub refuse: Vec<(RequestId, Duration)>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    id: RequestId,
    deadline: Time,
}

/// Admission to one pool at one entry VM.
///
/// ```
/// use rattanturn_core::{Priority, Time, admission::{Admission, RequestId, Verdict}};
/// let mut admission = Admission::default();
/// let deadline = Time::from_millis(500);
/// let verdict = admission.submit(Time::ZERO, RequestId(1), Priority::High, deadline);
/// assert_eq!(verdict, Verdict::Start);
/// ```
#[derive(Debug)]
pub struct Admission {
    limit: f64,
    running: u32,
    waiting: [VecDeque<Waiting>; 3],
    decreased: Time,
    took: f64,
    turns: u64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            running: 0,
            waiting: Default::default(),
            decreased: Time::ZERO,
            took: INITIAL_TOOK,
            turns: 0,
        }
    }
}

impl Admission {
    /// Queries that may run at once.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Queries that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// A request asks to run.
    pub fn submit(
        &mut self,
        now: Time,
        id: RequestId,
        priority: Priority,
        deadline: Time,
    ) -> Verdict {
        let ahead: usize = self.waiting[priority.index()..]
            .iter()
            .map(VecDeque::len)
            .sum();
        if ahead == 0 && self.fits(priority) {
            self.running += 1;
            return Verdict::Start;
        }
        let wait = self.wait(u32::try_from(ahead).unwrap_or(u32::MAX));
        let full = self.waiting[priority.index()].len() >= MAX_WAITING;
        let late = now + wait + self.needed() > deadline;
        if full || late || wait > deadline.since(now) / WAIT_SHARE {
            return Verdict::Refused(wait);
        }
        self.waiting[priority.index()].push_back(Waiting { id, deadline });
        Verdict::Queued
    }

    /// A running query ended; `overloaded` if its calls had to wait long or were refused as busy.
    pub fn finish(&mut self, now: Time, took: Duration, overloaded: bool) -> Dispatch {
        let full = f64::from(self.running) >= self.limit * SHARES[0];
        self.running = self.running.saturating_sub(1);
        self.took += (took.as_secs_f64() - self.took) * SMOOTHING;
        if overloaded && now.since(self.decreased) >= DECREASE_INTERVAL {
            self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
            self.decreased = now;
        } else if !overloaded && full {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
        self.advance(now)
    }

    /// A waiting request's caller went away.
    pub fn cancel(&mut self, id: RequestId) {
        for queue in &mut self.waiting {
            queue.retain(|w| w.id != id);
        }
    }

    /// Refuses waiting requests that cannot be answered in time and starts others.
    pub fn advance(&mut self, now: Time) -> Dispatch {
        let mut moves = Dispatch::default();
        let needed = self.needed();
        let wait = self.wait(0);
        for queue in &mut self.waiting {
            queue.retain(|w| {
                let late = now + needed > w.deadline;
                if late {
                    moves.refuse.push((w.id, wait));
                }
                !late
            });
        }
        while let Some(id) = self.next() {
            self.running += 1;
            moves.start.push(id);
        }
        moves
    }

    fn next(&mut self) -> Option<RequestId> {
        let lowest_first = self.turns % FAIR_TURN == FAIR_TURN - 1;
        let mut order = Priority::ALL;
        if !lowest_first {
            order.reverse();
        }
        for priority in order {
            // On its turn the lowest priority may use the whole limit.
            let fits = if lowest_first {
                self.fits(Priority::High)
            } else {
                self.fits(priority)
            };
            if fits && let Some(w) = self.waiting[priority.index()].pop_front() {
                self.turns += 1;
                return Some(w.id);
            }
        }
        None
    }

    fn fits(&self, priority: Priority) -> bool {
        f64::from(self.running) < (self.limit * SHARES[priority.index()]).max(1.0)
    }

    /// Time that a request needs once it starts, with room for one slower than the mean.
    fn needed(&self) -> Duration {
        Duration::from_secs_f64(self.took * SLACK)
    }

    fn wait(&self, ahead: u32) -> Duration {
        Duration::from_secs_f64(self.took * (f64::from(ahead) + 1.0) / self.limit)
    }
}
