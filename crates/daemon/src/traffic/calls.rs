//! Sends this thread's calls to the holders of their targets and delivers the results.
//!
//! A call whose holder is this thread is submitted directly; all others are sent over RPC, in one
//! message for each thread of a daemon. A call's number contains a generation that changes whenever
//! its slot is reused, so a result that arrives late or twice, or that belongs to a cancelled call,
//! matches no open call and is dropped.

use {
    crate::{
        clock,
        routing::{Destination, SharedRouting},
        traffic::{
            holder::{CallResult, Holder, HolderCall, Outcome},
            rpc::{DeliverResult, Peers, RunError},
        },
    },
    rattanturn_core::{NodeId, lease::UnitId, selection::TargetSelector},
    slotmap::{Key, KeyData, SlotMap, new_key_type},
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
};

new_key_type! {
    /// Identifies an open call of this thread. The null number stands for a call that was not sent.
    pub(crate) struct CallNumber;
}

type ResultCallback = Box<dyn FnOnce(CallResult)>;

struct OpenCall {
    target: usize,
    destination: Destination,
    on_result: ResultCallback,
}

#[derive(Default)]
struct Inner {
    open_calls: SlotMap<CallNumber, OpenCall>,
    selector: TargetSelector,
}

/// The calls of one traffic thread; clones share their state.
#[derive(Clone)]
pub(crate) struct Calls {
    me: NodeId,
    /// Distinguishes this thread's calls at a holder from those of other threads and daemons.
    origin: u64,
    thread: u64,
    threads: u64,
    routing: SharedRouting,
    holder: Holder,
    peers: Peers,
    inner: Rc<RefCell<Inner>>,
}

/// A call to send with [`Calls::send`].
pub(crate) struct OutgoingCall {
    pub(crate) target: usize,
    /// The call; `origin` and `number` are set when it is sent.
    pub(crate) call: HolderCall,
    /// Gets the result, unless the call is cancelled.
    pub(crate) on_result: ResultCallback,
}

impl Calls {
    pub(crate) fn new(
        me: NodeId,
        thread: (u64, u64),
        routing: SharedRouting,
        holder: Holder,
        delay: Duration,
    ) -> Self {
        let inner: Rc<RefCell<Inner>> = Rc::default();
        let shared = inner.clone();
        let deliver: DeliverResult = Rc::new(move |result| deliver(&shared, result));
        Self {
            me,
            origin: me.0.wrapping_add(thread.0),
            thread: thread.0,
            threads: thread.1.max(1),
            routing,
            holder,
            peers: Peers::new(deliver, delay),
            inner,
        }
    }

    pub(crate) fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Sends calls, in one message for each holder, and returns their numbers in the same order.
    ///
    /// If no daemon holds a call's target, its callback gets [`Outcome::NoHolder`] before this
    /// function returns.
    pub(crate) fn send(&self, list: Vec<OutgoingCall>) -> Vec<CallNumber> {
        let routing = self.routing.load();
        let mut numbers = Vec::with_capacity(list.len());
        let mut batches: HashMap<Destination, Vec<HolderCall>> = HashMap::new();
        for outgoing in list {
            let destination = routing.unit_of(outgoing.target).and_then(|u| u.destination);
            let Some(destination) = destination else {
                numbers.push(CallNumber::null());
                (outgoing.on_result)(CallResult::without_answer(0, Outcome::NoHolder));
                continue;
            };
            let key = self.open(destination, outgoing.target, outgoing.on_result);
            numbers.push(key);
            let (origin, number) = (self.origin, key.data().as_ffi());
            let call = HolderCall {
                origin,
                number,
                ..outgoing.call
            };
            batches.entry(destination).or_default().push(call);
        }
        for (destination, calls) in batches {
            self.send_batch(destination, calls);
        }
        numbers
    }

    /// Cancels calls at their holders. Their results are dropped, also those already on the way;
    /// numbers of calls that have ended are ignored.
    pub(crate) fn cancel(&self, numbers: &[CallNumber]) {
        let mut batches: HashMap<Destination, Vec<u64>> = HashMap::new();
        for key in numbers {
            if let Some(open) = self.close(*key) {
                batches
                    .entry(open.destination)
                    .or_default()
                    .push(key.data().as_ffi());
            }
        }
        for (destination, list) in batches {
            if self.is_local(destination) {
                for number in list {
                    self.holder.cancel(self.origin, number);
                }
                continue;
            }
            let (peers, origin) = (self.peers.clone(), self.origin);
            actix_rt::spawn(async move { peers.cancel(destination, origin, &list).await });
        }
    }

