//! Rate limit for requests to a cold target.
//!
//! The request rate that a cold target can take is a limit for all daemons together. It must hold
//! even while the daemons cannot reach each other, so each daemon gets a fixed quota and no
//! coordination is needed. Where an even split gives less than one request a second, only the
//! daemons that rendezvous hashing puts first for the target send any.

use {
    crate::{NodeId, Time, rendezvous},
    std::{collections::VecDeque, time::Duration},
};

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Number of requests that daemon `me` may send to a cold target in any second.
///
/// `rate` is the number of requests a second that the target takes from all daemons together.
/// `daemons` are the daemons known to be alive, `me` among them, and `sharing` is the number of
/// daemons that may call the target. The rate is divided evenly; rendezvous hashing assigns the
/// remainder. A daemon that knows fewer than `sharing` daemons gets nothing of the remainder,
/// because others might assign it differently and the sum would exceed the rate.
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
    sharing: usize,
) -> u32 {
    // Rates are small, and `max` rules out negative ones.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = rate.max(0.0) as usize;
    let count = daemons.len().max(sharing).max(1);
    let remainder = if daemons.len() >= sharing {
        whole % count
    } else {
        0
    };
    let extra = rendezvous::top(daemons.iter().copied(), rendezvous::key(target), remainder);
    let quota = whole / count + usize::from(extra.contains(&me));
    u32::try_from(quota).unwrap_or(u32::MAX)
}

/// Counts the requests that were sent to one target within the last second and limits them.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindowLimiter {
    /// Times of the requests within the window, oldest first.
    sent: VecDeque<Time>,
}

impl SlidingWindowLimiter {
    /// Number of requests that were sent within the last second.
    ///
    /// ```
    /// use {rattanturn_core::{Time, cold::SlidingWindowLimiter}, std::time::Duration};
    /// let mut limiter = SlidingWindowLimiter::default();
    /// let now = Time::from_millis(5_000);
    /// assert!(limiter.try_acquire(now, 1));
    /// assert_eq!(limiter.sent(now), 1);
    /// assert_eq!(limiter.sent(now + Duration::from_millis(1_001)), 0);
    /// ```
    #[must_use]
    pub fn sent(&self, now: Time) -> usize {
        let outside = |t: &&Time| now.since(**t) > WINDOW;
        self.sent.len() - self.sent.iter().take_while(outside).count()
    }

    /// Returns true and counts a request if fewer than `quota` were sent within the last second.
    pub fn try_acquire(&mut self, now: Time, quota: u32) -> bool {
        while self.sent.front().is_some_and(|t| now.since(*t) > WINDOW) {
            self.sent.pop_front();
        }
        let allowed = self.sent.len() < quota as usize;
        if allowed {
            self.sent.push_back(now);
        }
        allowed
    }
}
