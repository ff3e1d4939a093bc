//! The tokens that a daemon has leased, and the requests that it ran on credit.

use {
    super::{IDLE_TIME, Limit, OVERDRAFT_PART, ReturnTimes, Rules},
    crate::Time,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeSet, HashMap, VecDeque},
        time::Duration,
    },
};

/// Time after which the owner is asked again. A request waits for some tens of milliseconds; with half of
/// the datagrams lost, a question is answered one time in four.
pub const ASK_AGAIN: Duration = Duration::from_millis(10);
/// Time after which it is asked again for the first time, if its answers do not take longer. A shorter
/// one would repeat questions to other data centres that are not lost.
const FIRST_ASK_AGAIN: Duration = Duration::from_millis(20);
/// The same in usual round trips.
const ASK_AGAIN_TRIPS: f64 = 1.5;
/// Longest time for which a refusal of the owner is repeated without asking it again.
const MAX_BLOCK: Duration = Duration::from_millis(100);
/// Length of a period in which requests are counted; two of them give the demand.
const DEMAND_PERIOD: Duration = Duration::from_millis(250);
/// Tokens are leased ahead for the requests that surely arrive in this fraction of their life. The rest
/// is for the round trip.
const LEASE_AHEAD: f64 = 0.8;

/// Time after which a caller is told to return if no owner answers. By then another daemon may own the
/// account.
const UNKNOWN_RETRY: Duration = Duration::from_secs(1);

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Take {
    /// It may run.
    Run(Permit),
    /// It waits until tokens arrive.
    Wait,
    /// It is over the limit; after this time there may be a token.
    Refuse(Duration),
}

/// What paid for a request, to be given back if it does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// A leased token that expires at a time.
    Leased(Time),
    /// Nothing yet, since a time.
    Credit(Time),
    /// A token of this daemon's own bucket.
    Own,
}

/// Tokens to ask an owner for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Name of the account.
    pub account: String,
    /// Number of tokens.
    pub tokens: u32,
    /// Number that the answer repeats.
    pub seq: u32,
}

/// Leased tokens that go back to the owner because no request used them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Returned {
    /// Name of the account.
    pub account: String,
    /// Number of tokens.
    pub tokens: u32,
    /// Number of the message, which grows, so that one that arrives twice counts once.
    pub seq: u32,
}

#[derive(Clone, Debug, Default)]
struct Loan {
    /// Numbers of leased tokens with their ends, the earliest first.
    lots: VecDeque<(Time, u32)>,
    /// Tokens that expired or were given back too late to be used here.
    unused: u32,
    /// Times of the requests that are not paid for.
    unpaid: VecDeque<Time>,
    /// Requests that wait.
    waiting: u32,
    period: Time,
    counts: [u32; 2],
    /// The last question, unless it got tokens.
    open: Option<OpenAsk>,
    trip: Duration,
    /// The owner refused; until this time it is not asked again.
    blocked: Time,
    /// When the owner expects to have a token.
    token_at: Time,
    returns: ReturnTimes,
    used_at: Time,
}

/// A question that got no tokens yet.
#[derive(Clone, Copy, Debug)]
struct OpenAsk {
    seq: u32,
    first: Time,
    last: Time,
    /// Whether the owner refused it. One that was repeated may still get tokens.
    refused: bool,
}

/// The tokens of all accounts that this daemon does not own.
#[derive(Debug)]
pub struct Borrower {
    rules: Rules,
    /// This daemon's share of the overdrafts.
    fraction: f64,
    /// When this process has run for a window. Before, earlier processes may have used the overdraft
    /// in the same window.
    settled_at: Time,
    loans: HashMap<String, Loan>,
    /// Accounts for which tokens may have to be asked for.
    due: BTreeSet<String>,
    /// Accounts that may have tokens to return, now or when their leases end.
    holding: BTreeSet<String>,
    /// Whether a request since the last [`Self::take_news`] may have something to ask.
    news: bool,
    seq: u32,
}

impl Borrower {
    /// Creates the state of a daemon that started at a time. It has leased nothing, and its overdraft
    /// grows to its size in a window.
    #[must_use]
    pub fn new(rules: Rules, started: Time) -> Self {
        Self {
            rules,
            fraction: 0.0,
            settled_at: started + rules.window,
            loans: HashMap::new(),
            due: BTreeSet::new(),
            holding: BTreeSet::new(),
            news: false,
            seq: 0,
        }
    }

