//! One target as this daemon sees it: its connections, its cold start and what calls become.

use {
    crate::{
        clock,
        tier::connection::{Answer, TargetConnection},
    },
    actix_http::{RequestHead, RequestHeadType},
    bytes::Bytes,
    rattanturn_core::{
        Time, cold::SlidingWindowLimiter, discovery::Target, gather::MissingReason,
        health::TargetHealth,
    },
    rattanturn_platform::http::call_headers,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// A call is given up this long after the time that its target was told.
const OVERTIME: Duration = Duration::from_millis(150);
/// Least time worth sending a call with.
const LEAST_TIME: Duration = Duration::from_millis(2);

/// What became of a call.
pub(crate) enum Outcome {
    /// A whole answer to this request.
    Answered(Answer),
    /// It has not run, and why.
    NotRun(MissingReason),
    /// It may have run.
    Lost(String),
}

impl Outcome {
    /// The outcome in a few words, for the log.
    pub(crate) fn word(&self) -> String {
        match self {
            Self::Answered(answer) => format!("answered {}", answer.status),
            Self::NotRun(why) => format!("not run ({why})"),
            Self::Lost(why) => format!("lost ({why})"),
        }
    }
}

/// What is sent to a target.
#[derive(Clone)]
pub(crate) struct Call {
    pub(crate) head: Rc<RequestHead>,
    pub(crate) body: Bytes,
    pub(crate) id: Option<Rc<str>>,
    pub(crate) deadline: Time,
    /// Runs at most once, so it never goes on a connection that may be closing.
    pub(crate) once: bool,
}

/// A target with this thread's connections to it.
pub(crate) struct Upstream {
    pub(crate) target: RefCell<Arc<Target>>,
    /// Requests a second while cold, from this daemon; `None` is unlimited.
    pub(crate) cold_share: Cell<Option<u32>>,
    pub(crate) cold_until: Cell<Time>,
    /// Expected time of a call relative to its route's usual time.
    pub(crate) relative_latency: Cell<f64>,
    /// False once the target is leaving, gone or in a data centre that was taken out.
    pub(crate) usable: Cell<bool>,
    health: Cell<TargetHealth>,
    limit: Cell<u32>,
    in_use: Cell<u32>,
    freed: Notify,
    idle: RefCell<Vec<TargetConnection>>,
    gate: RefCell<SlidingWindowLimiter>,
}

/// Returns a connection's place when a call ends in any way.
struct ConnectionPermit<'a>(&'a Upstream);

impl Drop for ConnectionPermit<'_> {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
        self.0.freed.notify_one();
    }
}

impl Upstream {
    pub(crate) fn new(target: Arc<Target>) -> Self {
        Self {
            target: RefCell::new(target),
            cold_share: Cell::new(None),
            cold_until: Cell::new(Time::ZERO),
            relative_latency: Cell::new(1.0),
            usable: Cell::new(true),
            health: Cell::default(),
            limit: Cell::new(1),
            in_use: Cell::new(0),
            freed: Notify::new(),
            idle: RefCell::default(),
            gate: RefCell::default(),
        }
    }

    /// Whether it may be called: neither leaving nor down.
    pub(crate) fn is_up(&self) -> bool {
        self.usable.get() && !self.health.get().is_down()
    }

    /// Whether it is time to try whether a target that was down is back.
    pub(crate) fn probe_due(&self, now: Time) -> bool {
        self.usable.get() && self.health.get().probe_due(now)
    }

    /// Tries whether a target that was down is back; no request is risked for it.
    pub(crate) async fn probe(&self) {
        // Until it is known, the next probe is as far away as after a failure.
        self.note(|o| o.connect_failed(clock::now()));
        let addr = self.target.borrow().addr;
        if let Ok(connection) = TargetConnection::connect(addr).await {
            self.note(TargetHealth::succeeded);
            self.idle.borrow_mut().push(connection);
        }
    }

    fn note(&self, change: impl FnOnce(&mut TargetHealth)) {
        let mut health = self.health.get();
        change(&mut health);
        self.health.set(health);
    }

    /// Whether a call would get a connection at once.
    pub(crate) fn has_room(&self) -> bool {
        self.in_use.get() < self.limit.get()
    }

