//! How many calls a query may make.

use super::Gather;

impl Gather {
    /// Target to which the only open call of a service may move before it was sent: the one that comes
    /// next. `None` if there are other open calls, or the calls that were taken back count by now.
    ///
    /// ```
    /// use {rattanturn_core::{Time, gather::*}, std::time::Duration};
    /// let plan = Plan {
    ///     services: vec![vec![0, 1]],
    ///     hedge_delays: vec![Duration::from_millis(5)],
    ///     deadline: Time::from_millis(100),
    ///     snapshot: 7,
    ///     hedging: false,
    ///     idempotent: false,
    ///     max_attempts: 1,
    ///     max_ended: max_ended(1),
    ///     cutoff: None,
    ///     budgets: vec![],
    /// };
    /// let mut budgets = Budgets::default();
    /// let (mut gather, _) = Gather::start(Time::ZERO, plan, &mut budgets);
    /// assert_eq!(gather.next_target(0), Some(1));
    /// let moved = Reply::NotRun(MissingReason::Withdrawn);
    /// let actions = gather.reply(Time::from_millis(3), AttemptId(0), moved, 7, &mut budgets);
    /// assert!(matches!(actions[..], [Action::Call { target: 1, .. }]));
    /// ```
    #[must_use]
    pub fn next_target(&self, service: usize) -> Option<usize> {
        let (state, targets) = (&self.states[service], &self.plan.services[service]);
        let may_move = state.open == 1 && state.uncounted < targets.len() && !self.calls_stopped;
        may_move.then(|| targets[state.attempts % targets.len()])
    }

    pub(super) fn may_hedge(&self, service: usize) -> bool {
        let state = &self.states[service];
        !state.hedged && state.open == 1 && self.may_call(service)
    }

    /// Whether the limit on the calls allows another one for a service.
    pub(super) fn may_call(&self, service: usize) -> bool {
        let state = &self.states[service];
        state.attempts - state.uncounted < self.plan.max_attempts
    }

    /// Takes an attempt that was not sent out of the limit. This happens once for each target, so that
    /// the query ends although targets go out of use again and again.
    pub(super) fn uncount_attempt(&mut self, service: usize) {
        let state = &mut self.states[service];
        state.uncounted = (state.uncounted + 1).min(self.plan.services[service].len());
    }

    /// Number of the budget that a service draws on, 0 if the plan lists none.
    pub(super) fn budget(&self, service: usize) -> usize {
        self.plan.budgets.get(service).copied().unwrap_or(0)
    }
}
