//! Keeps the quarantined requests in the store, so that they stay quarantined when all daemons restart,
//! and become known to daemons that cannot reach the others.
//!
//! Whoever reads the store takes over what it finds there and tells the others. The daemons that always read it also write:
//! they compare what is there with what they know once a second, so a write that fails is repeated.

use {
    super::Control,
    crate::{clock, tier::sources::StoreEvent},
    rattanturn_core::quarantine::Evidence,
    rattanturn_platform::{Object, Store, StoreError, objects::QUARANTINE},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Most writes that are started at once.
const MAX_WRITES: usize = 8;

/// Content of a quarantined request's object.
#[derive(Serialize, Deserialize)]
struct StoredEvidence {
    #[serde(flatten)]
    evidence: Evidence,
    /// When the evidence was written, in Unix milliseconds; the age that it states is from then.
    written_ms: u64,
}

/// The quarantined requests in the store, as far as this daemon has read.
#[derive(Debug, Default)]
pub(super) struct StoredRequests(BTreeMap<String, u32>);

impl Control {
    /// Takes over quarantined requests that were read from the store; returns any other event.
    pub(super) fn apply_stored_evidence(&mut self, event: StoreEvent) -> Option<StoreEvent> {
        match event {
            StoreEvent::Listed(QUARANTINE, list) => {
                self.cluster.note_unreadable(QUARANTINE, &list.unreadable);
                self.stored.0.clear();
                for object in &list.objects {
                    self.take_over(object);
                }
            }
            StoreEvent::Changed(QUARANTINE, changes) => {
                self.cluster
                    .note_unreadable(QUARANTINE, &changes.unreadable);
                for change in &changes.events {
                    if change.removed {
                        self.stored.0.remove(&change.object.name);
                    } else {
                        self.take_over(&change.object);
                    }
                }
            }
            other => return Some(other),
        }
        None
    }

    fn take_over(&mut self, object: &Object) {
        let stored: StoredEvidence = match serde_json::from_value(object.spec.clone()) {
            Ok(stored) => stored,
            Err(error) => {
                let name = Some(object.name.as_str());
                let problem = error.to_string();
                self.cluster.unusable.note_entry(QUARANTINE, name, &problem);
                return;
            }
        };
        let mut evidence = stored.evidence;
        self.stored.0.insert(object.name.clone(), evidence.trials);
        let since = clock::unix_ms().saturating_sub(stored.written_ms);
        evidence.age_ms = evidence.age_ms.saturating_add(since);
        self.quarantine.take_over(&evidence);
    }

    /// Writes the quarantined requests that the store lacks, and removes those that are none any more.
    /// Only primary readers do it.
    pub(super) fn store_evidence(&mut self) {
        if !self.reader_context.is_primary() || self.read_session.is_none() {
            return;
        }
        let quarantined: BTreeMap<String, Evidence> = self
            .quarantine
            .quarantined()
            .into_iter()
            .map(|e| (e.request.to_string(), e))
            .collect();
        let stored = &self.stored.0;
        let gone = stored
            .keys()
            .filter(|name| !quarantined.contains_key(*name));
        for name in gone.take(MAX_WRITES) {
            actix_rt::spawn(remove(self.store.clone(), name.clone()));
        }
        let is_stored = |name: &str, e: &Evidence| stored.get(name).is_some_and(|t| *t >= e.trials);
        let missing = quarantined.iter().filter(|(name, e)| !is_stored(name, e));
        for (name, evidence) in missing.take(MAX_WRITES) {
            actix_rt::spawn(write(self.store.clone(), name.clone(), evidence.clone()));
        }
    }
}

/// Creates or replaces an object. An error is only logged, because the write is repeated while the store
/// does not list the object.
async fn write(store: Store, name: String, evidence: Evidence) {
    let stored = StoredEvidence {
        evidence,
        written_ms: clock::unix_ms(),
    };
    let written = match serde_json::to_value(&stored) {
        Ok(spec) => match store.create(QUARANTINE, &name, &spec).await {
            Err(StoreError::Conflict(Some(present))) => {
                let revision = present.revision;
                store.replace(QUARANTINE, &name, revision, &spec).await
            }
            other => other,
        },
        Err(error) => {
            tracing::error!(%error, "cannot encode a quarantined request");
            return;
        }
    };
    if let Err(error) = written {
        tracing::info!(%error, request = %name, "cannot write a quarantined request to the store");
    }
}

/// Removes an object; like [`write`], it is repeated.
async fn remove(store: Store, name: String) {
    match store.remove(QUARANTINE, &name).await {
        Ok(_) | Err(StoreError::NotFound) => {}
        Err(error) => {
            tracing::info!(%error, request = %name, "cannot remove a quarantined request from the store");
        }
    }
}
