//! Stand-in for a target that is listed in the pools table. It has slots and a cold start.
//!
//! `POST /call` runs a call. Its request headers are `x-call-id`, `x-deadline` (milliseconds since
//! the Unix epoch), `x-snapshot` (the index version to use; 0 for the newest), `x-centre` (the data
//! centre of the caller) and, for requests that are not idempotent, `x-idempotent: no` with
//! `x-request-id`. `POST /cancel/ID` stops a call, and `GET /health` always reports a warm target.
//!
//! Answers carry the call's `x-call-id`, `x-outcome` (`ran`, `not-run` or `cancelled`), `x-snapshot`
//! (the version used), `x-versions` (the versions served, oldest first) and `x-state` (`warm`, `cold`
//! or `leaving`). The status is 503 for a refused call, 410 if the version is not served and 499 for a
//! cancelled call.
//!
//! A call takes a random time, drawn from a seeded generator, and uses no CPU time meanwhile.

use {
    actix_http::{Request, Response, body::BoxBody, header::HeaderName},
    actix_rt::time::sleep,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rattanturn_http::{ConnectionCounts, Limits, Server, header, read_body, response, spawn},
    std::{
        collections::{BTreeMap, HashMap},
        io,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::oneshot,
};

const CALL_ID: HeaderName = HeaderName::from_static("x-call-id");
/// Longest body of a call.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Factor by which calls take longer at a cold target.
const COLD_SLOWDOWN: f64 = 3.0;
/// Time for which a cold target stays cold after a call beyond its limit.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Capacity and timing of a target, which do not change while it runs.
#[derive(Clone, Debug)]
pub struct TargetConfig {
    /// Service that the target belongs to, as `POOL/NAME`.
    pub service: String,
    /// Data centre of the target.
    pub centre: String,
    /// Largest number of concurrent calls while warm.
    pub slots: u32,
    /// Largest number of concurrent calls while cold.
    pub cold_calls: u32,
    /// Largest number of open connections; further ones are closed without an answer.
    pub max_connections: usize,
    /// Delay between accepting a connection and serving it.
    pub connect_time: Duration,
    /// Median time that a call takes while warm.
    pub service_time: Duration,
    /// Extra time of a call from another data centre: the network delay of both directions.
    pub remote_delay: Duration,
    /// Seed of the random service times.
    pub seed: u64,
}

/// Counts of a target's calls since it started.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Number of calls that ran to completion.
    pub ran: u64,
    /// Number of calls refused because the target was leaving, their deadline had passed, or the
    /// limit of concurrent calls was reached.
    pub shed: u64,
    /// Number of calls that arrived while all slots were in use; also counted as shed.
    pub oversubscribed: u64,
    /// Number of calls beyond the limit of a cold target; also counted as shed.
    pub cold_overloads: u64,
    /// Number of calls stopped by a cancellation.
    pub cancelled: u64,
    /// Number of completed runs of each non-idempotent request, by request id.
    pub once_runs: BTreeMap<String, u32>,
    /// Time at which the last call arrived.
    pub last_call: Option<Instant>,
}

#[derive(Debug)]
struct Inner {
    /// Number of slots in use.
    running: u32,
    /// Factor by which calls take longer.
    slowdown: f64,
    cold_until: Option<Instant>,
    leaving: bool,
    lose_answers: bool,
    /// Index versions that the target serves, oldest first.
    versions: Vec<u64>,
    counters: Counters,
    /// Senders by call id; dropping one cancels its call.
    cancels: HashMap<String, oneshot::Sender<()>>,
    rng: ChaCha8Rng,
}

/// State of a target, shared by its server and the test that controls it.
#[derive(Debug)]
pub struct State {
    config: TargetConfig,
    inner: Mutex<Inner>,
}

impl State {
    /// Capacity and timing that the target was started with.
    #[must_use]
    pub fn config(&self) -> &TargetConfig {
        &self.config
    }

    /// Makes every call take `factor` times its normal time; 1 restores it.
    pub fn set_slow(&self, factor: f64) {
        self.with(|i| i.slowdown = factor);
    }

    /// Makes the target cold for `time`, as an unannounced restart does. Daemons learn of it only
    /// from the next answer.
    pub fn set_cold(&self, time: Duration) {
        self.with(|i| i.cold_until = Some(Instant::now() + time));
    }

