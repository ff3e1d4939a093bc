//! The deduplication tables of the partitions that a daemon owns, each valid for one lease term, and
//! those that other daemons have handed over to it.
//!
//! A table is handed over with the term that it was used in. The next owner continues it if its own
//! term directly follows that one, and passes it on with its own term. So a table must not be passed
//! on before the one of the previous term has arrived: the owner after that would take it for all
//! that is known. If the earlier table arrives only later, what was passed on is sent once more.

use {
    crate::{
        Time,
        dedup::DedupTable,
        lease::{LEASE_DURATION, LEASE_GRACE, LeaseTerm, LeaseTerms, TERM_RETENTION, UnitId},
    },
    std::{
        collections::{BTreeMap, HashMap, hash_map::Entry},
        time::Duration,
    },
};

/// Time for which a table that was handed over waits for this daemon to own its partition. Daemons
/// learn of a new owner at slightly different times, so only after this time is the table taken to
/// belong elsewhere and forwarded.
pub const FORWARD_DELAY: Duration = Duration::from_millis(50);

/// Time for which a new owner expects the table of the previous lease term to arrive.
pub const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a table is sent to the next owner, and sent again.
pub const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a table that was handed over is kept. Later, no voter names its term as the previous
/// one any more, so that no term can continue it.
pub const TABLE_RETENTION: Duration = LEASE_DURATION
    .saturating_add(LEASE_GRACE)
    .saturating_add(TERM_RETENTION);

/// Longest time without work in progress for which a handover delays the release of its lease: the wait
/// for the previous table, the sending, and the intervals at which traffic and control look.
const RELEASE_LIMIT: Duration = Duration::from_millis(2_500);

/// When the lease of a unit that is no longer wanted may be released.
///
/// ```
/// use rattanturn_core::{Time, partitions::Release};
/// let mut release = Release::default();
/// assert!(!release.is_due(Time::from_millis(1), 1, true));
/// assert!(release.is_due(Time::from_millis(2), 0, true));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Release {
    idle_since: Option<Time>,
}

impl Release {
    /// Whether no work is in progress, and the table of the unit, if any, was handed over or has had
    /// its time since the last work ended.
    pub fn is_due(&mut self, now: Time, in_use: usize, handed_over: bool) -> bool {
        if in_use > 0 {
            self.idle_since = None;
            return false;
        }
        let idle = *self.idle_since.get_or_insert(now);
        handed_over || now.since(idle) > RELEASE_LIMIT
    }
}

/// An owned partition of the request ids.
#[derive(Clone, Debug)]
struct Partition {
    /// Lease term that the table is valid for, and the one before; both are `None` if there are no
    /// leases.
    terms: LeaseTerms,
    /// Whether the table of the previous term has not arrived.
    incomplete: bool,
    /// When this daemon started to use the partition in this term.
    opened: Time,
    /// Whether the table was handed over to the next owner.
    handed_over: bool,
    table: DedupTable,
}

/// A table that is not in use here.
#[derive(Clone, Debug)]
struct ReceivedTable {
    table: DedupTable,
    /// When it is to be forwarded if this daemon does not use it.
    due: Time,
    /// When it is dropped.
    expires: Time,
}

/// The owned partitions, and the tables that other daemons handed over.
///
/// ```
/// use rattanturn_core::{NodeId, Time, dedup::*, lease::*, partitions::Partitions};
/// let (unit, now) = (UnitId(1), Time::from_millis(1));
/// let earlier = LeaseTerm { holder: NodeId(1), number: 1 };
/// let mut table = DedupTable::open(10_000);
/// table.begin(20_000, 20_000, "r1", 5);
/// table.finish("r1", Outcome::Ran(b"done".to_vec()));
/// let mut partitions = Partitions::default();
/// partitions.receive(now, unit, earlier, table);
/// let current = LeaseTerm { holder: NodeId(2), number: 1 };
/// let terms = LeaseTerms { current: Some(current), previous: Some(earlier) };
/// let table = partitions.open(now, unit, terms, 30_000);
/// let retry = table.begin(31_000, 20_000, "r1", 5);
/// assert_eq!(retry, Verdict::Ended(Outcome::Ran(b"done".to_vec())));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Partitions {
    open: HashMap<UnitId, Partition>,
    /// Tables by the lease term that they were used in. Terms of different daemons have no order that is
    /// known here, so one that arrives late stands beside the others.
    received: BTreeMap<(UnitId, LeaseTerm), ReceivedTable>,
}

