//! Quotas of accounts over all daemons: an owner lends tokens, other daemons use them.
//!
//! Each account has an owner among the advertised daemons, see [`owner_of`], with a token bucket.
//! The other daemons lease tokens from it, with one round trip and for a short time. Until tokens
//! arrive, a daemon may run a few requests on credit, its *overdraft*; further ones wait for the
//! owner. An even split of the limit would need no messages, but with many daemons and few requests
//! nearly all requests would be refused.
//!
//! In any window, what runs is at most (rate x window + burst) x (1 + overshoot) + slack. The parts of
//! the overshoot and the slack are:
//!
//! - A lease lives for 0.4 x overshoot x window. Tokens lent that long before a window can be used in
//!   it.
//! - A bucket holds at least what arrives in 0.1 x overshoot x window, so that a lease of a fast
//!   account carries more than one token.
//! - Daemons that are cut off from at least half of the others lend at overshoot x rate x (alive /
//!   registered). While there is a majority elsewhere, these fractions sum up to less than a half.
//! - Slack: [`OVERDRAFT_PART`] for overdrafts, [`START_PART`] for new owners, [`MARGIN_PART`] for
//!   minorities, [`FLOOR_PART`] for buckets of accounts with a small burst. The rest is for requests
//!   that had a token when their daemon was paused.
//!
//! A process that has just started does not know what earlier ones lent. For a window from its start on
//! its overdraft grows from nothing, and the buckets that it owns begin empty and refill at the rate and
//! [`START_PART`] of the slack in a window. What processes that are killed again and again lend
//! together then depends on the time and not on the number of starts.
//!
//! An owner that was paused may have been replaced meanwhile, by one that refills its bucket only
//! [`MAX_LIFE`] later. After a shorter pause it keeps its tokens and refills nothing until members agree on
//! the owner again; after a longer one it starts as a new owner does.
//!
//! The time is monotonic and stands still while a VM is suspended. A daemon that resumes may use the
//! tokens that it had leased, and an owner those in its bucket, until it learns that others took over.

mod borrower;
mod daemon;
mod owner;

use {
    crate::{NodeId, Time, accounts::Account, rendezvous},
    std::time::Duration,
};

pub use {
    borrower::{ASK_AGAIN, Ask, Borrower, Permit, Returned, Take},
    daemon::{Allowance, Lent},
    owner::{Grant, Owner, Standing},
};

/// Part of the slack for requests that run before their tokens arrive.
const OVERDRAFT_PART: f64 = 0.4;
/// Part of the slack that a new owner starts with; half of it for each further change of the owner in
/// a window, so that all of them together start with at most twice this.
const START_PART: f64 = 0.2;
/// Part of the slack for the burst of minorities, and the same again for their rate.
const MARGIN_PART: f64 = 0.2;
/// Part of the slack that a bucket holds at least. An account with burst 1 would otherwise lose
/// each token that is not requested before the next one arrives.
const FLOOR_PART: f64 = 0.15;
/// Part of overshoot x window for which leased tokens live.
const LIFE_PART: f64 = 0.4;
/// Part of overshoot x window whose tokens a bucket holds at least.
const GRAIN_PART: f64 = 0.1;
/// Longest life of leased tokens, also the time in which members agree on a new owner.
const MAX_LIFE: Duration = Duration::from_secs(1);
/// State of an account that was not used for this time is dropped.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// How exactly quotas hold, see the module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Length of the window.
    pub window: Duration,
    /// Fraction by which the limit may be exceeded in a window.
    pub overshoot: f64,
    /// Requests by which it may be exceeded on top.
    pub slack: f64,
}

impl Rules {
    /// Time for which leased tokens live, from their request on.
    ///
    /// ```
    /// use {rattanturn_core::allowance::Rules, std::time::Duration};
    /// let rules = Rules { window: Duration::from_secs(5), overshoot: 0.1, slack: 20.0 };
    /// assert_eq!(rules.life(), Duration::from_millis(200));
    /// ```
    #[must_use]
    pub fn life(&self) -> Duration {
        let life = self.window.mul_f64(self.overshoot.max(0.0) * LIFE_PART);
        life.min(MAX_LIFE)
    }

