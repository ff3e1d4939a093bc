//! Calls that wait for a connection to a target that has stopped answering.
//!
//! A call that may be repeated is hedged when it is slow; others would wait until their time is up,
//! although another target is idle. A call that was not written has certainly not run, so it can be
//! taken back and made there. It is taken back only from a target that holds all its connections
//! without an answer, and for one that the request has not tried, that has answered since and that
//! has a free connection: the wait then ends at once, and nobody is overtaken.

use {
    super::{Attempt, ONE_SNAPSHOT, Run},
    crate::{
        clock,
        tier::{
            upstream::{CallStage, Upstream},
            view::View,
        },
    },
    rattanturn_core::{
        Time,
        gather::{Action, AttemptId, Gather, MissingReason, Reply},
    },
    std::time::Duration,
};

/// Interval of checking whether another target can take a call that waits.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Attempt {
    /// Whether it may still be taken back before it is sent.
    pub(super) fn waits(&self) -> bool {
        self.is_open_at(CallStage::Waiting) && !self.progress.revoked()
    }
}

impl Run<'_> {
    /// When to call [`Run::tick`] next.
    pub(super) fn next_tick(&self, gather: &Gather) -> Time {
        let due = gather.next_tick();
        if self.takes_back() && self.attempts.iter().any(Attempt::waits) {
            due.min(clock::now() + CHECK_INTERVAL)
        } else {
            due
        }
    }

    pub(super) fn tick(&mut self, gather: &mut Gather) -> Vec<Action> {
        let mut actions = self.leave_stalled_targets(gather);
        let budgets = &mut self.traffic.budgets.borrow_mut();
        actions.extend(gather.tick(clock::now(), budgets));
        actions
    }

    /// Ends the calls that still wait for a connection.
    pub(super) fn revoke_waiting(&mut self, gather: &mut Gather) -> Vec<Action> {
        let waiting = (0..self.attempts.len()).filter(|id| self.attempts[*id].waits());
        let waiting: Vec<usize> = waiting.collect();
        let busy = MissingReason::Busy;
        let revoked = waiting
            .into_iter()
            .flat_map(|id| self.take_back(gather, id, busy));
        revoked.collect()
    }

    /// Whether calls leave targets that have stopped answering: those that are not hedged, and not to a
    /// target that was chosen for a trial.
    fn takes_back(&self) -> bool {
        !self.hedges && self.request.trial.is_none()
    }

    /// Takes back the calls that wait for a target that has stopped answering while the next one can take
    /// them.
    fn leave_stalled_targets(&mut self, gather: &mut Gather) -> Vec<Action> {
        if !self.takes_back() {
            return Vec::new();
        }
        let (now, view) = (clock::now(), self.traffic.view());
        let leaves = |id: &usize| self.should_leave(gather, &self.attempts[*id], now, &view);
        let leaving: Vec<usize> = (0..self.attempts.len()).filter(leaves).collect();
        // The target is as if it had gone out of use: the call counts towards no limit.
        let withdrawn = MissingReason::Withdrawn;
        let left = leaving
            .into_iter()
            .flat_map(|id| self.take_back(gather, id, withdrawn));
        left.collect()
    }

    fn should_leave(&self, gather: &Gather, attempt: &Attempt, now: Time, view: &View) -> bool {
        if !attempt.waits() || now.since(attempt.sent) < self.hedge_delay {
            return false;
        }
        let stalled = attempt.upstream.as_ref();
        let silent_since = stalled.and_then(|u| u.silent_since(now, self.hedge_delay));
        let next = gather.untried_target(attempt.service);
        let next = next.and_then(|index| self.traffic.upstream(index));
        let (Some(since), Some(next)) = (silent_since, next) else {
            return false;
        };
        let withheld = |u: &Upstream| view.uses_rollouts && self.traffic.is_withheld(now, u);
        next.takes_at_once(&self.request.call, now, since) && !withheld(&next)
    }

    /// Ends a call that waits for a connection.
    fn take_back(&mut self, gather: &mut Gather, id: usize, why: MissingReason) -> Vec<Action> {
        let now = clock::now();
        let attempt = &mut self.attempts[id];
        attempt.progress.revoke();
        attempt.end = Some(("revoked".into(), now.since(attempt.sent)));
        let id = AttemptId(u32::try_from(id).unwrap_or(u32::MAX));
        let budgets = &mut self.traffic.budgets.borrow_mut();
        gather.reply(now, id, Reply::NotRun(why), ONE_SNAPSHOT, budgets)
    }
}
