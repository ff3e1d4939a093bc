//! Callers: open-loop load on routes, and a check of every answer.

use {
    awc::Client,
    eyre::{Context, ContextCompat},
    hdrhistogram::Histogram,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cell::RefCell,
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Time that a caller waits for any answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// A stream of requests on one route.
#[derive(Clone, Debug)]
pub struct RouteLoad {
    /// Route.
    pub route: String,
    /// Requests a second.
    pub rate: f64,
    /// Whether the route is idempotent.
    pub idempotent: bool,
}

/// What callers saw on one route.
#[derive(Clone, Debug)]
pub struct CallerStats {
    /// Latency of answers with sufficient coverage, in microseconds.
    pub latency: Histogram<u64>,
    /// Answers with full coverage.
    pub full: u64,
    /// Answers with sufficient coverage.
    pub partial: u64,
    /// Answers with too little coverage.
    pub insufficient: u64,
    /// Refusals that say "not run".
    pub not_run: u64,
    /// Answers that say "unknown".
    pub unknown: u64,
    /// No answer at all.
    pub failed: u64,
    /// Services asked and answered.
    pub services: (u64, u64),
    /// First calls, hedges, retries and restarts.
    pub calls: [u64; 4],
    /// Answers that mixed snapshots, belonged to another request or claimed false coverage.
    pub wrong: u64,
    /// Reasons of missing services and of requests told "not run".
    pub reasons: BTreeMap<String, u64>,
    /// Outcomes that answers name.
    pub outcomes: BTreeMap<String, u64>,
    /// Ids of requests told "not run".
    pub not_run_ids: BTreeSet<String>,
}

impl Default for CallerStats {
    fn default() -> Self {
        Self {
            latency: Histogram::new(3).expect("three digits are allowed"),
            full: 0,
            partial: 0,
            insufficient: 0,
            not_run: 0,
            unknown: 0,
            failed: 0,
            services: (0, 0),
            calls: [0; 4],
            wrong: 0,
            reasons: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            not_run_ids: BTreeSet::new(),
        }
    }
}

impl CallerStats {
    /// Requests in all.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.full + self.partial + self.insufficient + self.not_run + self.unknown + self.failed
    }

    /// Calls beyond the first attempts, as a ratio of these.
    #[must_use]
    pub fn extra_ratio(&self) -> f64 {
        let [first, hedges, retries, _] = self.calls;
        ratio(hedges + retries, first)
    }

    /// Share of services that answered.
    #[must_use]
    pub fn coverage(&self) -> f64 {
        ratio(self.services.1, self.services.0)
    }
}

/// `part` of `whole` as a ratio; 0 of 0 is 0.
#[must_use]
#[allow(clippy::cast_precision_loss)] // counts here are far below 2^52
pub fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

/// Where callers find daemons: they ask, keep the answer a while and ask again.
#[derive(Clone)]
pub struct DaemonResolver {
    client: Client,
    known: Rc<RefCell<(Vec<SocketAddr>, Instant)>>,
    centre: String,
}

impl DaemonResolver {
    /// Starts from some addresses; `centre` is the data centre that the callers are near.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>, centre: &str) -> Self {
        let connector = awc::Connector::new().limit(0);
        let client = Client::builder()
            .connector(connector)
            .timeout(CALLER_TIMEOUT)
            .finish();
        let known = Rc::new(RefCell::new((seeds, Instant::now())));
        Self {
            client,
            known,
            centre: centre.into(),
        }
    }

    /// Callers that use one address and never ask.
    #[must_use]
    pub fn fixed(addr: SocketAddr) -> Self {
        let finder = Self::new(vec![addr], "");
        finder.known.borrow_mut().1 = Instant::now() + Duration::from_hours(1);
        finder
    }

    /// An address to use, asking anew when the last answer has expired.
    pub async fn address(&self, turn: usize) -> Option<SocketAddr> {
        let (list, until) = self.known.borrow().clone();
        if Instant::now() >= until {
            for asked in &list {
                if let Ok((fresh, lifetime)) = self.ask(*asked).await
                    && !fresh.is_empty()
                {
                    *self.known.borrow_mut() = (fresh, Instant::now() + lifetime);
                    break;
                }
            }
        }
        let (list, _) = self.known.borrow().clone();
        (!list.is_empty()).then(|| list[turn % list.len()])
    }

    async fn ask(&self, addr: SocketAddr) -> eyre::Result<(Vec<SocketAddr>, Duration)> {
        let url = format!("http://{addr}/addresses?centre={}", self.centre);
        let sent = self
            .client
            .get(url)
            .timeout(Duration::from_millis(500))
            .send()
            .await;
        let mut response = sent.map_err(|e| eyre::eyre!("{e}"))?;
        let body = response.body().await.map_err(|e| eyre::eyre!("{e}"))?;
        let value: serde_json::Value = serde_json::from_slice(&body)?;
        let list = serde_json::from_value(value["addresses"].clone()).wrap_err("addresses")?;
        let lifetime = value["lifetime_ms"].as_u64().wrap_err("lifetime")?;
        Ok((list, Duration::from_millis(lifetime)))
    }
}

