//! HTTP frontend for callers, on each traffic thread.
//!
//! `POST /query/ROUTE` runs the query in the body. Routes that are not idempotent require the
//! headers `x-request-id` and `x-issued` (milliseconds since 1970); a retry must repeat both.
//! `x-deadline-ms` and `x-priority` can shorten the route's deadline and lower its priority. Every
//! answer states its outcome: `ran`, `not-run`, or `unknown` if the request may or may not have
//! run.
//!
//! `GET /addresses?centre=NAME` returns the daemons' addresses that callers in data centre NAME
//! should use, and for how long they may cache them.

use {
    crate::{
        clock,
        routing::SharedRouting,
        traffic::{
            Gauges,
            calls::Calls,
            once::{DedupOwner, OnceRequest, ask_owner},
            query::{Answer, Queries, Query},
        },
    },
    actix_http::{Method, Request, Response, body::BoxBody},
    rattanturn_core::{
        Priority, Time, addresses,
        admission::{Admission, Dispatch, RequestId, Verdict},
        dedup::Outcome,
        gather::{Counts, Part},
    },
    rattanturn_http::{BodyError, header, query_parameter, read_body, response},
    rattanturn_tables::Route,
    serde::Serialize,
    serde_json::{json, value::RawValue},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        rc::Rc,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// Longest accepted `x-request-id`; the deduplication tables keep ids in memory.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Admission control of one pool, and the requests that wait to be admitted.
#[derive(Default)]
struct PoolAdmission {
    admission: Admission,
    waiting: HashMap<RequestId, oneshot::Sender<Result<(), Duration>>>,
}

/// Serves callers on one traffic thread.
pub(crate) struct CallerFrontend {
    routing: SharedRouting,
    max_body: usize,
    queries: Queries,
    calls: Calls,
    dedup_owner: DedupOwner,
    gauges: Arc<Gauges>,
    pools: RefCell<BTreeMap<String, PoolAdmission>>,
    /// Source of the ids of waiting requests and of values that break ties.
    sequence: Cell<u64>,
}

/// Body of a merged answer.
#[derive(Serialize)]
struct MergedAnswer<'a> {
    outcome: &'static str,
    route: &'a str,
    snapshot: u64,
    /// Version of the tables that the query was run with.
    tables: u64,
    coverage: Coverage<'a>,
    calls: CallCounts,
    /// The targets' answers by service, or null for an answer that is not JSON.
    results: BTreeMap<&'a str, Box<RawValue>>,
}

/// Which services answered, and why the others did not.
#[derive(Serialize)]
struct Coverage<'a> {
    answered: usize,
    of: usize,
    /// Reasons by service.
    missing: BTreeMap<&'a str, &'static str>,
}

/// Number of calls made for an answer, by cause.
#[derive(Serialize)]
struct CallCounts {
    first: u32,
    hedges: u32,
    retries: u32,
    restarts: u32,
}

impl From<Counts> for CallCounts {
    fn from(c: Counts) -> Self {
        Self {
            first: c.first,
            hedges: c.hedges,
            retries: c.retries,
            restarts: c.restarts,
        }
    }
}

/// An error response, which ends the handling of a request.
struct Refused(Response<BoxBody>);

/// Counts a request as open until it is dropped.
struct OpenRequest(Arc<Gauges>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Permission to run a request on a pool. Dropping it reports the request's duration and overload
/// to admission control, and admits a waiting request if the limit allows one.
struct AdmissionPermit {
    frontend: Rc<CallerFrontend>,
    pool: String,
    started: Time,
    overloaded: Cell<bool>,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let now = clock::now();
        let mut pools = self.frontend.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&self.pool) else {
            return;
        };
        let dispatch = pool
            .admission
            .finish(now, now.since(self.started), self.overloaded.get());
        pool.execute(dispatch);
    }
}

impl PoolAdmission {
    fn execute(&mut self, dispatch: Dispatch) {
        for (id, wait) in dispatch.refuse {
            if let Some(send) = self.waiting.remove(&id) {
                let _ = send.send(Err(wait));
            }
        }
        for id in dispatch.start {
            let sent = self
                .waiting
                .remove(&id)
                .is_some_and(|send| send.send(Ok(())).is_ok());
            if !sent {
                // The caller closed its connection while it waited, so the next request can start.
                let next = self.admission.finish(clock::now(), Duration::ZERO, false);
                self.execute(next);
            }
        }
    }
}

