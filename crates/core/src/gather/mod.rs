//! Scatter-gather: calls one target of each service and collects the answers into one.
//!
//! [`Gather`] is a state machine without I/O: the caller passes in answers and the time, and
//! performs the [`Action`]s that come back. Each call is an attempt with its own number. An answer
//! counts only while its attempt is open, so late and duplicate answers and answers for unknown
//! attempts are dropped.
//!
//! All parts of a final answer come from one snapshot (index version), so that parts never mix
//! versions. Every call names the snapshot and an answer from another one is discarded. When
//! services no longer have the snapshot but have a newer one, the whole query restarts on that
//! one: this repeats work, and a limit on restarts bounds it.
//!
//! The answer has a part for every service, which is either its body or the reason why it is
//! missing. The answer is final as soon as no attempt is open and no retry is scheduled; it does
//! not wait for the deadline.

mod limits;
mod plan;
pub mod trace;

use {
    crate::{Time, snapshot::ANY},
    std::time::Duration,
};

pub use plan::{
    Action, AttemptId, BudgetPair, Budgets, Counts, Cutoff, MissingReason, Part, Plan, Reply,
    count_by_reason, max_ended,
};

/// Number of times that one query restarts on a newer snapshot.
const MAX_RESTARTS: u32 = 2;
/// Pause before a service is called again after all its targets failed or refused the call.
const RETRY_PAUSE: Duration = Duration::from_millis(15);
/// Default for [`Plan::max_attempts`], for routes that set no limit of their own.
pub const MAX_ATTEMPTS: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    Open,
    Closed,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    service: usize,
    sent_at: Time,
    state: AttemptState,
}

/// Progress of one service on the current snapshot; a restart resets it.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    body: Option<Vec<u8>>,
    /// Attempts so far; they take the service's targets in order and start over after the last.
    attempts: usize,
    /// Attempts that do not count towards [`Plan::max_attempts`].
    uncounted: usize,
    /// Attempts that ended as [`Reply::Unsent`].
    unsent: usize,
    /// Attempts that have not ended.
    open: usize,
    /// Set by the first hedge, also if the budget refused it: a service is hedged at most once.
    hedged: bool,
    retry_at: Option<Time>,
    /// Whether it is to be called again once another service has answered, see [`Plan::max_ended`].
    held: bool,
    /// Why there is no answer so far; `None` stands for the deadline.
    reason: Option<MissingReason>,
}

impl ServiceState {
    fn into_part(self) -> Part {
        match self.body {
            Some(body) => Part::Covered(body),
            None => Part::Missing(self.reason.unwrap_or(MissingReason::Deadline)),
        }
    }
}

/// One query, from its first calls to the final answer.
///
/// A query belongs to one thread. Its budgets are passed in, because the queries of a thread share
/// them. Perform the returned actions, call [`Gather::reply`] when an attempt ends and
/// [`Gather::tick`] at [`Gather::next_tick`], until [`Action::Finish`] comes back.
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
///     max_ended: max_ended(1),
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
    states: Vec<ServiceState>,
    counts: Counts,
    /// Targets that ended while they had a call.
    ended: usize,
    /// Whether no further call may be made, see [`Gather::stop_calls`].
    calls_stopped: bool,
    done: bool,
}

impl Gather {
    /// Starts a query: one call to the first target of each service that has any.
    ///
    /// Each of these first calls adds to the hedge and retry budgets of its service.
    pub fn start(now: Time, plan: Plan, budgets: &mut Budgets) -> (Self, Vec<Action>) {
        let states = vec![ServiceState::default(); plan.services.len()];
        let mut gather = Self {
            plan,
            attempts: Vec::new(),
            states,
            counts: Counts::default(),
            ended: 0,
            calls_stopped: false,
            done: false,
        };
        let mut out = Vec::new();
        gather.call_all(now, budgets, &mut out);
        gather.finish_if_idle(&mut out);
        (gather, out)
    }

