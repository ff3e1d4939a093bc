//! The accounts of callers, found by their keys.

use std::{collections::BTreeMap, sync::Arc};

/// An account of a caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// Name of the account, which targets get.
    pub name: String,
    /// Priority that goes before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Requests a second at all daemons together; `None` for no limit.
    pub rate: Option<f64>,
    /// Requests that may come on top of the rate at once.
    pub burst: f64,
}

/// All accounts of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    by_name: BTreeMap<String, Arc<Account>>,
}

impl Accounts {
    /// The account of this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }
}
