//! One target as this traffic thread sees it: a connection pool, the rate limit while the target is
//! cold, and the target's health.
//!
//! A call is sent at most once; retries are decided by the caller. The outcome separates calls that
//! have certainly not run, which are safe to retry, from those that may have run.

mod call;
mod limits;

use {
    crate::{
        clock,
        tier::{
            connection::{Answer, Expected, Room, TargetConnection, is_closed, is_local},
            memory::{Hold, Memory, MemoryUser, Refused, UNCOUNTED_BYTES},
            meters,
            permits::{ConnectionPermit, ConnectionPermits},
        },
    },
    actix_http::RequestHeadType,
    rattanturn_core::{
        Time,
        answer_sizes::{AnswerSizes, CallRoom},
        call_times::CallTimes,
        cold::SlidingWindowLimiter,
        discovery::Target,
        gather::MissingReason,
        health::TargetHealth,
        rate_share::{self, RateShare},
        shutdown::{LateRequest, expected_wait},
    },
    rattanturn_platform::http::{account_header, call_headers},
    std::{
        cell::{Cell, RefCell},
        io,
        net::{IpAddr, SocketAddr},
        pin::pin,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

pub(crate) use call::{Call, CallStage, Outcome, Progress};

/// A call is given up this long after the deadline sent to the target. The request is finished at
/// the deadline, but an answer that arrives a little later shows that the target is alive, and its
/// connection can be kept.
const ANSWER_GRACE: Duration = Duration::from_millis(150);
/// A call with less time left than this is not sent, because it could not be answered in time.
const MIN_CALL_TIME: Duration = Duration::from_millis(2);

/// Time in which an attempt to connect shows that nothing listens at a target's address any more. An
/// answer to it takes some milliseconds; a target that gives none has lost its network or its power.
const END_CHECK_TIME: Duration = Duration::from_millis(50);

/// A target that says in its answers that it leaves is still called for this long if its service has
/// no other. Targets serve for the deployments' drain limit of 3 s at least, and a call needs a part
/// of that.
const LAST_RESORT_TIME: Duration = Duration::from_secs(2);

/// What the upstreams of a thread share.
#[derive(Debug)]
pub(crate) struct SharedCalls {
    /// When any target last answered.
    pub(crate) heard: Cell<Time>,
    /// When the stop of this daemon gives all open requests their final answers; `None` while it
    /// serves.
    pub(crate) answers_due: Cell<Option<Time>>,
    /// When the targets were last read from the store or confirmed by a peer.
    pub(crate) targets_read: Cell<Time>,
    pub(crate) memory: Rc<Memory>,
    sizes: RefCell<AnswerSizes>,
}

impl SharedCalls {
    pub(crate) fn new(memory: Rc<Memory>) -> Self {
        Self {
            heard: Cell::default(),
            answers_due: Cell::default(),
            targets_read: Cell::default(),
            memory,
            sizes: RefCell::new(AnswerSizes::new(UNCOUNTED_BYTES)),
        }
    }
}

/// A target and this thread's connection pool for it.
pub(crate) struct Upstream {
    pub(crate) target: RefCell<Arc<Target>>,
    /// Address at which the target is reached instead of its own, on the same port.
    gateway: Option<IpAddr>,
    shared: Rc<SharedCalls>,
    /// When the target last answered, or was called while no other call to it was open.
    waiting_since: Cell<Time>,
    /// When the target last answered a call.
    answered_at: Cell<Time>,
    /// Whether the target was called or probed.
    tried: Cell<bool>,
    /// Requests a second that this daemon may send until `cold_until`; `None` is unlimited.
    pub(crate) cold_quota: Cell<Option<u32>>,
    pub(crate) cold_until: Cell<Time>,
    /// The target also counts as cold until the targets were read at this time or later: it may have
    /// become cold before, which its entry did not tell yet.
    pub(crate) unread_until: Cell<Time>,
    /// Calls that wait to be sent.
    unsent: Cell<u32>,
    /// Moving average of this target's call times, each divided by its route's average.
    pub(crate) relative_latency: Cell<f64>,
    /// False if the target must get no more calls: its entry says that it leaves, was removed, it is
    /// in an evacuated data centre, or its address now belongs to another target.
    pub(crate) usable: Cell<bool>,
    /// Since when the target says in its answers that it leaves; a restart makes another upstream.
    leaving_at: Cell<Option<Time>>,
    /// Ends the wait of calls for a connection when the target leaves or goes out of use.
    waits_ended: Notify,
    health: Cell<TargetHealth>,
    /// This daemon's part of the connections that the target accepts.
    permits: ConnectionPermits,
    /// Times for which calls held a connection.
    times: RefCell<CallTimes>,
    idle: RefCell<Vec<TargetConnection>>,
    limiter: RefCell<SlidingWindowLimiter>,
    /// The rate limit that the target's last answer stated, and this daemon's share of it.
    rate_share: RefCell<RateShare>,
    /// Calls since the limit was first stated.
    limited_calls: Cell<u64>,
    /// Counts the target's answers while they are in memory.
    answers: Rc<MemoryUser>,
}

/// Counts a waiting call until this is dropped, also because the call was cancelled.
struct CountedCall<'a>(&'a Cell<u32>);

impl<'a> CountedCall<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountedCall<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Upstream {
    pub(crate) fn new(
        target: Arc<Target>,
        gateway: Option<IpAddr>,
        shared: Rc<SharedCalls>,
    ) -> Self {
        let answers = shared.memory.add_user(&target.service, &target.id);
        Self {
            target: RefCell::new(target),
            gateway,
            shared,
            answers,
            waiting_since: Cell::default(),
            answered_at: Cell::default(),
            tried: Cell::default(),
            cold_quota: Cell::new(None),
            cold_until: Cell::new(Time::ZERO),
            unread_until: Cell::new(Time::ZERO),
            unsent: Cell::default(),
            relative_latency: Cell::new(1.0),
            usable: Cell::new(true),
            leaving_at: Cell::default(),
            waits_ended: Notify::new(),
            health: Cell::default(),
            permits: ConnectionPermits::new(1),
            times: RefCell::default(),
            idle: RefCell::default(),
            limiter: RefCell::default(),
            rate_share: RefCell::new(RateShare::new(rand::random())),
            limited_calls: Cell::default(),
        }
    }

    /// Address that connections are opened to.
    fn addr(&self) -> SocketAddr {
        let addr = self.target.borrow().addr;
        SocketAddr::new(self.gateway.unwrap_or(addr.ip()), addr.port())
    }

    /// Whether calls may be sent: the target is usable, does not leave and is not known to be down.
    pub(crate) fn is_available(&self) -> bool {
        self.is_used() && !self.health.get().is_down()
    }

    fn is_reachable(&self) -> bool {
        self.usable.get() && !self.health.get().is_down()
    }

    /// Whether the target is to get calls whenever it is up: it is usable and does not leave.
    pub(crate) fn is_used(&self) -> bool {
        self.usable.get() && self.leaving_at.get().is_none()
    }

    /// Whether a target that leaves may be called if its service has no other.
    pub(crate) fn is_last_resort(&self, now: Time) -> bool {
        let since = self.leaving_at.get();
        since.is_some_and(|at| now.since(at) < LAST_RESORT_TIME) && self.is_reachable()
    }

    /// Since when the target says in its answers that it leaves.
    pub(crate) fn leaving_since(&self) -> Option<Time> {
        self.leaving_at.get()
    }

    /// Sets since when the target says that it leaves, as known before this upstream, or takes it
    /// back.
    pub(crate) fn set_leaving(&self, since: Option<Time>) {
        self.leaving_at.set(since);
    }

    /// Notes that the target says that it leaves; its calls that have not been sent end.
    fn note_leaving(&self) {
        if self.leaving_at.get().is_some() {
            return;
        }
        self.leaving_at.set(Some(clock::now()));
        self.idle.borrow_mut().clear();
        self.waits_ended.notify_waiters();
        let target = self.target.borrow();
        let (target_id, service) = (&target.id, &target.service);
        meters::count_withdrawn_target();
        tracing::info!(%target_id, %service, "target says in an answer that it is leaving");
    }

    /// Takes the target out of use for good: it gets no call, also none of those that wait for a
    /// connection.
    pub(crate) fn retire(&self) {
        self.usable.set(false);
        self.idle.borrow_mut().clear();
        self.waits_ended.notify_waiters();
    }

    /// Keeps a connection for the next call, unless the target gets none.
    fn keep(&self, connection: TargetConnection) {
        if self.is_used() {
            self.idle.borrow_mut().push(connection);
        }
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

    /// Whether the target accepts a connection within `limit`; the connection is kept. It counts as
    /// accepted if this daemon cannot open any.
    pub(crate) async fn accepts_connection(&self, limit: Duration) -> bool {
        match timeout(limit, TargetConnection::connect(self.addr())).await {
            Ok(Ok(connection)) => {
                self.keep(connection);
                true
            }
            Ok(Err(error)) => is_local(&error),
            Err(_) => false,
        }
    }

    /// Whether the target is down and its next probe is due.
    pub(crate) fn probe_due(&self, now: Time) -> bool {
        self.is_used() && self.health.get().probe_due(now)
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
            self.keep(connection);
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

    /// Since when the target has answered nothing, if calls hold all its connections and that is at least
    /// `limit` ago.
    pub(crate) fn silent_since(&self, now: Time, limit: Duration) -> Option<Time> {
        let since = self.waiting_since.get();
        (!self.has_free_connection() && now.since(since) >= limit).then_some(since)
    }

    /// Whether a call can be sent without a wait, and the target has answered others since `since`.
    pub(crate) fn takes_at_once(&self, call: &Call, now: Time, since: Time) -> bool {
        let is_free = self.is_available() && self.has_free_connection() && self.has_cold_room(now);
        let has_time = !self.is_too_late(call, now) && now < self.send_by(call);
        is_free
            && has_time
            && self.room(now) < rate_share::Room::Exhausted
            && self.answered_at.get() > since
    }

    /// Sets the pool's limit. Calls above a lowered limit run to their end; calls that wait are woken
    /// if a raised limit has room for them.
    pub(crate) fn set_max_connections(&self, connections: u32) {
        self.permits.set_limit(connections);
    }

    /// Expected time until the next call has a connection.
    pub(crate) fn expected_wait(&self) -> Duration {
        if self.has_free_connection() {
            return Duration::ZERO;
        }
        let (waiting, connections) = (self.permits.waiting(), self.permits.limit());
        expected_wait(self.times.borrow().recent(), waiting, connections)
    }

    /// Like [`Self::expected_wait`], but longer while the target does not answer.
    pub(crate) fn queue_time(&self, now: Time) -> Duration {
        if self.has_free_connection() {
            return Duration::ZERO;
        }
        let silent = now.since(self.waiting_since.get());
        let (waiting, connections) = (self.permits.waiting(), self.permits.limit());
        let times = self.times.borrow();
        times.expected_wait(silent, waiting, connections)
    }

    /// Whether the stop of this daemon leaves a call too little time, which may have waited for its turn
    /// or its connection. It is not sent then, so that it has certainly not run.
    fn is_too_late(&self, call: &Call, now: Time) -> bool {
        let Some(due) = self.shared.answers_due.get() else {
            return false;
        };
        if due <= now {
            return true;
        }
        let late = LateRequest {
            usual: Some(self.times.borrow().recent()),
            time_limit: call.deadline.since(now),
            ..LateRequest::default()
        };
        call.non_idempotent && !late.fits(due.since(now))
    }

    /// Waits for the right to a connection.
    ///
    /// # Errors
    ///
    /// The call is not to be sent: its target leaves or is out of use, the request needs it no more, or
    /// it has waited or would wait until its answer came too late.
    async fn wait_for_permit(&self, call: &Call) -> Result<ConnectionPermit<'_>, MissingReason> {
        if !self.has_free_connection() {
            call.progress.waited.set(true);
            let (waiting, connections) = (self.permits.waiting(), self.permits.limit());
            let (now, until) = (clock::now(), call.useful_until.get());
            let times = self.times.borrow();
            if times.waits_too_long(&call.route, now, until, waiting, connections) {
                return Err(too_late(call));
            }
        }
        let mut permit = pin!(self.permits.acquire());
        loop {
            if self.has_waited_too_long(call) {
                return Err(too_late(call));
            }
            tokio::select! {
                biased;
                () = self.waits_ended.notified() => return Err(MissingReason::Withdrawn),
                () = call.progress.revocation() => return Err(MissingReason::Deadline),
                permit = &mut permit => return Ok(permit),
                () = clock::sleep_until(self.send_by(call)) => {}
            }
        }
    }

    /// Last time at which a call may be sent if it has waited.
    fn send_by(&self, call: &Call) -> Time {
        let times = self.times.borrow();
        times.send_by(&call.route, call.useful_until.get())
    }

    /// Whether a call has waited for a connection, here or to another target, and has less time left than
    /// calls to this target usually take.
    fn has_waited_too_long(&self, call: &Call) -> bool {
        call.progress.waited.get() && clock::now() >= self.send_by(call)
    }

    /// Closes idle connections that cannot be reused, and all of them once the target is unusable.
    pub(crate) fn close_idle(&self, now: Time) {
        let mut idle = self.idle.borrow_mut();
        if self.is_used() {
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
            self.keep(connection);
        }
    }

    /// Number of connections that are idle or in use.
    pub(crate) fn connections(&self) -> usize {
        self.idle.borrow().len() + self.permits.in_use() as usize
    }

    /// Sends a call and waits for its answer until shortly after the deadline.
    ///
    /// A call that runs out of time is [`Outcome::Lost`], or [`Outcome::NotRun`] if it was still waiting
    /// for a connection.
    pub(crate) async fn call(&self, call: Call) -> Outcome {
        let remaining = call.deadline.since(clock::now());
        if let Ok(outcome) = timeout(remaining + ANSWER_GRACE, self.send(&call)).await {
            return outcome;
        }
        let now = clock::now();
        self.update_health(|h| h.timed_out(now));
        if let Some(permitted) = call.progress.permitted.get() {
            let held = now.since(permitted);
            self.times.borrow_mut().record_timeout(&call.route, held);
        }
        Outcome::Lost("no answer in time".into())
    }

    async fn send(&self, call: &Call) -> Outcome {
        let leaving = self.leaving_at.get();
        let unsent = CountedCall::new(&self.unsent);
        let _permit = match self.wait_for_permit(call).await {
            Ok(permit) => permit,
            Err(why) => return Outcome::NotRun(why),
        };
        if call.progress.revoked() {
            return Outcome::NotRun(MissingReason::Deadline);
        }
        if self.has_waited_too_long(call) {
            return Outcome::NotRun(too_late(call));
        }
        let permitted = clock::now();
        if self.is_too_late(call, permitted) {
            return Outcome::NotRun(MissingReason::Deadline);
        }
        let Some(hold) = self.reserve_answer(call) else {
            return Outcome::NotRun(MissingReason::Memory);
        };
        call.progress.stage.set(CallStage::Connecting);
        call.progress.permitted.set(Some(permitted));
        self.tried.set(true);
        if self.permits.in_use() == 1 {
            self.waiting_since.set(clock::now());
        }
        let Some(mut connection) = self.take_connection(call.non_idempotent).await else {
            return Outcome::NotRun(MissingReason::Unreachable);
        };
        // The checks come after the wait for a connection, during which their results can change.
        let now = clock::now();
        let remaining = call.deadline.since(now);
        let has_left =
            leaving != self.leaving_at.get() || (leaving.is_some() && !self.is_last_resort(now));
        if has_left || !self.usable.get() {
            return Outcome::NotRun(MissingReason::Withdrawn);
        }
        if remaining < MIN_CALL_TIME {
            return Outcome::NotRun(MissingReason::Deadline);
        }
        if call.progress.revoked() {
            self.keep(connection);
            return Outcome::NotRun(MissingReason::Deadline);
        }
        let Ok(account) = call.access.confirm() else {
            self.keep(connection);
            return Outcome::NotRun(MissingReason::Unauthorized);
        };
        if !self.try_admit(now) {
            self.keep(connection);
            return Outcome::NotRun(MissingReason::Limited);
        }
        drop(unsent);
        self.limited_calls.set(self.limited_calls.get() + 1);
        let id = self.target.borrow().id.clone();
        let mut extra = call_headers(&id, remaining);
        if let Some((name, value)) = account.and_then(|a| account_header(&a.name)) {
            extra.insert(name, value);
        }
        let head = RequestHeadType::Rc(call.head.clone(), Some(extra));
        call.calls_sent.set(call.calls_sent.get() + 1);
        call.progress.stage.set(CallStage::Written);
        match connection
            .round_trip(
                head,
                &call.body,
                Expected::Id(call.id.as_deref()),
                Room {
                    hold,
                    until: call.deadline,
                },
            )
            .await
        {
            Ok(answer) => self.accept_answer(call, connection, answer, permitted),
            Err(error) if is_closed(&error) && self.has_ended().await => {
                Outcome::TargetEnded(error.to_string())
            }
            Err(error) => Outcome::Lost(error.to_string()),
        }
    }

    /// Learns from a whole answer, and keeps its connection if possible.
    fn accept_answer(
        &self,
        call: &Call,
        connection: TargetConnection,
        answer: Answer,
        permitted: Time,
    ) -> Outcome {
        self.update_health(TargetHealth::succeeded);
        let now = clock::now();
        let mut sizes = self.shared.sizes.borrow_mut();
        sizes.record(&call.route, answer.bytes());
        drop(sizes);
        self.shared.heard.set(now);
        self.waiting_since.set(now);
        self.answered_at.set(now);
        if !answer.head.misdirected {
            self.set_rate_limit(answer.head.rate_limit);
            self.set_cold(now, answer.head.cold_left);
            if answer.head.leaving {
                self.note_leaving();
            }
        }
        if connection.is_reusable(clock::now()) {
            self.keep(connection);
        }
        let outcome = self.classify(answer);
        self.record_time(call, &outcome, now.since(permitted));
        if matches!(outcome, Outcome::NotRun(_)) {
            call.calls_sent.set(call.calls_sent.get() - 1);
        }
        outcome
    }

    /// Looks for memory for the answer to a call; `None` if there is none, so that the call is not to be
    /// sent.
    fn reserve_answer(&self, call: &Call) -> Option<Hold> {
        let mut hold = self.answers.hold();
        let largest = self.answers.largest_answer();
        let sizes = self.shared.sizes.borrow();
        let has_room = match sizes.room(&call.route, !call.non_idempotent, largest) {
            CallRoom::None => true,
            CallRoom::Free(bytes) => self.answers.has_room(bytes),
            CallRoom::Taken(bytes) => hold.grow(bytes),
        };
        if !has_room {
            hold.record_refusal(Refused::Call);
        }
        has_room.then_some(hold)
    }

    /// Records for how long an answered call held its connection.
    fn record_time(&self, call: &Call, outcome: &Outcome, held: Duration) {
        let mut times = self.times.borrow_mut();
        match outcome {
            Outcome::Answered(a) if (200..300).contains(&a.status) => {
                times.record_answer(&call.route, held);
            }
            _ => times.record_other(held),
        }
    }

    /// Whether the target's process has ended, so that connections to its address are refused. One
    /// that is accepted is kept.
    async fn has_ended(&self) -> bool {
        match timeout(END_CHECK_TIME, TargetConnection::connect(self.addr())).await {
            Ok(Ok(connection)) => {
                self.keep(connection);
                false
            }
            Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            Err(_) => false,
        }
    }

    fn classify(&self, answer: Answer) -> Outcome {
        if answer.head.misdirected {
            // Another target has the address now, so this one is gone.
            self.retire();
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

    /// Takes a reusable idle connection or opens one. `None` if none can be opened, for which the target is
    /// down unless the cause is here.
    async fn take_connection(&self, non_idempotent: bool) -> Option<TargetConnection> {
        if non_idempotent {
            self.make_room();
        } else if let Some(connection) = self.take_idle() {
            return Some(connection);
        }
        let addr = self.addr();
        let connected = TargetConnection::connect(addr).await;
        if connected.as_ref().is_err_and(|error| !is_local(error)) {
            self.update_health(|h| h.connect_failed(clock::now()));
        }
        connected.ok()
    }

    /// Takes the idle connection that was kept last; closes those before it that cannot be reused.
    fn take_idle(&self) -> Option<TargetConnection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_reusable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Closes the oldest idle connections that have to go before a new one is opened.
    fn make_room(&self) {
        let mut idle = self.idle.borrow_mut();
        let closed = idle.len() - self.permits.kept_idle(idle.len());
        idle.drain(..closed);
    }
}

/// Why a call that has waited too long is not sent. A key that was revoked meanwhile comes first, so that
/// the caller does not try again with it.
fn too_late(call: &Call) -> MissingReason {
    match call.access.confirm() {
        Ok(_) => MissingReason::Deadline,
        Err(_) => MissingReason::Unauthorized,
    }
}
