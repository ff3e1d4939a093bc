//! The steps of a roll-out: which status is to be written now.

use {
    super::{Evidence, Rollout, State, Status},
    std::time::Duration,
};

/// Share of the first step, as a fraction of the largest exposure. The rest is for the later steps.
pub const CANARY_FRACTION: f64 = 0.8;
/// Time without news after which a daemon does not raise a share.
pub const STALE_AFTER: Duration = Duration::from_secs(2);

/// Limits that a roll-out keeps to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Largest fraction of the service's requests that a bad version may get, from 0 to 1.
    pub exposure: f64,
    /// Requests that are allowed on top of the fraction.
    pub slack: f64,
    /// Time after the 50th bad answer from which on a bad version gets no request.
    pub rollback: Duration,
    /// Longest time that a call may be open, which all daemons need to leave the old targets.
    pub evacuation: Duration,
}

/// What a deciding daemon knows about a roll-out.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// The daemon's clock, in Unix milliseconds.
    pub now_ms: u64,
    /// Time since the daemon first saw the order, by its monotonic clock.
    pub seen_for: Duration,
    /// Time for which the daemon has had no news from the store, or for which a daemon that is seen
    /// alive and has requests of the service has sent no evidence; the larger of both.
    pub silent: Duration,
    /// The order and its status as last read from the store.
    pub rollout: &'a Rollout,
    /// The newest final status of the order that this daemon knows, see [`observe_final`].
    pub known: Option<&'a Rollout>,
    /// Evidence of all daemons on this order.
    pub evidence: &'a Evidence,
    /// Slots of the usable targets of other versions.
    pub old_slots: u32,
    /// Slots of the usable targets of the new version.
    pub new_slots: u32,
    /// Limits that the roll-out keeps to.
    pub limits: Limits,
}

/// The status to write now, under the condition that the object has not changed since it was read;
/// `None` if there is nothing to change.
#[must_use]
pub fn next(situation: &Situation<'_>) -> Option<Status> {
    let _ = situation;
    None
}

/// Keeps the newest final status of an order in `known`, for [`Situation::known`]. `read` is the
/// object as just read, `None` if it was removed.
pub fn observe_final(known: &mut Option<Rollout>, read: Option<&Rollout>) {
    let Some(read) = read else {
        *known = None;
        return;
    };
    if matches!(read.current_state(), Some(State::Done | State::Reverted)) {
        *known = Some(read.clone());
    }
}
