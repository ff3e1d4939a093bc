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
//!
//! Whether an expired entry came back is known only from reads of the store, because a renewal that
//! changes nothing else is not passed on to peers. So what peers send does not end the wait for an
//! entry; a read after the time for renewals does. Until then this daemon tells the peers that targets
//! missing from its state may be in use, see [`ExpiryNotice`]; afterwards it announces its state anew. A
//! daemon that reads the store likewise waits for the entry of a target that only a peer has named.

use {
    crate::{
        Time,
        buckets::{BUCKETS, BucketDigests, bucket},
        readers::STALE_AFTER,
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

/// A target whose entry was removed, with the version of its last entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedTarget {
    /// Id of the target.
    pub id: String,
    /// Incarnation of its last entry.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Number of its last entry within the incarnation.
    #[serde(rename = "beat")]
    pub sequence: u64,
}

/// What a daemon tells a peer with its targets while some that it lacks may be in use: it waits for
/// expired entries, or has just started and may have read the store while entries were missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiryNotice {
    /// Time that targets still have to renew their entries; zero during an outage, and after that
    /// time until the daemon has read the store.
    pub left: Duration,
    /// Whether entries may have expired in an outage that the daemon noticed.
    pub outage: bool,
    /// Targets that are certainly not in use, although the daemon waits for others.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<RemovedTarget>,
}

/// The targets in use at a peer, as it sent them.
#[derive(Clone, Debug, Default)]
pub struct PeerTargets {
    /// Those that can be read.
    pub targets: Vec<Target>,
    /// Ids of those that cannot be read: the peer has them, and no more is known.
    pub unreadable: Vec<String>,
    /// What the peer says of expired entries.
    pub expiry: Option<ExpiryNotice>,
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
    /// Targets whose entries are gone or were not read yet, with the earliest time at which a read
    /// that does not find the entry removes them.
    expiring: HashMap<String, Time>,
    /// When the store became unreachable; `None` while it is reachable.
    outage_start: Option<Time>,
    /// When the last outage of the store ended; zero before the first.
    outage_end: Time,
    /// Until when targets may renew entries that expired in an outage, which a daemon that has just
    /// started would not have noticed. `None` once this daemon has read the store after that.
    awaits_until: Option<Time>,
    /// When this daemon last read the store; zero if never.
    last_read: Time,
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

    /// Adds or updates a target from its entry in the store; returns whether anything changed that
    /// callers depend on. Entries that are older than the known one, or not newer than the last entry
    /// of a removed target, are ignored.
    pub fn upsert(&mut self, now: Time, target: Target) -> bool {
        self.expiring.remove(&target.id);
        self.merge(now, target)
    }

    /// Whether an entry is not newer than the last one of a removed target.
    fn was_removed(&self, target: &Target) -> bool {
        let removed = self.removed.get(&target.id);
        removed.is_some_and(|(version, _)| target.version() <= *version)
    }

