//! What must hold, judged from what callers and targets saw.

use {
    crate::{
        CATCH_UP, START_TIME,
        connection::{Answer, Ended},
        daemons::{Daemon, SERVES_ON},
        world::{ONCE, SHARDS, SINGLES, World},
    },
    rattanturn_core::merge::top_records,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Records of a merged answer, and their length in bytes.
const TOP: usize = 10;
const RECORD_BYTES: usize = 16;
/// Time from an accepted configuration, or a target's leave, until it must be in force: what the
/// platform's rules give.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Window in which repeats are counted: the platform's rules.
const WINDOW: Duration = Duration::from_secs(10);

/// Kinds of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Gather,
    One,
    Once,
}

impl Kind {
    pub(crate) const ALL: [Self; 3] = [Self::Gather, Self::One, Self::Once];

    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Gather => "/all/x",
            Self::One => "/one/x",
            Self::Once => "/once/x",
        }
    }

    /// Longest time to a final answer, as the routes say.
    pub(crate) const fn limit(self) -> Duration {
        match self {
            Self::Gather => Duration::from_secs(2),
            Self::One | Self::Once => Duration::from_millis(1_500),
        }
    }

    /// Names of the services that it may run at.
    const fn prefix(self) -> &'static str {
        match self {
            Self::Gather => "shard-",
            Self::One => "single-",
            Self::Once => ONCE,
        }
    }
}

/// A request and how it ended.
pub(crate) struct Sent {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) daemon: usize,
    pub(crate) incarnation: u32,
    pub(crate) begun: Instant,
    /// When its connection was opened.
    pub(crate) opened: Option<Instant>,
    pub(crate) ended: Ended,
}

/// A configuration and when it was accepted.
pub(crate) struct Edit {
    pub(crate) at: Instant,
    /// Whether the store or its links were disturbed since, so that no time is promised.
    pub(crate) disturbed: bool,
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
    pub(crate) broken: Vec<String>,
    /// Answers by status, and other ends by name.
    pub(crate) ends: BTreeMap<String, u64>,
    requests: BTreeMap<Kind, u64>,
    samples: Vec<Sample>,
    /// Callers at once; each may have a call under way from before a window.
    pub(crate) callers: u64,
    /// Requests that were told that they have not run.
    refused: Vec<(Kind, String)>,
    once: Vec<String>,
    pub(crate) edits: Vec<Edit>,
    /// Configurations that each incarnation of a daemon has shown, and when its answers had come.
    shown: BTreeMap<(usize, u32), Vec<(Instant, usize)>>,
}

impl Checks {
    pub(crate) fn fail(&mut self, what: String) {
        self.broken.push(what);
    }

    /// Judges a request as soon as it has ended.
    pub(crate) fn judge(&mut self, world: &World, daemon: &Daemon, sent: &Sent) {
        let now = Instant::now();
        if sent.kind == Kind::Once {
            self.once.push(sent.id.clone());
        }
        let name = match &sent.ended {
            Ended::Answered(answer) => answer.status.to_string(),
            other => format!("{other:?}"),
        };
        *self.ends.entry(name).or_default() += 1;
        if daemon.incarnation != sent.incarnation || daemon.disturbed(sent.begun, now) {
            // Another process would answer now, or this one stood still: nothing is promised but
            // the truth of what did arrive.
            self.judge_truth(world, sent);
            return;
        }
        let closing = daemon.stopping.is_some_and(|t| now > t + SERVES_ON);
        match &sent.ended {
            Ended::Answered(_) => {}
            Ended::Unconnected | Ended::Closed if closing => {}
            Ended::Unconnected if daemon.started_since(back(now, START_TIME)) => {}
            // The connection was kept from a process that is gone.
            Ended::Closed if sent.opened.is_some_and(|o| daemon.started_since(o)) => {}
            other => self.fail(format!(
                "{:?} {} at {}: {other:?} after {:?}, connection opened {:?} before, daemon {}",
                sent.kind,
                sent.id,
                daemon.name,
                now - sent.begun,
                sent.opened.map(|o| now - o),
                daemon.age()
            )),
        }
        self.judge_truth(world, sent);
        let before = back(sent.begun, IN_FORCE + CATCH_UP);
        let young = daemon.started_since(back(sent.begun, START_TIME));
        self.judge_configuration(world, sent, young || daemon.disturbed(before, now));
    }

    /// Whether an answer is the request's own, whole and true about what is missing.
    fn judge_truth(&mut self, world: &World, sent: &Sent) {
        let Ended::Answered(answer) = &sent.ended else {
            return;
        };
        if answer.status == 503 {
            self.refused.push((sent.kind, sent.id.clone()));
        }
        if answer.status != 200 {
            return;
        }
        let wrong = match sent.kind {
            Kind::Gather => wrong_gather(world, answer),
            Kind::One | Kind::Once => wrong_single(world, sent, answer),
        };
        if let Some(why) = wrong {
            self.fail(format!("{:?} {}: {why}", sent.kind, sent.id));
        }
    }

