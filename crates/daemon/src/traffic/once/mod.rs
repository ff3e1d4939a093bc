//! Non-idempotent requests: the journal's keeper runs each at most once.
//!
//! A request id belongs to one of a fixed number of shares, and the daemon that holds the
//! share's lease keeps its journal. The keeper sends the call to one target at a time and tries
//! another only on the word, of the holder or the target, that it was not run.

mod handover;
mod partitions;

use {
    crate::{
        clock,
        routing::{LeaseCell, Shared},
        traffic::{
            calls::{Calls, OutgoingCall, call_template},
            holder::{CallResult, HolderCall, Outcome as CallOutcome},
            once::partitions::Shares,
            rpc::priority,
        },
    },
    rattanturn_core::{
        Priority, Time,
        dedup::{Outcome, Verdict},
        lease::UnitId,
        rendezvous,
    },
    rattanturn_wire::peer_capnp::{self, once_request, once_result},
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
    tokio::sync::oneshot,
};

/// Time that a request waits for its journal to have a keeper.
const KEEPER_PATIENCE: Duration = Duration::from_millis(500);
/// Pause between two tries to reach the keeper.
const KEEPER_PAUSE: Duration = Duration::from_millis(25);
/// Pause before a journal that is on its way is looked for again.
const JOURNAL_PAUSE: Duration = Duration::from_millis(10);
/// Time beyond the deadline in which the keeper's answer may still arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Share of the time left in which a call has to be started at the target.
const START_SHARE: f64 = 0.7;
/// Targets tried for one request.
const MAX_TRIES: usize = 3;

/// A non-idempotent request.
#[derive(Clone, Debug)]
pub(crate) struct OnceRequest {
    pub(crate) id: String,
    /// Milliseconds since 1970 by the caller's clock.
    pub(crate) issued: u64,
    pub(crate) pool: String,
    pub(crate) deadline: Time,
    pub(crate) priority: Priority,
    pub(crate) body: Vec<u8>,
}

/// Keeps the journals held by one traffic thread.
#[derive(Clone)]
pub(crate) struct DedupOwner {
    routing: Shared,
    calls: Calls,
    shares: Rc<RefCell<Shares>>,
}

impl DedupOwner {
    pub(crate) fn new(routing: Shared, calls: Calls) -> Self {
        Self {
            routing,
            calls,
            shares: Rc::default(),
        }
    }

    /// Number of requests remembered.
    pub(crate) fn len(&self) -> usize {
        self.shares.borrow().len()
    }

    /// Runs a request at most once and returns how it ended; `None` if this daemon does not hold
    /// the request's journal.
    pub(crate) async fn run(&self, request: OnceRequest) -> Option<Outcome> {
        let (unit, cell) = self.open_share(&request.id)?;
        Some(self.run_held(unit, cell, request).await)
    }

    async fn run_held(&self, unit: UnitId, cell: Arc<LeaseCell>, request: OnceRequest) -> Outcome {
        let digest = rendezvous::key(&format!("{}:{:?}", request.pool, request.body));
        loop {
            let (verdict, ended) = {
                let mut shares = self.shares.borrow_mut();
                let Some(share) = shares.get(unit) else {
                    return Outcome::Unknown;
                };
                let now = clock::unix_ms();
                let verdict = share
                    .journal
                    .begin(now, request.issued, &request.id, digest);
                (verdict, share.ended.clone())
            };
            match verdict {
                Verdict::Run => {
                    // The unit is not given back while the request runs.
                    cell.enter();
                    break;
                }
                Verdict::Ended(outcome) => return outcome,
                Verdict::Unknown => {
                    if !self.shares.borrow().expects_journal(clock::now(), unit) {
                        return Outcome::Unknown;
                    }
                    actix_rt::time::sleep(JOURNAL_PAUSE).await;
                }
                Verdict::Refused(why) => return Outcome::NotRun(why.into()),
                Verdict::Running => {
                    let left = request.deadline.since(clock::now());
                    if tokio::time::timeout(left, ended.notified()).await.is_err() {
                        return Outcome::Unknown;
                    }
                }
            }
        }
        // The run outlives a caller that goes away, so that its outcome is kept for a repeat.
        let this = self.clone();
        let run = actix_rt::spawn(async move {
            let outcome = this.run_first(unit, &request).await;
            cell.leave();
            outcome
        });
        run.await.unwrap_or(Outcome::Unknown)
    }

    async fn run_first(&self, unit: UnitId, request: &OnceRequest) -> Outcome {
        let outcome = self.try_targets(unit, request).await;
        if let Some(share) = self.shares.borrow_mut().get(unit) {
            share.journal.finish(&request.id, outcome.clone());
            share.ended.notify_waiters();
        }
        outcome
    }

