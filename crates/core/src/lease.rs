//! Quorum leases: at most one daemon at a time uses a unit of work, such as a group of targets.
//!
//! Each unit has a voter set, a handful of daemons. A daemon that wants the unit sends a request
//! to all voters and holds the lease while a majority of them has granted it. Voters keep grants
//! in memory only and need no disk: a daemon that restarts gets a new identity and is in no voter
//! set, so it cannot vote without remembering what it granted.
//!
//! A voter honours a grant for [`LEASE_GRACE`] longer than the holder does. The holder's last
//! calls end within that time, so they cannot overlap with those of the next holder.
//!
//! Voter sets change by one voter at a time (see [`crate::voter_sets`]), so any two consecutive
//! majorities share a voter that remembers the earlier grant.
//!
//! A vote also names the term that preceded the one voted on, if the voter remembers it. Two
//! majorities overlap, so a term in between would be named by at least one vote. A new holder can
//! therefore tell whether its term directly follows that of the daemon that handed state to it.
//!
//! There is no leader election and no replicated log. While the platform is down, the voter sets
//! cannot change, but leases still move between daemons as long as a majority of the unit's voters
//! is alive. The price is one round of messages to all voters for each renewal.

use {
    crate::{NodeId, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a lease is valid at its holder, counted from when the holder sent the request.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);
/// Time for which a voter honours a grant after the lease expires at its holder: the duration of
/// the longest call plus clock drift.
pub const LEASE_GRACE: Duration = Duration::from_millis(1_500);
/// Time for which a voter remembers an expired grant, to name it as the previous term.
pub const TERM_RETENTION: Duration = Duration::from_mins(1);
/// Time within which the votes on a request are expected. A round trip between data centres takes
/// less, and a lost vote is asked for again after it.
pub const VOTE_TIME: Duration = Duration::from_millis(100);
/// Epoch in the release of a term that was requested and never held; the epochs of voter sets begin at 1.
const NEVER_HELD: u64 = 0;
/// Interval at which a holder renews its lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// A unit of work that one daemon leases: a group of targets, or a partition of the request ids.
///
/// All daemons compute the same id from the unit's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitId(pub u64);

/// The daemons that vote on a unit's lease during one epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterSet {
    /// Raised by one at each change of the voters; votes of other epochs do not count.
    pub epoch: u64,
    /// Identities of the daemons that vote, each at most once.
    pub voters: Vec<NodeId>,
}

impl VoterSet {
    /// Number of votes that make a majority.
    ///
    /// ```
    /// use rattanturn_core::{NodeId, lease::VoterSet};
    /// let voters = VoterSet { epoch: 1, voters: vec![NodeId(1), NodeId(2), NodeId(3)] };
    /// assert_eq!(voters.majority(), 2);
    /// ```
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// A period for which one daemon holds a unit's lease without interruption, over any number of
/// renewals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseTerm {
    /// The daemon that holds the lease.
    pub holder: NodeId,
    /// Number that the holder gave the term; it rises with each of its terms of the unit.
    pub number: u64,
}

/// The term of a lease, and the term that it directly follows if the voters agree on one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseTerms {
    /// The term; `None` if the lease is not held.
    pub current: Option<LeaseTerm>,
    /// The term before it.
    pub previous: Option<LeaseTerm>,
}

/// A request to acquire, renew or release a unit's lease, sent to all voters of the unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Unit whose lease is requested.
    pub unit: UnitId,
    /// Term that the sender begins, continues or ends.
    pub term: LeaseTerm,
    /// Epoch of the unit's voter set as known to the sender; 0 in the release of a term that was never
    /// held.
    pub epoch: u64,
    /// Number of this request at its sender; votes carry it, so that late ones do not count.
    pub round: u64,
    /// Releases the lease instead of acquiring or renewing it.
    pub release: bool,
}

/// A voter's reply to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// Unit of the request.
    pub unit: UnitId,
    /// Round of the request.
    pub round: u64,
    /// Epoch of the unit's voter set as known to the voter.
    pub epoch: u64,
    /// Whether the voter grants the lease; always false for a release.
    pub granted: bool,
    /// Latest term other than the requested one that the voter granted, if it remembers any.
    pub previous: Option<LeaseTerm>,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    term: LeaseTerm,
    round: u64,
    /// When the grant expires; a release sets it to the time of the release.
    until: Time,
    /// When the voter forgets the grant.
    forget_at: Time,
    previous: Option<LeaseTerm>,
}

/// The voter's side of the protocol: the grants of all units that this daemon votes on.
#[derive(Debug, Default)]
pub struct Voter {
    grants: BTreeMap<UnitId, Grant>,
}

