//! Accounts of callers with keys and quotas, the operator's edits of them, and the checks that need
//! the headers and the times of the calls at the targets.
//!
//! Keys are checked against all configurations that a daemon may use when it gets the request, so a
//! key that is valid in some of them may be accepted or refused.

use {
    crate::{
        CATCH_UP_TIME,
        checks::{Checks, ConfigChange, Request, to_f64},
        daemons::Daemon,
    },
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    rattanturn_standins::calls::Call,
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// The accounts. The first one has neither a limit nor edits, for the checks of the recovery.
const NAMES: [&str; 5] = ["probe", "hot", "small-0", "small-1", "small-2"];
pub(crate) const PROBE: usize = 0;
/// The account whose callers ask for several times its limit.
pub(crate) const HOT: usize = 1;
const FIRST_SMALL: usize = 2;
/// Limits in requests a second, and as burst. One in three callers, at most 25 requests a second
/// each, shares a small account.
const HOT_LIMIT: f64 = 8.0;
const SMALL_LIMIT: f64 = 150.0;
/// All keys begin so, also unknown ones, and nothing else that a caller sends has it.
const KEY_MARK: &str = "soakkey";
/// Account that callers claim in the header that only daemons may set.
pub(crate) const FORGED_NAME: &str = "forged";
/// Window in which a quota holds, and what may exceed it: the daemons' settings `quota-window`,
/// `quota-overshoot` and `quota-slack` by default.
pub(crate) const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_OVERSHOOT: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;
/// Part of the requests within the limit that may be refused without any fault. The slack is for
/// requests that wait for their token longer than the daemon's limit of 60 ms on a busy machine.
const MAX_REFUSED: f64 = 0.01;
const REFUSED_SLACK: f64 = 3.0;
/// Number of violations of a sort that are reported.
const MAX_REPORTED: u32 = 3;
/// A revoked key must be refused 5 s after the change; configurations have 3 s.
const KEY_MARGIN: Duration = Duration::from_secs(2);

/// An account in the configuration.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    /// Oldest first; never empty.
    keys: Vec<String>,
    /// Also the burst; `None` for no limit.
    rate: Option<f64>,
}

/// All accounts of a configuration.
pub(crate) type Accounts = Rc<Vec<Account>>;

/// What the operator changes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AccountEdit {
    /// Removes the oldest key of an account, and adds one if it was the last.
    RevokeKey(usize),
    AddKey(usize),
    /// Halves the limit of the hot account, or restores it.
    ChangeLimit,
}

/// Edits of all editable accounts after the last fault.
pub(crate) const LAST_EDITS: [AccountEdit; 5] = [
    AccountEdit::RevokeKey(1),
    AccountEdit::RevokeKey(2),
    AccountEdit::RevokeKey(3),
    AccountEdit::RevokeKey(4),
    AccountEdit::ChangeLimit,
];

/// Draws an edit, and the account that it is for.
pub(crate) fn draw_edit(rng: &mut ChaCha8Rng) -> AccountEdit {
    let account = rng.random_range(HOT..NAMES.len());
    match rng.random_range(0..5) {
        0..=2 => AccountEdit::RevokeKey(account),
        3 => AccountEdit::AddKey(account),
        _ => AccountEdit::ChangeLimit,
    }
}

/// Accounts of the callers in turn: one in six is of the hot account.
pub(crate) fn account_of_caller(number: usize) -> usize {
    match number % 6 {
        0 => HOT,
        n => FIRST_SMALL + n % 3,
    }
}

/// The accounts as the operator last wrote them, and all keys that there were.
pub(crate) struct AccountBook {
    pub(crate) current: Accounts,
    revoked: Vec<(usize, String)>,
    issued: usize,
}

impl AccountBook {
    pub(crate) fn new() -> Self {
        let account = |i: usize| Account {
            keys: vec![format!("{KEY_MARK}{i}first")],
            rate: match i {
                PROBE => None,
                HOT => Some(HOT_LIMIT),
                _ => Some(SMALL_LIMIT),
            },
        };
        Self {
            current: Rc::new((0..NAMES.len()).map(account).collect()),
            revoked: Vec::new(),
            issued: 0,
        }
    }

