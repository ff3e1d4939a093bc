//! What must hold, judged from what callers and targets saw.

use {
    crate::{
        CATCH_UP_TIME, START_TIME,
        connection::{Answer, Outcome},
        daemons::{Daemon, MIN_SERVING},
        environment::{Environment, ONCE_SERVICE, SHARD_COUNT, SINGLE_SERVICES},
    },
    rattanturn_core::merge::greatest,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Records of a merged answer, and their length in bytes.
const TOP_K: usize = 10;
const RECORD_BYTES: usize = 16;
/// Time from an accepted configuration, or a target's leave, until it must be in force: what the
/// platform's rules give.
const MAX_PROPAGATION: Duration = Duration::from_secs(3);

/// Window in which repeats are counted: the platform's rules.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Kinds of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Gather,
    Single,
    Once,
}

impl Kind {
    pub(crate) const ALL: [Self; 3] = [Self::Gather, Self::Single, Self::Once];

    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Gather => "/all/x",
            Self::Single => "/one/x",
            Self::Once => "/once/x",
        }
    }

    /// Longest time to a final answer, as the routes say.
    pub(crate) const fn limit(self) -> Duration {
        match self {
            Self::Gather => Duration::from_secs(2),
            Self::Single | Self::Once => Duration::from_millis(1_500),
        }
    }

    /// Names of the services that it may run at.
    const fn service_prefix(self) -> &'static str {
        match self {
            Self::Gather => "shard-",
            Self::Single => "single-",
            Self::Once => ONCE_SERVICE,
        }
    }
}

/// A request and how it ended.
pub(crate) struct Request {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) daemon: usize,
    pub(crate) incarnation: u32,
    pub(crate) sent_at: Instant,
    /// When its connection was opened.
    pub(crate) opened_at: Option<Instant>,
    pub(crate) outcome: Outcome,
}

/// A configuration and when it was accepted.
pub(crate) struct ConfigChange {
    pub(crate) accepted_at: Instant,
    /// Whether the store or its links were disturbed since, so that no time is promised.
    pub(crate) store_fault: bool,
}

/// Requests and calls up to a moment.
struct Sample {
    at: Instant,
    requests: BTreeMap<Kind, u64>,
    /// By service.
    arrivals: BTreeMap<String, u64>,
}

/// What was found so far.
#[derive(Default)]
pub(crate) struct Checks {
    pub(crate) violations: Vec<String>,
    /// Answers by status, and other ends by name.
    pub(crate) outcomes: BTreeMap<String, u64>,
    requests: BTreeMap<Kind, u64>,
    samples: Vec<Sample>,
    /// Callers at once; each may have a call under way from before a window.
    pub(crate) callers: u64,
    /// Requests that were told that they have not run.
    not_executed: Vec<(Kind, String)>,
    once_ids: Vec<String>,
    pub(crate) config_changes: Vec<ConfigChange>,
    /// Configurations that each incarnation of a daemon has observed, and when its answers had come.
    observed: BTreeMap<(usize, u32), Vec<(Instant, usize)>>,
}

impl Checks {
    pub(crate) fn add_violation(&mut self, what: String) {
        self.violations.push(what);
    }

    /// Judges a request as soon as it has ended.
    pub(crate) fn check_request(&mut self, env: &Environment, daemon: &Daemon, request: &Request) {
        let now = Instant::now();
        if request.kind == Kind::Once {
            self.once_ids.push(request.id.clone());
        }
        let name = match &request.outcome {
            Outcome::Answered(answer) => answer.status.to_string(),
            other => format!("{other:?}"),
        };
        *self.outcomes.entry(name).or_default() += 1;
        if daemon.incarnation != request.incarnation || daemon.had_outage(request.sent_at, now) {
            // Another process would answer now, or this one stood still: nothing is promised but
            // the truth of what did arrive.
            self.check_content(env, request);
            return;
        }
        let closing = daemon.stopping.is_some_and(|t| now > t + MIN_SERVING);
        match &request.outcome {
            Outcome::Answered(_) => {}
            Outcome::ConnectFailed | Outcome::Closed if closing => {}
            Outcome::ConnectFailed if daemon.started_since(earlier(now, START_TIME)) => {}
            // The connection was kept from a process that is gone.
            Outcome::Closed if request.opened_at.is_some_and(|o| daemon.started_since(o)) => {}
            other => self.add_violation(format!(
                "{:?} {} at {}: {other:?} after {:?}, connection opened {:?} before, daemon {}",
                request.kind,
                request.id,
                daemon.name,
                now - request.sent_at,
                request.opened_at.map(|o| now - o),
                daemon.lifetime()
            )),
        }
        self.check_content(env, request);
        let before = earlier(request.sent_at, MAX_PROPAGATION + CATCH_UP_TIME);
        let young = daemon.started_since(earlier(request.sent_at, START_TIME));
        self.check_config(env, request, young || daemon.had_outage(before, now));
    }

    /// Whether an answer is the request's own, whole and true about what is missing.
    fn check_content(&mut self, env: &Environment, request: &Request) {
        let Outcome::Answered(answer) = &request.outcome else {
            return;
        };
        if answer.status == 503 {
            self.not_executed.push((request.kind, request.id.clone()));
        }
        if answer.status != 200 {
            return;
        }
        let wrong = match request.kind {
            Kind::Gather => gather_error(env, answer),
            Kind::Single | Kind::Once => single_error(env, request, answer),
        };
        if let Some(why) = wrong {
            self.add_violation(format!("{:?} {}: {why}", request.kind, request.id));
        }
    }

