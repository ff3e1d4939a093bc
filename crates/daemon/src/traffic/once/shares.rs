//! The journals of one thread, each of one tenure of its share.

use {
    crate::routing::{LeaseCell, Tenures},
    rattanturn_core::{
        journal::Journal,
        lease::{Tenure, UnitId},
    },
    std::{collections::HashMap, rc::Rc},
    tokio::sync::Notify,
};

/// A journal and the tenure that it belongs to.
pub(super) struct Share {
    tenure: Option<Tenure>,
    pub(super) journal: Journal,
    /// Wakes repeats that wait for a first run.
    pub(super) ended: Rc<Notify>,
}

/// Journals by share, and journals that other daemons handed over.
#[derive(Default)]
pub(super) struct Shares {
    open: HashMap<UnitId, Share>,
    received: HashMap<UnitId, (Tenure, Journal)>,
}

impl Shares {
    /// Makes sure that the share's journal is of the lease's present tenure.
    ///
    /// A journal goes on only if the new tenure directly follows the one that it belongs to;
    /// otherwise another daemon may have run requests in between, and a new one is opened.
    pub(super) fn open(&mut self, unit: UnitId, cell: &LeaseCell) -> &mut Share {
        let Tenures { present, previous } = cell.tenures();
        let known = self.open.get(&unit).map(|s| s.tenure);
        if known != Some(present) {
            let kept = self.open.remove(&unit).map(|s| (s.tenure, s.journal));
            let received = self.received.remove(&unit).map(|(t, j)| (Some(t), j));
            let follows =
                |(tenure, _): &(Option<Tenure>, Journal)| previous.is_some() && *tenure == previous;
            let journal = kept
                .filter(follows)
                .or(received.filter(follows))
                .map(|(_, j)| j);
            let share = Share {
                tenure: present,
                journal: journal.unwrap_or_else(|| Journal::open(cell.since_unix())),
                ended: Rc::default(),
            };
            self.open.insert(unit, share);
        }
        self.open.get_mut(&unit).expect("the share was just opened")
    }

    /// The share's journal as it stands.
    pub(super) fn get(&mut self, unit: UnitId) -> Option<&mut Share> {
        self.open.get_mut(&unit)
    }

    /// Keeps a journal that the holder of `tenure` handed over.
    pub(super) fn receive(&mut self, unit: UnitId, tenure: Tenure, journal: Journal) {
        self.received.insert(unit, (tenure, journal));
    }

    /// Takes out a received journal that was not opened.
    pub(super) fn take_received(&mut self, unit: UnitId) -> Option<(Tenure, Journal)> {
        self.received.remove(&unit)
    }

    /// Requests remembered.
    pub(super) fn len(&self) -> usize {
        self.open.values().map(|s| s.journal.len()).sum()
    }
}
