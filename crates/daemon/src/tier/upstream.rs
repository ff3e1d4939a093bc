//! One target as this traffic thread sees it: a connection pool, the rate limit while the target is
//! cold, and the target's health.
//!
//! A call is sent at most once; retries are decided by the caller. The outcome separates calls that
//! have certainly not run, which are safe to retry, from those that may have run.

use {
    crate::{
        clock,
        tier::{
            accounts::Access,
            connection::{Answer, OpenBytes, TargetConnection, is_closed},
            permits::ConnectionPermits,
        },
    },
    actix_http::{RequestHead, RequestHeadType, header::HeaderValue},
    bytes::Bytes,
    rattanturn_core::{
        Time,
        cold::SlidingWindowLimiter,
        discovery::Target,
        fingerprint::{Fingerprint, RequestParts},
        gather::MissingReason,
        health::TargetHealth,
        rate_share::{RateShare, Room},
    },
    rattanturn_platform::http::{account_header, call_headers},
    std::{
        cell::{Cell, OnceCell, RefCell},
        io,
        net::{IpAddr, SocketAddr},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::time::timeout,
};

/// A call is given up this long after the deadline sent to the target. The request is finished at
/// the deadline, but an answer that arrives a little later shows that the target is alive, and its
/// connection can be kept.
const ANSWER_GRACE: Duration = Duration::from_millis(150);
/// A call with less time left than this is not sent, because it could not be answered in time.
const MIN_CALL_TIME: Duration = Duration::from_millis(2);

/// Time in which an attempt to connect shows that nothing listens at a target's address any more. An
/// answer to it takes some milliseconds; a target that gives none has lost its network or its power.
const END_CHECK_TIME: Duration = Duration::from_millis(50);

/// How a call ended.
pub(crate) enum Outcome {
    /// The target's complete answer to this request; its status may be an error.
    Answered(Answer),
    /// The call has certainly not run, for this reason, and may be retried.
    NotRun(MissingReason),
    /// The call may have run, but no usable answer came; the text says why.
    Lost(String),
    /// The target's process ended while it had the call, which may have run; the text says how the
    /// connection broke.
    TargetEnded(String),
}

impl Outcome {
    /// Short text for the log field `tried`.
    pub(crate) fn log_text(&self) -> String {
        match self {
            Self::Answered(answer) => format!("answered {}", answer.status),
            Self::NotRun(why) => format!("not run ({why})"),
            Self::Lost(why) => format!("lost ({why})"),
            Self::TargetEnded(why) => format!("target ended ({why})"),
        }
    }
}

/// What is sent to a target.
#[derive(Clone)]
pub(crate) struct Call {
    pub(crate) head: Rc<RequestHead>,
    pub(crate) body: Bytes,
    /// Request id that the answer must repeat.
    pub(crate) id: Option<Rc<str>>,
    pub(crate) deadline: Time,
    /// The call must not run twice. It gets a new connection: a request on a kept one that the
    /// target is just closing is lost, and it would not be known whether it ran.
    pub(crate) non_idempotent: bool,
    /// Set when it is first asked for; see [`Call::fingerprint`].
    pub(crate) identity: Rc<OnceCell<Fingerprint>>,
    /// The caller's right to the call; checked right before it is sent.
    pub(crate) access: Rc<Access>,
    /// Set when a target may have got the call.
    pub(crate) was_sent: Rc<Cell<bool>>,
}

impl Call {
    /// What the request has in common with other attempts of its caller.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let header = |name: &str| self.head.headers.get(name);
        let host = header("host").and_then(|h| h.to_str().ok());
        *self.identity.get_or_init(|| {
            Fingerprint::of(&RequestParts {
                method: self.head.method.as_str(),
                host: host.or_else(|| self.head.uri.host()).unwrap_or(""),
                path: self.head.uri.path_and_query().map_or("", |p| p.as_str()),
                caller: self.caller(),
                body: &self.body,
            })
        })
    }
}

