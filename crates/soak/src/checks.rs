//! Invariants of a run, checked only from what callers and targets observe.
//!
//! An answer is checked as soon as it arrives. How often a request ran, and how many calls a
//! service received, is known to the targets alone: the first is checked at the end of a run, the
//! second from samples taken while it lasts. The checks ask no daemon about its own state, so a
//! daemon that misreports itself cannot hide a violation.

use {
    crate::{
        CATCH_UP_TIME, START_TIME,
        accounts::{AccountChecks, Accounts},
        connection::{Answer, Outcome},
        daemons::{Daemon, MIN_SERVING},
        environment::{
            Environment, LETTER_SERVICE, LONG_LIMIT, LONG_SERVICE, ONCE_SERVICE, SHARD_COUNT,
            SINGLE_SERVICES, WIDE_SERVICES,
        },
        rollouts::OrderChecks,
        stop_checks::StopChecks,
    },
    rattanturn_core::merge::top_records,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Records in the answer to a gathered request: the greatest ones of all its parts.
const TOP_K: usize = 10;
/// Length of each record, which has no separator.
const RECORD_BYTES: usize = 16;
/// Longest time from the store's acceptance of a configuration until every daemon must use it. The
/// platform's rules set it, also for the removal of a target.
pub(crate) const MAX_PROPAGATION: Duration = Duration::from_secs(3);

/// Sliding window in which the platform's rules limit the extra calls (retries and hedges) of a
/// service.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Time after a request's last byte within which a connection that closes has crossed the request,
/// so that the daemon need not have read it. The platform's rules set it.
pub(crate) const CROSSING_TIME: Duration = Duration::from_millis(200);

/// The route that a request takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RequestKind {
    /// A scatter-gather over all shards; the answer merges their records.
    Gather,
    /// An idempotent request to one target. Each configuration names another service for it, so its
    /// answer shows which configuration the daemon used.
    Single,
    /// A request to one target that must not run twice.
    Once,
    /// As `Single`, `Once` and `Gather`, of services whose requests may run for seconds. Only runs
    /// with stops have them.
    Long,
    Letter,
    Wide,
}

impl RequestKind {
    pub(crate) const ALL: [Self; 3] = [Self::Gather, Self::Single, Self::Once];
    pub(crate) const LONG: [Self; 3] = [Self::Long, Self::Letter, Self::Wide];

    /// Path of a request. The number selects one of the paths of the route, which lead to the same
    /// services.
    pub(crate) fn path(self, number: u64) -> String {
        let name = if number.is_multiple_of(2) { "x" } else { "y" };
        let route = self.route();
        format!("{route}{name}")
    }

    pub(crate) const fn route(self) -> &'static str {
        match self {
            Self::Gather => "/all/",
            Self::Single => "/one/",
            Self::Once => "/once/",
            Self::Long => "/long/",
            Self::Letter => "/letter/",
            Self::Wide => "/wide/",
        }
    }

    /// The kind of the requests that a service gets.
    pub(crate) fn of_service(service: &str) -> Option<Self> {
        let mut all = Self::ALL.into_iter().chain(Self::LONG);
        all.find(|k| service.starts_with(k.service_prefix()))
    }

    /// The route's time limit, within which the daemon must give a final answer.
    pub(crate) const fn limit(self) -> Duration {
        match self {
            Self::Gather => Duration::from_secs(2),
            Self::Single | Self::Once => Duration::from_millis(1_500),
            Self::Long | Self::Letter | Self::Wide => LONG_LIMIT,
        }
    }

    /// Prefix of the names of the services that may run it.
    pub(crate) const fn service_prefix(self) -> &'static str {
        match self {
            Self::Gather => "shard-",
            Self::Single => "single-",
            Self::Once => ONCE_SERVICE,
            Self::Long => LONG_SERVICE,
            Self::Letter => LETTER_SERVICE,
            Self::Wide => "wide-",
        }
    }

    /// Whether its requests must not run twice.
    pub(crate) const fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::Letter)
    }

    /// Number of services that a gathered request needs.
    const fn shard_count(self) -> usize {
        match self {
            Self::Wide => WIDE_SERVICES.len(),
            _ => SHARD_COUNT,
        }
    }
}

