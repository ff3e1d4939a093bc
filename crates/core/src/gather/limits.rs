//! How many calls a query may make.

use {super::Gather, std::collections::BTreeSet};

impl Gather {
    pub(super) fn may_hedge(&self, service: usize) -> bool {
        let state = &self.states[service];
        !state.hedged && state.open == 1 && self.may_call(service)
    }

    /// Whether the limit on the calls allows another one for a service.
    pub(super) fn may_call(&self, service: usize) -> bool {
        let state = &self.states[service];
        state.attempts - state.uncounted < self.plan.max_attempts
    }

    /// Whether a service has a target that was not tried yet and may be called.
    pub(super) fn may_try(&self, service: usize) -> bool {
        let state = &self.states[service];
        let below_limit = state.attempts - state.unsent < self.plan.max_attempts;
        let has_untried = state.attempts < self.plan.services[service].len();
        has_untried && (below_limit || self.may_call(service))
    }

    /// Target that a service is called at next, if the request has not called it yet and the service has
    /// one open call, which may be taken back for it.
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
    /// assert_eq!(gather.untried_target(0), Some(1));
    /// let taken_back = Reply::NotRun(MissingReason::Withdrawn);
    /// let actions = gather.reply(Time::from_millis(3), AttemptId(0), taken_back, 7, &mut budgets);
    /// assert!(matches!(actions[..], [Action::Call { target: 1, .. }]));
    /// assert_eq!(gather.untried_target(0), None);
    /// ```
    #[must_use]
    pub fn untried_target(&self, service: usize) -> Option<usize> {
        let (state, targets) = (self.states.get(service)?, &self.plan.services[service]);
        let next = *targets.get(state.attempts)?;
        let is_tried = targets[..state.attempts].contains(&next);
        (state.open == 1 && !is_tried && !self.calls_stopped && !self.done).then_some(next)
    }

    /// Takes an attempt that was not sent out of the limit. This happens once for each target, so that
    /// the query ends although targets go out of use again and again.
    pub(super) fn uncount_attempt(&mut self, service: usize) {
        let targets: BTreeSet<usize> = self.plan.services[service].iter().copied().collect();
        let state = &mut self.states[service];
        state.uncounted = (state.uncounted + 1).min(targets.len());
    }

    /// Number of the budget that a service draws on, 0 if the plan lists none.
    pub(super) fn budget(&self, service: usize) -> usize {
        self.plan.budgets.get(service).copied().unwrap_or(0)
    }
}