/// Runs a stream for `time` and returns what its callers saw.
pub async fn run(
    finder: DaemonResolver,
    stream: RouteLoad,
    time: Duration,
    seed: u64,
) -> CallerStats {
    let shared = Rc::new(RefCell::new(CallerStats::default()));
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut next = Duration::ZERO;
    let mut number = 0;
    let mut tasks = Vec::new();
    while next < time {
        actix_rt::time::sleep(next.saturating_sub(start.elapsed())).await;
        let (finder, own, shared) = (finder.clone(), stream.clone(), shared.clone());
        let id = format!("{}-{seed}-{number}", stream.route);
        tasks.push(actix_rt::spawn(async move {
            request(&finder, &own, &id, number, &shared).await;
        }));
        number += 1;
        // Poisson arrivals.
        let gap = -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / stream.rate;
        next += Duration::from_secs_f64(gap);
    }
    for task in tasks {
        let _ = task.await;
    }
    shared.take()
}

async fn request(
    finder: &DaemonResolver,
    stream: &RouteLoad,
    id: &str,
    number: usize,
    seen: &Rc<RefCell<CallerStats>>,
) {
    let Some(addr) = finder.address(number).await else {
        seen.borrow_mut().failed += 1;
        return;
    };
    let start = Instant::now();
    let answer = send(finder, addr, stream, id).await;
    let took = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    let mut seen = seen.borrow_mut();
    match answer {
        Ok((status, body)) if stream.idempotent => seen.count(status, &body, id, took),
        Ok((status, body)) => seen.count_once(status, &body, id, took),
        Err(_) => seen.failed += 1,
    }
}

async fn send(
    finder: &DaemonResolver,
    addr: SocketAddr,
    stream: &RouteLoad,
    id: &str,
) -> eyre::Result<(u16, serde_json::Value)> {
    let mut request = finder
        .client
        .post(format!("http://{addr}/query/{}", stream.route))
        .insert_header(("x-request-id", id));
    if !stream.idempotent {
        request = request.insert_header(("x-issued", unix_ms().to_string()));
    }
    let mut response = request
        .send_body(id.to_owned())
        .await
        .map_err(|e| eyre::eyre!("{e}"))?;
    let body = response
        .body()
        .limit(8 << 20)
        .await
        .map_err(|e| eyre::eyre!("{e}"))?;
    Ok((response.status().as_u16(), serde_json::from_slice(&body)?))
}

impl CallerStats {
    fn count(&mut self, status: u16, body: &serde_json::Value, id: &str, took: u64) {
        let outcome = body["outcome"].as_str().unwrap_or("").to_owned();
        *self.outcomes.entry(outcome).or_default() += 1;
        if body["outcome"] == "not-run" {
            self.not_run += 1;
            return;
        }
        match status {
            200 => self.full += 1,
            206 => self.partial += 1,
            _ => self.insufficient += 1,
        }
        if status < 300 {
            let _ = self.latency.record(took);
        }
        let number = |v: &serde_json::Value| v.as_u64().unwrap_or(0);
        self.services.0 += number(&body["coverage"]["of"]);
        self.services.1 += number(&body["coverage"]["answered"]);
        for (i, kind) in ["first", "hedges", "retries", "restarts"]
            .into_iter()
            .enumerate()
        {
            self.calls[i] += number(&body["calls"][kind]);
        }
        for reason in body["coverage"]["missing"]
            .as_object()
            .into_iter()
            .flat_map(|m| m.values())
        {
            *self
                .reasons
                .entry(reason.as_str().unwrap_or("").into())
                .or_default() += 1;
        }
        self.wrong += u64::from(!is_true(body, id));
    }

    fn count_once(&mut self, status: u16, body: &serde_json::Value, id: &str, took: u64) {
        match (status, body["outcome"].as_str()) {
            (200, _) => {
                self.full += 1;
                let _ = self.latency.record(took);
                self.wrong += u64::from(body["echo"] != id);
            }
            (_, Some("not-run")) => {
                self.not_run += 1;
                self.not_run_ids.insert(id.into());
                let reason = body["reason"].as_str().unwrap_or("").to_owned();
                *self.reasons.entry(reason).or_default() += 1;
            }
            _ => self.unknown += 1,
        }
    }
}

/// One snapshot, the caller's own request, and as many results as coverage claims.
fn is_true(body: &serde_json::Value, id: &str) -> bool {
    let Some(results) = body["results"].as_object() else {
        return false;
    };
    let claimed = body["coverage"]["answered"].as_u64() == Some(results.len() as u64);
    let missing = body["coverage"]["missing"]
        .as_object()
        .map_or(0, serde_json::Map::len);
    let whole = body["coverage"]["of"].as_u64() == Some((results.len() + missing) as u64);
    let own = results
        .values()
        .all(|r| r["echo"] == id && r["snapshot"] == body["snapshot"]);
    claimed && whole && own
}

/// Milliseconds since 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