    /// Sets whether the target is leaving: a leaving target refuses new calls but finishes the
    /// running ones.
    pub fn set_leaving(&self, leaving: bool) {
        self.with(|i| i.leaving = leaving);
    }

    /// Sets whether calls are answered with status 502 and without `x-outcome` after they ran, so
    /// that their outcome is unknown to the caller.
    pub fn set_lose_answers(&self, lose_answers: bool) {
        self.with(|i| i.lose_answers = lose_answers);
    }

    /// Sets the index versions that the target serves, oldest first; at the start it serves
    /// version 1 only.
    pub fn set_versions(&self, versions: &[u64]) {
        self.with(|i| i.versions = versions.to_vec());
    }

    /// Counts of the calls so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.with(|i| i.counters.clone())
    }

    /// Number of calls that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.with(|i| i.running)
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A running target; it stops when this is dropped.
pub struct Target {
    server: Server,
    state: Arc<State>,
}

impl Target {
    /// Starts a warm target on a free loopback port. It runs on the current thread, which needs an
    /// `actix_rt` runtime.
    ///
    /// # Errors
    ///
    /// The listener cannot be bound.
    pub fn spawn(config: TargetConfig) -> io::Result<Self> {
        let limits = Limits {
            max_connections: config.max_connections,
            setup_delay: config.connect_time,
            ..Limits::default()
        };
        let inner = Inner {
            running: 0,
            slowdown: 1.0,
            cold_until: None,
            leaving: false,
            lose_answers: false,
            versions: vec![1],
            counters: Counters::default(),
            cancels: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(config.seed),
        };
        let state = Arc::new(State {
            config,
            inner: Mutex::new(inner),
        });
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let shared = state.clone();
        let server = spawn(listener, limits, move |r| handle(shared.clone(), r))?;
        Ok(Self { server, state })
    }

    /// Address at which the target serves HTTP.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// State of the target, which can be read and changed from any thread.
    #[must_use]
    pub fn state(&self) -> Arc<State> {
        self.state.clone()
    }

    /// Counts of the target's connections.
    #[must_use]
    pub fn connections(&self) -> Arc<ConnectionCounts> {
        self.server.counts()
    }
}

/// Frees the slot of a call when dropped, however the call ends.
struct SlotGuard(Arc<State>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.with(|i| i.running -= 1);
    }
}

async fn handle(state: Arc<State>, mut request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    if let Some(id) = path.strip_prefix("/cancel/") {
        let cancel = state.with(|i| i.cancels.remove(id));
        drop(cancel);
        return response(204, &[], "");
    }
    match path.as_str() {
        // Health endpoints of real targets can be outdated or wrong, so this one always reports a
        // warm target: daemons must not depend on it.
        "/health" => answer(&state, 200, "not-run", 0, "warm"),
        "/call" => {
            let id = request.head().headers.get(CALL_ID).cloned();
            let mut answer = call(state, &mut request).await;
            if let Some(id) = id {
                answer.headers_mut().insert(CALL_ID, id);
            }
            answer
        }
        _ => response(404, &[], "no such path"),
    }
}

/// A call that got a slot.
struct Admitted {
    service_time: Duration,
    /// Index version that the call uses.
    snapshot: u64,
    /// Completes once the call is cancelled.
    cancelled: oneshot::Receiver<()>,
}

async fn call(state: Arc<State>, request: &mut Request) -> Response<BoxBody> {
    let remote = header(request, "x-centre").is_some_and(|c| c != state.config.centre);
    if remote {
        sleep(state.config.remote_delay).await;
    }
    let id = header(request, "x-call-id").unwrap_or("").to_owned();
    let Ok(body) = read_body(request, MAX_BODY_BYTES).await else {
        return response(400, &[], "broken body");
    };
    let admitted = match admit(&state, request, &id) {
        Ok(admitted) => admitted,
        Err(refusal) => return refusal,
    };
    let slot = SlotGuard(state.clone());
    let finished = tokio::select! {
        () = sleep(admitted.service_time) => true,
        // A cancellation drops the sender.
        _ = admitted.cancelled => false,
    };
    drop(slot);
    state.with(|i| i.cancels.remove(&id));
    if !finished {
        state.with(|i| i.counters.cancelled += 1);
        return answer(&state, 499, "cancelled", admitted.snapshot, "");
    }
    finish(&state, request, &body, admitted.snapshot)
}

