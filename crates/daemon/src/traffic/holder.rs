//! Runs calls at the targets whose units this daemon holds by lease.
//!
//! All calls to one target pass through its queue on one thread, so the count of calls in flight
//! is exact without coordination at the time of the call. The price is an extra hop from the
//! thread that serves the caller.
//!
//! The lease is checked when a call is accepted and again right before it is sent. A process can
//! still be paused after the second check and send the call when another daemon holds the lease.
//! The call's absolute deadline therefore always ends within the lease's grace period: the target
//! refuses such a call as expired.

use {
    crate::{
        clock,
        routing::{LeaseState, Routing, SharedRouting, TargetInfo},
        traffic::target_client::{Answer, AnswerKind, CallHead, TargetClient},
    },
    rattanturn_core::{
        Priority, Time,
        lease::LEASE_GRACE,
        queue::{
            CallEnd, CallId, CallRequest, Cancelled, Dispatch, Refusal, TargetLimits, TargetQueue,
            Verdict,
        },
    },
    slotmap::{Key, KeyData, SlotMap, new_key_type},
    std::{
        cell::RefCell,
        collections::{HashMap, hash_map::Entry},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
};

/// Safety margin at the end of a lease's grace period: the deadline of every call lies at least
/// this much before it.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Interval of [`Holder::tick`], and of the other periodic work of a traffic thread.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(10);

new_key_type! {
    /// Identifies a call that is queued or running at this holder.
    struct CallKey;
}

/// A call as it reaches the holder.
#[derive(Clone, Debug)]
pub(crate) struct HolderCall {
    /// Identifies the thread that made the call.
    pub(crate) origin: u64,
    /// Identifies the call among those of `origin`.
    pub(crate) number: u64,
    pub(crate) target: SocketAddr,
    /// Index version to answer from; 0 for any.
    pub(crate) snapshot: u64,
    /// The target refuses a call that arrives later than this.
    pub(crate) deadline: Time,
    pub(crate) priority: Priority,
    pub(crate) body: Vec<u8>,
    /// Set only for a call that is not idempotent.
    pub(crate) request_id: Option<String>,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The target ran the call and answered.
    Done,
    /// Not run: the target does not serve the snapshot.
    WrongSnapshot,
    /// Not run: the queue or the target shed the call.
    Busy,
    /// Not run: the target is down, cannot be connected to or announced its shutdown.
    Unreachable,
    /// Not run: the daemon that got the call may not use the target now.
    NoHolder,
    /// The call may or may not have run.
    Failed,
}

/// The result of a call, which the holder returns to the call's origin.
#[derive(Clone, Debug)]
pub(crate) struct CallResult {
    pub(crate) number: u64,
    pub(crate) outcome: Outcome,
    /// Index version that the answer was made from.
    pub(crate) snapshot: u64,
    pub(crate) body: Vec<u8>,
    /// Index versions that the target serves; empty if it did not answer.
    pub(crate) versions: Vec<u64>,
    /// Estimated time of a new call to the target, including its wait in the queue.
    pub(crate) next_latency: Duration,
    /// Time that this call waited in the queue.
    pub(crate) queue_time: Duration,
}

impl CallResult {
    /// A result without an answer of the target and without estimates.
    pub(crate) fn without_answer(number: u64, outcome: Outcome) -> Self {
        Self {
            number,
            outcome,
            snapshot: 0,
            body: Vec::new(),
            versions: Vec::new(),
            next_latency: Duration::ZERO,
            queue_time: Duration::ZERO,
        }
    }
}

/// Called with a call's result, at most once.
pub(crate) type ResultCallback = Box<dyn FnOnce(CallResult)>;

struct PendingCall {
    call: HolderCall,
    target: usize,
    lease: Arc<LeaseState>,
    arrived: Time,
    sent: Option<Time>,
    /// `None` once the call is cancelled.
    on_result: Option<ResultCallback>,
}

struct TargetState {
    /// Version of the tables that the limits come from.
    tables_version: u64,
    limits: TargetLimits,
    queue: TargetQueue,
    client: Rc<TargetClient>,
    lease: Arc<LeaseState>,
}

impl TargetState {
    /// Applies limits from newer tables. The queue keeps its calls and its estimates.
    fn update_limits(&mut self, fresh: Self) {
        self.tables_version = fresh.tables_version;
        if self.limits != fresh.limits {
            self.limits = fresh.limits;
            self.queue.set_limits(fresh.limits);
            self.client = fresh.client;
        }
    }
}

#[derive(Default)]
struct Inner {
    targets: HashMap<usize, TargetState>,
    calls: SlotMap<CallKey, PendingCall>,
    /// Keys of the calls by origin and number.
    by_origin: HashMap<(u64, u64), CallKey>,
}

/// The targets held by one traffic thread; clones share their state.
#[derive(Clone)]
pub(crate) struct Holder {
    routing: SharedRouting,
    centre: Rc<str>,
    /// Set if every daemon uses a fixed part of each target's slots instead of leases.
    sharing_daemons: Option<u32>,
    inner: Rc<RefCell<Inner>>,
}

/// State of one held target in the state dump, which names the fields as here.
#[derive(Debug, serde::Serialize)]
pub(crate) struct TargetDump {
    target: SocketAddr,
    state: &'static str,
    limit: u32,
    running: usize,
    waiting: usize,
    service_us: u64,
}

impl Holder {
    /// `centre` is this daemon's data centre. If `sharing_daemons` is set, that many daemons divide
    /// the slots and connections of each target evenly, and there are no leases.
    pub(crate) fn new(routing: SharedRouting, centre: &str, sharing_daemons: Option<u32>) -> Self {
        Self {
            routing,
            centre: centre.into(),
            sharing_daemons,
            inner: Rc::default(),
        }
    }

    /// Starts, queues or refuses a call. `on_result` gets its result unless the call is cancelled.
    pub(crate) fn submit(&self, request: HolderCall, on_result: ResultCallback) {
        let now = clock::now();
        let Some((index, lease)) = self.usable_target(request.target, now) else {
            on_result(CallResult::without_answer(
                request.number,
                Outcome::NoHolder,
            ));
            return;
        };
        let deadline = request
            .deadline
            .min(lease.until() + LEASE_GRACE - GRACE_MARGIN);
        let mut inner = self.inner.borrow_mut();
        let (priority, origin, number) = (request.priority, request.origin, request.number);
        lease.begin_use();
        let key = inner.calls.insert(PendingCall {
            call: HolderCall {
                deadline,
                ..request
            },
            target: index,
            lease,
            arrived: now,
            sent: None,
            on_result: Some(on_result),
        });
        inner.by_origin.insert((origin, number), key);
        let Some(target) = inner.targets.get_mut(&index) else {
            return;
        };
        let verdict = target.queue.submit(
            now,
            &CallRequest {
                id: id_of(key),
                priority,
                deadline,
            },
        );
        drop(inner);
        match verdict {
            Verdict::Start => self.send(key),
            Verdict::Queued => {}
            Verdict::Refused(refusal) => self.refuse(key, refusal),
        }
    }

    /// Cancels a call, so that its result is not delivered; does nothing if it has ended.
    ///
    /// A running call keeps its slot until the target answers or the call times out.
    pub(crate) fn cancel(&self, origin: u64, number: u64) {
        let mut inner = self.inner.borrow_mut();
        let Some(key) = inner.by_origin.get(&(origin, number)).copied() else {
            return;
        };
        let Some(pending) = inner.calls.get_mut(key) else {
            return;
        };
        pending.on_result = None;
        let index = pending.target;
        let Some(target) = inner.targets.get_mut(&index) else {
            return;
        };
        match target.queue.cancel(id_of(key)) {
            Cancelled::Dequeued => {
                drop(inner);
                self.remove(key);
            }
            Cancelled::InFlight => {
                let client = target.client.clone();
                actix_rt::spawn(async move { client.cancel(id_of(key).0).await });
            }
            Cancelled::Gone => {}
        }
    }

    /// Advances the queues, which refuse calls that can no longer finish in time and start others,
    /// and drops idle targets that are no longer held, with their connections.
    pub(crate) fn tick(&self) {
        let now = clock::now();
        let mut inner = self.inner.borrow_mut();
        let mut all = Vec::new();
        for target in inner.targets.values_mut() {
            all.push(target.queue.advance(now));
        }
        inner
            .targets
            .retain(|_, t| now < t.lease.until() || t.queue.running() > 0 || t.queue.waiting() > 0);
        drop(inner);
        for dispatch in all {
            self.execute(dispatch);
        }
    }

    /// State of the held targets, for the state dump.
    pub(crate) fn dump(&self) -> Vec<TargetDump> {
        let now = clock::now();
        let inner = self.inner.borrow();
        let dump = |t: &TargetState| TargetDump {
            target: t.client.addr(),
            state: t.queue.state_name(),
            limit: t.queue.limit(now),
            running: t.queue.running(),
            waiting: t.queue.waiting(),
            service_us: clock::micros(t.queue.service_time()),
        };
        inner.targets.values().map(dump).collect()
    }

    /// The target's index and lease, or `None` if this daemon may not use it now: it does not hold
    /// the lease, or the target's data centre is evacuated.
    ///
    /// Creates the target's state, or updates it to the current tables.
    fn usable_target(&self, addr: SocketAddr, now: Time) -> Option<(usize, Arc<LeaseState>)> {
        let routing = self.routing.load();
        let index = *routing.by_addr.get(&addr)?;
        let info = &routing.targets[&index];
        let lease = routing.units[info.unit].lease.clone()?;
        if info.evacuated || !lease.usable(now) {
            return None;
        }
        let mut inner = self.inner.borrow_mut();
        let known = inner.targets.get(&index);
        if known.is_some_and(|t| !Arc::ptr_eq(&t.lease, &lease) && t.queue.running() == 0) {
            inner.targets.remove(&index);
        }
        match inner.targets.entry(index) {
            Entry::Vacant(vacant) => {
                vacant.insert(self.target_state(&routing, info, lease.clone())?);
            }
            Entry::Occupied(mut known) if known.get().tables_version != routing.version => {
                let fresh = self.target_state(&routing, info, lease.clone())?;
                known.get_mut().update_limits(fresh);
            }
            Entry::Occupied(_) => {}
        }
        Some((index, lease))
    }

    fn target_state(
        &self,
        routing: &Routing,
        info: &TargetInfo,
        lease: Arc<LeaseState>,
    ) -> Option<TargetState> {
        let pool = routing.tables.pools.get(&info.pool)?;
        let sharing = self.sharing_daemons.unwrap_or(1).max(1);
        let slots = (pool.slots / sharing).max(1);
        let limits = TargetLimits {
            slots,
            cold_calls: pool.cold_calls.min(slots),
            cold_ramp: pool.cold_ramp,
        };
        // One connection for each concurrent call, and one for cancellations. The pool's limit of
        // connections must leave room for as many of a former holder that is paused.
        let connections = (slots + 1).min((pool.connections / sharing).max(1));
        let client = Rc::new(TargetClient::new(info.addr, connections, &self.centre));
        let queue = TargetQueue::new(limits);
        Some(TargetState {
            tables_version: routing.version,
            limits,
            queue,
            client,
            lease,
        })
    }

    fn send(&self, key: CallKey) {
        let now = clock::now();
        let mut inner = self.inner.borrow_mut();
        let Some(pending) = inner.calls.get_mut(key) else {
            return;
        };
        pending.sent = Some(now);
        let index = pending.target;
        let head = CallHead {
            id: id_of(key).0,
            snapshot: pending.call.snapshot,
            deadline: pending.call.deadline,
            request_id: pending.call.request_id.clone(),
        };
        let body = pending.call.body.clone();
        let usable = now < pending.lease.until();
        let Some(target) = inner.targets.get(&index) else {
            return;
        };
        let client = target.client.clone();
        drop(inner);
        if !usable {
            self.complete(
                key,
                CallEnd::Cancelled,
                CallResult::without_answer(0, Outcome::NoHolder),
            );
            return;
        }
        let holder = self.clone();
        actix_rt::spawn(async move {
            let (end, result) = interpret(client.call(&head, body).await);
            holder.complete(key, end, result);
        });
    }

    fn complete(&self, key: CallKey, end: CallEnd, result: CallResult) {
        let now = clock::now();
        let Some(pending) = self.remove(key) else {
            return;
        };
        let mut inner = self.inner.borrow_mut();
        let Some(target) = inner.targets.get_mut(&pending.target) else {
            return;
        };
        let dispatch = target.queue.complete(now, id_of(key), end);
        let next_latency = expected_latency(&target.queue, now, pending.call.priority);
        drop(inner);
        let queue_time = pending.sent.unwrap_or(now).since(pending.arrived);
        if let Some(on_result) = pending.on_result {
            on_result(CallResult {
                number: pending.call.number,
                next_latency,
                queue_time,
                ..result
            });
        }
        self.execute(dispatch);
    }

    fn execute(&self, dispatch: Dispatch) {
        for (id, refusal) in dispatch.refuse {
            self.refuse(key_of(id), refusal);
        }
        for id in dispatch.start {
            self.send(key_of(id));
        }
    }

    fn refuse(&self, key: CallKey, refusal: Refusal) {
        let now = clock::now();
        let Some(pending) = self.remove(key) else {
            return;
        };
        let outcome = match refusal {
            Refusal::Busy => Outcome::Busy,
            Refusal::Draining | Refusal::Down => Outcome::Unreachable,
        };
        let inner = self.inner.borrow();
        let target = inner.targets.get(&pending.target);
        let next_latency = target.map_or(Duration::ZERO, |t| {
            expected_latency(&t.queue, now, pending.call.priority)
        });
        drop(inner);
        if let Some(on_result) = pending.on_result {
            let queue_time = now.since(pending.arrived);
            let number = pending.call.number;
            on_result(CallResult {
                next_latency,
                queue_time,
                ..CallResult::without_answer(number, outcome)
            });
        }
    }

    fn remove(&self, key: CallKey) -> Option<PendingCall> {
        let mut inner = self.inner.borrow_mut();
        let pending = inner.calls.remove(key)?;
        inner
            .by_origin
            .remove(&(pending.call.origin, pending.call.number));
        pending.lease.end_use();
        Some(pending)
    }
}

/// Estimated time of a new call to a target, including its wait in the queue.
fn expected_latency(queue: &TargetQueue, now: Time, priority: Priority) -> Duration {
    queue.estimated_wait(now, priority) + queue.service_time()
}

/// What a target's answer, or its failure to answer, means for the queue and for the caller.
fn interpret(answer: Answer) -> (CallEnd, CallResult) {
    let cold = answer.cold;
    let (end, outcome) = match answer.kind {
        AnswerKind::Ran => (CallEnd::Answered { cold }, Outcome::Done),
        AnswerKind::WrongSnapshot => (CallEnd::Answered { cold }, Outcome::WrongSnapshot),
        AnswerKind::Leaving => (CallEnd::Leaving, Outcome::Unreachable),
        AnswerKind::Shed => (CallEnd::Shed { cold }, Outcome::Busy),
        AnswerKind::Cancelled => (CallEnd::Cancelled, Outcome::Failed),
        AnswerKind::NotSent => (CallEnd::Unreachable, Outcome::Unreachable),
        AnswerKind::Lost => (CallEnd::Unreachable, Outcome::Failed),
    };
    let result = CallResult {
        snapshot: answer.snapshot,
        body: answer.body,
        versions: answer.versions,
        ..CallResult::without_answer(0, outcome)
    };
    (end, result)
}

fn id_of(key: CallKey) -> CallId {
    CallId(key.data().as_ffi())
}

fn key_of(id: CallId) -> CallKey {
    KeyData::from_ffi(id.0).into()
}
