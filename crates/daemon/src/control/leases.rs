//! This daemon's part in the leases: it acquires and renews those of its own units, and votes on
//! the requests of other daemons.
//!
//! A unit that this daemon should hold is requested until a majority of its voter set grants the
//! lease, which is then renewed. When routing moves the unit to another daemon, this daemon closes
//! it to new work and releases the lease once the work in progress has ended. The other daemon
//! acquires it with its next request, so a planned move does not wait for the lease to expire.

use {
    crate::{
        clock,
        routing::{LeaseState, Unit},
    },
    rattanturn_core::{
        NodeId, Time,
        lease::{
            LeaseClient, LeaseRequest, LeaseTerms, RENEW_INTERVAL, UnitId, VOTE_TIME, Vote, Voter,
            VoterSet,
        },
        partitions::Release,
        voter_sets::VoterSets,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

#[cfg(test)]
mod tests;

/// Interval between requests for a lease that this daemon wants and does not hold.
const ACQUIRE_INTERVAL: Duration = VOTE_TIME;
/// Maximum number of lease requests in one datagram, and so of votes in the reply.
pub(crate) const MAX_PER_DATAGRAM: usize = 32;

/// A unit whose lease this daemon wants or has not released yet.
struct HeldUnit {
    lease: LeaseClient,
    /// The state of `lease` for traffic.
    shared: Arc<LeaseState>,
    /// Whether this daemon should hold the unit according to routing; false while a handover runs.
    wanted: bool,
    /// True for a partition of request ids: its deduplication table must be handed over before the
    /// lease is released.
    dedup: bool,
    /// Decides when the unit, no longer wanted, is released.
    release: Release,
    /// When the next request is due.
    next: Time,
}

impl HeldUnit {
    /// Whether the lease of an unwanted unit can be released: it is not held, or no work is in
    /// progress and the handover of its deduplication table, if any, has ended or takes too long.
    ///
    /// The lease of such a table that may just be granted is awaited: the table of the previous term may
    /// be here, and the next owner gets it only with the term in between. A term that has lapsed is
    /// handed over as well, as it is the one before that of the next owner.
    fn may_release(&mut self, now: Time) -> bool {
        let held = self.lease.held(now);
        if !held && self.dedup && self.lease.may_be_granted(now) {
            return false;
        }
        let has_table = self.dedup && self.shared.term().0.current.is_some();
        if !held && !has_table {
            return true;
        }
        let handed_over = !has_table || self.shared.handover_finished();
        self.release.is_due(now, self.shared.in_use(), handed_over)
    }
}

/// Requests to send, by voter.
pub(crate) type OutgoingRequests = BTreeMap<NodeId, Vec<LeaseRequest>>;

/// All leases that this daemon holds, wants or votes on.
pub(crate) struct Leases {
    me: NodeId,
    voter: Voter,
    held: HashMap<UnitId, HeldUnit>,
    /// Last round of each unit that was released, because a unit may come back.
    last_rounds: HashMap<UnitId, u64>,
    /// Whether a lease was released since the last [`Self::take_released`].
    released: bool,
}

/// Numbers of leases as written into the state dump; the field names are its keys.
#[derive(Debug, serde::Serialize)]
pub(crate) struct LeaseDump {
    held: usize,
    wanted: usize,
    closing: usize,
    grants: usize,
}

impl Leases {
    pub(crate) fn new(me: NodeId) -> Self {
        Self {
            me,
            voter: Voter::default(),
            held: HashMap::new(),
            last_rounds: HashMap::new(),
            released: false,
        }
    }

    /// Adopts the holders of new routing.
    ///
    /// Units that this daemon should hold are requested from the next tick on, and the others are
    /// closed to new work. Sets [`Unit::lease`] of all units that are wanted or still held here.
    pub(crate) fn apply_routing(&mut self, units: &mut [Unit]) {
        for held in self.held.values_mut() {
            held.wanted = false;
        }
        for unit in units {
            if unit.holder == Some(self.me) {
                let round = self.last_rounds.get(&unit.id).copied().unwrap_or(0);
                let held = self.held.entry(unit.id).or_insert_with(|| HeldUnit {
                    lease: LeaseClient::following(unit.id, self.me, round),
                    shared: Arc::default(),
                    wanted: true,
                    dedup: unit.centre.is_none(),
                    release: Release::default(),
                    next: Time::ZERO,
                });
                // A table that is being handed over must get no new entries in this term. The lease
                // is released first, and then requested for a new term.
                if held.shared.reopen() {
                    held.wanted = true;
                    held.release = Release::default();
                }
            }
            unit.lease = self.held.get(&unit.id).map(|h| h.shared.clone());
        }
        for (unit, held) in self.held.iter().filter(|(_, h)| !h.wanted) {
            if !held.shared.closing() {
                tracing::debug!(unit = unit.0, "a lease is to move");
            }
            held.shared.close();
        }
    }

    /// Requests, renews and releases leases that are due. Returns the requests to send.
    ///
    /// If this daemon is a voter itself, its own vote is counted at once.
    pub(crate) fn tick(&mut self, now: Time, sets: &VoterSets) -> OutgoingRequests {
        self.voter.expire(now);
        let mut out = OutgoingRequests::new();
        let mut released = Vec::new();
        let mut own = Vec::new();
        for (unit, held) in &mut self.held {
            let Some(voter_set) = sets.of(*unit) else {
                continue;
            };
            let request = if !held.wanted && held.may_release(now) {
                tracing::debug!(unit = unit.0, term = ?held.shared.term().0.current, "released a lease");
                released.push(*unit);
                held.shared.set(Time::ZERO, 0, LeaseTerms::default());
                held.lease.release()
            } else if now >= held.next && (held.wanted || held.lease.held(now)) {
                let wait = if held.lease.held(now) {
                    RENEW_INTERVAL
                } else {
                    ACQUIRE_INTERVAL
                };
                held.next = now + wait;
                held.lease.request(now, &voter_set)
            } else {
                continue;
            };
            for voter in &voter_set.voters {
                if *voter == self.me {
                    own.push((voter_set.clone(), request));
                } else {
                    out.entry(*voter).or_default().push(request);
                }
            }
        }
        self.released |= !released.is_empty();
        for unit in released {
            if let Some(held) = self.held.remove(&unit) {
                self.last_rounds.insert(unit, held.lease.round());
            }
        }
        for (voter_set, request) in own {
            let vote = self.voter.vote(now, &voter_set, &request);
            self.count_vote(now, &voter_set, self.me, &vote);
        }
        out
    }

    /// Whether a lease was released since the last call; routing must then be updated.
    pub(crate) fn take_released(&mut self) -> bool {
        std::mem::take(&mut self.released)
    }

    /// Votes on the requests of another daemon and returns the votes to send back.
    ///
    /// A release gets no vote, and neither does a unit whose voter set does not include this
    /// daemon.
    pub(crate) fn vote(&mut self, now: Time, sets: &VoterSets, list: &[LeaseRequest]) -> Vec<Vote> {
        let mut votes = Vec::new();
        for request in list {
            let Some(voter_set) = sets.of(request.unit) else {
                continue;
            };
            if voter_set.voters.contains(&self.me) {
                let vote = self.voter.vote(now, &voter_set, request);
                if !request.release {
                    votes.push(vote);
                }
            }
        }
        votes
    }

    /// Counts the votes of `from` on this daemon's requests.
    pub(crate) fn count_votes(&mut self, now: Time, sets: &VoterSets, from: NodeId, list: &[Vote]) {
        for vote in list {
            if let Some(voter_set) = sets.of(vote.unit) {
                self.count_vote(now, &voter_set, from, vote);
            }
        }
    }

    /// Number of pieces of work in progress on all units.
    pub(crate) fn in_use(&self) -> usize {
        self.held.values().map(|h| h.shared.in_use()).sum()
    }

    /// Number of units that are wanted or not released yet.
    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    pub(crate) fn dump(&self) -> LeaseDump {
        let now = clock::now();
        LeaseDump {
            held: self.held.values().filter(|h| h.lease.held(now)).count(),
            wanted: self.held.values().filter(|h| h.wanted).count(),
            closing: self.held.values().filter(|h| !h.wanted).count(),
            grants: self.voter.len(),
        }
    }

    fn count_vote(&mut self, now: Time, voter_set: &VoterSet, voter: NodeId, vote: &Vote) {
        let Some(held) = self.held.get_mut(&vote.unit) else {
            return;
        };
        if !held.lease.count(voter_set, voter, vote) {
            return;
        }
        let terms = LeaseTerms {
            current: Some(held.lease.term()),
            previous: held.lease.previous(),
        };
        // The start of a term must not shift between renewals, whatever happens to the wall clock.
        let (known, known_start_ms) = held.shared.term();
        let start_ms = if terms == known {
            known_start_ms
        } else {
            let since = held.lease.since().unwrap_or(now);
            clock::unix_ms().saturating_sub(clock::millis(now.since(since)))
        };
        if terms != known {
            tracing::debug!(unit = vote.unit.0, ?terms, "acquired a lease");
        }
        held.shared.set(held.lease.until(), start_ms, terms);
    }
}
