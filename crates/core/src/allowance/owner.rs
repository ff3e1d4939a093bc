//! The buckets of the accounts that a daemon owns.

use {
    super::{
        Ask, Bucket, IDLE_TIME, Limit, MARGIN_PART, MAX_LIFE, ReturnTimes, Returned, Rules,
        START_PART, owner_of,
    },
    crate::{NodeId, Time},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// A longer gap between two calls of [`Owner::observe`] means that the process was paused. Others may
/// have taken over its accounts meanwhile.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);
/// Longest pause after which the buckets keep their tokens: another owner chosen meanwhile has not
/// refilled its own yet.
const SHORT_PAUSE: Duration = MAX_LIFE;
/// Earlier sets of daemons that are remembered, to know for how long an account has been owned.
const MAX_SETS: usize = 32;

/// How many of the daemons this one can reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Daemons that are alive, this one included.
    pub alive: usize,
    /// Daemons that are registered, or all that were known recently if these are more.
    pub registered: usize,
}

impl Standing {
    /// The fraction of daemons that is alive, if it is not the majority.
    fn minority(self) -> Option<f64> {
        let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        let minority = self.alive * 2 <= self.registered;
        minority.then(|| count(self.alive) / count(self.registered))
    }
}

/// Answer to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// This many tokens, at least one.
    Lent(u32),
    /// None; the bucket has one after this time.
    Refused(Duration),
    /// This daemon does not own the account.
    NotOwner,
    /// The borrower has asked anew since, so that it waits for another answer.
    Outdated,
}

#[derive(Clone, Debug)]
struct Entry {
    bucket: Bucket,
    /// Since when this daemon has owned the account without interruption.
    since: Time,
    /// Value of [`Owner::changes`] for which `since` is valid.
    checked: u64,
    owned: bool,
    used_at: Time,
    /// Rate at which the bucket was refilled last.
    rate: f64,
    returns: ReturnTimes,
    /// The last lease of each borrower: number of its question, tokens and time.
    leases: HashMap<NodeId, (u32, u32, Time)>,
    lent: u64,
    /// Number of tokens that the bucket holds at most.
    capacity: f64,
    /// Tokens lent to other daemons in the life of a lease before `period` and since then.
    recent: [u32; 2],
    period: Time,
    /// Number and time of the last message of each borrower that returned tokens.
    returned: HashMap<NodeId, (u32, Time)>,
}

impl Entry {
    /// Counts tokens lent to another daemon.
    fn count_lent(&mut self, now: Time, life: Duration, tokens: u32) {
        self.roll(now, life);
        self.recent[1] = self.recent[1].saturating_add(tokens);
    }

    fn roll(&mut self, now: Time, life: Duration) {
        let passed = now.since(self.period);
        if passed >= life * 2 {
            self.recent = [0, 0];
            self.period = now;
        } else if passed >= life {
            self.recent = [self.recent[1], 0];
            self.period = self.period + life;
        }
    }

    /// Adds what arrived until a pause, and nothing until members agree on the owner.
    fn hold_back(&mut self, begin: Time, end: Time) {
        self.bucket.refill(begin, self.rate, self.capacity);
        self.bucket.hold(end + MAX_LIFE);
    }

    /// Puts tokens back that were not used.
    ///
    /// The bucket and the leases that may still be used stay within the capacity. Otherwise tokens
    /// that are leased and returned again and again would add up to more than an account may use at
    /// once.
    fn put_back(&mut self, now: Time, life: Duration, tokens: u32) {
        self.roll(now, life);
        let leased = f64::from(self.recent[0].saturating_add(self.recent[1]));
        let room = (self.capacity - self.bucket.tokens - leased).max(0.0);
        self.bucket.tokens += f64::from(tokens).min(room);
        self.lent = self.lent.saturating_sub(u64::from(tokens));
    }
}

