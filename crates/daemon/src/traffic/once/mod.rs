//! Runs non-idempotent requests at most once.
//!
//! The request ids are divided into a fixed number of partitions. The daemon that holds a
//! partition's lease owns it: it keeps the deduplication table of the partition and runs its
//! requests, so that a retry gets the outcome of the first attempt, whichever daemon it arrives at.
//!
//! The owner calls one target at a time. It tries another only if the holder or the target reports
//! that the call was not run; if that is not known, the request ends as unknown.

mod handover;
#[cfg(test)]
mod tests;

use {
    crate::{
        clock,
        routing::{LeaseState, SharedRouting},
        traffic::{
            Gauges,
            calls::{Calls, OutgoingCall, call_template},
            holder::{CallResult, HolderCall, Outcome as CallOutcome},
            rpc::priority,
        },
    },
    rattanturn_core::{
        Priority, Time,
        dedup::{Outcome, Verdict},
        lease::{LeaseTerms, UnitId},
        partitions::Partitions,
        rendezvous,
    },
    rattanturn_wire::peer_capnp::{self, once_request, once_result},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::sync::{Notify, oneshot},
};

/// Pause between two attempts to reach the owner.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Interval of checking whether a table that is being handed over has arrived.
const TABLE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time beyond the request's deadline for which the answer of a remote owner is awaited.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Fraction of the remaining time within which a call must start at the target.
const START_FRACTION: f64 = 0.7;
/// Maximum number of targets tried for one request.
const MAX_TARGETS: usize = 3;

/// A non-idempotent request.
#[derive(Clone, Debug)]
pub(crate) struct OnceRequest {
    /// Chosen by the caller; a retry has the same id.
    pub(crate) id: String,
    /// When the caller first issued it, in milliseconds since 1970 by the caller's clock.
    pub(crate) issued: u64,
    pub(crate) pool: String,
    pub(crate) deadline: Time,
    pub(crate) priority: Priority,
    pub(crate) body: Vec<u8>,
}

/// A request that has begun. Its lease is not released until this is dropped, and if that happens
/// without an outcome, as in a panic, the request may have run.
struct RunningRequest {
    owner: DedupOwner,
    unit: UnitId,
    lease: Arc<LeaseState>,
    id: String,
    outcome: Outcome,
}

impl RunningRequest {
    fn begin(owner: &DedupOwner, unit: UnitId, lease: Arc<LeaseState>, id: &str) -> Self {
        lease.begin_use();
        Self {
            owner: owner.clone(),
            unit,
            lease,
            id: id.to_owned(),
            outcome: Outcome::Unknown,
        }
    }

    /// Records the outcome for retries and returns it.
    fn end(mut self, outcome: Outcome) -> Outcome {
        self.outcome = outcome.clone();
        outcome
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if let Some(table) = self.owner.partitions.borrow_mut().get(self.unit) {
            table.finish(&self.id, self.outcome.clone());
        }
        self.owner.request_ended.notify_waiters();
        self.lease.end_use();
    }
}

/// Owns the partitions whose leases one traffic thread holds; clones share their state.
#[derive(Clone)]
pub(crate) struct DedupOwner {
    routing: SharedRouting,
    calls: Calls,
    partitions: Rc<RefCell<Partitions>>,
    /// Notifies retries that wait for an earlier attempt whenever a request ends.
    request_ended: Rc<Notify>,
    /// Number of tables that are being forwarded.
    sending: Rc<Cell<usize>>,
    /// What this thread has added to [`Gauges::foreign_tables`].
    foreign_tables: Rc<Cell<usize>>,
    gauges: Arc<Gauges>,
}

impl DedupOwner {
    pub(crate) fn new(routing: SharedRouting, calls: Calls, gauges: Arc<Gauges>) -> Self {
        Self {
            routing,
            calls,
            partitions: Rc::default(),
            request_ended: Rc::default(),
            sending: Rc::default(),
            foreign_tables: Rc::default(),
            gauges,
        }
    }

    /// Number of requests in the deduplication tables.
    pub(crate) fn len(&self) -> usize {
        self.partitions.borrow().len()
    }

    /// Runs a request at most once and returns how it ended, possibly from an earlier attempt.
    ///
    /// Returns `None`, without running the request, if this daemon does not own its partition.
    pub(crate) async fn run(&self, request: OnceRequest) -> Option<Outcome> {
        let (unit, lease, terms) = self.open_partition(&request.id)?;
        self.run_once(unit, lease, terms, request).await
    }