    /// Handles the end of an attempt; has no effect if the attempt is unknown or closed.
    ///
    /// `newest` is the snapshot that the query would ask for if it started now. The query restarts
    /// on it if it is newer and a target no longer serves the current one.
    pub fn reply(
        &mut self,
        now: Time,
        attempt: AttemptId,
        reply: Reply,
        newest: u64,
        budgets: &mut Budgets,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        let Some(service) = self.close_attempt(attempt) else {
            return out;
        };
        let ended = reply == Reply::Ended;
        let failed = ended || reply == Reply::Failed;
        self.ended += usize::from(ended);
        match reply {
            Reply::Done { snapshot, body } => self.accept_part(service, snapshot, body, &mut out),
            Reply::WrongSnapshot => self.states[service].reason = Some(MissingReason::Snapshot),
            Reply::NotRun(reason) => {
                self.states[service].reason = Some(reason);
                if reason == MissingReason::Withdrawn {
                    self.uncount_attempt(service);
                }
            }
            Reply::Unsent(reason) => {
                self.states[service].reason = Some(reason);
                self.states[service].unsent += 1;
            }
            Reply::Failed | Reply::Ended => {
                self.states[service].reason = Some(MissingReason::Failed);
            }
        }
        if self.states[service].body.is_some() {
            self.release_held(now, newest, budgets, &mut out);
        } else if ended && self.is_suspicious() {
            self.states[service].held = self.plan.idempotent && !self.calls_stopped;
        } else {
            self.retry_missing(now, service, newest, failed, budgets, &mut out);
        }
        if self.cutoff_reached(now) && !self.done {
            self.finish(&mut out);
        }
        self.finish_if_idle(&mut out);
        out
    }

    /// Handles what is due at `now`: hedges, scheduled retries, the cutoff and the deadline.
    pub fn tick(&mut self, now: Time, budgets: &mut Budgets) -> Vec<Action> {
        let mut out = Vec::new();
        if self.done {
            return out;
        }
        if now >= self.plan.deadline || self.cutoff_reached(now) {
            self.finish(&mut out);
            return out;
        }
        for service in 0..self.states.len() {
            if self.states[service].retry_at.is_some_and(|t| now >= t) {
                self.states[service].retry_at = None;
                self.retry(now, service, budgets, &mut out);
            }
        }
        if self.hedges_now() {
            self.hedge_slow_calls(now, budgets, &mut out);
        }
        self.finish_if_idle(&mut out);
        out
    }

    /// Moves the deadline forward to `deadline`; a later one has no effect. The next tick is due at the
    /// new deadline at the latest, also if that has passed.
    ///
    /// ```
    /// use {rattanturn_core::{Time, gather::*}, std::time::Duration};
    /// let plan = Plan {
    ///     services: vec![vec![0]],
    ///     hedge_delays: vec![Duration::from_millis(5)],
    ///     deadline: Time::from_millis(100),
    ///     snapshot: 7,
    ///     hedging: false,
    ///     idempotent: true,
    ///     max_attempts: 1,
    ///     max_ended: max_ended(1),
    ///     cutoff: None,
    ///     budgets: vec![],
    /// };
    /// let mut budgets = Budgets::default();
    /// let (mut gather, _) = Gather::start(Time::ZERO, plan, &mut budgets);
    /// gather.shorten_deadline(Time::from_millis(40));
    /// assert_eq!(gather.next_tick(), Time::from_millis(40));
    /// let actions = gather.tick(Time::from_millis(40), &mut budgets);
    /// assert_eq!(actions.last(), Some(&Action::Finish));
    /// ```
    pub fn shorten_deadline(&mut self, deadline: Time) {
        self.plan.deadline = self.plan.deadline.min(deadline);
    }