/// The buckets of the accounts that this daemon owns.
#[derive(Debug)]
pub struct Owner {
    me: NodeId,
    rules: Rules,
    /// When this process has run for a window. Before, earlier processes may have lent tokens in the
    /// same window.
    settled_at: Time,
    /// Sets of daemons with the time from which each was known, the newest last.
    sets: VecDeque<(Time, Vec<NodeId>)>,
    standing: Standing,
    /// When this daemon last was paused for long, or its side became or ceased to be the majority. All
    /// buckets start anew then.
    reset_at: Time,
    /// Begin and end of the last short pause.
    paused: Option<(Time, Time)>,
    /// Counts the changes of `sets` and `reset_at`.
    changes: u64,
    observed_at: Option<Time>,
    entries: HashMap<String, Entry>,
}

impl Owner {
    /// Creates the state of a daemon that started at a time. It owns nothing until it knows the daemons.
    #[must_use]
    pub fn new(me: NodeId, rules: Rules, started: Time) -> Self {
        Self {
            me,
            rules,
            settled_at: started + rules.window,
            sets: VecDeque::new(),
            standing: Standing::default(),
            reset_at: Time::ZERO,
            paused: None,
            changes: 1,
            observed_at: None,
            entries: HashMap::new(),
        }
    }

    /// Sets the advertised daemons, in any order.
    pub fn set_daemons(&mut self, now: Time, daemons: &[NodeId]) {
        self.observe(now);
        let mut sorted = daemons.to_vec();
        sorted.sort_unstable();
        if self.sets.back().is_some_and(|(_, known)| *known == sorted) {
            return;
        }
        self.sets.push_back((now, sorted));
        if self.sets.len() > MAX_SETS {
            self.sets.pop_front();
        }
        self.changes += 1;
    }

    /// Sets how many of the daemons this one can reach.
    pub fn set_standing(&mut self, now: Time, standing: Standing) {
        let before = std::mem::replace(&mut self.standing, standing);
        if before != Standing::default()
            && before.minority().is_some() != standing.minority().is_some()
        {
            self.reset(now);
        }
    }

    /// Notes that the process runs; to be called at least every few hundred milliseconds.
    pub fn observe(&mut self, now: Time) {
        let Some(before) = self.observed_at.replace(now) else {
            return;
        };
        let gap = now.since(before);
        if gap > SHORT_PAUSE {
            self.reset(now);
        } else if gap > PAUSE_THRESHOLD {
            self.hold_back(before, now);
        }
    }

    /// Stops refilling all buckets from the begin of a short pause until members agree on the owner.
    ///
    /// What another owner has refilled by then replaces what is held back here.
    fn hold_back(&mut self, begin: Time, end: Time) {
        self.paused = Some((begin, end));
        let changes = self.changes;
        let current = self.entries.values_mut().filter(|e| e.checked == changes);
        current.for_each(|entry| entry.hold_back(begin, end));
    }

    fn reset(&mut self, now: Time) {
        self.reset_at = now;
        self.changes += 1;
    }

    /// Lends up to `wanted` tokens of an account. What a process owns within a window of its start has
    /// an empty bucket at first.
    ///
    /// ```
    /// use rattanturn_core::{NodeId, Time, allowance::{Grant, Limit, Owner, Rules, Standing}};
    /// let rules = Rules { window: std::time::Duration::from_secs(5), overshoot: 0.1, slack: 20.0 };
    /// let started = Time::from_millis(1);
    /// let mut owner = Owner::new(NodeId(1), rules, started);
    /// owner.set_daemons(started, &[NodeId(1)]);
    /// owner.set_standing(started, Standing { alive: 1, registered: 1 });
    /// let limit = Limit { rate: 2.0, burst: 9.0 };
    /// let mut lend = |ms| owner.lend(Time::from_millis(ms), "a", limit, 1);
    /// assert!(matches!(lend(500), Grant::Refused(_)));
    /// assert!(matches!(lend(1_000), Grant::Refused(_)));
    /// assert_eq!(lend(1_500), Grant::Lent(1));
    /// ```
    pub fn lend(&mut self, now: Time, account: &str, limit: Limit, wanted: u32) -> Grant {
        self.observe(now);
        let (rate, capacity) = self.effective(now, limit);
        let window = self.rules.window;
        let minority = self.standing.minority().is_some();
        let delay = self.refill_delay(limit, rate);
        let Some(entry) = self.entry(now, account, capacity, rate, delay) else {
            return Grant::NotOwner;
        };
        let tokens = entry.bucket.refill(now, rate, capacity);
        entry.used_at = now;
        if tokens < 1.0 {
            let base = entry.bucket.wait(now, rate);
            let after = entry.returns.next(now, base, rate, window);
            // A minority is expected to end before its slow bucket has a token.
            return Grant::Refused(if minority { after.min(window) } else { after });
        }
        let lent = f64::from(wanted.max(1)).min((tokens / 2.0).floor().max(1.0));
        entry.bucket.tokens -= lent;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        // whole, at most `wanted`
        let lent = lent as u32;
        entry.lent += u64::from(lent);
        Grant::Lent(lent)
    }

