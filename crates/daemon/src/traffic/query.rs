//! Runs idempotent queries from admission to the answer.
//!
//! [`Gather`] decides which calls to make; this module sends and cancels them and reports their
//! results back. Queries of one thread share retry and hedge budgets, the hedge delay and the index
//! versions that targets serve; threads share none of these, so each learns them for itself.

use {
    crate::{
        clock,
        routing::{Routing, SharedRouting},
        traffic::{
            calls::{CallNumber, Calls, OutgoingCall, call_template},
            holder::{CallResult, HolderCall, Outcome},
        },
    },
    rattanturn_core::{
        Priority, Time,
        gather::{
            Action, AttemptId, Budgets, Counts, Gather, MAX_ATTEMPTS, MissingReason, Part, Plan,
            Reply, max_ended, trace::Recorder,
        },
        hedge::LatencyQuantile,
        snapshot::ServedVersions,
    },
    rattanturn_tables::{Route, RouteKind},
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashMap, VecDeque},
        pin::pin,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::mpsc,
};

/// A call that waited in the queue for more than this fraction of the query's time limit is a sign
/// of overload.
const OVERLOAD_WAIT_FRACTION: f64 = 0.25;
/// One query in this many is traced.
const QUERIES_PER_TRACE: u64 = 64;
/// Number of recent traces that each thread keeps.
const MAX_TRACES: usize = 4;
/// Time reserved before the query's deadline for merging and sending the answer.
const MERGE_TIME: Duration = Duration::from_millis(3);

/// A query that was admitted.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    pub(crate) route: Route,
    /// When the request's head arrived.
    pub(crate) arrived: Time,
    /// When the caller must have the answer.
    pub(crate) deadline: Time,
    pub(crate) priority: Priority,
    pub(crate) body: Vec<u8>,
    /// Differs from query to query, so that equally fast targets take turns.
    pub(crate) tie_break: u64,
}

/// A query's answer.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Index version that all parts were made from.
    pub(crate) snapshot: u64,
    /// Version of the tables that the query was run with.
    pub(crate) tables: u64,
    /// Names of the services, in the order of `parts`.
    pub(crate) names: Vec<String>,
    pub(crate) parts: Vec<Part>,
    pub(crate) counts: Counts,
    /// Whether a call was shed or waited too long, which admission control reacts to.
    pub(crate) overloaded: bool,
    /// Whether the query was ended before its deadline without all parts.
    pub(crate) was_cut: bool,
}

/// Runs the queries of one traffic thread; clones share their state.
#[derive(Clone)]
pub(crate) struct Queries {
    routing: SharedRouting,
    calls: Calls,
    shared: Rc<RefCell<SharedState>>,
}

/// What the queries of one thread share.
#[derive(Default)]
struct SharedState {
    /// Budgets of extra calls by pool, so that a slow pool cannot use up the budget of another.
    budgets: HashMap<String, Budgets>,
    versions: ServedVersions,
    /// Hedge delays by pool.
    latencies: HashMap<String, LatencyQuantile>,
    /// The snapshot chosen for each pool, after the value of `version_changes` at that time.
    snapshots: BTreeMap<String, (u64, u64)>,
    /// Number of changes of `versions` so far.
    version_changes: u64,
    traces: VecDeque<String>,
}

/// An attempt of a running query that has ended, and its result.
struct FinishedAttempt {
    id: AttemptId,
    target: usize,
    result: CallResult,
}

/// What is needed to make and cancel the calls of a running query. Dropping it cancels those that are
/// open, because nobody waits for their results.
struct RunningQuery<'a> {
    calls: &'a Calls,
    query: &'a Query,
    routing: &'a Routing,
    sender: mpsc::UnboundedSender<FinishedAttempt>,
    /// Numbers of the calls that were sent, to cancel them.
    call_numbers: HashMap<AttemptId, CallNumber>,
}

impl Drop for RunningQuery<'_> {
    fn drop(&mut self) {
        let numbers: Vec<CallNumber> = self.call_numbers.values().copied().collect();
        self.calls.cancel(&numbers);
    }
}

impl Queries {
    pub(crate) fn new(routing: SharedRouting, calls: Calls) -> Self {
        Self {
            routing,
            calls,
            shared: Rc::default(),
        }
    }

