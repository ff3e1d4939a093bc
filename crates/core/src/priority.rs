//! Order of requests under overload.

use serde::{Deserialize, Serialize};

/// Order in which requests are served when capacity is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// May wait, but is not starved.
    Low,
    /// Ordinary requests.
    Normal,
    /// Served first.
    High,
}

impl Priority {
    /// All priorities, lowest first.
    pub const ALL: [Self; 3] = [Self::Low, Self::Normal, Self::High];

    /// Position in [`Self::ALL`].
    ///
    /// ```
    /// assert_eq!(rattanturn_core::Priority::High.index(), 2);
    /// ```
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}