    async fn run_once(
        &self,
        unit: UnitId,
        lease: Arc<LeaseState>,
        terms: LeaseTerms,
        request: OnceRequest,
    ) -> Option<Outcome> {
        let digest = rendezvous::key(&format!("{}:{:?}", request.pool, request.body));
        loop {
            let request_ended = self.request_ended.notified();
            let verdict = {
                let mut partitions = self.partitions.borrow_mut();
                // The table may have gone to the next owner during a wait.
                let table = partitions.table_for(unit, terms, &request.id)?;
                table.begin(clock::unix_ms(), request.issued, &request.id, digest)
            };
            match verdict {
                Verdict::Run => break,
                Verdict::Ended(outcome) => return Some(outcome),
                Verdict::Unknown => {
                    if !self.partitions.borrow().expects_table(clock::now(), unit) {
                        return Some(unknown(&request.id, "it is older than the table"));
                    }
                    actix_rt::time::sleep(TABLE_POLL_INTERVAL).await;
                }
                Verdict::Refused(why) => return Some(Outcome::NotRun(why.into())),
                Verdict::Running => {
                    let left = request.deadline.since(clock::now());
                    if tokio::time::timeout(left, request_ended).await.is_err() {
                        return Some(unknown(&request.id, "an earlier attempt still runs"));
                    }
                }
            }
        }
        let running = RunningRequest::begin(self, unit, lease, &request.id);
        // The request runs in a task of its own, so that its outcome is recorded for a retry even
        // if the caller closes its connection.
        let this = self.clone();
        let run = actix_rt::spawn(async move {
            let outcome = this.try_targets(unit, &request).await;
            running.end(outcome)
        });
        Some(run.await.unwrap_or(Outcome::Unknown))
    }

    /// Finds a request's partition and makes sure that its table is valid for the current lease
    /// term. Returns `None` if this daemon does not hold the lease or is about to release it.
    fn open_partition(&self, id: &str) -> Option<(UnitId, Arc<LeaseState>, LeaseTerms)> {
        let routing = self.routing.load();
        let unit = routing.dedup_unit(id)?;
        let lease = unit.lease.clone()?;
        let now = clock::now();
        let (terms, start_ms) = lease.usable_term(now)?;
        self.partitions
            .borrow_mut()
            .open(now, unit.id, terms, start_ms);
        Some((unit.id, lease, terms))
    }

    /// Calls one target after another until one of them may have run the request.
    async fn try_targets(&self, unit: UnitId, request: &OnceRequest) -> Outcome {
        let mut why = "no target is available";
        for target in self.targets(request) {
            let held = {
                let routing = self.routing.load();
                let lease = routing
                    .units
                    .iter()
                    .find(|u| u.id == unit)
                    .and_then(|u| u.lease.clone());
                lease.is_some_and(|c| clock::now() < c.until())
            };
            if !held {
                return Outcome::NotRun("the journal's lease lapsed".into());
            }
            let result = self.call(target, request).await;
            match result.outcome {
                CallOutcome::Done => return Outcome::Ran(result.body),
                CallOutcome::Failed => return unknown(&request.id, "its call has no answer"),
                CallOutcome::Busy => why = "its targets are busy",
                CallOutcome::Unreachable => why = "its targets cannot be reached",
                CallOutcome::NoHolder => why = "no daemon holds its targets",
                CallOutcome::WrongSnapshot => why = "its targets have no index",
            }
            if clock::now() >= request.deadline {
                break;
            }
        }
        Outcome::NotRun(why.into())
    }

    /// Targets to try, the fastest first.
    fn targets(&self, request: &OnceRequest) -> Vec<usize> {
        let routing = self.routing.load();
        let Some(services) = routing.services.get(&request.pool) else {
            return Vec::new();
        };
        let all: Vec<usize> = services.iter().flatten().copied().collect();
        let mut order = self.calls.order(all, rendezvous::key(&request.id));
        order.truncate(MAX_TARGETS);
        order
    }

    async fn call(&self, target: usize, request: &OnceRequest) -> CallResult {
        let Some(addr) = self.routing.load().targets.get(&target).map(|t| t.addr) else {
            return CallResult::without_answer(0, CallOutcome::NoHolder);
        };
        // If a call started later than this, its answer would probably miss the request's deadline.
        let now = clock::now();
        let call = HolderCall {
            deadline: now + request.deadline.since(now).mul_f64(START_FRACTION),
            priority: request.priority,
            body: request.body.clone(),
            request_id: Some(request.id.clone()),
            ..call_template(addr)
        };
        let (send, receive) = oneshot::channel();
        let on_result = Box::new(move |result| {
            let _ = send.send(result);
        });
        let numbers = self.calls.send(vec![OutgoingCall {
            target,
            call,
            on_result,
        }]);
        let limit = request.deadline.since(clock::now());
        if let Ok(Ok(result)) = tokio::time::timeout(limit, receive).await {
            return result;
        }
        self.calls.cancel(&numbers);
        CallResult::without_answer(0, CallOutcome::Failed)
    }
}

