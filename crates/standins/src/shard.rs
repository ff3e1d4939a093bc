//! Stand-in for a target that registers in the platform's object store. Its service is one shard of
//! an index or has no shards.
//!
//! It answers every HTTP/1.1 request, whatever its method and path, with a signature in
//! `x-server-seal` and a body of records of 16 bytes, and returns the request's `x-request-id`. A
//! request that names another target in `x-target-instance` gets status 421 and does not run. A
//! request whose caller disconnects is stopped. Its path may ask for a longer run or a larger answer.
//!
//! A test can slow the target down, pause it or give it a [`Fault`]. Its process can end, when a test
//! stops it or when a request does that ends each target that runs it; it may start again under
//! another id. The target counts the runs of each request id, so that a test can tell whether a
//! request ran more than once.

mod answer;
mod open;
mod paths;

use {
    self::{
        answer::{answer, head},
        open::OpenRequest,
    },
    crate::{
        calls::{Call, CallLog},
        operator::register_target,
        platform,
        port::ReservedPort,
        slots::Slots,
    },
    actix_http::{
        Request,
        h1::{Codec, Message, MessageType},
    },
    actix_rt::time::sleep,
    bytes::BytesMut,
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::watch,
    },
    tokio_util::codec::Decoder,
};

/// Number of records in an answer.
const RECORDS: usize = 12;
/// Connections of a process that ends are closed this long after its listener.
const CLOSE_DELAY: Duration = Duration::from_millis(2);
/// Length of a record.
const RECORD_BYTES: usize = 16;

/// How a target deviates from a correct answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// The answer is sent whole.
    #[default]
    None,
    /// The request runs, and its connection is closed without an answer.
    Lost,
    /// The request runs, and its connection is closed before the last bytes of the body.
    Truncated,
    /// The answer has no `content-length`; the end of the connection ends its body.
    Unframed,
    /// The answer is sent twice on the same connection.
    Duplicated,
    /// Each answer is sent again when the next request has come on the same connection.
    DuplicatedLate,
    /// The request is answered with status 503 and `x-not-executed`, and does not run.
    Refused,
    /// The request runs and is answered with status 500.
    Failed,
    /// The request runs and is answered with status 503, without `x-not-executed`.
    Unavailable,
    /// The request runs, and its connection stays open without an answer.
    Silent,
    /// The request runs, and its answer is bytes without end, until the caller closes.
    Endless(Endless),
}

/// Where an answer has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// Header lines.
    Head,
    /// Heads of informational answers (status 100).
    Informational,
    /// Answers to another request.
    OtherAnswers,
    /// A body without a length.
    Body,
    /// The chunks of a body.
    Chunks,
    /// The extension of a chunk, which is no part of the body.
    ChunkExtension,
}

/// Properties of a target that do not change while it runs.
#[derive(Clone, Debug)]
pub struct TargetConfig {
    /// Identity of the target, which is also the name of its entry in the store.
    pub id: String,
    /// Name of the service that the target belongs to.
    pub service: String,
    /// Data centre that the target's entry names.
    pub centre: String,
    /// Time that a request takes to run.
    pub service_time: Duration,
    /// Version that the target's entry states.
    pub version: String,
}

/// How the answers of a bad version differ: each second one fails or is four times as slow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// They fail.
    Failures,
    /// They are slow.
    Slowness,
    /// They fail once the target has run for this long, counted from its first request.
    Later(Duration),
    /// They fail while at least this many requests are open.
    UnderLoad(u32),
    /// They fail if their path begins so.
    Route(String),
}

/// Factor by which the slow answers of a bad version take longer.
const SLOW_ANSWER_FACTOR: u32 = 4;

/// Counts of a target's requests since it started.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Number of times each request ran, by request id.
    pub runs: BTreeMap<String, u32>,
    /// Header lines of the last request, `name: value`, with bytes that are not UTF-8 replaced.
    pub last_headers: Vec<String>,
    /// Number of requests that arrived, also of those refused by a fault.
    pub arrivals: u64,
    /// Number of requests whose caller disconnected while they ran.
    pub abandoned: u64,
    /// Number of requests that ended the target's process.
    pub crashes: u64,
    /// Time at which the last request arrived.
    pub last_arrival: Option<Instant>,
    /// Smallest and largest `x-deadline-ms` of all requests: the time left for each, in
    /// milliseconds. A request without the header counts as 0.
    pub deadline_range: Option<(u64, u64)>,
    /// Times of the requests that arrived while the target stated a rate limit.
    pub limited_arrivals: Vec<Instant>,
    /// Most bytes that were written of one answer without end.
    pub endless_bytes: usize,
    /// Number of answers without end that are still being written.
    pub endless_open: u32,
}

