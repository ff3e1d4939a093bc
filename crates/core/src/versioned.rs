//! The newest accepted version of a shared object, as one daemon knows it.
//!
//! The version is the platform's version of the object, which every successful conditional update
//! raises by one. A daemon accepts a higher version from any source (the platform or a peer) and
//! rejects lower ones. So an outdated VM, a stale read or a healed partition never reverts the
//! current version.

/// Outcome of [`Versioned::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The offered version is newer and is now the current one.
    Accepted,
    /// The offered version is the current one already; the offered value is dropped.
    Unchanged,
    /// The offered version is older than the current one, which stays.
    Stale,
}

/// The newest version of one object and its value.
///
/// ```
/// use rattanturn_core::versioned::{OfferResult, Versioned};
/// let mut object = Versioned::default();
/// assert_eq!(object.offer(4, "four"), OfferResult::Accepted);
/// assert_eq!(object.offer(3, "three"), OfferResult::Stale);
/// assert_eq!(object.value(), Some(&"four"));
/// ```
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    version: u64,
    value: Option<T>,
}

impl<T> Default for Versioned<T> {
    fn default() -> Self {
        Self {
            version: 0,
            value: None,
        }
    }
}

impl<T> Versioned<T> {
    /// The current version; 0 before the first was accepted.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The current value; `None` before the first was accepted.
    #[must_use]
    pub fn value(&self) -> Option<&T> {
        self.value.as_ref()
    }

    /// Accepts `value` if its version, counted from 1, is higher than the current one.
    pub fn offer(&mut self, version: u64, value: T) -> OfferResult {
        if version < self.version {
            return OfferResult::Stale;
        }
        if version == self.version {
            return OfferResult::Unchanged;
        }
        self.version = version;
        self.value = Some(value);
        OfferResult::Accepted
    }
}
