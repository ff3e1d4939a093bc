//! Open-loop load on routes, as from many independent callers, and a check of every answer.
//!
//! Requests arrive as a Poisson process and do not wait for earlier answers, so a slow cluster
//! still receives the full rate, and its queueing shows in the latencies.

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

/// Longest time that a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// The load on one route.
#[derive(Clone, Debug)]
pub struct RouteLoad {
    /// Name of the route.
    pub route: String,
    /// Mean number of requests per second; must be positive.
    pub rate: f64,
    /// Whether the route is idempotent, which decides the form of its answers.
    pub idempotent: bool,
}

/// Counts of what callers of one route received.
#[derive(Clone, Debug)]
pub struct CallerStats {
    /// Latency of answers with full or sufficient coverage, in microseconds.
    pub latency: Histogram<u64>,
    /// Answers with full coverage.
    pub full: u64,
    /// Answers with sufficient, but not full coverage.
    pub partial: u64,
    /// Answers whose coverage is below the route's minimum.
    pub insufficient: u64,
    /// Refusals with the outcome "not run", which promise that no target ran the request.
    pub not_run: u64,
    /// Other answers to non-idempotent requests: they do not tell whether the request ran.
    pub unknown: u64,
    /// Requests without a complete JSON answer, or for which no daemon was known.
    pub failed: u64,
    /// Services that answers had to cover, and those of them that answered.
    pub services: (u64, u64),
    /// Calls to targets: first attempts, hedges, retries and restarts.
    pub calls: [u64; 4],
    /// Answers that mix snapshots, echo another request or report a false coverage.
    pub wrong: u64,
    /// Number of missing services, of requests that were refused and of non-idempotent ones without a
    /// success, by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Number of answers to idempotent requests by their `outcome`.
    pub outcomes: BTreeMap<String, u64>,
    /// Ids of the non-idempotent requests that were answered with "not run".
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
    /// Number of all requests, with or without an answer.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.full + self.partial + self.insufficient + self.not_run + self.unknown + self.failed
    }

    /// Hedges and retries as a ratio of the first attempts.
    #[must_use]
    pub fn extra_ratio(&self) -> f64 {
        let [first, hedges, retries, _] = self.calls;
        ratio(hedges + retries, first)
    }

    /// Ratio of services that answered, over all answers.
    #[must_use]
    pub fn coverage(&self) -> f64 {
        ratio(self.services.1, self.services.0)
    }
}

/// Divides two counts; the result is 0 if `whole` is 0.
#[must_use]
#[allow(clippy::cast_precision_loss)] // counts here are far below 2^52
pub fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

/// Finds the addresses of daemons as callers do: asks a known daemon for the addresses to use and
/// caches the answer for the lifetime that it states.
#[derive(Clone)]
pub struct DaemonResolver {
    client: Client,
    known: Rc<RefCell<(Vec<SocketAddr>, Instant)>>,
    centre: String,
}

impl DaemonResolver {
    /// Starts with the daemons in `seeds`, which the first request asks for the addresses near the
    /// data centre `centre`.
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

    /// Uses one address and asks for no others for an hour, which is longer than any load here.
    #[must_use]
    pub fn fixed(addr: SocketAddr) -> Self {
        let resolver = Self::new(vec![addr], "");
        resolver.known.borrow_mut().1 = Instant::now() + Duration::from_hours(1);
        resolver
    }

    /// Returns an address for the request with this number; requests use the addresses in turn.
    ///
    /// Asks for new addresses if the cached ones have expired, and keeps the old ones if no daemon
    /// answers. Returns `None` if there were no seeds.
    pub async fn address(&self, number: usize) -> Option<SocketAddr> {
        let (list, expiry) = self.known.borrow().clone();
        if Instant::now() >= expiry {
            for daemon in &list {
                if let Ok((fresh, lifetime)) = self.fetch_addresses(*daemon).await
                    && !fresh.is_empty()
                {
                    *self.known.borrow_mut() = (fresh, Instant::now() + lifetime);
                    break;
                }
            }
        }
        let (list, _) = self.known.borrow().clone();
        (!list.is_empty()).then(|| list[number % list.len()])
    }

