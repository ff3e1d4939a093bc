//! The state of the cluster as this daemon knows it: configuration, targets, evacuated data centres
//! and registered daemons.
//!
//! It comes from the store, or from a peer that reads the store. The configuration carries the
//! version that operators gave it; everything else shares one revision and one digest. The revision
//! says whose state is newer, the digest whether two states differ at all: two readers give the same
//! state different revisions. Peers fetch only the parts that differ.

mod catalog;

use {
    crate::{
        tier::{
            known_rollouts::KnownRollouts,
            peers::{TargetsReply, TargetsUpdate},
            sources::StoreEvent,
        },
        unusable_log::UnusableLog,
    },
    rattanturn_core::{
        Time,
        catalog::Catalog,
        discovery::{PeerTargets, Target, TargetSet},
        evacuations::Evacuations,
        readers::STALE_AFTER,
        rendezvous,
        watch_position::WatchPosition,
    },
    rattanturn_platform::{Object, UnreadableEntry, entries, objects},
    rattanturn_wire::items::{Items, UnreadableItem, Values},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        sync::Arc,
    },
};

/// Most cores that a daemon's entry may state; no machine has more. A larger figure would make all
/// other daemons look small beside it.
const MAX_CORES: f64 = 4_096.0;

/// What `revision` of [`ClusterState`] stands for; a change is announced to peers.
#[derive(Clone, Default, PartialEq)]
struct SharedState {
    /// Change counter of the targets.
    targets: u64,
    evacuated: BTreeSet<String>,
    /// Digest of the registered daemons.
    daemons: u64,
    /// Digest of the roll-outs; 0 if there are none, `None` until it is known whether there are.
    rollouts: Option<u64>,
}

/// Everything that was read from the store, by this daemon or by a peer.
#[derive(Default)]
pub(crate) struct ClusterState {
    /// `None` until a configuration is known.
    pub(crate) catalog: Option<Arc<Catalog>>,
    /// Newest version that a peer sent and that cannot be applied here; 0 if there is none.
    refused_version: u64,
    /// The configuration as JSON in the operators' format, to pass on to peers.
    pub(crate) catalog_spec: Vec<u8>,
    pub(crate) targets: TargetSet,
    pub(crate) evacuations: Evacuations,
    /// Processor cores of each registered daemon, by its name.
    pub(crate) daemons: BTreeMap<String, f64>,
    /// Digest of `daemons`; 0 if there are none.
    pub(crate) daemons_digest: u64,
    /// Whether `daemons` were read, by this daemon or a peer. If not, peers keep what they know.
    daemons_known: bool,
    pub(crate) rollouts: KnownRollouts,
    /// Whether the settings ask for roll-outs. If not, versions of targets are dropped, so that peers
    /// exchange the same bytes as before there were roll-outs.
    uses_rollouts: bool,
    /// Revision of the targets, evacuated data centres and registered daemons together. It is
    /// at least the store's revision up to which a reader had read when it noticed their last
    /// change, and each change raises it; 0 if nothing is known.
    pub(crate) revision: u64,
    /// The store's revision up to which this daemon has read the targets.
    seen_revision: u64,
    /// When the targets were last read, by this daemon or a peer; zero if never.
    pub(crate) targets_read: Time,
    /// When the configuration was last read, by this daemon or a peer; zero if never.
    pub(crate) config_read: Time,
    /// When this daemon itself last read each kind of object from the store; a kind that it never
    /// read is absent.
    pub(crate) own_reads: HashMap<&'static str, Time>,
    /// Kinds that were read since this daemon last began to read the store.
    session_reads: HashSet<&'static str>,
    /// Number of consecutive failed calls to the store, by the kind of object. A kind whose last
    /// call succeeded is absent.
    pub(crate) failures: HashMap<&'static str, u64>,
    /// The state at `revision`.
    shared: SharedState,
    /// Digest of the state at `revision`; 0 if nothing is known, or not yet whether there are roll-outs.
    digest: u64,
    /// Entries that cannot be used, as far as they were logged.
    pub(crate) unusable: UnusableLog,
    /// The last reply to a peer, with the digest of what it requested. Many peers request the same
    /// after a change.
    last_reply: Option<(u64, TargetsReply)>,
}