impl Voter {
    /// Votes on `request`, where `voters` is the unit's voter set as known to this daemon.
    ///
    /// The lease is granted unless another daemon holds it or the request is from another epoch.
    /// The caller must check that this daemon is one of `voters`.
    pub fn vote(&mut self, now: Time, voters: &VoterSet, request: &LeaseRequest) -> Vote {
        let mut vote = Vote {
            unit: request.unit,
            round: request.round,
            epoch: voters.epoch,
            granted: false,
            previous: None,
        };
        let known = self.grants.get(&request.unit).copied();
        let active = known.filter(|g| g.until > now);
        if request.release {
            // A release that arrives late must not undo a later renewal, which has a higher round.
            let current = |g: &&mut Grant| g.term == request.term && g.round <= request.round;
            if let Some(grant) = self.grants.get_mut(&request.unit).filter(current) {
                grant.until = now;
                if request.epoch == NEVER_HELD {
                    self.forget_attempt(request.unit);
                }
            }
            return vote;
        }
        if request.epoch != voters.epoch
            || active.is_some_and(|g| g.term.holder != request.term.holder)
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
            forget_at: until + TERM_RETENTION,
            previous,
        };
        self.grants.insert(request.unit, grant);
        vote.previous = previous;
        vote.granted = true;
        vote
    }

    /// Forgets the latest grant of a unit, whose term was never held, so that the one before it is the
    /// previous term of the next holder.
    fn forget_attempt(&mut self, unit: UnitId) {
        let attempt = self.grants.remove(&unit);
        if let Some((grant, term)) = attempt.and_then(|g| g.previous.map(|p| (g, p))) {
            let before = Grant {
                term,
                previous: None,
                ..grant
            };
            self.grants.insert(unit, before);
        }
    }

    /// Forgets grants that expired more than a minute ago.
    ///
    /// Only bounds memory: votes are correct however rarely it is called.
    pub fn expire(&mut self, now: Time) {
        self.grants.retain(|_, g| g.forget_at > now);
    }

    /// Number of grants remembered, expired ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Whether no grant is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}

/// The holder's side of the protocol, for one unit.
///
/// ```
/// use rattanturn_core::{NodeId, Time, lease::{LeaseClient, VoterSet, UnitId, Voter}};
/// let voters = VoterSet { epoch: 1, voters: vec![NodeId(9)] };
/// let mut voter = Voter::default();
/// let mut lease = LeaseClient::new(UnitId(1), NodeId(2));
/// let request = lease.request(Time::ZERO, &voters);
/// let vote = voter.vote(Time::from_millis(1), &voters, &request);
/// lease.count(&voters, NodeId(9), &vote);
/// assert!(lease.held(Time::from_millis(1)));
/// assert!(!lease.held(Time::from_millis(2_000)));
/// ```
#[derive(Debug)]
pub struct LeaseClient {
    unit: UnitId,
    me: NodeId,
    round: u64,
    sent_at: Time,
    epoch: u64,
    votes: Vec<(NodeId, Option<LeaseTerm>)>,
    /// Whether votes on a request are awaited.
    awaiting: bool,
    until: Time,
    since: Option<Time>,
    number: u64,
    previous: Option<LeaseTerm>,
}

impl LeaseClient {
    /// Creates a client of daemon `me` that does not hold the unit's lease yet.
    #[must_use]
    pub fn new(unit: UnitId, me: NodeId) -> Self {
        Self {
            unit,
            me,
            round: 0,
            sent_at: Time::ZERO,
            epoch: 0,
            votes: Vec::new(),
            awaiting: false,
            until: Time::ZERO,
            since: None,
            number: 1,
            previous: None,
        }
    }

    /// Creates a client that goes on from an earlier one of the same daemon and unit, whose last round
    /// was `round`, so that no term and no round occurs twice.
    ///
    /// ```
    /// use rattanturn_core::{NodeId, lease::{LeaseClient, UnitId}};
    /// let mut first = LeaseClient::new(UnitId(1), NodeId(2));
    /// first.release();
    /// let second = LeaseClient::following(UnitId(1), NodeId(2), first.round());
    /// assert!(second.term().number > 1);
    /// ```
    #[must_use]
    pub fn following(unit: UnitId, me: NodeId, round: u64) -> Self {
        Self {
            round,
            number: round + 1,
            ..Self::new(unit, me)
        }
    }