    /// Runs a query until its answer is final: complete, or with the parts that arrived in time, or
    /// until `cut` completes.
    pub(crate) async fn run(&self, query: &Query, cut: impl Future<Output = ()>) -> Answer {
        let routing = self.routing.load_full();
        let (names, services) = services_of(&routing, query);
        let plan = self.plan(query, services);
        let services = plan.services.clone();
        let started = clock::now();
        let mut recorder = query.tie_break.is_multiple_of(QUERIES_PER_TRACE).then(|| {
            Recorder::open(
                started,
                &plan,
                self.shared.borrow_mut().budgets(&query.route.pool),
            )
        });
        let (sender, mut attempts) = mpsc::unbounded_channel();
        let mut running = RunningQuery {
            calls: &self.calls,
            query,
            routing: &routing,
            sender,
            call_numbers: HashMap::new(),
        };
        let (mut gather, actions) = Gather::start(
            started,
            plan,
            self.shared.borrow_mut().budgets(&query.route.pool),
        );
        let mut overloaded = false;
        let mut finished = self.execute(&mut running, actions);
        let mut cut = pin!(cut);
        let mut was_cut = false;
        while !finished {
            let actions = tokio::select! {
                biased;
                () = &mut cut, if !was_cut => {
                    was_cut = true;
                    // A trace does not tell that its query was cut.
                    recorder = None;
                    gather.shorten_deadline(clock::now());
                    self.tick(&mut gather, query, None)
                }
                Some(attempt) = attempts.recv() => {
                    overloaded |= is_overloaded(query, &attempt.result);
                    self.handle_result(&mut gather, &services, &running, attempt, recorder.as_mut())
                }
                () = clock::sleep_until(gather.next_tick()) => {
                    self.tick(&mut gather, query, recorder.as_mut())
                }
            };
            finished = self.execute(&mut running, actions);
        }
        if let Some(recorder) = recorder {
            self.keep_trace(recorder.close(&gather));
        }
        Answer {
            snapshot: gather.snapshot(),
            tables: routing.version,
            counts: gather.counts(),
            parts: gather.into_parts(),
            names,
            overloaded,
            was_cut,
        }
    }

    fn plan(&self, query: &Query, services: Vec<Vec<usize>>) -> Plan {
        let mut shared = self.shared.borrow_mut();
        let snapshot = shared.snapshot(&query.route.pool, &services);
        let delay = shared
            .latencies
            .entry(query.route.pool.clone())
            .or_default()
            .delay();
        let hedge_delays = vec![delay; services.len()];
        let ordered: Vec<Vec<usize>> = services
            .into_iter()
            .map(|s| self.ordered(&shared.versions, s, snapshot, query.tie_break))
            .collect();
        Plan {
            max_ended: max_ended(ordered.len()),
            services: ordered,
            hedge_delays,
            deadline: query.deadline - MERGE_TIME,
            snapshot,
            hedging: query.route.hedging,
            idempotent: true,
            max_attempts: MAX_ATTEMPTS,
            cutoff: None,
            budgets: Vec::new(),
        }
    }

    /// Orders a service's targets, the fastest first. Those that are known not to serve the
    /// snapshot come last; they are tried only after all others.
    fn ordered(
        &self,
        versions: &ServedVersions,
        targets: Vec<usize>,
        snapshot: u64,
        tie_break: u64,
    ) -> Vec<usize> {
        let may_serve = |t: &usize| versions.may_serve(*t, snapshot);
        let (serving, others): (Vec<usize>, Vec<usize>) = targets.into_iter().partition(may_serve);
        let mut out = self.calls.order(serving, tie_break);
        out.extend(others);
        out
    }

    fn tick(
        &self,
        gather: &mut Gather,
        query: &Query,
        recorder: Option<&mut Recorder>,
    ) -> Vec<Action> {
        let now = clock::now();
        let mut shared = self.shared.borrow_mut();
        let budgets = shared.budgets(&query.route.pool);
        if let Some(recorder) = recorder {
            recorder.tick(now, budgets);
        }
        gather.tick(now, budgets)
    }

    /// Traces of recent queries, newest first, for the state dump. `rattanturn replay` reads them.
    pub(crate) fn traces(&self) -> Vec<String> {
        self.shared.borrow().traces.iter().cloned().collect()
    }

    fn keep_trace(&self, trace: String) {
        let traces = &mut self.shared.borrow_mut().traces;
        traces.push_front(trace);
        traces.truncate(MAX_TRACES);
    }

    /// Records what a result tells about its target, and passes it on to the gather.
    fn handle_result(
        &self,
        gather: &mut Gather,
        services: &[Vec<usize>],
        running: &RunningQuery<'_>,
        attempt: FinishedAttempt,
        recorder: Option<&mut Recorder>,
    ) -> Vec<Action> {
        let now = clock::now();
        let mut shared = self.shared.borrow_mut();
        let shared = &mut *shared;
        if shared
            .versions
            .record(attempt.target, &attempt.result.versions)
        {
            shared.version_changes += 1;
        }
        if attempt.result.outcome == Outcome::Done {
            let took = gather.attempt_age(now, attempt.id);
            if let Some(latency) = shared.latencies.get_mut(&running.query.route.pool) {
                latency.record(took);
            }
        }
        let newest = shared.snapshot(&running.query.route.pool, services);
        let reply = reply_of(attempt.result);
        let budgets = shared.budgets(&running.query.route.pool);
        if let Some(recorder) = recorder {
            recorder.reply(now, attempt.id, &reply, newest, budgets);
        }
        gather.reply(now, attempt.id, reply, newest, budgets)
    }

