//! The journals of one thread, each of one tenure of its share.

use {
    crate::routing::{LeaseCell, Tenures},
    rattanturn_core::{
        Time,
        dedup::DedupTable,
        lease::{LeaseTerm, UnitId},
    },
    std::{collections::HashMap, rc::Rc, time::Duration},
    tokio::sync::Notify,
};

/// Time that a journal waits for this daemon to become its share's holder before it is passed on;
/// daemons learn of a move at slightly different times.
const RECEIVED_PATIENCE: Duration = Duration::from_millis(50);

/// Time that a new holder waits for the journal of the tenure before to arrive.
const ARRIVAL_PATIENCE: Duration = Duration::from_millis(250);

/// A journal and the tenure that it belongs to.
pub(super) struct Share {
    tenure: Option<LeaseTerm>,
    /// The tenure whose journal is missing here and may still arrive.
    missing: Option<LeaseTerm>,
    opened: Time,
    pub(super) journal: DedupTable,
    /// Wakes repeats that wait for a first run.
    pub(super) ended: Rc<Notify>,
}

/// A journal that another daemon handed over.
struct Received {
    tenure: LeaseTerm,
    journal: DedupTable,
    at: Time,
}

/// Journals by share, and journals that other daemons handed over.
#[derive(Default)]
pub(super) struct Shares {
    open: HashMap<UnitId, Share>,
    received: HashMap<UnitId, Received>,
}

impl Shares {
    /// Makes sure that the share's journal is of the lease's present tenure.
    ///
    /// A journal goes on only if the new tenure directly follows the one that it belongs to;
    /// otherwise another daemon may have run requests in between, and a new one is opened.
    pub(super) fn open(&mut self, now: Time, unit: UnitId, cell: &LeaseCell) -> &mut Share {
        let Tenures { present, previous } = cell.tenures();
        let known = self.open.get(&unit).map(|s| s.tenure);
        if known != Some(present) {
            let kept = self.open.remove(&unit).map(|s| (s.tenure, s.journal));
            let received = self
                .received
                .remove(&unit)
                .map(|r| (Some(r.tenure), r.journal));
            let follows =
                |(t, _): &(Option<LeaseTerm>, DedupTable)| previous.is_some() && *t == previous;
            let journal = kept
                .filter(follows)
                .or(received.filter(follows))
                .map(|(_, j)| j);
            let share = Share {
                tenure: present,
                missing: if journal.is_some() { None } else { previous },
                opened: now,
                journal: journal.unwrap_or_else(|| DedupTable::open(cell.since_unix())),
                ended: Rc::default(),
            };
            self.open.insert(unit, share);
        }
        self.open.get_mut(&unit).expect("the share was just opened")
    }

    /// Whether the journal of the tenure before is likely on its way here.
    pub(super) fn expects_journal(&self, now: Time, unit: UnitId) -> bool {
        let share = self.open.get(&unit);
        share.is_some_and(|s| s.missing.is_some() && now.since(s.opened) < ARRIVAL_PATIENCE)
    }

    /// The share's journal as it stands.
    pub(super) fn get(&mut self, unit: UnitId) -> Option<&mut Share> {
        self.open.get_mut(&unit)
    }

    /// Keeps a journal that the holder of `tenure` handed over.
    ///
    /// A share that was opened before its journal arrived takes it in.
    pub(super) fn receive(
        &mut self,
        now: Time,
        unit: UnitId,
        tenure: LeaseTerm,
        journal: DedupTable,
    ) {
        if let Some(share) = self.open.get_mut(&unit)
            && share.missing == Some(tenure)
        {
            share.missing = None;
            share.journal.merge_earlier(journal);
            return;
        }
        self.received.insert(
            unit,
            Received {
                tenure,
                journal,
                at: now,
            },
        );
    }

    /// Takes out a journal that has waited here in vain.
    pub(super) fn take_unused(
        &mut self,
        now: Time,
        unit: UnitId,
    ) -> Option<(LeaseTerm, DedupTable)> {
        let waited = now.since(self.received.get(&unit)?.at);
        if waited < RECEIVED_PATIENCE {
            return None;
        }
        self.received.remove(&unit).map(|r| (r.tenure, r.journal))
    }

    /// Requests remembered.
    pub(super) fn len(&self) -> usize {
        self.open.values().map(|s| s.journal.len()).sum()
    }
}
