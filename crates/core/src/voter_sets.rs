//! Which daemons vote on leases, and how the voters of a unit are replaced safely.
//!
//! The platform stores one object with all voter sets of a region. Its conditional update orders
//! the changes into one sequence of versions; [`VoterSets::next_step`] makes each change safe:
//!
//! - A voter set gains or loses one voter at a time, so a majority before the change and a majority
//!   after it share a voter.
//! - A voter set changes again only once a majority of its voters is known to use the current
//!   version, so no majority can still vote with a set that is two changes old.
//!
//! The trade-off is speed: replacing several dead voters takes several writes to the platform.
//!
//! The number of voter sets is fixed when the object is created. If it changed, units would move to
//! other voter sets, whose voters do not remember the grants of those units.

use {
    crate::{
        NodeId,
        lease::{UnitId, VoterSet},
        rendezvous,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Voters in each set, if as many daemons are alive: a majority survives the loss of two.
pub const VOTERS_PER_SET: usize = 5;
/// Number of voter sets in a region, among which the units are divided.
pub const SET_COUNT: usize = 64;

/// All voter sets of a region, as stored in the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSets {
    /// The voter set of a unit is at the index of the unit's id modulo the number of sets.
    pub list: Vec<VoterSetRecord>,
}

/// One voter set as stored in the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSetRecord {
    /// Raised by one at each change of the voters.
    pub epoch: u64,
    /// Identities of the daemons that vote, each at most once.
    pub voters: Vec<NodeId>,
}

/// A live daemon that may become a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Identity of the daemon's current run; a restarted daemon has another one.
    pub id: NodeId,
    /// Key of the data centre that the daemon runs in.
    pub centre: u64,
    /// Newest version of the stored voter sets that the daemon is known to use.
    pub known: u64,
}

impl VoterSets {
    /// Creates the first version of the voter sets from the live daemons.
    ///
    /// ```
    /// use rattanturn_core::{NodeId, voter_sets::{SET_COUNT, VoterSets, Candidate}};
    /// let candidate = |i| Candidate { id: NodeId(i), centre: i % 3, known: 0 };
    /// let candidates: Vec<Candidate> = (1..=8).map(candidate).collect();
    /// let sets = VoterSets::create(&candidates);
    /// assert_eq!(sets.list.len(), SET_COUNT);
    /// assert_eq!(sets.list[0].voters.len(), 5);
    /// ```
    #[must_use]
    pub fn create(candidates: &[Candidate]) -> Self {
        let list = (0..SET_COUNT)
            .map(|i| VoterSetRecord {
                epoch: 1,
                voters: choose_voters(candidates, i as u64, VOTERS_PER_SET),
            })
            .collect();
        Self { list }
    }

    /// The voter set of `unit`; `None` in the empty default, before the stored object is known.
    #[must_use]
    pub fn of(&self, unit: UnitId) -> Option<VoterSet> {
        let count = self.list.len() as u64;
        if count == 0 {
            return None;
        }
        let index = usize::try_from(unit.0 % count).ok()?;
        let set = self.list.get(index)?;
        Some(VoterSet {
            epoch: set.epoch,
            voters: set.voters.clone(),
        })
    }

    /// The next version of the voter sets: at most one voter of each set is added or removed.
    ///
    /// `version` is the object version at which `self` was read, and `candidates` are the live
    /// daemons. Returns `None` if no set needs to change, or none may change yet because too few of
    /// its voters are known to use `version`.
    #[must_use]
    pub fn next_step(&self, version: u64, candidates: &[Candidate]) -> Option<Self> {
        let known: BTreeMap<NodeId, u64> = candidates.iter().map(|c| (c.id, c.known)).collect();
        let mut next = self.clone();
        for (i, set) in next.list.iter_mut().enumerate() {
            let up_to_date = set
                .voters
                .iter()
                .filter(|v| known.get(v).is_some_and(|k| *k >= version));
            if up_to_date.count() > set.voters.len() / 2 {
                change_voter(set, i as u64, candidates);
            }
        }
        (next != *self).then_some(next)
    }
}

/// Removes one dead voter, or adds one voter if none is dead and the set is too small.
fn change_voter(set: &mut VoterSetRecord, index: u64, candidates: &[Candidate]) {
    let dead = set
        .voters
        .iter()
        .position(|v| candidates.iter().all(|c| c.id != *v));
    if let Some(i) = dead {
        // The last voter stays even if it is dead, since an empty set could never grant a lease.
        if set.voters.len() > 1 {
            set.voters.remove(i);
            set.epoch += 1;
        }
        return;
    }
    if set.voters.len() >= VOTERS_PER_SET {
        return;
    }
    let preferred = choose_voters(candidates, index, VOTERS_PER_SET);
    let missing = preferred.into_iter().find(|c| !set.voters.contains(c));
    if let Some(voter) = missing {
        set.voters.push(voter);
        set.epoch += 1;
    }
}

/// Chooses voters for the set at `index` by rendezvous hashing, in turns from each data centre so
/// that the loss of one data centre takes as few voters as possible.
fn choose_voters(candidates: &[Candidate], index: u64, count: usize) -> Vec<NodeId> {
    let ranked = rendezvous::top(candidates.iter().map(|c| c.id), index, candidates.len());
    let centre: BTreeMap<NodeId, u64> = candidates.iter().map(|c| (c.id, c.centre)).collect();
    let mut out = Vec::new();
    while out.len() < count.min(ranked.len()) {
        let mut used = BTreeSet::new();
        for id in &ranked {
            if out.len() < count && !out.contains(id) && used.insert(centre[id]) {
                out.push(*id);
            }
        }
    }
    out
}
