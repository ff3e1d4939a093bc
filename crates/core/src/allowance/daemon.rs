//! The quotas of one daemon: the accounts that it owns and the tokens that it leases of others.

use {
    super::{
        Ask, Borrower, Grant, Limit, Owner, Permit, Returned, Rules, Standing, Take, owner_of,
    },
    crate::{NodeId, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Interval of dropping the state of unused accounts.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(2);

/// An owner's answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lent {
    /// Name of the account.
    pub account: String,
    /// Number of tokens.
    pub tokens: u32,
    /// Number of the question.
    pub seq: u32,
    /// Milliseconds for which the tokens can be used, from the question on. 0 if the sender does not
    /// own the account.
    pub life_ms: u64,
    /// If there is no token: milliseconds until there is one.
    pub retry_ms: u64,
}

/// The quotas of one daemon.
#[derive(Debug)]
pub struct Allowance {
    me: NodeId,
    rules: Rules,
    /// The advertised daemons.
    daemons: Vec<NodeId>,
    owner: Owner,
    borrower: Borrower,
    expired_at: Time,
}

impl Allowance {
    /// Creates the state of a daemon that started at a time and knows no others yet.
    #[must_use]
    pub fn new(me: NodeId, rules: Rules, started: Time) -> Self {
        Self {
            me,
            rules,
            daemons: Vec::new(),
            owner: Owner::new(me, rules, started),
            borrower: Borrower::new(rules, started),
            expired_at: Time::ZERO,
        }
    }

    /// Sets the advertised daemons, this daemon's share of the overdrafts and how many daemons it
    /// reaches.
    pub fn set_daemons(
        &mut self,
        now: Time,
        advertised: &[NodeId],
        fraction: f64,
        standing: Standing,
    ) {
        self.daemons = advertised.to_vec();
        self.owner.set_daemons(now, advertised);
        self.owner.set_standing(now, standing);
        self.borrower.set_fraction(fraction);
    }

    /// Asks for the right to run a request, see [`Borrower::take`]. A request that waits asks again
    /// after each answer and after [`super::ASK_AGAIN`].
    ///
    /// ```
    /// use rattanturn_core::{NodeId, Time, allowance::{Allowance, Limit, Rules, Standing, Take}};
    /// let rules = Rules { window: std::time::Duration::from_secs(5), overshoot: 0.1, slack: 20.0 };
    /// let mut all = Allowance::new(NodeId(1), rules, Time::ZERO);
    /// let now = Time::from_millis(5_000);
    /// all.set_daemons(now, &[NodeId(1)], 1.0, Standing { alive: 1, registered: 1 });
    /// let limit = Limit { rate: 1.0, burst: 1.0 };
    /// assert!(matches!(all.take(now, "a", limit, true), Take::Run(_)));
    /// ```
    pub fn take(&mut self, now: Time, account: &str, limit: Limit, first: bool) -> Take {
        match self.owner.lend(now, account, limit, 1) {
            Grant::Lent(_) => Take::Run(Permit::Own),
            Grant::Refused(after) => Take::Refuse(after),
            Grant::NotOwner | Grant::Outdated => self.borrower.take(now, account, limit, first),
        }
    }

    /// Notes that a request no longer waits, see [`Borrower::end_wait`].
    pub fn end_wait(&mut self, account: &str) {
        self.borrower.end_wait(account);
    }

    /// Time until a request that waited in vain may be tried again.
    #[must_use]
    pub fn retry_time(&self, now: Time, account: &str) -> Duration {
        self.borrower.retry_time(now, account)
    }

    /// Gives back what a request took that has not run.
    pub fn refund(&mut self, now: Time, account: &str, permit: Permit) {
        match permit {
            Permit::Own => self.owner.give_back(now, account),
            permit => self.borrower.refund(now, account, permit),
        }
    }

    /// Whether requests since the last call may have something to ask owners for.
    pub fn take_news(&mut self) -> bool {
        self.borrower.take_news()
    }

    /// Whether to call [`Self::asks`] again after [`super::ASK_AGAIN`]. Otherwise what ran on credit
    /// stays unpaid if a datagram is lost while no request waits.
    #[must_use]
    pub fn has_open_asks(&self) -> bool {
        self.borrower.has_open_asks()
    }

    /// What to ask each owner for now.
    pub fn asks(&mut self, now: Time) -> BTreeMap<NodeId, Vec<Ask>> {
        let mut out: BTreeMap<NodeId, Vec<Ask>> = BTreeMap::new();
        for ask in self.borrower.asks(now) {
            let owner = owner_of(&ask.account, &self.daemons).filter(|id| *id != self.me);
            if let Some(owner) = owner {
                out.entry(owner).or_default().push(ask);
            }
        }
        out
    }

    /// The tokens to return to each owner now.
    pub fn returns(&mut self, now: Time) -> BTreeMap<NodeId, Vec<Returned>> {
        let mut out: BTreeMap<NodeId, Vec<Returned>> = BTreeMap::new();
        for returned in self.borrower.returns(now) {
            match owner_of(&returned.account, &self.daemons) {
                Some(owner) if owner == self.me => self.owner.take_back(now, self.me, &returned),
                Some(owner) => out.entry(owner).or_default().push(returned),
                None => {}
            }
        }
        out
    }

    /// Takes back what another daemon returns.
    pub fn take_back(&mut self, now: Time, from: NodeId, list: &[Returned]) {
        for returned in list {
            self.owner.take_back(now, from, returned);
        }
    }

    /// Answers the questions of another daemon. `limit_of` gives the limit of an account, `None` for
    /// one that this daemon does not know.
    pub fn answer(
        &mut self,
        now: Time,
        from: NodeId,
        asks: &[Ask],
        limit_of: impl Fn(&str) -> Option<Limit>,
    ) -> Vec<Lent> {
        let mut lend = |ask: &Ask| {
            let grant = limit_of(&ask.account).map_or(Grant::NotOwner, |limit| {
                self.owner.lend_to(now, limit, from, ask)
            });
            let life = millis(self.rules.life());
            let (tokens, life_ms, retry_ms) = match grant {
                Grant::Lent(tokens) => (tokens, life, 0),
                Grant::Refused(after) => (0, life, millis(after).max(1)),
                Grant::NotOwner | Grant::Outdated => (0, 0, 0),
            };
            Lent {
                account: ask.account.clone(),
                tokens,
                seq: ask.seq,
                life_ms,
                retry_ms,
            }
        };
        asks.iter().map(&mut lend).collect()
    }

    /// Takes in an owner's answers. The requests of these accounts that wait should ask again.
    pub fn accept(&mut self, now: Time, answers: &[Lent]) {
        for lent in answers {
            if lent.tokens > 0 {
                let life = Duration::from_millis(lent.life_ms).min(self.rules.life());
                let (account, tokens) = (&lent.account, lent.tokens);
                self.borrower.granted(now, account, lent.seq, tokens, life);
            } else if lent.life_ms > 0 {
                let wait = Duration::from_millis(lent.retry_ms);
                self.borrower.refused(now, &lent.account, lent.seq, wait);
            }
        }
    }

    /// Periodic work, to be called at least every few hundred milliseconds.
    pub fn tick(&mut self, now: Time, limit_of: impl Fn(&str) -> Option<Limit>) {
        self.owner.observe(now);
        if now.since(self.expired_at) >= EXPIRE_INTERVAL {
            self.expired_at = now;
            self.owner.expire(now, limit_of);
            self.borrower.expire(now);
        }
    }

    /// Tokens leased here and not used, and requests that are not paid for, of an account.
    #[must_use]
    pub fn leased(&self, account: &str) -> (u32, usize) {
        self.borrower.leased(account)
    }

    /// If this daemon owns the account and it is in use: the tokens in its bucket and the number of
    /// tokens lent so far.
    #[must_use]
    pub fn owned(&self, account: &str) -> Option<(f64, u64)> {
        self.owner.owned(account)
    }

    /// Names of the accounts that are in use here.
    #[must_use]
    pub fn in_use(&self) -> BTreeSet<&str> {
        self.owner.in_use().chain(self.borrower.in_use()).collect()
    }
}

/// Whole milliseconds, rounded up, so that a caller does not return too early.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