    async fn fetch_addresses(&self, addr: SocketAddr) -> eyre::Result<(Vec<SocketAddr>, Duration)> {
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
        let list = serde_json::from_value(value["addresses"].clone())
            .wrap_err("the answer of /addresses has no valid `addresses`")?;
        let lifetime = value["lifetime_ms"]
            .as_u64()
            .wrap_err("the answer of /addresses has no `lifetime_ms`")?;
        Ok((list, Duration::from_millis(lifetime)))
    }
}

/// Sends requests for `time`, waits for the last answers and returns the counts.
///
/// The same `seed` gives the same arrival times and request ids.
pub async fn run(
    resolver: DaemonResolver,
    load: RouteLoad,
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
        let (resolver, copy, shared) = (resolver.clone(), load.clone(), shared.clone());
        let id = format!("{}-{seed}-{number}", load.route);
        tasks.push(actix_rt::spawn(async move {
            request(&resolver, &copy, &id, number, &shared).await;
        }));
        number += 1;
        // Exponentially distributed gaps make the arrivals a Poisson process.
        let gap = -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / load.rate;
        next += Duration::from_secs_f64(gap);
    }
    for task in tasks {
        let _ = task.await;
    }
    shared.take()
}

async fn request(
    resolver: &DaemonResolver,
    load: &RouteLoad,
    id: &str,
    number: usize,
    counts: &Rc<RefCell<CallerStats>>,
) {
    let Some(addr) = resolver.address(number).await else {
        counts.borrow_mut().failed += 1;
        return;
    };
    let start = Instant::now();
    let answer = send(resolver, addr, load, id).await;
    let took = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    let mut counts = counts.borrow_mut();
    match answer {
        Ok((status, body)) if load.idempotent => counts.record_gathered(status, &body, id, took),
        Ok((status, body)) => counts.record_once(status, &body, id, took),
        Err(_) => counts.failed += 1,
    }
}

async fn send(
    resolver: &DaemonResolver,
    addr: SocketAddr,
    load: &RouteLoad,
    id: &str,
) -> eyre::Result<(u16, serde_json::Value)> {
    let mut request = resolver
        .client
        .post(format!("http://{addr}/query/{}", load.route))
        .insert_header(("x-request-id", id));
    if !load.idempotent {
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
    fn record_gathered(&mut self, status: u16, body: &serde_json::Value, id: &str, took: u64) {
        let outcome = body["outcome"].as_str().unwrap_or("").to_owned();
        *self.outcomes.entry(outcome).or_default() += 1;
        if body["outcome"] == "not-run" {
            self.not_run += 1;
            let reason = body["reason"].as_str().unwrap_or("").to_owned();
            *self.reasons.entry(reason).or_default() += 1;
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
        self.wrong += u64::from(!is_consistent(body, id));
    }

    fn record_once(&mut self, status: u16, body: &serde_json::Value, id: &str, took: u64) {
        match (status, body["outcome"].as_str()) {
            (200, _) => {
                self.full += 1;
                let _ = self.latency.record(took);
                self.wrong += u64::from(body["echo"] != id);
            }
            (_, Some("not-run")) => {
                self.not_run += 1;
                self.not_run_ids.insert(id.into());
            }
            _ => self.unknown += 1,
        }
        if status != 200 {
            let reason = body["reason"].as_str().unwrap_or("").to_owned();
            *self.reasons.entry(reason).or_default() += 1;
        }
    }
}

/// Whether all results are of one snapshot and of this request, and the coverage counts them
/// correctly.
fn is_consistent(body: &serde_json::Value, id: &str) -> bool {
    let Some(results) = body["results"].as_object() else {
        return false;
    };
    let answered = body["coverage"]["answered"].as_u64() == Some(results.len() as u64);
    let missing = body["coverage"]["missing"]
        .as_object()
        .map_or(0, serde_json::Map::len);
    let total = body["coverage"]["of"].as_u64() == Some((results.len() + missing) as u64);
    let same = results
        .values()
        .all(|r| r["echo"] == id && r["snapshot"] == body["snapshot"]);
    answered && total && same
}

/// Current time in milliseconds since the Unix epoch, as the header `x-issued` expects it.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
