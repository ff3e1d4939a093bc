//! One fan-out query: replicas, hedges, snapshot, coverage and the final answer.
//!
//! A gather owns a query from the first calls to its answer. Each call is an attempt with its
//! own number; an answer counts only while its attempt is open, so late, doubled and crossed
//! answers are dropped. All parts of an answer come from one snapshot: an attempt asks for it,
//! an answer of another is discarded, and when services move on, the whole query is asked again
//! on the newer version if time allows. The answer lists every service, covered or missing with
//! the reason. Once nothing more can arrive the answer is final at once; it is not held back
//! until the deadline.

mod plan;
pub mod trace;

use {
    crate::{Time, snapshot::ANY},
    std::time::Duration,
};

pub use plan::{
    Action, AttemptId, BudgetPair, Budgets, Counts, Cutoff, MissingReason, Part, Plan, Reply,
    count_by_reason,
};

/// Times that a query is asked again on another snapshot.
const MAX_RESTARTS: u32 = 2;
/// Pause before a service is asked again after all its targets refused.
const RETRY_PAUSE: Duration = Duration::from_millis(15);
/// Attempts for one service on one snapshot, unless the route says otherwise.
pub const MAX_ATTEMPTS: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    Open,
    Closed,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    service: usize,
    sent: Time,
    state: AttemptState,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    body: Option<Vec<u8>>,
    tried: usize,
    open: usize,
    hedged: bool,
    retry_at: Option<Time>,
    reason: Option<MissingReason>,
}

impl Slot {
    fn into_part(self) -> Part {
        match self.body {
            Some(body) => Part::Covered(body),
            None => Part::Missing(self.reason.unwrap_or(MissingReason::Deadline)),
        }
    }
}

/// One query.
///
/// ```
/// use {rattanturn_core::{Time, gather::*}, std::time::Duration};
/// let plan = Plan {
///     services: vec![vec![0, 1]],
///     hedge_delays: vec![Duration::from_millis(5)],
///     deadline: Time::from_millis(100),
///     snapshot: 7,
///     hedging: true,
///     idempotent: true,
///     max_attempts: MAX_ATTEMPTS,
///     cutoff: None,
///     budgets: vec![],
/// };
/// let mut budgets = Budgets::default();
/// let (mut gather, actions) = Gather::start(Time::ZERO, plan, &mut budgets);
/// assert_eq!(actions.len(), 1);
/// let reply = Reply::Done { snapshot: 7, body: b"x".to_vec() };
/// let actions = gather.reply(Time::from_millis(3), AttemptId(0), reply, 7, &mut budgets);
/// assert_eq!(actions, [Action::Finish]);
/// assert_eq!(gather.covered(), 1);
/// ```
#[derive(Debug)]
pub struct Gather {
    plan: Plan,
    attempts: Vec<Attempt>,
    slots: Vec<Slot>,
    counts: Counts,
    done: bool,
}

impl Gather {
    /// Starts a query: one call to the first target of each service.
    pub fn start(now: Time, plan: Plan, budgets: &mut Budgets) -> (Self, Vec<Action>) {
        let slots = vec![Slot::default(); plan.services.len()];
        let mut gather = Self {
            plan,
            attempts: Vec::new(),
            slots,
            counts: Counts::default(),
            done: false,
        };
        let mut out = Vec::new();
        gather.ask_all(now, budgets, &mut out);
        gather.settle(&mut out);
        (gather, out)
    }

    /// An attempt ended; `newest` is the version that the query would ask for if it began now.
    pub fn reply(
        &mut self,
        now: Time,
        attempt: AttemptId,
        reply: Reply,
        newest: u64,
        budgets: &mut Budgets,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        let Some(service) = self.close(attempt) else {
            return out;
        };
        let failed = reply == Reply::Failed;
        match reply {
            Reply::Done { snapshot, body } => self.done_part(service, snapshot, body, &mut out),
            Reply::WrongSnapshot => self.slots[service].reason = Some(MissingReason::Snapshot),
            Reply::NotRun(reason) => self.slots[service].reason = Some(reason),
            Reply::Failed => self.slots[service].reason = Some(MissingReason::Failed),
        }
        if self.slots[service].body.is_none() {
            self.missed(now, service, newest, failed, budgets, &mut out);
        }
        if self.cut_off(now) && !self.done {
            self.finish(&mut out);
        }
        self.settle(&mut out);
        out
    }