impl Call {
    /// The caller's account, or its credentials where there are no accounts.
    fn caller(&self) -> &[u8] {
        if self.access.hides_caller() {
            return self.access.account().map_or(b"", |a| a.name.as_bytes());
        }
        let credentials = self.head.headers.get("authorization");
        credentials.map_or(b"", HeaderValue::as_bytes)
    }
}

/// What the upstreams of a thread share.
#[derive(Debug, Default)]
pub(crate) struct SharedCalls {
    /// When any target last answered.
    pub(crate) heard: Cell<Time>,
    open_bytes: OpenBytes,
}

/// A target and this thread's connection pool for it.
pub(crate) struct Upstream {
    pub(crate) target: RefCell<Arc<Target>>,
    /// Address at which the target is reached instead of its own, on the same port.
    gateway: Option<IpAddr>,
    shared: Rc<SharedCalls>,
    /// When the target last answered, or was called while no other call to it was open.
    waiting_since: Cell<Time>,
    /// Whether the target was called or probed.
    tried: Cell<bool>,
    /// Requests a second that this daemon may send until `cold_until`; `None` is unlimited.
    pub(crate) cold_quota: Cell<Option<u32>>,
    pub(crate) cold_until: Cell<Time>,
    /// Moving average of this target's call times, each divided by its route's average.
    pub(crate) relative_latency: Cell<f64>,
    /// False if the target must get no more calls: it is draining, was removed, is in an evacuated
    /// data centre, or its address now belongs to another target.
    pub(crate) usable: Cell<bool>,
    health: Cell<TargetHealth>,
    /// This daemon's part of the connections that the target accepts.
    permits: ConnectionPermits,
    idle: RefCell<Vec<TargetConnection>>,
    limiter: RefCell<SlidingWindowLimiter>,
    /// The rate limit that the target's last answer stated, and this daemon's share of it.
    rate_share: RefCell<RateShare>,
    /// Calls since the limit was first stated.
    limited_calls: Cell<u64>,
}

impl Upstream {
    pub(crate) fn new(
        target: Arc<Target>,
        gateway: Option<IpAddr>,
        shared: Rc<SharedCalls>,
    ) -> Self {
        Self {
            target: RefCell::new(target),
            gateway,
            shared,
            waiting_since: Cell::default(),
            tried: Cell::default(),
            cold_quota: Cell::new(None),
            cold_until: Cell::new(Time::ZERO),
            relative_latency: Cell::new(1.0),
            usable: Cell::new(true),
            health: Cell::default(),
            permits: ConnectionPermits::new(1),
            idle: RefCell::default(),
            limiter: RefCell::default(),
            rate_share: RefCell::new(RateShare::new(rand::random())),
            limited_calls: Cell::default(),
        }
    }

    /// Whether the target's last answer stated a rate limit.
    pub(crate) fn is_limited(&self) -> bool {
        self.rate_share.borrow().limit().is_some()
    }

    /// Sets the fraction of the target's rate limit that this daemon may use, if it states one.
    pub(crate) fn set_rate_fraction(&self, fraction: f64) {
        self.rate_share.borrow_mut().set_fraction(fraction);
    }

    /// When the target's rate limit allows the next call; `now` if it allows one at once.
    pub(crate) fn next_slot(&self, now: Time) -> Time {
        self.rate_share.borrow().next_slot(now)
    }

    /// How much room the target's rate limit leaves for a call.
    pub(crate) fn room(&self, now: Time) -> Room {
        self.rate_share.borrow().room(now)
    }

    /// Uses a slot of the target's rate limit for a call; false if there is none.
    pub(crate) fn try_take_slot(&self, now: Time) -> bool {
        self.rate_share.borrow_mut().try_take(now)
    }

    /// Address that connections are opened to.
    fn addr(&self) -> SocketAddr {
        let addr = self.target.borrow().addr;
        SocketAddr::new(self.gateway.unwrap_or(addr.ip()), addr.port())
    }

    /// Whether calls may be sent: the target is usable and not known to be down.
    pub(crate) fn is_available(&self) -> bool {
        self.usable.get() && !self.health.get().is_down()
    }

