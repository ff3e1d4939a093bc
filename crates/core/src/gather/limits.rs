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
