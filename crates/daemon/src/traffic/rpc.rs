//! RPC between daemons: the server of a traffic thread, and its clients to the threads of other
//! daemons.
//!
//! Results are not returned by the RPC that carries the calls, because it would then wait for the
//! slowest of them. They are sent to the caller's sink as they become known, and results that
//! become known together share a message.

use {
    crate::{
        clock,
        routing::Destination,
        supervise::restarted,
        traffic::{
            Gauges, PeerRequest,
            holder::{CallResult, Holder, HolderCall, Outcome, ResultCallback},
            once::DedupOwner,
        },
    },
    capnp::capability::Rc as ObjectRef,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::{AsyncReadExt, future::join_all},
    rattanturn_core::{
        Priority, Time,
        object_history::{ObjectHistory, ObjectUpdate},
    },
    rattanturn_wire::peer_capnp::{self, call, peer, result, sink},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        io,
        net::SocketAddr,
        rc::Rc,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpStream, sync::oneshot},
    tokio_util::{compat::TokioAsyncReadCompatExt, sync::CancellationToken},
};

#[cfg(test)]
mod tests;

/// Time limit for connecting to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after the last deadline of an RPC's calls within which the RPC must end. Holders give up at
/// the deadline, so a connection without an answer by then has stopped working.
const RESULT_GRACE: Duration = Duration::from_millis(500);

/// Time after the end of a method for which its answer counts as unsent. It is sent in the same turn of
/// the event loop, unless the connection is congested.
const ANSWER_SEND_TIME: Duration = Duration::from_millis(50);

/// Unit of a message's length.
const WORD_BYTES: usize = 8;
/// Largest object that is fetched from another daemon, in bytes. All targets of the largest deployments
/// take 2.5 MB.
const MAX_OBJECT_BYTES: usize = 4 << 20;
/// Largest message with calls or their results, in bytes: some dozens of bodies of 1 MiB.
const MAX_CALLS_BYTES: usize = 64 << 20;

/// Shared objects with their recent versions, which other daemons can fetch.
pub(crate) type SharedObjects = Arc<Mutex<ObjectHistory>>;

/// Called with each result of a call that was sent to another daemon.
pub(crate) type DeliverResult = Rc<dyn Fn(CallResult)>;

/// Serves RPC on `listener`; never returns.
pub(crate) async fn serve(listener: tokio::net::TcpListener, server: Server) {
    restarted("peers' connections", || accept(&listener, &server)).await;
}

async fn accept(listener: &tokio::net::TcpListener, server: &Server) -> ! {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let client: peer::Client = capnp_rpc::new_client(server.clone());
        let system = RpcSystem::new(
            Box::new(vat_network(stream, Side::Server, MAX_CALLS_BYTES)),
            Some(client.client),
        );
        actix_rt::spawn(async move {
            let _ = system.await;
        });
    }
}

/// Transport for two-party RPC over a TCP stream. A connection ends with the first message of more than
/// `max_bytes`, of which only the head is read.
pub(crate) fn vat_network(
    stream: TcpStream,
    side: Side,
    max_bytes: usize,
) -> VatNetwork<futures::io::ReadHalf<tokio_util::compat::Compat<TcpStream>>> {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.compat().split();
    let mut options = capnp::message::ReaderOptions::default();
    options.traversal_limit_in_words(Some(max_bytes / WORD_BYTES));
    VatNetwork::new(reader, writer, side, options)
}

/// What a traffic thread does for other daemons.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) holder: Holder,
    pub(crate) dedup_owner: DedupOwner,
    pub(crate) objects: SharedObjects,
    pub(crate) gauges: Arc<Gauges>,
}