    /// Time passed: hedges, repeats and the deadline.
    pub fn tick(&mut self, now: Time, budgets: &mut Budgets) -> Vec<Action> {
        let mut out = Vec::new();
        if self.done {
            return out;
        }
        if now >= self.plan.deadline || self.cut_off(now) {
            self.finish(&mut out);
            return out;
        }
        for service in 0..self.slots.len() {
            if self.slots[service].retry_at.is_some_and(|t| now >= t) {
                self.slots[service].retry_at = None;
                self.repeat(now, service, budgets, &mut out);
            }
        }
        if self.plan.hedging {
            self.hedge(now, budgets, &mut out);
        }
        self.settle(&mut out);
        out
    }

    /// When [`Gather::tick`] has to be called next.
    #[must_use]
    pub fn next_tick(&self) -> Time {
        let mut next = self.plan.deadline;
        // With too few parts yet, the reply that makes them enough looks at the cutoff again.
        if let Some(cutoff) = self.plan.cutoff
            && self.covered() >= cutoff.min_parts
        {
            next = next.min(cutoff.at);
        }
        for slot in &self.slots {
            next = next.min(slot.retry_at.unwrap_or(Time::NEVER));
        }
        if self.plan.hedging {
            for attempt in self
                .attempts
                .iter()
                .filter(|a| a.state == AttemptState::Open)
            {
                if self.may_hedge(attempt.service) {
                    next = next.min(attempt.sent + self.plan.hedge_delays[attempt.service]);
                }
            }
        }
        next
    }

    /// Snapshot that the answer comes from.
    #[must_use]
    pub fn snapshot(&self) -> u64 {
        self.plan.snapshot
    }

    /// Services that answered.
    #[must_use]
    pub fn covered(&self) -> usize {
        self.slots.iter().filter(|s| s.body.is_some()).count()
    }

    /// Calls made so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Time since an attempt was sent.
    #[must_use]
    pub fn attempt_age(&self, now: Time, attempt: AttemptId) -> Duration {
        self.attempts
            .get(attempt.0 as usize)
            .map_or(Duration::ZERO, |a| now.since(a.sent))
    }

    /// The answer, a part for each service of the plan.
    #[must_use]
    pub fn into_parts(self) -> Vec<Part> {
        self.slots.into_iter().map(Slot::into_part).collect()
    }

    /// The part of one service as it stands.
    #[must_use]
    pub fn part(&self, service: usize) -> Option<Part> {
        self.slots.get(service).cloned().map(Slot::into_part)
    }

    fn close(&mut self, attempt: AttemptId) -> Option<usize> {
        let attempt = self.attempts.get_mut(attempt.0 as usize)?;
        if attempt.state == AttemptState::Closed {
            return None;
        }
        attempt.state = AttemptState::Closed;
        self.slots[attempt.service].open -= 1;
        Some(attempt.service)
    }

    fn done_part(&mut self, service: usize, snapshot: u64, body: Vec<u8>, out: &mut Vec<Action>) {
        if self.plan.snapshot == ANY {
            self.plan.snapshot = snapshot;
        }
        if snapshot != self.plan.snapshot {
            self.slots[service].reason = Some(MissingReason::Snapshot);
            return;
        }
        self.slots[service].body = Some(body);
        self.slots[service].retry_at = None;
        self.cancel(|a| a.service == service, out);
    }

    /// A service has no answer from the attempt that just ended.
    fn missed(
        &mut self,
        now: Time,
        service: usize,
        newest: u64,
        failed: bool,
        budgets: &mut Budgets,
        out: &mut Vec<Action>,
    ) {
        let slot = &self.slots[service];
        if slot.open > 0 || slot.retry_at.is_some() || (failed && !self.plan.idempotent) {
            return;
        }
        let stale = slot.reason == Some(MissingReason::Snapshot);
        if stale && newest > self.plan.snapshot && self.counts.restarts < MAX_RESTARTS {
            self.restart(now, newest, budgets, out);
            return;
        }
        let allowed = slot.tried < self.plan.max_attempts;
        let untried = slot.tried < self.plan.services[service].len();
        if untried && allowed {
            self.repeat(now, service, budgets, out);
        } else if !stale && now + RETRY_PAUSE < self.plan.deadline && allowed {
            self.slots[service].retry_at = Some(now + RETRY_PAUSE);
        }
    }

