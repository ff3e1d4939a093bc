//! One idempotent query from admission to its answer.

use {
    crate::{
        clock,
        routing::{Routing, Shared},
        traffic::{
            calls::{CallNumber, Calls, OutgoingCall, call_template},
            holder::{CallResult, HolderCall, Outcome},
        },
    },
    rattanturn_core::{
        Priority, Time,
        gather::{
            Action, AttemptId, Budgets, Counts, Gather, MAX_ATTEMPTS, MissingReason, Part, Plan,
            Reply, trace::Recorder,
        },
        hedge::LatencyQuantile,
        snapshot::ServedVersions,
    },
    rattanturn_tables::{Route, RouteKind},
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashMap, VecDeque},
        rc::Rc,
        time::Duration,
    },
    tokio::sync::mpsc,
};

/// A call that waited longer than this share of the time allowed means pressure.
const PRESSURE_SHARE: f64 = 0.25;
/// One query in this many is recorded.
const TRACE_ONE_IN: u64 = 64;
/// Traces kept by each thread.
const TRACES_KEPT: usize = 4;
/// Part of the deadline kept for merging and sending the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(3);

/// A query that was admitted.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    pub(crate) route: Route,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    pub(crate) priority: Priority,
    pub(crate) body: Vec<u8>,
    /// Differs from query to query; chooses among equal targets.
    pub(crate) tie_break: u64,
}

/// A query's answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) snapshot: u64,
    pub(crate) tables: u64,
    pub(crate) names: Vec<String>,
    pub(crate) parts: Vec<Part>,
    pub(crate) counts: Counts,
    /// Whether the pool showed signs of overload.
    pub(crate) overloaded: bool,
}

/// What queries of one thread share.
#[derive(Clone)]
pub(crate) struct Queries {
    routing: Shared,
    calls: Calls,
    shared: Rc<RefCell<Learned>>,
}

#[derive(Default)]
struct Learned {
    /// Extra calls allowed on each pool, so that one pool does not spend another's share.
    budgets: HashMap<String, Budgets>,
    book: ServedVersions,
    /// Hedge delay of each pool.
    late: HashMap<String, LatencyQuantile>,
    chosen: BTreeMap<String, (u64, u64)>,
    book_changes: u64,
    traces: VecDeque<String>,
}

/// Events that reach a running query.
struct Arrival {
    attempt: AttemptId,
    target: usize,
    result: CallResult,
}

/// The parts of a running query that actions touch.
struct Running<'a> {
    query: &'a Query,
    routing: &'a Routing,
    send: mpsc::UnboundedSender<Arrival>,
    numbers: HashMap<AttemptId, CallNumber>,
}

impl Queries {
    pub(crate) fn new(routing: Shared, calls: Calls) -> Self {
        Self {
            routing,
            calls,
            shared: Rc::default(),
        }
    }

    /// Runs a query to its final answer.
    pub(crate) async fn run(&self, query: &Query) -> Answer {
        let routing = self.routing.load_full();
        let (names, services) = services_of(&routing, query);
        let plan = self.plan(query, services);
        let services = plan.services.clone();
        let started = clock::now();
        let mut recorder = query.tie_break.is_multiple_of(TRACE_ONE_IN).then(|| {
            Recorder::open(
                started,
                &plan,
                self.shared.borrow_mut().budgets(&query.route.pool),
            )
        });
        let (send, mut arrivals) = mpsc::unbounded_channel();
        let mut running = Running {
            query,
            routing: &routing,
            send,
            numbers: HashMap::new(),
        };
        let (mut gather, actions) = Gather::start(
            started,
            plan,
            self.shared.borrow_mut().budgets(&query.route.pool),
        );
        let mut overloaded = false;
        let mut finished = self.perform(&mut running, actions);
        while !finished {
            let actions = tokio::select! {
                biased;
                Some(arrival) = arrivals.recv() => {
                    overloaded |= is_overloaded(query, &arrival.result);
                    self.arrived(&mut gather, &services, &running, arrival, recorder.as_mut())
                }
                () = clock::sleep_until(gather.next_tick()) => {
                    self.ticked(&mut gather, query, recorder.as_mut())
                }
            };
            finished = self.perform(&mut running, actions);
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
        }
    }

    fn plan(&self, query: &Query, services: Vec<Vec<usize>>) -> Plan {
        let mut shared = self.shared.borrow_mut();
        let snapshot = shared.snapshot(&query.route.pool, &services);
        let delay = shared
            .late
            .entry(query.route.pool.clone())
            .or_default()
            .delay();
        let late = vec![delay; services.len()];
        let ordered = services
            .into_iter()
            .map(|s| self.ordered(&shared.book, s, snapshot, query.tie_break))
            .collect();
        Plan {
            services: ordered,
            hedge_delays: late,
            deadline: query.deadline - ANSWER_MARGIN,
            snapshot,
            hedging: query.route.hedging,
            idempotent: true,
            max_attempts: MAX_ATTEMPTS,
            cutoff: None,
            budgets: Vec::new(),
        }
    }