impl peer::Server for Server {
    async fn run(
        self: ObjectRef<Self>,
        params: peer::RunParams,
        _: peer::RunResults,
    ) -> Result<(), capnp::Error> {
        let _open = PeerRequest::new(&self.gauges);
        let params = params.get()?;
        let outbox = Rc::new(Outbox {
            sink: params.get_sink()?,
            pending: RefCell::default(),
        });
        let mut ends = Vec::new();
        for call in params.get_calls()? {
            let call = read_call(call)?;
            let (send, end) = oneshot::channel::<()>();
            ends.push(end);
            let outbox = outbox.clone();
            let on_result: ResultCallback = Box::new(move |result| {
                outbox.push(result);
                drop(send);
            });
            self.holder.submit(call, on_result);
        }
        // A call's sender is dropped when the call has ended or is cancelled.
        join_all(ends).await;
        Outbox::flush(&outbox).await;
        Ok(())
    }

    async fn cancel(
        self: ObjectRef<Self>,
        params: peer::CancelParams,
        _: peer::CancelResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        for number in params.get_numbers()? {
            self.holder.cancel(params.get_origin(), number);
        }
        Ok(())
    }

    async fn run_once(
        self: ObjectRef<Self>,
        params: peer::RunOnceParams,
        mut results: peer::RunOnceResults,
    ) -> Result<(), capnp::Error> {
        let open = PeerRequest::new(&self.gauges);
        let request = crate::traffic::once::read_request(params.get()?.get_request()?)?;
        let outcome = self.dedup_owner.run(request).await;
        crate::traffic::once::write_answer(results.get().init_result(), outcome.as_ref());
        actix_rt::spawn(async move {
            actix_rt::time::sleep(ANSWER_SEND_TIME).await;
            drop(open);
        });
        Ok(())
    }

    async fn hand_over(
        self: ObjectRef<Self>,
        params: peer::HandOverParams,
        _: peer::HandOverResults,
    ) -> Result<(), capnp::Error> {
        self.dedup_owner.receive(params.get()?.get_journal()?)
    }

    async fn object(
        self: ObjectRef<Self>,
        params: peer::ObjectParams,
        mut results: peer::ObjectResults,
    ) -> Result<(), capnp::Error> {
        if let Some(update) = find_update(&self.objects, &params)? {
            send_update(&update, &mut results);
        }
        Ok(())
    }
}

/// What a peer lacks of the shared object that it asks for; `None` if there is no newer version.
pub(crate) fn find_update(
    objects: &SharedObjects,
    params: &peer::ObjectParams,
) -> Result<Option<ObjectUpdate>, capnp::Error> {
    let params = params.get()?;
    let key = params.get_key()?.to_str()?;
    let mut objects = objects.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(objects.update_since(key, params.get_known()))
}

/// Answers a request for a shared object. The answer is empty if there is no newer version.
pub(crate) fn send_update(update: &ObjectUpdate, results: &mut peer::ObjectResults) {
    let mut out = results.get();
    out.set_version(update.version);
    out.set_body(&update.data);
    out.set_base(update.base);
    out.set_digest(update.digest);
}

/// Collects the results that become known in one turn of the event loop and sends them in one
/// message.
struct Outbox {
    sink: sink::Client,
    pending: RefCell<Vec<CallResult>>,
}

impl Outbox {
    fn push(self: &Rc<Self>, result: CallResult) {
        let first = self.pending.borrow().is_empty();
        self.pending.borrow_mut().push(result);
        if first {
            let outbox = self.clone();
            actix_rt::spawn(async move {
                tokio::task::yield_now().await;
                Self::flush(&outbox).await;
            });
        }
    }

    async fn flush(outbox: &Rc<Self>) {
        let list = outbox.pending.take();
        if list.is_empty() {
            return;
        }
        let mut request = outbox.sink.deliver_request();
        let count = u32::try_from(list.len()).unwrap_or(u32::MAX);
        let mut results = request.get().init_results(count);
        for (i, result) in (0..).zip(&list) {
            write_result(results.reborrow().get(i), result);
        }
        // If this fails, the receiver is gone and so are its calls.
        let _ = request.send().promise.await;
    }
}

