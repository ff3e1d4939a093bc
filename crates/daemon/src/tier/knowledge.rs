//! What this daemon knows of configuration, targets and data centres taken out, and since when.

use {
    crate::tier::{peers::FleetObject, sources::News},
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
struct Versioned {
    fleet: u64,
    out: BTreeSet<String>,
    daemons: BTreeMap<String, f64>,
}

/// Everything that the store tells, from the store itself or by way of a peer.
#[derive(Default)]
pub(crate) struct Knowledge {
    pub(crate) catalog: Option<Arc<Catalog>>,
    /// The configuration as the operators wrote it, for peers.
    pub(crate) spec: Vec<u8>,
    pub(crate) fleet: TargetSet,
    pub(crate) out: BTreeSet<String>,
    /// Processor share of each daemon by its name.
    pub(crate) daemons: BTreeMap<String, f64>,
    /// Version of targets and outages: the store's revision at which their last change was seen.
    pub(crate) revision: u64,
    /// Store's revision up to which this daemon has read.
    seen: u64,
    /// When they were last read, by this daemon or a peer.
    pub(crate) read: Time,
    /// When the configuration was last read, by this daemon or a peer.
    pub(crate) configured: Time,
    /// Failed calls in a row by kind.
    pub(crate) failures: HashMap<&'static str, u64>,
    /// State that `revision` stands for.
    versioned: Versioned,
    /// That state as peers get it.
    fleet_object: Vec<u8>,
}

impl Knowledge {
    /// Version of the configuration; 0 if none is known.
    pub(crate) fn version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |c| c.version())
    }

    /// Whether what is known of targets is too old to go by.
    pub(crate) fn stale(&self, now: Time) -> bool {
        self.read == Time::ZERO || now.since(self.read) > STALE_AFTER
    }

    /// Takes in what the store told.
    pub(crate) fn news(&mut self, now: Time, news: News) {
        match news {
            News::Listed(kind, list) => {
                self.regained(kind);
                self.apply_list(now, kind, list.objects);
                self.read_to(now, kind, list.revision);
            }
            News::Changed(kind, changes) => {
                self.regained(kind);
                for event in changes.events {
                    self.changed(now, kind, &event.object, event.removed);
                }
                self.read_to(now, kind, changes.revision);
            }
            News::Failed(kind, error) => {
                let count = self.failures.entry(kind).or_default();
                *count += 1;
                if *count == 1 {
                    tracing::warn!(kind, %error, "the store is lost");
                }
                if self.stale(now) {
                    self.fleet.store_unavailable(now);
                }
            }
            News::Ended => {}
        }
    }

    fn regained(&mut self, kind: &'static str) {
        if let Some(failures) = self.failures.remove(kind) {
            tracing::info!(kind, failures, "the store is regained");
        }
    }

    fn apply_list(&mut self, now: Time, kind: &str, objects: Vec<Object>) {
        if kind == entries::TARGETS {
            self.fleet.store_available(now);
            let targets = objects
                .iter()
                .filter_map(|o| entries::decode_target(&o.name, &o.spec));
            self.fleet.apply_list(now, targets.collect());
        } else if kind == entries::EVACUATIONS {
            self.take_out(objects.into_iter().map(|o| o.name).collect());
        } else if kind == objects::DAEMONS {
            let daemons = objects
                .into_iter()
                .filter_map(|o| Some((o.name, cores(&o.spec)?)));
            self.daemons = daemons.collect();
        } else {
            for object in &objects {
                self.changed(now, kind, object, false);
            }
        }
    }

    fn changed(&mut self, now: Time, kind: &str, object: &Object, removed: bool) {
        if kind == entries::TARGETS {
            self.fleet.store_available(now);
            if removed {
                tracing::info!(target_id = %object.name, revision = object.revision, "target removed");
                self.fleet.entry_removed(now, &object.name);
            } else if let Some(target) = entries::decode_target(&object.name, &object.spec) {
                let (service, leaving) = (target.service.clone(), target.leaving);
                if self.fleet.upsert(now, target) && leaving {
                    let (target_id, revision) = (&object.name, object.revision);
                    tracing::info!(%target_id, %service, revision, "target leaves");
                }
            } else {
                tracing::debug!(entry = %object.name, "an entry names no target to use");
            }
        } else if kind == entries::EVACUATIONS {
            let mut out = self.out.clone();
            if removed {
                out.remove(&object.name);
            } else {
                out.insert(object.name.clone());
            }
            self.take_out(out);
        } else if kind == objects::DAEMONS {
            match cores(&object.spec).filter(|_| !removed) {
                Some(cores) => self.daemons.insert(object.name.clone(), cores),
                None => self.daemons.remove(&object.name),
            };
        } else if object.name == entries::CATALOG.1 && !removed {
            self.take_catalog(&object.spec, "store");
        }
    }

    fn take_out(&mut self, out: BTreeSet<String>) {
        if out != self.out {
            tracing::info!(?out, "data centres taken out");
            self.out = out;
        }
    }

    fn read_to(&mut self, now: Time, kind: &str, revision: u64) {
        if kind == entries::TARGETS {
            self.fleet.store_available(now);
            self.read = now;
            self.seen = self.seen.max(revision);
        } else if kind == entries::CATALOG.0 {
            self.configured = now;
        }
    }

    /// A reader has just read the store and found no targets newer than what is known here; it
    /// knows version `tables` of the configuration.
    pub(crate) fn confirmed(&mut self, now: Time, tables: u64) {
        self.fleet.store_available(now);
        self.read = now;
        if tables <= self.version() {
            self.configured = now;
        }
    }

    /// Gives targets and outages a new version if they changed; true if they did.
    pub(crate) fn version_fleet(&mut self) -> bool {
        let state = self.state();
        if state == self.versioned {
            return false;
        }
        self.versioned = state;
        self.revision = self.seen.max(self.revision + 1);
        self.write_object();
        true
    }

    /// Takes a newer configuration; an older one never replaces it.
    pub(crate) fn take_catalog(&mut self, spec: &Value, from: &str) {
        let catalog = match entries::decode_catalog(spec) {
            Ok(catalog) => catalog,
            Err(error) => {
                tracing::error!(%error, from, "a configuration cannot be read; the old one stays");
                return;
            }
        };
        let version = catalog.version();
        if version <= self.version() {
            return;
        }
        tracing::info!(version, from, "a newer configuration is in force");
        self.catalog = Some(Arc::new(catalog));
        self.spec = spec.to_string().into_bytes();
    }

    /// Takes in what a peer read; false if that is no newer.
    pub(crate) fn take_fleet(&mut self, now: Time, revision: u64, body: &[u8]) -> bool {
        if revision <= self.revision {
            return false;
        }
        match serde_json::from_slice::<FleetObject>(body) {
            Ok(object) => {
                self.fleet.adopt_from_peer(now, object.targets);
                self.take_out(object.out.into_iter().collect());
                self.revision = revision;
                self.read = now;
                self.daemons = object.daemons;
                self.versioned = self.state();
                self.write_object();
                true
            }
            Err(error) => {
                tracing::warn!(%error, "a peer's targets cannot be read");
                false
            }
        }
    }

    /// Targets and outages for peers.
    pub(crate) fn fleet_object(&self) -> &[u8] {
        &self.fleet_object
    }

    fn state(&self) -> Versioned {
        Versioned {
            fleet: self.fleet.changes(),
            out: self.out.clone(),
            daemons: self.daemons.clone(),
        }
    }

    fn write_object(&mut self) {
        let object = FleetObject {
            out: self.out.iter().cloned().collect(),
            daemons: self.daemons.clone(),
            targets: self.fleet.targets().cloned().collect(),
        };
        match object.lines() {
            Ok(body) => self.fleet_object = body,
            Err(error) => tracing::error!(%error, "the targets cannot be written"),
        }
    }
}

/// What a daemon says of itself in the store.
pub(crate) fn own_entry(cores: f64) -> Value {
    json!({"cores": cores})
}

fn cores(spec: &Value) -> Option<f64> {
    spec.get("cores")?.as_f64()
}
