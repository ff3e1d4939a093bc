//! The newest accepted version of a shared object, as one daemon knows it.
//!
//! The version is the platform's object version: a conditional update that took effect raised
//! it by one. A daemon takes a higher version from anywhere (platform, peer) and refuses lower
//! ones, so an old VM, a stale read or a healed partition never reverts what is in force.

/// What became of an offered version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is newer and now in force.
    Taken,
    /// It is the one in force.
    Same,
    /// It is older than the one in force, which stays.
    Stale,
}

/// Holds one object's newest version.
///
/// ```
/// use rattanturn_core::register::{Offer, Register};
/// let mut register = Register::default();
/// assert_eq!(register.offer(4, "four"), Offer::Taken);
/// assert_eq!(register.offer(3, "three"), Offer::Stale);
/// assert_eq!(register.value(), Some(&"four"));
/// ```
#[derive(Clone, Debug)]
pub struct Register<T> {
    version: u64,
    value: Option<T>,
}

impl<T> Default for Register<T> {
    fn default() -> Self {
        Self {
            version: 0,
            value: None,
        }
    }
}

impl<T> Register<T> {
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
    pub fn offer(&mut self, version: u64, value: T) -> Offer {
        if version < self.version {
            return Offer::Stale;
        }
        if version == self.version {
            return Offer::Same;
        }
        self.version = version;
        self.value = Some(value);
        Offer::Taken
    }
}
