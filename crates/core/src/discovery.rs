//! Discovery of targets from the entries that they write into the platform's store.
//!
//! Each target renews an entry of its own, which expires in the store when the target stops.
//! Entries may arrive out of order, so of two entries of a target the one with the higher
//! incarnation is newer, or the one with the higher sequence number if both are of the same
//! incarnation.
//!
//! While the store is unreachable, targets cannot renew their entries, so entries that expire then
//! do not mean that their targets have stopped. Such a target is kept until [`EXPIRY_GRACE`] after
//! the store is reachable again and is removed if it has not renewed its entry within that time.
//! The price is that a target that really stopped during an outage stays in use for that long.

use {
    crate::{
        Time,
        buckets::{BUCKETS, BucketDigests, bucket},
        rendezvous,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time that targets have to renew expired entries once the store is reachable again. The platform
/// promises two seconds.
pub const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);
/// A removal this soon after the first failed read may be an expiry caused by the outage. The value
/// has no effect at present, because `may_have_expired` treats every removal during an outage as
/// such an expiry.
const OUTAGE_EXPIRY_WINDOW: Duration = Duration::from_millis(1_500);
/// Time for which a removed incarnation is remembered, so that a late entry does not add it again.
const REMOVAL_RETENTION: Duration = Duration::from_mins(2);

/// A target: one server that runs requests of one service, as described by its own entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Id of the target, which stays the same across restarts.
    pub id: String,
    /// Name of the service whose requests it runs.
    pub service: String,
    /// Address at which it accepts calls.
    pub addr: SocketAddr,
    /// Name of its data centre.
    pub centre: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to stop and must not get new requests.
    pub leaving: bool,
    /// Version of its software; empty if it is unknown, as in what a daemon of an older build passes on.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub version: String,
    /// Remaining warmup time when it wrote the entry; zero if it is warm.
    pub cold_left: Duration,
    /// Start time of the target's process by its own clock, in milliseconds since 1970, which tells
    /// restarts apart.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Number of the entry within the incarnation; higher is newer.
    #[serde(rename = "beat")]
    pub sequence: u64,
}

impl Target {
    /// Orders the entries of a target from old to new.
    fn version(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    /// Whether two entries differ in what callers depend on, rather than only in the sequence
    /// number or in how much warmup time is left.
    fn differs(&self, other: &Self) -> bool {
        let known = |t: &Self| (t.incarnation, t.addr, t.slots, t.leaving);
        known(self) != known(other)
            || self.service != other.service
            || self.version != other.version
            || self.centre != other.centre
            || self.cold_left.is_zero() != other.cold_left.is_zero()
    }
}

impl Target {
    /// Digest of what callers depend on, see [`Self::differs`].
    fn digest(&self) -> u64 {
        let known = (
            (&self.id, &self.service, self.addr, &self.centre),
            (self.slots, self.leaving, self.cold_left.is_zero()),
            self.incarnation,
        );
        if self.version.is_empty() {
            // The digest that older builds compute as well.
            return rendezvous::key(&format!("{known:?}"));
        }
        rendezvous::key(&format!("{known:?} {}", self.version))
    }
}

/// The targets currently in use, kept up to date from the entries in the store.
///
/// A target is shown as in its last entry that changed something callers depend on. Targets renew
/// their entries all the time, and showing each renewal would make the list differ as a whole
/// between two changes, so that daemons could not pass it on as a small patch.
#[derive(Debug, Default)]
pub struct TargetSet {
    targets: BTreeMap<String, Target>,
    /// Version of the newest entry of each target in `targets`.
    newest: HashMap<String, (u64, u64)>,
    /// Removed targets, with the version of their last entry and the time of the removal.
    removed: HashMap<String, ((u64, u64), Time)>,
    /// Targets whose entries are gone, with the earliest time at which they may be removed.
    expiring: HashMap<String, Time>,
    /// When the store became unreachable; `None` while it is reachable.
    outage_start: Option<Time>,
    /// When the last outage of the store ended; zero before the first.
    outage_end: Time,
    changes: u64,
    digests: BucketDigests,
}

impl TargetSet {
    /// The targets in use, in the order of their ids.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Number of changes so far that callers depend on; it never decreases.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Adds or updates a target from its entry; returns whether anything changed that callers
    /// depend on. Entries that are older than the known one, or not newer than the last entry of a
    /// removed target, are ignored.
    pub fn upsert(&mut self, now: Time, target: Target) -> bool {
        self.expiring.remove(&target.id);
        let removed = self.removed.get(&target.id);
        if removed.is_some_and(|(version, _)| target.version() <= *version) {
            return false;
        }
        let newest = self.newest.get(&target.id);
        if newest.is_some_and(|n| target.version() < *n) {
            return false;
        }
        self.newest.insert(target.id.clone(), target.version());
        let known = self.targets.get(&target.id);
        // Leaving is final for an incarnation: it must not get requests again.
        let leaving = known.is_some_and(|k| k.incarnation == target.incarnation && k.leaving);
        // A daemon of an older build passes the same target on without its version.
        let version = known
            .filter(|k| k.incarnation == target.incarnation && target.version.is_empty())
            .map_or_else(|| target.version.clone(), |k| k.version.clone());
        let target = Target {
            leaving: target.leaving || leaving,
            version,
            ..target
        };
        self.removed
            .retain(|_, (_, at)| now.since(*at) < REMOVAL_RETENTION);
        if known.is_some_and(|k| !k.differs(&target)) {
            return false;
        }
        self.changes += 1;
        self.digests.toggle(&target.id, target.digest());
        if let Some(old) = self.targets.insert(target.id.clone(), target) {
            self.digests.toggle(&old.id, old.digest());
        }
        true
    }