    /// Finds the request's share and makes sure that its journal is of the present tenure.
    fn open_share(&self, id: &str) -> Option<(UnitId, Arc<LeaseCell>)> {
        let routing = self.routing.load();
        let unit = routing.journal_unit(id)?;
        let cell = unit.cell.clone()?;
        if !cell.usable(clock::now()) {
            return None;
        }
        self.shares.borrow_mut().open(clock::now(), unit.id, &cell);
        Some((unit.id, cell))
    }

    async fn try_targets(&self, unit: UnitId, request: &OnceRequest) -> Outcome {
        let mut why = "no target is available";
        for target in self.targets(request) {
            let held = {
                let routing = self.routing.load();
                let cell = routing
                    .units
                    .iter()
                    .find(|u| u.id == unit)
                    .and_then(|u| u.cell.clone());
                cell.is_some_and(|c| clock::now() < c.until())
            };
            if !held {
                return Outcome::NotRun("the journal's lease lapsed".into());
            }
            let result = self.call(target, request).await;
            match result.outcome {
                CallOutcome::Done => return Outcome::Ran(result.body),
                CallOutcome::Failed => return Outcome::Unknown,
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

    /// Targets to try, those with the shortest wait first.
    fn targets(&self, request: &OnceRequest) -> Vec<usize> {
        let routing = self.routing.load();
        let Some(services) = routing.services.get(&request.pool) else {
            return Vec::new();
        };
        let all: Vec<usize> = services.iter().flatten().copied().collect();
        let mut order = self.calls.order(all, rendezvous::key(&request.id));
        order.truncate(MAX_TRIES);
        order
    }

    async fn call(&self, target: usize, request: &OnceRequest) -> CallResult {
        let Some(addr) = self.routing.load().targets.get(&target).map(|t| t.addr) else {
            return CallResult::without_answer(0, CallOutcome::NoHolder);
        };
        // A call that starts late would have its answer cut off by the deadline.
        let now = clock::now();
        let call = HolderCall {
            deadline: now + request.deadline.since(now).mul_f64(START_SHARE),
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

/// Asks the keeper of a request, here or at another daemon, to run it.
///
/// A journal that is just moving has no keeper for a moment; the request, which was not run, is
/// brought to the next one.
pub(crate) async fn ask_owner(
    routing: &Shared,
    calls: &Calls,
    keeper: &DedupOwner,
    request: OnceRequest,
) -> Outcome {
    let patience = (clock::now() + KEEPER_PATIENCE).min(request.deadline);
    loop {
        if let Some(outcome) = ask_once(routing, calls, keeper, &request).await {
            return outcome;
        }
        if clock::now() + KEEPER_PAUSE >= patience {
            return Outcome::NotRun("no daemon keeps the request's journal".into());
        }
        actix_rt::time::sleep(KEEPER_PAUSE).await;
    }
}

/// One try; `None` if the daemon asked is not the keeper or cannot be reached.
async fn ask_once(
    routing: &Shared,
    calls: &Calls,
    keeper: &DedupOwner,
    request: &OnceRequest,
) -> Option<Outcome> {
    let destination = routing.load().journal_unit(&request.id)?.destination?;
    if calls.is_local(destination) {
        return keeper.run(request.clone()).await;
    }
    let peers = calls.peers();
    peers.simulate_delay(destination).await;
    let client = peers.client(destination.addr).await.ok()?;
    let mut message = client.run_once_request();
    write_request(message.get().init_request(), request);
    let limit = request.deadline.since(clock::now()) + ANSWER_MARGIN;
    match tokio::time::timeout(limit, message.send().promise).await {
        Ok(Ok(response)) => {
            let answer = response.get().and_then(|r| read_answer(r.get_result()?));
            answer.unwrap_or(Some(Outcome::Unknown))
        }
        Ok(Err(error)) => {
            let _ = peers.forget_disconnected(destination.addr, Err(error));
            Some(Outcome::Unknown)
        }
        Err(_) => Some(Outcome::Unknown),
    }
}

fn write_request(mut out: once_request::Builder<'_>, request: &OnceRequest) {
    out.set_id(&request.id);
    out.set_issued(request.issued);
    out.set_pool(&request.pool);
    out.set_remaining(clock::micros(request.deadline.since(clock::now())));
    out.set_priority(request.priority as u8);
    out.set_body(&request.body);
}

/// Reads a request from its message.
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

/// Writes a keeper's answer into its message.
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
        // A verdict of a later version: nothing is known of the request.
        Ok(peer_capnp::Verdict::Unknown) | Err(_) => Outcome::Unknown,
    })
}
