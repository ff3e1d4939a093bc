//! Which daemons vote on leases, and how that set changes safely.
//!
//! The platform keeps one object with all panels of a region. Its conditional update makes the
//! changes one sequence; the rule here makes each step safe. A panel changes by one voter at a
//! time, so majorities before and after share a voter, and it changes again only after a
//! majority of its voters are known to use the present version, so no majority can still be
//! voting two steps behind.
//!
//! The number of panels is fixed when the object is created, because a unit that moved to
//! another panel would find voters without memory of its grants.

use {
    crate::{
        NodeId,
        lease::{UnitId, VoterSet},
        rendezvous,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Voters a panel should have.
pub const VOTERS_PER_SET: usize = 5;
/// Voter sets of a region.
pub const SET_COUNT: usize = 64;

/// All panels of a region, as kept in the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSets {
    /// Voter sets by index; a unit's panel is its key modulo the count.
    pub list: Vec<VoterSetRecord>,
}

/// One panel as kept in the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSetRecord {
    /// Raised by one at each change.
    pub epoch: u64,
    /// The voters.
    pub voters: Vec<NodeId>,
}

/// A live daemon that may become a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its identity.
    pub id: NodeId,
    /// Data centre it runs in.
    pub centre: u64,
    /// Version of the panels object that it is known to use.
    pub known: u64,
}

impl VoterSets {
    /// Creates the first panels from the live daemons.
    ///
    /// ```
    /// use rattanturn_core::{NodeId, voter_sets::{SET_COUNT, VoterSets, Candidate}};
    /// let peers: Vec<Candidate> = (1..=8).map(|i| Candidate { id: NodeId(i), centre: i % 3, known: 0 }).collect();
    /// let panels = VoterSets::create(&peers);
    /// assert_eq!(panels.list.len(), SET_COUNT);
    /// assert_eq!(panels.list[0].voters.len(), 5);
    /// ```
    #[must_use]
    pub fn create(peers: &[Candidate]) -> Self {
        let list = (0..SET_COUNT)
            .map(|i| VoterSetRecord {
                epoch: 1,
                voters: choose(peers, i as u64, VOTERS_PER_SET),
            })
            .collect();
        Self { list }
    }

    /// The panel of a unit; `None` before the first panels are known.
    #[must_use]
    pub fn of(&self, unit: UnitId) -> Option<VoterSet> {
        let count = self.list.len() as u64;
        if count == 0 {
            return None;
        }
        let index = usize::try_from(unit.0 % count).ok()?;
        let entry = self.list.get(index)?;
        Some(VoterSet {
            epoch: entry.epoch,
            voters: entry.voters.clone(),
        })
    }

    /// Next safe step towards the panels that the live daemons should have.
    ///
    /// `version` is the version of the object that `self` was read at. Returns `None` when
    /// nothing may or needs to change.
    #[must_use]
    pub fn next_step(&self, version: u64, peers: &[Candidate]) -> Option<Self> {
        let known: BTreeMap<NodeId, u64> = peers.iter().map(|p| (p.id, p.known)).collect();
        let mut next = self.clone();
        for (i, entry) in next.list.iter_mut().enumerate() {
            let informed = entry
                .voters
                .iter()
                .filter(|v| known.get(v).is_some_and(|k| *k >= version));
            if informed.count() > entry.voters.len() / 2 {
                step_voter_set(entry, i as u64, peers);
            }
        }
        (next != *self).then_some(next)
    }
}

/// Removes one dead voter or adds one missing voter.
fn step_voter_set(entry: &mut VoterSetRecord, index: u64, peers: &[Candidate]) {
    let dead = entry
        .voters
        .iter()
        .position(|v| peers.iter().all(|p| p.id != *v));
    if let Some(i) = dead {
        // A panel of one voter keeps it: an empty panel could never vote again.
        if entry.voters.len() > 1 {
            entry.voters.remove(i);
            entry.epoch += 1;
        }
        return;
    }
    if entry.voters.len() >= VOTERS_PER_SET {
        return;
    }
    let wanted = choose(peers, index, VOTERS_PER_SET);
    let spare = wanted.into_iter().find(|w| !entry.voters.contains(w));
    if let Some(voter) = spare {
        entry.voters.push(voter);
        entry.epoch += 1;
    }
}

/// Picks voters for a panel, spread over the data centres.
fn choose(peers: &[Candidate], index: u64, count: usize) -> Vec<NodeId> {
    let ranked = rendezvous::top(peers.iter().map(|p| p.id), index, peers.len());
    let centre: BTreeMap<NodeId, u64> = peers.iter().map(|p| (p.id, p.centre)).collect();
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