/// A caller's request and its outcome.
pub(crate) struct Request {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    /// Index of the daemon that it was sent to.
    pub(crate) daemon: usize,
    /// Incarnation of that daemon when the request was sent.
    pub(crate) incarnation: u32,
    pub(crate) key: Option<String>,
    pub(crate) sent_at: Instant,
    /// When the caller last opened a connection; `None` if it has never had one.
    pub(crate) opened_at: Option<Instant>,
    /// When the whole request was written; `None` if it was not.
    pub(crate) written_at: Option<Instant>,
    /// Number of copies of a target's records that its answer must hold.
    pub(crate) copies: usize,
    pub(crate) outcome: Outcome,
}

/// A configuration that the store has accepted.
pub(crate) struct ConfigChange {
    /// Index of the service of the route `/one/`.
    pub(crate) number: usize,
    pub(crate) accounts: Option<Accounts>,
    pub(crate) accepted_at: Instant,
    /// From when on every daemon must use it; `None` while a fault holds it up.
    pub(crate) due: Option<Instant>,
}

/// When configurations must be in force, beside faults of the store and of the links that
/// configurations take.
#[derive(Default)]
pub(crate) struct ConfigSchedule {
    pub(crate) changes: Vec<ConfigChange>,
    /// Number of faults that last.
    faults: usize,
    /// When the last fault ended.
    calm_since: Option<Instant>,
}

impl ConfigSchedule {
    /// Adds a configuration that the store has just accepted.
    pub(crate) fn accept(&mut self, number: usize, accounts: Option<Accounts>) {
        let now = Instant::now();
        let caught_up = self.calm_since.map(|at| at + CATCH_UP_TIME);
        let due = caught_up.max(Some(now + MAX_PROPAGATION));
        self.changes.push(ConfigChange {
            number,
            accounts,
            accepted_at: now,
            due: due.filter(|_| self.faults == 0),
        });
    }

    /// A fault begins: configurations that may still be spreading have no time limit meanwhile.
    pub(crate) fn begin_fault(&mut self, now: Instant) {
        self.faults += 1;
        for change in &mut self.changes {
            change.due = change.due.filter(|due| *due <= now);
        }
    }

    /// A fault ends: after the last one, daemons have [`CATCH_UP_TIME`] for what they missed.
    pub(crate) fn end_fault(&mut self, now: Instant) {
        self.faults -= 1;
        if self.faults > 0 {
            return;
        }
        self.calm_since = Some(now);
        for change in &mut self.changes {
            change.due = change.due.or(Some(now + CATCH_UP_TIME));
        }
    }
}

/// Totals since the start of the run.
struct Sample {
    at: Instant,
    requests: BTreeMap<RequestKind, u64>,
    /// Calls that arrived at the targets of each service.
    arrivals: BTreeMap<String, u64>,
}

/// The observations of a run and the violations found in them.
#[derive(Default)]
pub(crate) struct Checks {
    pub(crate) violations: Vec<String>,
    /// Count of requests by outcome: the status of an answer, or the name of the failure.
    pub(crate) outcomes: BTreeMap<String, u64>,
    requests: BTreeMap<RequestKind, u64>,
    samples: Vec<Sample>,
    /// Concurrent callers. Each may have one request in flight when a budget window begins, whose
    /// call is then counted without its request.
    pub(crate) callers: u64,
    /// Requests that must not have run, and why.
    not_executed: Vec<(RequestKind, String, String)>,
    /// Requests that must not run twice.
    once_ids: Vec<(RequestKind, String)>,
    pub(crate) config: ConfigSchedule,
    pub(crate) accounts: AccountChecks,
    pub(crate) orders: OrderChecks,
    pub(crate) stops: StopChecks,
    /// Whether accounts or versions have to be checked at the targets.
    pub(crate) records_calls: bool,
    /// Whether the last fault has been undone for as long as the daemons may feel it.
    pub(crate) calm: bool,
    /// Numbers of the configurations that answers showed, and when the answers arrived, for each
    /// daemon and incarnation.
    observed: BTreeMap<(usize, u32), Vec<(Instant, usize)>>,
}

