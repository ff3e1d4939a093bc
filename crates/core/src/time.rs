//! Monotonic time that the embedding process passes in, so that this crate reads no clock.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// A point in time, in microseconds since an origin that the embedding process chooses.
///
/// Sums and differences saturate at [`Time::NEVER`] and [`Time::ZERO`].
///
/// ```
/// use {rattanturn_core::Time, std::time::Duration};
/// let t = Time::from_millis(2) + Duration::from_millis(3);
/// assert_eq!(t.since(Time::from_millis(1)), Duration::from_millis(4));
/// assert_eq!(Time::ZERO.since(t), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The origin.
    pub const ZERO: Self = Self(0);
    /// The latest time, for events that never happen.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a time from microseconds since the origin.
    #[must_use]
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Creates a time from milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Microseconds since the origin.
    #[must_use]
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        Self(self.0.saturating_add(micros(d)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(micros(d)))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
