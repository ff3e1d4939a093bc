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
        tier::ending::HALF_CLOSED_TIME,
        traffic::{
            Gauges, OpenRequest,
            answers::{
                Refused, panicked, refusal_outcome, refuse, refuse_for_now, refuse_stopping,
                render, render_once,
            },
            calls::Calls,
            once::{DedupOwner, OnceRequest, ask_owner},
            query::{Answer, Queries, Query},
        },
    },
    actix_http::{Method, Request, Response, body::BoxBody},
    futures::FutureExt,
    rattanturn_core::{
        Priority, Time, addresses,
        admission::{Admission, Dispatch, RequestId, Verdict},
        dedup::Outcome,
        hedge::CallLatency,
        shutdown::{LateRequest, StopSchedule},
    },
    rattanturn_http::{BodyError, Connection, header, query_parameter, read_body, response},
    rattanturn_tables::Route,
    serde_json::json,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        future::pending,
        panic::AssertUnwindSafe,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// Longest accepted `x-request-id`; the deduplication tables keep ids in memory.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Quantile of a route's durations that is expected of a request which arrives during a stop; see
/// [`LateRequest::usual`].
const USUAL_QUANTILE: f64 = 0.75;

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
    /// Durations of requests by route.
    latencies: RefCell<HashMap<String, CallLatency>>,
    /// Source of the ids of waiting requests and of values that break ties.
    sequence: Cell<u64>,
}

/// What a request that may run has brought with it.
struct Admitted {
    body: Vec<u8>,
    /// Request id and time of issue of a non-idempotent request.
    once: Option<(String, u64)>,
    permit: AdmissionPermit,
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

/// A request that waits to be admitted. Dropping it, also when its caller left, gives a permission back
/// that came meanwhile.
struct AdmissionWait<'a> {
    frontend: &'a Rc<CallerFrontend>,
    pool: &'a str,
    admitted: oneshot::Receiver<Result<(), Duration>>,
}

impl Drop for AdmissionWait<'_> {
    fn drop(&mut self) {
        if matches!(self.admitted.try_recv(), Ok(Ok(()))) {
            drop(AdmissionPermit::new(self.frontend, self.pool));
        }
    }
}

impl AdmissionPermit {
    fn new(frontend: &Rc<CallerFrontend>, pool: &str) -> Self {
        Self {
            frontend: frontend.clone(),
            pool: pool.to_owned(),
            started: clock::now(),
            overloaded: Cell::new(false),
        }
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
            latencies: RefCell::default(),
            sequence: Cell::new(0),
        }
    }

    /// Handles one HTTP request of a caller.
    pub(crate) async fn handle(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        let open = OpenRequest::new(&self.gauges);
        let path = request.path().to_owned();
        let mut answer = match (request.method(), path.as_str()) {
            (&Method::GET, "/addresses") => self.addresses(&request),
            (&Method::POST, p) if p.starts_with("/query/") => {
                let name = p.trim_start_matches("/query/");
                let query = AssertUnwindSafe(self.query(name, &mut request));
                match query.catch_unwind().await {
                    Ok(answer) => answer.unwrap_or_else(|refused| refused.0),
                    Err(_) => panicked(name, header(&request, "x-request-id")),
                }
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
        if let Some(connection) = rattanturn_http::connection(&request) {
            connection.keep_until_written(open);
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
        let (routing, tie_break) = (self.routing.load(), self.sequence.get());
        let chosen = addresses::choose(&routing.frontends, centre, tie_break, clock::now());
        let body = json!({
            "addresses": chosen.addrs,
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
        self.check_stop(&route, deadline)?;
        let connection = rattanturn_http::connection(request);
        let connection = connection.as_deref();
        let admitted = tokio::select! {
            biased;
            admitted = self.admit_request(request, &route, priority, deadline) => admitted?,
            () = self.gauges.stop_time(StopSchedule::answer_by) => {
                return Err(refuse_stopping(&route));
            }
            () = caller_left(connection) => {
                let outcome = refusal_outcome(!route.idempotent);
                return Err(refuse_for_now(outcome, Duration::ZERO, "the caller has left"));
            }
        };
        self.check_stop(&route, deadline)?;
        let Admitted { body, once, permit } = admitted;
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
            let cut = async {
                tokio::select! {
                    () = self.gauges.stop_time(StopSchedule::answer_by) => {}
                    () = caller_left(connection) => {}
                }
            };
            let answer = self.queries.run(&query, cut).await;
            permit.overloaded.set(answer.overloaded);
            if !answer.was_cut {
                self.record_latency(&query.route.name, permit.started);
            }
            record_metrics(&query, &answer, arrived);
            return Ok(render(&query, answer));
        };
        let request = OnceRequest {
            id,
            issued,
            pool: route.pool,
            deadline,
            priority,
            body,
        };
        let outcome = tokio::select! {
            biased;
            outcome = ask_owner(&self.routing, &self.calls, &self.dedup_owner, request) => outcome,
            // It may go on at its owner, which records the outcome for a retry.
            () = self.gauges.stop_time(StopSchedule::answer_by) => Outcome::Unknown,
        };
        if matches!(outcome, Outcome::Ran(_)) {
            self.record_latency(&route.name, permit.started);
        }
        Ok(render_once(outcome))
    }

    /// Reads the rest of a request and waits until it may run.
    async fn admit_request(
        self: &Rc<Self>,
        request: &mut Request,
        route: &Route,
        priority: Priority,
        deadline: Time,
    ) -> Result<Admitted, Refused> {
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
            .admit(route, priority, deadline)
            .await
            .map_err(|(wait, reason)| {
                refuse_for_now(refusal_outcome(once.is_some()), wait, reason)
            })?;
        Ok(Admitted { body, once, permit })
    }

    /// Refuses a request if this daemon is about to stop and leaves it too little time.
    fn check_stop(&self, route: &Route, deadline: Time) -> Result<(), Refused> {
        let Some(stop) = *self.gauges.stop.borrow() else {
            return Ok(());
        };
        let now = clock::now();
        let latencies = self.latencies.borrow();
        let late = LateRequest {
            usual: latencies.get(&route.name).and_then(CallLatency::usual),
            time_limit: deadline.since(now),
            idempotent: route.idempotent,
            ..LateRequest::default()
        };
        if late.fits(stop.answer_by().since(now)) {
            return Ok(());
        }
        Err(refuse_stopping(route))
    }

    /// Records how long an admitted request of a route took.
    fn record_latency(&self, route: &str, started: Time) {
        let mut latencies = self.latencies.borrow_mut();
        let latency = latencies
            .entry(route.to_owned())
            .or_insert_with(|| CallLatency::at(USUAL_QUANTILE));
        latency.record(clock::now().since(started));
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
        if let Some(admitted) = admitted {
            let mut wait = AdmissionWait {
                frontend: self,
                pool: &route.pool,
                admitted,
            };
            match (&mut wait.admitted).await {
                Ok(Ok(())) => {}
                Ok(Err(wait)) => return Err((wait, "overloaded")),
                Err(_) => return Err((Duration::from_secs(1), "the daemon stops")),
            }
        }
        Ok(AdmissionPermit::new(self, &route.pool))
    }
}

/// Completes when the caller counts as having left, a while after the end of its input.
async fn caller_left(connection: Option<&Connection>) {
    let Some(connection) = connection else {
        return pending().await;
    };
    let ended = connection.input_end().await;
    actix_rt::time::sleep_until((ended + HALF_CLOSED_TIME).into()).await;
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
