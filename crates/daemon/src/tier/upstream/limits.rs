//! The rate limits of a target: the one that its answers state, and the one while it is cold.

use {
    super::Upstream,
    crate::clock,
    rattanturn_core::{Time, rate_share::Room},
    std::time::Duration,
};

impl Upstream {
    /// Whether the target's last answer stated a rate limit.
    pub(crate) fn is_limited(&self) -> bool {
        self.rate_share.borrow().limit().is_some()
    }

    /// Sets the fraction of the target's rate limit that this daemon may use, if it states one.
    pub(crate) fn set_rate_fraction(&self, fraction: f64) {
        self.rate_share.borrow_mut().set_fraction(fraction);
    }

    /// When the target's rate limit allows the next call; `now` if it allows one at once.
    pub(crate) fn next_slot(&self, now: Time) -> Time {
        self.rate_share.borrow().next_slot(now)
    }

    /// How much room the target's rate limit leaves for a call.
    pub(crate) fn room(&self, now: Time) -> Room {
        self.rate_share.borrow().room(now)
    }

    /// Uses a slot of the target's rate limit for a call; false if there is none.
    pub(crate) fn try_take_slot(&self, now: Time) -> bool {
        self.rate_share.borrow_mut().try_take(now)
    }

    /// Takes over the limit that an answer states, or its absence.
    pub(super) fn set_rate_limit(&self, limit: Option<f64>) {
        let known = self.is_limited();
        let mut share = self.rate_share.borrow_mut();
        share.set_limit(clock::now(), limit);
        if known == limit.is_some() {
            return;
        }
        let target = self.target.borrow();
        let (target_id, service) = (&target.id, &target.service);
        if let Some(limit) = limit {
            self.limited_calls.set(0);
            tracing::info!(%target_id, %service, limit, "target stated a rate limit");
        } else {
            let calls = self.limited_calls.get();
            tracing::info!(%target_id, %service, calls, "target lifted its rate limit");
        }
    }

    /// Whether the target is cold, or may be as far as this daemon knows.
    pub(crate) fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until.get() || self.shared.targets_read.get() < self.unread_until.get()
    }

    /// Takes over how long the target stays cold, as it says itself.
    pub(super) fn set_cold(&self, now: Time, left: Option<Duration>) {
        if let Some(left) = left {
            self.cold_until.set(now + left);
            self.unread_until.set(Time::ZERO);
        }
    }

    /// Whether a call may be sent without exceeding this daemon's share of what the target takes while
    /// it is cold. Calls that wait to be sent count.
    pub(crate) fn has_cold_room(&self, now: Time) -> bool {
        let quota = self.cold_quota.get().filter(|_| self.is_cold(now));
        let waiting = self.unsent.get() as usize;
        quota.is_none_or(|n| self.limiter.borrow().sent(now) + waiting < n as usize)
    }

    /// Counts a call against the limit of a cold target; false if the limit is reached.
    pub(super) fn try_admit(&self, now: Time) -> bool {
        let quota = self.cold_quota.get().filter(|_| self.is_cold(now));
        quota.is_none_or(|n| self.limiter.borrow_mut().try_acquire(now, n))
    }
}
