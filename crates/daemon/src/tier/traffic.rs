//! State of the traffic thread: links to targets, estimates and budgets.

use {
    crate::{
        clock,
        tier::{
            link::Link,
            meters::Meters,
            view::{Gauges, SharedView, View},
            wire::Answer,
        },
    },
    rattanturn_core::{
        Time, cold,
        gather::{BudgetPair, Budgets},
        hedge::{Budget, CallLatency},
        quota::connection_quota,
        selection::TargetSelector,
        weighted::WeightedRoundRobin,
    },
    rattanturn_tables::TierSettings,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Shares of the allowed ratio of extra calls; the rest covers what other daemons count
/// differently, such as a request that one of them began and another repeats.
const HEDGE_RATIO_SHARE: f64 = 0.65;
const RETRY_RATIO_SHARE: f64 = 0.3;
/// Shares of the allowed slack that all daemons together may save up.
const HEDGE_SLACK_SHARE: f64 = 0.35;
const RETRY_SLACK_SHARE: f64 = 0.35;
/// Share of calls that answer within a route's usual slow time. A higher one would follow the
/// slow targets when a sixth of them are slow at once, and their calls would not count as late.
const LATE_QUANTILE: f64 = 0.75;
/// Weight of the newest answer in a target's relative latency.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.25;
/// Slowest relative latency that one answer can tell.
const MAX_RELATIVE_LATENCY: f64 = 8.0;
/// Connections to a target whose service names no bound, from all daemons together.
const DEFAULT_CONNECTIONS: u32 = 64;
/// Interval of looking for targets whose probe is due.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of closing connections that will not be used again.
const TIDY_INTERVAL: Duration = Duration::from_millis(500);

/// What one traffic thread knows and counts.
pub(crate) struct Traffic {
    shared: SharedView,
    view: RefCell<Arc<View>>,
    /// Links by number; a number is never used again, so it cannot come to mean another target.
    links: RefCell<HashMap<usize, Rc<Link>>>,
    next_link: Cell<usize>,
    by_id: RefCell<HashMap<String, usize>>,
    by_service: RefCell<HashMap<String, Vec<usize>>>,
    times: RefCell<HashMap<String, CallLatency>>,
    budget_numbers: RefCell<HashMap<String, usize>>,
    splits: RefCell<HashMap<String, WeightedRoundRobin>>,
    tie_break: Cell<u64>,
    pub(crate) choice: RefCell<TargetSelector>,
    pub(crate) budgets: RefCell<Budgets>,
    slack: f64,
    gauges: Arc<Gauges>,
    pub(crate) meters: Meters,
    /// Requests that are being served.
    pub(crate) open: Cell<usize>,
}

impl Traffic {
    pub(crate) fn open(shared: SharedView, gauges: Arc<Gauges>, tier: &TierSettings) -> Rc<Self> {
        let ratio = tier.retry_ratio;
        let blank = BudgetPair {
            hedge: Budget::new(ratio * HEDGE_RATIO_SHARE, 1.0),
            retry: Budget::new(ratio * RETRY_RATIO_SHARE, 1.0),
        };
        let traffic = Rc::new(Self {
            // The first view is followed like any other, also if it is there already.
            view: RefCell::default(),
            shared,
            links: RefCell::default(),
            next_link: Cell::new(0),
            by_id: RefCell::default(),
            by_service: RefCell::default(),
            times: RefCell::default(),
            budget_numbers: RefCell::default(),
            splits: RefCell::default(),
            tie_break: Cell::new(0),
            choice: RefCell::default(),
            budgets: RefCell::new(Budgets::new(blank)),
            slack: tier.retry_slack,
            gauges,
            meters: Meters::default(),
            open: Cell::new(0),
        });
        actix_rt::spawn(tidy(traffic.clone()));
        actix_rt::spawn(probe(traffic.clone()));
        traffic
    }

    /// The view in force; links follow it.
    pub(crate) fn view(self: &Rc<Self>) -> Arc<View> {
        let newest = self.shared.load();
        if !Arc::ptr_eq(&newest, &self.view.borrow()) {
            let newest = newest.clone();
            self.follow(&newest);
            *self.view.borrow_mut() = newest;
        }
        self.view.borrow().clone()
    }

    /// Opens, updates and ends links as the view names targets.
    fn follow(self: &Rc<Self>, view: &View) {
        let now = clock::now();
        self.share_slack(view);
        let mut by_id = HashMap::new();
        let mut by_service: HashMap<String, Vec<usize>> = HashMap::new();
        let mut links = self.links.borrow_mut();
        let old = self.by_id.take();
        for (service, targets) in &view.services {
            let known = view.catalog.as_ref().and_then(|c| c.service(service));
            for target in targets {
                let same = old.get(&target.id).copied().filter(|i| {
                    let at = links[i].target.borrow();
                    at.incarnation == target.incarnation && at.addr == target.addr
                });
                let index = same.unwrap_or_else(|| {
                    let index = self.next_link.get();
                    self.next_link.set(index + 1);
                    links.insert(index, Rc::new(Link::open(target.clone())));
                    index
                });
                let link = &links[&index];
                *link.target.borrow_mut() = target.clone();
                let accepted = known.and_then(|s| s.connections);
                let accepted = accepted.unwrap_or(DEFAULT_CONNECTIONS);
                link.set_limit(connection_quota(
                    accepted,
                    view.sharing_daemons,
                    view.advertised,
                ));
                let rate = known.and_then(|s| s.cold_rate);
                link.cold_share.set(rate.map(|r| {
                    cold::request_quota(r, &view.daemons, view.me, &target.id, view.calling_daemons)
                }));
                if !target.cold_left.is_zero() {
                    link.cold_until.set(now + target.cold_left);
                }
                if same.is_none() && view.advertised {
                    let link = link.clone();
                    actix_rt::spawn(async move { link.warm().await });
                }
                by_id.insert(target.id.clone(), index);
                by_service.entry(service.clone()).or_default().push(index);
            }
        }
        for index in old.into_values() {
            let kept = links
                .get(&index)
                .is_some_and(|l| by_id.get(&l.target.borrow().id) == Some(&index));
            if !kept && let Some(link) = links.remove(&index) {
                link.usable.set(false);
                self.choice.borrow_mut().forget(index);
            }
        }
        *self.by_id.borrow_mut() = by_id;
        *self.by_service.borrow_mut() = by_service;
    }

    /// Takes this daemon's part of the extra calls that all daemons may save up.
    fn share_slack(&self, view: &View) {
        let sharers = if view.advertised {
            view.sharing_daemons
        } else {
            view.daemons.len()
        };
        let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
        let part = self.slack / f64::from(sharers.max(1));
        let mut budgets = self.budgets.borrow_mut();
        // Less than one call could never be spent.
        let burst = |share: f64| (part * share).max(1.0);
        budgets.set_bursts(burst(HEDGE_SLACK_SHARE), burst(RETRY_SLACK_SHARE));
    }

    pub(crate) fn link(&self, index: usize) -> Option<Rc<Link>> {
        self.links.borrow().get(&index).cloned()
    }

    /// Targets of a service in the order to try them.
    pub(crate) fn order(&self, now: Time, service: &str) -> Vec<usize> {
        let links = self.links.borrow();
        let by_service = self.by_service.borrow();
        let Some(all) = by_service.get(service) else {
            return Vec::new();
        };
        let usable = all.iter().copied().filter(|i| links[i].is_up());
        self.tie_break.set(self.tie_break.get().wrapping_add(1));
        let choice = self.choice.borrow();
        let mut order = choice.order_distinct(now, usable.collect(), self.tie_break.get());
        // A call that waits for a connection would wait for another call to end.
        order.sort_by_key(|i| !links[i].has_room());
        order
    }

    /// Whether a service has a target that can be called.
    pub(crate) fn reachable(&self, service: &str) -> bool {
        let links = self.links.borrow();
        let by_service = self.by_service.borrow();
        by_service
            .get(service)
            .is_some_and(|all| all.iter().any(|i| links[i].is_up()))
    }

    /// Number of a service's budgets.
    pub(crate) fn budget(&self, service: &str) -> usize {
        let mut numbers = self.budget_numbers.borrow_mut();
        if let Some(number) = numbers.get(service) {
            return *number;
        }
        let number = numbers.len();
        numbers.insert(service.into(), number);
        number
    }

    /// Usual slow time of a route's calls.
    pub(crate) fn late(&self, route: &str) -> Duration {
        let times = self.times.borrow();
        times.get(route).map_or_else(
            || CallLatency::at(LATE_QUANTILE).slow_threshold(),
            CallLatency::slow_threshold,
        )
    }

    /// Service for the next request of a split route.
    pub(crate) fn split(
        &self,
        route: &str,
        shares: &[rattanturn_core::catalog::WeightedService],
    ) -> Option<String> {
        let mut splits = self.splits.borrow_mut();
        let split = splits.entry(route.into()).or_default();
        split.next(shares).map(ToOwned::to_owned)
    }

    /// Takes in how long an answer took and what it says of its target.
    pub(crate) fn answered(
        &self,
        now: Time,
        route: &str,
        link: &Link,
        index: usize,
        took: Duration,
        answer: &Answer,
    ) {
        let relative_latency = {
            let mut times = self.times.borrow_mut();
            let times = times
                .entry(route.into())
                .or_insert_with(|| CallLatency::at(LATE_QUANTILE));
            times.record(took).min(MAX_RELATIVE_LATENCY)
        };
        link.relative_latency.set(
            link.relative_latency.get() * (1.0 - RELATIVE_LATENCY_WEIGHT)
                + relative_latency * RELATIVE_LATENCY_WEIGHT,
        );
        let queue = answer
            .head
            .load
            .map_or(0.0, |l| f64::from(l.waiting) / f64::from(l.slots.max(1)));
        self.record_relative_latency(now, index, link.relative_latency.get() + queue);
    }

    pub(crate) fn record_relative_latency(&self, now: Time, index: usize, relative_latency: f64) {
        self.choice
            .borrow_mut()
            .record_relative_latency(now, index, relative_latency);
    }

    /// A call was lost: its target is avoided for a while.
    pub(crate) fn lost(&self, now: Time, index: usize, link: Option<&Link>, why: &str) {
        self.choice.borrow_mut().failed(now, index);
        metrics::counter!("rattanturn_calls_lost_total").increment(1);
        if let Some(link) = link {
            let target = link.target.borrow();
            tracing::debug!(to = %target.id, service = %target.service, why, "a call was lost");
        }
    }

    /// How long ago targets were read or confirmed.
    pub(crate) fn age(&self, now: Time) -> Duration {
        now.since(Time::from_micros(
            self.gauges.read_micros.load(Ordering::Relaxed),
        ))
    }

    /// Tells control what this thread holds.
    pub(crate) fn tell(&self) {
        let gauges = &self.gauges;
        let links = self.links.borrow();
        let connections: usize = links.values().map(|l| l.connections()).sum();
        gauges
            .open_requests
            .store(self.open.get(), Ordering::Release);
        gauges.upstreams.store(links.len(), Ordering::Relaxed);
        gauges.connections.store(connections, Ordering::Relaxed);
    }
}

/// Looks for targets that are back.
async fn probe(traffic: Rc<Traffic>) {
    loop {
        actix_rt::time::sleep(PROBE_INTERVAL).await;
        let now = clock::now();
        let links = traffic.links.borrow();
        for link in links.values().filter(|l| l.probe_due(now)) {
            let link = link.clone();
            actix_rt::spawn(async move { link.probe().await });
        }
    }
}

async fn tidy(traffic: Rc<Traffic>) {
    loop {
        actix_rt::time::sleep(TIDY_INTERVAL).await;
        traffic.view();
        let links: Vec<Rc<Link>> = traffic.links.borrow().values().cloned().collect();
        let now = clock::now();
        for link in &links {
            link.close_idle(now);
        }
    }
}
