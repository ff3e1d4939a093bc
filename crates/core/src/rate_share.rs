//! A daemon's share of the requests a second that a target takes from all daemons together.
//!
//! A target in need states such a limit in its answers. The daemons do not tell each other what they
//! send, because a limit must hold within seconds, also while they cannot reach each other. Each
//! daemon gets an even part instead, as a sequence of evenly spaced slots of one request each. A
//! daemon with fewer callers than the others leaves some of its slots unused.
//!
//! A limit is often only a few requests a second, which gives a daemon one slot in many seconds. The
//! slots of different daemons therefore begin at random times, and an unused slot expires soon:
//! otherwise each daemon would have one saved up, and all of them would be used at once when the
//! service's other targets fail.

use {crate::Time, std::time::Duration};

/// Time for which a slot can be used late, beside the time of one request at the full limit. It
/// covers pauses between a daemon's requests, and is short beside the seconds over which targets
/// count.
const SLOT_LIFETIME: Duration = Duration::from_secs(1);
/// Lowest limit in requests a second. A target that takes nothing would never be asked again, and
/// so could not tell that it has recovered.
const MIN_LIMIT: f64 = 0.25;
/// Part of a limit for the daemons that callers are not directed to.
const OTHERS_RESERVE: f64 = 0.1;
/// Longest interval between two slots; it only keeps the arithmetic in range.
const MAX_INTERVAL: Duration = Duration::from_hours(1);

/// Fraction of a limit that one daemon may use.
///
/// `sharing` daemons serve callers, of the `calling` daemons that may call a target. Those that
/// serve callers share the limit evenly. If there are others, they share a small reserve, because a
/// few callers still reach them.
///
/// ```
/// use rattanturn_core::rate_share::fraction;
/// assert!((fraction(4, 4, true) - 0.25).abs() < 1e-9);
/// let all = 4.0 * fraction(4, 20, true) + 16.0 * fraction(4, 20, false);
/// assert!((all - 1.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn fraction(sharing: usize, calling: usize, takes_callers: bool) -> f64 {
    let count = |n: usize| f64::from(u32::try_from(n.max(1)).unwrap_or(u32::MAX));
    let others = calling.saturating_sub(sharing);
    let reserve = if others > 0 { OTHERS_RESERVE } else { 0.0 };
    if takes_callers {
        (1.0 - reserve) / count(sharing)
    } else {
        OTHERS_RESERVE / count(others)
    }
}

/// How well a target's rate limit suits a call; better ones are tried first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Room {
    /// No limit, or more than one slot.
    Free,
    /// One slot. It is kept for a call that follows a slow or failed one at another target: the
    /// target with the limit is then often the only one left.
    LastSlot,
    /// No slot: the call must not be sent.
    Exhausted,
}

/// The limit that a target has stated and this daemon's slots under it.
///
/// ```
/// use {rattanturn_core::{Time, rate_share::RateShare}, std::time::Duration};
/// let mut share = RateShare::new(0.0);
/// share.set_fraction(0.5);
/// let now = Time::from_millis(10_000);
/// assert!(share.try_take(now), "no limit is stated");
/// share.set_limit(now, Some(10.0));
/// assert!(share.try_take(now) && !share.try_take(now));
/// assert_eq!(share.next_slot(now), now + Duration::from_millis(200));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RateShare {
    limit: Option<f64>,
    fraction: f64,
    /// Position of the first slot within its interval, 0 to 1.
    phase: f64,
    /// Begin of the oldest slot that is not used. It is kept when the limit is lifted, so that a
    /// limit that comes and goes gives no additional slots.
    slot: Time,
}

impl RateShare {
    /// Creates the share of a target that has stated no limit. `phase`, from 0 to 1, should be
    /// random.
    #[must_use]
    pub fn new(phase: f64) -> Self {
        Self {
            limit: None,
            fraction: 1.0,
            phase,
            slot: Time::ZERO,
        }
    }

    /// The stated limit in requests a second, `None` without one.
    #[must_use]
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Sets the fraction of a limit that this daemon may use, see [`fraction`].
    pub fn set_fraction(&mut self, fraction: f64) {
        self.fraction = fraction;
    }

    /// Sets the limit that the target's last answer stated.
    pub fn set_limit(&mut self, now: Time, limit: Option<f64>) {
        let begins = self.limit.is_none();
        self.limit = limit;
        if limit.is_none() {
            return;
        }
        let interval = self.interval();
        if begins {
            self.slot = self.slot.max(now + interval.mul_f64(self.phase));
        }
        // The next slot of a lower limit may be far away.
        self.slot = self.slot.min(now + interval);
    }

    /// When the next request may be sent; `now` if one may be sent at once.
    #[must_use]
    pub fn next_slot(&self, now: Time) -> Time {
        match self.limit {
            None => now,
            Some(_) => self.oldest_slot(now).max(now),
        }
    }

    /// How much room the limit leaves at the moment.
    #[must_use]
    pub fn room(&self, now: Time) -> Room {
        let slot = self.next_slot(now);
        if slot > now {
            Room::Exhausted
        } else if self.limit.is_some() && self.oldest_slot(now) + self.interval() > now {
            Room::LastSlot
        } else {
            Room::Free
        }
    }

    /// Uses a slot; false if none is available, and the request must not be sent.
    pub fn try_take(&mut self, now: Time) -> bool {
        if self.limit.is_none() {
            return true;
        }
        self.slot = self.oldest_slot(now);
        let available = self.slot <= now;
        if available {
            self.slot = self.slot + self.interval();
        }
        available
    }

    /// Time between two slots.
    fn interval(&self) -> Duration {
        let rate = self.limit.unwrap_or(f64::MAX).max(MIN_LIMIT) * self.fraction;
        Duration::try_from_secs_f64(1.0 / rate)
            .unwrap_or(MAX_INTERVAL)
            .clamp(Duration::from_micros(1), MAX_INTERVAL)
    }

    /// Begin of the oldest slot that has not expired.
    fn oldest_slot(&self, now: Time) -> Time {
        let limit = self.limit.unwrap_or(f64::MAX).max(MIN_LIMIT);
        let lifetime = SLOT_LIFETIME + Duration::from_secs_f64(1.0 / limit);
        let expired = now - lifetime;
        if self.slot >= expired {
            return self.slot;
        }
        let interval = self.interval().as_micros();
        let passed = expired.since(self.slot).as_micros().div_ceil(interval);
        self.slot + Duration::from_micros(u64::try_from(passed * interval).unwrap_or(u64::MAX))
    }
}