    /// Makes no further calls from now on: neither hedges nor retries, also no scheduled ones. The
    /// query finishes when its open attempts have ended, at the latest at the deadline.
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
    ///     max_attempts: 2,
    ///     max_ended: max_ended(1),
    ///     cutoff: None,
    ///     budgets: vec![],
    /// };
    /// let mut budgets = Budgets::default();
    /// let (mut gather, _) = Gather::start(Time::ZERO, plan, &mut budgets);
    /// assert_eq!(gather.stop_calls(), []);
    /// let now = Time::from_millis(20);
    /// assert_eq!(gather.tick(now, &mut budgets), []);
    /// let actions = gather.reply(now, AttemptId(0), Reply::Failed, 7, &mut budgets);
    /// assert_eq!(actions, [Action::Finish]);
    /// ```
    pub fn stop_calls(&mut self) -> Vec<Action> {
        let mut out = Vec::new();
        self.calls_stopped = true;
        for state in &mut self.states {
            state.retry_at = None;
            state.held = false;
        }
        self.finish_if_idle(&mut out);
        out
    }

    /// Until when the answer of a further call is of use: the deadline, or the cutoff once there are
    /// enough parts without it.
    ///
    /// ```
    /// use {rattanturn_core::{Time, gather::*}, std::time::Duration};
    /// let ms = Time::from_millis;
    /// let plan = Plan {
    ///     services: vec![vec![0], vec![1]],
    ///     hedge_delays: vec![Duration::ZERO; 2],
    ///     deadline: ms(100),
    ///     snapshot: 7,
    ///     hedging: false,
    ///     idempotent: true,
    ///     max_attempts: 1,
    ///     max_ended: max_ended(2),
    ///     cutoff: Some(Cutoff { at: ms(40), min_parts: 1 }),
    ///     budgets: vec![],
    /// };
    /// let mut budgets = Budgets::default();
    /// let (mut gather, _) = Gather::start(Time::ZERO, plan, &mut budgets);
    /// assert_eq!(gather.useful_until(), ms(100));
    /// let reply = Reply::Done { snapshot: 7, body: b"x".to_vec() };
    /// gather.reply(ms(3), AttemptId(0), reply, 7, &mut budgets);
    /// assert_eq!(gather.useful_until(), ms(40));
    /// ```
    #[must_use]
    pub fn useful_until(&self) -> Time {
        let cutoff = self.plan.cutoff;
        let enough = cutoff.filter(|c| self.covered() >= c.min_parts);
        enough.map_or(self.plan.deadline, |c| c.at.min(self.plan.deadline))
    }

    /// Time at which [`Gather::tick`] must be called next, at the latest the deadline.
    ///
    /// Every call to [`Gather::reply`] or [`Gather::tick`] may change it.
    #[must_use]
    pub fn next_tick(&self) -> Time {
        let mut next = self.plan.deadline;
        // With fewer parts than the cutoff needs, a tick at the cutoff would do nothing: the reply
        // that brings the last needed part checks the cutoff itself.
        if let Some(cutoff) = self.plan.cutoff
            && self.covered() >= cutoff.min_parts
        {
            next = next.min(cutoff.at);
        }
        for state in &self.states {
            next = next.min(state.retry_at.unwrap_or(Time::NEVER));
        }
        if self.hedges_now() {
            for attempt in self
                .attempts
                .iter()
                .filter(|a| a.state == AttemptState::Open)
            {
                if self.may_hedge(attempt.service) {
                    next = next.min(attempt.sent_at + self.plan.hedge_delays[attempt.service]);
                }
            }
        }
        next
    }

    /// Snapshot of all parts; it can change until the query finishes, by a restart or when it
    /// started as [`ANY`].
    #[must_use]
    pub fn snapshot(&self) -> u64 {
        self.plan.snapshot
    }

    /// Number of services that have answered on the current snapshot.
    #[must_use]
    pub fn covered(&self) -> usize {
        self.states.iter().filter(|s| s.body.is_some()).count()
    }

    /// Calls made so far, over all snapshots.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Time since an attempt was sent; zero for an unknown attempt.
    #[must_use]
    pub fn attempt_age(&self, now: Time, attempt: AttemptId) -> Duration {
        self.attempts
            .get(attempt.0 as usize)
            .map_or(Duration::ZERO, |a| now.since(a.sent_at))
    }