struct SinkServer(DeliverResult);

impl sink::Server for SinkServer {
    async fn deliver(
        self: ObjectRef<Self>,
        params: sink::DeliverParams,
        _: sink::DeliverResults,
    ) -> Result<(), capnp::Error> {
        for result in params.get()?.get_results()? {
            (self.0)(read_result(result)?);
        }
        Ok(())
    }
}

/// Calls the daemon at `addr` on a connection of its own, which is closed afterwards.
///
/// A connection that is kept can stop working without either end noticing, and then every later
/// call on it is lost. So calls that are rare use a new one each.
///
/// # Errors
///
/// The daemon cannot be reached, the connection broke, or `call` failed.
pub(crate) async fn call_once<T>(
    addr: SocketAddr,
    call: impl AsyncFnOnce(&peer::Client) -> eyre::Result<T>,
) -> eyre::Result<T> {
    let (client, system) = connect(addr, MAX_OBJECT_BYTES).await?;
    tokio::select! {
        result = call(&client) => result,
        _ = system => eyre::bail!("the connection was lost"),
    }
}

/// Connects to the daemon at `addr`. The client works only while the system is polled.
async fn connect(
    addr: SocketAddr,
    max_bytes: usize,
) -> eyre::Result<(peer::Client, RpcSystem<Side>)> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = stream.await.map_err(io::Error::from)??;
    let network = vat_network(stream, Side::Client, max_bytes);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    Ok((client, system))
}

/// A connection to another daemon.
pub(crate) struct PeerConnection {
    pub(crate) client: peer::Client,
    addr: SocketAddr,
    /// Cancelled once the connection has ended or is to be closed.
    closed: CancellationToken,
    /// When an answer came last.
    heard: Cell<Time>,
}

impl PeerConnection {
    /// Waits for the answer to a call until the connection is closed. The library lets calls on a
    /// connection that no task works on wait for ever.
    pub(crate) fn answer<T, F>(
        &self,
        answer: F,
    ) -> impl Future<Output = capnp::Result<T>> + use<T, F>
    where
        F: Future<Output = capnp::Result<T>>,
    {
        let closed = self.closed.clone();
        async move {
            tokio::select! {
                biased;
                answer = answer => answer,
                () = closed.cancelled() => {
                    Err(capnp::Error::disconnected("the connection was closed".into()))
                }
            }
        }
    }

    /// Takes note of the result of an RPC. If the connection was lost, the next RPC connects again.
    pub(crate) fn note_answer(&self, answer: Result<(), capnp::Error>) -> eyre::Result<()> {
        let is_lost = |e: &capnp::Error| e.kind == capnp::ErrorKind::Disconnected;
        if answer.as_ref().is_err_and(is_lost) {
            self.closed.cancel();
        } else {
            self.heard.set(clock::now());
        }
        Ok(answer?)
    }

    /// Like [`Self::close_silent`] if `answer`, whose deadline has passed, does not come soon.
    pub(crate) async fn close_if_silent(&self, sent: Time, answer: impl Future) {
        if tokio::time::timeout(RESULT_GRACE, answer).await.is_err() {
            self.close_silent(sent);
        }
    }

    /// Closes the connection if no answer came since `sent`, when a call was sent whose answer is overdue,
    /// so that the next RPC connects again. Neither end would notice otherwise. If another answer came,
    /// the connection works, and the call itself is late.
    fn close_silent(&self, sent: Time) {
        if self.heard.get() > sent {
            tracing::info!(peer = %self.addr, "no answer in time, but others on the same connection");
        } else if !self.closed.is_cancelled() {
            tracing::warn!(peer = %self.addr, "no answer in time; closed the connection to the daemon");
            self.closed.cancel();
        }
    }
}

/// Why calls that another daemon was to run have no results.
#[derive(Debug)]
pub(crate) enum RunError {
    /// The daemon cannot be reached. None was sent.
    NotSent(eyre::Report),
    /// No answer came. Each may have run.
    Lost(eyre::Report),
}