impl CallerFrontend {
    pub(crate) fn new(
        routing: SharedRouting,
        max_body: usize,
        queries: Queries,
        calls: Calls,
        dedup_owner: DedupOwner,
        gauges: Arc<Gauges>,
    ) -> Self {
        Self {
            routing,
            max_body,
            queries,
            calls,
            dedup_owner,
            gauges,
            pools: RefCell::default(),
            sequence: Cell::new(0),
        }
    }

    /// Handles one HTTP request of a caller.
    pub(crate) async fn handle(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        self.gauges.open_requests.fetch_add(1, Ordering::AcqRel);
        let _open = OpenRequest(self.gauges.clone());
        let path = request.path().to_owned();
        let mut answer = match (request.method(), path.as_str()) {
            (&Method::GET, "/addresses") => self.addresses(&request),
            (&Method::POST, p) if p.starts_with("/query/") => {
                let name = p.trim_start_matches("/query/");
                self.query(name, &mut request)
                    .await
                    .unwrap_or_else(|refused| refused.0)
            }
            _ => {
                refuse(
                    404,
                    "not-run",
                    "no such path; use POST /query/ROUTE or GET /addresses",
                )
                .0
            }
        };
        if self.routing.load().leaving {
            answer
                .head_mut()
                .set_connection_type(actix_http::ConnectionType::Close);
        }
        answer
    }

    /// Advances admission of all pools, which refuses waiting requests that can no longer be
    /// answered in time.
    pub(crate) fn tick(&self) {
        for pool in self.pools.borrow_mut().values_mut() {
            let dispatch = pool.admission.advance(clock::now());
            pool.execute(dispatch);
        }
    }

    /// Traces of recent queries, newest first, for the state dump.
    pub(crate) fn traces(&self) -> Vec<String> {
        self.queries.traces()
    }

    /// State of admission to each pool, for the state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let pools = self.pools.borrow();
        let dump = |(name, pool): (&String, &PoolAdmission)| {
            let a = &pool.admission;
            let state = json!({"limit": a.limit(), "running": a.running(), "waiting": a.waiting()});
            (name.clone(), state)
        };
        serde_json::Value::Object(pools.iter().map(dump).collect())
    }

    fn addresses(&self, request: &Request) -> Response<BoxBody> {
        let centre = query_parameter(request, "centre").unwrap_or("");
        self.sequence.set(self.sequence.get() + 1);
        let list = addresses::choose(&self.routing.load().frontends, centre, self.sequence.get());
        let body = json!({
            "addresses": list,
            "lifetime_ms": clock::millis(addresses::ANSWER_TTL),
        });
        response(
            200,
            &[("content-type", "application/json".into())],
            body.to_string(),
        )
    }

    async fn query(
        self: &Rc<Self>,
        name: &str,
        request: &mut Request,
    ) -> Result<Response<BoxBody>, Refused> {
        let arrived = clock::now();
        let route = self.routing.load().tables.routes.get(name).cloned();
        let Some(route) = route else {
            let known = self.routing.load().version > 0;
            return Err(if known {
                refuse(404, "not-run", &format!("there is no route `{name}`"))
            } else {
                let outcome = refusal_outcome(header(request, "x-issued").is_some());
                refuse_for_now(outcome, Duration::from_secs(1), "no tables are known yet")
            });
        };
        let deadline = arrived + time_limit(request, &route)?;
        let priority = request_priority(request, &route)?;
        let body = match read_body(request, self.max_body).await {
            Ok(body) => body,
            Err(BodyError::TooLarge) => {
                let why = format!("the body is longer than {} bytes", self.max_body);
                return Err(refuse(413, "not-run", &why));
            }
            Err(BodyError::Broken) => return Err(refuse(400, "not-run", "the body is broken")),
        };
        let once = if route.idempotent {
            None
        } else {
            Some(once_headers(request)?)
        };
        let permit = self
            .admit(&route, priority, deadline)
            .await
            .map_err(|(wait, reason)| {
                refuse_for_now(refusal_outcome(once.is_some()), wait, reason)
            })?;
        let Some((id, issued)) = once else {
            self.sequence.set(self.sequence.get() + 1);
            let tie_break = self.sequence.get();
            let query = Query {
                route,
                arrived,
                deadline,
                priority,
                body,
                tie_break,
            };
            let answer = self.queries.run(&query).await;
            permit.overloaded.set(answer.overloaded);
            record_metrics(&query, &answer, arrived);
            return Ok(render(&query, answer));
        };
        let pool = route.pool;
        let once = OnceRequest {
            id,
            issued,
            pool,
            deadline,
            priority,
            body,
        };
        let outcome = ask_owner(&self.routing, &self.calls, &self.dedup_owner, once).await;
        Ok(render_once(outcome))
    }

    /// Waits until the request may run on the route's pool. An error is the time after which to retry
    /// and the reason.
    async fn admit(
        self: &Rc<Self>,
        route: &Route,
        priority: Priority,
        deadline: Time,
    ) -> Result<AdmissionPermit, (Duration, &'static str)> {
        self.sequence.set(self.sequence.get() + 1);
        let id = RequestId(self.sequence.get());
        let admitted = {
            let mut pools = self.pools.borrow_mut();
            let pool = pools.entry(route.pool.clone()).or_default();
            match pool.admission.submit(clock::now(), id, priority, deadline) {
                Verdict::Start => None,
                Verdict::Refused(wait) => return Err((wait, "overloaded")),
                Verdict::Queued => {
                    let (send, receive) = oneshot::channel();
                    pool.waiting.insert(id, send);
                    Some(receive)
                }
            }
        };
        if let Some(receive) = admitted {
            match receive.await {
                Ok(Ok(())) => {}
                Ok(Err(wait)) => return Err((wait, "overloaded")),
                Err(_) => return Err((Duration::from_secs(1), "the daemon stops")),
            }
        }
        Ok(AdmissionPermit {
            frontend: self.clone(),
            pool: route.pool.clone(),
            started: clock::now(),
            overloaded: Cell::new(false),
        })
    }
}

