//! Leases on units of work: which daemon may use a group of targets right now.
//!
//! A unit's panel is a handful of daemons, the voters. A holder asks all voters and holds the
//! unit while a majority granted it. Voters keep a grant in memory for longer than the holder
//! believes in it, by a grace period as long as the longest call, so calls that a lapsed holder
//! still has running end before another daemon may start. A voter that restarts is a new
//! member and is not on the panel, so it needs no disk. Panels change one voter at a time (see
//! [`crate::panels`]), which keeps any two majorities overlapping in a voter that remembers.
//!
//! There is no election, no log and no leader. While the platform is down the panel stays as it
//! is and leases move freely among the daemons as long as a majority of the panel is alive.

use {
    crate::{NodeId, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Time a holder believes in a lease, counted from when it sent the request.
pub const HOLDER_TERM: Duration = Duration::from_secs(2);
/// Time a voter remembers a grant beyond the holder's term: the longest call plus clock drift.
pub const GRACE: Duration = Duration::from_millis(1_500);
/// Interval between renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// A unit of work that one daemon holds: a group of targets, or a share of the request ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitId(pub u64);

/// The voters of a unit and the epoch in which they are its voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Panel {
    /// Raised by one at each change of the voters.
    pub epoch: u64,
    /// The voters.
    pub voters: Vec<NodeId>,
}

impl Panel {
    /// Votes that make a majority.
    ///
    /// ```
    /// use rattanturn_core::{NodeId, lease::Panel};
    /// let panel = Panel { epoch: 1, voters: vec![NodeId(1), NodeId(2), NodeId(3)] };
    /// assert_eq!(panel.majority(), 2);
    /// ```
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// A daemon's request to hold, keep or release a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Unit asked for.
    pub unit: UnitId,
    /// Daemon that asks.
    pub holder: NodeId,
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
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    holder: NodeId,
    round: u64,
    until: Time,
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
    pub fn vote(&mut self, now: Time, panel: &Panel, request: &Request) -> Vote {
        let mut vote = Vote {
            unit: request.unit,
            round: request.round,
            epoch: panel.epoch,
            granted: false,
        };
        let held = self
            .grants
            .get(&request.unit)
            .copied()
            .filter(|g| g.until > now);
        if request.release {
            // A delayed release must not undo a later renewal.
            if held.is_some_and(|g| g.holder == request.holder && g.round <= request.round) {
                self.grants.remove(&request.unit);
            }
            return vote;
        }
        if request.epoch != panel.epoch || held.is_some_and(|g| g.holder != request.holder) {
            return vote;
        }
        let until = now + HOLDER_TERM + GRACE;
        self.grants.insert(
            request.unit,
            Grant {
                holder: request.holder,
                round: request.round,
                until,
            },
        );
        vote.granted = true;
        vote
    }

    /// Forgets grants that ended.
    pub fn expire(&mut self, now: Time) {
        self.grants.retain(|_, g| g.until > now);
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
/// use rattanturn_core::{NodeId, Time, lease::{Hold, Panel, UnitId, Voter}};
/// let panel = Panel { epoch: 1, voters: vec![NodeId(9)] };
/// let mut voter = Voter::default();
/// let mut hold = Hold::new(UnitId(1), NodeId(2));
/// let request = hold.request(Time::ZERO, &panel);
/// let vote = voter.vote(Time::from_millis(1), &panel, &request);
/// hold.count(&panel, NodeId(9), &vote);
/// assert!(hold.held(Time::from_millis(1)));
/// assert!(!hold.held(Time::from_millis(2_000)));
/// ```
#[derive(Debug)]
pub struct Hold {
    unit: UnitId,
    me: NodeId,
    round: u64,
    asked: Time,
    epoch: u64,
    votes: Vec<NodeId>,
    until: Time,
    since: Option<Time>,
}

impl Hold {
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
        }
    }

    /// Starts a round; the request goes to every voter of `panel`.
    pub fn request(&mut self, now: Time, panel: &Panel) -> Request {
        self.round += 1;
        self.asked = now;
        self.epoch = panel.epoch;
        self.votes.clear();
        if !self.held(now) {
            self.since = None;
        }
        self.message(false)
    }

    /// Counts a vote; returns true when this vote completed a majority.
    pub fn count(&mut self, panel: &Panel, voter: NodeId, vote: &Vote) -> bool {
        let current = vote.round == self.round && vote.epoch == self.epoch;
        let known = panel.epoch == self.epoch && panel.voters.contains(&voter);
        if !vote.granted || !current || !known || self.votes.contains(&voter) {
            return false;
        }
        self.votes.push(voter);
        if self.votes.len() != panel.majority() {
            return false;
        }
        self.until = self.asked + HOLDER_TERM;
        self.since.get_or_insert(self.asked);
        true
    }

    /// Gives the unit back; the request goes to every voter.
    pub fn release(&mut self) -> Request {
        self.round += 1;
        self.until = Time::ZERO;
        self.since = None;
        self.votes.clear();
        self.message(true)
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

    /// When the present unbroken tenure began.
    #[must_use]
    pub fn since(&self) -> Option<Time> {
        self.since
    }

    fn message(&self, release: bool) -> Request {
        Request {
            unit: self.unit,
            holder: self.me,
            epoch: self.epoch,
            round: self.round,
            release,
        }
    }
}
