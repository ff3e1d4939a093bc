//! Deduplication tables of the partitions that one traffic thread owns, each valid for one lease
//! term.

use {
    crate::routing::{LeaseState, LeaseTerms},
    rattanturn_core::{
        Time,
        dedup::DedupTable,
        lease::{LeaseTerm, UnitId},
    },
    std::{collections::HashMap, rc::Rc, time::Duration},
    tokio::sync::Notify,
};

/// Time for which a table that was handed over waits for this daemon to own its partition. Daemons
/// learn of a new owner at slightly different times, so only after this time is the table taken to
/// belong elsewhere and forwarded.
const FORWARD_DELAY: Duration = Duration::from_millis(50);

/// Time for which a new owner expects the table of the previous lease term to arrive.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(250);

/// An owned partition of the request ids.
pub(super) struct Partition {
    /// Lease term that the table is valid for; `None` if there are no leases.
    term: Option<LeaseTerm>,
    /// Previous lease term, if its table has not arrived.
    missing_term: Option<LeaseTerm>,
    /// When this daemon started to use the partition in this term.
    opened: Time,
    pub(super) table: DedupTable,
    /// Notifies retries that wait for an earlier attempt whenever a request ends.
    pub(super) request_ended: Rc<Notify>,
}

/// A table that another daemon handed over and that is not in use yet.
struct ReceivedTable {
    /// Lease term of the other daemon.
    term: LeaseTerm,
    table: DedupTable,
    at: Time,
}

/// The owned partitions, and the tables that other daemons handed over.
#[derive(Default)]
pub(super) struct Partitions {
    open: HashMap<UnitId, Partition>,
    received: HashMap<UnitId, ReceivedTable>,
}

impl Partitions {
    /// Returns a partition, with a table that is valid for the current term of its lease.
    ///
    /// In a new term, the table of an earlier one is continued only if the new term directly
    /// follows it. Otherwise another daemon may have run requests in between, and the new term
    /// starts with an empty table.
    pub(super) fn open(&mut self, now: Time, unit: UnitId, lease: &LeaseState) -> &mut Partition {
        let LeaseTerms { current, previous } = lease.terms();
        let known = self.open.get(&unit).map(|p| p.term);
        if known != Some(current) {
            let kept = self.open.remove(&unit).map(|p| (p.term, p.table));
            let received = self.received.remove(&unit).map(|r| (Some(r.term), r.table));
            let follows =
                |(t, _): &(Option<LeaseTerm>, DedupTable)| previous.is_some() && *t == previous;
            let table = kept
                .filter(follows)
                .or(received.filter(follows))
                .map(|(_, t)| t);
            let partition = Partition {
                term: current,
                missing_term: if table.is_some() { None } else { previous },
                opened: now,
                table: table.unwrap_or_else(|| DedupTable::open(lease.start_ms())),
                request_ended: Rc::default(),
            };
            self.open.insert(unit, partition);
        }
        self.open
            .get_mut(&unit)
            .expect("the partition was just opened")
    }

    /// Whether the table of the previous lease term is probably still on its way here.
    pub(super) fn expects_table(&self, now: Time, unit: UnitId) -> bool {
        let partition = self.open.get(&unit);
        partition.is_some_and(|p| p.missing_term.is_some() && now.since(p.opened) < ARRIVAL_TIMEOUT)
    }

    /// A partition that was opened, whether or not the lease is still held.
    pub(super) fn get(&mut self, unit: UnitId) -> Option<&mut Partition> {
        self.open.get_mut(&unit)
    }

    /// Takes the table of lease term `term` from the daemon that hands it over.
    ///
    /// If this daemon has already opened the partition in the next term, the table is merged into
    /// the one in use; otherwise it is kept for [`Self::open`].
    pub(super) fn receive(&mut self, now: Time, unit: UnitId, term: LeaseTerm, table: DedupTable) {
        if let Some(partition) = self.open.get_mut(&unit)
            && partition.missing_term == Some(term)
        {
            partition.missing_term = None;
            partition.table.merge_earlier(table);
            return;
        }
        self.received.insert(
            unit,
            ReceivedTable {
                term,
                table,
                at: now,
            },
        );
    }

    /// Removes and returns a table that has waited so long that this daemon will not use it.
    pub(super) fn take_unused(
        &mut self,
        now: Time,
        unit: UnitId,
    ) -> Option<(LeaseTerm, DedupTable)> {
        let waited = now.since(self.received.get(&unit)?.at);
        if waited < FORWARD_DELAY {
            return None;
        }
        self.received.remove(&unit).map(|r| (r.term, r.table))
    }

    /// Number of requests in the tables in use.
    pub(super) fn len(&self) -> usize {
        self.open.values().map(|p| p.table.len()).sum()
    }
}
