//! The quotas of accounts, shared by all threads of a daemon.
//!
//! Traffic asks before it runs a request of an account with a limit; control exchanges tokens with
//! other daemons. Requests of accounts without a limit take no lock.

use {
    crate::{clock, tier::meters},
    rattanturn_core::{
        NodeId, Time,
        accounts::Account,
        allowance::{
            ASK_AGAIN, Allowance, Ask, Lent, Limit, Permit, Returned, Rules, Standing, Take,
        },
        line_limit::LineLimit,
    },
    rattanturn_tables::QuotaSettings,
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashMap},
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{Notify, futures::OwnedNotified},
        time::timeout,
    },
};

/// Longest wait of a request for tokens.
const MAX_WAIT: Duration = Duration::from_millis(60);
/// Part of a route's latency goal that a request may wait.
const GOAL_PART: u32 = 4;
/// Most accounts that are counted by name; the others count together.
const MAX_NAMES: usize = 512;
/// Name under which the others are counted. The platform's names of accounts have no such form.
const OTHER_NAMES: &str = "(other)";
/// Name under which requests without an account are counted.
const NO_ACCOUNT: &str = "(none)";
/// Most log lines on refusals in a second.
const MAX_LOG_LINES: u32 = 3;

/// The quotas of one daemon.
#[derive(Debug)]
pub(crate) struct SharedQuotas {
    rules: Rules,
    state: Mutex<Inner>,
    /// Wakes control when there is something to ask other daemons for.
    news: Notify,
}

#[derive(Debug)]
struct Inner {
    allowance: Allowance,
    /// Wakes the requests of an account that wait for tokens.
    waiting: HashMap<String, Arc<Notify>>,
    counts: BTreeMap<String, Counts>,
    log: LineLimit,
}

/// Requests of an account at this daemon.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    taken: u64,
    given_back: u64,
    refused: u64,
    waited: u64,
    no_room: u64,
}

/// What happened to a request under overload.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OverloadEvent {
    /// It waited for its turn.
    Waited,
    /// It was refused and has not run.
    Refused,
}

impl Inner {
    fn count(&mut self, account: &str, change: impl FnOnce(&mut Counts)) {
        let known = self.counts.contains_key(account) || self.counts.len() < MAX_NAMES;
        let name = if known { account } else { OTHER_NAMES };
        change(self.counts.entry(name.to_owned()).or_default());
    }

    /// Name under which an account is counted.
    fn label(&self, account: &str) -> String {
        let known = self.counts.contains_key(account);
        if known { account } else { OTHER_NAMES }.to_owned()
    }
}

/// What a request has to do, with what it waits on.
enum Step {
    Run(Permit),
    Refuse(Duration),
    Wait(OwnedNotified),
}

impl SharedQuotas {
    pub(crate) fn new(me: NodeId, settings: QuotaSettings) -> Self {
        let rules = Rules {
            window: settings.window,
            overshoot: settings.overshoot,
            slack: settings.slack,
        };
        Self {
            rules,
            state: Mutex::new(Inner {
                allowance: Allowance::new(me, rules, clock::now()),
                waiting: HashMap::new(),
                counts: BTreeMap::new(),
                log: LineLimit::new(MAX_LOG_LINES),
            }),
            news: Notify::new(),
        }
    }

