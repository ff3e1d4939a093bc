//! Which targets there are, from the entries that they write into a store.
//!
//! Entries are written by the targets themselves and may arrive out of order, so a target's
//! lifetime (`incarnation`) and the number of its message (`sequence`) decide which of two is newer. An
//! entry that lapsed while the store was away says nothing about its target: such a target stays
//! for [`EXPIRY_GRACE`] after the store is back, and is gone if no entry has returned by then.

use {
    crate::Time,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time for lapsed entries to return once the store is back: the platform states two seconds.
pub const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);
/// A removal this long before a failed read may be a lapse too.
const EXPIRY_LEAD: Duration = Duration::from_millis(1_500);
/// How long removed lifetimes are remembered, so that a late message does not bring them back.
const REMEMBER_REMOVED: Duration = Duration::from_mins(2);

/// A server that runs requests of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its id, which calls name.
    pub id: String,
    /// Service that it serves.
    pub service: String,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Data centre that it stands in.
    pub centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It is about to stop and takes no new work.
    pub leaving: bool,
    /// How much longer it was cold when it wrote this.
    pub cold_left: Duration,
    /// When this lifetime began, by its own clock, in milliseconds since 1970.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Number of the message within its lifetime.
    #[serde(rename = "beat")]
    pub sequence: u64,
}

impl Target {
    fn age(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    /// Whether two entries differ in what callers of the target must know.
    fn differs(&self, other: &Self) -> bool {
        let known = |t: &Self| (t.incarnation, t.addr, t.slots, t.leaving);
        known(self) != known(other)
            || self.service != other.service
            || self.centre != other.centre
            || self.cold_left.is_zero() != other.cold_left.is_zero()
    }
}

/// The targets as the store last told them.
#[derive(Debug, Default)]
pub struct TargetSet {
    targets: BTreeMap<String, Target>,
    removed: HashMap<String, ((u64, u64), Time)>,
    expiring: HashMap<String, Time>,
    away: Option<Time>,
    back: Time,
    changes: u64,
}

impl TargetSet {
    /// The targets in use, by id.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Number of changes so far that matter to callers.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Takes in an entry; true if it changed something that matters to callers.
    pub fn upsert(&mut self, now: Time, target: Target) -> bool {
        self.expiring.remove(&target.id);
        let removed = self.removed.get(&target.id);
        if removed.is_some_and(|(age, _)| target.age() <= *age) {
            return false;
        }
        let known = self.targets.get(&target.id);
        if known.is_some_and(|k| target.age() < k.age()) {
            return false;
        }
        // A lifetime that said that it leaves does not take that back.
        let leaving = known.is_some_and(|k| k.incarnation == target.incarnation && k.leaving);
        let target = Target {
            leaving: target.leaving || leaving,
            ..target
        };
        let changed = known.is_none_or(|k| k.differs(&target));
        self.changes += u64::from(changed);
        self.removed
            .retain(|_, (_, at)| now.since(*at) < REMEMBER_REMOVED);
        self.targets.insert(target.id.clone(), target);
        changed
    }

    /// An entry was removed.
    pub fn entry_removed(&mut self, now: Time, id: &str) {
        if self.targets.contains_key(id) && self.may_have_expired(now) {
            self.expiring.insert(id.into(), now + EXPIRY_GRACE);
        } else {
            self.remove(now, id);
        }
    }

    /// Takes in a whole list, as of now.
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

    /// Takes in the targets as a peer knows them that reads the store.
    ///
    /// The peer has already kept those that may have lapsed, so what it leaves out is gone.
    pub fn adopt_from_peer(&mut self, now: Time, list: Vec<Target>) {
        self.away = None;
        self.expiring.clear();
        let present: HashSet<String> = list.iter().map(|t| t.id.clone()).collect();
        for target in list {
            self.upsert(now, target);
        }
        let ids = self.targets.keys();
        let gone: Vec<String> = ids.filter(|id| !present.contains(*id)).cloned().collect();
        for id in gone {
            self.remove(now, &id);
        }
    }

    /// The store could not be read.
    pub fn store_unavailable(&mut self, now: Time) {
        self.away.get_or_insert(now);
    }

    /// The store was read.
    pub fn store_available(&mut self, now: Time) {
        if self.away.take().is_some() {
            self.back = now;
        }
    }

    /// Drops targets whose entries lapsed and did not return.
    pub fn tick(&mut self, now: Time) {
        if self.away.is_some() {
            return;
        }
        let due = |until: &Time| now >= *until && now >= self.back + EXPIRY_GRACE;
        let gone: Vec<String> = self
            .expiring
            .iter()
            .filter(|(_, until)| due(until))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.expiring.remove(&id);
            self.remove(now, &id);
        }
    }

    fn may_have_expired(&self, now: Time) -> bool {
        let recently = self.back > Time::ZERO && now.since(self.back) < EXPIRY_GRACE;
        let failing = self.away.is_some_and(|at| now.since(at) < EXPIRY_LEAD);
        recently || failing || self.away.is_some()
    }

    fn remove(&mut self, now: Time, id: &str) {
        if let Some(target) = self.targets.remove(id) {
            self.changes += 1;
            self.removed.insert(id.into(), (target.age(), now));
        }
    }
}