    /// Whether anything is known about the target's health.
    pub(crate) fn was_tried(&self) -> bool {
        self.tried.get()
    }

    /// Whether a call has been waiting for an answer of the target since `time` or longer.
    pub(crate) fn waits_since(&self, time: Time) -> bool {
        self.permits.in_use() > 0 && self.waiting_since.get() <= time
    }

    /// Takes the target for down until a probe succeeds, and closes its idle connections.
    pub(crate) fn mark_down(&self) {
        self.tried.set(true);
        self.update_health(|h| h.connect_failed(clock::now()));
        self.idle.borrow_mut().clear();
    }

    /// Whether the target accepts a connection within `limit`; the connection is kept.
    pub(crate) async fn accepts_connection(&self, limit: Duration) -> bool {
        let connected = timeout(limit, TargetConnection::connect(self.addr())).await;
        let Ok(Ok(connection)) = connected else {
            return false;
        };
        self.idle.borrow_mut().push(connection);
        true
    }

    /// Whether the target is down and its next probe is due.
    pub(crate) fn probe_due(&self, now: Time) -> bool {
        self.usable.get() && self.health.get().probe_due(now)
    }

    /// Checks whether a target that was down accepts connections again.
    ///
    /// Only a connection is opened, so no request is risked.
    pub(crate) async fn probe(&self) {
        // Counts as a failure until the connection is open, so that no second probe starts.
        self.tried.set(true);
        self.update_health(|h| h.connect_failed(clock::now()));
        let addr = self.addr();
        if let Ok(connection) = TargetConnection::connect(addr).await {
            self.update_health(TargetHealth::succeeded);
            self.idle.borrow_mut().push(connection);
        }
    }

    fn update_health(&self, change: impl FnOnce(&mut TargetHealth)) {
        let mut health = self.health.get();
        change(&mut health);
        self.health.set(health);
    }

    /// Whether a call would not have to wait for another call to release its connection.
    pub(crate) fn has_free_connection(&self) -> bool {
        self.permits.has_free()
    }

    /// Sets the pool's limit. Calls above a lowered limit run to their end; calls that wait are woken
    /// if a raised limit has room for them.
    pub(crate) fn set_max_connections(&self, connections: u32) {
        self.permits.set_limit(connections);
    }

    /// Closes idle connections that cannot be reused, and all of them once the target is unusable.
    pub(crate) fn close_idle(&self, now: Time) {
        let mut idle = self.idle.borrow_mut();
        if self.usable.get() {
            idle.retain(|w| w.is_reusable(now));
        } else {
            idle.clear();
        }
    }

    /// Opens an idle connection if there is none, so that the first call does not wait for it.
    pub(crate) async fn preconnect(&self) {
        if !self.idle.borrow().is_empty() || !self.permits.has_free() {
            return;
        }
        let _permit = self.permits.acquire().await;
        let addr = self.addr();
        // A failure is left to the next call, which counts it.
        if let Ok(connection) = TargetConnection::connect(addr).await {
            self.idle.borrow_mut().push(connection);
        }
    }

    /// Number of connections that are idle or in use.
    pub(crate) fn connections(&self) -> usize {
        self.idle.borrow().len() + self.permits.in_use() as usize
    }

    /// Sends a call and waits for its answer until shortly after the deadline.
    ///
    /// A call that runs out of time is [`Outcome::Lost`], also if it was still waiting for a
    /// connection.
    pub(crate) async fn call(&self, call: Call) -> Outcome {
        let remaining = call.deadline.since(clock::now());
        if let Ok(outcome) = timeout(remaining + ANSWER_GRACE, self.send(&call)).await {
            return outcome;
        }
        self.update_health(|h| h.timed_out(clock::now()));
        Outcome::Lost("no answer in time".into())
    }

