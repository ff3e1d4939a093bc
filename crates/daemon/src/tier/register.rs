//! This daemon's own entry in the store, and the removal of entries that nobody stands behind.

use {
    crate::tier::knowledge::daemon_spec,
    rattanturn_core::Time,
    rattanturn_platform::{Store, StoreError, objects::DAEMONS},
    serde_json::Value,
    std::{collections::BTreeMap, time::Duration},
};

/// An entry without a living daemon is removed after this time: restarts take seconds.
const STALE_ENTRY_GRACE: Duration = Duration::from_mins(1);

/// Writes this daemon's entry; control tries again while it is missing.
pub(crate) async fn write_entry(store: Store, name: String, cores: f64) {
    if let Err(error) = put(&store, &name, &daemon_spec(cores)).await {
        tracing::info!(%error, "the own entry could not be written");
    }
}

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

/// Removes an entry; it is written anew if its daemon comes back.
pub(crate) async fn remove_entry(store: Store, name: String) {
    match store.remove(DAEMONS, &name).await {
        Ok(_) | Err(StoreError::NotFound) => tracing::info!(daemon = %name, "entry removed"),
        Err(error) => tracing::debug!(%error, daemon = %name, "entry not removed"),
    }
}

/// Entries whose daemons are absent, and since when.
#[derive(Debug, Default)]
pub(crate) struct StaleEntries {
    since: BTreeMap<String, Time>,
}

impl StaleEntries {
    /// Names whose entries are to be removed now.
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
        let over = |at: &Time| now.since(*at) >= STALE_ENTRY_GRACE;
        let due: Vec<String> = since
            .iter()
            .filter(|(_, at)| over(at))
            .map(|(name, _)| name.clone())
            .collect();
        since.retain(|_, at| !over(at));
        self.since = since;
        due
    }
}