    fn merge(&mut self, now: Time, target: Target) -> bool {
        if self.was_removed(&target) {
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
            let ended = self.outage_start.map_or(self.outage_end, |_| now);
            let due = ended + EXPIRY_GRACE;
            self.expiring.insert(id.into(), due);
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
            self.entry_removed(now, &id);
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

    /// Adopts the targets in use at a peer, which are all of those in the buckets `indexes`. Returns
    /// whether they name a target that was removed here, so that the peer is to learn of that.
    ///
    /// A target that is known here and cannot be read in what the peer sent stays as it is. Targets of
    /// these buckets that the peer does not name are removed at once, because it still
    /// contains those whose entries may have expired in an outage. They are kept if the peer waits
    /// for such entries and does not name them as removed, as it may have started without knowing
    /// them, or if this daemon does and reads the store itself.
    pub fn adopt_buckets(&mut self, now: Time, indexes: &[usize], from: PeerTargets) -> bool {
        let mut present: HashSet<String> = from.unreadable.into_iter().collect();
        present.extend(from.targets.iter().map(|t| t.id.clone()));
        let mut refused = false;
        let reads = self.reads(now);
        for target in from.targets {
            let (id, known) = (target.id.clone(), self.targets.contains_key(&target.id));
            refused |= self.was_removed(&target);
            self.merge(now, target);
            if reads && !known && self.targets.contains_key(&id) {
                self.expiring.insert(id, now + EXPIRY_GRACE);
            }
        }
        if let Some(expiry) = from.expiry {
            for target in &expiry.removed {
                let newest = self.newest.get(&target.id);
                if newest.is_some_and(|n| *n <= (target.incarnation, target.sequence)) {
                    self.remove(now, &target.id);
                }
            }
            self.adopt_notice(now, &expiry);
        } else if !self.awaits_own_entries(now) {
            let known = self.in_buckets(indexes);
            let absent: Vec<String> = known
                .filter(|t| !present.contains(&t.id))
                .map(|t| t.id.clone())
                .collect();
            for id in absent {
                self.remove(now, &id);
            }
        }
        refused
    }

    /// Adopts all targets in use at a peer, as in [`Self::adopt_buckets`].
    pub fn adopt_from_peer(&mut self, now: Time, from: PeerTargets) -> bool {
        let all: Vec<usize> = (0..BUCKETS).collect();
        self.adopt_buckets(now, &all, from)
    }

    /// What a peer that gets targets is told of expired entries; `None` if targets that are missing
    /// here are not in use.
    #[must_use]
    pub fn expiry_notice(&self, now: Time) -> Option<ExpiryNotice> {
        let until = self.outage_start.map_or(self.awaits_until, |_| Some(now))?;
        let removed = self.removed.iter();
        let removed = removed.map(|(id, ((incarnation, sequence), _))| RemovedTarget {
            id: id.clone(),
            incarnation: *incarnation,
            sequence: *sequence,
        });
        Some(ExpiryNotice {
            left: until.since(now),
            outage: self.may_have_expired(now),
            removed: removed.collect(),
        })
    }

    /// Records that a read of the store failed at `now`.
    pub fn store_unavailable(&mut self, now: Time) {
        self.outage_start.get_or_insert(now);
    }

    /// Whether an outage is over and targets may still renew their entries.
    #[must_use]
    pub fn awaits_entries(&self) -> bool {
        self.awaits_until.is_some()
    }

    /// Records that this daemon or a peer could read the store at `now`, which ends an outage.
    pub fn store_available(&mut self, now: Time) {
        if self.outage_start.take().is_some() {
            self.outage_end = now;
            self.awaits_until = self.awaits_until.max(Some(now + EXPIRY_GRACE));
        }
    }

    /// Records that this daemon has applied all that it read of the store up to `now`.
    ///
    /// Targets whose entries expired in an outage are removed if they were not renewed in time. The
    /// targets then count as changed in any case: peers that kept a target because of
    /// [`Self::expiry_notice`] compare theirs again.
    pub fn read_complete(&mut self, now: Time) {
        self.store_available(now);
        if self.last_read == Time::ZERO {
            self.awaits_until = self.awaits_until.max(Some(now + EXPIRY_GRACE));
        }
        self.last_read = now;
        let absent: Vec<String> = {
            let due = self.expiring.iter().filter(|(_, due)| now >= **due);
            due.map(|(id, _)| id.clone()).collect()
        };
        for id in absent {
            self.remove(now, &id);
        }
        if self.awaits_until.take_if(|until| now >= *until).is_some() {
            self.changes += 1;
        }
    }

    /// Ends the wait for expired entries at a daemon that does not read the store: those that do have
    /// ended theirs and announced it by then.
    pub fn tick(&mut self, now: Time) {
        if self.outage_start.is_none() {
            self.awaits_until
                .take_if(|until| now >= *until + STALE_AFTER);
        }
    }

    /// Takes over what a peer says of expired entries.
    fn adopt_notice(&mut self, now: Time, expiry: &ExpiryNotice) {
        let until = now + expiry.left.min(EXPIRY_GRACE);
        self.awaits_until = self.awaits_until.max(Some(until));
        if expiry.outage && expiry.left.is_zero() && !self.reads(now) {
            self.outage_start.get_or_insert(now);
        } else if expiry.outage {
            self.outage_end = self.outage_end.max(until - EXPIRY_GRACE);
        }
    }

    /// Whether this daemon reads the store itself.
    fn reads(&self, now: Time) -> bool {
        self.last_read > Time::ZERO && now.since(self.last_read) <= STALE_AFTER
    }

    /// Whether this daemon waits for expired entries and learns of them by reads of its own.
    fn awaits_own_entries(&self, now: Time) -> bool {
        let has_read = self.last_read > Time::ZERO && self.last_read >= self.outage_end;
        has_read && self.outage_start.is_none() && self.may_have_expired(now)
    }

    /// Whether an entry that is removed at `now` may have expired because of an outage.
    fn may_have_expired(&self, now: Time) -> bool {
        let recently = self.outage_end > Time::ZERO && now.since(self.outage_end) < EXPIRY_GRACE;
        recently || self.outage_start.is_some()
    }

    fn remove(&mut self, now: Time, id: &str) {
        self.expiring.remove(id);
        if let Some(old) = self.targets.remove(id) {
            self.changes += 1;
            self.digests.toggle(id, old.digest());
        }
        if let Some(newest) = self.newest.remove(id) {
            self.removed.insert(id.into(), (newest, now));
        }
    }
}
