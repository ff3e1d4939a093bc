//! Admission control: limits how many queries of a pool run at once and sheds the rest.
//!
//! Shedding single calls of a fan-out would leave almost every answer incomplete. Overload is
//! therefore handled before the fan-out: each frontend daemon limits the queries that it runs at
//! once on a pool. The limit adapts to the overload that finished queries report, by additive
//! increase and multiplicative decrease, and part of it is reserved for higher priorities. A
//! request that would have to wait too long to finish before its deadline is refused at once, with
//! the time after which the caller should retry.

use {
    crate::{Priority, Time},
    std::{collections::VecDeque, time::Duration},
};

/// Concurrency limit of a pool that has not been used yet.
const INITIAL_LIMIT: f64 = 16.0;
/// Lower bound of the concurrency limit.
const MIN_LIMIT: f64 = 2.0;
/// Upper bound of the concurrency limit.
const MAX_LIMIT: f64 = 4_096.0;
/// Factor by which the limit shrinks when a query reports overload.
const DECREASE_FACTOR: f64 = 0.9;
/// Minimum time between two decreases of the limit.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(50);
/// Fraction of the limit that each priority may fill, by [`Priority::index`]; the rest is reserved
/// for higher priorities.
const LIMIT_SHARES: [f64; 3] = [0.6, 0.85, 1.0];
/// Maximum number of waiting requests of each priority.
const MAX_WAITING: usize = 256;
/// One start in this many from the queue takes the lowest waiting priority first, so that it is
/// not starved.
const LOW_PRIORITY_TURN: u64 = 10;
/// A request is refused if its estimated wait exceeds the time until its deadline divided by this.
const WAIT_DIVISOR: u32 = 3;
/// Time reserved for running a request, as a multiple of the mean duration of queries.
const RUN_TIME_FACTOR: f64 = 1.5;
/// Weight of a new measurement in the moving average of query durations.
const DURATION_WEIGHT: f64 = 0.1;
/// Query duration in seconds that is assumed before the first measurement.
const INITIAL_MEAN_SECS: f64 = 0.02;

/// Identifies a request within one [`Admission`]. The embedding code chooses the value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Decision about a submitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The caller runs the request now.
    Start,
    /// The request waits; a later [`Dispatch`] starts or refuses it.
    Queued,
    /// The request has not run; the caller should retry after this time.
    Refused(Duration),
}

/// Requests that leave the queue after a query finished or time passed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dispatch {
    /// Requests that the caller runs now.
    pub start: Vec<RequestId>,
    /// Requests that have not run and will not run, each with the time after which to retry.
    pub refuse: Vec<(RequestId, Duration)>,
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    id: RequestId,
    deadline: Time,
}

/// Adaptive concurrency limiter and queue for the queries of one daemon on one pool.
///
/// The caller reports the end of every started query with [`Admission::finish`] and calls
/// [`Admission::advance`] regularly.
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
    /// Waiting requests by [`Priority::index`], in order of arrival.
    waiting: [VecDeque<WaitingRequest>; 3],
    /// Time of the last decrease of the limit.
    decreased_at: Time,
    /// Moving average of query durations.
    mean_secs: f64,
    /// Number of starts from the queue.
    turns: u64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            running: 0,
            waiting: Default::default(),
            decreased_at: Time::ZERO,
            mean_secs: INITIAL_MEAN_SECS,
            turns: 0,
        }
    }
}

impl Admission {
    /// Number of queries that may run at once. It is fractional because each finished query raises
    /// it by less than 1.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Number of running queries.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Starts, queues or refuses a request that must be answered by `deadline`.
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
        if ahead == 0 && self.has_room(priority) {
            self.running += 1;
            return Verdict::Start;
        }
        let wait = self.estimated_wait(u32::try_from(ahead).unwrap_or(u32::MAX));
        let full = self.waiting[priority.index()].len() >= MAX_WAITING;
        let late = now + wait + self.run_time() > deadline;
        if full || late || wait > deadline.since(now) / WAIT_DIVISOR {
            return Verdict::Refused(wait);
        }
        self.waiting[priority.index()].push_back(WaitingRequest { id, deadline });
        Verdict::Queued
    }

    /// Records the end of a running query, which took `took`, and adapts the limit. `overloaded`
    /// means that calls of the query waited long or were refused as busy.
    pub fn finish(&mut self, now: Time, took: Duration, overloaded: bool) -> Dispatch {
        let well_used = f64::from(self.running) >= self.limit * LIMIT_SHARES[0];
        self.running = self.running.saturating_sub(1);
        self.mean_secs += (took.as_secs_f64() - self.mean_secs) * DURATION_WEIGHT;
        if overloaded && now.since(self.decreased_at) >= MIN_DECREASE_INTERVAL {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
            self.decreased_at = now;
        } else if !overloaded && well_used {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
        self.advance(now)
    }

    /// Removes a waiting request whose caller has left; has no effect on a running one.
    pub fn cancel(&mut self, id: RequestId) {
        for queue in &mut self.waiting {
            queue.retain(|w| w.id != id);
        }
    }

    /// Refuses waiting requests that cannot finish before their deadlines and starts others.
    pub fn advance(&mut self, now: Time) -> Dispatch {
        let mut out = Dispatch::default();
        let run_time = self.run_time();
        let wait = self.estimated_wait(0);
        for queue in &mut self.waiting {
            queue.retain(|w| {
                let late = now + run_time > w.deadline;
                if late {
                    out.refuse.push((w.id, wait));
                }
                !late
            });
        }
        while let Some(id) = self.next() {
            self.running += 1;
            out.start.push(id);
        }
        out
    }

    fn next(&mut self) -> Option<RequestId> {
        let lowest_first = self.turns % LOW_PRIORITY_TURN == LOW_PRIORITY_TURN - 1;
        let mut order = Priority::ALL;
        if !lowest_first {
            order.reverse();
        }
        for priority in order {
            // On a low-priority turn any request may use the whole limit. Otherwise a low one would
            // never start while higher priorities fill its share.
            let has_room = if lowest_first {
                self.has_room(Priority::High)
            } else {
                self.has_room(priority)
            };
            if has_room && let Some(w) = self.waiting[priority.index()].pop_front() {
                self.turns += 1;
                return Some(w.id);
            }
        }
        None
    }

    fn has_room(&self, priority: Priority) -> bool {
        f64::from(self.running) < (self.limit * LIMIT_SHARES[priority.index()]).max(1.0)
    }

    /// Time to reserve for running a request, which may be slower than the mean.
    fn run_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_secs * RUN_TIME_FACTOR)
    }

    fn estimated_wait(&self, ahead: u32) -> Duration {
        Duration::from_secs_f64(self.mean_secs * (f64::from(ahead) + 1.0) / self.limit)
    }
}
