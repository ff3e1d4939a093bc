//! Concurrency limit, cold start and priority queue of one target.
//!
//! The daemon that holds the lease on a target counts every call that the target may still be
//! running, so the number of calls in flight never exceeds the limit. A warm target is limited to
//! its slots, a cold one to its smaller cold allowance. The queue learns that a target is cold
//! from the responses to its calls: the target says so, on an answer or a refusal, or its answers
//! suddenly take several times as long. It does not poll health pages, because they lag behind.
//! A call that would have to wait too long to finish before its deadline is refused at once; a
//! refusal guarantees that the call has not run.

use {
    crate::{Priority, Time},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Weight of a new measurement in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Service time assumed before the first measurement.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(5);
/// An answer that takes more than this many times the mean service time counts as slow.
const SLOW_FACTOR: f64 = 4.0;
/// Number of slow answers in a row after which a warm target counts as cold again.
const SLOW_STREAK: u32 = 3;
/// One start in this many takes the lowest waiting priority first, so that it is not starved.
const LOW_PRIORITY_TURN: u64 = 10;
/// Pause before the first attempt at a target that has become unreachable. It doubles with each
/// failed attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of the pause between attempts at an unreachable target.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time for which a target that announced its shutdown gets no calls. After that it is treated
/// like a new target, in case it did not shut down.
const LEAVING_PAUSE: Duration = Duration::from_secs(30);

/// Identifies a call within one queue. The embedding code chooses the value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Concurrency limits of a target, from the operators' tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLimits {
    /// Number of concurrent calls while the target is warm.
    pub slots: u32,
    /// Number of concurrent calls while the target is cold; must not exceed `slots`.
    pub cold_calls: u32,
    /// Time in which the limit rises linearly from `cold_calls` to `slots`. It starts with the
    /// first warm answer after a cold phase.
    pub cold_ramp: Duration,
}

/// A call to be run at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// Must differ from the ids of all other calls that are waiting or running.
    pub id: CallId,
    /// Waiting calls of a higher priority start first.
    pub priority: Priority,
    /// Time by which the call must have finished; an answer after it is of no use.
    pub deadline: Time,
}

/// Why a call was refused. A refused call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The target has no free slot in time for the call to finish before its deadline.
    Busy,
    /// The target has announced that it is shutting down.
    Draining,
    /// The target is unreachable and its backoff has not ended.
    Down,
}

/// Decision about a submitted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The caller sends the call now.
    Start,
    /// The call waits for a slot; a later [`Dispatch`] starts or refuses it.
    Queued,
    /// The call has not run and will not run.
    Refused(Refusal),
}

/// How a call at the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The target answered.
    Answered {
        /// The answer says that the target is cold.
        cold: bool,
    },
    /// The target refused the call because it is overloaded.
    Shed {
        /// The refusal says that the target is cold.
        cold: bool,
    },
    /// The target refused the call because it is shutting down.
    Leaving,
    /// The connection could not be opened or broke during the call.
    Unreachable,
    /// The call was cancelled before it finished.
    Cancelled,
}

/// Calls that leave the queue after a call ended or time passed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dispatch {
    /// Calls that the caller sends now.
    pub start: Vec<CallId>,
    /// Calls that have not run and will not run.
    pub refuse: Vec<(CallId, Refusal)>,
}

/// State in which a cancellation found the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The call was waiting and has been removed; it has not run.
    Dequeued,
    /// The call is running. The caller cancels it at the target and still reports its end with
    /// [`TargetQueue::complete`].
    InFlight,
    /// The call has ended or is unknown.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum WarmupState {
    /// There was no answer yet, or none since the target announced its shutdown. The limit is that
    /// of a cold target, but the first warm answer lifts it to all slots without a ramp.
    Unknown,
    Cold,
    /// The target has answered as warm since this time; the limit rises.
    Ramping(Time),
    Warm,
    /// The target is unreachable. No call starts until this time, then one at a time; the duration
    /// is the length of the backoff.
    Down(Time, Duration),
}

