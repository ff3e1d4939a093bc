//! Division of a target's limits among the daemons that use it.
//!
//! The quotas of all daemons together must stay within the limit even right after a start, when a
//! daemon knows few of its peers. The number of daemons is therefore taken from those recorded in
//! the store as well as from those known through gossip.

use crate::{
    NodeId,
    addresses::{self, Frontend, MIN_CAPACITY},
    rate_share::fraction,
};

/// Fraction of a target's connections that goes to the daemons that serve callers. The rest is for
/// other daemons and for connections of a daemon that lost power: the target keeps them open for a
/// while beside those of the daemon's successor.
const CONNECTION_SHARE: f64 = 0.6;
/// Number of daemons that is assumed while none is recorded in the store.
const DEFAULT_DAEMONS: usize = 8;

/// Number of daemons among which limits are divided.
///
/// `known` is the number of daemons known through gossip, `capacities` are those of the daemons
/// recorded in the store. Recorded daemons much smaller than the largest one do not count, because
/// callers are not sent to them. The result is the larger of the two numbers.
///
/// ```
/// use rattanturn_core::quota::sharing_daemons;
/// assert_eq!(sharing_daemons(1, &[0.25, 0.25, 0.25]), 3);
/// assert_eq!(sharing_daemons(6, &[0.5, 0.5, 0.1]), 6);
/// assert_eq!(sharing_daemons(1, &[]), 8);
/// ```
#[must_use]
pub fn sharing_daemons(known: usize, capacities: &[f64]) -> usize {
    let best = capacities.iter().copied().fold(0.0, f64::max);
    let large = capacities.iter().filter(|c| **c >= best * MIN_CAPACITY);
    let recorded = match large.count() {
        0 => DEFAULT_DAEMONS,
        count => count,
    };
    known.max(recorded)
}

/// Number of daemons known through gossip that share limits: those that callers are directed to, and
/// those among `leaving` that would be if they accepted callers.
///
/// A daemon that stops keeps its share for as long as callers come, so the others must not take it
/// over, also while the store does not list the daemon.
///
/// ```
/// use rattanturn_core::{NodeId, addresses::Frontend, quota::known_daemons};
/// let frontend = |id, accepting| Frontend {
///     id: NodeId(id),
///     addr: ([127, 0, 0, 1], 80).into(),
///     centre: "a".into(),
///     accepting,
///     suspect: false,
///     closes_at: None,
///     capacity: 1.0,
/// };
/// let frontends = [frontend(1, true), frontend(2, true), frontend(3, false), frontend(4, false)];
/// assert_eq!(known_daemons(&frontends, &[NodeId(3)]), 3);
/// ```
#[must_use]
pub fn known_daemons(frontends: &[Frontend], leaving: &[NodeId]) -> usize {
    let accepting = |f: &Frontend| f.accepting || leaving.contains(&f.id);
    let frontends: Vec<Frontend> = frontends
        .iter()
        .map(|f| Frontend {
            accepting: accepting(f),
            ..f.clone()
        })
        .collect();
    addresses::advertised(&frontends).len()
}

/// Number of connections that a daemon may open to a target that accepts `limit` in total.
///
/// `sharing` is the result of [`sharing_daemons`]. A daemon that serves no callers gets a single
/// connection; one that stops still serves them. The quota is never 0.
///
/// ```
/// use rattanturn_core::quota::connection_quota;
/// assert_eq!(connection_quota(31, 8, true), 2);
/// assert_eq!(connection_quota(31, 8, false), 1);
/// ```
#[must_use]
pub fn connection_quota(limit: u32, sharing: usize, takes_callers: bool) -> u32 {
    if !takes_callers {
        return 1;
    }
    let sharing = u32::try_from(sharing).unwrap_or(u32::MAX);
    let quota = f64::from(limit) * CONNECTION_SHARE / f64::from(sharing.max(1));
    // Counts of connections are small and not negative.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let quota = quota as u32;
    quota.max(1)
}

/// Fraction of all requests on credit that a daemon may run.
///
/// It depends on the capacities of the recorded daemons, `own` among them, and not on which daemons
/// are seen to take callers: those that stop, or that others take for dead, still run requests while
/// others take their place. `sharing` is the result of [`sharing_daemons`], and `calling` the number of
/// all daemons. A daemon that is not recorded, while others are, gets nothing.
///
/// ```
/// use rattanturn_core::quota::credit_fraction;
/// let recorded = [4.0, 4.0, 1.0];
/// assert!((credit_fraction(2, 3, Some(4.0), &recorded) - 0.45).abs() < 1e-9);
/// assert!((credit_fraction(2, 3, Some(1.0), &recorded) - 0.1).abs() < 1e-9);
/// ```
#[must_use]
pub fn credit_fraction(sharing: usize, calling: usize, own: Option<f64>, recorded: &[f64]) -> f64 {
    let Some(own) = own else {
        let is_first = recorded.is_empty();
        return if is_first {
            fraction(sharing, calling, true)
        } else {
            0.0
        };
    };
    let best = recorded.iter().copied().fold(0.0, f64::max);
    let is_small = |capacity: f64| capacity < best * MIN_CAPACITY;
    let small = recorded.iter().filter(|c| is_small(**c)).count();
    let large = sharing.max(recorded.len() - small);
    fraction(large, calling.max(large + small), !is_small(own))
}