/// Time that a request may take: that of the route, or that of `x-deadline-ms` if it is shorter.
fn time_limit(request: &Request, route: &Route) -> Result<Duration, Refused> {
    let Some(text) = header(request, "x-deadline-ms") else {
        return Ok(route.deadline);
    };
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(route.deadline.min(Duration::from_millis(ms))),
        _ => Err(refuse(
            400,
            "not-run",
            "x-deadline-ms is not a number of milliseconds",
        )),
    }
}

/// Priority of a request: that of the route, or that of `x-priority` if it is lower.
fn request_priority(request: &Request, route: &Route) -> Result<Priority, Refused> {
    let requested = match header(request, "x-priority") {
        None => return Ok(route.priority),
        Some("low") => Priority::Low,
        Some("normal") => Priority::Normal,
        Some("high") => Priority::High,
        Some(_) => {
            return Err(refuse(
                400,
                "not-run",
                "x-priority is not low, normal or high",
            ));
        }
    };
    Ok(requested.min(route.priority))
}

/// Request id of a non-idempotent request, and when the caller issued it, in milliseconds since
/// 1970.
fn once_headers(request: &Request) -> Result<(String, u64), Refused> {
    let id = header(request, "x-request-id").unwrap_or("");
    if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES {
        let why = "this route is not idempotent: send x-request-id with 1 to 128 bytes";
        return Err(refuse(400, "not-run", why));
    }
    let issued = header(request, "x-issued").and_then(|v| v.parse().ok());
    let Some(issued) = issued else {
        let why = "this route is not idempotent: send x-issued, in milliseconds since 1970";
        return Err(refuse(400, "not-run", why));
    };
    Ok((id.to_owned(), issued))
}

/// An error response; `outcome` tells the caller whether the request ran.
fn refuse(status: u16, outcome: &str, reason: &str) -> Refused {
    let body = json!({"outcome": outcome, "reason": reason});
    let headers = [("content-type", "application/json".into())];
    Refused(response(status, &headers, body.to_string()))
}