impl ClusterState {
    /// Knows nothing yet; `uses_rollouts` says whether the settings ask for roll-outs.
    pub(crate) fn new(uses_rollouts: bool) -> Self {
        let mut state = Self {
            uses_rollouts,
            ..Self::default()
        };
        state.shared = state.shared_state();
        state
    }

    /// Decodes a target's entry; `None` if it names no target to use, which is noted.
    fn decode_target(&mut self, object: &Object) -> Option<Target> {
        match entries::decode_target(&object.name, &object.spec) {
            Ok(mut target) => {
                if !self.uses_rollouts {
                    target.version.clear();
                }
                Some(target)
            }
            Err(problem) => {
                self.unusable
                    .note_entry(entries::TARGETS, Some(&object.name), &problem);
                None
            }
        }
    }

    /// Decodes the cores in a daemon's entry; `None` if they cannot be used, which is noted.
    fn decode_cores(&mut self, object: &Object) -> Option<f64> {
        let cores = object.spec.get("cores").and_then(Value::as_f64);
        let cores = cores.filter(|c| *c > 0.0 && *c <= MAX_CORES);
        if cores.is_none() {
            let problem = "cores is not a number of processor cores";
            self.unusable
                .note_entry(objects::DAEMONS, Some(&object.name), problem);
        }
        cores
    }

    /// Notes what could not be read in an answer of the store.
    pub(crate) fn note_unreadable(&mut self, kind: &'static str, unreadable: &[UnreadableEntry]) {
        for entry in unreadable {
            self.unusable
                .note_entry(kind, entry.name.as_deref(), &entry.problem);
        }
    }

    /// Whether the targets were never read, or longer ago than [`STALE_AFTER`].
    pub(crate) fn is_stale(&self, now: Time) -> bool {
        self.targets_read == Time::ZERO || now.since(self.targets_read) > STALE_AFTER
    }

    /// Applies the result of a call to the store.
    pub(crate) fn apply_event(&mut self, now: Time, event: StoreEvent) {
        match event {
            StoreEvent::Listed(kind, list) => {
                self.store_recovered(kind);
                self.note_unreadable(kind, &list.unreadable);
                self.apply_list(now, kind, list.objects);
                self.record_read(now, kind, list.position);
            }
            StoreEvent::Changed(kind, changes) => {
                self.store_recovered(kind);
                self.note_unreadable(kind, &changes.unreadable);
                for change in changes.events {
                    self.apply_change(now, kind, &change.object, change.removed);
                }
                self.record_read(now, kind, changes.position);
            }
            StoreEvent::Failed(kind, error) => {
                let count = self.failures.entry(kind).or_default();
                *count += 1;
                if *count == 1 {
                    tracing::warn!(kind, %error, "cannot read the store");
                }
                // A failure while entries are awaited means that they cannot be renewed either.
                let awaited = kind == entries::TARGETS && self.targets.awaits_entries();
                if self.is_stale(now) || awaited {
                    self.targets.store_unavailable(now);
                }
            }
            StoreEvent::SessionEnded => {}
        }
    }

    /// Notes that this daemon begins to read the store, whose changes it may have missed.
    pub(crate) fn begin_reading(&mut self) {
        self.session_reads.clear();
    }

    /// Whether this daemon can say that the store holds nothing newer than what it has read: each
    /// kind that callers depend on within seconds was read, and the last call for it succeeded.
    pub(crate) fn is_read_complete(&self) -> bool {
        let kinds = [
            entries::CATALOG.0,
            entries::EVACUATIONS,
            entries::TARGETS,
            entries::ROLLOUTS,
        ];
        let is_asked = |kind: &str| kind != entries::ROLLOUTS || self.uses_rollouts;
        let mut asked = kinds.iter().filter(|kind| is_asked(kind));
        asked.all(|kind| self.session_reads.contains(kind) && !self.failures.contains_key(kind))
    }