    /// The parts of the answer, in the order of [`Plan::services`].
    ///
    /// The answer is final after [`Action::Finish`]. Before that, a service without an answer and
    /// without a failed attempt is missing with [`MissingReason::Deadline`].
    #[must_use]
    pub fn into_parts(self) -> Vec<Part> {
        self.states
            .into_iter()
            .map(ServiceState::into_part)
            .collect()
    }

    /// The part of one service so far, as in [`Gather::into_parts`]; `None` if the plan has no
    /// service with this index.
    #[must_use]
    pub fn part(&self, service: usize) -> Option<Part> {
        self.states
            .get(service)
            .cloned()
            .map(ServiceState::into_part)
    }

    fn close_attempt(&mut self, attempt: AttemptId) -> Option<usize> {
        let attempt = self.attempts.get_mut(attempt.0 as usize)?;
        if attempt.state == AttemptState::Closed {
            return None;
        }
        attempt.state = AttemptState::Closed;
        self.states[attempt.service].open -= 1;
        Some(attempt.service)
    }

    fn accept_part(&mut self, service: usize, snapshot: u64, body: Vec<u8>, out: &mut Vec<Action>) {
        if self.plan.snapshot == ANY {
            self.plan.snapshot = snapshot;
        }
        if snapshot != self.plan.snapshot {
            self.states[service].reason = Some(MissingReason::Snapshot);
            return;
        }
        self.states[service].body = Some(body);
        self.states[service].retry_at = None;
        self.cancel(|a| a.service == service, out);
    }

    /// Decides what follows an attempt without an answer: a restart on a newer snapshot, an
    /// immediate retry at an untried target, a retry after a pause, or nothing.
    ///
    /// Nothing happens while another attempt of the service is open. A call that may have run is
    /// not retried unless the plan is idempotent.
    fn retry_missing(
        &mut self,
        now: Time,
        service: usize,
        newest: u64,
        failed: bool,
        budgets: &mut Budgets,
        out: &mut Vec<Action>,
    ) {
        let state = &self.states[service];
        if state.open > 0 || state.retry_at.is_some() || (failed && !self.plan.idempotent) {
            return;
        }
        if self.calls_stopped {
            return;
        }
        // A refused caller stays refused.
        if state.reason == Some(MissingReason::Unauthorized) {
            return;
        }
        let wrong_snapshot = state.reason == Some(MissingReason::Snapshot);
        if wrong_snapshot && newest > self.plan.snapshot && self.counts.restarts < MAX_RESTARTS {
            self.restart(now, newest, budgets, out);
            return;
        }
        let below_limit = self.may_call(service);
        if self.may_try(service) {
            self.retry(now, service, budgets, out);
        } else if !wrong_snapshot && now + RETRY_PAUSE < self.plan.deadline && below_limit {
            self.states[service].retry_at = Some(now + RETRY_PAUSE);
        }
    }

    /// Whether slow calls are hedged at the moment.
    ///
    /// While no service of a fan-out has answered, none is slower than the others. A second call to
    /// each would not help if all are slow, and would do harm if the query ends its targets.
    fn hedges_now(&self) -> bool {
        let comparable = self.states.len() == 1 || self.covered() > 0;
        self.plan.hedging && comparable && !self.calls_stopped && !self.is_suspicious()
    }

    /// Whether the query itself may have ended targets: some ended, and none has answered it.
    fn is_suspicious(&self) -> bool {
        self.ended >= self.plan.max_ended && self.covered() == 0
    }

    /// Calls the services again that were held back while the query was suspicious.
    fn release_held(
        &mut self,
        now: Time,
        newest: u64,
        budgets: &mut Budgets,
        out: &mut Vec<Action>,
    ) {
        for service in 0..self.states.len() {
            if std::mem::take(&mut self.states[service].held) {
                self.retry_missing(now, service, newest, false, budgets, out);
            }
        }
    }

    fn restart(&mut self, now: Time, snapshot: u64, budgets: &mut Budgets, out: &mut Vec<Action>) {
        self.cancel(|_| true, out);
        self.plan.snapshot = snapshot;
        self.counts.restarts += 1;
        self.ended = 0;
        for state in &mut self.states {
            *state = ServiceState::default();
        }
        self.call_all(now, budgets, out);
    }

