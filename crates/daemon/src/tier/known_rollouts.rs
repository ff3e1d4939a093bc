//! The roll-outs as this daemon knows them, and which versions of a service may be called.
//!
//! An order and its status are one object of the store. Peers pass it on as it was read, so all daemons
//! decode it alike. A final status that was once read outlives the store's return to an older copy; the
//! price is that only the removal of the object, or another order, ends it.
//!
//! Without an order, a service uses the versions that its targets had when it became known. A target
//! of another version waits until an order names it, or until no target of those is left: its entry may
//! be read before the order is.

use {
    rattanturn_core::{
        Time,
        discovery::TargetSet,
        rendezvous,
        rollout::{Rollout, State, allowed, established, observe_final},
    },
    rattanturn_platform::{Object, entries::decode_rollout},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// An order as known to this daemon.
#[derive(Debug)]
pub(crate) struct KnownOrder {
    /// As last read from the store.
    pub(crate) read: Rollout,
    /// With the final status that was known before, if the store went back behind it.
    pub(crate) current: Arc<Rollout>,
    /// The newest final status.
    pub(crate) known_final: Option<Rollout>,
    /// When this daemon first saw the order.
    pub(crate) first_seen: Time,
    /// Whether it had no status then.
    pub(crate) from_start: bool,
}

/// All orders, by service.
#[derive(Debug, Default)]
pub(crate) struct KnownRollouts {
    /// The objects as read, to pass on to peers.
    objects: BTreeMap<String, Object>,
    orders: BTreeMap<String, KnownOrder>,
    /// Versions that each service uses without an order.
    established: HashMap<String, BTreeSet<String>>,
    /// Digest of the objects; 0 if there are none.
    digest: u64,
    /// Grows with each change of the orders.
    changes: u64,
    /// When the orders were last read, by this daemon or a peer; zero if never.
    last_read: Time,
}

impl KnownRollouts {
    /// Digest of all orders and their status; 0 if there are none.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of changes so far.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// When the orders were last read, by this daemon or a peer; zero if never.
    pub(crate) fn last_read(&self) -> Time {
        self.last_read
    }

    /// The objects as read.
    pub(crate) fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// The valid orders by service.
    pub(crate) fn orders(&self) -> &BTreeMap<String, KnownOrder> {
        &self.orders
    }

    /// Records that the orders were read, or that a reader confirmed them.
    pub(crate) fn confirm_read(&mut self, now: Time) {
        if self.last_read == Time::ZERO {
            self.changes += 1;
        }
        self.last_read = now;
    }

    /// Replaces all objects by those of a peer. Known ones among the `unreadable` that it named besides
    /// stay as they are.
    pub(crate) fn adopt(&mut self, now: Time, mut objects: Vec<Object>, unreadable: &[String]) {
        let known = unreadable.iter().filter_map(|n| self.objects.get(n));
        objects.extend(known.cloned());
        self.set_all(now, objects);
    }

    /// Replaces all objects.
    pub(crate) fn set_all(&mut self, now: Time, objects: Vec<Object>) {
        let present: BTreeSet<String> = objects.iter().map(|o| o.name.clone()).collect();
        let gone: Vec<String> = self
            .objects
            .keys()
            .filter(|name| !present.contains(*name))
            .cloned()
            .collect();
        for name in gone {
            self.remove(&name);
        }
        for object in objects {
            self.put(now, object);
        }
    }

    /// Applies a change of an object. The answer to a write may overtake a watch, so an older revision
    /// is ignored.
    pub(crate) fn apply_change(&mut self, now: Time, object: &Object, removed: bool) {
        let known = self.objects.get(&object.name);
        if known.is_some_and(|k| object.revision < k.revision) {
            return;
        }
        if removed {
            self.remove(&object.name);
        } else {
            self.put(now, object.clone());
        }
    }

    fn put(&mut self, now: Time, object: Object) {
        let name = object.name.clone();
        if self.objects.get(&name) == Some(&object) {
            return;
        }
        let known = self.objects.get(&name);
        let replaced = known.is_some_and(|k| k.created != object.created);
        match decode_rollout(&object) {
            Ok(read) => self.put_order(now, read, replaced),
            Err(error) => {
                tracing::warn!(kind = "rollouts", %name, field = error.field, problem = %error.problem, "ignored an invalid order");
                self.orders.remove(&name);
            }
        }
        self.objects.insert(name, object);
        self.record_change();
    }

    fn put_order(&mut self, now: Time, read: Rollout, replaced: bool) {
        let service = read.order.service.clone();
        let old = self.orders.remove(&service);
        let same = old
            .as_ref()
            .is_some_and(|o| !replaced && o.read.order == read.order);
        let seen = old.as_ref().filter(|_| same);
        let (first_seen, from_start) = seen.map_or_else(
            || (now, read.current_state().is_none()),
            |o| (o.first_seen, o.from_start),
        );
        let mut known_final = old.as_ref().and_then(|o| o.known_final.clone());
        if replaced {
            observe_final(&mut known_final, None);
        }
        observe_final(&mut known_final, Some(&read));
        let current = Arc::new(with_final(&read, known_final.as_ref()));
        let before = old.filter(|_| same).map(|o| o.current);
        log_change(before.as_deref(), &current);
        let order = KnownOrder {
            read,
            current,
            known_final,
            first_seen,
            from_start,
        };
        self.orders.insert(service, order);
    }

    fn remove(&mut self, name: &str) {
        if self.objects.remove(name).is_some() {
            self.record_change();
        }
        if let Some(order) = self.orders.remove(name) {
            let version = &order.current.order.version;
            tracing::info!(service = name, %version, "the order for a roll-out was removed");
        }
    }

    fn record_change(&mut self) {
        self.changes += 1;
        let contents = self
            .objects
            .values()
            .map(|o| (&o.name, &o.spec, &o.status, &o.created));
        self.digest = match self.objects.len() {
            0 => 0,
            _ => rendezvous::key(&format!("{:?}", contents.collect::<Vec<_>>())),
        };
    }

    /// Updates the versions that services use without an order.
    pub(crate) fn update_versions(&mut self, targets: &TargetSet) {
        let mut present: HashMap<&str, BTreeSet<&str>> = HashMap::new();
        for target in targets.targets() {
            let versions = present.entry(&target.service).or_default();
            versions.insert(&target.version);
        }
        if self.last_read == Time::ZERO {
            // Which of several versions may be called is not known yet.
            let all = present.iter().map(|(service, versions)| {
                let single = versions.iter().filter(|_| versions.len() == 1);
                ((*service).into(), single.map(|v| (*v).into()).collect())
            });
            self.established = all.collect();
            return;
        }
        for (service, versions) in present {
            let order = self.orders.get(service).map(|o| &*o.current);
            let known = self.established.entry(service.into()).or_default();
            *known = established(known, &versions, order);
        }
    }

    /// Whether targets of a version may be called.
    pub(crate) fn allows(&self, service: &str, version: &str) -> bool {
        let order = self.orders.get(service).map(|o| &*o.current);
        if !allowed(order, version) {
            return false;
        }
        let ordered = order.is_some_and(|r| r.order.version == version);
        let unknown = order.is_none() && version.is_empty();
        let established = self.established.get(service);
        ordered || unknown || established.is_some_and(|e| e.contains(version))
    }
}

/// The order as read, with the final status known before if the store has gone back behind it.
fn with_final(read: &Rollout, known: Option<&Rollout>) -> Rollout {
    let is_final = matches!(read.current_state(), Some(State::Done | State::Reverted));
    match known.filter(|k| !is_final && k.order.version == read.order.version) {
        Some(known) => Rollout {
            status: known.status.clone(),
            ..read.clone()
        },
        None => read.clone(),
    }
}

/// Logs a new order, a change of its share and its end.
fn log_change(before: Option<&Rollout>, rollout: &Rollout) {
    let order = &rollout.order;
    let (service, version) = (&order.service, &order.version);
    if before.is_none() {
        let duration_s = order.duration.as_secs_f64();
        tracing::info!(%service, %version, duration_s, "a roll-out was ordered");
    }
    let state = rollout.current_state();
    let reason = rollout.status.as_ref().map_or("", |s| s.reason.as_str());
    if before.and_then(Rollout::current_state) == state {
        return;
    }
    match state {
        Some(State::Running { share }) => {
            tracing::info!(%service, %version, share, reason, "the share of a new version changed");
        }
        Some(State::Done) => tracing::info!(%service, %version, reason, "a roll-out is done"),
        Some(State::Reverted) => {
            tracing::warn!(%service, %version, reason, "a roll-out was reverted");
        }
        None => {}
    }
}
