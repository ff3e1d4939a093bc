//! Callers' requests over HTTP.
//!
//! `POST /query/ROUTE` with the query as body. Headers: `x-request-id` and `x-issued`
//! (milliseconds since 1970, kept on repeats) for routes that are not idempotent;
//! `x-deadline-ms` and `x-priority` may tighten what the route allows. Every answer names its
//! outcome: `ran`, `not-run` or `unknown`. `GET /addresses?centre=NAME` tells which addresses to
//! use and for how long.

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

/// Longest request id, in bytes.
const MAX_REQUEST_ID: usize = 128;

/// Admission to one pool and the requests that wait for it.
#[derive(Default)]
struct PoolAdmission {
    admission: Admission,
    waiting: HashMap<RequestId, oneshot::Sender<Result<(), Duration>>>,
}

/// Serves callers on one thread.
pub(crate) struct CallerFrontend {
    routing: SharedRouting,
    max_body: usize,
    queries: Queries,
    calls: Calls,
    keeper: DedupOwner,
    gauges: Arc<Gauges>,
    pools: RefCell<BTreeMap<String, PoolAdmission>>,
    next: Cell<u64>,
}

/// A merged answer as callers see it.
#[derive(Serialize)]
struct Merged<'a> {
    outcome: &'static str,
    route: &'a str,
    snapshot: u64,
    /// Version of the tables that the answer was made under.
    tables: u64,
    coverage: Coverage<'a>,
    calls: CallCounts,
    /// Partial answers by service, as the targets gave them.
    results: BTreeMap<&'a str, Box<RawValue>>,
}

/// Which services answered, and why others did not.
#[derive(Serialize)]
struct Coverage<'a> {
    answered: usize,
    of: usize,
    missing: BTreeMap<&'a str, &'static str>,
}

/// Calls made for an answer.
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

/// A refusal with its status.
struct Refused(Response<BoxBody>);

/// Counts a request while it is under way.
struct Underway(Arc<Gauges>);

impl Drop for Underway {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Frees a place in a pool_admission when a request ends in any way.
struct Admitted {
    entry: Rc<CallerFrontend>,
    pool: String,
    started: Time,
    overloaded: Cell<bool>,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let now = clock::now();
        let mut pools = self.entry.pools.borrow_mut();
        let Some(pool_admission) = pools.get_mut(&self.pool) else {
            return;
        };
        let moves =
            pool_admission
                .admission
                .finish(now, now.since(self.started), self.overloaded.get());
        pool_admission.perform(moves);
    }
}

impl PoolAdmission {
    fn perform(&mut self, moves: Dispatch) {
        for (id, wait) in moves.refuse {
            if let Some(send) = self.waiting.remove(&id) {
                let _ = send.send(Err(wait));
            }
        }
        for id in moves.start {
            let sent = self
                .waiting
                .remove(&id)
                .is_some_and(|send| send.send(Ok(())).is_ok());
            if !sent {
                // The caller went away while it waited: its place goes to the next.
                let again = self.admission.finish(clock::now(), Duration::ZERO, false);
                self.perform(again);
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
        keeper: DedupOwner,
        gauges: Arc<Gauges>,
    ) -> Self {
        Self {
            routing,
            max_body,
            queries,
            calls,
            keeper,
            gauges,
            pools: RefCell::default(),
            next: Cell::new(0),
        }
    }

    /// Answers one HTTP request.
    pub(crate) async fn handle(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        self.gauges.open_requests.fetch_add(1, Ordering::AcqRel);
        let _underway = Underway(self.gauges.clone());
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

    /// Refuses waiting requests that cannot be answered in time.
    pub(crate) fn tick(&self) {
        for pool_admission in self.pools.borrow_mut().values_mut() {
            let moves = pool_admission.admission.advance(clock::now());
            pool_admission.perform(moves);
        }
    }

    /// Traces of recent queries, for the state dump.
    pub(crate) fn traces(&self) -> Vec<String> {
        self.queries.traces()
    }

    /// Admission of each pool, for the state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let pools = self.pools.borrow();
        let one = |(pool, pool_admission): (&String, &PoolAdmission)| {
            let a = &pool_admission.admission;
            let state = json!({"limit": a.limit(), "running": a.running(), "waiting": a.waiting()});
            (pool.clone(), state)
        };
        serde_json::Value::Object(pools.iter().map(one).collect())
    }

    fn addresses(&self, request: &Request) -> Response<BoxBody> {
        let centre = query_parameter(request, "centre").unwrap_or("");
        self.next.set(self.next.get() + 1);
        let list = addresses::choose(&self.routing.load().frontends, centre, self.next.get());
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
                retry(Duration::from_secs(1), "no tables are known yet")
            });
        };
        let deadline = arrived + allowed_time(request, &route)?;
        let priority = asked_priority(request, &route)?;
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
            Some(once_head(request)?)
        };
        let admitted = self.admit(&route, priority, deadline).await?;
        let Some((id, issued)) = once else {
            self.next.set(self.next.get() + 1);
            let tie_break = self.next.get();
            let query = Query {
                route,
                arrived,
                deadline,
                priority,
                body,
                tie_break,
            };
            let answer = self.queries.run(&query).await;
            admitted.overloaded.set(answer.overloaded);
            count_answer(&query, &answer, arrived);
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
        let outcome = ask_owner(&self.routing, &self.calls, &self.keeper, once).await;
        Ok(render_once(outcome))
    }

    async fn admit(
        self: &Rc<Self>,
        route: &Route,
        priority: Priority,
        deadline: Time,
    ) -> Result<Admitted, Refused> {
        self.next.set(self.next.get() + 1);
        let id = RequestId(self.next.get());
        let wait = {
            let mut pools = self.pools.borrow_mut();
            let pool_admission = pools.entry(route.pool.clone()).or_default();
            match pool_admission
                .admission
                .submit(clock::now(), id, priority, deadline)
            {
                Verdict::Start => None,
                Verdict::Refused(wait) => return Err(retry(wait, "overloaded")),
                Verdict::Queued => {
                    let (send, receive) = oneshot::channel();
                    pool_admission.waiting.insert(id, send);
                    Some(receive)
                }
            }
        };
        if let Some(receive) = wait {
            match receive.await {
                Ok(Ok(())) => {}
                Ok(Err(wait)) => return Err(retry(wait, "overloaded")),
                Err(_) => return Err(retry(Duration::from_secs(1), "the daemon stops")),
            }
        }
        Ok(Admitted {
            entry: self.clone(),
            pool: route.pool.clone(),
            started: clock::now(),
            overloaded: Cell::new(false),
        })
    }
}