    /// Sends and cancels calls as the gather decided; returns true once the answer is final.
    fn execute(&self, running: &mut RunningQuery<'_>, actions: Vec<Action>) -> bool {
        let mut finished = false;
        let mut outgoing = Vec::new();
        let mut attempts = Vec::new();
        let mut cancels = Vec::new();
        for action in actions {
            match action {
                Action::Call {
                    attempt,
                    target,
                    snapshot,
                    ..
                } => {
                    attempts.push(attempt);
                    outgoing.extend(call_of(running, attempt, target, snapshot));
                }
                Action::Cancel(attempt) => cancels.extend(running.call_numbers.remove(&attempt)),
                Action::Finish => finished = true,
            }
        }
        if !cancels.is_empty() {
            self.calls.cancel(&cancels);
        }
        if !outgoing.is_empty() {
            let numbers = self.calls.send(outgoing);
            running
                .call_numbers
                .extend(attempts.into_iter().zip(numbers));
        }
        finished
    }
}

impl SharedState {
    fn budgets(&mut self, pool: &str) -> &mut Budgets {
        self.budgets.entry(pool.into()).or_default()
    }

    /// Snapshot that queries of a pool ask for. Choosing looks at all targets, so it is done only
    /// after targets reported other versions.
    fn snapshot(&mut self, pool: &str, services: &[Vec<usize>]) -> u64 {
        if let Some((changes, chosen)) = self.snapshots.get(pool)
            && *changes == self.version_changes
        {
            return *chosen;
        }
        let chosen = self.versions.choose(services);
        self.snapshots
            .insert(pool.into(), (self.version_changes, chosen));
        chosen
    }
}

/// Whether a result is a sign that the pool is overloaded.
fn is_overloaded(query: &Query, result: &CallResult) -> bool {
    let allowed = query.deadline.since(query.arrived).as_secs_f64();
    result.outcome == Outcome::Busy
        || result.queue_time.as_secs_f64() > allowed * OVERLOAD_WAIT_FRACTION
}

/// The call of an attempt; `None` if the target is no longer in the tables.
fn call_of(
    running: &RunningQuery<'_>,
    attempt: AttemptId,
    target: usize,
    snapshot: u64,
) -> Option<OutgoingCall> {
    let addr = running.routing.targets.get(&target)?.addr;
    let call = HolderCall {
        snapshot,
        deadline: running.query.deadline - MERGE_TIME,
        priority: running.query.priority,
        body: running.query.body.clone(),
        ..call_template(addr)
    };
    let sender = running.sender.clone();
    let on_result = Box::new(move |result| {
        // This fails if the query has ended, and then the result is not needed.
        let _ = sender.send(FinishedAttempt {
            id: attempt,
            target,
            result,
        });
    });
    Some(OutgoingCall {
        target,
        call,
        on_result,
    })
}

/// Names of the services that a query asks, and the targets of each.
fn services_of(routing: &Routing, query: &Query) -> (Vec<String>, Vec<Vec<usize>>) {
    let pool = &query.route.pool;
    let lists = routing.services.get(pool).cloned().unwrap_or_default();
    let names: Vec<String> = routing
        .tables
        .pools
        .get(pool)
        .map(|p| {
            p.services
                .iter()
                .map(|s| format!("{pool}/{}", s.name))
                .collect()
        })
        .unwrap_or_default();
    match query.route.kind {
        RouteKind::FanOut => (names, lists),
        RouteKind::SingleRecord => {
            // Any target of the pool can serve the record, so they form a single service.
            let all = lists.into_iter().flatten().collect();
            (names.into_iter().take(1).collect(), vec![all])
        }
    }
}

fn reply_of(result: CallResult) -> Reply {
    match result.outcome {
        Outcome::Done => Reply::Done {
            snapshot: result.snapshot,
            body: result.body,
        },
        Outcome::WrongSnapshot => Reply::WrongSnapshot,
        Outcome::Busy => Reply::NotRun(MissingReason::Busy),
        Outcome::Unreachable => Reply::Unsent(MissingReason::Unreachable),
        Outcome::NoHolder => Reply::Unsent(MissingReason::NoHolder),
        Outcome::Failed => Reply::Failed,
    }
}
