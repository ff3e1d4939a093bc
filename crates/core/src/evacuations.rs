//! The evacuated data centres as far as a daemon knows them.
//!
//! Daemons exchange the whole set together with other state that changes far more often. So whoever
//! has the newer state as a whole may know less about evacuations: it has just started, or its calls
//! for them fail. The set therefore carries the store's position up to which it was read, and gives way
//! only to one that was read later. The price is that a set without a position, from an older build,
//! has to be believed.

use {crate::watch_position::WatchPosition, std::collections::BTreeSet};

/// Names of the evacuated data centres, and up to where the store was read for them.
///
/// ```
/// use rattanturn_core::{evacuations::Evacuations, watch_position::WatchPosition};
/// let at = |revision| WatchPosition { era: 0, revision };
/// let mut known = Evacuations::default();
/// known.set(["north".to_owned()].into());
/// known.read_up_to(at(7));
/// assert!(!known.adopt([].into(), Some(at(0))));
/// assert!(known.contains("north"));
/// assert!(known.adopt([].into(), Some(at(9))));
/// assert!(!known.contains("north"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    centres: BTreeSet<String>,
    /// Revision 0 if they were never read, by this daemon or by one that it adopted them from.
    position: WatchPosition,
}

impl Evacuations {
    /// Names of the evacuated data centres.
    #[must_use]
    pub fn centres(&self) -> &BTreeSet<String> {
        &self.centres
    }

    /// Whether a data centre is evacuated.
    #[must_use]
    pub fn contains(&self, centre: &str) -> bool {
        self.centres.contains(centre)
    }

    /// The store's position up to which they were read; revision 0 if they are not known.
    #[must_use]
    pub fn position(&self) -> WatchPosition {
        self.position
    }

    /// Takes over what was read from the store.
    pub fn set(&mut self, centres: BTreeSet<String>) {
        self.centres = centres;
    }

    /// Notes up to where the store was read.
    pub fn read_up_to(&mut self, position: WatchPosition) {
        self.position = position;
    }

    /// Takes over another daemon's set unless that one knows less; true if both know the same then.
    ///
    /// `position` is what [`Self::position`] returned there, `None` from an older build.
    pub fn adopt(&mut self, centres: BTreeSet<String>, position: Option<WatchPosition>) -> bool {
        let is_older = position.is_some_and(|p| p.revision == 0 || p < self.position);
        if is_older {
            return self.centres == centres;
        }
        self.centres = centres;
        self.position = position.unwrap_or(self.position);
        true
    }
}