    /// Sets this daemon's share of the overdrafts, see [`crate::rate_share::fraction`].
    pub fn set_fraction(&mut self, fraction: f64) {
        self.fraction = fraction;
    }

    /// Asks for the right to run a request. `first` is false if the request has waited, and the
    /// caller then reports the end of its wait with [`Self::end_wait`] beforehand.
    ///
    /// ```
    /// use rattanturn_core::{Time, allowance::{Borrower, Limit, Rules, Take}};
    /// let rules = Rules { window: std::time::Duration::from_secs(5), overshoot: 0.1, slack: 20.0 };
    /// let mut borrower = Borrower::new(rules, Time::ZERO);
    /// let (now, limit) = (Time::from_millis(9), Limit { rate: 1.0, burst: 1.0 });
    /// assert_eq!(borrower.take(now, "a", limit, true), Take::Wait);
    /// let ask = borrower.asks(now).remove(0);
    /// borrower.end_wait("a");
    /// borrower.granted(now, "a", ask.seq, 1, rules.life());
    /// assert!(matches!(borrower.take(now, "a", limit, false), Take::Run(_)));
    /// ```
    pub fn take(&mut self, now: Time, account: &str, limit: Limit, first: bool) -> Take {
        let allowed = self.overdraft(now);
        let rules = self.rules;
        let loan = match self.loans.get_mut(account) {
            Some(loan) => loan,
            None => self.loans.entry(account.to_owned()).or_default(),
        };
        loan.used_at = now;
        loan.drop_expired(now, rules.window);
        if first {
            loan.count(now);
        }
        let out = if let Some(end) = loan.use_token() {
            Take::Run(Permit::Leased(end))
        } else if now < loan.blocked {
            let base = loan.token_at.since(now);
            let after = loan.returns.next(now, base, limit.rate, rules.window);
            return Take::Refuse(after);
        } else if loan.unpaid.len() < allowed {
            loan.unpaid.push_back(now);
            Take::Run(Permit::Credit(now))
        } else {
            loan.waiting += 1;
            Take::Wait
        };
        let is_due = self.due.contains(account);
        if !is_due && loan.wanted(now, rules.life()) > 0 {
            self.due.insert(account.to_owned());
            self.news = true;
        } else if is_due && !first {
            // The owner may not have got the question.
            self.news = true;
        }
        out
    }

    /// Notes that a request no longer waits, because it asks again, gave up or its caller left.
    pub fn end_wait(&mut self, account: &str) {
        if let Some(loan) = self.loans.get_mut(account) {
            loan.waiting = loan.waiting.saturating_sub(1);
        }
    }

    /// Time until a request that waited in vain may be tried again: no owner answers, so that its
    /// overdraft is all that this daemon has.
    #[must_use]
    pub fn retry_time(&self, now: Time, account: &str) -> Duration {
        let loan = self.loans.get(account);
        let oldest = loan.and_then(|l| l.unpaid.front());
        let window = self.rules.window;
        oldest.map_or(UNKNOWN_RETRY, |at| window.saturating_sub(now.since(*at)))
    }

    /// Gives back what a request took that has not run.
    pub fn refund(&mut self, now: Time, account: &str, permit: Permit) {
        let life = self.rules.life();
        let Some(loan) = self.loans.get_mut(account) else {
            return;
        };
        match permit {
            Permit::Leased(end) if end > now => loan.add(end, 1),
            Permit::Leased(_) => loan.unused += 1,
            Permit::Credit(at) => {
                if let Some(i) = loan.unpaid.iter().position(|t| *t == at) {
                    loan.unpaid.remove(i);
                } else if now.since(at) < life {
                    // It is paid by now, with a token that was asked for after it was taken.
                    loan.add(at + life, 1);
                } else if now.since(at) < self.rules.window {
                    // An older one may have been dropped without payment.
                    loan.unused += 1;
                }
            }
            Permit::Own => return,
        }
        self.holding.insert(account.to_owned());
    }

