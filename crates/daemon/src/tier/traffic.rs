//! State of the traffic thread: upstreams, latency estimates and the budgets for extra calls.
//!
//! Control publishes a [`View`] whenever something changed. The thread picks it up with the next
//! request and shares nothing else but counters, so serving a request takes no lock.

mod reach;

use {
    crate::{
        clock,
        tier::{
            accounts::KeyChecks,
            admission::AdmissionQueue,
            connection::Answer,
            meters::{self, Meters},
            quarantine::{RecentAnswers, SharedQuarantine, Trials},
            quota::SharedQuotas,
            relay::RelayClient,
            rollouts::{SharedRollouts, TrafficRollouts},
            upstream::{SharedCalls, Upstream},
            view::{Gauges, SharedView, View},
        },
    },
    rattanturn_core::{
        Time,
        cold::request_quota as quota,
        discovery::Target,
        gather::{BudgetPair, Budgets},
        hedge::{Budget, CallLatency},
        quota::connection_quota,
        rate_share::{self, Room},
        reach::Reach,
        selection::TargetSelector,
        silence::Silence,
        weighted::WeightedRoundRobin,
    },
    rattanturn_tables::TierSettings,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::IpAddr,
        rc::Rc,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Fractions of the allowed ratio of extra calls that hedges and retries get. The rest covers what
/// daemons count differently, such as a request that one daemon began and another one retries.
const HEDGE_RATIO_FRACTION: f64 = 0.65;
const RETRY_RATIO_FRACTION: f64 = 0.3;
/// Fractions of the allowed slack that hedges and retries of all daemons together may save up.
const HEDGE_SLACK_FRACTION: f64 = 0.35;
const RETRY_SLACK_FRACTION: f64 = 0.35;
/// Quantile of a route's call latencies above which a call counts as slow. When a sixth of the
/// targets are slow at once, a higher one would follow them, and their calls would not be hedged.
const SLOW_QUANTILE: f64 = 0.75;
/// Weight of the newest answer in a target's relative latency.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.25;
/// Highest relative latency that one answer counts with, so that an outlier soon fades.
const MAX_RELATIVE_LATENCY: f64 = 8.0;
/// Connections that all daemons together may have to a target whose service sets no limit.
const DEFAULT_MAX_CONNECTIONS: u32 = 64;
/// Interval of checking which targets that are down are due for a probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of closing idle connections that cannot be reused. A new view is also applied at least
/// this often, without a request.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// States that traffic shares with control, which exchanges them with other daemons.
pub(crate) struct SharedStates {
    pub(crate) quarantine: Arc<SharedQuarantine>,
    pub(crate) quotas: Arc<SharedQuotas>,
    pub(crate) rollouts: Arc<SharedRollouts>,
}

/// State of one traffic thread, shared by all its requests.
pub(crate) struct Traffic {
    shared: SharedView,
    view: RefCell<Arc<View>>,
    /// Upstreams by index; an index is never reused, so it never refers to another target.
    upstreams: RefCell<HashMap<usize, Rc<Upstream>>>,
    next_index: Cell<usize>,
    /// Index of each target by its id.
    by_id: RefCell<HashMap<String, usize>>,
    /// Indexes of each service's targets.
    by_service: RefCell<HashMap<String, Vec<usize>>>,
    /// Call latencies by route.
    latencies: RefCell<HashMap<String, CallLatency>>,
    /// Index into `budgets` by service.
    budget_indexes: RefCell<HashMap<String, usize>>,
    /// State of each split route.
    round_robins: RefCell<HashMap<String, WeightedRoundRobin>>,
    /// Grows with each request, so that equally good targets take turns.
    tie_break: Cell<u64>,
    pub(crate) selector: RefCell<TargetSelector>,
    reach: RefCell<Reach>,
    pub(crate) budgets: RefCell<Budgets>,
    /// Extra calls that all daemons together may save up.
    retry_slack: f64,
    /// Address at which targets are reached instead of their own.
    gateway: Option<IpAddr>,
    /// Data centre of this daemon.
    pub(crate) centre: String,
    calls: Rc<SharedCalls>,
    silence: RefCell<Silence>,
    /// Wakes the open requests when this daemon reaches no target any more.
    lost: Notify,
    pub(crate) relay: RelayClient,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    pub(crate) quotas: Arc<SharedQuotas>,
    pub(crate) admission: AdmissionQueue,
    pub(crate) trials: Trials,
    pub(crate) answers: RecentAnswers,
    /// Wakes the open requests when there is new evidence against any request.
    pub(crate) evidence: Notify,
    pub(crate) key_checks: KeyChecks,
    pub(crate) rollouts: TrafficRollouts,
    gauges: Arc<Gauges>,
    pub(crate) meters: Meters,
    /// Number of requests that are being served.
    pub(crate) open_requests: Cell<usize>,
}

impl Traffic {
    pub(crate) fn new(
        shared: SharedView,
        gauges: Arc<Gauges>,
        states: SharedStates,
        tier: &TierSettings,
        centre: String,
    ) -> Rc<Self> {
        let ratio = tier.retry_ratio;
        let initial = BudgetPair {
            hedge: Budget::new(ratio * HEDGE_RATIO_FRACTION, 1.0),
            retry: Budget::new(ratio * RETRY_RATIO_FRACTION, 1.0),
        };
        let key_checks = KeyChecks::new(shared.clone(), gauges.clone(), tier);
        let traffic = Rc::new(Self {
            // The empty view differs from any that is published, so the first one is applied like
            // all others, also if it was published before this thread started.
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
            reach: RefCell::default(),
            budgets: RefCell::new(Budgets::new(initial)),
            retry_slack: tier.retry_slack,
            gateway: tier.target_gateway,
            centre,
            calls: Rc::default(),
            silence: RefCell::default(),
            lost: Notify::new(),
            relay: RelayClient::default(),
            quarantine: states.quarantine,
            admission: AdmissionQueue::new(states.quotas.clone()),
            quotas: states.quotas,
            trials: Trials::default(),
            answers: RecentAnswers::default(),
            evidence: Notify::new(),
            key_checks,
            rollouts: TrafficRollouts::new(states.rollouts),
            gauges,
            meters: Meters::default(),
            open_requests: Cell::new(0),
        });
        actix_rt::spawn(close_idle_connections(traffic.clone()));
        actix_rt::spawn(probe_down_targets(traffic.clone()));
        actix_rt::spawn(watch_evidence(traffic.clone()));
        traffic
    }

    /// The current view. A new one is first applied to the upstreams.
    pub(crate) fn view(self: &Rc<Self>) -> Arc<View> {
        let newest = self.shared.load();
        if !Arc::ptr_eq(&newest, &self.view.borrow()) {
            let newest = newest.clone();
            self.apply_view(&newest);
            *self.view.borrow_mut() = newest;
        }
        self.view.borrow().clone()
    }

    /// Creates, updates and removes upstreams so that they match the view's targets.
    ///
    /// A target with another incarnation or address gets a new upstream: its connections, health
    /// and latency start afresh.
    fn apply_view(self: &Rc<Self>, view: &View) {
        let now = clock::now();
        self.set_budget_bursts(view);
        let mut by_id = HashMap::new();
        let mut by_service: HashMap<String, Vec<usize>> = HashMap::new();
        let mut upstreams = self.upstreams.borrow_mut();
        let old = self.by_id.take();
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
                let qps = settings.and_then(|s| s.cold_rate);
                upstream.cold_quota.set(
                    qps.map(|r| quota(r, &view.daemons, view.me, &target.id, view.calling_daemons)),
                );
                if !target.cold_left.is_zero() {
                    upstream.cold_until.set(now + target.cold_left);
                }
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
                upstream.usable.set(false);
                self.selector.borrow_mut().forget(index);
            }
        }
        *self.by_id.borrow_mut() = by_id;
        *self.by_service.borrow_mut() = by_service;
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
        Upstream::new(target.clone(), self.gateway, self.calls.clone())
    }

    /// The upstream of an index; `None` after its target was removed.
    pub(crate) fn upstream(&self, index: usize) -> Option<Rc<Upstream>> {
        self.upstreams.borrow().get(&index).cloned()
    }

    /// The view that was applied last.
    pub(crate) fn current_view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Indexes of a service's targets.
    pub(crate) fn targets_of(&self, service: &str) -> Vec<usize> {
        let by_service = self.by_service.borrow();
        by_service.get(service).cloned().unwrap_or_default()
    }

    /// Those of some targets that are available, in the order to try them.
    ///
    /// Targets whose rate limit leaves no slot are not among them, unless all are such.
    pub(crate) fn order_among(&self, now: Time, targets: Vec<usize>) -> Vec<usize> {
        let upstreams = self.upstreams.borrow();
        let usable = targets.into_iter().filter(|i| upstreams[i].is_available());
        let (mut usable, exhausted): (Vec<usize>, Vec<usize>) =
            usable.partition(|i| upstreams[i].room(now) < Room::Exhausted);
        if usable.is_empty() {
            usable = exhausted;
        }
        self.tie_break.set(self.tie_break.get().wrapping_add(1));
        let selector = self.selector.borrow();
        let mut order = selector.order_distinct(now, usable, self.tie_break.get());
        // Targets without a free connection come last: a call there waits for another one to end.
        order.sort_by_key(|i| (!upstreams[i].has_free_connection(), upstreams[i].room(now)));
        order
    }

    /// When a service has an available target whose rate limit allows a call: `now` if it has one
    /// already, `None` if it has no available target.
    pub(crate) fn callable_at(&self, now: Time, service: &str) -> Option<Time> {
        let targets = self.common_targets(now, service);
        let upstreams = self.upstreams.borrow();
        let available = targets.iter().map(|i| &upstreams[i]);
        let available = available.filter(|u| u.is_available());
        available.map(|u| u.next_slot(now)).min()
    }

    /// Index of a service's budgets in `budgets`; a new service gets the next one.
    pub(crate) fn budget_index(&self, service: &str) -> usize {
        let mut indexes = self.budget_indexes.borrow_mut();
        if let Some(index) = indexes.get(service) {
            return *index;
        }
        let index = indexes.len();
        indexes.insert(service.into(), index);
        index
    }

    /// Latency above which a call of the route counts as slow.
    pub(crate) fn slow_threshold(&self, route: &str) -> Duration {
        let latencies = self.latencies.borrow();
        latencies.get(route).map_or_else(
            || CallLatency::at(SLOW_QUANTILE).slow_threshold(),
            CallLatency::slow_threshold,
        )
    }

    /// Service for the next request of a split route; `None` if no service has a weight.
    pub(crate) fn next_service(
        &self,
        route: &str,
        services: &[rattanturn_core::catalog::WeightedService],
    ) -> Option<String> {
        let mut round_robins = self.round_robins.borrow_mut();
        let round_robin = round_robins.entry(route.into()).or_default();
        round_robin.next(services).map(ToOwned::to_owned)
    }

    /// Updates the latency estimates of the route and of the target that answered.
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
            let latency = latencies
                .entry(route.into())
                .or_insert_with(|| CallLatency::at(SLOW_QUANTILE));
            latency.record(took).min(MAX_RELATIVE_LATENCY)
        };
        upstream.relative_latency.set(
            upstream.relative_latency.get() * (1.0 - RELATIVE_LATENCY_WEIGHT)
                + relative_latency * RELATIVE_LATENCY_WEIGHT,
        );
        // The target's queue, in calls that wait for each of its slots.
        let queue = answer
            .head
            .load
            .map_or(0.0, |l| f64::from(l.waiting) / f64::from(l.slots.max(1)));
        self.record_relative_latency(now, index, upstream.relative_latency.get() + queue);
    }

    /// Sets the relative latency that is expected of the target's next call.
    pub(crate) fn record_relative_latency(&self, now: Time, index: usize, relative_latency: f64) {
        self.selector
            .borrow_mut()
            .record_relative_latency(now, index, relative_latency);
    }

    /// Counts and logs a lost call; its target is avoided for a while.
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

    /// Time since the targets were last read from the store or confirmed by a peer.
    pub(crate) fn targets_age(&self, now: Time) -> Duration {
        now.since(Time::from_micros(
            self.gauges.read_micros.load(Ordering::Relaxed),
        ))
    }

    /// Time since the roll-outs were last read from the store or confirmed by a peer.
    pub(crate) fn rollouts_silent(&self, now: Time) -> Duration {
        let read = self.gauges.rollouts_micros.load(Ordering::Relaxed);
        now.since(Time::from_micros(read))
    }

    /// Stores this thread's counts where control reads them.
    pub(crate) fn publish_gauges(&self) {
        let gauges = &self.gauges;
        let upstreams = self.upstreams.borrow();
        let connections: usize = upstreams.values().map(|u| u.connections()).sum();
        gauges
            .open_requests
            .store(self.open_requests.get(), Ordering::Release);
        gauges.upstreams.store(upstreams.len(), Ordering::Relaxed);
        gauges.connections.store(connections, Ordering::Relaxed);
        self.admission.publish_gauges();
        let limited = upstreams.values().filter(|u| u.is_limited());
        meters::set_limited_targets(limited.count());
    }
}

/// Probes targets that are down, without end.
async fn probe_down_targets(traffic: Rc<Traffic>) {
    loop {
        actix_rt::time::sleep(PROBE_INTERVAL).await;
        let now = clock::now();
        let upstreams = traffic.upstreams.borrow();
        for upstream in upstreams.values().filter(|u| u.probe_due(now)) {
            let upstream = upstream.clone();
            actix_rt::spawn(async move { upstream.probe().await });
        }
    }
}

/// Tells the quarantine of recent answers, and wakes the open requests, when there is new evidence,
/// without end.
async fn watch_evidence(traffic: Rc<Traffic>) {
    loop {
        traffic.quarantine.wait_evidence().await;
        traffic.answers.tell(&traffic.quarantine);
        traffic.evidence.notify_waiters();
    }
}

/// Closes idle connections that cannot be reused, without end.
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
