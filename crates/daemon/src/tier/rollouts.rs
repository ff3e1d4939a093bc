//! Roll-outs on the traffic side: which targets a call may use, and what their answers say.
//!
//! Each daemon counts out the share of its own requests, see [`rattanturn_core::rollout`]. A request
//! that the share gives to the new version gets one call there; its retries and hedges go to the old
//! version, so that extra calls cannot raise the share. The price is that a request whose target of the
//! new version fails is retried without a second opinion on that version.
//!
//! Answers are counted under a lock that traffic and control share. It is taken only for calls to a
//! service with a running order.

use {
    crate::{
        clock,
        planted::{OWN_VERDICT, is_planted},
        tier::{
            meters,
            traffic::Traffic,
            upstream::{Outcome, Upstream},
        },
    },
    rattanturn_core::{
        NodeId, Time,
        rollout::{
            self, Evidence, Rollout, ShareCredit, State, Use, applied_share, carriers, choose,
            is_overdue,
        },
    },
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashMap},
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Index of no target: a call to it is not sent. It takes the place of targets that a request must not
/// use as its retries.
pub(super) const NO_TARGET: usize = usize::MAX;

/// Evidence on one order.
#[derive(Debug, Default)]
struct Tracked {
    evidence: Evidence,
    /// Whether own counters changed since they were last sent.
    changed: bool,
    /// Whether a bad answer of the new version is among them.
    bad: bool,
    /// When the first and the newest evidence of each other daemon came.
    heard: BTreeMap<NodeId, (Time, Time)>,
}

/// Evidence on the running orders, shared by the traffic and the control thread.
#[derive(Debug, Default)]
pub(crate) struct SharedRollouts(Mutex<BTreeMap<String, Tracked>>);

impl SharedRollouts {
    /// Counts a call that has ended at this daemon.
    pub(crate) fn record(&self, rollout: &Rollout, me: NodeId, call: &rollout::Call<'_>) {
        self.with(|all| {
            let tracked = tracked(all, rollout);
            tracked.bad |= tracked.evidence.record(me, call);
            tracked.changed = true;
        });
    }

    /// Takes over counters of other daemons on an order.
    pub(crate) fn merge(&self, now: Time, from: NodeId, rollout: &Rollout, evidence: &Evidence) {
        self.with(|all| {
            let tracked = tracked(all, rollout);
            if !is_planted(OWN_VERDICT) {
                tracked.evidence.merge(evidence);
            }
            let heard = tracked.heard.entry(from).or_insert((now, now));
            heard.1 = now;
        });
    }

    /// Longest time for which one of the daemons that `is_alive` accepts has sent no evidence although
    /// it had requests of the service before, see [`is_overdue`].
    pub(crate) fn silent(
        &self,
        now: Time,
        rollout: &Rollout,
        is_alive: impl Fn(NodeId) -> bool,
    ) -> Duration {
        self.with(|all| {
            let Some(tracked) = all.get(&rollout.order.service) else {
                return Duration::ZERO;
            };
            if tracked.evidence.since_ms != since_ms(rollout) {
                return Duration::ZERO;
            }
            let overdue = tracked.heard.iter().filter(|(id, (first, last))| {
                let answers = tracked.evidence.answers_of(**id);
                is_alive(**id) && is_overdue(answers, last.since(*first), now.since(*last))
            });
            let silent = overdue.map(|(_, (_, last))| now.since(*last));
            silent.max().unwrap_or_default()
        })
    }

    /// All evidence on an order.
    pub(crate) fn evidence(&self, rollout: &Rollout) -> Evidence {
        let since_ms = since_ms(rollout);
        let order = &rollout.order;
        let known = self.with(|all| all.get(&order.service).map(|t| t.evidence.clone()));
        let known = known.filter(|e| e.version == order.version && e.since_ms == since_ms);
        known.unwrap_or_else(|| Evidence::new(&order.service, &order.version, since_ms))
    }

    /// Whether own counters are to be sent, and whether a bad answer is among them.
    pub(crate) fn news(&self) -> (bool, bool) {
        self.with(|all| {
            let changed = all.values().any(|t| t.changed);
            (changed, all.values().any(|t| t.bad))
        })
    }