impl Checks {
    pub(crate) fn add_violation(&mut self, text: String) {
        self.violations.push(text);
    }

    pub(crate) fn count_outcome(&mut self, name: String) {
        *self.outcomes.entry(name).or_default() += 1;
    }

    /// Notes a request that must not run twice, whatever its outcome.
    pub(crate) fn note_once(&mut self, kind: RequestKind, id: &str) {
        if kind.runs_once() {
            self.once_ids.push((kind, id.to_owned()));
        }
    }

    /// Checks a request's outcome; call it as soon as the request has ended.
    pub(crate) fn check_request(&mut self, env: &Environment, daemon: &Daemon, request: &Request) {
        let now = Instant::now();
        self.note_once(request.kind, &request.id);
        self.count_outcome(request.outcome.name());
        let from = earlier(request.sent_at, MAX_PROPAGATION + CATCH_UP_TIME);
        let starting = daemon.started_since(earlier(request.sent_at, START_TIME));
        let exempt = starting || daemon.had_outage(from, now);
        if self.check_key(request, exempt) {
            let reason = "its key is unknown or was revoked".into();
            self.not_executed
                .push((request.kind, request.id.clone(), reason));
        }
        self.check_content(env, request);
        if daemon.was_disturbed(request.sent_at, now) {
            // The process was killed or stalled during the request, so the request may fail. An
            // answer that did arrive must still be correct.
            return;
        }
        self.check_usual_lost_answer(daemon, request);
        let stop = daemon.stop_of(request.incarnation);
        let unlisted = daemon.incarnation != request.incarnation
            || !daemon.is_running()
            || stop.is_some_and(|t| now > t + MIN_SERVING);
        match &request.outcome {
            Outcome::Answered(_) => {}
            Outcome::ConnectFailed if unlisted => {}
            Outcome::ConnectFailed if daemon.started_since(earlier(now, START_TIME)) => {}
            // The kept-alive connection belonged to the daemon's previous process.
            Outcome::Closed if request.opened_at.is_some_and(|o| daemon.started_since(o)) => {}
            Outcome::Closed if self.crossed_close(env, daemon, request) => {}
            other => self.add_violation(format!(
                "{:?} request {} to {}: expected an answer, got {other:?} after {:?}; \
                 the caller last opened a connection {:?} before that; the daemon {}",
                request.kind,
                request.id,
                daemon.name,
                now - request.sent_at,
                request.opened_at.map(|o| now - o),
                daemon.lifetime()
            )),
        }
        if daemon.incarnation == request.incarnation {
            self.check_config(env, request, exempt);
        }
    }

    /// Whether a request that has just ended without any byte of an answer crossed the close of its
    /// connection by a daemon that closes: the daemon may not have read it. No target may have seen
    /// it then, nor see it later.
    pub(crate) fn crossed_close(
        &mut self,
        env: &Environment,
        daemon: &Daemon,
        request: &Request,
    ) -> bool {
        let in_time = request
            .written_at
            .is_none_or(|at| at.elapsed() <= CROSSING_TIME);
        let runs = env.run_count(request.kind.service_prefix(), &request.id);
        let crossed = daemon.is_closing(request.incarnation) && in_time && runs == 0;
        if crossed {
            let reason = "it crossed the close of its connection".into();
            self.not_executed
                .push((request.kind, request.id.clone(), reason));
        }
        crossed
    }

    /// Checks that an answer belongs to its request, that its body is complete, and that it reports
    /// the number of missing parts correctly.
    pub(crate) fn check_content(&mut self, env: &Environment, request: &Request) {
        let Outcome::Answered(answer) = &request.outcome else {
            return;
        };
        if let Some(other) = answer.request_id().filter(|id| *id != request.id) {
            let text = format!("request {}: got the answer to request {other}", request.id);
            self.add_violation(text);
            return;
        }
        if matches!(answer.status, 401 | 408 | 421 | 429 | 503) {
            let reason = format!("answered with {}", answer.status);
            self.not_executed
                .push((request.kind, request.id.clone(), reason));
        }
        if answer.status != 200 {
            return;
        }
        let error = match request.kind {
            RequestKind::Gather | RequestKind::Wide => gather_error(env, request.kind, answer),
            _ => single_error(env, request, answer),
        };
        if let Some(error) = error {
            self.add_violation(format!(
                "{:?} request {}: {error}",
                request.kind, request.id
            ));
        }
    }