    /// Whether a configuration is in force in time and never taken back.
    fn check_config(&mut self, env: &Environment, request: &Request, disturbed: bool) {
        let Outcome::Answered(answer) = &request.outcome else {
            return;
        };
        if request.kind != Kind::Single || answer.status != 200 {
            return;
        }
        let service = answering_target(env, answer).map(|s| s.shape().service.as_str());
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
            let text = format!("{}: configuration {used} after {newest}", request.id);
            self.violations.push(text);
        }
        observed.push((Instant::now(), used));
        let due =
            |e: &ConfigChange| request.sent_at > e.accepted_at + MAX_PROPAGATION && !e.store_fault;
        let expected = self.config_changes.iter().rposition(due).unwrap_or(0);
        if used < expected && !disturbed {
            let since = request.sent_at - self.config_changes[expected].accepted_at;
            let text = format!(
                "{}: configuration {used}, {expected} accepted {since:?} before",
                request.id
            );
            self.violations.push(text);
        }
    }

    /// Judges what only the targets know, once all calls have ended.
    pub(crate) fn check_targets(&mut self, env: &Environment) {
        for id in std::mem::take(&mut self.once_ids) {
            let runs = env.run_count(ONCE_SERVICE, &id);
            if runs > 1 {
                self.add_violation(format!("{id} ran {runs} times"));
            }
        }
        for (kind, id) in std::mem::take(&mut self.not_executed) {
            let runs = env.run_count(kind.service_prefix(), &id);
            if runs > 0 {
                self.add_violation(format!(
                    "{kind:?} {id} was told not run and ran {runs} times"
                ));
            }
        }
        self.check_budgets();
    }

    /// Notes what has been asked and what has arrived so far.
    pub(crate) fn sample(&mut self, env: &Environment) {
        let mut arrivals: BTreeMap<String, u64> = BTreeMap::new();
        for target in &env.targets {
            let service = target.state.shape().service.clone();
            *arrivals.entry(service).or_default() += target.state.arrivals();
        }
        self.samples.push(Sample {
            at: Instant::now(),
            requests: self.requests.clone(),
            arrivals,
        });
    }

    /// Judges the calls of each service in all windows.
    fn check_budgets(&mut self) {
        let mut broken = BTreeMap::new();
        for (i, last) in self.samples.iter().enumerate() {
            let within = |s: &&Sample| last.at - s.at <= BUDGET_WINDOW;
            let Some(first) = self.samples[..i].iter().find(within) else {
                continue;
            };
            for (service, count) in &last.arrivals {
                let kind = Kind::ALL
                    .into_iter()
                    .find(|k| service.starts_with(k.service_prefix()));
                let Some(kind) = kind else { continue };
                let calls = count - first.arrivals.get(service).unwrap_or(&0);
                let asked = |s: &Sample| s.requests.get(&kind).copied().unwrap_or(0);
                let requests = asked(last) - asked(first);
                let allowed = to_f64(requests) * (1.0 + crate::EXTRA_CALL_RATIO)
                    + crate::EXTRA_CALL_SLACK
                    + to_f64(self.callers);
                if to_f64(calls) > allowed {
                    let text = format!("{service}: {calls} calls for {requests} requests in 10 s");
                    broken.entry(service.clone()).or_insert(text);
                }
            }
        }
        self.violations.extend(broken.into_values());
    }

    /// Counts a request when it is sent.
    pub(crate) fn count_request(&mut self, kind: Kind) {
        *self.requests.entry(kind).or_default() += 1;
    }

    pub(crate) fn total_requests(&self) -> u64 {
        self.requests.values().sum()
    }
}

/// An instant before another; the machine may have started later.
fn earlier(from: Instant, by: Duration) -> Instant {
    from.checked_sub(by).unwrap_or(from)
}

fn to_f64(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

fn answering_target<'a>(
    env: &'a Environment,
    answer: &Answer,
) -> Option<&'a std::sync::Arc<rattanturn_standins::shard::State>> {
    env.find_target(&answer.seals().signer?)
}

fn single_error(env: &Environment, request: &Request, answer: &Answer) -> Option<String> {
    let Some(server) = answering_target(env, answer) else {
        return Some("its signature names no target".into());
    };
    if !server
        .shape()
        .service
        .starts_with(request.kind.service_prefix())
    {
        return Some(format!("answered by {}", server.shape().id));
    }
    if answer.body != server.records() {
        return Some(format!("not the answer of {}", server.shape().id));
    }
    (server.runs(&request.id) == 0).then(|| format!("it did not run at {}", server.shape().id))
}

fn gather_error(env: &Environment, answer: &Answer) -> Option<String> {
    let signed = answer.seals();
    let servers: Option<Vec<_>> = signed
        .signers
        .iter()
        .map(|id| env.find_target(id))
        .collect();
    let Some(servers) = servers else {
        return Some(format!("unknown targets in {:?}", signed.signers));
    };
    let services: BTreeSet<&str> = servers.iter().map(|s| s.shape().service.as_str()).collect();
    if services.len() != servers.len() || services.iter().any(|s| !s.starts_with("shard-")) {
        return Some(format!("parts of {services:?}"));
    }
    if signed.missing != Some(SHARD_COUNT - servers.len()) {
        return Some(format!(
            "{:?} missing claimed, {} parts",
            signed.missing,
            servers.len()
        ));
    }
    let records: Vec<Vec<u8>> = servers.iter().map(|s| s.records()).collect();
    let parts: Vec<&[u8]> = records.iter().map(Vec::as_slice).collect();
    (greatest(&parts, RECORD_BYTES, TOP_K) != answer.body)
        .then(|| "not the greatest records".into())
}