    /// Most requests that an account may run in any window, at all daemons together.
    #[must_use]
    pub fn bound(&self, limit: Limit) -> f64 {
        let quota = limit.rate * self.window.as_secs_f64() + limit.burst;
        quota * (1.0 + self.overshoot) + self.slack
    }

    /// Number of tokens that an owner's bucket holds.
    fn capacity(&self, limit: Limit) -> f64 {
        let grain = self.window.as_secs_f64() * self.overshoot * GRAIN_PART * limit.rate;
        let floor = (self.slack * FLOOR_PART).max(1.0);
        limit.burst.max(grain).max(floor)
    }
}

/// The limit of an account for all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second, more than 0.
    pub rate: f64,
    /// Requests on top of the rate at once.
    pub burst: f64,
}

impl Limit {
    /// The limit of an account; `None` if it has none.
    ///
    /// ```
    /// use rattanturn_core::{accounts::Account, allowance::Limit};
    /// let account = Account { rate: Some(0.0), ..Account::default() };
    /// assert_eq!(Limit::of(&account), None);
    /// ```
    #[must_use]
    pub fn of(account: &Account) -> Option<Self> {
        let rate = account.rate.filter(|r| *r > 0.0 && r.is_finite())?;
        let burst = account.burst.max(0.0);
        Some(Self { rate, burst })
    }
}

/// The daemon that owns an account's bucket; `None` if there are no daemons.
///
/// ```
/// use rattanturn_core::{NodeId, allowance::owner_of};
/// assert_eq!(owner_of("a", &[NodeId(7)]), Some(NodeId(7)));
/// ```
#[must_use]
pub fn owner_of(account: &str, daemons: &[NodeId]) -> Option<NodeId> {
    rendezvous::first(daemons.iter().copied(), rendezvous::key(account))
}

/// A token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    tokens: f64,
    /// Time up to which it was refilled; if it lies ahead, refilling begins then.
    at: Time,
}

impl Bucket {
    /// Creates a bucket that refills from `at` on.
    #[must_use]
    pub fn new(tokens: f64, at: Time) -> Self {
        Self { tokens, at }
    }

    /// Adds what arrived until `now`, up to `capacity`, and returns the number of tokens.
    ///
    /// ```
    /// use rattanturn_core::{Time, allowance::Bucket};
    /// let mut bucket = Bucket::new(1.0, Time::from_millis(0));
    /// assert!((bucket.refill(Time::from_millis(500), 4.0, 9.0) - 3.0).abs() < 1e-9);
    /// ```
    pub fn refill(&mut self, now: Time, rate: f64, capacity: f64) -> f64 {
        let arrived = now.since(self.at).as_secs_f64() * rate;
        self.tokens = (self.tokens + arrived).min(capacity);
        self.at = self.at.max(now);
        self.tokens
    }

    /// Takes tokens that the last [`Self::refill`] returned.
    pub fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Refills nothing before `until`.
    fn hold(&mut self, until: Time) {
        self.at = self.at.max(until);
    }

    /// Time from `now` until the bucket holds a token.
    fn wait(&self, now: Time, rate: f64) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0) / rate;
        let wait = Duration::try_from_secs_f64(missing).unwrap_or(IDLE_TIME);
        self.at.since(now) + wait
    }
}

/// Times that refused callers are told to return at, one token's time apart, so that they do not all
/// return for the same token.
#[derive(Clone, Copy, Debug, Default)]
struct ReturnTimes {
    next: Time,
}

impl ReturnTimes {
    /// Time until the next free return, at least `base`, the time until there is a token. The
    /// sequence begins again after a window.
    fn next(&mut self, now: Time, base: Duration, rate: f64, window: Duration) -> Duration {
        let earliest = now + base;
        if self.next > now + window {
            self.next = earliest;
        }
        let at = self.next.max(earliest);
        self.next = at + Duration::try_from_secs_f64(1.0 / rate).unwrap_or(window);
        at.since(now)
    }
}