    /// The tokens to return to owners now.
    ///
    /// ```
    /// use rattanturn_core::{Time, allowance::{Borrower, Limit, Rules}};
    /// let rules = Rules { window: std::time::Duration::from_secs(5), overshoot: 0.1, slack: 20.0 };
    /// let mut borrower = Borrower::new(rules, Time::ZERO);
    /// let now = Time::from_millis(9);
    /// borrower.take(now, "a", Limit { rate: 1.0, burst: 1.0 }, true);
    /// let ask = borrower.asks(now).remove(0);
    /// borrower.granted(now, "a", ask.seq, 1, rules.life());
    /// assert!(borrower.returns(now).is_empty());
    /// assert_eq!(borrower.returns(now + rules.life())[0].tokens, 1);
    /// ```
    pub fn returns(&mut self, now: Time) -> Vec<Returned> {
        let mut out = Vec::new();
        let (loans, seq) = (&mut self.loans, &mut self.seq);
        let window = self.rules.window;
        self.holding.retain(|account| {
            let Some(loan) = loans.get_mut(account) else {
                return false;
            };
            loan.drop_expired(now, window);
            let tokens = std::mem::take(&mut loan.unused);
            if tokens > 0 {
                *seq = seq.wrapping_add(1);
                out.push(Returned {
                    account: account.clone(),
                    tokens,
                    seq: *seq,
                });
            }
            !loan.lots.is_empty()
        });
        out
    }

    /// Whether requests since the last call may have something to ask.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.news)
    }

    /// Whether owners have to be asked again after [`ASK_AGAIN`], unless they answer before.
    #[must_use]
    pub fn has_open_asks(&self) -> bool {
        !self.due.is_empty()
    }

    /// What to ask owners for now.
    pub fn asks(&mut self, now: Time) -> Vec<Ask> {
        let life = self.rules.life();
        let mut out = Vec::new();
        let (loans, seq) = (&mut self.loans, &mut self.seq);
        let window = self.rules.window;
        self.due.retain(|account| {
            let Some(loan) = loans.get_mut(account) else {
                return false;
            };
            loan.drop_expired(now, window);
            let tokens = loan.wanted(now, life);
            if tokens == 0 || now < loan.blocked {
                return false;
            }
            if loan.may_ask(now) {
                let open = loan.open.filter(|o| !o.refused);
                let repeated = open.filter(|o| now.since(o.first) < life);
                let open = repeated.unwrap_or_else(|| {
                    *seq = seq.wrapping_add(1);
                    OpenAsk {
                        seq: *seq,
                        first: now,
                        last: now,
                        refused: false,
                    }
                });
                loan.open = Some(OpenAsk { last: now, ..open });
                out.push(Ask {
                    account: account.clone(),
                    tokens,
                    seq: open.seq,
                });
            }
            true
        });
        out
    }

    /// Adds tokens that the owner lent in answer to a question; they pay first for what ran on credit.
    pub fn granted(&mut self, now: Time, account: &str, seq: u32, tokens: u32, life: Duration) {
        let Some(loan) = self.answered(now, account, seq) else {
            return;
        };
        let asked = loan.open.take().map_or(now, |o| o.first);
        let debts = u32::try_from(loan.unpaid.len()).unwrap_or(u32::MAX);
        let paid = tokens.min(debts);
        loan.unpaid.drain(..paid as usize);
        let end = asked + life;
        if end > now && tokens > paid {
            loan.add(end, tokens - paid);
        } else {
            loan.unused = loan.unused.saturating_add(tokens - paid);
        }
        self.holding.insert(account.to_owned());
    }

    /// Notes that the owner has no token for `wait`.
    pub fn refused(&mut self, now: Time, account: &str, seq: u32, wait: Duration) {
        if let Some(loan) = self.answered(now, account, seq) {
            loan.open = loan.open.map(|o| OpenAsk { refused: true, ..o });
            loan.blocked = now + wait.min(MAX_BLOCK);
            loan.token_at = now + wait;
            loan.returns = ReturnTimes::default();
        }
    }

    /// Number of tokens that are leased and not used, and of requests not paid for, of an account.
    #[must_use]
    pub fn leased(&self, account: &str) -> (u32, usize) {
        let loan = self.loans.get(account);
        loan.map_or((0, 0), |l| (l.held(), l.unpaid.len()))
    }

    /// Names of the accounts that are in use.
    pub fn in_use(&self) -> impl Iterator<Item = &str> {
        self.loans.keys().map(String::as_str)
    }

    /// Requests a second for an account at this daemon, in the last half second.
    #[must_use]
    pub fn demand(&self, now: Time, account: &str) -> f64 {
        self.loans.get(account).map_or(0.0, |l| l.demand(now))
    }

    /// Drops the state of accounts that were not used for some time.
    pub fn expire(&mut self, now: Time) {
        let keep = IDLE_TIME.max(self.rules.window);
        self.loans
            .retain(|_, l| l.waiting > 0 || now.since(l.used_at) < keep);
    }

    /// Requests that this daemon may run on credit for one account. In the first window they grow with
    /// the time, so that many starts together have no more than one process.
    fn overdraft(&self, now: Time) -> usize {
        let left = self.settled_at.since(now).as_secs_f64();
        let age = 1.0 - left / self.rules.window.as_secs_f64();
        let size = self.rules.slack * OVERDRAFT_PART * self.fraction * age.clamp(0.0, 1.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // a small number
        let size = size.max(0.0) as usize;
        size
    }

    /// The loan that an answer is for; `None` for a repeated or late answer.
    fn answered(&mut self, now: Time, account: &str, seq: u32) -> Option<&mut Loan> {
        let loan = self.loans.get_mut(account)?;
        let open = loan.open.filter(|o| o.seq == seq)?;
        // An answer may be to any of the repetitions; the last one gives the least time.
        loan.trip = now.since(open.last).max(loan.trip.mul_f64(0.9));
        Some(loan)
    }
}

