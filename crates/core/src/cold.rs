//! How many requests a cold target gets from this daemon.
//!
//! The rate that a cold target bears holds for all daemons together, also while they cannot talk
//! to each other, so each daemon takes a fixed share. Where the share is less than one request a
//! second, a daemon sends none unless it is among those that rank first for the target.

use {
    crate::{NodeId, Time, rendezvous},
    std::{collections::VecDeque, time::Duration},
};

/// Span over which the rate is counted.
const SPAN: Duration = Duration::from_secs(1);

/// Requests that one daemon may send to a cold target in any second.
///
/// `daemons` are those that are known to live, `me` is one of them; `sharers` may send in all. A
/// daemon that knows fewer than these takes no part of the remainder, which needs an agreement.
///
/// ```
/// use rattanturn_core::{NodeId, cold::request_quota};
/// let daemons: Vec<NodeId> = (0..8).map(NodeId).collect();
/// let total: u32 = daemons.iter().map(|d| request_quota(10.0, &daemons, *d, "i-1", 8)).sum();
/// assert_eq!(total, 10);
/// ```
#[must_use]
pub fn request_quota(
    rate: f64,
    daemons: &[NodeId],
    me: NodeId,
    target: &str,
    sharers: usize,
) -> u32 {
    // Rates are small and not negative.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = rate.max(0.0) as usize;
    let count = daemons.len().max(sharers).max(1);
    let agreed = if daemons.len() >= sharers {
        whole % count
    } else {
        0
    };
    let extra = rendezvous::top(daemons.iter().copied(), rendezvous::key(target), agreed);
    let share = whole / count + usize::from(extra.contains(&me));
    u32::try_from(share).unwrap_or(u32::MAX)
}

/// Requests sent to one target within the last second.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindowLimiter {
    sent: VecDeque<Time>,
}

impl SlidingWindowLimiter {
    /// Counts a request if fewer than `share` were sent in the last second.
    pub fn try_acquire(&mut self, now: Time, share: u32) -> bool {
        while self.sent.front().is_some_and(|t| now.since(*t) > SPAN) {
            self.sent.pop_front();
        }
        let admitted = self.sent.len() < share as usize;
        if admitted {
            self.sent.push_back(now);
        }
        admitted
    }
}