    /// Makes a change, which the operator then writes.
    pub(crate) fn apply(&mut self, edit: AccountEdit) {
        let mut accounts = self.current.to_vec();
        self.issued += 1;
        let new = |i: usize| format!("{KEY_MARK}{i}number{}", self.issued);
        match edit {
            AccountEdit::RevokeKey(i) => {
                let keys = &mut accounts[i].keys;
                self.revoked.push((i, keys.remove(0)));
                if keys.is_empty() {
                    keys.push(new(i));
                }
            }
            AccountEdit::AddKey(i) => accounts[i].keys.push(new(i)),
            AccountEdit::ChangeLimit => {
                let rate = &mut accounts[HOT].rate;
                let is_full = rate.is_some_and(|r| r >= HOT_LIMIT);
                *rate = Some(if is_full { HOT_LIMIT / 2.0 } else { HOT_LIMIT });
            }
        }
        self.current = Rc::new(accounts);
    }

    /// The key that an account has had for longest.
    pub(crate) fn oldest_key(&self, account: usize) -> String {
        self.current[account].keys[0].clone()
    }

    /// A key for a request of an account: mostly a valid one, else a revoked or an unknown one.
    pub(crate) fn draw_key(&self, account: usize, rng: &mut ChaCha8Rng) -> String {
        let old: Vec<&String> = self
            .revoked
            .iter()
            .filter(|(i, _)| *i == account)
            .map(|(_, key)| key)
            .collect();
        let valid = &self.current[account].keys;
        match rng.random_range(0..20) {
            0 => format!("{KEY_MARK}unknown{}", rng.random::<u32>()),
            1 if !old.is_empty() => old[rng.random_range(0..old.len())].clone(),
            _ => valid[rng.random_range(0..valid.len())].clone(),
        }
    }
}

/// The list of accounts in the platform's format, by name, keys and limit.
pub(crate) fn listed(accounts: &Accounts) -> impl Iterator<Item = (&str, &[String], Option<f64>)> {
    let named = NAMES.iter().zip(accounts.iter());
    named.map(|(name, a)| (*name, a.keys.as_slice(), a.rate))
}

/// Account of a key in a configuration.
fn account_of(change: &ConfigChange, key: &str) -> Option<usize> {
    let mut all = change.accounts.iter().flat_map(|a| a.iter());
    all.position(|a| a.keys.iter().any(|k| k == key))
}

/// What is known of the calls and the requests of accounts.
#[derive(Default)]
pub(crate) struct AccountChecks {
    /// Account of each request with a key that was valid at some time.
    requests: BTreeMap<String, usize>,
    /// When each request first ran at a target, by account.
    runs: BTreeMap<usize, Vec<Instant>>,
    ran: BTreeSet<String>,
    /// Requests below the limits that were sent without any fault, and those answered with 429, by
    /// account.
    calm: BTreeMap<usize, (u32, u32)>,
    /// How often each sort of violation was found.
    errors: BTreeMap<&'static str, u32>,
}

impl Checks {
    /// Checks how a request's key was answered. `exempt` lifts the time limit for a change, for a
    /// daemon that is starting or had an outage. Returns whether the request must not have run, unless that
    /// is already reported.
    pub(crate) fn check_key(&mut self, request: &Request, exempt: bool) -> bool {
        let Some(key) = &request.key else {
            return false;
        };
        let changes = &self.config.changes;
        let is_due = |c: &ConfigChange| c.due.is_some_and(|due| request.sent_at > due + KEY_MARGIN);
        let expected = changes.iter().rposition(is_due).filter(|_| !exempt);
        let possible = &changes[expected.unwrap_or(0)..];
        let valid = possible.iter().filter(|c| account_of(c, key).is_some());
        let valid = valid.count();
        let account = self.accounts.requests.get(&request.id).copied();
        let status = request.outcome.status();
        if self.calm
            && let Some(account) = account
            && account != HOT
        {
            let (sent, refused) = self.accounts.calm.entry(account).or_default();
            *sent += 1;
            *refused += u32::from(status == Some(429));
        }
        let error = match status {
            Some(401) if valid == possible.len() => "a valid key was refused",
            Some(429) if account == Some(PROBE) => "an account without a limit was refused",
            Some(s) if valid == 0 && !matches!(s, 401 | 503) => {
                "a key that is unknown or was revoked was not refused"
            }
            _ => "",
        };
        if !error.is_empty() {
            let text = format!("with key {key} to d{}, status {status:?}", request.daemon);
            self.add_account_violation(error, &request.id, &text);
        }
        valid == 0 && error.is_empty()
    }