/// Open connections by the address of the other daemon's thread.
type Connections = Rc<RefCell<HashMap<SocketAddr, Rc<PeerConnection>>>>;

/// One traffic thread's connections to the traffic threads of other daemons, one for each address.
#[derive(Clone)]
pub(crate) struct Peers {
    connections: Connections,
    sink: sink::Client,
    /// Simulated one-way delay between data centres.
    delay: Duration,
}

impl Peers {
    /// `deliver` gets the results of calls sent with [`Self::run`]. `delay` is added to each
    /// message to another data centre, to simulate distance in demonstrations; it is zero
    /// otherwise.
    pub(crate) fn new(deliver: DeliverResult, delay: Duration) -> Self {
        let sink = capnp_rpc::new_client(SinkServer(deliver));
        Self {
            connections: Rc::default(),
            sink,
            delay,
        }
    }

    /// Sends calls to the daemon at `to` and returns when all of them have ended.
    ///
    /// Each result is delivered as soon as it is known.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, and no call was sent, or the connection broke. Calls that have no
    /// result by then are lost: they may or may not have run.
    pub(crate) async fn run(&self, to: Destination, calls: &[HolderCall]) -> Result<(), RunError> {
        self.simulate_delay(to).await;
        let connection = self.connect(to.addr).await.map_err(RunError::NotSent)?;
        let mut request = connection.client.run_request();
        request.get().set_sink(self.sink.clone());
        let count = u32::try_from(calls.len()).unwrap_or(u32::MAX);
        let mut list = request.get().init_calls(count);
        for (i, call) in (0..).zip(calls) {
            write_call(list.reborrow().get(i), call);
        }
        let deadlines = calls.iter().map(|c| c.deadline);
        let deadline = deadlines.max().unwrap_or(clock::now());
        let now = clock::now();
        let limit = deadline.since(now) + RESULT_GRACE;
        let answer = connection.answer(request.send().promise);
        let Ok(answer) = tokio::time::timeout(limit, answer).await else {
            connection.close_silent(now);
            return Err(RunError::Lost(eyre::eyre!("no answer in time")));
        };
        let answer = connection.note_answer(answer.map(|_| ()));
        answer.map_err(RunError::Lost)
    }

    /// Cancels calls of `origin` at the daemon at `to`; errors are ignored.
    pub(crate) async fn cancel(&self, to: Destination, origin: u64, numbers: &[u64]) {
        self.simulate_delay(to).await;
        let Ok(connection) = self.connect(to.addr).await else {
            return;
        };
        let mut request = connection.client.cancel_request();
        request.get().set_origin(origin);
        let count = u32::try_from(numbers.len()).unwrap_or(u32::MAX);
        let mut list = request.get().init_numbers(count);
        for (i, number) in (0..).zip(numbers) {
            list.set(i, *number);
        }
        let answer = connection.answer(request.send().promise).await;
        let _ = connection.note_answer(answer.map(|_| ()));
    }

    /// The connection to the daemon at `addr`, which is set up if there is none yet.
    pub(crate) async fn connect(&self, addr: SocketAddr) -> eyre::Result<Rc<PeerConnection>> {
        let known = self.connections.borrow().get(&addr).cloned();
        if let Some(open) = known.filter(|c| !c.closed.is_cancelled()) {
            return Ok(open);
        }
        let (client, system) = connect(addr, MAX_CALLS_BYTES).await?;
        let connection = Rc::new(PeerConnection {
            client,
            addr,
            closed: CancellationToken::new(),
            heard: Cell::new(Time::ZERO),
        });
        let closed = connection.closed.clone();
        actix_rt::spawn(async move {
            tokio::select! {
                _ = system => closed.cancel(),
                () = closed.cancelled() => {}
            }
        });
        let mut connections = self.connections.borrow_mut();
        connections.retain(|_, c| !c.closed.is_cancelled());
        connections.insert(addr, connection.clone());
        Ok(connection)
    }