#[derive(Debug, Default)]
struct Inner {
    fault: Fault,
    /// Factor by which requests take longer.
    slowdown: f64,
    paused_until: Option<Instant>,
    rate_limit: Option<f64>,
    /// Whether all answers say that the target leaves.
    leaving: bool,
    cold_until: Option<Instant>,
    crash: Option<Crash>,
    flaw: Option<Flaw>,
    /// Requests that the flaw affected so far.
    flawed: u64,
    first_arrival: Option<Instant>,
    open: u32,
    most_open: u32,
    /// Number of times that the process has started again.
    restarts: u64,
    counters: Counters,
    calls: CallLog,
    /// Number of answers so far; it makes each signature unique.
    answer_count: u64,
}

/// Requests that end the target's process, and what follows.
#[derive(Clone, Debug)]
pub struct Crash {
    /// A request ends the process if its path begins so.
    pub path: String,
    /// How long the process is down; then it starts under another id and registers in `store`.
    pub down: Duration,
    /// Store that holds the target's entry.
    pub store: Arc<platform::State>,
}

/// State of a target, shared by its server and the test that controls it.
#[derive(Debug)]
pub struct State {
    config: TargetConfig,
    addr: SocketAddr,
    /// Whether the process runs.
    running: watch::Sender<bool>,
    slots: Slots,
    inner: Mutex<Inner>,
}

impl State {
    /// Properties that the target was started with.
    #[must_use]
    pub fn config(&self) -> &TargetConfig {
        &self.config
    }

    /// Identity of the current run: the configured one until the process has ended for the first time.
    #[must_use]
    pub fn id(&self) -> String {
        let id = &self.config.id;
        match self.with(|i| i.restarts) {
            0 => id.clone(),
            restarts => format!("{id}~{restarts}"),
        }
    }

    /// Lets some requests end the process, or none.
    pub fn set_crash(&self, crash: Option<Crash>) {
        self.with(|i| i.crash = crash);
    }

    /// Makes the target one of a bad version, or not.
    pub fn set_flaw(&self, flaw: Option<Flaw>) {
        self.with(|i| i.flaw = flaw);
    }

    /// Ends the process: its connections are closed and new ones are refused. Returns whether it ran.
    pub fn stop(&self) -> bool {
        self.running
            .send_if_modified(|running| std::mem::replace(running, false))
    }

    /// Starts the process again, under another id.
    pub fn start(&self) {
        self.with(|i| {
            i.restarts += 1;
            i.leaving = false;
        });
        self.running.send_replace(true);
    }

    /// Sets the fault of all answers from now on; a target starts without one.
    pub fn set_fault(&self, fault: Fault) {
        self.with(|i| i.fault = fault);
    }

    /// Makes every request take `factor` times its normal time; 1 restores it.
    pub fn set_slow(&self, factor: f64) {
        self.with(|i| i.slowdown = factor);
    }

    /// Sets how many requests run at once, or no limit. The load that answers state follows it.
    pub fn set_slots(&self, count: Option<usize>) {
        self.slots.set(count);
    }

    /// Delays the requests that arrive during the next `time` until it has passed.
    pub fn pause(&self, time: Duration) {
        self.with(|i| i.paused_until = Some(Instant::now() + time));
    }

    /// Lets every answer state that the target takes `limit` requests a second, or no limit. The
    /// target itself does not enforce it.
    pub fn set_rate_limit(&self, limit: Option<f64>) {
        self.with(|i| i.rate_limit = limit);
    }

    /// Lets every answer say that the target leaves, or not; a restart ends it.
    pub fn set_leaving(&self, leaving: bool) {
        self.with(|i| i.leaving = leaving);
    }

    /// Makes the target cold for `time`. Only its next entry tells.
    pub fn set_cold(&self, time: Duration) {
        self.with(|i| i.cold_until = Some(Instant::now() + time));
    }

    fn cold_left(&self) -> Duration {
        let until = self.with(|i| i.cold_until);
        until.map_or(Duration::ZERO, |t| {
            t.saturating_duration_since(Instant::now())
        })
    }