    /// Checks that a daemon uses each configuration in time and never returns to an older one.
    ///
    /// `exempt` lifts the time limit, for a daemon that is starting or had an outage.
    fn check_config(&mut self, env: &Environment, request: &Request, exempt: bool) {
        let Outcome::Answered(answer) = &request.outcome else {
            return;
        };
        if request.kind != RequestKind::Single || answer.status != 200 {
            return;
        }
        let service = answering_target(env, answer).map(|s| s.config().service.as_str());
        let Some(used) = SINGLE_SERVICES.iter().position(|s| Some(*s) == service) else {
            return;
        };
        let observed = self
            .observed
            .entry((request.daemon, request.incarnation))
            .or_default();
        let before = observed.iter().filter(|(at, _)| *at < request.sent_at);
        let newest = before.map(|(_, c)| *c).max().unwrap_or(0);
        if used < newest {
            let text = format!(
                "request {}: answered under configuration {used}, after the same daemon process \
                 had already answered under configuration {newest}",
                request.id
            );
            self.violations.push(text);
        }
        observed.push((Instant::now(), used));
        let is_due = |e: &ConfigChange| e.due.is_some_and(|due| request.sent_at > due);
        let changes = &self.config.changes;
        let due = changes.iter().rposition(is_due).unwrap_or(0);
        let expected = changes[due].number;
        if used < expected && !exempt {
            let since = request.sent_at - changes[due].accepted_at;
            let text = format!(
                "request {}: answered under configuration {used}; expected {expected} or later, \
                 which the store had accepted {since:?} before the request was sent",
                request.id
            );
            self.violations.push(text);
        }
    }

    /// Checks what only the targets know; call it once all calls have ended.
    pub(crate) fn check_targets(&mut self, env: &Environment, daemons: &[Daemon]) {
        for (kind, id) in std::mem::take(&mut self.once_ids) {
            let runs = env.run_count(kind.service_prefix(), &id);
            if runs > 1 {
                self.add_violation(format!(
                    "request {id}: must run at most once, but ran {runs} times at targets"
                ));
            }
        }
        self.check_not_executed(env);
        self.check_budgets();
        self.check_quotas(daemons);
        self.check_orders(env, daemons);
        self.report_stops();
    }

    /// Checks that requests of which callers may assume so have not run; lists those of one reason
    /// together.
    fn check_not_executed(&mut self, env: &Environment) {
        let mut found: BTreeMap<(RequestKind, String), Vec<String>> = BTreeMap::new();
        for (kind, id, reason) in std::mem::take(&mut self.not_executed) {
            let runs = env.run_count(kind.service_prefix(), &id);
            if runs > 0 {
                let text = format!("{id} ({runs} times)");
                found.entry((kind, reason)).or_default().push(text);
            }
        }
        for ((kind, reason), ids) in found {
            self.add_violation(format!(
                "{} {kind:?} requests must not run ({reason}), but ran at targets: {}",
                ids.len(),
                ids.join(", ")
            ));
        }
    }

    /// Records how many requests were sent and how many calls arrived at targets so far.
    pub(crate) fn sample(&mut self, env: &Environment) {
        let mut arrivals: BTreeMap<String, u64> = BTreeMap::new();
        for target in &env.targets {
            let service = target.state.config().service.clone();
            if self.records_calls {
                for call in target.state.take_calls() {
                    let config = target.state.config();
                    self.check_call(&config.id, &call);
                    self.note_call(config, &call);
                }
            }
            *arrivals.entry(service).or_default() += target.state.arrivals();
        }
        self.samples.push(Sample {
            at: Instant::now(),
            requests: self.requests.clone(),
            arrivals,
        });
    }

