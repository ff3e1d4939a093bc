//! Stand-in for a target: a server that runs calls on the shards of one service.
//!
//! Protocol: `POST /call` with `x-call-id`, `x-deadline` (absolute, milliseconds since 1970),
//! `x-snapshot` (0: any), `x-idempotent` and `x-request-id`. Answers carry `x-outcome` (`ran`,
//! `not-run`, `cancelled`), `x-snapshot`, `x-versions` and `x-state` (`warm`, `cold`,
//! `leaving`). `POST /cancel/ID` stops a call. `GET /health` says whatever it was told to say.

use {
    actix_http::{Request, Response, body::BoxBody},
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

const MAX_BODY: usize = 1 << 20;
/// A cold target is slower by this factor.
const COLD_FACTOR: f64 = 3.0;
/// A target that fell over stays cold for this time.
const COLD_TIME: Duration = Duration::from_secs(3);

/// What a target costs.
#[derive(Clone, Debug)]
pub struct TargetConfig {
    /// Name of its service, `POOL/NAME`.
    pub service: String,
    /// Data centre it stands in.
    pub centre: String,
    /// Calls at once while warm.
    pub slots: u32,
    /// Calls at once while cold.
    pub cold_calls: u32,
    /// Connections it accepts.
    pub max_connections: usize,
    /// Set-up cost of a connection.
    pub connect_time: Duration,
    /// Median service time.
    pub service_time: Duration,
    /// Extra time of a call from another data centre, both ways together.
    pub remote_delay: Duration,
    /// Seed of its service times.
    pub seed: u64,
}

/// What went through a target, and what must never happen.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Calls that ran to their end.
    pub ran: u64,
    /// Calls refused.
    pub shed: u64,
    /// Calls that arrived while all slots were in use.
    pub oversubscribed: u64,
    /// Calls that arrived while cold beyond the cold allowance.
    pub cold_overloads: u64,
    /// Calls stopped by cancellation.
    pub cancelled: u64,
    /// Runs of each non-idempotent request.
    pub once_runs: BTreeMap<String, u32>,
    /// When the last call arrived.
    pub last_call: Option<Instant>,
}

#[derive(Debug)]
struct Inner {
    running: u32,
    slowdown: f64,
    cold_until: Option<Instant>,
    leaving: bool,
    lose_answers: bool,
    versions: Vec<u64>,
    counters: Counters,
    cancels: HashMap<String, oneshot::Sender<()>>,
    rng: ChaCha8Rng,
}

/// State shared by the stand-in and the test that steers it.
#[derive(Debug)]
pub struct State {
    config: TargetConfig,
    inner: Mutex<Inner>,
}

impl State {
    /// What the target costs.
    #[must_use]
    pub fn config(&self) -> &TargetConfig {
        &self.config
    }

    /// Makes every call slower by `factor`.
    pub fn set_slow(&self, factor: f64) {
        self.with(|i| i.slowdown = factor);
    }

    /// Falls back into cold start for `time`, without warning.
    pub fn set_cold(&self, time: Duration) {
        self.with(|i| i.cold_until = Some(Instant::now() + time));
    }

    /// Starts or ends leaving: a leaving target refuses new calls.
    pub fn set_leaving(&self, leaving: bool) {
        self.with(|i| i.leaving = leaving);
    }

    /// Breaks every call's connection after running it, so that its outcome is lost.
    pub fn set_lose_answers(&self, lose_answers: bool) {
        self.with(|i| i.lose_answers = lose_answers);
    }

    /// Sets the index versions that it serves, oldest first.
    pub fn set_versions(&self, versions: &[u64]) {
        self.with(|i| i.versions = versions.to_vec());
    }

    /// What went through so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.with(|i| i.counters.clone())
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A running stand-in.
pub struct Target {
    server: Server,
    state: Arc<State>,
}

impl Target {
    /// Starts a stand-in on a free loopback port, on this thread.
    ///
    /// # Errors
    ///
    /// No port could be bound.
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

    /// Its address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Its state, to steer it from any thread.
    #[must_use]
    pub fn state(&self) -> Arc<State> {
        self.state.clone()
    }