    /// Own evidence that changed since the last call.
    pub(crate) fn take_news(&self, me: NodeId) -> Vec<Evidence> {
        self.with(|all| {
            let changed = all.values_mut().filter(|t| t.changed);
            let taken = changed.map(|t| {
                (t.changed, t.bad) = (false, false);
                t.evidence.of_node(me)
            });
            taken.collect()
        })
    }

    /// Drops evidence on orders of other services than these.
    pub(crate) fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.with(|all| all.retain(|service, _| keep(service)));
    }

    fn with<T>(&self, f: impl FnOnce(&mut BTreeMap<String, Tracked>) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The evidence on an order, which starts empty with each order.
fn tracked<'a>(all: &'a mut BTreeMap<String, Tracked>, rollout: &Rollout) -> &'a mut Tracked {
    let order = &rollout.order;
    let since_ms = since_ms(rollout);
    let tracked = all.entry(order.service.clone()).or_default();
    let known = &tracked.evidence;
    if known.version != order.version || known.since_ms != since_ms {
        *tracked = Tracked {
            evidence: Evidence::new(&order.service, &order.version, since_ms),
            ..Tracked::default()
        };
    }
    tracked
}

/// When the order's first status was written; 0 if it has none.
pub(crate) fn since_ms(rollout: &Rollout) -> u64 {
    let status = rollout.status.as_ref();
    let own = status.filter(|s| s.version == rollout.order.version);
    own.map_or(0, |s| s.since_ms)
}

/// What a traffic thread keeps for roll-outs.
#[derive(Debug, Default)]
pub(crate) struct TrafficRollouts {
    shared: Arc<SharedRollouts>,
    /// Credit of each service, and the version that it is for.
    credits: RefCell<HashMap<String, (String, ShareCredit)>>,
}

impl TrafficRollouts {
    pub(crate) fn new(shared: Arc<SharedRollouts>) -> Self {
        Self {
            shared,
            credits: RefCell::default(),
        }
    }

    /// The version that the next request uses.
    fn choose(&self, rollout: &Rollout, silent: Duration) -> Use {
        let order = &rollout.order;
        let mut credits = self.credits.borrow_mut();
        let entry = credits.entry(order.service.clone()).or_default();
        if entry.0 != order.version {
            *entry = (order.version.clone(), ShareCredit::default());
        }
        choose(Some(rollout), silent, &mut entry.1)
    }
}

/// Available targets of a service by version.
struct Versions {
    old: Vec<usize>,
    new: Vec<usize>,
}

impl Traffic {
    /// The running or finished roll-out of a service.
    fn rollout(&self, service: &str) -> Option<Arc<Rollout>> {
        self.current_view().rollouts.get(service).cloned()
    }

    /// Targets of a service in the order to try them, for a request with `attempts` calls.
    pub(crate) fn order_targets(&self, now: Time, service: &str, attempts: u32) -> Vec<usize> {
        let all = self.targets_of(service);
        let Some(rollout) = self.rollout(service) else {
            return self.order_among(now, all);
        };
        let silent = self.rollouts_silent(now);
        let share = applied_share(&rollout, silent);
        let Versions { old, new } = self.by_version(&rollout, all);
        let no_old = old.is_empty();
        let usable = self.available(&new);
        if usable.is_empty() || share <= 0.0 {
            return self.order_among(now, old);
        }
        if share >= 1.0 || no_old {
            return self.order_among(now, new);
        }
        if self.rollouts.choose(&rollout, silent) != Use::New {
            return self.order_among(now, old);
        }
        let carriers = self.carriers(&usable, old.len(), share);
        let first = self.order_among(now, carriers);
        first_then(first, &self.order_among(now, old), attempts)
    }

    /// The targets that any request for a service may use.
    pub(crate) fn common_targets(&self, now: Time, service: &str) -> Vec<usize> {
        let all = self.targets_of(service);
        let Some(rollout) = self.rollout(service) else {
            return all;
        };
        let share = applied_share(&rollout, self.rollouts_silent(now));
        let Versions { old, new } = self.by_version(&rollout, all);
        let only_new = share >= 1.0 && !self.available(&new).is_empty();
        if share > 0.0 && (only_new || old.is_empty()) {
            new
        } else {
            old
        }
    }

