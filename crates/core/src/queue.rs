//! Slots, cold start and order of calls at one target.
//!
//! The holder of a target counts every call that the target may still be running, so the number
//! in flight never exceeds the limit. The limit is the target's slots while it is warm and its
//! cold allowance while it is cold. Coldness is read from answers: the target's own mark, a
//! refusal, or answers that suddenly take several times as long. Health pages lag and are not
//! asked. Calls that cannot start in time are refused at once with a true "not run".

use {
    crate::{Priority, Time},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Weight of a new measurement in the mean service time.
const SMOOTHING: f64 = 0.1;
/// Service time assumed before the first measurement.
const INITIAL_SERVICE: Duration = Duration::from_millis(5);
/// An answer this many times slower than the mean hints at a cold target.
const SLOW_FACTOR: f64 = 4.0;
/// Slow answers in a row that count as a fall back into cold start.
const SLOW_STREAK: u32 = 3;
/// Every so many starts the lowest priority goes first, so that it is not starved.
const FAIR_TURN: u64 = 10;
/// First pause after a target could not be reached.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause after a target could not be reached.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time after which a target that said it was leaving is tried with one call, in case it stayed.
const LEAVING_TIME: Duration = Duration::from_secs(30);

/// A call as the queue knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a target bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLimits {
    /// Calls at once while warm.
    pub slots: u32,
    /// Calls at once while cold.
    pub cold_calls: u32,
    /// Time from the first warm answer after coldness to the full slots.
    pub cold_ramp: Duration,
}

/// A call that asks to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// Its identity at this holder.
    pub id: CallId,
    /// Its place in the order.
    pub priority: Priority,
    /// Time by which its answer is worthless.
    pub deadline: Time,
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It could not have started in time.
    Busy,
    /// The target is leaving.
    Draining,
    /// The target cannot be reached.
    Down,
}

/// What becomes of an asking call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it now.
    Start,
    /// It waits for a slot.
    Queued,
    /// It was not run and will not be.
    Refused(Refusal),
}

/// How a call at the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The target answered; `cold` is the mark on its answer.
    Answered {
        /// The target says that it is cold.
        cold: bool,
    },
    /// The target refused it.
    Shed {
        /// The target says that it is cold.
        cold: bool,
    },
    /// The target refused it because it is leaving.
    Leaving,
    /// No connection could be made or it broke.
    Unreachable,
    /// The target stopped it on request.
    Cancelled,
}

/// What changed in the queue after time passed or a call ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dispatch {
    /// Calls to send now.
    pub start: Vec<CallId>,
    /// Calls that were not run and will not be.
    pub refuse: Vec<(CallId, Refusal)>,
}

/// What a cancellation found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The call waited and is gone; it was not run.
    Dequeued,
    /// The call is at the target, which has to be told.
    InFlight,
    /// The call had ended.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum WarmupState {
    /// Nothing heard yet: treated as cold, but full at the first warm answer.
    Unknown,
    Cold,
    /// Warm answers since the time given; the limit grows.
    Ramping(Time),
    Warm,
    /// Not reachable until the time given; then one call tries.
    Down(Time, Duration),
}

/// Calls at one target.
///
/// ```
/// use {rattanturn_core::{Priority, Time, queue::*}, std::time::Duration};
/// let shape = TargetLimits { slots: 2, cold_calls: 1, cold_ramp: Duration::from_secs(5) };
/// let mut queue = TargetQueue::new(shape);
/// let ask = |n| CallRequest { id: CallId(n), priority: Priority::Normal, deadline: Time::from_millis(500) };
/// assert_eq!(queue.submit(Time::ZERO, &ask(1)), Verdict::Start);
/// assert_eq!(queue.submit(Time::ZERO, &ask(2)), Verdict::Queued);
/// let moves = queue.complete(Time::from_millis(4), CallId(1), CallEnd::Answered { cold: false });
/// assert_eq!(moves.start, [CallId(2)]);
/// ```
#[derive(Debug)]
pub struct TargetQueue {
    shape: TargetLimits,
    heat: WarmupState,
    leaving_until: Option<Time>,
    running: BTreeMap<CallId, Time>,
    waiting: [VecDeque<CallRequest>; 3],
    service: Duration,
    slow: u32,
    starts: u64,
}

impl TargetQueue {
    /// A queue for a target of which nothing is known yet.
    #[must_use]
    pub fn new(shape: TargetLimits) -> Self {
        Self {
            shape,
            heat: WarmupState::Unknown,
            leaving_until: None,
            running: BTreeMap::new(),
            waiting: Default::default(),
            service: INITIAL_SERVICE,
            slow: 0,
            starts: 0,
        }
    }

    /// Replaces the shape after an edit of the tables.
    pub fn set_limits(&mut self, shape: TargetLimits) {
        self.shape = shape;
    }

    /// Calls that the target may run at once now.
    #[must_use]
    pub fn limit(&self, now: Time) -> u32 {
        let (cold, slots) = (self.shape.cold_calls, self.shape.slots);
        match self.heat {
            WarmupState::Unknown | WarmupState::Cold => cold,
            WarmupState::Warm => slots,
            WarmupState::Down(until, _) => u32::from(now >= until),
            WarmupState::Ramping(since) => {
                let share = now.since(since).as_secs_f64() / self.shape.cold_ramp.as_secs_f64();
                let extra = f64::from(slots.saturating_sub(cold)) * share.min(1.0);
                // The share is at most 1, so the sum is at most `slots`.
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                let extra = extra as u32;
                cold + extra
            }
        }
    }