    async fn send(&self, call: &Call) -> Outcome {
        let _permit = self.permits.acquire().await;
        self.tried.set(true);
        if self.permits.in_use() == 1 {
            self.waiting_since.set(clock::now());
        }
        let mut connection = match self.take_connection(call.non_idempotent).await {
            Ok(connection) => connection,
            Err(why) => {
                self.update_health(|h| h.connect_failed(clock::now()));
                return Outcome::NotRun(why);
            }
        };
        // The checks come after the wait for a connection, during which their results can change.
        let now = clock::now();
        let remaining = call.deadline.since(now);
        if !self.usable.get() {
            return Outcome::NotRun(MissingReason::Unreachable);
        }
        if remaining < MIN_CALL_TIME {
            return Outcome::NotRun(MissingReason::Deadline);
        }
        let Ok(account) = call.access.confirm() else {
            self.idle.borrow_mut().push(connection);
            return Outcome::NotRun(MissingReason::Unauthorized);
        };
        if !self.try_admit(now) {
            self.idle.borrow_mut().push(connection);
            return Outcome::NotRun(MissingReason::Busy);
        }
        self.limited_calls.set(self.limited_calls.get() + 1);
        let id = self.target.borrow().id.clone();
        let mut extra = call_headers(&id, remaining);
        if let Some((name, value)) = account.and_then(|a| account_header(&a.name)) {
            extra.insert(name, value);
        }
        let head = RequestHeadType::Rc(call.head.clone(), Some(extra));
        call.was_sent.set(true);
        match connection
            .round_trip(
                head,
                &call.body,
                call.id.as_deref(),
                &self.shared.open_bytes,
            )
            .await
        {
            Ok(answer) => {
                self.update_health(TargetHealth::succeeded);
                let now = clock::now();
                self.shared.heard.set(now);
                self.waiting_since.set(now);
                if !answer.head.misdirected {
                    self.set_rate_limit(answer.head.rate_limit);
                }
                if connection.is_reusable(clock::now()) && self.usable.get() {
                    self.idle.borrow_mut().push(connection);
                }
                self.classify(answer)
            }
            Err(error) if is_closed(&error) && self.has_ended().await => {
                Outcome::TargetEnded(error.to_string())
            }
            Err(error) => Outcome::Lost(error.to_string()),
        }
    }

    /// Whether the target's process has ended, so that connections to its address are refused. One
    /// that is accepted is kept.
    async fn has_ended(&self) -> bool {
        match timeout(END_CHECK_TIME, TargetConnection::connect(self.addr())).await {
            Ok(Ok(connection)) => {
                self.idle.borrow_mut().push(connection);
                false
            }
            Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            Err(_) => false,
        }
    }

    /// Takes over the limit that an answer states, or its absence.
    fn set_rate_limit(&self, limit: Option<f64>) {
        let known = self.is_limited();
        let mut share = self.rate_share.borrow_mut();
        share.set_limit(clock::now(), limit);
        if known == limit.is_some() {
            return;
        }
        let target = self.target.borrow();
        let (target_id, service) = (&target.id, &target.service);
        if let Some(limit) = limit {
            self.limited_calls.set(0);
            tracing::info!(%target_id, %service, limit, "target stated a rate limit");
        } else {
            let calls = self.limited_calls.get();
            tracing::info!(%target_id, %service, calls, "target lifted its rate limit");
        }
    }

    fn classify(&self, answer: Answer) -> Outcome {
        if answer.head.misdirected {
            // Another target has the address now, so this one is gone.
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

    /// Counts a call against the limit of a cold target; false if the limit is reached.
    fn try_admit(&self, now: Time) -> bool {
        match self.cold_quota.get() {
            Some(n) if now < self.cold_until.get() => self.limiter.borrow_mut().try_acquire(now, n),
            _ => true,
        }
    }

    /// Takes a reusable idle connection or opens one; idle ones that it passes over are closed.
    async fn take_connection(
        &self,
        non_idempotent: bool,
    ) -> Result<TargetConnection, MissingReason> {
        let now = clock::now();
        while let Some(connection) = self.idle.borrow_mut().pop() {
            if !non_idempotent && connection.is_reusable(now) {
                return Ok(connection);
            }
        }
        let addr = self.addr();
        TargetConnection::connect(addr)
            .await
            .map_err(|_| MissingReason::Unreachable)
    }
}