    /// Whether a target must get no call because its version has no share any more.
    pub(crate) fn is_withheld(&self, now: Time, upstream: &Upstream) -> bool {
        let target = upstream.target.borrow();
        let Some(rollout) = self.rollout(&target.service) else {
            return false;
        };
        let new = target.version == rollout.order.version;
        new && applied_share(&rollout, self.rollouts_silent(now)) <= 0.0
    }

    /// Counts the end of a call for the comparison of versions.
    pub(crate) fn record_version(
        &self,
        route: &str,
        upstream: Option<&Upstream>,
        outcome: &Outcome,
        took: Duration,
    ) {
        let view = self.current_view();
        if view.rollouts.is_empty() {
            return;
        }
        let Some(upstream) = upstream else { return };
        let target = upstream.target.borrow().clone();
        let Some(rollout) = view.rollouts.get(&target.service) else {
            return;
        };
        let outcome = call_outcome(outcome);
        meters::count_version_answer(&target.service, &target.version, outcome);
        if !matches!(rollout.current_state(), Some(State::Running { .. })) {
            return;
        }
        let call = rollout::Call {
            route,
            target: &target.id,
            new: target.version == rollout.order.version,
            cold: upstream.is_cold(clock::now()),
            outcome,
            latency: took,
            at_ms: clock::unix_ms(),
        };
        self.rollouts.shared.record(rollout, view.me, &call);
    }

    fn by_version(&self, rollout: &Rollout, all: Vec<usize>) -> Versions {
        let is_new = |i: &usize| {
            let upstream = self.upstream(*i);
            upstream.is_some_and(|u| u.target.borrow().version == rollout.order.version)
        };
        let (new, old) = all.into_iter().partition(is_new);
        Versions { old, new }
    }

    fn available(&self, targets: &[usize]) -> Vec<usize> {
        let usable = targets.iter().copied();
        let usable = usable.filter(|i| self.upstream(*i).is_some_and(|u| u.is_available()));
        usable.collect()
    }

    /// Those of the usable targets of the new version that carry its share.
    fn carriers(&self, usable: &[usize], old: usize, share: f64) -> Vec<usize> {
        let named = usable
            .iter()
            .filter_map(|i| Some((self.upstream(*i)?.target.borrow().id.clone(), *i)));
        let named: BTreeMap<String, usize> = named.collect();
        let ids: Vec<&str> = named.keys().map(String::as_str).collect();
        let chosen = carriers(&ids, old, share);
        chosen
            .into_iter()
            .filter_map(|id| named.get(id).copied())
            .collect()
    }
}

/// The first of the preferred targets, then only others: as many as a request may call, and one more
/// for each target, whose call may be taken back before it is sent.
fn first_then(preferred: Vec<usize>, others: &[usize], attempts: u32) -> Vec<usize> {
    let Some(first) = preferred.into_iter().next() else {
        return others.to_vec();
    };
    let none = [NO_TARGET];
    let others = if others.is_empty() { &none } else { others };
    let count = attempts as usize + others.len();
    let rest = others.iter().copied().cycle().take(count);
    std::iter::once(first).chain(rest).collect()
}

fn call_outcome(outcome: &Outcome) -> rollout::Outcome {
    match outcome {
        Outcome::Answered(answer) if answer.status < 500 => rollout::Outcome::Answered,
        Outcome::NotRun(_) => rollout::Outcome::NotRun,
        Outcome::Answered(_) | Outcome::Lost(_) | Outcome::TargetEnded(_) => {
            rollout::Outcome::Failed
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{NO_TARGET, first_then};

    /// Guards against a retry that returns to the new version once the others were tried.
    #[test]
    fn a_request_calls_the_new_version_once() {
        let order = first_then(vec![7, 8], &[1, 2], 6);
        assert_eq!(order, [7, 1, 2, 1, 2, 1, 2, 1, 2]);
        let order = first_then(vec![7], &[], 3);
        assert_eq!(order, [7, NO_TARGET, NO_TARGET, NO_TARGET, NO_TARGET]);
        assert_eq!(first_then(vec![], &[1], 3), [1]);
    }
}