    /// Lends tokens to another daemon in answer to its question `seq`. A question that comes again gets
    /// the same tokens, because the first answer may have been lost. One that arrives after a later
    /// question gets none: its answer would be ignored, and the tokens lost.
    pub fn lend_to(&mut self, now: Time, limit: Limit, borrower: NodeId, ask: &Ask) -> Grant {
        let entry = self.entries.get(&ask.account);
        let before = entry.and_then(|e| e.leases.get(&borrower));
        match before {
            Some((seq, tokens, _)) if *seq == ask.seq => return Grant::Lent(*tokens),
            Some((seq, ..)) if seq.wrapping_sub(ask.seq) < u32::MAX / 2 => return Grant::Outdated,
            _ => {}
        }
        let grant = self.lend(now, &ask.account, limit, ask.tokens);
        if let (Grant::Lent(tokens), Some(entry)) = (grant, self.entries.get_mut(&ask.account)) {
            entry.count_lent(now, self.rules.life(), tokens);
            entry.leases.insert(borrower, (ask.seq, tokens, now));
        }
        grant
    }

    /// Takes back a token that this daemon lent to itself, for a request that has not run.
    pub fn give_back(&mut self, now: Time, account: &str) {
        let life = self.rules.life();
        if let Some(entry) = self.entries.get_mut(account) {
            entry.put_back(now, life, 1);
        }
    }

    /// Takes back tokens that another daemon has leased and not used. They may be of an earlier owner:
    /// the number of tokens in use does not change.
    pub fn take_back(&mut self, now: Time, borrower: NodeId, returned: &Returned) {
        let life = self.rules.life();
        let entry = self.entries.get_mut(&returned.account);
        let Some(entry) = entry.filter(|e| e.owned) else {
            return;
        };
        let last = entry.returned.insert(borrower, (returned.seq, now));
        if let Some((seq, _)) = last
            && returned.seq.wrapping_sub(seq).wrapping_sub(1) >= u32::MAX / 2
        {
            entry.returned.insert(borrower, (seq, now));
            return;
        }
        entry.put_back(now, life, returned.tokens);
    }

    /// Tokens that the bucket held when it was last used, and all tokens that it lent, of an account
    /// that this daemon owns.
    #[must_use]
    pub fn owned(&self, account: &str) -> Option<(f64, u64)> {
        let entry = self.entries.get(account).filter(|e| e.owned)?;
        Some((entry.bucket.tokens, entry.lent))
    }

    /// Names of the accounts that this daemon owns and that are in use.
    pub fn in_use(&self) -> impl Iterator<Item = &str> {
        let owned = self.entries.iter().filter(|(_, e)| e.owned);
        owned.map(|(name, _)| name.as_str())
    }

    /// Drops the buckets of unused accounts once they must be full.
    pub fn expire(&mut self, now: Time, limit_of: impl Fn(&str) -> Option<Limit>) {
        let rules = self.rules;
        self.entries.retain(|name, entry| {
            entry.leases.retain(|_, (.., at)| now.since(*at) < MAX_LIFE);
            entry
                .returned
                .retain(|_, (_, at)| now.since(*at) < IDLE_TIME);
            let idle = now.since(entry.used_at);
            let full = limit_of(name).is_none_or(|limit| {
                let missing = rules.capacity(limit) - entry.bucket.tokens;
                idle.as_secs_f64() * limit.rate >= missing
            });
            idle < IDLE_TIME || !full
        });
    }

