//! Checks the keys of callers, for one traffic thread.
//!
//! A request is checked when its route is known, and again right before each of its calls if the
//! configuration has changed since, because it may have waited while its key was revoked. Calls
//! that are open at that moment run to their end: cancelling them would not undo what they did.
//!
//! Neither a key nor what is made of it is logged.

use {
    crate::{
        clock,
        planted::KeptKeys,
        tier::{
            meters,
            view::{Gauges, SharedView},
        },
    },
    actix_http::{
        RequestHead,
        header::{HeaderName, HeaderValue},
    },
    rattanturn_core::{
        Time,
        accounts::{Account, Accounts, Credential, Denial, admit},
        catalog::{Catalog, Route},
        line_limit::LineLimit,
    },
    rattanturn_platform::http::{credential, relayed_credentials},
    rattanturn_tables::TierSettings,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Log lines a second for each reason of a refusal.
const LINES_PER_SECOND: u32 = 3;

/// What a traffic thread needs to check keys.
pub(crate) struct KeyChecks {
    state: SharedState,
    lines: RefCell<BTreeMap<&'static str, LineLimit>>,
    kept: KeptKeys,
}

/// The configuration, and how long ago it was confirmed.
#[derive(Clone)]
struct SharedState {
    view: SharedView,
    gauges: Arc<Gauges>,
    /// Age from which on keys are not accepted; `None` if they always are.
    max_age: Option<Duration>,
}

impl SharedState {
    /// Whether the configuration is recent enough to accept keys by it.
    fn is_confirmed(&self) -> bool {
        let Some(max_age) = self.max_age else {
            return true;
        };
        let read = Time::from_micros(self.gauges.config_micros.load(Ordering::Relaxed));
        read != Time::ZERO && clock::now().since(read) <= max_age
    }
}

impl KeyChecks {
    pub(crate) fn new(view: SharedView, gauges: Arc<Gauges>, tier: &TierSettings) -> Self {
        let state = SharedState {
            view,
            gauges,
            max_age: tier.strict_revoke.then_some(tier.revoke_limit),
        };
        Self {
            state,
            lines: RefCell::default(),
            kept: KeptKeys::default(),
        }
    }

    /// Checks the key of a request to a route of `catalog`.
    pub(crate) fn check(
        &self,
        catalog: &Arc<Catalog>,
        route: &Route,
        head: &RequestHead,
    ) -> Result<Access, Denial> {
        let state = self.state.clone();
        let Some(accounts) = catalog.accounts() else {
            return Ok(Access::new(state, catalog, route, None));
        };
        let stated = credential(&head.headers);
        let account = admit(accounts, stated, route.public, state.is_confirmed());
        let account = account.map(Option::<&_>::cloned);
        let account = self.kept.admit(head.peer_addr, stated, account)?;
        let caller = Caller {
            key: match stated {
                Credential::Key(key) => Some(key.into()),
                Credential::Missing | Credential::Ambiguous => None,
            },
            credentials: relayed_credentials(&head.headers),
            account,
        };
        Ok(Access::new(state, catalog, route, Some(caller)))
    }

    /// Counts a refusal and logs it, unless lines with its reason are frequent.
    pub(crate) fn record_refusal(&self, request: &str, route: &str, denial: Denial) {
        let reason = denial.as_str();
        meters::count_refused(reason);
        let mut lines = self.lines.borrow_mut();
        let limit = lines
            .entry(reason)
            .or_insert_with(|| LineLimit::new(LINES_PER_SECOND));
        if let Some(left_out) = limit.admit(clock::now()) {
            tracing::info!(request, route, reason, left_out, "request refused");
        }
    }
}

/// The caller of a request, where the configuration names accounts.
struct Caller {
    key: Option<Box<[u8]>>,
    /// The header with the key, for a peer that runs the request.
    credentials: Option<(HeaderName, HeaderValue)>,
    account: Option<Arc<Account>>,
}

/// A request's right to be run, as checked last.
pub(crate) struct Access {
    state: SharedState,
    /// `None` if the configuration named no accounts when the request came.
    caller: Option<Caller>,
    public: bool,
    /// The configuration of the last check.
    checked: RefCell<Arc<Catalog>>,
    /// Why the last check failed, if it did.
    denied: Cell<Option<Denial>>,
}

impl Access {
    fn new(
        state: SharedState,
        catalog: &Arc<Catalog>,
        route: &Route,
        caller: Option<Caller>,
    ) -> Self {
        Self {
            state,
            caller,
            public: route.public,
            checked: RefCell::new(catalog.clone()),
            denied: Cell::default(),
        }
    }

    /// Whether the configuration names accounts, so that targets must not get what identifies the
    /// caller.
    pub(crate) fn hides_caller(&self) -> bool {
        self.caller.is_some()
    }

    /// The account as of the first check; `None` on a public route without a valid key, and where
    /// the configuration names no accounts.
    pub(crate) fn account(&self) -> Option<&Arc<Account>> {
        self.caller.as_ref()?.account.as_ref()
    }

    /// The header with the caller's key, for a peer.
    pub(crate) fn credentials(&self) -> Option<&(HeaderName, HeaderValue)> {
        self.caller.as_ref()?.credentials.as_ref()
    }

    /// Why a call of the request was refused after the first check, if one was.
    pub(crate) fn denied(&self) -> Option<Denial> {
        self.denied.get()
    }

    /// Checks again right before a call; returns the account that the target may be told.
    pub(crate) fn confirm(&self) -> Result<Option<&Arc<Account>>, Denial> {
        let confirmed = self.recheck();
        if let Err(denial) = confirmed {
            self.denied.set(Some(denial));
        }
        confirmed
    }

    fn recheck(&self) -> Result<Option<&Arc<Account>>, Denial> {
        let view = self.state.view.load();
        let Some(catalog) = &view.catalog else {
            return Ok(self.account());
        };
        let Some(accounts) = catalog.accounts() else {
            return Ok(self.account());
        };
        let Some(caller) = &self.caller else {
            // The request was read for a configuration without accounts and still has its headers.
            return Err(Denial::Unconfirmed);
        };
        let confirmed = self.state.is_confirmed();
        if !confirmed && !self.public {
            return Err(Denial::Unconfirmed);
        }
        if Arc::ptr_eq(catalog, &self.checked.borrow()) {
            return Ok(caller.account.as_ref());
        }
        let account = caller.current_account(accounts, self.public)?;
        if account.is_some() == caller.account.is_some() {
            *self.checked.borrow_mut() = catalog.clone();
        }
        Ok(account)
    }
}

impl Caller {
    /// The account if its key is still valid in `accounts`; on a public route `None` if it is not.
    fn current_account(
        &self,
        accounts: &Accounts,
        public: bool,
    ) -> Result<Option<&Arc<Account>>, Denial> {
        let Some(account) = &self.account else {
            return Ok(None);
        };
        let found = self.key.as_deref().and_then(|key| accounts.find(key));
        // A key that now belongs to another account does not make the request that account's.
        match found.is_some_and(|f| f.name == account.name) {
            true => Ok(Some(account)),
            false if public => Ok(None),
            false => Err(Denial::UnknownKey),
        }
    }
}
