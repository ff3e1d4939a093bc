//! Leases on units of work: which daemon may use a group of targets right now.
//!
//! A unit's panel is a handful of daemons, the voters. A holder asks all voters and holds the
//! unit while a majority granted it. Voters keep a grant in memory for longer than the holder
//! believes in it, by a grace period as long as the longest call, so calls that a lapsed holder
//! still has running end before another daemon may start. A voter that restarts is a new
//! member and is not on the panel, so it needs no disk. Panels change one voter at a time (see
//! [`crate::voter_sets`]), which keeps any two majorities overlapping in a voter that remembers.
//!
//! A vote also names the term that held the unit before, as far as the voter remembers. Any
//! other term in between would have had a majority and so a voter in this one, so a new holder
//! can tell whether it directly follows the term that handed it something over.
//!
//! There is no election, no log and no leader. While the platform is down the panel stays as it
//! is and leases move freely among the daemons as long as a majority of the panel is alive.

use {
    crate::{NodeId, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Time a holder believes in a lease, counted from when it sent the request.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);
/// Time a voter remembers a grant beyond the holder's term: the longest call plus clock drift.
pub const LEASE_GRACE: Duration = Duration::from_millis(1_500);
/// Time a voter remembers the term before the present one.
const TERM_RETENTION: Duration = Duration::from_mins(1);
/// Interval between renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// A unit of work that one daemon holds: a group of targets, or a share of the request ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitId(pub u64);

/// The voters of a unit and the epoch in which they are its voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterSet {
    /// Raised by one at each change of the voters.
    pub epoch: u64,
    /// The voters.
    pub voters: Vec<NodeId>,
}

impl VoterSet {
    /// Votes that make a majority.
    ///
    /// ```
    /// use rattanturn_core::{NodeId, lease::VoterSet};
    /// let panel = VoterSet { epoch: 1, voters: vec![NodeId(1), NodeId(2), NodeId(3)] };
    /// assert_eq!(panel.majority(), 2);
    /// ```
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// One daemon's unbroken time of holding a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseTerm {
    /// The daemon.
    pub holder: NodeId,
    /// Number of the term at that daemon.
    pub number: u64,
}

/// A daemon's request to hold, keep or release a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Unit asked for.
    pub unit: UnitId,
    /// Daemon that asks, and the term that it begins or continues.
    pub term: LeaseTerm,
    /// Epoch of the panel as the asking daemon knows it.
    pub epoch: u64,
    /// Number of this request at the asking daemon; a vote repeats it.
    pub round: u64,
    /// Gives the unit back.
    pub release: bool,
}

/// A voter's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// Unit asked for.
    pub unit: UnitId,
    /// Round of the request.
    pub round: u64,
    /// Epoch as the voter knows it.
    pub epoch: u64,
    /// Whether the unit is granted.
    pub granted: bool,
    /// Last other term that this voter granted the unit to, if it remembers one.
    pub previous: Option<LeaseTerm>,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    term: LeaseTerm,
    round: u64,
    /// End of the grant; in the past once it is released.
    until: Time,
    forget: Time,
    previous: Option<LeaseTerm>,
}

/// The voter's side: remembers grants.
#[derive(Debug, Default)]
pub struct Voter {
    grants: BTreeMap<UnitId, Grant>,
}

impl Voter {
    /// Votes on `request`; `panel` is the unit's panel as this voter knows it.
    ///
    /// The caller makes sure that this daemon is one of the panel's voters.
    pub fn vote(&mut self, now: Time, panel: &VoterSet, request: &LeaseRequest) -> Vote {
        let mut vote = Vote {
            unit: request.unit,
            round: request.round,
            epoch: panel.epoch,
            granted: false,
            previous: None,
        };
        let known = self.grants.get(&request.unit).copied();
        let held = known.filter(|g| g.until > now);
        if request.release {
            // A delayed release must not undo a later renewal.
            let current = |g: &&mut Grant| g.term == request.term && g.round <= request.round;
            if let Some(grant) = self.grants.get_mut(&request.unit).filter(current) {
                grant.until = now;
            }
            return vote;
        }
        if request.epoch != panel.epoch
            || held.is_some_and(|g| g.term.holder != request.term.holder)
        {
            return vote;
        }
        let until = now + LEASE_DURATION + LEASE_GRACE;
        let previous = match known {
            Some(grant) if grant.term == request.term => grant.previous,
            Some(grant) => Some(grant.term),
            None => None,
        };
        let grant = Grant {
            term: request.term,
            round: request.round,
            until,
            forget: until + TERM_RETENTION,
            previous,
        };
        self.grants.insert(request.unit, grant);
        vote.previous = previous;
        vote.granted = true;
        vote
    }