/// Outcome of a request that is refused before its deduplication table was asked. An earlier attempt
/// of a non-idempotent request may have run.
fn refusal_outcome(once: bool) -> &'static str {
    if once { "unknown" } else { "not-run" }
}

/// The response to a request that is not run now and can be retried after `wait`.
fn refuse_for_now(outcome: &str, wait: Duration, reason: &str) -> Refused {
    let wait_ms = clock::millis(wait).max(1);
    let body = json!({"outcome": outcome, "reason": reason, "retry_after_ms": wait_ms});
    let headers = [
        ("content-type", "application/json".to_owned()),
        ("retry-after", wait_ms.div_ceil(1_000).to_string()),
    ];
    metrics::counter!("rattanturn_refused_total", "reason" => reason.to_owned()).increment(1);
    Refused(response(503, &headers, body.to_string()))
}

/// The response to a non-idempotent request.
fn render_once(outcome: Outcome) -> Response<BoxBody> {
    match outcome {
        Outcome::Ran(body) => {
            let headers = [
                ("content-type", "application/json".to_owned()),
                ("x-outcome", "ran".to_owned()),
            ];
            response(200, &headers, body)
        }
        Outcome::NotRun(why) => refuse(503, "not-run", &why).0,
        Outcome::Unknown => refuse(504, "unknown", "whether the request ran is not known").0,
    }
}

/// The response to a query: 200 if all services answered, 206 if enough did for the route's minimum
/// coverage, 504 otherwise. The body lists the answers that arrived in every case.
fn render(query: &Query, answer: Answer) -> Response<BoxBody> {
    let total = answer.parts.len();
    let mut results = BTreeMap::new();
    let mut missing = BTreeMap::new();
    for (name, part) in answer.names.iter().zip(answer.parts) {
        match part {
            Part::Covered(body) => drop(results.insert(name.as_str(), json_or_null(body))),
            Part::Missing(reason) => drop(missing.insert(name.as_str(), reason.as_str())),
        }
    }
    let answered = results.len();
    let status = match answered {
        n if n == total => 200,
        n if n > 0 && ratio(n, total) >= query.route.min_coverage => 206,
        _ => 504,
    };
    let merged = MergedAnswer {
        // A call without an answer may still have run, so without any answer it is not known
        // whether the query did.
        outcome: if answered > 0 { "ran" } else { "unknown" },
        route: &query.route.name,
        snapshot: answer.snapshot,
        tables: answer.tables,
        coverage: Coverage {
            answered,
            of: total,
            missing,
        },
        calls: answer.counts.into(),
        results,
    };
    match serde_json::to_vec(&merged) {
        Ok(body) => response(status, &[("content-type", "application/json".into())], body),
        Err(error) => {
            refuse(
                500,
                "unknown",
                &format!("the answer cannot be written: {error}"),
            )
            .0
        }
    }
}

/// `part` divided by `whole`.
fn ratio(part: usize, whole: usize) -> f64 {
    // Counts of services always fit into 32 bits, which convert to f64 without loss.
    let number = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    number(part) / number(whole.max(1))
}

/// A target's answer as JSON, or null if it is not valid JSON.
fn json_or_null(body: Vec<u8>) -> Box<RawValue> {
    let text = String::from_utf8(body).unwrap_or_default();
    RawValue::from_string(text).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

/// Records the metrics of a query's answer.
fn record_metrics(query: &Query, answer: &Answer, arrived: Time) {
    let route = query.route.name.clone();
    let took = clock::now().since(arrived).as_secs_f64();
    metrics::histogram!("rattanturn_query_seconds", "route" => route.clone()).record(took);
    metrics::counter!("rattanturn_calls_total", "route" => route.clone(), "kind" => "first")
        .increment(u64::from(answer.counts.first));
    metrics::counter!("rattanturn_calls_total", "route" => route.clone(), "kind" => "hedge")
        .increment(u64::from(answer.counts.hedges));
    metrics::counter!("rattanturn_calls_total", "route" => route.clone(), "kind" => "retry")
        .increment(u64::from(answer.counts.retries));
    for (reason, count) in rattanturn_core::gather::count_by_reason(&answer.parts) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        let labels = [("route", route.clone()), ("reason", reason.to_string())];
        metrics::counter!("rattanturn_missing_total", &labels).increment(count);
    }
}
