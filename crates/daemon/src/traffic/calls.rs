//! Calls from this thread to holders, here or at other daemons, and their results.
//!
//! Each call has a number with a generation, so a result that comes late, twice or for a call
//! that was cancelled finds nothing and is dropped.

use {
    crate::{
        clock,
        routing::{Destination, SharedRouting},
        traffic::{
            holder::{CallResult, Holder, HolderCall, Outcome},
            rpc::{Deliver, Peers},
        },
    },
    rattanturn_core::{NodeId, selection::TargetSelector},
    slotmap::{Key, KeyData, SlotMap, new_key_type},
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
};

new_key_type! {
    /// A call that this thread waits for.
    pub(crate) struct CallNumber;
}

type Receive = Box<dyn FnOnce(CallResult)>;

struct Open {
    target: usize,
    destination: Destination,
    receive: Receive,
}

#[derive(Default)]
struct Inner {
    open: SlotMap<CallNumber, Open>,
    choice: TargetSelector,
}

/// Sends calls to holders.
#[derive(Clone)]
pub(crate) struct Calls {
    me: NodeId,
    /// Distinguishes this thread's calls from those of the daemon's other threads.
    origin: u64,
    thread: u64,
    threads: u64,
    routing: SharedRouting,
    holder: Holder,
    peers: Peers,
    inner: Rc<RefCell<Inner>>,
}

/// One call to send.
pub(crate) struct Outgoing {
    pub(crate) target: usize,
    /// The call, but for its origin and number.
    pub(crate) call: HolderCall,
    pub(crate) receive: Receive,
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
        let deliver: Deliver = Rc::new(move |result| deliver(&shared, result));
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

    /// Sends calls, one message for each holder.
    pub(crate) fn send(&self, list: Vec<Outgoing>) -> Vec<CallNumber> {
        let routing = self.routing.load();
        let mut numbers = Vec::with_capacity(list.len());
        let mut batches: HashMap<Destination, Vec<HolderCall>> = HashMap::new();
        for outgoing in list {
            let destination = routing.unit_of(outgoing.target).and_then(|u| u.destination);
            let Some(destination) = destination else {
                numbers.push(CallNumber::null());
                (outgoing.receive)(CallResult::of(0, Outcome::NoHolder));
                continue;
            };
            let key = self.open(destination, outgoing.target, outgoing.receive);
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

    /// Drops interest in calls and tells their holders.
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

    /// Targets in the order to try them; `tie_break` chooses among equals.
    pub(crate) fn order(&self, targets: Vec<usize>, tie_break: u64) -> Vec<usize> {
        self.inner
            .borrow()
            .choice
            .order(clock::now(), targets, tie_break)
    }

    fn open(&self, destination: Destination, target: usize, receive: Receive) -> CallNumber {
        let mut inner = self.inner.borrow_mut();
        inner.choice.call_started(target);
        inner.open.insert(Open {
            target,
            destination,
            receive,
        })
    }

    fn close(&self, key: CallNumber) -> Option<Open> {
        close(&self.inner, key)
    }

    pub(crate) fn is_local(&self, destination: Destination) -> bool {
        let thread = self.local_thread(destination);
        destination.id == self.me && thread
    }

    fn local_thread(&self, destination: Destination) -> bool {
        let first = self.routing.load().rpc_port;
        self.threads == 1 || u64::from(destination.addr.port().wrapping_sub(first)) == self.thread
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
            let ended = this.peers.run(destination, &calls).await;
            // Calls without a result by now are lost; whether they ran is not known.
            for call in &calls {
                deliver(&this.inner, CallResult::of(call.number, Outcome::Failed));
            }
            if let Err(error) = ended {
                tracing::debug!(peer = %destination.addr, %error, "calls to a daemon were lost");
            }
        });
    }
}

fn close(inner: &Rc<RefCell<Inner>>, key: CallNumber) -> Option<Open> {
    let mut inner = inner.borrow_mut();
    let open = inner.open.remove(key)?;
    inner.choice.call_ended(open.target);
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
            inner.borrow_mut().choice.failed(now, open.target);
        }
        _ => inner
            .borrow_mut()
            .choice
            .record(now, open.target, result.wait),
    }
    (open.receive)(result);
}

/// A call without its origin and number.
pub(crate) fn blank(target: std::net::SocketAddr) -> HolderCall {
    HolderCall {
        origin: 0,
        number: 0,
        target,
        snapshot: 0,
        deadline: clock::now(),
        priority: rattanturn_core::Priority::Normal,
        body: Vec::new(),
        once: None,
    }
}
