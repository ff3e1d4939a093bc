//! Entries of daemons in the store: each daemon writes its own, and a few remove stale ones.
//!
//! The entries say which daemons are deployed, so that a daemon that knows few peers yet can still
//! compute its quotas.

use {
    crate::tier::knowledge::daemon_spec,
    rattanturn_core::Time,
    rattanturn_platform::{Store, StoreError, objects::DAEMONS},
    serde_json::Value,
    std::{collections::BTreeMap, time::Duration},
};

/// Time after which the entry of an absent daemon is removed. A restart takes seconds and must not
/// remove it.
const STALE_ENTRY_GRACE: Duration = Duration::from_mins(1);

/// Writes this daemon's entry. An error is only logged, because the control loop retries while the
/// store does not list the entry.
pub(crate) async fn write_entry(store: Store, name: String, cores: f64) {
    if let Err(error) = put(&store, &name, &daemon_spec(cores)).await {
        tracing::info!(%error, "cannot write this daemon's entry to the store");
    }
}

/// Creates an entry, or replaces one that differs. A conflict counts as success if the current
/// object is the same or unknown.
async fn put(store: &Store, name: &str, spec: &Value) -> Result<(), StoreError> {
    match store.create(DAEMONS, name, spec).await {
        Err(StoreError::Conflict(Some(present))) if present.spec != *spec => {
            let revision = present.revision;
            store.replace(DAEMONS, name, revision, spec).await?;
            Ok(())
        }
        Ok(_) | Err(StoreError::Conflict(_)) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Removes an entry; its daemon writes it again if it returns. An error is only logged, because the
/// entry is due again later.
pub(crate) async fn remove_entry(store: Store, name: String) {
    match store.remove(DAEMONS, &name).await {
        Ok(_) | Err(StoreError::NotFound) => tracing::info!(daemon = %name, "removed stale entry"),
        Err(error) => tracing::debug!(%error, daemon = %name, "cannot remove stale entry"),
    }
}

/// Entries whose daemons are absent, and since when each is.
#[derive(Debug, Default)]
pub(crate) struct StaleEntries {
    since: BTreeMap<String, Time>,
}

impl StaleEntries {
    /// Updates the absent daemons and returns the names of the entries to remove now. A returned
    /// entry that remains in the store is due again after [`STALE_ENTRY_GRACE`].
    pub(crate) fn due<'a>(
        &mut self,
        now: Time,
        entries: impl Iterator<Item = &'a String>,
        is_alive: impl Fn(&str) -> bool,
    ) -> Vec<String> {
        let mut since = BTreeMap::new();
        for name in entries.filter(|n| !is_alive(n)) {
            let first = self.since.get(name).copied().unwrap_or(now);
            since.insert(name.clone(), first);
        }
        let expired = |at: &Time| now.since(*at) >= STALE_ENTRY_GRACE;
        let due: Vec<String> = since
            .iter()
            .filter(|(_, at)| expired(at))
            .map(|(name, _)| name.clone())
            .collect();
        since.retain(|_, at| !expired(at));
        self.since = since;
        due
    }
}