/// Time that a request may take: the route's deadline or the caller's, if that is shorter.
fn allowed_time(request: &Request, route: &Route) -> Result<Duration, Refused> {
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

/// The route's priority or the caller's, if that is lower.
fn asked_priority(request: &Request, route: &Route) -> Result<Priority, Refused> {
    let asked = match header(request, "x-priority") {
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
    Ok(asked.min(route.priority))
}

/// Request id and time of issue of a request that is not idempotent.
fn once_head(request: &Request) -> Result<(String, u64), Refused> {
    let id = header(request, "x-request-id").unwrap_or("");
    if id.is_empty() || id.len() > MAX_REQUEST_ID {
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

fn refuse(status: u16, outcome: &str, reason: &str) -> Refused {
    let body = json!({"outcome": outcome, "reason": reason});
    let headers = [("content-type", "application/json".into())];
    Refused(response(status, &headers, body.to_string()))
}

/// A request that was not run and may come back later.
fn retry(wait: Duration, reason: &str) -> Refused {
    let wait_ms = clock::millis(wait).max(1);
    let body = json!({"outcome": "not-run", "reason": reason, "retry_after_ms": wait_ms});
    let headers = [
        ("content-type", "application/json".to_owned()),
        ("retry-after", wait_ms.div_ceil(1_000).to_string()),
    ];
    metrics::counter!("rattanturn_refused_total", "reason" => reason.to_owned()).increment(1);
    Refused(response(503, &headers, body.to_string()))
}

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

/// The merged answer. 200: complete; 206: enough services answered; 504: too few did.
fn render(query: &Query, answer: Answer) -> Response<BoxBody> {
    let total = answer.parts.len();
    let mut results = BTreeMap::new();
    let mut missing = BTreeMap::new();
    for (name, part) in answer.names.iter().zip(answer.parts) {
        match part {
            Part::Covered(body) => drop(results.insert(name.as_str(), raw(body))),
            Part::Missing(reason) => drop(missing.insert(name.as_str(), reason.as_str())),
        }
    }
    let answered = results.len();
    let status = match answered {
        n if n == total => 200,
        n if n > 0 && share(n, total) >= query.route.min_coverage => 206,
        _ => 504,
    };
    let merged = Merged {
        // Calls without an answer may have run.
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

/// `part` of `whole` as a ratio.
fn share(part: usize, whole: usize) -> f64 {
    // Service counts are far below 2^32.
    let number = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    number(part) / number(whole.max(1))
}

/// A target's partial answer as JSON; text that is not JSON becomes a string.
fn raw(body: Vec<u8>) -> Box<RawValue> {
    let text = String::from_utf8(body).unwrap_or_default();
    RawValue::from_string(text).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

fn count_answer(query: &Query, answer: &Answer, arrived: Time) {
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
