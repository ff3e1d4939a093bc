//! State of the traffic thread: upstreams, latency estimates and the budgets for extra calls.
//!
//! Control publishes a [`View`] whenever something changed. The thread picks it up with the next
//! request and shares nothing else but counters, so serving a request takes no lock.

mod latencies;
mod reach;
mod upstreams;

use {
    crate::{
        clock, supervise,
        tier::{
            accounts::KeyChecks,
            admission::AdmissionQueue,
            memory::{Memory, MemoryUser},
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
        gather::{BudgetPair, Budgets},
        hedge::{Budget, CallLatency},
        rate_share::Room,
        reach::Reach,
        readers::STALE_AFTER,
        selection::TargetSelector,
        shutdown::StopSchedule,
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
    tokio::sync::{Notify, watch},
};

/// Fractions of the allowed ratio of extra calls that hedges and retries get. The rest covers what
/// daemons count differently, such as a request that one daemon began and another one retries.
const HEDGE_RATIO_FRACTION: f64 = 0.65;
const RETRY_RATIO_FRACTION: f64 = 0.3;
/// Interval of checking which targets that are down are due for a probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of checking whether the daemon stops, which is short beside the times of a stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of closing idle connections that cannot be reused. A new view is also applied at least
/// this often, without a request.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a target gets no calls after it said in an answer that it leaves, while the store
/// can be read and still names it as ready. It is ten times the drain limit of deployments: a
/// target that really leaves withdraws its entry within seconds, and one whose answers said so by
/// mistake is used again.
const LEAVING_TIME: Duration = Duration::from_secs(30);

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
    /// Times for which calls held a connection, by route: latencies without the wait for it.
    held: RefCell<HashMap<String, CallLatency>>,
    /// Index into `budgets` by service.
    budget_indexes: RefCell<HashMap<String, usize>>,
    /// State of each split route.
    round_robins: RefCell<HashMap<String, WeightedRoundRobin>>,
    /// Grows with each request, so that equally good targets take turns.
    tie_break: Cell<u64>,
    pub(crate) selector: RefCell<TargetSelector>,
    /// Incarnation of each target that says in its answers that it leaves, and since when, while its
    /// entry or its data centre is not used.
    leaving: RefCell<HashMap<String, (u64, Time)>>,
    /// When the targets were last known to be outdated.
    outdated: Cell<Time>,
    reach: RefCell<Reach>,
    pub(crate) budgets: RefCell<Budgets>,
    /// Extra calls that all daemons together may save up.
    retry_slack: f64,
    /// Interval at which targets write their entries.
    heartbeat: Duration,
    /// Address at which targets are reached instead of their own.
    gateway: Option<IpAddr>,
    /// Data centre of this daemon.
    pub(crate) centre: String,
    calls: Rc<SharedCalls>,
    silence: RefCell<Silence>,
    /// Wakes the open requests when this daemon reaches no target any more.
    lost: Notify,
    pub(crate) relay: RelayClient,
    /// Counts callers' requests while they are in memory.
    pub(crate) uploads: Rc<MemoryUser>,
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
    /// Wakes connections and open requests when a stop begins.
    stop: watch::Sender<Option<StopSchedule>>,
}

/// Counts a request as open until it is dropped.
pub(crate) struct OpenRequest(Arc<Gauges>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
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
        let memory = Memory::new(tier.memory_bytes);
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
            held: RefCell::default(),
            budget_indexes: RefCell::default(),
            round_robins: RefCell::default(),
            tie_break: Cell::new(0),
            selector: RefCell::default(),
            leaving: RefCell::default(),
            outdated: Cell::default(),
            reach: RefCell::default(),
            budgets: RefCell::new(Budgets::new(initial)),
            retry_slack: tier.retry_slack,
            heartbeat: tier.heartbeat,
            gateway: tier.target_gateway,
            centre,
            relay: RelayClient::new(&memory),
            uploads: memory.add_user("callers", "callers"),
            calls: Rc::new(SharedCalls::new(memory)),
            silence: RefCell::default(),
            lost: Notify::new(),
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
            stop: watch::Sender::default(),
        });
        traffic.spawn_task("view", apply_views);
        traffic.spawn_task("withdrawn targets", restore_withdrawn_targets);
        traffic.spawn_task("idle connections", close_idle_connections);
        traffic.spawn_task("probes", probe_down_targets);
        traffic.spawn_task("evidence", watch_evidence);
        traffic.spawn_task("stop", watch_stop);
        traffic
    }

    /// Starts a task without end.
    fn spawn_task<F>(self: &Rc<Self>, name: &'static str, task: impl Fn(Rc<Self>) -> F + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        let traffic = self.clone();
        supervise::spawn(name, move || task(traffic.clone()));
    }

    /// The current view. A new one is first applied to the upstreams.
    pub(crate) fn view(self: &Rc<Self>) -> Arc<View> {
        // The time comes first, so that it is never newer than the view.
        let read = self.gauges.read_micros.load(Ordering::Acquire);
        let newest = self.shared.load();
        self.calls.targets_read.set(Time::from_micros(read));
        if !Arc::ptr_eq(&newest, &self.view.borrow()) {
            let newest = newest.clone();
            self.apply_view(&newest);
            *self.view.borrow_mut() = newest;
        }
        self.view.borrow().clone()
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
    /// Targets whose rate limit leaves no slot, or that get no more requests for now because they are
    /// cold, are not among them, unless all are such.
    pub(crate) fn order_among(&self, now: Time, targets: Vec<usize>) -> Vec<usize> {
        let usable = self.callable(now, targets);
        let upstreams = self.upstreams.borrow();
        let (mut usable, exhausted): (Vec<usize>, Vec<usize>) = usable.into_iter().partition(|i| {
            upstreams[i].room(now) < Room::Exhausted && upstreams[i].has_cold_room(now)
        });
        if usable.is_empty() {
            usable = exhausted;
        }
        self.tie_break.set(self.tie_break.get().wrapping_add(1));
        let selector = self.selector.borrow();
        let mut order = selector.order_distinct(now, usable, self.tie_break.get());
        // Targets without a free connection come last: a call there waits for another one to end.
        order.sort_by_key(|i| (upstreams[i].queue_time(now), upstreams[i].room(now)));
        order
    }

    /// When a service has an available target whose rate limit allows a call: `now` if it has one
    /// already, `None` if it has no available target.
    pub(crate) fn callable_at(&self, now: Time, service: &str) -> Option<Time> {
        let targets = self.callable(now, self.common_targets(now, service));
        let upstreams = self.upstreams.borrow();
        targets.iter().map(|i| upstreams[i].next_slot(now)).min()
    }

    /// Those of some targets that are available, or if there is none, those that have said a short
    /// time ago that they leave: they still serve, and callers would be refused otherwise.
    fn callable(&self, now: Time, targets: Vec<usize>) -> Vec<usize> {
        let upstreams = self.upstreams.borrow();
        let (available, others): (Vec<usize>, Vec<usize>) = targets
            .into_iter()
            .partition(|i| upstreams[i].is_available());
        if !available.is_empty() {
            return available;
        }
        let leaving = others.into_iter();
        leaving
            .filter(|i| upstreams[i].is_last_resort(now))
            .collect()
    }

    /// Whether a target has said that it leaves, and must not be called any more.
    pub(crate) fn is_withdrawn(&self, now: Time, upstream: &Upstream, index: usize) -> bool {
        if upstream.leaving_since().is_none() {
            return false;
        }
        let service = upstream.target.borrow().service.clone();
        let targets = self.common_targets(now, &service);
        !self.callable(now, targets).contains(&index)
    }

    /// Calls targets again that have said that they leave but are still in the store long after.
    fn restore_withdrawn(&self, now: Time) {
        if self.targets_age(now) > STALE_AFTER {
            self.outdated.set(now);
        }
        let outdated = self.outdated.get();
        let is_over = |since: Time| now.since(since.max(outdated)) > LEAVING_TIME;
        self.leaving
            .borrow_mut()
            .retain(|_, (_, since)| !is_over(*since));
        for upstream in self.upstreams.borrow().values() {
            if upstream.leaving_since().is_some_and(is_over) {
                upstream.set_leaving(None);
                let target = upstream.target.borrow();
                let (target_id, service) = (&target.id, &target.service);
                tracing::warn!(%target_id, %service, "target said that it leaves, but is still ready");
            }
        }
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

    /// Counts a request as open, which control reads.
    pub(crate) fn open_request(&self) -> OpenRequest {
        self.gauges.open_requests.fetch_add(1, Ordering::AcqRel);
        OpenRequest(self.gauges.clone())
    }

    /// Notes that no connection of a caller is accepted any more.
    pub(crate) fn listener_closed(&self) {
        self.gauges.listener_closed.store(true, Ordering::Release);
    }

    /// The times of the graceful stop, as soon as one begins.
    pub(crate) fn stop_schedule(&self) -> watch::Receiver<Option<StopSchedule>> {
        self.stop.subscribe()
    }

    /// Stores this thread's counts where control reads them.
    pub(crate) fn publish_gauges(&self) {
        let gauges = &self.gauges;
        let upstreams = self.upstreams.borrow();
        let connections: usize = upstreams.values().map(|u| u.connections()).sum();
        gauges.upstreams.store(upstreams.len(), Ordering::Relaxed);
        gauges.connections.store(connections, Ordering::Relaxed);
        let leaving = upstreams.values().filter(|u| u.leaving_since().is_some());
        let leaving = leaving.count();
        gauges.withdrawn_targets.store(leaving, Ordering::Relaxed);
        meters::set_withdrawn_targets(leaving);
        self.admission.publish_gauges();
        meters::set_held_bytes(self.calls.memory.held());
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

/// Wakes connections and open requests when a stop begins, without end. It is a task of its own, so that a
/// panic in another one does not keep the daemon from closing.
async fn watch_stop(traffic: Rc<Traffic>) {
    loop {
        let stop = traffic.shared.load().stop;
        traffic.stop.send_if_modified(|known| {
            let changed = *known != stop;
            *known = stop;
            changed
        });
        actix_rt::time::sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// Applies new views while no request does, without end.
async fn apply_views(traffic: Rc<Traffic>) {
    loop {
        actix_rt::time::sleep(IDLE_CHECK_INTERVAL).await;
        traffic.view();
    }
}

/// Calls targets again that stay although they have said that they leave, without end.
async fn restore_withdrawn_targets(traffic: Rc<Traffic>) {
    loop {
        actix_rt::time::sleep(IDLE_CHECK_INTERVAL).await;
        traffic.restore_withdrawn(clock::now());
    }
}

/// Closes idle connections that cannot be reused, without end.
async fn close_idle_connections(traffic: Rc<Traffic>) {
    loop {
        actix_rt::time::sleep(IDLE_CHECK_INTERVAL).await;
        let upstreams: Vec<Rc<Upstream>> = traffic.upstreams.borrow().values().cloned().collect();
        let now = clock::now();
        for upstream in &upstreams {
            upstream.close_idle(now);
        }
    }
}
