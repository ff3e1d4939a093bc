//! Keeps the upstreams, and what this daemon may use of each target, as the newest view says.

use {
    super::Traffic,
    crate::{
        clock,
        tier::{
            control::ANNOUNCE_INTERVAL,
            sources::{TARGETS_POLL_PAUSE, TARGETS_POLL_TIME},
            upstream::Upstream,
            view::View,
        },
    },
    rattanturn_core::{
        catalog::Service, cold::request_quota, discovery::Target, quota::connection_quota,
        rate_share,
    },
    std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration},
};

/// Fractions of the allowed slack that hedges and retries of all daemons together may save up.
const HEDGE_SLACK_FRACTION: f64 = 0.35;
const RETRY_SLACK_FRACTION: f64 = 0.35;
/// Connections that all daemons together may have to a target whose service sets no limit.
const DEFAULT_MAX_CONNECTIONS: u32 = 64;
/// How much older than their confirmation what a daemon knows of the targets may be: the reader that
/// announces it polls at this interval, and announces at the other.
const READ_LAG: Duration = TARGETS_POLL_TIME
    .saturating_add(TARGETS_POLL_PAUSE)
    .saturating_add(ANNOUNCE_INTERVAL);

impl Traffic {
    /// Creates, updates and removes upstreams so that they match the view's targets.
    ///
    /// A target with another incarnation or address gets a new upstream: its connections, health
    /// and latency start afresh.
    pub(super) fn apply_view(self: &Rc<Self>, view: &View) {
        let now = clock::now();
        self.set_budget_bursts(view);
        let answers_due = view.stop.map(|s| s.answer_by());
        self.calls.answers_due.set(answers_due);
        let mut by_id = HashMap::new();
        let mut by_service: HashMap<String, Vec<usize>> = HashMap::new();
        let mut upstreams = self.upstreams.borrow_mut();
        let old = self.by_id.take();
        let old_view = self.view.borrow().clone();
        let returns = |centre: &String| {
            old_view.evacuated.contains(centre) && !view.evacuated.contains(centre)
        };
        for (service, targets) in &view.services {
            let settings = view.catalog.as_ref().and_then(|c| c.service(service));
            for target in targets {
                let existing = old.get(&target.id).copied().filter(|i| {
                    let current = upstreams[i].target.borrow();
                    current.incarnation == target.incarnation && current.addr == target.addr
                });
                let index = existing.unwrap_or_else(|| {
                    let index = self.next_index.get();
                    self.next_index.set(index + 1);
                    upstreams.insert(index, Rc::new(self.open_upstream(target)));
                    index
                });
                let upstream = &upstreams[&index];
                *upstream.target.borrow_mut() = target.clone();
                set_limits(upstream, view, settings);
                let cold_rate = settings.and_then(|s| s.cold_rate);
                if cold_rate.is_some() && returns(&target.centre) {
                    let known = now + self.heartbeat + READ_LAG;
                    upstream.unread_until.set(known);
                }
                if !target.cold_left.is_zero() {
                    upstream.cold_until.set(now + target.cold_left);
                }
                // A stopping daemon may get no call for a new target any more.
                if existing.is_none() && view.advertised {
                    let upstream = upstream.clone();
                    actix_rt::spawn(async move { upstream.preconnect().await });
                }
                by_id.insert(target.id.clone(), index);
                by_service.entry(service.clone()).or_default().push(index);
            }
        }
        for index in old.into_values() {
            let kept = upstreams
                .get(&index)
                .is_some_and(|u| by_id.get(&u.target.borrow().id) == Some(&index));
            if !kept && let Some(upstream) = upstreams.remove(&index) {
                self.retire(index, &upstream);
            }
        }
        *self.by_id.borrow_mut() = by_id;
        *self.by_service.borrow_mut() = by_service;
    }

    /// Takes an upstream out of use whose target has another one or is in use no more.
    fn retire(&self, index: usize, upstream: &Upstream) {
        upstream.retire();
        if let Some(since) = upstream.leaving_since() {
            let target = upstream.target.borrow();
            let run = (target.incarnation, since);
            self.leaving.borrow_mut().insert(target.id.clone(), run);
        }
        self.selector.borrow_mut().forget(index);
    }

    /// Sets how many extra calls this daemon may save up: an even part of what all daemons may.
    ///
    /// The parts are counted over the daemons that share the targets. A daemon that callers do not
    /// come to counts all daemons instead.
    fn set_budget_bursts(&self, view: &View) {
        let daemons = if view.takes_callers {
            view.sharing_daemons
        } else {
            view.daemons.len()
        };
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        let part = self.retry_slack / f64::from(daemons.max(1));
        let mut budgets = self.budgets.borrow_mut();
        // An extra call costs one token, so a smaller burst would allow none at all.
        let burst = |fraction: f64| (part * fraction).max(1.0);
        budgets.set_bursts(burst(HEDGE_SLACK_FRACTION), burst(RETRY_SLACK_FRACTION));
    }

    fn open_upstream(&self, target: &Arc<Target>) -> Upstream {
        let upstream = Upstream::new(target.clone(), self.gateway, self.calls.clone());
        let leaving = self.leaving.borrow_mut().remove(&target.id);
        let same = leaving.filter(|(incarnation, _)| *incarnation == target.incarnation);
        upstream.set_leaving(same.map(|(_, since)| since));
        upstream
    }
}

/// Sets this daemon's part of what a target takes from all daemons together.
fn set_limits(upstream: &Upstream, view: &View, settings: Option<&Service>) {
    let limit = settings.and_then(|s| s.connections);
    let limit = limit.unwrap_or(DEFAULT_MAX_CONNECTIONS);
    upstream.set_max_connections(connection_quota(
        limit,
        view.sharing_daemons,
        view.takes_callers,
    ));
    upstream.set_rate_fraction(rate_share::fraction(
        view.sharing_daemons,
        view.calling_daemons,
        view.takes_callers,
    ));
    // Cold quotas are divided among all daemons, whether callers come to them or not.
    let rate = settings.and_then(|s| s.cold_rate);
    let id = &upstream.target.borrow().id;
    let quota = rate.map(|r| request_quota(r, &view.daemons, view.me, id, view.calling_daemons));
    upstream.cold_quota.set(quota);
}
