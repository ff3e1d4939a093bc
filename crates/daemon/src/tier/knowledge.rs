//! What this daemon knows of configuration, targets and data centres taken out, and since when.

use {
    crate::tier::{peers::TargetsObject, sources::StoreEvent},
    rattanturn_core::{Time, catalog::Catalog, discovery::TargetSet, readers::STALE_AFTER},
    rattanturn_platform::{Object, entries, objects},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// What peers must hear of when it changes.
#[derive(Clone, Default, PartialEq)]
struct SharedState {
    targets: u64,
    evacuated: BTreeSet<String>,
    daemons: BTreeMap<String, f64>,
}

/// Everything that the store tells, from the store itself or by way of a peer.
#[derive(Default)]
pub(crate) struct ClusterState {
    pub(crate) catalog: Option<Arc<Catalog>>,
    /// The configuration as the operators wrote it, for peers.
    pub(crate) catalog_spec: Vec<u8>,
    pub(crate) targets: TargetSet,
    pub(crate) evacuated: BTreeSet<String>,
    /// Processor share of each daemon by its name.
    pub(crate) daemons: BTreeMap<String, f64>,
    /// Version of targets and outages: the store's revision at which their last change was seen_revision.
    pub(crate) revision: u64,
    /// Store's revision up to which this daemon has read.
    seen_revision: u64,
    /// When they were last read, by this daemon or a peer.
    pub(crate) targets_read: Time,
    /// When the configuration was last read, by this daemon or a peer.
    pub(crate) config_read: Time,
    /// Failed calls in a row by kind.
    pub(crate) failures: HashMap<&'static str, u64>,
    /// State that `revision` stands for.
    shared: SharedState,
    /// That state as peers get it.
    targets_object: Vec<u8>,
}

impl ClusterState {
    /// Version of the configuration; 0 if none is known.
    pub(crate) fn config_version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |c| c.version())
    }

    /// Whether what is known of targets is too old to go by.
    pub(crate) fn is_stale(&self, now: Time) -> bool {
        self.targets_read == Time::ZERO || now.since(self.targets_read) > STALE_AFTER
    }

    /// Takes in what the store told.
    pub(crate) fn apply_event(&mut self, now: Time, event: StoreEvent) {
        match event {
            StoreEvent::Listed(kind, list) => {
                self.store_recovered(kind);
                self.apply_list(now, kind, list.objects);
                self.record_read(now, kind, list.revision);
            }
            StoreEvent::Changed(kind, changes) => {
                self.store_recovered(kind);
                for change in changes.events {
                    self.apply_change(now, kind, &change.object, change.removed);
                }
                self.record_read(now, kind, changes.revision);
            }
            StoreEvent::Failed(kind, error) => {
                let count = self.failures.entry(kind).or_default();
                *count += 1;
                if *count == 1 {
                    tracing::warn!(kind, %error, "the store is lost");
                }
                if self.is_stale(now) {
                    self.targets.store_unavailable(now);
                }
            }
            StoreEvent::SessionEnded => {}
        }
    }

    fn store_recovered(&mut self, kind: &'static str) {
        if let Some(failures) = self.failures.remove(kind) {
            tracing::info!(kind, failures, "the store is regained");
        }
    }

    fn apply_list(&mut self, now: Time, kind: &str, objects: Vec<Object>) {
        if kind == entries::TARGETS {
            self.targets.store_available(now);
            let targets = objects
                .iter()
                .filter_map(|o| entries::decode_target(&o.name, &o.spec));
            self.targets.apply_list(now, targets.collect());
        } else if kind == entries::EVACUATIONS {
            self.set_evacuated(objects.into_iter().map(|o| o.name).collect());
        } else if kind == objects::DAEMONS {
            let daemons = objects
                .into_iter()
                .filter_map(|o| Some((o.name, parse_cores(&o.spec)?)));
            self.daemons = daemons.collect();
        } else {
            for object in &objects {
                self.apply_change(now, kind, object, false);
            }
        }
    }

    fn apply_change(&mut self, now: Time, kind: &str, object: &Object, removed: bool) {
        if kind == entries::TARGETS {
            self.targets.store_available(now);
            if removed {
                tracing::info!(target_id = %object.name, revision = object.revision, "target removed");
                self.targets.entry_removed(now, &object.name);
            } else if let Some(target) = entries::decode_target(&object.name, &object.spec) {
                let (service, leaving) = (target.service.clone(), target.leaving);
                if self.targets.upsert(now, target) && leaving {
                    let (target_id, revision) = (&object.name, object.revision);
                    tracing::info!(%target_id, %service, revision, "target leaves");
                }
            } else {
                tracing::debug!(entry = %object.name, "an entry names no target to use");
            }
        } else if kind == entries::EVACUATIONS {
            let mut evacuated = self.evacuated.clone();
            if removed {
                evacuated.remove(&object.name);
            } else {
                evacuated.insert(object.name.clone());
            }
            self.set_evacuated(evacuated);
        } else if kind == objects::DAEMONS {
            match parse_cores(&object.spec).filter(|_| !removed) {
                Some(cores) => self.daemons.insert(object.name.clone(), cores),
                None => self.daemons.remove(&object.name),
            };
        } else if object.name == entries::CATALOG.1 && !removed {
            self.apply_catalog(&object.spec, "store");
        }
    }

    fn set_evacuated(&mut self, evacuated: BTreeSet<String>) {
        if evacuated != self.evacuated {
            tracing::info!(out = ?evacuated, "data centres taken out");
            self.evacuated = evacuated;
        }
    }

    fn record_read(&mut self, now: Time, kind: &str, revision: u64) {
        if kind == entries::TARGETS {
            self.targets.store_available(now);
            self.targets_read = now;
            self.seen_revision = self.seen_revision.max(revision);
        } else if kind == entries::CATALOG.0 {
            self.config_read = now;
        }
    }

    /// A reader has just read the store and found no targets newer than what is known here; it
    /// knows version `tables` of the configuration.
    pub(crate) fn confirm_read(&mut self, now: Time, tables: u64) {
        self.targets.store_available(now);
        self.targets_read = now;
        if tables <= self.config_version() {
            self.config_read = now;
        }
    }

    /// Gives targets and outages a new version if they changed; true if they did.
    pub(crate) fn update_revision(&mut self) -> bool {
        let state = self.shared_state();
        if state == self.shared {
            return false;
        }
        self.shared = state;
        self.revision = self.seen_revision.max(self.revision + 1);
        self.encode_targets();
        true
    }

    /// Takes a newer configuration; an older one never replaces it.
    pub(crate) fn apply_catalog(&mut self, spec: &Value, from: &str) {
        let catalog = match entries::decode_catalog(spec) {
            Ok(catalog) => catalog,
            Err(error) => {
                tracing::error!(%error, from, "a configuration cannot be read; the old one stays");
                return;
            }
        };
        let version = catalog.version();
        if version <= self.config_version() {
            return;
        }
        tracing::info!(version, from, "a newer configuration is in force");
        self.catalog = Some(Arc::new(catalog));
        self.catalog_spec = spec.to_string().into_bytes();
    }

    /// Takes in what a peer read; false if that is no newer.
    pub(crate) fn apply_targets(&mut self, now: Time, revision: u64, body: &[u8]) -> bool {
        if revision <= self.revision {
            return false;
        }
        match serde_json::from_slice::<TargetsObject>(body) {
            Ok(object) => {
                self.targets.adopt_from_peer(now, object.targets);
                self.set_evacuated(object.evacuated.into_iter().collect());
                self.revision = revision;
                self.targets_read = now;
                self.daemons = object.daemons;
                self.shared = self.shared_state();
                self.encode_targets();
                true
            }
            Err(error) => {
                tracing::warn!(%error, "a peer's targets cannot be read");
                false
            }
        }
    }

    /// Targets and outages for peers.
    pub(crate) fn targets_object(&self) -> &[u8] {
        &self.targets_object
    }

    fn shared_state(&self) -> SharedState {
        SharedState {
            targets: self.targets.changes(),
            evacuated: self.evacuated.clone(),
            daemons: self.daemons.clone(),
        }
    }

    fn encode_targets(&mut self) {
        let object = TargetsObject {
            evacuated: self.evacuated.iter().cloned().collect(),
            daemons: self.daemons.clone(),
            targets: self.targets.targets().cloned().collect(),
        };
        match object.to_lines() {
            Ok(body) => self.targets_object = body,
            Err(error) => tracing::error!(%error, "the targets cannot be written"),
        }
    }
}

/// What a daemon says of itself in the store.
pub(crate) fn daemon_spec(cores: f64) -> Value {
    json!({"cores": cores})
}

fn parse_cores(spec: &Value) -> Option<f64> {
    spec.get("cores")?.as_f64()
}