/// Queue and concurrency limiter of one target.
///
/// The caller reports the end of every started call with [`TargetQueue::complete`] and calls
/// [`TargetQueue::advance`] regularly.
///
/// ```
/// use {rattanturn_core::{Priority, Time, queue::*}, std::time::Duration};
/// let limits = TargetLimits { slots: 2, cold_calls: 1, cold_ramp: Duration::from_secs(5) };
/// let mut queue = TargetQueue::new(limits);
/// let (priority, deadline) = (Priority::Normal, Time::from_millis(500));
/// let call = |n| CallRequest { id: CallId(n), priority, deadline };
/// assert_eq!(queue.submit(Time::ZERO, &call(1)), Verdict::Start);
/// assert_eq!(queue.submit(Time::ZERO, &call(2)), Verdict::Queued);
/// let end = CallEnd::Answered { cold: false };
/// let dispatch = queue.complete(Time::from_millis(4), CallId(1), end);
/// assert_eq!(dispatch.start, [CallId(2)]);
/// ```
#[derive(Debug)]
pub struct TargetQueue {
    limits: TargetLimits,
    state: WarmupState,
    /// Set when the target announces its shutdown, cleared by its next answer.
    leaving_until: Option<Time>,
    /// Start time of each running call.
    running: BTreeMap<CallId, Time>,
    /// Waiting calls by [`Priority::index`], in order of arrival.
    waiting: [VecDeque<CallRequest>; 3],
    service_time: Duration,
    slow_streak: u32,
    starts: u64,
}

impl TargetQueue {
    /// Creates a queue for a target that has not answered yet; it is limited like a cold one.
    #[must_use]
    pub fn new(limits: TargetLimits) -> Self {
        Self {
            limits,
            state: WarmupState::Unknown,
            leaving_until: None,
            running: BTreeMap::new(),
            waiting: Default::default(),
            service_time: INITIAL_SERVICE_TIME,
            slow_streak: 0,
            starts: 0,
        }
    }

    /// Replaces the limits and keeps what is known of the target.
    pub fn set_limits(&mut self, limits: TargetLimits) {
        self.limits = limits;
    }

    /// Number of calls that the target may run at once at `now`; 0 during a backoff.
    #[must_use]
    pub fn limit(&self, now: Time) -> u32 {
        let (cold, slots) = (self.limits.cold_calls, self.limits.slots);
        match self.state {
            WarmupState::Unknown | WarmupState::Cold => cold,
            WarmupState::Warm => slots,
            WarmupState::Down(until, _) => u32::from(now >= until),
            WarmupState::Ramping(since) => {
                let progress = now.since(since).as_secs_f64() / self.limits.cold_ramp.as_secs_f64();
                let extra = f64::from(slots.saturating_sub(cold)) * progress.min(1.0);
                // The progress is capped at 1, so the sum is at most `slots`.
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                let extra = extra as u32;
                cold + extra
            }
        }
    }

