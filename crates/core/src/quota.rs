//! This daemon's part of what targets allow to all daemons together.
//!
//! The parts must fit also right after a start, when few peers have been heard of yet. So they go
//! by the daemons that are on record in the store as well as by those that are heard.

use crate::addresses::MIN_CAPACITY;

/// Share of a target's connections that daemons take which callers are sent to. The rest is for
/// other daemons, and for connections of a daemon that lost power, which a target keeps for a
/// while beside those of its successor.
const CONNECTION_SHARE: f64 = 0.6;
/// Daemons that are assumed while neither record nor peers are known.
const UNKNOWN_SHARERS: usize = 8;

/// Number of daemons that share limits: those heard of, or those on record if they are more.
///
/// ```
/// use rattanturn_core::quota::sharing_daemons;
/// assert_eq!(sharing_daemons(1, &[0.25, 0.25, 0.25]), 3);
/// assert_eq!(sharing_daemons(6, &[0.5, 0.5, 0.1]), 6);
/// assert_eq!(sharing_daemons(1, &[]), 8);
/// ```
#[must_use]
pub fn sharing_daemons(heard: usize, recorded: &[f64]) -> usize {
    let best = recorded.iter().copied().fold(0.0, f64::max);
    let large = recorded.iter().filter(|c| **c >= best * MIN_CAPACITY);
    let recorded = match large.count() {
        0 => UNKNOWN_SHARERS,
        count => count,
    };
    heard.max(recorded)
}

/// Connections that a daemon may have to a target that accepts `all`.
///
/// ```
/// use rattanturn_core::quota::connection_quota;
/// assert_eq!(connection_quota(31, 8, true), 2);
/// assert_eq!(connection_quota(31, 8, false), 1);
/// ```
#[must_use]
pub fn connection_quota(all: u32, sharers: usize, takes_callers: bool) -> u32 {
    if !takes_callers {
        return 1;
    }
    let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
    let part = f64::from(all) * CONNECTION_SHARE / f64::from(sharers.max(1));
    // Counts of connections are small and not negative.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let part = part as u32;
    part.max(1)
}
