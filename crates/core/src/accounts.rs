//! The accounts of callers, found by their keys.
//!
//! A key identifies its caller, so it is kept only as a hash under a secret that each process draws
//! for itself. A lookup compares hashes, so that its time tells nothing about how much of a guessed
//! key is right, and neither a debug print nor a memory dump of the accounts contains a key. The
//! price is one SHA-256 for each request that carries a key, and that two processes cannot compare
//! their hashes.

use {
    sha2::{Digest, Sha256},
    std::{
        collections::{BTreeMap, HashMap, hash_map::Entry},
        fmt,
        sync::Arc,
    },
};

/// Length of a hasher's secret in bytes.
pub const SECRET_BYTES: usize = 32;

/// An account of a caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// Name of the account, which targets get.
    pub name: String,
    /// Priority that goes before the route's; 0 is the most urgent.
    pub priority: Option<u64>,
    /// Requests a second at all daemons together; `None` for no limit.
    pub rate: Option<f64>,
    /// Requests that may come on top of the rate at once.
    pub burst: f64,
}

impl Account {
    /// Priority of this account's requests on a route with the priority `route`.
    ///
    /// ```
    /// use rattanturn_core::accounts::Account;
    /// assert_eq!(Account { priority: Some(0), ..Account::default() }.priority_on(2), 0);
    /// assert_eq!(Account::default().priority_on(2), 2);
    /// ```
    #[must_use]
    pub fn priority_on(&self, route: u64) -> u64 {
        self.priority.unwrap_or(route)
    }
}

/// Hash of a key under the secret of a [`KeyHasher`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; 32]);

/// Hashes keys under a secret.
#[derive(Clone, PartialEq)]
pub struct KeyHasher {
    /// State of the hash function after the secret.
    seeded: Sha256State,
}

/// A hash function that compares by what it has taken in.
#[derive(Clone)]
struct Sha256State(Sha256);

impl PartialEq for Sha256State {
    fn eq(&self, other: &Self) -> bool {
        self.0.clone().finalize() == other.0.clone().finalize()
    }
}

impl KeyHasher {
    /// Creates a hasher from a secret, which must be random and stay within the process.
    ///
    /// ```
    /// use rattanturn_core::accounts::KeyHasher;
    /// let hasher = KeyHasher::new([7; 32]);
    /// assert_eq!(hasher.hash(b"a"), hasher.hash(b"a"));
    /// assert_ne!(hasher.hash(b"a"), KeyHasher::new([8; 32]).hash(b"a"));
    /// ```
    #[must_use]
    pub fn new(secret: [u8; SECRET_BYTES]) -> Self {
        Self {
            seeded: Sha256State(Sha256::new_with_prefix(secret)),
        }
    }

    /// Hash of a key.
    #[must_use]
    pub fn hash(&self, key: &[u8]) -> KeyHash {
        KeyHash(self.seeded.0.clone().chain_update(key).finalize().into())
    }
}

impl fmt::Debug for KeyHasher {
    /// Leaves the secret out.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHasher")
    }
}

/// Why a list of accounts cannot be used. It names the account and the field, never a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Name of the account, or its position in the list if it has no usable name.
    pub account: String,
    /// Field with the problem.
    pub field: &'static str,
    /// What is wrong, and the remedy.
    pub problem: &'static str,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "account {}: {}: {}",
            self.account, self.field, self.problem
        )
    }
}

/// All accounts of one version of the configuration.
///
/// The names of the fields in findings are those of [`Account`], and `keys`.
#[derive(Clone, PartialEq)]
pub struct Accounts {
    hasher: KeyHasher,
    by_name: BTreeMap<String, Arc<Account>>,
    by_key: HashMap<KeyHash, Arc<Account>>,
}

impl Accounts {
    /// Creates the accounts from each one's properties and keys.
    ///
    /// An account may list a key twice and may have none.
    ///
    /// # Errors
    ///
    /// All findings: an empty or duplicate name or one that cannot be a header's value, an empty key,
    /// a key of two accounts, or a rate or burst that is negative or not finite.
    ///
    /// ```
    /// use rattanturn_core::accounts::{Account, Accounts, KeyHasher};
    /// let account = |name: &str| Account { name: name.into(), ..Account::default() };
    /// let new = |list| Accounts::new(KeyHasher::new([7; 32]), list);
    /// let accounts = new(vec![(account("a"), vec!["k".into()])]).unwrap();
    /// assert_eq!(accounts.find(b"k").unwrap().name, "a");
    /// assert!(accounts.find(b"other").is_none());
    /// let shared = vec![(account("a"), vec!["k".into()]), (account("b"), vec!["k".into()])];
    /// assert_eq!(new(shared).unwrap_err()[0].field, "keys");
    /// ```
    pub fn new(
        hasher: KeyHasher,
        list: impl IntoIterator<Item = (Account, Vec<String>)>,
    ) -> Result<Self, Vec<Finding>> {
        let mut accounts = Self {
            hasher,
            by_name: BTreeMap::new(),
            by_key: HashMap::new(),
        };
        let mut findings = Vec::new();
        for (position, (account, keys)) in list.into_iter().enumerate() {
            findings.extend(check(position, &account));
            accounts.add(position, account, &keys, &mut findings);
        }
        if findings.is_empty() {
            Ok(accounts)
        } else {
            Err(findings)
        }
    }