    fn store_recovered(&mut self, kind: &'static str) {
        if let Some(failures) = self.failures.remove(kind) {
            tracing::info!(kind, failures, "the store is readable again");
        }
    }

    fn apply_list(&mut self, now: Time, kind: &str, objects: Vec<Object>) {
        if kind == entries::TARGETS {
            self.targets.store_available(now);
            let targets: Vec<Target> = objects
                .iter()
                .filter_map(|o| self.decode_target(o))
                .collect();
            self.targets.apply_list(now, targets);
        } else if kind == entries::EVACUATIONS {
            let centres = objects.into_iter().map(|o| o.name).collect();
            self.update_evacuations(|known| known.set(centres));
        } else if kind == entries::ROLLOUTS {
            self.rollouts.set_all(now, objects);
        } else if kind == objects::DAEMONS {
            let daemons = objects
                .into_iter()
                .filter_map(|o| self.decode_cores(&o).map(|cores| (o.name, cores)))
                .collect();
            self.set_daemons(daemons);
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
            } else if let Some(target) = self.decode_target(object) {
                let (service, leaving) = (target.service.clone(), target.leaving);
                if self.targets.upsert(now, target) && leaving {
                    let (target_id, revision) = (&object.name, object.revision);
                    tracing::info!(%target_id, %service, revision, "target is leaving");
                }
            } else {
                // A list would no longer name this target either.
                self.targets.entry_removed(now, &object.name);
            }
        } else if kind == entries::EVACUATIONS {
            let mut centres = self.evacuations.centres().clone();
            if removed {
                centres.remove(&object.name);
            } else {
                centres.insert(object.name.clone());
            }
            self.update_evacuations(|known| known.set(centres));
        } else if kind == entries::ROLLOUTS {
            self.rollouts.apply_change(now, object, removed);
        } else if kind == objects::DAEMONS {
            let cores = if removed {
                None
            } else {
                self.decode_cores(object)
            };
            match cores {
                Some(cores) => self.daemons.insert(object.name.clone(), cores),
                None => self.daemons.remove(&object.name),
            };
            self.daemons_digest = digest_daemons(&self.daemons);
        } else if object.name == entries::CATALOG.1 && !removed {
            self.apply_catalog(&object.spec, "store");
        }
    }

    /// Changes the evacuations, and logs them if they differ then.
    fn update_evacuations<T>(&mut self, change: impl FnOnce(&mut Evacuations) -> T) -> T {
        let before = self.evacuations.centres().clone();
        let out = change(&mut self.evacuations);
        if *self.evacuations.centres() != before {
            tracing::info!(out = ?self.evacuations.centres(), "evacuated data centres changed");
        }
        out
    }

    fn record_read(&mut self, now: Time, kind: &'static str, position: WatchPosition) {
        self.own_reads.insert(kind, now);
        self.session_reads.insert(kind);
        if kind == entries::TARGETS {
            self.targets.read_complete(now);
            self.targets_read = now;
            self.seen_revision = self.seen_revision.max(position.revision);
        } else if kind == entries::EVACUATIONS {
            self.evacuations.read_up_to(position);
        } else if kind == entries::CATALOG.0 {
            self.config_read = now;
        } else if kind == entries::ROLLOUTS {
            self.rollouts.confirm_read(now);
        }
    }

    /// Marks the state as just read: a reader announced that the store holds nothing newer than
    /// `revision`.
    pub(crate) fn confirm_read(&mut self, now: Time) {
        self.targets.store_available(now);
        self.targets_read = now;
        if self.rollouts.last_read() > Time::ZERO {
            self.rollouts.confirm_read(now);
        }
    }

    /// Marks the configuration as just read, if a reader that announced it knows no newer version
    /// than this daemon. It does not depend on the targets: where these change all the time, this
    /// daemon is rarely up to date with them when an announcement comes.
    pub(crate) fn confirm_config(&mut self, now: Time, announced: u64) {
        if self.catalog.is_some() && announced <= self.config_version() {
            self.config_read = now;
        }
    }

    /// Raises `revision` if the state that it covers has changed; true if it has.
    pub(crate) fn update_revision(&mut self) -> bool {
        let state = self.shared_state();
        if state == self.shared {
            return false;
        }
        self.set_shared(state);
        self.revision = self.seen_revision.max(self.revision.saturating_add(1));
        true
    }

    /// Digest of the targets, evacuated data centres and registered daemons at `revision`.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes over the higher revision that a peer gave to the same state.
    pub(crate) fn adopt_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.last_reply = None;
    }

    /// Raises the revision, so that a peer with another state of the same revision fetches this one.
    pub(crate) fn raise_revision(&mut self) {
        self.revision += 1;
        self.last_reply = None;
    }

    /// Applies what was fetched from a peer; false if it is not newer or cannot be parsed.
    pub(crate) fn apply_targets(&mut self, now: Time, reply: &TargetsReply) -> bool {
        if reply.revision <= self.revision {
            return false;
        }
        let mut update: TargetsUpdate = match serde_json::from_slice(&reply.body) {
            Ok(update) => update,
            Err(error) => {
                tracing::warn!(%error, "cannot parse a peer's targets");
                return false;
            }
        };
        self.note_update(&update);
        if !self.uses_rollouts {
            let targets = update.targets.readable.iter_mut();
            targets.for_each(|t| t.version.clear());
        }
        let from = PeerTargets {
            targets: update.targets.readable,
            unreadable: ids(update.targets.unreadable),
            expiry: update.expiry.map(Into::into),
        };
        let refused = match update.buckets {
            Some(buckets) => self.targets.adopt_buckets(now, &buckets, from),
            None => self.targets.adopt_from_peer(now, from),
        };
        let same_evacuations = self.adopt_evacuations(update.evacuated, update.evacuations_read);
        if let Some(daemons) = update.daemons {
            self.adopt_daemons(daemons);
        }
        if let Some(rollouts) = update.rollouts.filter(|_| self.uses_rollouts) {
            let unreadable = ids(rollouts.unreadable);
            self.rollouts.adopt(now, rollouts.readable, &unreadable);
            self.rollouts.confirm_read(now);
        }
        // Daemons that have the peer's state fetch this one if it lacks a target that was removed, or
        // evacuations that were read later.
        self.revision = reply.revision + u64::from(refused || !same_evacuations);
        self.targets_read = now;
        self.set_shared(self.shared_state());
        true
    }

    /// Notes what could not be read of a peer's update.
    fn note_update(&mut self, update: &TargetsUpdate) {
        self.unusable
            .note_items("peer-targets", &update.targets.unreadable);
        self.unusable
            .note_items("peer-evacuations", &update.evacuated.unreadable);
        if let Some(daemons) = &update.daemons {
            self.unusable
                .note_items("peer-daemons", &daemons.unreadable);
        }
        if let Some(expiry) = &update.expiry {
            self.unusable
                .note_items("peer-removed", &expiry.removed.unreadable);
        }
        if let Some(rollouts) = &update.rollouts {
            self.unusable
                .note_items("peer-rollouts", &rollouts.unreadable);
        }
    }

    /// Takes over a peer's evacuated data centres, unless it knows less; true if both know the same then.
    /// While some of their names cannot be read, none is taken back.
    fn adopt_evacuations(&mut self, sent: Items<String>, read: Option<WatchPosition>) -> bool {
        let mut centres: BTreeSet<String> = sent.readable.into_iter().collect();
        if !sent.unreadable.is_empty() {
            centres.extend(self.evacuations.centres().iter().cloned());
        }
        self.update_evacuations(|known| known.adopt(centres, read))
    }

    /// Takes over a peer's registered daemons. One whose cores cannot be read stays as it is known.
    fn adopt_daemons(&mut self, sent: Values<f64>) {
        let mut daemons = sent.readable;
        for name in ids(sent.unreadable) {
            if let Some(cores) = self.daemons.get(&name) {
                daemons.insert(name, *cores);
            }
        }
        self.set_daemons(daemons);
    }

    /// What a peer lacks whose buckets of targets and whose registered daemons have these digests.
    /// No digests stand for a peer that knows nothing.
    pub(crate) fn reply_to_peer(
        &mut self,
        now: Time,
        digests: &[u64],
        daemons: u64,
    ) -> TargetsReply {
        let bytes = digests.iter().flat_map(|d| d.to_le_bytes());
        let bytes: Vec<u8> = bytes.chain(daemons.to_le_bytes()).collect();
        let request = rendezvous::digest(&bytes);
        if let Some((key, reply)) = &self.last_reply
            && *key == request
        {
            return reply.clone();
        }
        let buckets = self.targets.digests().differing(digests);
        let targets: Vec<Target> = self.targets.in_buckets(&buckets).cloned().collect();
        let expiry = self.targets.expiry_notice(now);
        let lasting = expiry.is_none();
        let update = TargetsUpdate {
            evacuated: self.evacuated_names().into(),
            evacuations_read: Some(self.evacuations.position()),
            daemons: (self.daemons_known && (digests.is_empty() || daemons != self.daemons_digest))
                .then(|| self.daemons.clone().into()),
            buckets: (!digests.is_empty()).then_some(buckets),
            targets: targets.into(),
            expiry: expiry.map(Into::into),
            rollouts: (self.rollouts.last_read() > Time::ZERO)
                .then(|| self.rollouts.objects().cloned().collect::<Vec<_>>().into()),
        };
        let reply = TargetsReply {
            revision: self.revision,
            body: update.encode(),
        };
        // What is said of expired entries depends on the time.
        self.last_reply = lasting.then(|| (request, reply.clone()));
        reply
    }

    fn evacuated_names(&self) -> Vec<String> {
        self.evacuations.centres().iter().cloned().collect()
    }

    fn set_daemons(&mut self, daemons: BTreeMap<String, f64>) {
        self.daemons_digest = digest_daemons(&daemons);
        self.daemons = daemons;
        self.daemons_known = true;
    }

    fn shared_state(&self) -> SharedState {
        SharedState {
            targets: self.targets.changes(),
            evacuated: self.evacuations.centres().clone(),
            daemons: self.daemons_digest,
            rollouts: self.known_rollouts(),
        }
    }

    /// Digest of the roll-outs. If the settings ask for them, `None` until they and the targets were read:
    /// roll-outs alone are no state for peers that know nothing.
    fn known_rollouts(&self) -> Option<u64> {
        let is_read = self.rollouts.last_read() > Time::ZERO && self.targets_read > Time::ZERO;
        (is_read || !self.uses_rollouts).then(|| self.rollouts.digest())
    }

    fn set_shared(&mut self, state: SharedState) {
        let parts = (
            self.targets.digests().total(),
            &state.evacuated,
            state.daemons,
        );
        // Without roll-outs, the digest is that of older builds.
        self.digest = match state.rollouts {
            // A peer that has read the roll-outs must not count as having the same state.
            None => 0,
            Some(0) => rendezvous::key(&format!("{parts:?}")),
            Some(rollouts) => rendezvous::key(&format!("{parts:?} {rollouts}")),
        };
        self.shared = state;
        self.last_reply = None;
    }
}

/// Ids of items that cannot be read, as far as these can be.
fn ids(unreadable: Vec<UnreadableItem>) -> Vec<String> {
    unreadable.into_iter().filter_map(|item| item.id).collect()
}

/// Digest of the registered daemons; 0 if there are none.
fn digest_daemons(daemons: &BTreeMap<String, f64>) -> u64 {
    if daemons.is_empty() {
        return 0;
    }
    rendezvous::key(&format!("{daemons:?}"))
}

/// Content of a daemon's own entry in the store.
pub(crate) fn daemon_spec(cores: f64) -> Value {
    json!({"cores": cores})
}