    /// Takes a token for a request, and waits for it if needed.
    ///
    /// # Errors
    ///
    /// The account is over its limit; the time says when it may have a token.
    pub(crate) async fn admit(
        &self,
        account: &Account,
        goal: Option<Duration>,
        deadline: Time,
    ) -> Result<Option<QuotaPermit<'_>>, Duration> {
        let Some(limit) = Limit::of(account) else {
            return Ok(None);
        };
        let name = account.name.as_str();
        let longest = goal.map_or(MAX_WAIT, |goal| MAX_WAIT.min(goal / GOAL_PART));
        let end = deadline.min(clock::now() + longest);
        let mut first = true;
        loop {
            let after = match self.step(name, limit, first) {
                Step::Run(permit) => {
                    return Ok(Some(QuotaPermit {
                        quotas: self,
                        account: name.to_owned(),
                        permit,
                        kept: false,
                    }));
                }
                Step::Refuse(after) => after,
                Step::Wait(answered) => {
                    let _waiting = Waiting {
                        quotas: self,
                        account: name,
                    };
                    let left = end.since(clock::now());
                    // Whether the answer came or not, the request asks again.
                    let _ = timeout(left.min(ASK_AGAIN), answered).await;
                    if clock::now() < end {
                        first = false;
                        continue;
                    }
                    self.with(|s| s.allowance.retry_time(clock::now(), name))
                }
            };
            self.record_refusal(name, limit);
            return Err(after);
        }
    }

    fn step(&self, account: &str, limit: Limit, first: bool) -> Step {
        let now = clock::now();
        let (step, news) = self.with(|s| {
            let take = s.allowance.take(now, account, limit, first);
            let step = match take {
                Take::Run(permit) => {
                    s.count(account, |c| c.taken += 1);
                    meters::count_account(s.label(account), "taken");
                    Step::Run(permit)
                }
                Take::Refuse(after) => Step::Refuse(after),
                Take::Wait => {
                    let notify = s.waiting.entry(account.to_owned()).or_default();
                    Step::Wait(notify.clone().notified_owned())
                }
            };
            (step, s.allowance.take_news())
        });
        if news {
            self.news.notify_one();
        }
        step
    }

    fn record_refusal(&self, account: &str, limit: Limit) {
        let line = self.with(|s| {
            s.count(account, |c| c.refused += 1);
            meters::count_account(s.label(account), "refused");
            s.log.admit(clock::now())
        });
        if let Some(left_out) = line {
            tracing::warn!(
                account,
                limit = limit.rate,
                burst = limit.burst,
                window_s = self.rules.window.as_secs_f64(),
                left_out,
                "a request over the account's limit was refused"
            );
        }
    }

    /// Counts what happened to a request of an account under overload; the name is empty for one
    /// without an account.
    pub(crate) fn record_overload(&self, account: &str, event: OverloadEvent) {
        let account = if account.is_empty() {
            NO_ACCOUNT
        } else {
            account
        };
        self.with(|s| {
            s.count(account, |c| match event {
                OverloadEvent::Waited => c.waited += 1,
                OverloadEvent::Refused => c.no_room += 1,
            });
            let outcome = match event {
                OverloadEvent::Waited => "waited",
                OverloadEvent::Refused => "no-room",
            };
            meters::count_account(s.label(account), outcome);
        });
    }

    /// Waits until there is something to ask other daemons for.
    pub(crate) async fn wait_news(&self) {
        self.news.notified().await;
    }

    /// Whether to ask owners again after [`ASK_AGAIN`].
    pub(crate) fn has_open_asks(&self) -> bool {
        self.with(|s| s.allowance.has_open_asks())
    }

    /// What to ask each owner for now.
    pub(crate) fn asks(&self) -> BTreeMap<NodeId, Vec<Ask>> {
        self.with(|s| s.allowance.asks(clock::now()))
    }

    /// What to return to each owner now.
    pub(crate) fn returns(&self) -> BTreeMap<NodeId, Vec<Returned>> {
        self.with(|s| s.allowance.returns(clock::now()))
    }

    /// Takes back what another daemon returns.
    pub(crate) fn take_back(&self, from: NodeId, list: &[Returned]) {
        self.with(|s| s.allowance.take_back(clock::now(), from, list));
    }

    /// Answers the questions of another daemon.
    pub(crate) fn answer(
        &self,
        from: NodeId,
        asks: &[Ask],
        limit_of: impl Fn(&str) -> Option<Limit>,
    ) -> Vec<Lent> {
        self.with(|s| s.allowance.answer(clock::now(), from, asks, limit_of))
    }

    /// Takes in an owner's answers, and wakes the requests that wait for them.
    pub(crate) fn accept(&self, answers: &[Lent]) {
        self.with(|s| {
            s.allowance.accept(clock::now(), answers);
            for lent in answers {
                if let Some(waiting) = s.waiting.remove(&lent.account) {
                    waiting.notify_waiters();
                }
            }
        });
    }

    /// Sets the advertised daemons, this daemon's share of the overdrafts and how many it reaches.
    pub(crate) fn set_daemons(&self, advertised: &[NodeId], fraction: f64, standing: Standing) {
        let now = clock::now();
        self.with(|s| {
            s.allowance.set_daemons(now, advertised, fraction, standing);
        });
    }

    /// Periodic work.
    pub(crate) fn tick(&self, limit_of: impl Fn(&str) -> Option<Limit>) {
        self.with(|s| {
            s.allowance.tick(clock::now(), limit_of);
            s.waiting.retain(|_, notify| Arc::strong_count(notify) > 1);
        });
    }

    /// The accounts in use, for the state dump. `owner_of` gives the name of an account's owner.
    pub(crate) fn dump(
        &self,
        limit_of: impl Fn(&str) -> Option<Limit>,
        owner_of: impl Fn(&str) -> String,
    ) -> Vec<Value> {
        self.with(|s| {
            let names = s.counts.keys().map(String::as_str);
            let mut names: Vec<&str> = names.chain(s.allowance.in_use()).collect();
            names.sort_unstable();
            names.dedup();
            names.truncate(MAX_NAMES);
            let row = |name: &str| {
                let counts = s.counts.get(name).copied().unwrap_or_default();
                let limit = limit_of(name);
                let (leased, unpaid) = s.allowance.leased(name);
                let owned = s.allowance.owned(name);
                json!({
                    "account": name,
                    "rate": limit.map(|l| l.rate),
                    "burst": limit.map(|l| l.burst),
                    "ran": counts.taken.saturating_sub(counts.given_back),
                    "refused": counts.refused,
                    "waited": counts.waited,
                    "no_room": counts.no_room,
                    "leased": leased,
                    "unpaid": unpaid,
                    "owner": owner_of(name),
                    "tokens": owned.map(|o| o.0),
                    "lent": owned.map(|o| o.1),
                })
            };
            names.into_iter().map(row).collect()
        })
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        f(&mut state)
    }
}

/// A request that waits. Dropping it, also because its caller left, ends the wait.
struct Waiting<'a> {
    quotas: &'a SharedQuotas,
    account: &'a str,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.quotas.with(|s| s.allowance.end_wait(self.account));
    }
}

/// A token that a request has taken. Dropping it gives the token back, unless it is kept.
#[derive(Debug)]
pub(crate) struct QuotaPermit<'a> {
    quotas: &'a SharedQuotas,
    account: String,
    permit: Permit,
    kept: bool,
}

impl QuotaPermit<'_> {
    /// Notes that a target may have run the request.
    pub(crate) fn keep(&mut self) {
        self.kept = true;
    }
}

impl Drop for QuotaPermit<'_> {
    fn drop(&mut self) {
        if self.kept {
            return;
        }
        let account = self.account.as_str();
        self.quotas.with(|s| {
            s.allowance.refund(clock::now(), account, self.permit);
            s.count(account, |c| c.given_back += 1);
        });
    }
}