    /// Calls at the target.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Mean service time.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.service
    }

    /// State of the target in a word, for the state dump.
    #[must_use]
    pub fn state_name(&self) -> &'static str {
        match self.heat {
            _ if self.leaving_until.is_some() => "leaving",
            WarmupState::Unknown => "unknown",
            WarmupState::Cold => "cold",
            WarmupState::Ramping(_) => "ramping",
            WarmupState::Warm => "warm",
            WarmupState::Down(..) => "down",
        }
    }

    /// Estimated time until a new call of `priority` would start.
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
        self.service * rounds
    }

    /// A call asks to run.
    pub fn submit(&mut self, now: Time, ask: &CallRequest) -> Verdict {
        if self.leaving(now) {
            return Verdict::Refused(Refusal::Draining);
        }
        if self.limit(now) == 0 {
            return Verdict::Refused(Refusal::Down);
        }
        if self.free(now) && self.waiting() == 0 {
            self.start(now, ask.id);
            return Verdict::Start;
        }
        if now + self.estimated_wait(now, ask.priority) + self.service > ask.deadline {
            return Verdict::Refused(Refusal::Busy);
        }
        self.waiting[ask.priority.index()].push_back(*ask);
        Verdict::Queued
    }

    /// A call at the target ended.
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
                    self.heat = WarmupState::Cold;
                }
            }
            CallEnd::Leaving => {
                self.leaving_until = Some(now + LEAVING_TIME);
                self.heat = WarmupState::Unknown;
            }
            CallEnd::Unreachable => self.unreachable(now),
            CallEnd::Cancelled => {}
        }
        self.advance(now)
    }

    /// The caller's side no longer wants the call.
    pub fn cancel(&mut self, id: CallId) -> Cancelled {
        for queue in &mut self.waiting {
            if let Some(i) = queue.iter().position(|a| a.id == id) {
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

    /// Refuses waiting calls that cannot be answered in time and starts others.
    pub fn advance(&mut self, now: Time) -> Dispatch {
        if let WarmupState::Ramping(since) = self.heat
            && now.since(since) >= self.shape.cold_ramp
        {
            self.heat = WarmupState::Warm;
        }
        let mut moves = Dispatch::default();
        let refusal = if self.leaving(now) {
            Some(Refusal::Draining)
        } else if self.limit(now) == 0 {
            Some(Refusal::Down)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            let all = self.waiting.iter_mut().flat_map(|q| q.drain(..));
            moves.refuse = all.map(|a| (a.id, refusal)).collect();
            return moves;
        }
        self.refuse_late(now, &mut moves);
        while self.free(now) {
            let Some(ask) = self.next() else { break };
            self.start(now, ask.id);
            moves.start.push(ask.id);
        }
        moves
    }

    fn answered(&mut self, now: Time, took: Duration, cold: bool) {
        let slow = took.as_secs_f64() > self.service.as_secs_f64() * SLOW_FACTOR;
        self.slow = if slow { self.slow + 1 } else { 0 };
        if cold || (self.slow >= SLOW_STREAK && self.heat == WarmupState::Warm) {
            self.heat = WarmupState::Cold;
            self.slow = 0;
        } else if !slow {
            self.heat = match self.heat {
                WarmupState::Unknown => WarmupState::Warm,
                WarmupState::Cold | WarmupState::Down(..) => WarmupState::Ramping(now),
                heat => heat,
            };
        }
        let mean = self.service.as_secs_f64() * (1.0 - SMOOTHING) + took.as_secs_f64() * SMOOTHING;
        self.service = Duration::from_secs_f64(mean);
    }

    fn unreachable(&mut self, now: Time) {
        let backoff = match self.heat {
            // Several calls broke with the same connection loss.
            WarmupState::Down(until, _) if until > now => return,
            WarmupState::Down(_, last) => (last * 2).min(MAX_BACKOFF),
            _ => FIRST_BACKOFF,
        };
        self.heat = WarmupState::Down(now + backoff, backoff);
    }

    fn refuse_late(&mut self, now: Time, moves: &mut Dispatch) {
        let service = self.service;
        for queue in &mut self.waiting {
            queue.retain(|ask| {
                let late = now + service > ask.deadline;
                if late {
                    moves.refuse.push((ask.id, Refusal::Busy));
                }
                !late
            });
        }
    }

    fn next(&mut self) -> Option<CallRequest> {
        let lowest_first = self.starts % FAIR_TURN == FAIR_TURN - 1;
        if lowest_first {
            self.waiting.iter_mut().find_map(VecDeque::pop_front)
        } else {
            self.waiting.iter_mut().rev().find_map(VecDeque::pop_front)
        }
    }

    /// A target that leaves gets no new call.
    fn leaving(&self, now: Time) -> bool {
        self.leaving_until.is_some_and(|t| now < t)
    }

    fn free(&self, now: Time) -> bool {
        self.running.len() < self.limit(now) as usize
    }

    fn start(&mut self, now: Time, id: CallId) {
        self.starts += 1;
        self.running.insert(id, now);
    }
}