    /// Whether a configuration is in force in time and never taken back.
    fn judge_configuration(&mut self, world: &World, sent: &Sent, disturbed: bool) {
        let Ended::Answered(answer) = &sent.ended else {
            return;
        };
        if sent.kind != Kind::One || answer.status != 200 {
            return;
        }
        let service = server(world, answer).map(|s| s.shape().service.as_str());
        let Some(used) = SINGLES.iter().position(|s| Some(*s) == service) else {
            return;
        };
        let shown = self
            .shown
            .entry((sent.daemon, sent.incarnation))
            .or_default();
        let before = shown.iter().filter(|(at, _)| *at < sent.begun);
        let newest = before.map(|(_, c)| *c).max().unwrap_or(0);
        if used < newest {
            let text = format!("{}: configuration {used} after {newest}", sent.id);
            self.broken.push(text);
        }
        shown.push((Instant::now(), used));
        let due = |e: &Edit| sent.begun > e.at + IN_FORCE && !e.disturbed;
        let least = self.edits.iter().rposition(due).unwrap_or(0);
        if used < least && !disturbed {
            let since = sent.begun - self.edits[least].at;
            let text = format!(
                "{}: configuration {used}, {least} accepted {since:?} before",
                sent.id
            );
            self.broken.push(text);
        }
    }

    /// Judges what only the targets know, once all calls have ended.
    pub(crate) fn judge_targets(&mut self, world: &World) {
        for id in std::mem::take(&mut self.once) {
            let runs = world.runs(ONCE, &id);
            if runs > 1 {
                self.fail(format!("{id} ran {runs} times"));
            }
        }
        for (kind, id) in std::mem::take(&mut self.refused) {
            let runs = world.runs(kind.prefix(), &id);
            if runs > 0 {
                self.fail(format!(
                    "{kind:?} {id} was told not run and ran {runs} times"
                ));
            }
        }
        self.judge_budgets();
    }

    /// Notes what has been asked and what has arrived so far.
    pub(crate) fn sample(&mut self, world: &World) {
        let mut arrivals: BTreeMap<String, u64> = BTreeMap::new();
        for target in &world.targets {
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
    fn judge_budgets(&mut self) {
        let mut broken = BTreeMap::new();
        for (i, last) in self.samples.iter().enumerate() {
            let within = |s: &&Sample| last.at - s.at <= WINDOW;
            let Some(first) = self.samples[..i].iter().find(within) else {
                continue;
            };
            for (service, count) in &last.arrivals {
                let kind = Kind::ALL
                    .into_iter()
                    .find(|k| service.starts_with(k.prefix()));
                let Some(kind) = kind else { continue };
                let calls = count - first.arrivals.get(service).unwrap_or(&0);
                let asked = |s: &Sample| s.requests.get(&kind).copied().unwrap_or(0);
                let requests = asked(last) - asked(first);
                let allowed = number(requests) * (1.0 + crate::REPEAT_RATIO)
                    + crate::REPEAT_SLACK
                    + number(self.callers);
                if number(calls) > allowed {
                    let text = format!("{service}: {calls} calls for {requests} requests in 10 s");
                    broken.entry(service.clone()).or_insert(text);
                }
            }
        }
        self.broken.extend(broken.into_values());
    }

    /// Counts a request when it is sent.
    pub(crate) fn count(&mut self, kind: Kind) {
        *self.requests.entry(kind).or_default() += 1;
    }

    pub(crate) fn requests(&self) -> u64 {
        self.requests.values().sum()
    }
}

/// An instant before another; the machine may have started later.
fn back(from: Instant, by: Duration) -> Instant {
    from.checked_sub(by).unwrap_or(from)
}

fn number(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

fn server<'a>(
    world: &'a World,
    answer: &Answer,
) -> Option<&'a std::sync::Arc<rattanturn_standins::shard::State>> {
    world.target(&answer.source().signer?)
}

fn wrong_single(world: &World, sent: &Sent, answer: &Answer) -> Option<String> {
    let Some(server) = server(world, answer) else {
        return Some("its signature names no target".into());
    };
    if !server.shape().service.starts_with(sent.kind.prefix()) {
        return Some(format!("answered by {}", server.shape().id));
    }
    if answer.body != server.records() {
        return Some(format!("not the answer of {}", server.shape().id));
    }
    (server.runs(&sent.id) == 0).then(|| format!("it did not run at {}", server.shape().id))
}

fn wrong_gather(world: &World, answer: &Answer) -> Option<String> {
    let source = answer.source();
    let servers: Option<Vec<_>> = source
        .part_signers
        .iter()
        .map(|id| world.target(id))
        .collect();
    let Some(servers) = servers else {
        return Some(format!("unknown targets in {:?}", source.part_signers));
    };
    let services: BTreeSet<&str> = servers.iter().map(|s| s.shape().service.as_str()).collect();
    if services.len() != servers.len() || services.iter().any(|s| !s.starts_with("shard-")) {
        return Some(format!("parts of {services:?}"));
    }
    if source.missing != Some(SHARDS - servers.len()) {
        return Some(format!(
            "{:?} missing claimed, {} parts",
            source.missing,
            servers.len()
        ));
    }
    let records: Vec<Vec<u8>> = servers.iter().map(|s| s.records()).collect();
    let parts: Vec<&[u8]> = records.iter().map(Vec::as_slice).collect();
    (top_records(&parts, RECORD_BYTES, TOP) != answer.body)
        .then(|| "not the greatest records".into())
}