    /// Handles the removal of a target's entry from the store.
    ///
    /// The target is removed at once, unless the entry may have expired because of an outage of the
    /// store.
    pub fn entry_removed(&mut self, now: Time, id: &str) {
        if self.targets.contains_key(id) && self.may_have_expired(now) {
            self.expiring.insert(id.into(), now + EXPIRY_GRACE);
        } else {
            self.remove(now, id);
        }
    }

    /// Applies a complete list of the entries in the store at `now`.
    ///
    /// Known targets that it does not contain are handled as in [`Self::entry_removed`].
    pub fn apply_list(&mut self, now: Time, list: Vec<Target>) {
        let missing: Vec<String> = {
            let present: HashSet<&str> = list.iter().map(|t| t.id.as_str()).collect();
            let ids = self.targets.keys();
            ids.filter(|id| !present.contains(id.as_str()))
                .cloned()
                .collect()
        };
        for target in list {
            self.upsert(now, target);
        }
        for id in missing {
            if !self.expiring.contains_key(&id) {
                self.entry_removed(now, &id);
            }
        }
    }

    /// Digests of the targets in each bucket.
    #[must_use]
    pub fn digests(&self) -> &BucketDigests {
        &self.digests
    }

    /// The targets in these buckets.
    pub fn in_buckets<'a>(&'a self, indexes: &'a [usize]) -> impl Iterator<Item = &'a Target> {
        let mut wanted = [false; BUCKETS];
        for index in indexes.iter().filter(|i| **i < BUCKETS) {
            wanted[*index] = true;
        }
        self.targets().filter(move |t| wanted[bucket(&t.id)])
    }

    /// Adopts the targets in use at a peer; `list` are all of those in the buckets `indexes`.
    ///
    /// The peer's list still contains targets whose entries may have expired because of an outage,
    /// so targets of these buckets that it does not contain are removed at once.
    pub fn adopt_buckets(&mut self, now: Time, indexes: &[usize], list: Vec<Target>) {
        self.outage_start = None;
        self.expiring.clear();
        let present: HashSet<String> = list.iter().map(|t| t.id.clone()).collect();
        for target in list {
            self.upsert(now, target);
        }
        let known = self.in_buckets(indexes);
        let absent: Vec<String> = known
            .filter(|t| !present.contains(&t.id))
            .map(|t| t.id.clone())
            .collect();
        for id in absent {
            self.remove(now, &id);
        }
    }

    /// Adopts all targets in use at a peer, as in [`Self::adopt_buckets`].
    pub fn adopt_from_peer(&mut self, now: Time, list: Vec<Target>) {
        let all: Vec<usize> = (0..BUCKETS).collect();
        self.adopt_buckets(now, &all, list);
    }

    /// Records that a read of the store failed at `now`.
    pub fn store_unavailable(&mut self, now: Time) {
        self.outage_start.get_or_insert(now);
    }

    /// Records that the store was read at `now`, which ends an outage.
    pub fn store_available(&mut self, now: Time) {
        if self.outage_start.take().is_some() {
            self.outage_end = now;
        }
    }

    /// Removes targets whose expired entries were not renewed in time; does nothing during an
    /// outage.
    pub fn tick(&mut self, now: Time) {
        if self.outage_start.is_some() {
            return;
        }
        let due = |until: &Time| now >= *until && now >= self.outage_end + EXPIRY_GRACE;
        let absent: Vec<String> = self
            .expiring
            .iter()
            .filter(|(_, until)| due(until))
            .map(|(id, _)| id.clone())
            .collect();
        for id in absent {
            self.expiring.remove(&id);
            self.remove(now, &id);
        }
    }

    /// Whether an entry that is removed at `now` may have expired because of an outage.
    fn may_have_expired(&self, now: Time) -> bool {
        let recently = self.outage_end > Time::ZERO && now.since(self.outage_end) < EXPIRY_GRACE;
        let just_failed = self
            .outage_start
            .is_some_and(|at| now.since(at) < OUTAGE_EXPIRY_WINDOW);
        recently || just_failed || self.outage_start.is_some()
    }

    fn remove(&mut self, now: Time, id: &str) {
        if let Some(old) = self.targets.remove(id) {
            self.changes += 1;
            self.digests.toggle(id, old.digest());
        }
        if let Some(newest) = self.newest.remove(id) {
            self.removed.insert(id.into(), (newest, now));
        }
    }
}