    /// Sleeps for the simulated delay if `to` is in another data centre.
    pub(crate) async fn simulate_delay(&self, to: Destination) {
        if to.other_centre && !self.delay.is_zero() {
            actix_rt::time::sleep(self.delay).await;
        }
    }
}

fn write_call(mut out: call::Builder<'_>, call: &HolderCall) {
    out.set_origin(call.origin);
    out.set_number(call.number);
    out.set_target(call.target.to_string());
    out.set_snapshot(call.snapshot);
    out.set_remaining(clock::micros(call.deadline.since(clock::now())));
    out.set_priority(call.priority as u8);
    out.set_body(&call.body);
    out.set_idempotent(call.request_id.is_none());
    out.set_request(call.request_id.as_deref().unwrap_or(""));
}

fn read_call(m: call::Reader<'_>) -> capnp::Result<HolderCall> {
    let target = m.get_target()?.to_str()?;
    let target = target
        .parse()
        .map_err(|_| capnp::Error::failed("not an address".into()))?;
    let request = m.get_request()?.to_str()?;
    Ok(HolderCall {
        origin: m.get_origin(),
        number: m.get_number(),
        target,
        snapshot: m.get_snapshot(),
        deadline: clock::now() + Duration::from_micros(m.get_remaining()),
        priority: priority(m.get_priority()),
        body: m.get_body()?.to_vec(),
        request_id: (!m.get_idempotent()).then(|| request.to_owned()),
    })
}

/// Priority from its number on the wire. A number that this version does not know becomes the
/// highest priority.
pub(crate) fn priority(number: u8) -> Priority {
    let index = usize::from(number).min(Priority::ALL.len() - 1);
    Priority::ALL[index]
}

fn write_result(mut out: result::Builder<'_>, result: &CallResult) {
    out.set_number(result.number);
    out.set_outcome(match result.outcome {
        Outcome::Done => peer_capnp::Outcome::Done,
        Outcome::WrongSnapshot => peer_capnp::Outcome::WrongSnapshot,
        Outcome::Busy => peer_capnp::Outcome::Busy,
        Outcome::Unreachable => peer_capnp::Outcome::Unreachable,
        Outcome::NoHolder => peer_capnp::Outcome::NoHolder,
        Outcome::Failed => peer_capnp::Outcome::Failed,
    });
    out.set_snapshot(result.snapshot);
    out.set_body(&result.body);
    out.set_wait(clock::micros(result.next_latency));
    out.set_queued(clock::micros(result.queue_time));
    let count = u32::try_from(result.versions.len()).unwrap_or(u32::MAX);
    let mut versions = out.init_versions(count);
    for (i, version) in (0..).zip(&result.versions) {
        versions.set(i, *version);
    }
}

fn read_result(m: result::Reader<'_>) -> capnp::Result<CallResult> {
    let outcome = match m.get_outcome() {
        Ok(peer_capnp::Outcome::Done) => Outcome::Done,
        Ok(peer_capnp::Outcome::WrongSnapshot) => Outcome::WrongSnapshot,
        Ok(peer_capnp::Outcome::Busy) => Outcome::Busy,
        Ok(peer_capnp::Outcome::Unreachable) => Outcome::Unreachable,
        Ok(peer_capnp::Outcome::NoHolder) => Outcome::NoHolder,
        // An outcome that this version does not know: the call may or may not have run.
        Ok(peer_capnp::Outcome::Failed) | Err(_) => Outcome::Failed,
    };
    Ok(CallResult {
        number: m.get_number(),
        outcome,
        snapshot: m.get_snapshot(),
        body: m.get_body()?.to_vec(),
        versions: m.get_versions()?.iter().collect(),
        next_latency: Duration::from_micros(m.get_wait()),
        queue_time: Duration::from_micros(m.get_queued()),
    })
}