    fn call_all(&mut self, now: Time, budgets: &mut Budgets, out: &mut Vec<Action>) {
        for service in 0..self.states.len() {
            if self.plan.services[service].is_empty() {
                self.states[service].reason = Some(MissingReason::Evacuated);
                continue;
            }
            let budget = budgets.pair(self.budget(service));
            budget.hedge.deposit();
            budget.retry.deposit();
            self.counts.first += 1;
            self.call_next_target(now, service, out);
        }
    }

    fn retry(&mut self, now: Time, service: usize, budgets: &mut Budgets, out: &mut Vec<Action>) {
        use MissingReason::{Deadline, Limited, NoHolder, Unreachable, Withdrawn};
        // The failed attempt cost no target any work, so its retry adds no load to targets and
        // needs no budget.
        let reason = self.states[service].reason;
        let exempt = matches!(
            reason,
            Some(NoHolder | Unreachable | Withdrawn | Limited | Deadline)
        );
        if exempt || budgets.pair(self.budget(service)).try_withdraw_retry() {
            self.counts.retries += 1;
            self.call_next_target(now, service, out);
        }
    }

    fn hedge_slow_calls(&mut self, now: Time, budgets: &mut Budgets, out: &mut Vec<Action>) {
        let slow: Vec<usize> = self
            .attempts
            .iter()
            .filter(|a| a.state == AttemptState::Open)
            .filter(|a| now >= a.sent_at + self.plan.hedge_delays[a.service])
            .map(|a| a.service)
            .collect();
        for service in slow {
            if !self.may_hedge(service) {
                continue;
            }
            self.states[service].hedged = true;
            if budgets.pair(self.budget(service)).hedge.try_withdraw() {
                self.counts.hedges += 1;
                self.call_next_target(now, service, out);
            }
        }
    }

    /// Whether the answer has enough parts and the time to wait for the others is over.
    fn cutoff_reached(&self, now: Time) -> bool {
        let cutoff = self.plan.cutoff;
        cutoff.is_some_and(|c| now >= c.at && self.covered() >= c.min_parts)
    }

    fn call_next_target(&mut self, now: Time, service: usize, out: &mut Vec<Action>) {
        let targets = &self.plan.services[service];
        let state = &mut self.states[service];
        let target = targets[state.attempts % targets.len()];
        state.attempts += 1;
        state.open += 1;
        let attempt = AttemptId(u32::try_from(self.attempts.len()).unwrap_or(u32::MAX));
        self.attempts.push(Attempt {
            service,
            sent_at: now,
            state: AttemptState::Open,
        });
        out.push(Action::Call {
            attempt,
            service,
            target,
            snapshot: self.plan.snapshot,
        });
    }

    fn cancel(&mut self, matches: impl Fn(&Attempt) -> bool, out: &mut Vec<Action>) {
        for (i, attempt) in self.attempts.iter_mut().enumerate() {
            if attempt.state == AttemptState::Open && matches(attempt) {
                attempt.state = AttemptState::Closed;
                self.states[attempt.service].open -= 1;
                out.push(Action::Cancel(AttemptId(
                    u32::try_from(i).unwrap_or(u32::MAX),
                )));
            }
        }
    }

    /// Finishes the query if no attempt is open and no retry is scheduled.
    fn finish_if_idle(&mut self, out: &mut Vec<Action>) {
        let pending = self
            .states
            .iter()
            .any(|s| s.open > 0 || s.retry_at.is_some());
        if !pending && !self.done {
            self.finish(out);
        }
    }

    fn finish(&mut self, out: &mut Vec<Action>) {
        self.done = true;
        for state in self
            .states
            .iter_mut()
            .filter(|s| s.body.is_none() && s.open > 0)
        {
            state.reason = Some(MissingReason::Deadline);
        }
        self.cancel(|_| true, out);
        out.push(Action::Finish);
    }
}