    /// Notes the account of a request, just before it is sent.
    pub(crate) fn note_key(&mut self, id: &str, key: &str) {
        let account = self.config.changes.iter().find_map(|c| account_of(c, key));
        if let Some(account) = account {
            self.accounts.requests.insert(id.to_owned(), account);
        }
    }

    /// Checks what a target was told of a call's account, and counts the first run of the request.
    pub(crate) fn check_call(&mut self, target: &str, call: &Call) {
        let known = self.accounts.requests.get(&call.id).copied();
        let names = call.header("x-tenant");
        let expected: Vec<&str> = known.iter().map(|i| NAMES[*i]).collect();
        let shows_key = call.headers.iter().any(|l| l.contains(KEY_MARK));
        if shows_key || !call.header("authorization").is_empty() {
            self.add_account_violation("a target got a key", &call.id, target);
        }
        if names != expected {
            let text = format!("{names:?} at {target}, expected {expected:?}");
            self.add_account_violation("a target was told a wrong account", &call.id, &text);
        }
        if let Some(account) = known
            && call.ran
            && self.accounts.ran.insert(call.id.clone())
        {
            self.accounts.runs.entry(account).or_default().push(call.at);
        }
    }

    /// Adds one of the first violations of a sort: an account that is refused often has thousands.
    fn add_account_violation(&mut self, error: &'static str, id: &str, text: &str) {
        let count = self.accounts.errors.entry(error).or_default();
        *count += 1;
        if *count <= MAX_REPORTED {
            self.add_violation(format!("request {id}: {error} ({text})"));
        }
    }

    /// Checks that accounts below their limits are served when there is no fault, and the quota of each
    /// account in each window that begins with a run, and reports at most
    /// one violation an account.
    pub(crate) fn check_quotas(&mut self, daemons: &[Daemon]) {
        let applied: Vec<Option<Instant>> = self
            .config
            .changes
            .iter()
            .map(|c| Some(applied_by(daemons, c.accepted_at, c.due?)))
            .collect();
        for (account, (sent, refused)) in std::mem::take(&mut self.accounts.calm) {
            if f64::from(refused) > f64::from(sent) * MAX_REFUSED + REFUSED_SLACK {
                self.add_violation(format!(
                    "account {}: {refused} of {sent} requests were refused without any fault, \
                     although it stayed below its limit",
                    NAMES[account]
                ));
            }
        }
        let all = std::mem::take(&mut self.accounts.runs);
        for (account, mut runs) in all {
            runs.sort();
            for (i, first) in runs.iter().enumerate() {
                let within = |at: &&Instant| **at < *first + QUOTA_WINDOW;
                let count = runs[i..].iter().take_while(within).count();
                let Some(bound) = self.quota(account, *first, &applied) else {
                    continue;
                };
                if to_f64(count as u64) > bound {
                    let first = *first - self.config.changes[0].accepted_at;
                    self.add_violation(format!(
                        "account {}: {count} requests ran within 5 s, {bound} allowed, from \
                         {first:?} after the first configuration on",
                        NAMES[account]
                    ));
                    break;
                }
            }
        }
    }

    /// What may run for an account in the window that begins at an instant; `None` for no limit. A
    /// limit binds until one window after all daemons must have applied the next configuration.
    fn quota(&self, account: usize, from: Instant, applied: &[Option<Instant>]) -> Option<f64> {
        let changes = &self.config.changes;
        let is_over = |by: &Option<Instant>| by.is_some_and(|by| by + QUOTA_WINDOW < from);
        let oldest = applied.iter().rposition(is_over).unwrap_or(0);
        let possible = changes[oldest..]
            .iter()
            .filter(|c| c.accepted_at < from + QUOTA_WINDOW);
        let mut rate: Option<f64> = None;
        for change in possible {
            let limit = change.accounts.as_ref()?[account].rate?;
            rate = Some(rate.map_or(limit, |r| r.max(limit)));
        }
        let quota = rate? * (QUOTA_WINDOW.as_secs_f64() + 1.0);
        Some(quota * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK)
    }
}

/// When all daemons have applied a change, those too that had an outage meanwhile.
fn applied_by(daemons: &[Daemon], accepted: Instant, due: Instant) -> Instant {
    let mut by = due;
    loop {
        let ends = daemons.iter().filter_map(|d| d.last_outage(accepted, by));
        match ends.map(|end| end + CATCH_UP_TIME).max() {
            Some(later) if later > by => by = later,
            _ => return by,
        }
    }
}