    /// Number of calls that the target may still be running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of calls that wait for a slot.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Moving average of the time from a call's start to its answer.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Name of the target's state, as the state dump shows it.
    #[must_use]
    pub fn state_name(&self) -> &'static str {
        match self.state {
            _ if self.leaving_until.is_some() => "leaving",
            WarmupState::Unknown => "unknown",
            WarmupState::Cold => "cold",
            WarmupState::Ramping(_) => "ramping",
            WarmupState::Warm => "warm",
            WarmupState::Down(..) => "down",
        }
    }

    /// Estimated time until a new call of `priority` would start: it waits for all running calls
    /// and for the waiting calls of its own and higher priorities.
    #[must_use]
    pub fn estimated_wait(&self, now: Time, priority: Priority) -> Duration {
        let limit = self.limit(now);
        let ahead: usize = self.waiting[priority.index()..]
            .iter()
            .map(VecDeque::len)
            .sum();
        let busy = self.running.len() + ahead;
        if limit == 0 {
            return MAX_BACKOFF;
        }
        let rounds = u32::try_from(busy).unwrap_or(u32::MAX) / limit;
        self.service_time * rounds
    }

    /// Starts, queues or refuses a call.
    pub fn submit(&mut self, now: Time, call: &CallRequest) -> Verdict {
        if self.is_leaving(now) {
            return Verdict::Refused(Refusal::Draining);
        }
        if self.limit(now) == 0 {
            return Verdict::Refused(Refusal::Down);
        }
        if self.has_free_slot(now) && self.waiting() == 0 {
            self.start(now, call.id);
            return Verdict::Start;
        }
        if now + self.estimated_wait(now, call.priority) + self.service_time > call.deadline {
            return Verdict::Refused(Refusal::Busy);
        }
        self.waiting[call.priority.index()].push_back(*call);
        Verdict::Queued
    }

    /// Records the end of a running call and dispatches waiting calls. Has no effect if the call is
    /// not running.
    pub fn complete(&mut self, now: Time, id: CallId, end: CallEnd) -> Dispatch {
        let Some(started) = self.running.remove(&id) else {
            return Dispatch::default();
        };
        match end {
            CallEnd::Answered { cold } => {
                self.leaving_until = None;
                self.answered(now, now.since(started), cold);
            }
            CallEnd::Shed { cold } => {
                if cold {
                    self.state = WarmupState::Cold;
                }
            }
            CallEnd::Leaving => {
                self.leaving_until = Some(now + LEAVING_PAUSE);
                self.state = WarmupState::Unknown;
            }
            CallEnd::Unreachable => self.unreachable(now),
            CallEnd::Cancelled => {}
        }
        self.advance(now)
    }

    /// Removes a call from the queue if it still waits. A running call keeps its slot until
    /// [`TargetQueue::complete`], because the target may still be working on it.
    pub fn cancel(&mut self, id: CallId) -> Cancelled {
        for queue in &mut self.waiting {
            if let Some(i) = queue.iter().position(|c| c.id == id) {
                queue.remove(i);
                return Cancelled::Dequeued;
            }
        }
        if self.running.contains_key(&id) {
            Cancelled::InFlight
        } else {
            Cancelled::Gone
        }
    }

    /// Refuses waiting calls that cannot finish before their deadlines and starts others. All
    /// waiting calls are refused while the target is down or shutting down.
    pub fn advance(&mut self, now: Time) -> Dispatch {
        if let WarmupState::Ramping(since) = self.state
            && now.since(since) >= self.limits.cold_ramp
        {
            self.state = WarmupState::Warm;
        }
        let mut out = Dispatch::default();
        let refusal = if self.is_leaving(now) {
            Some(Refusal::Draining)
        } else if self.limit(now) == 0 {
            Some(Refusal::Down)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            let all = self.waiting.iter_mut().flat_map(|q| q.drain(..));
            out.refuse = all.map(|c| (c.id, refusal)).collect();
            return out;
        }
        self.refuse_late(now, &mut out);
        while self.has_free_slot(now) {
            let Some(call) = self.next() else { break };
            self.start(now, call.id);
            out.start.push(call.id);
        }
        out
    }

    fn answered(&mut self, now: Time, took: Duration, cold: bool) {
        let slow = took.as_secs_f64() > self.service_time.as_secs_f64() * SLOW_FACTOR;
        self.slow_streak = if slow { self.slow_streak + 1 } else { 0 };
        if cold || (self.slow_streak >= SLOW_STREAK && self.state == WarmupState::Warm) {
            self.state = WarmupState::Cold;
            self.slow_streak = 0;
        } else if !slow {
            self.state = match self.state {
                WarmupState::Unknown => WarmupState::Warm,
                WarmupState::Cold | WarmupState::Down(..) => WarmupState::Ramping(now),
                state => state,
            };
        }
        let mean = self.service_time.as_secs_f64() * (1.0 - SERVICE_TIME_WEIGHT)
            + took.as_secs_f64() * SERVICE_TIME_WEIGHT;
        self.service_time = Duration::from_secs_f64(mean);
    }

    fn unreachable(&mut self, now: Time) {
        let backoff = match self.state {
            // One lost connection breaks several calls but counts as one failure.
            WarmupState::Down(until, _) if until > now => return,
            WarmupState::Down(_, last) => (last * 2).min(MAX_BACKOFF),
            _ => INITIAL_BACKOFF,
        };
        self.state = WarmupState::Down(now + backoff, backoff);
    }

    /// Refuses waiting calls that would miss their deadlines even if they started now.
    fn refuse_late(&mut self, now: Time, out: &mut Dispatch) {
        let service_time = self.service_time;
        for queue in &mut self.waiting {
            queue.retain(|call| {
                let late = now + service_time > call.deadline;
                if late {
                    out.refuse.push((call.id, Refusal::Busy));
                }
                !late
            });
        }
    }

    fn next(&mut self) -> Option<CallRequest> {
        let lowest_first = self.starts % LOW_PRIORITY_TURN == LOW_PRIORITY_TURN - 1;
        if lowest_first {
            self.waiting.iter_mut().find_map(VecDeque::pop_front)
        } else {
            self.waiting.iter_mut().rev().find_map(VecDeque::pop_front)
        }
    }

    /// Whether the target gets no new calls because it announced its shutdown.
    fn is_leaving(&self, now: Time) -> bool {
        self.leaving_until.is_some_and(|t| now < t)
    }

    fn has_free_slot(&self, now: Time) -> bool {
        self.running.len() < self.limit(now) as usize
    }

    fn start(&mut self, now: Time, id: CallId) {
        self.starts += 1;
        self.running.insert(id, now);
    }
}