impl Partitions {
    /// Returns the table of a partition, which is valid for the current term of its lease. The term
    /// began at `since`, in milliseconds since 1970.
    ///
    /// In a new term, the table of an earlier one is continued only if the new term directly
    /// follows it. Otherwise another daemon may have run requests in between, and the new term
    /// starts with an empty table.
    pub fn open(
        &mut self,
        now: Time,
        unit: UnitId,
        terms: LeaseTerms,
        since: u64,
    ) -> &mut DedupTable {
        let partition = match self.open.entry(unit) {
            Entry::Occupied(known) if known.get().terms.current == terms.current => {
                known.into_mut()
            }
            entry => {
                let kept = match &entry {
                    Entry::Occupied(known) => {
                        let earlier = known.get();
                        earlier.terms.current.map(|t| (t, earlier.table.clone()))
                    }
                    Entry::Vacant(_) => None,
                };
                let previous = terms.previous;
                let received = previous.and_then(|p| self.received.remove(&(unit, p)));
                let kept = kept.filter(|(term, _)| Some(*term) == previous);
                let table = kept.map(|(_, t)| t).or(received.map(|r| r.table));
                // The others are of terms before the previous one.
                self.received.retain(|(u, _), _| *u != unit);
                let partition = Partition {
                    terms,
                    incomplete: table.is_none() && previous.is_some(),
                    opened: now,
                    handed_over: false,
                    table: table.unwrap_or_else(|| DedupTable::open(since)),
                };
                entry.insert_entry(partition).into_mut()
            }
        };
        &mut partition.table
    }

    /// Whether the table of the previous lease term is probably still on its way here.
    #[must_use]
    pub fn expects_table(&self, now: Time, unit: UnitId) -> bool {
        let partition = self.open.get(&unit);
        partition.is_some_and(|p| p.incomplete && now.since(p.opened) < ARRIVAL_TIMEOUT)
    }

    /// The table of a partition that was opened, whether or not the lease is still held.
    pub fn get(&mut self, unit: UnitId) -> Option<&mut DedupTable> {
        self.open.get_mut(&unit).map(|p| &mut p.table)
    }

    /// The table for an attempt at a request of a lease term. `None` if another term was opened, or if the
    /// table was handed over without the request, which must not begin then.
    pub fn table_for(
        &mut self,
        unit: UnitId,
        terms: LeaseTerms,
        id: &str,
    ) -> Option<&mut DedupTable> {
        let partition = self.open.get_mut(&unit)?;
        let is_current = partition.terms.current == terms.current;
        let may_begin = !partition.handed_over || partition.table.contains(id);
        (is_current && may_begin).then_some(&mut partition.table)
    }

    /// The table of an open partition for its next owner; no request may begin in this term any more.
    pub fn hand_over(&mut self, unit: UnitId) -> Option<DedupTable> {
        let partition = self.open.get_mut(&unit)?;
        partition.handed_over = true;
        Some(partition.table.clone())
    }

    /// Takes the table of lease term `term` from the daemon that hands it over.
    ///
    /// If this daemon has already opened the partition in the next term, the table is merged into
    /// the one in use, which is forwarded if it was handed over without it. Otherwise it is kept for
    /// [`Self::open`].
    pub fn receive(&mut self, now: Time, unit: UnitId, term: LeaseTerm, table: DedupTable) {
        let next = self.open.get_mut(&unit);
        let Some(next) = next.filter(|p| p.terms.previous == Some(term)) else {
            self.keep(now, unit, term, table, now + FORWARD_DELAY);
            return;
        };
        next.incomplete = false;
        next.table.merge_earlier(table);
        if let Some(current) = next.terms.current.filter(|_| next.handed_over) {
            let whole = next.table.clone();
            self.keep(now, unit, current, whole, now);
        }
    }

    /// Takes back a table that [`Self::take_unused`] returned and that could not be forwarded.
    pub fn put_back(&mut self, now: Time, unit: UnitId, term: LeaseTerm, table: DedupTable) {
        self.keep(now, unit, term, table, now + FORWARD_DELAY);
    }

    /// Keeps a table until it is used or forwarded. Two tables of the same term are united: the one
    /// that was sent first lacks what its sender learned later.
    fn keep(&mut self, now: Time, unit: UnitId, term: LeaseTerm, mut table: DedupTable, due: Time) {
        let mut expires = now + TABLE_RETENTION;
        if let Some(known) = self.received.remove(&(unit, term)) {
            table.merge_earlier(known.table);
            expires = known.expires;
        }
        let kept = ReceivedTable {
            table,
            due,
            expires,
        };
        self.received.insert((unit, term), kept);
    }

    /// Drops tables that no term can continue any more.
    pub fn expire(&mut self, now: Time) {
        self.received.retain(|_, r| now < r.expires);
    }

    /// Removes and returns a table that has waited so long that this daemon will not use it, with the
    /// lease term that it was used in.
    pub fn take_unused(&mut self, now: Time, unit: UnitId) -> Option<(LeaseTerm, DedupTable)> {
        let is_due = |(key, r): (&(UnitId, LeaseTerm), &ReceivedTable)| {
            (key.0 == unit && now >= r.due).then_some(*key)
        };
        let key = self.received.iter().find_map(is_due)?;
        self.received.remove(&key).map(|r| (key.1, r.table))
    }

    /// Whether a table waits to be used or forwarded.
    #[must_use]
    pub fn has_received(&self, unit: UnitId) -> bool {
        self.received.keys().any(|(u, _)| *u == unit)
    }

    /// Number of requests in the tables in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.values().map(|p| p.table.len()).sum()
    }

    /// Whether no request is in a table in use.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