    /// Rate and capacity of a bucket. A minority lends from the margin only. A process that started
    /// less than a window ago adds the start of a new owner as a rate: spread over time, it does not
    /// multiply with the number of starts.
    fn effective(&self, now: Time, limit: Limit) -> (f64, f64) {
        let window = self.rules.window.as_secs_f64();
        let Some(fraction) = self.standing.minority() else {
            let start = self.rules.slack * START_PART / window;
            let extra = if now < self.settled_at { start } else { 0.0 };
            return (limit.rate + extra, self.rules.capacity(limit));
        };
        let reserve = self.rules.slack * MARGIN_PART;
        let rate = self.rules.overshoot * limit.rate + reserve / window;
        (rate * fraction, reserve * fraction)
    }

    /// Time from a change of the owner until the new one refills a bucket. The limit's rate is held
    /// back until members agree on the owner; what [`Self::effective`] adds arrives from the change
    /// on.
    fn refill_delay(&self, limit: Limit, rate: f64) -> Duration {
        if self.standing.minority().is_some() {
            return MAX_LIFE;
        }
        MAX_LIFE.mul_f64((limit.rate / rate).min(1.0))
    }

    /// The bucket of an account that this daemon owns, which a new owner refills after `delay`.
    fn entry(
        &mut self,
        now: Time,
        account: &str,
        capacity: f64,
        rate: f64,
        delay: Duration,
    ) -> Option<&mut Entry> {
        let changes = self.changes;
        let known = self.entries.get(account).map(|e| e.checked);
        if known != Some(changes) {
            let since = self.owned_since(account);
            let settled = since.filter(|at| *at >= self.settled_at);
            let start = settled.map_or(0.0, |_| self.start_tokens(now, account));
            let start = capacity.min(start);
            let refills = since.map_or(now, |at| at + delay);
            let paused = self.paused;
            let entry = self.entries.entry(account.to_owned());
            let entry = entry.or_insert_with(|| Entry {
                bucket: Bucket::new(start, refills),
                since: since.unwrap_or(now),
                checked: changes,
                owned: since.is_some(),
                used_at: now,
                rate,
                returns: ReturnTimes::default(),
                leases: HashMap::new(),
                lent: 0,
                capacity,
                recent: [0, 0],
                period: now,
                returned: HashMap::new(),
            });
            entry.checked = changes;
            entry.owned = since.is_some();
            // What the owner in between has lent is not known, so only what a new owner starts with
            // is kept.
            if let Some(since) = since.filter(|at| *at != entry.since) {
                entry.since = since;
                entry.bucket = Bucket::new(entry.bucket.tokens.min(start), refills);
            }
            (entry.rate, entry.capacity) = (rate, capacity);
            if let Some((begin, end)) = paused.filter(|(_, end)| *end > entry.since) {
                entry.hold_back(begin, end);
            }
            entry.bucket.refill(now, rate, capacity);
        }
        let entry = self.entries.get_mut(account).filter(|e| e.owned)?;
        (entry.rate, entry.capacity) = (rate, capacity);
        Some(entry)
    }

    /// Tokens that a new owner of an account starts with: half as many for each further change of the
    /// owner in a window, so that many owners one after the other lend no more than two at once.
    fn start_tokens(&self, now: Time, account: &str) -> f64 {
        let mut tokens = self.rules.slack * START_PART;
        let mut sets = self.sets.iter().rev();
        let Some(newest) = sets.next() else {
            return tokens;
        };
        let (mut changed, mut owner) = (newest.0, owner_of(account, &newest.1));
        let mut is_first = true;
        for (at, set) in sets {
            if now.since(changed) >= self.rules.window {
                break;
            }
            let before = owner_of(account, set);
            if before != owner && before.is_some() {
                if !is_first {
                    tokens /= 2.0;
                }
                is_first = false;
            }
            (changed, owner) = (*at, before);
        }
        tokens
    }

    /// Since when this daemon has owned an account; `None` if it does not. Its age is at most that of
    /// the oldest set that is remembered.
    fn owned_since(&self, account: &str) -> Option<Time> {
        let sets = self.sets.iter().rev();
        let mine = sets.take_while(|(_, set)| owner_of(account, set) == Some(self.me));
        let since = mine.last().map(|(at, _)| *at)?;
        Some(since.max(self.reset_at))
    }
}
