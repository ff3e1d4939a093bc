//! The holder's side: calls to the targets whose units this daemon holds.
//!
//! All calls to one target pass through its queue on one thread, so the count of calls in
//! flight is exact. The lease is checked when a call is accepted and again right before it is
//! sent; a call's absolute deadline ends within the lease's grace period, so a process that is
//! paused after the check sends a call that the target refuses as expired.

use {
    crate::{
        clock,
        routing::{LeaseState, Routing, SharedRouting, TargetInfo},
        traffic::target_client::{Answer, CallHead, Kind, TargetClient},
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

/// Part of the grace period in which no call may still run.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Interval at which queues refuse late calls and ramp up.
pub(crate) const TICK: Duration = Duration::from_millis(10);

new_key_type! {
    /// A call at this holder.
    struct CallKey;
}

/// A call as it reaches the holder.
#[derive(Clone, Debug)]
pub(crate) struct HolderCall {
    pub(crate) origin: u64,
    pub(crate) number: u64,
    pub(crate) target: SocketAddr,
    pub(crate) snapshot: u64,
    pub(crate) deadline: Time,
    pub(crate) priority: Priority,
    pub(crate) body: Vec<u8>,
    /// Request id of a call that is not idempotent.
    pub(crate) once: Option<String>,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Done,
    WrongSnapshot,
    Busy,
    Unreachable,
    NoHolder,
    Failed,
}

/// A call's result.
#[derive(Clone, Debug)]
pub(crate) struct CallResult {
    pub(crate) number: u64,
    pub(crate) outcome: Outcome,
    pub(crate) snapshot: u64,
    pub(crate) body: Vec<u8>,
    pub(crate) versions: Vec<u64>,
    /// Time that a new call to the target would take, waiting included.
    pub(crate) wait: Duration,
    /// Time that this call waited.
    pub(crate) queued: Duration,
}

impl CallResult {
    pub(crate) fn of(number: u64, outcome: Outcome) -> Self {
        Self {
            number,
            outcome,
            snapshot: 0,
            body: Vec::new(),
            versions: Vec::new(),
            wait: Duration::ZERO,
            queued: Duration::ZERO,
        }
    }
}

/// Receives a call's result.
pub(crate) type Done = Box<dyn FnOnce(CallResult)>;

struct Pending {
    call: HolderCall,
    target: usize,
    cell: Arc<LeaseState>,
    arrived: Time,
    sent: Option<Time>,
    /// Taken when the result is delivered or the call cancelled.
    done: Option<Done>,
}

struct TargetState {
    /// Version of the tables that the shape comes from.
    tables: u64,
    shape: TargetLimits,
    queue: TargetQueue,
    client: Rc<TargetClient>,
    cell: Arc<LeaseState>,
}

impl TargetState {
    /// Takes over what an edit of the tables changed; what is known of the target stays.
    fn follow(&mut self, fresh: Self) {
        self.tables = fresh.tables;
        if self.shape != fresh.shape {
            self.shape = fresh.shape;
            self.queue.set_limits(fresh.shape);
            self.client = fresh.client;
        }
    }
}

#[derive(Default)]
struct Inner {
    targets: HashMap<usize, TargetState>,
    calls: SlotMap<CallKey, Pending>,
    by_origin: HashMap<(u64, u64), CallKey>,
}

/// The targets held by one traffic thread.
#[derive(Clone)]
pub(crate) struct Holder {
    routing: SharedRouting,
    centre: Rc<str>,
    shares: Option<u32>,
    inner: Rc<RefCell<Inner>>,
}

/// State of one held target, for the state dump.
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
    /// `shares`: daemons that split each target evenly, in place of leases.
    pub(crate) fn new(routing: SharedRouting, centre: &str, shares: Option<u32>) -> Self {
        Self {
            routing,
            centre: centre.into(),
            shares,
            inner: Rc::default(),
        }
    }

    /// Accepts a call; `done` gets its result unless the call is cancelled.
    pub(crate) fn submit(&self, asked: HolderCall, done: Done) {
        let now = clock::now();
        let Some((index, cell)) = self.held(asked.target, now) else {
            done(CallResult::of(asked.number, Outcome::NoHolder));
            return;
        };
        let deadline = asked
            .deadline
            .min(cell.until() + LEASE_GRACE - GRACE_MARGIN);
        let mut inner = self.inner.borrow_mut();
        let (priority, origin, number) = (asked.priority, asked.origin, asked.number);
        cell.begin_use();
        let key = inner.calls.insert(Pending {
            call: HolderCall { deadline, ..asked },
            target: index,
            cell,
            arrived: now,
            sent: None,
            done: Some(done),
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

    /// Cancels a call; its result is not delivered.
    pub(crate) fn cancel(&self, origin: u64, number: u64) {
        let mut inner = self.inner.borrow_mut();
        let Some(key) = inner.by_origin.get(&(origin, number)).copied() else {
            return;
        };
        let Some(pending) = inner.calls.get_mut(key) else {
            return;
        };
        pending.done = None;
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

    /// Refuses late calls, starts others and closes connections to targets no longer held.
    pub(crate) fn tick(&self) {
        let now = clock::now();
        let mut inner = self.inner.borrow_mut();
        let mut all = Vec::new();
        for target in inner.targets.values_mut() {
            all.push(target.queue.advance(now));
        }
        inner
            .targets
            .retain(|_, t| now < t.cell.until() || t.queue.running() > 0 || t.queue.waiting() > 0);
        drop(inner);
        for moves in all {
            self.perform(moves);
        }
    }

    /// State of the held targets.
    pub(crate) fn dump(&self) -> Vec<TargetDump> {
        let now = clock::now();
        let inner = self.inner.borrow();
        let one = |t: &TargetState| TargetDump {
            target: t.client.addr(),
            state: t.queue.state_name(),
            limit: t.queue.limit(now),
            running: t.queue.running(),
            waiting: t.queue.waiting(),
            service_us: clock::micros(t.queue.service_time()),
        };
        inner.targets.values().map(one).collect()
    }

    /// The target's index and lease, if this daemon may use it now.
    fn held(&self, addr: SocketAddr, now: Time) -> Option<(usize, Arc<LeaseState>)> {
        let routing = self.routing.load();
        let index = *routing.by_addr.get(&addr)?;
        let info = &routing.targets[&index];
        let cell = routing.units[info.unit].lease.clone()?;
        if info.evacuated || !cell.usable(now) {
            return None;
        }
        let mut inner = self.inner.borrow_mut();
        let known = inner.targets.get(&index);
        if known.is_some_and(|t| !Arc::ptr_eq(&t.cell, &cell) && t.queue.running() == 0) {
            inner.targets.remove(&index);
        }
        match inner.targets.entry(index) {
            Entry::Vacant(vacant) => {
                vacant.insert(self.target_state(&routing, info, cell.clone())?);
            }
            Entry::Occupied(mut known) if known.get().tables != routing.version => {
                let fresh = self.target_state(&routing, info, cell.clone())?;
                known.get_mut().follow(fresh);
            }
            Entry::Occupied(_) => {}
        }
        Some((index, cell))
    }

    fn target_state(
        &self,
        routing: &Routing,
        info: &TargetInfo,
        cell: Arc<LeaseState>,
    ) -> Option<TargetState> {
        let pool = routing.tables.pools.get(&info.pool)?;
        let shares = self.shares.unwrap_or(1).max(1);
        let slots = (pool.slots / shares).max(1);
        let shape = TargetLimits {
            slots,
            cold_calls: pool.cold_calls.min(slots),
            cold_ramp: pool.cold_ramp,
        };
        // One connection for each call and one for cancellations; a paused former holder may
        // still have as many open.
        let connections = (slots + 1).min((pool.connections / shares).max(1));
        let client = Rc::new(TargetClient::open(info.addr, connections, &self.centre));
        let queue = TargetQueue::new(shape);
        Some(TargetState {
            tables: routing.version,
            shape,
            queue,
            client,
            cell,
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
            once: pending.call.once.clone(),
        };
        let body = pending.call.body.clone();
        let usable = now < pending.cell.until();
        let Some(target) = inner.targets.get(&index) else {
            return;
        };
        let client = target.client.clone();
        drop(inner);
        if !usable {
            self.ended(
                key,
                CallEnd::Cancelled,
                CallResult::of(0, Outcome::NoHolder),
            );
            return;
        }
        let holder = self.clone();
        actix_rt::spawn(async move {
            let (end, result) = outcome(client.call(&head, body).await);
            holder.ended(key, end, result);
        });
    }

    fn ended(&self, key: CallKey, end: CallEnd, result: CallResult) {
        let now = clock::now();
        let Some(pending) = self.remove(key) else {
            return;
        };
        let mut inner = self.inner.borrow_mut();
        let Some(target) = inner.targets.get_mut(&pending.target) else {
            return;
        };
        let moves = target.queue.complete(now, id_of(key), end);
        let wait = expected(&target.queue, now, pending.call.priority);
        drop(inner);
        let queued = pending.sent.unwrap_or(now).since(pending.arrived);
        if let Some(done) = pending.done {
            done(CallResult {
                number: pending.call.number,
                wait,
                queued,
                ..result
            });
        }
        self.perform(moves);
    }

    fn perform(&self, moves: Dispatch) {
        for (id, refusal) in moves.refuse {
            self.refuse(key_of(id), refusal);
        }
        for id in moves.start {
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
        let wait = target.map_or(Duration::ZERO, |t| {
            expected(&t.queue, now, pending.call.priority)
        });
        drop(inner);
        if let Some(done) = pending.done {
            let queued = now.since(pending.arrived);
            let number = pending.call.number;
            done(CallResult {
                wait,
                queued,
                ..CallResult::of(number, outcome)
            });
        }
    }

    fn remove(&self, key: CallKey) -> Option<Pending> {
        let mut inner = self.inner.borrow_mut();
        let pending = inner.calls.remove(key)?;
        inner
            .by_origin
            .remove(&(pending.call.origin, pending.call.number));
        pending.cell.end_use();
        Some(pending)
    }
}

/// Time that a new call to a target would take, waiting included.
fn expected(queue: &TargetQueue, now: Time, priority: Priority) -> Duration {
    queue.estimated_wait(now, priority) + queue.service_time()
}

/// What a target's answer means for the queue and for the caller.
fn outcome(answer: Answer) -> (CallEnd, CallResult) {
    let cold = answer.cold;
    let (end, outcome) = match answer.kind {
        Kind::Ran => (CallEnd::Answered { cold }, Outcome::Done),
        Kind::WrongSnapshot => (CallEnd::Answered { cold }, Outcome::WrongSnapshot),
        Kind::Leaving => (CallEnd::Leaving, Outcome::Unreachable),
        Kind::Shed => (CallEnd::Shed { cold }, Outcome::Busy),
        Kind::Cancelled => (CallEnd::Cancelled, Outcome::Failed),
        Kind::NotSent => (CallEnd::Unreachable, Outcome::Unreachable),
        Kind::Lost => (CallEnd::Unreachable, Outcome::Failed),
    };
    let result = CallResult {
        snapshot: answer.snapshot,
        body: answer.body,
        versions: answer.versions,
        ..CallResult::of(0, outcome)
    };
    (end, result)
}

fn id_of(key: CallKey) -> CallId {
    CallId(key.data().as_ffi())
}

fn key_of(id: CallId) -> CallKey {
    KeyData::from_ffi(id.0).into()
}