impl Loan {
    /// Drops expired tokens, and credits that no longer count in any window.
    fn drop_expired(&mut self, now: Time, window: Duration) {
        while let Some((_, count)) = self.lots.pop_front_if(|(end, _)| *end <= now) {
            self.unused = self.unused.saturating_add(count);
        }
        while self
            .unpaid
            .front()
            .is_some_and(|at| now.since(*at) >= window)
        {
            self.unpaid.pop_front();
        }
    }

    /// Uses the token that expires first, and returns its end.
    fn use_token(&mut self) -> Option<Time> {
        let (end, count) = self.lots.front_mut()?;
        let end = *end;
        *count -= 1;
        if *count == 0 {
            self.lots.pop_front();
        }
        Some(end)
    }

    fn add(&mut self, end: Time, count: u32) {
        let i = self.lots.partition_point(|(e, _)| *e <= end);
        self.lots.insert(i, (end, count));
    }

    fn held(&self) -> u32 {
        self.lots.iter().map(|(_, n)| n).sum()
    }

    fn count(&mut self, now: Time) {
        let passed = now.since(self.period);
        if passed >= DEMAND_PERIOD * 2 {
            self.counts = [0, 0];
            self.period = now;
        } else if passed >= DEMAND_PERIOD {
            self.counts = [self.counts[1], 0];
            self.period = self.period + DEMAND_PERIOD;
        }
        self.counts[1] = self.counts[1].saturating_add(1);
    }

    fn demand(&self, now: Time) -> f64 {
        let passed = now.since(self.period);
        if passed >= DEMAND_PERIOD * 2 {
            return 0.0;
        }
        let time = DEMAND_PERIOD + passed;
        f64::from(self.counts[0] + self.counts[1]) / time.as_secs_f64()
    }

    /// Tokens to ask for: what is unpaid or waits, and what surely arrives while a lease lives. A
    /// lease ahead for slow accounts would expire unused too often, hence the two standard deviations.
    fn wanted(&self, now: Time, life: Duration) -> u32 {
        let expected = self.demand(now) * life.as_secs_f64() * LEASE_AHEAD;
        let ahead = (expected - 2.0 * expected.sqrt()).max(0.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // at most the demand
        let ahead = ahead as u32;
        let held = self.held();
        let missing = if held * 2 > ahead { 0 } else { ahead - held };
        let unpaid = u32::try_from(self.unpaid.len()).unwrap_or(u32::MAX);
        missing + unpaid + self.waiting
    }

    /// Whether the last question is answered, or has been open for too long. One that was repeated has
    /// probably been lost, or its answer has, so that the usual round trip does not delay the next.
    fn may_ask(&self, now: Time) -> bool {
        let again = FIRST_ASK_AGAIN.max(self.trip.mul_f64(ASK_AGAIN_TRIPS));
        self.open.is_none_or(|o| {
            let again = if o.last == o.first { again } else { ASK_AGAIN };
            o.refused || now.since(o.last) >= again
        })
    }
}