    /// Sorts targets in the order in which to try them, the fastest first.
    ///
    /// `tie_break` should differ from request to request, so that equally fast targets take turns.
    pub(crate) fn order(&self, targets: Vec<usize>, tie_break: u64) -> Vec<usize> {
        self.inner
            .borrow()
            .selector
            .order(clock::now(), targets, tie_break)
    }

    fn open(
        &self,
        destination: Destination,
        target: usize,
        on_result: ResultCallback,
    ) -> CallNumber {
        let mut inner = self.inner.borrow_mut();
        inner.selector.call_started(target);
        inner.open_calls.insert(OpenCall {
            target,
            destination,
            on_result,
        })
    }

    fn close(&self, key: CallNumber) -> Option<OpenCall> {
        close(&self.inner, key)
    }

    /// Whether calls to `destination` are handled by this very thread.
    pub(crate) fn is_local(&self, destination: Destination) -> bool {
        let is_this_thread = self.matches_thread(destination);
        destination.id == self.me && is_this_thread
    }

    /// Whether the port of `destination` is this thread's, assuming that the daemon is this one:
    /// thread i listens for RPC on the daemon's first RPC port plus i.
    fn matches_thread(&self, destination: Destination) -> bool {
        let first = self.routing.load().rpc_port;
        self.threads == 1 || u64::from(destination.addr.port().wrapping_sub(first)) == self.thread
    }

    /// Whether a unit that this daemon holds belongs to this thread.
    pub(crate) fn owns(&self, unit: UnitId) -> bool {
        unit.0 % self.threads == self.thread
    }

    fn send_batch(&self, destination: Destination, calls: Vec<HolderCall>) {
        if self.is_local(destination) {
            for call in calls {
                let inner = self.inner.clone();
                self.holder
                    .submit(call, Box::new(move |result| deliver(&inner, result)));
            }
            return;
        }
        let this = self.clone();
        actix_rt::spawn(async move {
            // The RPC returns after the last result. Calls that are still open then are lost, and they
            // may or may not have run.
            let outcome = match this.peers.run(destination, &calls).await {
                Ok(()) => Outcome::Failed,
                Err(RunError::Lost(error)) => {
                    tracing::debug!(peer = %destination.addr, %error, "RPC failed; its calls are lost");
                    Outcome::Failed
                }
                Err(RunError::NotSent(error)) => {
                    tracing::debug!(peer = %destination.addr, %error, "calls were not sent");
                    Outcome::NoHolder
                }
            };
            for call in &calls {
                deliver(
                    &this.inner,
                    CallResult::without_answer(call.number, outcome),
                );
            }
        });
    }
}

fn close(inner: &Rc<RefCell<Inner>>, key: CallNumber) -> Option<OpenCall> {
    let mut inner = inner.borrow_mut();
    let open = inner.open_calls.remove(key)?;
    inner.selector.call_ended(open.target);
    Some(open)
}

fn deliver(inner: &Rc<RefCell<Inner>>, result: CallResult) {
    let key = CallNumber::from(KeyData::from_ffi(result.number));
    let Some(open) = close(inner, key) else {
        return;
    };
    let now = clock::now();
    match result.outcome {
        Outcome::NoHolder | Outcome::Failed | Outcome::Unreachable => {
            inner.borrow_mut().selector.failed(now, open.target);
        }
        _ => inner
            .borrow_mut()
            .selector
            .record(now, open.target, result.next_latency),
    }
    (open.on_result)(result);
}

/// An idempotent call with defaults for everything but the target. `origin` and `number` are set
/// when it is sent; the caller must at least replace the deadline, which is now.
pub(crate) fn call_template(target: std::net::SocketAddr) -> HolderCall {
    HolderCall {
        origin: 0,
        number: 0,
        target,
        snapshot: 0,
        deadline: clock::now(),
        priority: rattanturn_core::Priority::Normal,
        body: Vec::new(),
        request_id: None,
    }
}