    /// Counts of its connections.
    #[must_use]
    pub fn connections(&self) -> Arc<ConnectionCounts> {
        self.server.counts()
    }
}

/// Frees a slot when a call ends in any way.
struct Running(Arc<State>);

impl Drop for Running {
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
        // Health pages lag and mislead: this one always says that all is well.
        "/health" => answer(&state, 200, "not-run", 0, "warm"),
        "/call" => call(state, &mut request).await,
        _ => response(404, &[], "no such path"),
    }
}

/// What a call was admitted with.
struct Admitted {
    took: Duration,
    snapshot: u64,
    cancelled: oneshot::Receiver<()>,
}

async fn call(state: Arc<State>, request: &mut Request) -> Response<BoxBody> {
    let far = header(request, "x-centre").is_some_and(|c| c != state.config.centre);
    if far {
        sleep(state.config.remote_delay).await;
    }
    let id = header(request, "x-call-id").unwrap_or("").to_owned();
    let Ok(body) = read_body(request, MAX_BODY).await else {
        return response(400, &[], "broken body");
    };
    let admitted = match admit(&state, request, &id) {
        Ok(admitted) => admitted,
        Err(refused) => return refused,
    };
    let running = Running(state.clone());
    let finished = tokio::select! {
        () = sleep(admitted.took) => true,
        // The sender is dropped by a cancellation.
        _ = admitted.cancelled => false,
    };
    drop(running);
    state.with(|i| i.cancels.remove(&id));
    if !finished {
        state.with(|i| i.counters.cancelled += 1);
        return answer(&state, 499, "cancelled", admitted.snapshot, "");
    }
    finish(&state, request, &body, admitted.snapshot)
}

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
        let (send, cancelled) = oneshot::channel();
        i.cancels.insert(id.into(), send);
        let factor = i.slowdown * if cold { COLD_FACTOR } else { 1.0 };
        let took = service_time(&mut i.rng, state.config.service_time).mul_f64(factor);
        Ok(Admitted {
            took,
            snapshot,
            cancelled,
        })
    });
    admitted.map_err(|(status, snapshot)| answer(state, status, "not-run", snapshot, ""))
}

fn finish(state: &Arc<State>, request: &Request, body: &[u8], snapshot: u64) -> Response<BoxBody> {
    let once = header(request, "x-idempotent") == Some("no");
    let lose_answers = state.with(|i| {
        i.counters.ran += 1;
        if once && let Some(id) = header(request, "x-request-id") {
            *i.counters.once_runs.entry(id.into()).or_default() += 1;
        }
        i.lose_answers
    });
    if lose_answers {
        return response(502, &[], "lost");
    }
    let ledger = serde_json::json!({
        "service": state.config.service,
        "snapshot": snapshot,
        "echo": String::from_utf8_lossy(body),
    });
    with_body(state, 200, "ran", snapshot, "", ledger.to_string())
}

fn answer(
    state: &State,
    status: u16,
    outcome: &str,
    snapshot: u64,
    word: &str,
) -> Response<BoxBody> {
    with_body(state, status, outcome, snapshot, word, String::new())
}

/// `word` replaces the state that the target would name.
fn with_body(
    state: &State,
    status: u16,
    outcome: &str,
    snapshot: u64,
    word: &str,
    body: String,
) -> Response<BoxBody> {
    let (versions, real) = state.with(|i| {
        let versions: Vec<String> = i.versions.iter().map(ToString::to_string).collect();
        let cold = i.cold_until.is_some_and(|t| Instant::now() < t);
        let real = if i.leaving {
            "leaving"
        } else if cold {
            "cold"
        } else {
            "warm"
        };
        (versions.join(","), real)
    });
    let word = if word.is_empty() { real } else { word };
    let headers = [
        ("x-outcome", outcome.to_owned()),
        ("x-snapshot", snapshot.to_string()),
        ("x-versions", versions),
        ("x-state", word.to_owned()),
    ];
    response(status, &headers, body)
}

/// Log-normal around the median, and one call in a hundred ten times slower.
fn service_time(rng: &mut ChaCha8Rng, median: Duration) -> Duration {
    let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    let straggler = if rng.random_range(0..100) == 0 {
        10.0
    } else {
        1.0
    };
    median.mul_f64((normal * 0.4).exp() * straggler)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
