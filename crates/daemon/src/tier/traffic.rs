//! State of the traffic thread: upstreams, latency estimates and budgets.

use {
    crate::{
        clock,
        tier::{
            connection::Answer,
            meters::Meters,
            upstream::Upstream,
            view::{Gauges, SharedView, View},
        },
    },
    rattanturn_core::{
        Time,
        cold::request_quota as quota,
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
const HEDGE_RATIO_FRACTION: f64 = 0.65;
const RETRY_RATIO_FRACTION: f64 = 0.3;
/// Shares of the allowed slack that all daemons together may save up.
const HEDGE_SLACK_FRACTION: f64 = 0.35;
const RETRY_SLACK_FRACTION: f64 = 0.35;
/// Share of calls that answer within a route's usual slow time. A higher one would follow the
/// slow targets when a sixth of them are slow at once, and their calls would not count as late.
const SLOW_QUANTILE: f64 = 0.75;
/// Weight of the newest answer in a target's relative latency.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.25;
/// Slowest relative latency that one answer can tell.
const MAX_RELATIVE_LATENCY: f64 = 8.0;
/// Connections to a target whose service names no bound, from all daemons together.
const DEFAULT_MAX_CONNECTIONS: u32 = 64;
/// Interval of looking for targets whose probe is due.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of closing connections that will not be used again.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What one traffic thread knows and counts.
pub(crate) struct Traffic {
    shared: SharedView,
    view: RefCell<Arc<View>>,
    /// Upstreams by index; an index is never reused, so it never refers to another target.
    upstreams: RefCell<HashMap<usize, Rc<Upstream>>>,
    next_index: Cell<usize>,
    by_id: RefCell<HashMap<String, usize>>,
    by_service: RefCell<HashMap<String, Vec<usize>>>,
    latencies: RefCell<HashMap<String, CallLatency>>,
    budget_indexes: RefCell<HashMap<String, usize>>,
    round_robins: RefCell<HashMap<String, WeightedRoundRobin>>,
    tie_break: Cell<u64>,
    pub(crate) selector: RefCell<TargetSelector>,
    pub(crate) budgets: RefCell<Budgets>,
    retry_slack: f64,
    gauges: Arc<Gauges>,
    pub(crate) meters: Meters,
    /// Requests that are being served.
    pub(crate) open_requests: Cell<usize>,
}

impl Traffic {
    pub(crate) fn new(shared: SharedView, gauges: Arc<Gauges>, tier: &TierSettings) -> Rc<Self> {
        let ratio = tier.retry_ratio;
        let initial = BudgetPair {
            hedge: Budget::new(ratio * HEDGE_RATIO_FRACTION, 1.0),
            retry: Budget::new(ratio * RETRY_RATIO_FRACTION, 1.0),
        };
        let traffic = Rc::new(Self {
            // The first view is followed like any other, also if it is there already.
            view: RefCell::default(),
            shared,
            upstreams: RefCell::default(),
            next_index: Cell::new(0),
            by_id: RefCell::default(),
            by_service: RefCell::default(),
            latencies: RefCell::default(),
            budget_indexes: RefCell::default(),
            round_robins: RefCell::default(),
            tie_break: Cell::new(0),
            selector: RefCell::default(),
            budgets: RefCell::new(Budgets::new(initial)),
            retry_slack: tier.retry_slack,
            gauges,
            meters: Meters::default(),
            open_requests: Cell::new(0),
        });
        actix_rt::spawn(close_idle_connections(traffic.clone()));
        actix_rt::spawn(probe_down_targets(traffic.clone()));
        traffic
    }

    /// The view in force; upstreams follow it.
    pub(crate) fn view(self: &Rc<Self>) -> Arc<View> {
        let newest = self.shared.load();
        if !Arc::ptr_eq(&newest, &self.view.borrow()) {
            let newest = newest.clone();
            self.apply_view(&newest);
            *self.view.borrow_mut() = newest;
        }
        self.view.borrow().clone()
    }

    /// Opens, updates and ends upstreams as the view names targets.
    fn apply_view(self: &Rc<Self>, view: &View) {
        let now = clock::now();
        self.set_budget_bursts(view);
        let mut by_id = HashMap::new();
        let mut by_service: HashMap<String, Vec<usize>> = HashMap::new();
        let mut upstreams = self.upstreams.borrow_mut();
        let old = self.by_id.take();
        for (service, targets) in &view.services {
            let known = view.catalog.as_ref().and_then(|c| c.service(service));
            for target in targets {
                let same = old.get(&target.id).copied().filter(|i| {
                    let at = upstreams[i].target.borrow();
                    at.incarnation == target.incarnation && at.addr == target.addr
                });
                let index = same.unwrap_or_else(|| {
                    let index = self.next_index.get();
                    self.next_index.set(index + 1);
                    upstreams.insert(index, Rc::new(Upstream::new(target.clone())));
                    index
                });
                let upstream = &upstreams[&index];
                *upstream.target.borrow_mut() = target.clone();
                let accepted = known.and_then(|s| s.connections);
                let accepted = accepted.unwrap_or(DEFAULT_MAX_CONNECTIONS);
                upstream.set_max_connections(connection_quota(
                    accepted,
                    view.sharing_daemons,
                    view.advertised,
                ));
                let qps = known.and_then(|s| s.cold_rate);
                upstream.cold_quota.set(
                    qps.map(|r| quota(r, &view.daemons, view.me, &target.id, view.calling_daemons)),
                );
                if !target.cold_left.is_zero() {
                    upstream.cold_until.set(now + target.cold_left);
                }
                if same.is_none() && view.advertised {
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
                .is_some_and(|l| by_id.get(&l.target.borrow().id) == Some(&index));
            if !kept && let Some(upstream) = upstreams.remove(&index) {
                upstream.usable.set(false);
                self.selector.borrow_mut().forget(index);
            }
        }
        *self.by_id.borrow_mut() = by_id;
        *self.by_service.borrow_mut() = by_service;
    }

    /// Takes this daemon's part of the extra calls that all daemons may save up.
    fn set_budget_bursts(&self, view: &View) {
        let sharers = if view.advertised {
            view.sharing_daemons
        } else {
            view.daemons.len()
        };
        let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
        let part = self.retry_slack / f64::from(sharers.max(1));
        let mut budgets = self.budgets.borrow_mut();
        // Less than one call could never be spent.
        let burst = |share: f64| (part * share).max(1.0);
        budgets.set_bursts(burst(HEDGE_SLACK_FRACTION), burst(RETRY_SLACK_FRACTION));
    }

    pub(crate) fn upstream(&self, index: usize) -> Option<Rc<Upstream>> {
        self.upstreams.borrow().get(&index).cloned()
    }

    /// Targets of a service in the order to try them.
    pub(crate) fn order_targets(&self, now: Time, service: &str) -> Vec<usize> {
        let upstreams = self.upstreams.borrow();
        let by_service = self.by_service.borrow();
        let Some(all) = by_service.get(service) else {
            return Vec::new();
        };
        let usable = all.iter().copied().filter(|i| upstreams[i].is_available());
        self.tie_break.set(self.tie_break.get().wrapping_add(1));
        let selector = self.selector.borrow();
        let mut order = selector.order_distinct(now, usable.collect(), self.tie_break.get());
        // A call that waits for a connection would wait for another call to end.
        order.sort_by_key(|i| !upstreams[i].has_free_connection());
        order
    }

    /// Whether a service has a target that can be called.
    pub(crate) fn is_reachable(&self, service: &str) -> bool {
        let upstreams = self.upstreams.borrow();
        let by_service = self.by_service.borrow();
        by_service
            .get(service)
            .is_some_and(|all| all.iter().any(|i| upstreams[i].is_available()))
    }

    /// Number of a service's budgets.
    pub(crate) fn budget_index(&self, service: &str) -> usize {
        let mut numbers = self.budget_indexes.borrow_mut();
        if let Some(number) = numbers.get(service) {
            return *number;
        }
        let number = numbers.len();
        numbers.insert(service.into(), number);
        number
    }

    /// Usual slow time of a route's calls.
    pub(crate) fn slow_threshold(&self, route: &str) -> Duration {
        let latencies = self.latencies.borrow();
        latencies.get(route).map_or_else(
            || CallLatency::at(SLOW_QUANTILE).slow_threshold(),
            CallLatency::slow_threshold,
        )
    }

    /// Service for the next request of a split route.
    pub(crate) fn next_service(
        &self,
        route: &str,
        services: &[rattanturn_core::catalog::WeightedService],
    ) -> Option<String> {
        let mut round_robins = self.round_robins.borrow_mut();
        let round_robin = round_robins.entry(route.into()).or_default();
        round_robin.next(services).map(ToOwned::to_owned)
    }

    /// Takes in how long an answer took and what it says of its target.
    pub(crate) fn record_answer(
        &self,
        now: Time,
        route: &str,
        upstream: &Upstream,
        index: usize,
        took: Duration,
        answer: &Answer,
    ) {
        let relative_latency = {
            let mut latencies = self.latencies.borrow_mut();
            let latencies = latencies
                .entry(route.into())
                .or_insert_with(|| CallLatency::at(SLOW_QUANTILE));
            latencies.record(took).min(MAX_RELATIVE_LATENCY)
        };
        upstream.relative_latency.set(
            upstream.relative_latency.get() * (1.0 - RELATIVE_LATENCY_WEIGHT)
                + relative_latency * RELATIVE_LATENCY_WEIGHT,
        );
        let queue = answer
            .head
            .load
            .map_or(0.0, |l| f64::from(l.waiting) / f64::from(l.slots.max(1)));
        self.record_relative_latency(now, index, upstream.relative_latency.get() + queue);
    }

    pub(crate) fn record_relative_latency(&self, now: Time, index: usize, relative_latency: f64) {
        self.selector
            .borrow_mut()
            .record_relative_latency(now, index, relative_latency);
    }

    /// A call was lost: its target is avoided for a while.
    pub(crate) fn record_lost_call(
        &self,
        now: Time,
        index: usize,
        upstream: Option<&Upstream>,
        why: &str,
    ) {
        self.selector.borrow_mut().failed(now, index);
        metrics::counter!("rattanturn_calls_lost_total").increment(1);
        if let Some(upstream) = upstream {
            let target = upstream.target.borrow();
            tracing::debug!(to = %target.id, service = %target.service, why, "a call was lost");
        }
    }

    /// How long ago targets were read or confirmed.
    pub(crate) fn targets_age(&self, now: Time) -> Duration {
        now.since(Time::from_micros(
            self.gauges.read_micros.load(Ordering::Relaxed),
        ))
    }

    /// Tells control what this thread holds.
    pub(crate) fn publish_gauges(&self) {
        let gauges = &self.gauges;
        let upstreams = self.upstreams.borrow();
        let connections: usize = upstreams.values().map(|l| l.connections()).sum();
        gauges
            .open_requests
            .store(self.open_requests.get(), Ordering::Release);
        gauges.upstreams.store(upstreams.len(), Ordering::Relaxed);
        gauges.connections.store(connections, Ordering::Relaxed);
    }
}

/// Looks for targets that are back.
async fn probe_down_targets(traffic: Rc<Traffic>) {
    loop {
        actix_rt::time::sleep(PROBE_INTERVAL).await;
        let now = clock::now();
        let upstreams = traffic.upstreams.borrow();
        for upstream in upstreams.values().filter(|l| l.probe_due(now)) {
            let upstream = upstream.clone();
            actix_rt::spawn(async move { upstream.probe().await });
        }
    }
}

async fn close_idle_connections(traffic: Rc<Traffic>) {
    loop {
        actix_rt::time::sleep(IDLE_CHECK_INTERVAL).await;
        traffic.view();
        let upstreams: Vec<Rc<Upstream>> = traffic.upstreams.borrow().values().cloned().collect();
        let now = clock::now();
        for upstream in &upstreams {
            upstream.close_idle(now);
        }
    }
}