    fn add(
        &mut self,
        position: usize,
        account: Account,
        keys: &[String],
        findings: &mut Vec<Finding>,
    ) {
        let label = label(position, &account.name);
        let mut report = |field, problem| {
            findings.push(Finding {
                account: label.clone(),
                field,
                problem,
            });
        };
        let account = Arc::new(account);
        for key in keys {
            if key.is_empty() {
                report("keys", "a key is empty; remove it");
            }
            match self.by_key.entry(self.hasher.hash(key.as_bytes())) {
                Entry::Vacant(entry) => {
                    entry.insert(account.clone());
                }
                // A key of two accounts would serve one caller as another.
                Entry::Occupied(entry) if !Arc::ptr_eq(entry.get(), &account) => {
                    report(
                        "keys",
                        "another account has the same key; give each its own",
                    );
                }
                Entry::Occupied(_) => {}
            }
        }
        let name = account.name.clone();
        if self.by_name.insert(name, account).is_some() {
            report("name", "an earlier account has the same name; rename one");
        }
    }

    /// The account that a key belongs to.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Account>> {
        self.by_key.get(&self.hasher.hash(key))
    }

    /// The account of this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// All accounts in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }
}

impl fmt::Debug for Accounts {
    /// Leaves the hashes of the keys out.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.by_name.values()).finish()
    }
}

/// Findings about an account's own properties.
fn check(position: usize, account: &Account) -> Vec<Finding> {
    let is_amount = |x: f64| x.is_finite() && x >= 0.0;
    let problems = [
        (account.name.is_empty(), "name", "it is empty; set one"),
        (
            account.name.chars().any(char::is_control),
            "name",
            "it has a control character and cannot be sent in a header; rename it",
        ),
        (
            !account.rate.is_none_or(is_amount),
            "rate",
            "it is negative; use 0 for no limit",
        ),
        (
            !is_amount(account.burst),
            "burst",
            "it is negative; use 0 for none",
        ),
    ];
    let found = problems.into_iter().filter(|(wrong, ..)| *wrong);
    found
        .map(|(_, field, problem)| Finding {
            account: label(position, &account.name),
            field,
            problem,
        })
        .collect()
}

/// What a request states about its caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential<'a> {
    /// No key.
    Missing,
    /// A key, of any bytes.
    Key(&'a [u8]),
    /// Several keys, so that it is not known which one counts.
    Ambiguous,
}

/// Why a request is refused for its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It states no key.
    NoKey,
    /// It states several keys that differ.
    AmbiguousKey,
    /// Its key belongs to no account, or no longer.
    UnknownKey,
    /// The accounts are not known to be current, so that the key may have been revoked.
    Unconfirmed,
}

impl Denial {
    /// Name of the reason in logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoKey => "no-key",
            Self::AmbiguousKey => "ambiguous-key",
            Self::UnknownKey => "unknown-key",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// Decides whether a request may run, and for which account.
///
/// `confirmed` tells whether the accounts are recent enough to accept keys by them. A request to a
/// `public` route needs no key; it belongs to no account unless it states a valid one.
///
/// # Errors
///
/// Why the request is refused.
///
/// ```
/// use rattanturn_core::accounts::{Account, Accounts, Credential, Denial, KeyHasher, admit};
/// let account = Account { name: "a".into(), ..Account::default() };
/// let accounts = Accounts::new(KeyHasher::new([7; 32]), [(account, vec!["k".into()])]).unwrap();
/// assert!(admit(&accounts, Credential::Key(b"k"), false, true).unwrap().is_some());
/// let denial = admit(&accounts, Credential::Missing, false, true).unwrap_err();
/// assert_eq!(denial, Denial::NoKey);
/// ```
pub fn admit<'a>(
    accounts: &'a Accounts,
    stated: Credential<'_>,
    public: bool,
    confirmed: bool,
) -> Result<Option<&'a Arc<Account>>, Denial> {
    let found = match stated {
        _ if !confirmed => Err(Denial::Unconfirmed),
        Credential::Missing => Err(Denial::NoKey),
        Credential::Ambiguous => Err(Denial::AmbiguousKey),
        Credential::Key(key) => accounts.find(key).ok_or(Denial::UnknownKey),
    };
    match found {
        Ok(account) => Ok(Some(account)),
        Err(_) if public => Ok(None),
        Err(denial) => Err(denial),
    }
}

/// How findings call the account at a position of the list.
#[must_use]
pub fn label(position: usize, name: &str) -> String {
    if name.is_empty() {
        format!("number {}", position + 1)
    } else {
        format!("{name:?}")
    }
}