    /// Checks the extra calls of each service in each window that the samples allow, and reports at
    /// most one violation a service.
    fn check_budgets(&mut self) {
        let mut exceeded = BTreeMap::new();
        for (i, last) in self.samples.iter().enumerate() {
            let within = |s: &&Sample| last.at - s.at <= BUDGET_WINDOW;
            let Some(first) = self.samples[..i].iter().find(within) else {
                continue;
            };
            for (service, count) in &last.arrivals {
                let Some(kind) = RequestKind::of_service(service) else {
                    continue;
                };
                let calls = count - first.arrivals.get(service).unwrap_or(&0);
                let sent = |s: &Sample| s.requests.get(&kind).copied().unwrap_or(0);
                let requests = sent(last) - sent(first);
                let allowed = to_f64(requests) * (1.0 + crate::EXTRA_CALL_RATIO)
                    + crate::EXTRA_CALL_SLACK
                    + to_f64(self.callers);
                if to_f64(calls) > allowed {
                    let text = format!(
                        "service {service}: targets received {calls} calls for {requests} requests \
                         within 10 s, more than the budget for extra calls allows"
                    );
                    exceeded.entry(service.clone()).or_insert(text);
                }
            }
        }
        self.violations.extend(exceeded.into_values());
    }

    /// Counts a request; call it just before the request is sent.
    pub(crate) fn count_request(&mut self, kind: RequestKind) {
        *self.requests.entry(kind).or_default() += 1;
    }

    pub(crate) fn total_requests(&self) -> u64 {
        self.requests.values().sum()
    }
}

/// `from` less `by`, or `from` itself where the clock of a machine that booted recently does not
/// reach back that far.
fn earlier(from: Instant, by: Duration) -> Instant {
    from.checked_sub(by).unwrap_or(from)
}

pub(crate) fn to_f64(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

/// The target that signed an answer; `None` if there is no such target.
fn answering_target<'a>(
    env: &'a Environment,
    answer: &Answer,
) -> Option<&'a std::sync::Arc<rattanturn_standins::shard::State>> {
    env.find_target(&answer.source().signer?)
}

/// What is wrong with an answer that one target gave, if anything.
fn single_error(env: &Environment, request: &Request, answer: &Answer) -> Option<String> {
    let Some(target) = answering_target(env, answer) else {
        return Some("expected the signature of a known target".into());
    };
    if !target
        .config()
        .service
        .starts_with(request.kind.service_prefix())
    {
        return Some(format!(
            "expected a target of the request's route, answered by {}",
            target.config().id
        ));
    }
    if answer.body != target.records().repeat(request.copies) {
        return Some(format!(
            "expected the records of {}, which signed the answer; got another body",
            target.config().id
        ));
    }
    (target.runs(&request.id) == 0)
        .then(|| format!("the signing target {} did not run it", target.config().id))
}

/// What is wrong with an answer that merges the parts of several shards, if anything.
fn gather_error(env: &Environment, kind: RequestKind, answer: &Answer) -> Option<String> {
    let source = answer.source();
    let targets: Option<Vec<_>> = source
        .part_signers
        .iter()
        .map(|id| env.find_target(id))
        .collect();
    let Some(targets) = targets else {
        return Some(format!(
            "expected signatures of known targets, got signatures of {:?}",
            source.part_signers
        ));
    };
    let services: BTreeSet<&str> = targets
        .iter()
        .map(|s| s.config().service.as_str())
        .collect();
    if services.len() != targets.len()
        || services
            .iter()
            .any(|s| !s.starts_with(kind.service_prefix()))
    {
        return Some(format!(
            "expected at most one part from each shard, got parts from {services:?}"
        ));
    }
    if source.missing != kind.shard_count().checked_sub(targets.len()) {
        return Some(format!(
            "the answer claims {:?} missing parts but holds {} parts",
            source.missing,
            targets.len()
        ));
    }
    let records: Vec<Vec<u8>> = targets.iter().map(|s| s.records()).collect();
    let parts: Vec<&[u8]> = records.iter().map(Vec::as_slice).collect();
    (top_records(&parts, RECORD_BYTES, TOP_K) != answer.body)
        .then(|| "the body does not hold the top records of the answering shards".into())
}