    /// Counts of the requests so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.with(|i| i.counters.clone())
    }

    /// The calls since the last time that this was called; from the first time on, calls are recorded.
    #[must_use]
    pub fn take_calls(&self) -> Vec<Call> {
        self.with(|i| i.calls.take())
    }

    /// Number of times that the request with this id ran.
    #[must_use]
    pub fn runs(&self, id: &str) -> u32 {
        self.with(|i| i.counters.runs.get(id).copied().unwrap_or(0))
    }

    /// Number of requests that arrived, also of those refused by a fault.
    #[must_use]
    pub fn arrivals(&self) -> u64 {
        self.with(|i| i.counters.arrivals)
    }

    /// Address at which the target serves HTTP.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The target's entry for the store, with `state` `ready` or `draining`.
    ///
    /// `sequence` orders the entries of one target.
    #[must_use]
    pub fn entry(&self, state: &str, sequence: u64) -> Value {
        json!({
            "service": self.config.service,
            "address": self.addr,
            "zone": self.config.centre,
            "version": self.config.version,
            "maxConcurrency": 3,
            "state": state,
            "warmupLeftMs": u64::try_from(self.cold_left().as_millis()).unwrap_or(u64::MAX),
            "seq": sequence,
            "born": 1 + self.with(|i| i.restarts),
        })
    }

    /// Body of the target's answers: its records, which are the same in all answers and not sorted.
    ///
    /// A record is a score of three digits and the target's id, padded with `_` or cut to 16 bytes.
    #[must_use]
    pub fn records(&self) -> Vec<u8> {
        let record = |i: usize| {
            let text = format!("{:03}{}", (i * 7919) % 1000, self.config.id);
            format!("{text:_<RECORD_BYTES$}").into_bytes()[..RECORD_BYTES].to_vec()
        };
        (0..RECORDS).flat_map(record).collect()
    }

    /// Ends the process because of a request, and starts it again after a time.
    fn crash(self: &Arc<Self>, crash: Crash) {
        if !self.stop() {
            return;
        }
        self.with(|i| i.counters.crashes += 1);
        let state = self.clone();
        actix_rt::spawn(async move {
            sleep(crash.down).await;
            crash.store.remove("servers", &state.id());
            state.start();
            register_target(&crash.store, &state, "ready", 1);
        });
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Starts a target on a free loopback port. It runs on the current thread until the runtime ends.
///
/// The function must be called within an `actix_rt` runtime.
///
/// # Errors
///
/// The listener cannot be bound.
// A future, so that it is polled within the runtime that the listener needs.
#[allow(clippy::unused_async)]
pub async fn spawn(config: TargetConfig) -> io::Result<Arc<State>> {
    let port = ReservedPort::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let listener = port.listen()?;
    let (running, mut changes) = watch::channel(true);
    let state = Arc::new(State {
        config,
        addr: port.addr(),
        running,
        slots: Slots::default(),
        inner: Mutex::new(Inner {
            slowdown: 1.0,
            ..Inner::default()
        }),
    });
    let shared = state.clone();
    actix_rt::spawn(async move {
        let mut listener = Some(listener);
        loop {
            let accepted = async {
                match &listener {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                Ok((stream, _)) = accepted => {
                    actix_rt::spawn(serve_while_running(shared.clone(), stream));
                }
                Ok(()) = changes.changed() => {
                    listener = None;
                    if *changes.borrow_and_update() {
                        listener = port.listen().inspect_err(|e| eprintln!("{port:?}: {e}")).ok();
                    }
                }
                else => return,
            }
        }
    });
    Ok(state)
}

/// Serves a connection until it or the process ends.
async fn serve_while_running(state: Arc<State>, stream: TcpStream) {
    let mut running = state.running.subscribe();
    if !*running.borrow_and_update() {
        return;
    }
    let ended = async {
        // An error means that the state is gone, and with it the process.
        let _ = running.changed().await;
        sleep(CLOSE_DELAY).await;
    };
    tokio::select! {
        // An error ends only this connection, as for a real server.
        _ = serve(&state, stream) => {}
        () = ended => {}
    }
}

async fn serve(state: &Arc<State>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut codec, mut buffer) = (Codec::default(), BytesMut::new());
    // The last answer on this connection, if it is to be sent again.
    let mut late_copy = Vec::new();
    loop {
        let Some(request) = read_request(&mut stream, &mut codec, &mut buffer).await? else {
            return Ok(());
        };
        let text = |name: &str| -> String {
            let value = request
                .head()
                .headers
                .get(name)
                .and_then(|v| v.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let (id, target) = (text("x-request-id"), text("x-target-instance"));
        let deadline: u64 = text("x-deadline-ms").parse().unwrap_or(0);
        if !target.is_empty() && target != state.id() {
            stream
                .write_all(&head(state, 421, &id, ("x-instance-id", "other"), Some(0)))
                .await?;
            continue;
        }
        stream.write_all(&std::mem::take(&mut late_copy)).await?;
        let lines = request.head().headers.iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            format!("{name}: {value}")
        });
        let lines: Vec<String> = lines.collect();
        state.with(|i| i.counters.last_headers.clone_from(&lines));
        let (fault, run_time) = state.with(|i| record_arrival(i, &state.config, deadline));
        let run_time = run_time + paths::extra_time(request.path());
        let mut call = Call::new(id.clone(), lines, fault != Fault::Refused);
        if fault == Fault::Refused {
            state.with(|i| i.calls.add(call));
            stream
                .write_all(&head(state, 503, &id, ("x-not-executed", "1"), Some(0)))
                .await?;
            continue;
        }
        state.with(|i| *i.counters.runs.entry(id.clone()).or_default() += 1);
        let plain = (fault, run_time);
        let (fault, run_time) = state.with(|i| i.apply_flaw(request.path(), fault, run_time));
        call.flawed_at = ((fault, run_time) != plain).then(|| call.at + run_time);
        state.with(|i| i.calls.add(call));
        let _open = OpenRequest::new(state);
        // A caller that closes its connection stops the request.
        let disconnected = tokio::select! {
            () = state.slots.run(run_time) => false,
            read = stream.read_buf(&mut buffer) => matches!(read, Ok(0) | Err(_)),
        };
        if disconnected {
            state.with(|i| i.counters.abandoned += 1);
            return Ok(());
        }
        let path = request.path();
        let crash = state.with(|i| i.crash.clone().filter(|c| path.starts_with(&c.path)));
        if let Some(crash) = crash {
            state.crash(crash);
            return std::future::pending().await;
        }
        let asked = (id.as_str(), paths::copies(path));
        if !answer(state, &mut stream, asked, fault, &mut late_copy).await? {
            return Ok(());
        }
    }
}

impl Inner {
    /// Gives each second request that the target's flaw affects its bad answer.
    fn apply_flaw(&mut self, path: &str, fault: Fault, run_time: Duration) -> (Fault, Duration) {
        let first = *self.first_arrival.get_or_insert_with(Instant::now);
        let affected = match &self.flaw {
            None => false,
            Some(Flaw::Failures | Flaw::Slowness) => true,
            Some(Flaw::Later(time)) => first.elapsed() >= *time,
            Some(Flaw::UnderLoad(open)) => self.open + 1 >= *open,
            Some(Flaw::Route(prefix)) => path.starts_with(prefix),
        };
        // Of all arrivals, each second one might always be of another route.
        self.flawed += u64::from(affected);
        if !affected || self.flawed.is_multiple_of(2) {
            return (fault, run_time);
        }
        if self.flaw == Some(Flaw::Slowness) {
            return (fault, run_time * SLOW_ANSWER_FACTOR);
        }
        (Fault::Failed, run_time)
    }
}

/// Counts a request; returns the fault for its answer and the time that it takes to run.
fn record_arrival(inner: &mut Inner, config: &TargetConfig, deadline: u64) -> (Fault, Duration) {
    let now = Instant::now();
    inner.counters.arrivals += 1;
    inner.counters.last_arrival = Some(now);
    if inner.rate_limit.is_some() {
        inner.counters.limited_arrivals.push(now);
    }
    let (low, high) = inner
        .counters
        .deadline_range
        .unwrap_or((deadline, deadline));
    inner.counters.deadline_range = Some((low.min(deadline), high.max(deadline)));
    let pause = inner
        .paused_until
        .map_or(Duration::ZERO, |t| t.saturating_duration_since(now));
    (
        inner.fault,
        config.service_time.mul_f64(inner.slowdown) + pause,
    )
}

/// Reads a request and discards its body; returns `None` if the caller closed the connection.
async fn read_request(
    stream: &mut TcpStream,
    codec: &mut Codec,
    buffer: &mut BytesMut,
) -> io::Result<Option<Request>> {
    let mut request = None;
    loop {
        match codec.decode(buffer).map_err(io::Error::other)? {
            Some(Message::Item(head)) if codec.message_type() == MessageType::None => {
                return Ok(Some(head));
            }
            Some(Message::Item(head)) => request = Some(head),
            Some(Message::Chunk(Some(_))) => {}
            Some(Message::Chunk(None)) => return Ok(request),
            None => {
                if stream.read_buf(buffer).await? == 0 {
                    return Ok(None);
                }
            }
        }
    }
}