    fn restart(&mut self, now: Time, snapshot: u64, budgets: &mut Budgets, out: &mut Vec<Action>) {
        self.cancel(|_| true, out);
        self.plan.snapshot = snapshot;
        self.counts.restarts += 1;
        for slot in &mut self.slots {
            *slot = Slot::default();
        }
        self.ask_all(now, budgets, out);
    }

    fn ask_all(&mut self, now: Time, budgets: &mut Budgets, out: &mut Vec<Action>) {
        for service in 0..self.slots.len() {
            if self.plan.services[service].is_empty() {
                self.slots[service].reason = Some(MissingReason::Evacuated);
                continue;
            }
            let pair = budgets.pair(self.budget(service));
            pair.hedge.deposit();
            pair.retry.deposit();
            self.counts.first += 1;
            self.call(now, service, out);
        }
    }

    fn repeat(&mut self, now: Time, service: usize, budgets: &mut Budgets, out: &mut Vec<Action>) {
        // Nothing reached a target, so the repeat adds no load to targets.
        let free = matches!(
            self.slots[service].reason,
            Some(MissingReason::NoHolder | MissingReason::Unreachable)
        );
        if free || budgets.pair(self.budget(service)).take_retry() {
            self.counts.retries += 1;
            self.call(now, service, out);
        }
    }

    fn hedge(&mut self, now: Time, budgets: &mut Budgets, out: &mut Vec<Action>) {
        let late: Vec<usize> = self
            .attempts
            .iter()
            .filter(|a| a.state == AttemptState::Open)
            .filter(|a| now >= a.sent + self.plan.hedge_delays[a.service])
            .map(|a| a.service)
            .collect();
        for service in late {
            if !self.may_hedge(service) {
                continue;
            }
            self.slots[service].hedged = true;
            if budgets.pair(self.budget(service)).hedge.try_withdraw() {
                self.counts.hedges += 1;
                self.call(now, service, out);
            }
        }
    }

    fn may_hedge(&self, service: usize) -> bool {
        let slot = &self.slots[service];
        !slot.hedged && slot.open == 1 && slot.tried < self.plan.max_attempts
    }

    fn budget(&self, service: usize) -> usize {
        self.plan.budgets.get(service).copied().unwrap_or(0)
    }

    /// Enough parts are in and waiting for the others would cost more than they are worth.
    fn cut_off(&self, now: Time) -> bool {
        let cutoff = self.plan.cutoff;
        cutoff.is_some_and(|c| now >= c.at && self.covered() >= c.min_parts)
    }

    fn call(&mut self, now: Time, service: usize, out: &mut Vec<Action>) {
        let targets = &self.plan.services[service];
        let slot = &mut self.slots[service];
        let target = targets[slot.tried % targets.len()];
        slot.tried += 1;
        slot.open += 1;
        let attempt = AttemptId(u32::try_from(self.attempts.len()).unwrap_or(u32::MAX));
        self.attempts.push(Attempt {
            service,
            sent: now,
            state: AttemptState::Open,
        });
        out.push(Action::Call {
            attempt,
            service,
            target,
            snapshot: self.plan.snapshot,
        });
    }

    fn cancel(&mut self, which: impl Fn(&Attempt) -> bool, out: &mut Vec<Action>) {
        for (i, attempt) in self.attempts.iter_mut().enumerate() {
            if attempt.state == AttemptState::Open && which(attempt) {
                attempt.state = AttemptState::Closed;
                self.slots[attempt.service].open -= 1;
                out.push(Action::Cancel(AttemptId(
                    u32::try_from(i).unwrap_or(u32::MAX),
                )));
            }
        }
    }

    /// Finishes when nothing more can arrive.
    fn settle(&mut self, out: &mut Vec<Action>) {
        let pending = self
            .slots
            .iter()
            .any(|s| s.open > 0 || s.retry_at.is_some());
        if !pending && !self.done {
            self.finish(out);
        }
    }

    fn finish(&mut self, out: &mut Vec<Action>) {
        self.done = true;
        for slot in self
            .slots
            .iter_mut()
            .filter(|s| s.body.is_none() && s.open > 0)
        {
            slot.reason = Some(MissingReason::Deadline);
        }
        self.cancel(|_| true, out);
        out.push(Action::Finish);
    }
}