    /// Number of the last round, 0 before the first.
    #[must_use]
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Starts a round to acquire or renew the lease.
    ///
    /// The caller sends the request to each of `voters` and passes the replies to
    /// [`Self::count`]. Votes of earlier rounds no longer count. A lease that has expired is
    /// requested for a new term.
    pub fn request(&mut self, now: Time, voters: &VoterSet) -> LeaseRequest {
        self.round += 1;
        self.sent_at = now;
        self.epoch = voters.epoch;
        self.votes.clear();
        self.awaiting = true;
        if !self.held(now) && self.since.take().is_some() {
            self.number = self.round;
        }
        self.build_request(false)
    }

    /// Counts a vote; returns true if it completes a majority, which acquires or renews the lease.
    ///
    /// The lease then lasts [`LEASE_DURATION`] from when the request was sent, not from when the
    /// votes arrive, so it always expires here before it does at the voters. `voters` is the unit's
    /// voter set as known to this daemon now. Votes of other rounds or epochs, second votes of a
    /// voter and votes of daemons that are not among `voters` are ignored.
    pub fn count(&mut self, voters: &VoterSet, voter: NodeId, vote: &Vote) -> bool {
        let current = vote.round == self.round && vote.epoch == self.epoch;
        let eligible = voters.epoch == self.epoch && voters.voters.contains(&voter);
        if !vote.granted || !current || !eligible || self.votes.iter().any(|(v, _)| *v == voter) {
            return false;
        }
        self.votes.push((voter, vote.previous));
        if self.votes.len() != voters.majority() {
            return false;
        }
        self.awaiting = false;
        self.until = self.sent_at + LEASE_DURATION;
        if self.since.is_none() {
            self.since = Some(self.sent_at);
            self.previous = self.agreed_previous();
        }
        true
    }

    /// Ends the lease at once; the caller sends the request to every voter.
    ///
    /// If the request is lost, the voters keep their grants until these expire.
    pub fn release(&mut self) -> LeaseRequest {
        self.round += 1;
        self.until = Time::ZERO;
        self.votes.clear();
        self.awaiting = false;
        let mut request = self.build_request(true);
        if self.since.is_none() {
            request.epoch = NEVER_HELD;
        }
        self.since = None;
        self.number = self.round + 1;
        request
    }

    /// Whether this daemon holds the lease at `now`.
    #[must_use]
    pub fn held(&self, now: Time) -> bool {
        now < self.until
    }

    /// Whether this daemon does not hold the lease but voters may be granting it: a request was sent, and
    /// its votes may still arrive.
    ///
    /// A release at that time would end a term that the voters name as the previous one, although its
    /// daemon never knew of it and could hand nothing over in it.
    ///
    /// ```
    /// use rattanturn_core::{NodeId, Time, lease::{LeaseClient, VOTE_TIME, VoterSet, UnitId}};
    /// let voters = VoterSet { epoch: 1, voters: vec![NodeId(9)] };
    /// let mut lease = LeaseClient::new(UnitId(1), NodeId(2));
    /// assert!(!lease.may_be_granted(Time::ZERO));
    /// lease.request(Time::ZERO, &voters);
    /// assert!(lease.may_be_granted(Time::from_millis(1)));
    /// assert!(!lease.may_be_granted(Time::ZERO + VOTE_TIME));
    /// ```
    #[must_use]
    pub fn may_be_granted(&self, now: Time) -> bool {
        self.awaiting && !self.held(now) && now.since(self.sent_at) < VOTE_TIME
    }

    /// When the lease expires unless it is renewed; [`Time::ZERO`] before the first majority and
    /// after a release.
    #[must_use]
    pub fn until(&self) -> Time {
        self.until
    }

    /// When the current term began: the time of the first request that got a majority.
    ///
    /// The value is stale once the lease has expired, until the next request.
    #[must_use]
    pub fn since(&self) -> Option<Time> {
        self.since
    }

    /// The term that the current one directly follows, if the voters agree on one.
    #[must_use]
    pub fn previous(&self) -> Option<LeaseTerm> {
        self.previous
    }

    /// The current term, or the one that is being requested.
    #[must_use]
    pub fn term(&self) -> LeaseTerm {
        LeaseTerm {
            holder: self.me,
            number: self.number,
        }
    }

    /// The previous term that all votes agree on.
    ///
    /// Votes that name none are ignored. If two name different terms, it is not certain which one
    /// came directly before, so the result is `None`.
    fn agreed_previous(&self) -> Option<LeaseTerm> {
        let mut named = self.votes.iter().filter_map(|(_, previous)| *previous);
        let first = named.next()?;
        named.all(|t| t == first).then_some(first)
    }

    fn build_request(&self, release: bool) -> LeaseRequest {
        LeaseRequest {
            unit: self.unit,
            term: self.term(),
            epoch: self.epoch,
            round: self.round,
            release,
        }
    }
}
