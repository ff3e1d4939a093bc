//! Whether a daemon reaches the targets as a whole.
//!
//! [`crate::health`] judges targets one by one. When a daemon's network to the targets is cut, all of
//! them are down for this daemon only, and its callers are better served by another daemon. A part
//! of the targets may be down for everyone, for example those of a data centre, so only the loss of
//! most of them counts.

/// Part of the known targets below which a daemon has lost them.
const LOST_BELOW: f64 = 0.5;
/// Part of the known targets from which on a daemon has regained them. The gap keeps a daemon that
/// reaches about half of the targets from changing its state again and again.
const REGAINED_FROM: f64 = 0.75;

/// A change of the state, to be logged and acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// Most targets are out of reach.
    Lost,
    /// Most targets are within reach again.
    Regained,
}

/// Whether this daemon has lost most targets.
///
/// ```
/// use rattanturn_core::reach::{Reach, ReachChange};
/// let mut reach = Reach::default();
/// assert_eq!(reach.update(110, 120), None);
/// assert_eq!(reach.update(20, 120), Some(ReachChange::Lost));
/// assert_eq!(reach.update(70, 120), None, "reached by half of them only");
/// assert_eq!(reach.update(100, 120), Some(ReachChange::Regained));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Reach {
    lost: bool,
}

impl Reach {
    /// Updates the state with the numbers of targets within reach and of known ones.
    pub fn update(&mut self, reachable: usize, known: usize) -> Option<ReachChange> {
        let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        let part = count(reachable) / count(known.max(1));
        let lost = known > 0 && part < if self.lost { REGAINED_FROM } else { LOST_BELOW };
        let changed = lost != self.lost;
        self.lost = lost;
        changed.then_some(if lost {
            ReachChange::Lost
        } else {
            ReachChange::Regained
        })
    }

    /// Whether most targets are out of reach.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost
    }
}
