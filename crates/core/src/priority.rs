//! Priority of requests under overload.

use serde::{Deserialize, Serialize};

/// Priority of a request when capacity is short. Variants are ordered from the lowest up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Waits behind all others, but is not starved.
    Low,
    /// For ordinary requests.
    Normal,
    /// Starts before all others; part of the capacity is reserved for it.
    High,
}

impl Priority {
    /// All priorities, from the lowest to the highest.
    pub const ALL: [Self; 3] = [Self::Low, Self::Normal, Self::High];

    /// Position in [`Self::ALL`], for tables with an entry for each priority.
    ///
    /// ```
    /// assert_eq!(rattanturn_core::Priority::High.index(), 2);
    /// ```
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}