    /// Sets how many connections this daemon may have.
    pub(crate) fn set_limit(&self, connections: u32) {
        self.limit.set(connections);
    }

    /// Closes connections that will not be used again.
    pub(crate) fn close_idle(&self, now: Time) {
        let mut idle = self.idle.borrow_mut();
        if self.usable.get() {
            idle.retain(|w| w.is_fresh(now));
        } else {
            idle.clear();
        }
    }

    /// Opens a connection ahead of need.
    pub(crate) async fn warm(&self) {
        if !self.idle.borrow().is_empty() || self.in_use.get() >= self.limit.get() {
            return;
        }
        let _permit = self.acquire_permit().await;
        let addr = self.target.borrow().addr;
        // A target that cannot be reached is found out by the next call.
        if let Ok(connection) = TargetConnection::connect(addr).await {
            self.idle.borrow_mut().push(connection);
        }
    }

    /// Connections open now.
    pub(crate) fn connections(&self) -> usize {
        self.idle.borrow().len() + self.in_use.get() as usize
    }

    /// Sends a call once and waits for its answer.
    pub(crate) async fn call(&self, call: Call) -> Outcome {
        let remaining = call.deadline.since(clock::now());
        if let Ok(outcome) = timeout(remaining + OVERTIME, self.send(&call)).await {
            return outcome;
        }
        self.note(|o| o.timed_out(clock::now()));
        Outcome::Lost("no answer in time".into())
    }

    async fn send(&self, call: &Call) -> Outcome {
        let _permit = self.acquire_permit().await;
        let mut connection = match self.take_connection(call.once).await {
            Ok(connection) => connection,
            Err(why) => {
                self.note(|o| o.connect_failed(clock::now()));
                return Outcome::NotRun(why);
            }
        };
        // The wait for a connection may have outlasted what allowed the call.
        let now = clock::now();
        let remaining = call.deadline.since(now);
        if !self.usable.get() {
            return Outcome::NotRun(MissingReason::Unreachable);
        }
        if remaining < LEAST_TIME {
            return Outcome::NotRun(MissingReason::Deadline);
        }
        if !self.admit(now) {
            self.idle.borrow_mut().push(connection);
            return Outcome::NotRun(MissingReason::Busy);
        }
        let id = self.target.borrow().id.clone();
        let extra = call_headers(&id, remaining);
        let head = RequestHeadType::Rc(call.head.clone(), Some(extra));
        match connection
            .exchange(head, &call.body, call.id.as_deref())
            .await
        {
            Ok(answer) => {
                self.note(TargetHealth::succeeded);
                if connection.is_fresh(clock::now()) && self.usable.get() {
                    self.idle.borrow_mut().push(connection);
                }
                self.judge(answer)
            }
            Err(error) => Outcome::Lost(error.to_string()),
        }
    }

    fn judge(&self, answer: Answer) -> Outcome {
        if answer.head.misdirected {
            // Another target has the address now: this one is gone.
            self.usable.set(false);
            return Outcome::NotRun(MissingReason::Unreachable);
        }
        if answer.head.not_run {
            return Outcome::NotRun(MissingReason::Busy);
        }
        let success = (200..300).contains(&answer.status);
        if answer.head.signature.is_none() || (success && answer.head.encoded) {
            return Outcome::Lost("the answer is not the target's own".into());
        }
        Outcome::Answered(answer)
    }

    fn admit(&self, now: Time) -> bool {
        match self.cold_share.get() {
            Some(n) if now < self.cold_until.get() => self.gate.borrow_mut().try_acquire(now, n),
            _ => true,
        }
    }

    async fn acquire_permit(&self) -> ConnectionPermit<'_> {
        while self.in_use.get() >= self.limit.get() {
            self.freed.notified().await;
        }
        self.in_use.set(self.in_use.get() + 1);
        ConnectionPermit(self)
    }

    async fn take_connection(&self, once: bool) -> Result<TargetConnection, MissingReason> {
        let now = clock::now();
        while let Some(connection) = self.idle.borrow_mut().pop() {
            if !once && connection.is_fresh(now) {
                return Ok(connection);
            }
        }
        let addr = self.target.borrow().addr;
        TargetConnection::connect(addr)
            .await
            .map_err(|_| MissingReason::Unreachable)
    }
}