    /// Orders a service's targets; those that do not serve the snapshot come last.
    fn ordered(
        &self,
        book: &ServedVersions,
        targets: Vec<usize>,
        snapshot: u64,
        tie_break: u64,
    ) -> Vec<usize> {
        let may_serve = |t: &usize| book.may_serve(*t, snapshot);
        let (fit, unfit): (Vec<usize>, Vec<usize>) = targets.into_iter().partition(may_serve);
        let mut out = self.calls.order(fit, tie_break);
        out.extend(unfit);
        out
    }

    fn ticked(
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

    /// Traces of recent queries, for the state dump and `rattanturn replay`.
    pub(crate) fn traces(&self) -> Vec<String> {
        self.shared.borrow().traces.iter().cloned().collect()
    }

    fn keep_trace(&self, trace: String) {
        let traces = &mut self.shared.borrow_mut().traces;
        traces.push_front(trace);
        traces.truncate(TRACES_KEPT);
    }

    fn arrived(
        &self,
        gather: &mut Gather,
        services: &[Vec<usize>],
        running: &Running<'_>,
        arrival: Arrival,
        recorder: Option<&mut Recorder>,
    ) -> Vec<Action> {
        let now = clock::now();
        let mut shared = self.shared.borrow_mut();
        let shared = &mut *shared;
        if shared.book.record(arrival.target, &arrival.result.versions) {
            shared.book_changes += 1;
        }
        if arrival.result.outcome == Outcome::Done {
            let took = gather.attempt_age(now, arrival.attempt);
            if let Some(late) = shared.late.get_mut(&running.query.route.pool) {
                late.record(took);
            }
        }
        let newest = shared.snapshot(&running.query.route.pool, services);
        let reply = reply_of(arrival.result);
        let budgets = shared.budgets(&running.query.route.pool);
        if let Some(recorder) = recorder {
            recorder.reply(now, arrival.attempt, &reply, newest, budgets);
        }
        gather.reply(now, arrival.attempt, reply, newest, budgets)
    }

    /// Sends and cancels; returns true when the answer is final.
    fn perform(&self, running: &mut Running<'_>, actions: Vec<Action>) -> bool {
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
                Action::Cancel(attempt) => cancels.extend(running.numbers.remove(&attempt)),
                Action::Finish => finished = true,
            }
        }
        if !cancels.is_empty() {
            self.calls.cancel(&cancels);
        }
        if !outgoing.is_empty() {
            let numbers = self.calls.send(outgoing);
            running.numbers.extend(attempts.into_iter().zip(numbers));
        }
        finished
    }
}

impl Learned {
    fn budgets(&mut self, pool: &str) -> &mut Budgets {
        self.budgets.entry(pool.into()).or_default()
    }

    /// Snapshot for a pool, chosen anew only when targets name other versions.
    fn snapshot(&mut self, pool: &str, services: &[Vec<usize>]) -> u64 {
        if let Some((changes, chosen)) = self.chosen.get(pool)
            && *changes == self.book_changes
        {
            return *chosen;
        }
        let chosen = self.book.choose(services);
        self.chosen.insert(pool.into(), (self.book_changes, chosen));
        chosen
    }
}

/// Tells whether a result is a sign of overload.
fn is_overloaded(query: &Query, result: &CallResult) -> bool {
    let allowed = query.deadline.since(query.arrived).as_secs_f64();
    result.outcome == Outcome::Busy || result.queue_time.as_secs_f64() > allowed * PRESSURE_SHARE
}

fn call_of(
    running: &Running<'_>,
    attempt: AttemptId,
    target: usize,
    snapshot: u64,
) -> Option<OutgoingCall> {
    let addr = running.routing.targets.get(&target)?.addr;
    let call = HolderCall {
        snapshot,
        deadline: running.query.deadline - ANSWER_MARGIN,
        priority: running.query.priority,
        body: running.query.body.clone(),
        ..call_template(addr)
    };
    let send = running.send.clone();
    let on_result = Box::new(move |result| {
        // The query may have ended.
        let _ = send.send(Arrival {
            attempt,
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

/// Names and targets of the services that a query asks.
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
            // Every service of a single-record pool can serve the record.
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
        Outcome::Unreachable => Reply::NotRun(MissingReason::Unreachable),
        Outcome::NoHolder => Reply::NotRun(MissingReason::NoHolder),
        Outcome::Failed => Reply::Failed,
    }
}