    /// Forgets grants that ended long ago.
    pub fn expire(&mut self, now: Time) {
        self.grants.retain(|_, g| g.forget > now);
    }

    /// Number of grants remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// True if no grant is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}

/// The holder's side for one unit.
///
/// ```
/// use rattanturn_core::{NodeId, Time, lease::{LeaseClient, VoterSet, UnitId, Voter}};
/// let panel = VoterSet { epoch: 1, voters: vec![NodeId(9)] };
/// let mut voter = Voter::default();
/// let mut hold = LeaseClient::new(UnitId(1), NodeId(2));
/// let request = hold.request(Time::ZERO, &panel);
/// let vote = voter.vote(Time::from_millis(1), &panel, &request);
/// hold.count(&panel, NodeId(9), &vote);
/// assert!(hold.held(Time::from_millis(1)));
/// assert!(!hold.held(Time::from_millis(2_000)));
/// ```
#[derive(Debug)]
pub struct LeaseClient {
    unit: UnitId,
    me: NodeId,
    round: u64,
    asked: Time,
    epoch: u64,
    votes: Vec<(NodeId, Option<LeaseTerm>)>,
    until: Time,
    since: Option<Time>,
    number: u64,
    previous: Option<LeaseTerm>,
}

impl LeaseClient {
    /// Starts without a lease.
    #[must_use]
    pub fn new(unit: UnitId, me: NodeId) -> Self {
        Self {
            unit,
            me,
            round: 0,
            asked: Time::ZERO,
            epoch: 0,
            votes: Vec::new(),
            until: Time::ZERO,
            since: None,
            number: 1,
            previous: None,
        }
    }

    /// Starts a round; the request goes to every voter of `panel`.
    pub fn request(&mut self, now: Time, panel: &VoterSet) -> LeaseRequest {
        self.round += 1;
        self.asked = now;
        self.epoch = panel.epoch;
        self.votes.clear();
        if !self.held(now) && self.since.take().is_some() {
            self.number = self.round;
        }
        self.message(false)
    }

    /// Counts a vote; returns true when this vote completed a majority.
    pub fn count(&mut self, panel: &VoterSet, voter: NodeId, vote: &Vote) -> bool {
        let current = vote.round == self.round && vote.epoch == self.epoch;
        let known = panel.epoch == self.epoch && panel.voters.contains(&voter);
        if !vote.granted || !current || !known || self.votes.iter().any(|(v, _)| *v == voter) {
            return false;
        }
        self.votes.push((voter, vote.previous));
        if self.votes.len() != panel.majority() {
            return false;
        }
        self.until = self.asked + LEASE_DURATION;
        if self.since.is_none() {
            self.since = Some(self.asked);
            self.previous = self.agreed_previous();
        }
        true
    }

    /// Gives the unit back; the request goes to every voter.
    pub fn release(&mut self) -> LeaseRequest {
        self.round += 1;
        self.until = Time::ZERO;
        self.votes.clear();
        let request = self.message(true);
        self.since = None;
        self.number = self.round + 1;
        request
    }

    /// Tells whether the unit is held at `now`.
    #[must_use]
    pub fn held(&self, now: Time) -> bool {
        now < self.until
    }

    /// When the lease lapses.
    #[must_use]
    pub fn until(&self) -> Time {
        self.until
    }

    /// When the present unbroken term began.
    #[must_use]
    pub fn since(&self) -> Option<Time> {
        self.since
    }

    /// The term that this one directly follows, if the voters agree on one.
    #[must_use]
    pub fn previous(&self) -> Option<LeaseTerm> {
        self.previous
    }

    /// The present term or the one being asked for.
    #[must_use]
    pub fn term(&self) -> LeaseTerm {
        LeaseTerm {
            holder: self.me,
            number: self.number,
        }
    }

    /// Voters without memory say nothing; any two that differ mean that nothing is certain.
    fn agreed_previous(&self) -> Option<LeaseTerm> {
        let mut named = self.votes.iter().filter_map(|(_, previous)| *previous);
        let first = named.next()?;
        named.all(|t| t == first).then_some(first)
    }

    fn message(&self, release: bool) -> LeaseRequest {
        LeaseRequest {
            unit: self.unit,
            term: self.term(),
            epoch: self.epoch,
            round: self.round,
            release,
        }
    }
}
