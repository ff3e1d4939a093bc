//! Leases of this daemon: as holder of units and as voter on others' requests.
//!
//! A unit that this daemon should hold is asked for until a majority of its panel grants it and
//! renewed from then on. A unit that has moved to another daemon is closed to new work, given
//! back once the work under way has ended, and taken over by the other daemon at its next
//! request.

use {
    crate::{
        clock,
        routing::{LeaseState, LeaseTerms, Unit},
    },
    rattanturn_core::{
        NodeId, Time,
        lease::{LeaseClient, LeaseRequest, RENEW_INTERVAL, UnitId, Vote, Voter, VoterSet},
        voter_sets::VoterSets,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Interval between requests for a unit that is wanted and not held.
const ACQUIRE_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a journal's hand-over may take before its unit is given back without it.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(1);
/// Requests or votes in one datagram.
pub(crate) const PER_DATAGRAM: usize = 32;

struct Held {
    hold: LeaseClient,
    cell: Arc<LeaseState>,
    wanted: bool,
    /// A journal is handed over before its unit is given back.
    journal: bool,
    closed: Option<Time>,
    next: Time,
}

impl Held {
    /// Whether an unwanted unit can be given back: idle, and its journal handed over.
    fn may_release(&mut self, now: Time) -> bool {
        if !self.hold.held(now) {
            return true;
        }
        let closed = *self.closed.get_or_insert(now);
        let settled =
            !self.journal || self.cell.handover_finished() || now.since(closed) > HAND_OVER_LIMIT;
        settled && self.cell.in_use() == 0
    }
}

/// Messages to other voters.
pub(crate) type Outgoing = BTreeMap<NodeId, Vec<LeaseRequest>>;

/// Leases of one daemon.
pub(crate) struct Leases {
    me: NodeId,
    voter: Voter,
    held: HashMap<UnitId, Held>,
    released: bool,
}

/// Counts of leases, for the state dump.
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
            released: false,
        }
    }

    /// Follows the units' holders and attaches the cells of those wanted or still held here.
    pub(crate) fn follow(&mut self, units: &mut [Unit]) {
        for held in self.held.values_mut() {
            held.wanted = false;
        }
        for unit in units {
            if unit.holder == Some(self.me) {
                let held = self.held.entry(unit.id).or_insert_with(|| Held {
                    hold: LeaseClient::new(unit.id, self.me),
                    cell: Arc::default(),
                    wanted: true,
                    journal: unit.centre.is_none(),
                    closed: None,
                    next: Time::ZERO,
                });
                // What was handed over is another daemon's: the unit starts a new tenure.
                if !held.cell.handover_started() {
                    held.wanted = true;
                    held.closed = None;
                    held.cell.reopen();
                }
            }
            unit.lease = self.held.get(&unit.id).map(|h| h.cell.clone());
        }
        for held in self.held.values().filter(|h| !h.wanted) {
            held.cell.close();
        }
    }

    /// Renews, asks for and gives back units.
    pub(crate) fn tick(&mut self, now: Time, panels: &VoterSets) -> Outgoing {
        self.voter.expire(now);
        let mut out = Outgoing::new();
        let mut gone = Vec::new();
        let mut own = Vec::new();
        for (unit, held) in &mut self.held {
            let Some(panel) = panels.of(*unit) else {
                continue;
            };
            let request = if !held.wanted && held.may_release(now) {
                gone.push(*unit);
                held.cell.set(Time::ZERO, 0, LeaseTerms::default());
                held.hold.release()
            } else if now >= held.next {
                let wait = if held.hold.held(now) {
                    RENEW_INTERVAL
                } else {
                    ACQUIRE_INTERVAL
                };
                held.next = now + wait;
                held.hold.request(now, &panel)
            } else {
                continue;
            };
            for voter in &panel.voters {
                if *voter == self.me {
                    own.push((panel.clone(), request));
                } else {
                    out.entry(*voter).or_default().push(request);
                }
            }
        }
        self.released |= !gone.is_empty();
        for unit in gone {
            self.held.remove(&unit);
        }
        for (panel, request) in own {
            let vote = self.voter.vote(now, &panel, &request);
            self.count(now, &panel, self.me, &vote);
        }
        out
    }

    /// Tells once whether units were given back, so that routing has to be derived anew.
    pub(crate) fn take_released(&mut self) -> bool {
        std::mem::take(&mut self.released)
    }

    /// Votes on the requests of another daemon.
    pub(crate) fn vote(
        &mut self,
        now: Time,
        panels: &VoterSets,
        list: &[LeaseRequest],
    ) -> Vec<Vote> {
        let mut votes = Vec::new();
        for request in list {
            let Some(panel) = panels.of(request.unit) else {
                continue;
            };
            if panel.voters.contains(&self.me) {
                let vote = self.voter.vote(now, &panel, request);
                if !request.release {
                    votes.push(vote);
                }
            }
        }
        votes
    }

    /// Counts the votes of another daemon.
    pub(crate) fn votes(&mut self, now: Time, panels: &VoterSets, from: NodeId, list: &[Vote]) {
        for vote in list {
            if let Some(panel) = panels.of(vote.unit) {
                self.count(now, &panel, from, vote);
            }
        }
    }

    /// Work under way on all units.
    pub(crate) fn in_use(&self) -> usize {
        self.held.values().map(|h| h.cell.in_use()).sum()
    }

    /// Number of units not given back yet.
    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    pub(crate) fn dump(&self) -> LeaseDump {
        let now = clock::now();
        LeaseDump {
            held: self.held.values().filter(|h| h.hold.held(now)).count(),
            wanted: self.held.values().filter(|h| h.wanted).count(),
            closing: self.held.values().filter(|h| !h.wanted).count(),
            grants: self.voter.len(),
        }
    }

    fn count(&mut self, now: Time, panel: &VoterSet, voter: NodeId, vote: &Vote) {
        let Some(held) = self.held.get_mut(&vote.unit) else {
            return;
        };
        if !held.hold.count(panel, voter, vote) {
            return;
        }
        let terms = LeaseTerms {
            current: Some(held.hold.term()),
            previous: held.hold.previous(),
        };
        // The tenure's start must not wander with the wall clock from renewal to renewal.
        let start_ms = if terms == held.cell.terms() {
            held.cell.start_ms()
        } else {
            let since = held.hold.since().unwrap_or(now);
            clock::unix_ms().saturating_sub(clock::millis(now.since(since)))
        };
        held.cell.set(held.hold.until(), start_ms, terms);
    }
}