/// Has a request run by the owner of its partition, on this thread or over RPC.
///
/// While a partition moves to another daemon it has no owner, until the requests in progress there have
/// ended and its table is handed over. The request is retried until the new owner accepts it. Without
/// an owner by its deadline the outcome is unknown: only the table tells whether an earlier attempt has
/// run.
pub(crate) async fn ask_owner(
    routing: &SharedRouting,
    calls: &Calls,
    local: &DedupOwner,
    request: OnceRequest,
) -> Outcome {
    loop {
        if let Some(outcome) = try_owner(routing, calls, local, &request).await {
            return outcome;
        }
        if clock::now() + OWNER_RETRY_DELAY >= request.deadline {
            return unknown(&request.id, "its partition has no owner");
        }
        actix_rt::time::sleep(OWNER_RETRY_DELAY).await;
    }
}

/// Makes one attempt; `None` if the request was not run, because there is no owner, it cannot be
/// reached, or the daemon that was asked is not the owner.
async fn try_owner(
    routing: &SharedRouting,
    calls: &Calls,
    local: &DedupOwner,
    request: &OnceRequest,
) -> Option<Outcome> {
    let destination = routing.load().dedup_unit(&request.id)?.destination?;
    if calls.is_local(destination) {
        return local.run(request.clone()).await;
    }
    let peers = calls.peers();
    peers.simulate_delay(destination).await;
    let connection = peers.connect(destination.addr).await.ok()?;
    let mut message = connection.client.run_once_request();
    write_request(message.get().init_request(), request);
    let now = clock::now();
    let limit = request.deadline.since(now) + ANSWER_MARGIN;
    let mut answer = Box::pin(connection.answer(message.send().promise));
    match tokio::time::timeout(limit, &mut answer).await {
        Ok(Ok(response)) => {
            let _ = connection.note_answer(Ok(()));
            let answer = response.get().and_then(|r| read_answer(r.get_result()?));
            answer.unwrap_or(Some(Outcome::Unknown))
        }
        Ok(Err(error)) => {
            let _ = connection.note_answer(Err(error));
            Some(unknown(&request.id, "the connection to its owner was lost"))
        }
        Err(_) => {
            actix_rt::spawn(async move { connection.close_if_silent(now, answer).await });
            Some(unknown(&request.id, "its owner did not answer in time"))
        }
    }
}

/// The outcome of a request that may have run, with a log line that says why it is not known.
fn unknown(request: &str, reason: &'static str) -> Outcome {
    tracing::warn!(request, reason, "the outcome of a request is not known");
    Outcome::Unknown
}

fn write_request(mut out: once_request::Builder<'_>, request: &OnceRequest) {
    out.set_id(&request.id);
    out.set_issued(request.issued);
    out.set_pool(&request.pool);
    out.set_remaining(clock::micros(request.deadline.since(clock::now())));
    out.set_priority(request.priority as u8);
    out.set_body(&request.body);
}

/// Reads a request that another daemon passes on.
pub(crate) fn read_request(m: once_request::Reader<'_>) -> capnp::Result<OnceRequest> {
    Ok(OnceRequest {
        id: m.get_id()?.to_str()?.into(),
        issued: m.get_issued(),
        pool: m.get_pool()?.to_str()?.into(),
        deadline: clock::now() + Duration::from_micros(m.get_remaining()),
        priority: priority(m.get_priority()),
        body: m.get_body()?.to_vec(),
    })
}

/// Writes the answer to a request of another daemon; `None` says that this daemon is not the owner.
pub(crate) fn write_answer(mut out: once_result::Builder<'_>, answer: Option<&Outcome>) {
    match answer {
        Some(outcome) => write_outcome(out, outcome),
        None => out.set_verdict(peer_capnp::Verdict::NotKeeper),
    }
}

fn write_outcome(mut out: once_result::Builder<'_>, outcome: &Outcome) {
    match outcome {
        Outcome::Ran(body) => {
            out.set_verdict(peer_capnp::Verdict::Ran);
            out.set_body(body);
        }
        Outcome::NotRun(reason) => {
            out.set_verdict(peer_capnp::Verdict::NotRun);
            out.set_reason(reason);
        }
        Outcome::Unknown => out.set_verdict(peer_capnp::Verdict::Unknown),
    }
}

fn read_answer(m: once_result::Reader<'_>) -> capnp::Result<Option<Outcome>> {
    if m.get_verdict() == Ok(peer_capnp::Verdict::NotKeeper) {
        return Ok(None);
    }
    read_outcome(m).map(Some)
}

fn read_outcome(m: once_result::Reader<'_>) -> capnp::Result<Outcome> {
    Ok(match m.get_verdict() {
        Ok(peer_capnp::Verdict::Ran) => Outcome::Ran(m.get_body()?.to_vec()),
        Ok(peer_capnp::Verdict::NotRun | peer_capnp::Verdict::NotKeeper) => {
            Outcome::NotRun(m.get_reason()?.to_str()?.into())
        }
        // An error is a verdict that this version does not know: the request may or may not have
        // run.
        Ok(peer_capnp::Verdict::Unknown) | Err(_) => Outcome::Unknown,
    })
}
