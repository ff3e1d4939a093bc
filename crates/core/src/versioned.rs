//! The newest accepted version of a shared object, as one daemon knows it.
//!
//! The version is the platform's object version: a conditional update that took effect raised
//! it by one. A daemon takes a higher version from anywhere (platform, peer) and refuses lower
//! ones, so an old VM, a stale read or a healed partition never reverts what is in force.

/// What became of an offered version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// It is newer and now in force.
    Accepted,
    /// It is the one in force.
    Unchanged,
    /// It is older than the one in force, which stays.
    Stale,
}

/// Holds one object's newest version.
///
/// ```
/// use rattanturn_core::versioned::{OfferResult, Versioned};
/// let mut register = Versioned::default();
/// assert_eq!(register.offer(4, "four"), OfferResult::Accepted);
/// assert_eq!(register.offer(3, "three"), OfferResult::Stale);
/// assert_eq!(register.value(), Some(&"four"));
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
    /// Version in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Value in force.
    #[must_use]
    pub fn value(&self) -> Option<&T> {
        self.value.as_ref()
    }

    /// Offers a version from the platform or a peer.
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
