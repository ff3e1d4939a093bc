//! Where a watch of the store continues.
//!
//! The store numbers its changes with one revision. When it comes back from an older copy of its
//! data, it gives out revisions again, and a watch from one of before would skip the changes that
//! have got lower numbers since. The store then has a new era, so a position is an era and a
//! revision, and a revision says nothing in another era. The price of a new era is a list of all
//! objects for each watch.

use serde::{Deserialize, Serialize};

/// A revision of the store in one of its eras, ordered by these.
///
/// ```
/// use rattanturn_core::watch_position::WatchPosition;
/// let position = WatchPosition { era: 1, revision: 100 };
/// let next = position.advance(WatchPosition { era: 1, revision: 104 });
/// assert_eq!(next.unwrap().revision, 104);
/// assert!(position.advance(WatchPosition { era: 2, revision: 104 }).is_none());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WatchPosition {
    /// How often the store has come back from an older copy; 0 if it does not tell.
    pub era: u64,
    /// Revision of the last change that was seen.
    pub revision: u64,
}

impl WatchPosition {
    /// The position after an answer to a watch from this one, which says that the store is at
    /// `answer`.
    ///
    /// `None` if the store has come back from an older copy meanwhile. The answer may lack changes
    /// then, so everything has to be listed again.
    #[must_use]
    pub fn advance(self, answer: Self) -> Option<Self> {
        let revision = self.revision.max(answer.revision);
        (self.era == answer.era).then_some(Self { revision, ..self })
    }
}