/// Gives a call a slot, or returns the answer that refuses it.
fn admit(state: &Arc<State>, request: &Request, id: &str) -> Result<Admitted, Response<BoxBody>> {
    let number = |name| {
        header(request, name)
            .and_then(|v| v.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let (deadline, wanted) = (number("x-deadline"), number("x-snapshot"));
    let admitted = state.with(|i| {
        let now = Instant::now();
        i.counters.last_call = Some(now);
        let cold = i.cold_until.is_some_and(|t| now < t);
        if i.leaving || (deadline != 0 && unix_ms() >= deadline) {
            i.counters.shed += 1;
            return Err((503, 0));
        }
        let snapshot = if wanted == 0 {
            i.versions.last().copied().unwrap_or(0)
        } else {
            wanted
        };
        if !i.versions.contains(&snapshot) {
            return Err((410, 0));
        }
        if i.running >= state.config.slots {
            i.counters.oversubscribed += 1;
            i.counters.shed += 1;
            return Err((503, 0));
        }
        if cold && i.running >= state.config.cold_calls {
            i.counters.cold_overloads += 1;
            i.counters.shed += 1;
            i.cold_until = Some(now + COLD_TIME);
            return Err((503, 0));
        }
        i.running += 1;
        let (cancel, cancelled) = oneshot::channel();
        i.cancels.insert(id.into(), cancel);
        let factor = i.slowdown * if cold { COLD_SLOWDOWN } else { 1.0 };
        let service_time = draw_time(&mut i.rng, state.config.service_time).mul_f64(factor);
        Ok(Admitted {
            service_time,
            snapshot,
            cancelled,
        })
    });
    admitted.map_err(|(status, snapshot)| answer(state, status, "not-run", snapshot, ""))
}

/// Counts a call that ran and builds its answer.
fn finish(state: &Arc<State>, request: &Request, body: &[u8], snapshot: u64) -> Response<BoxBody> {
    let once = header(request, "x-idempotent") == Some("no");
    let lose_answer = state.with(|i| {
        i.counters.ran += 1;
        if once && let Some(id) = header(request, "x-request-id") {
            *i.counters.once_runs.entry(id.into()).or_default() += 1;
        }
        i.lose_answers
    });
    if lose_answer {
        return response(502, &[], "lost");
    }
    let result = serde_json::json!({
        "service": state.config.service,
        "snapshot": snapshot,
        "echo": String::from_utf8_lossy(body),
    });
    with_body(state, 200, "ran", snapshot, "", result.to_string())
}

fn answer(
    state: &State,
    status: u16,
    outcome: &str,
    snapshot: u64,
    reported: &str,
) -> Response<BoxBody> {
    with_body(state, status, outcome, snapshot, reported, String::new())
}

/// Builds an answer; `reported` replaces the target's state in `x-state` unless it is empty.
fn with_body(
    state: &State,
    status: u16,
    outcome: &str,
    snapshot: u64,
    reported: &str,
    body: String,
) -> Response<BoxBody> {
    let (versions, actual) = state.with(|i| {
        let versions: Vec<String> = i.versions.iter().map(ToString::to_string).collect();
        let cold = i.cold_until.is_some_and(|t| Instant::now() < t);
        let actual = if i.leaving {
            "leaving"
        } else if cold {
            "cold"
        } else {
            "warm"
        };
        (versions.join(","), actual)
    });
    let reported = if reported.is_empty() {
        actual
    } else {
        reported
    };
    let headers = [
        ("x-outcome", outcome.to_owned()),
        ("x-snapshot", snapshot.to_string()),
        ("x-versions", versions),
        ("x-state", reported.to_owned()),
    ];
    response(status, &headers, body)
}

/// Draws a service time from a log-normal distribution around the median; one call in 100 takes ten
/// times as long.
fn draw_time(rng: &mut ChaCha8Rng, median: Duration) -> Duration {
    // The sum of 12 uniform numbers less 6 approximates a standard normal number.
    let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    let factor = if rng.random_range(0..100) == 0 {
        10.0
    } else {
        1.0
    };
    median.mul_f64((normal * 0.4).exp() * factor)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
