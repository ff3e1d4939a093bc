//! The steps of a roll-out: which status is to be written now.
//!
//! The times of the steps are fractions of the order's duration, so that they need no knowledge of the
//! traffic. An order whose targets come too late for all steps is reverted rather than hurried.

use {
    super::{Evidence, Rollout, State, Status, Verdict, verdict::judge},
    std::{collections::BTreeSet, time::Duration},
};

/// Share of the first step, as a fraction of the largest exposure. The rest is for the later steps.
pub const CANARY_FRACTION: f64 = 0.8;
/// Fraction of the duration at which the first step ends.
const CANARY_END: f64 = 0.6;
/// Time by which the first step is prolonged while the evidence leans to a bad version, as a fraction
/// of the duration.
const CANARY_EXTENSION: f64 = 0.05;
/// Shortest first step, as a fraction of the duration, for targets that come late.
const MIN_CANARY: f64 = 0.05;
/// Share of the second step, which reveals faults that need load.
const LOAD_SHARE: f64 = 0.5;
/// Length of the second step, as a fraction of the duration, if the exposure allows it.
const LOAD_TIME: f64 = 0.1;
/// Most of the step with all requests, as a fraction of the duration.
const MAX_FULL_TIME: f64 = 0.15;
/// Time before the limit at which a roll-out ends, as a fraction of the duration. The final status
/// must be written and read by then.
const END_MARGIN: f64 = 0.05;
/// Most time before the limit at which a roll-out ends.
const MAX_END_MARGIN: Duration = Duration::from_secs(2);
/// Delay of a decision that does not make a step too late.
const APPLY_TIME: Duration = Duration::from_millis(300);
/// Versions that are remembered as reverted. Targets of an earlier one are gone by then.
const MAX_REVERTED: usize = 8;
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
///
/// ```
/// use {rattanturn_core::rollout::*, std::time::Duration};
/// let order = Order { service: "a".into(), version: "v2".into(), duration: Duration::from_secs(12) };
/// let situation = Situation {
///     now_ms: 1_000,
///     seen_for: Duration::ZERO,
///     silent: Duration::ZERO,
///     rollout: &Rollout { order, status: None, revision: 7 },
///     known: None,
///     evidence: &Evidence::new("a", "v2", 0),
///     old_slots: 8,
///     new_slots: 8,
///     limits: Limits {
///         exposure: 0.1,
///         slack: 50.0,
///         rollback: Duration::from_secs(5),
///         evacuation: Duration::from_secs(2),
///     },
/// };
/// let State::Running { share } = next(&situation).unwrap().state else { panic!() };
/// assert!((share - 0.08).abs() < 1e-9);
/// ```
#[must_use]
pub fn next(situation: &Situation<'_>) -> Option<Status> {
    if situation.rollout.order.invalid_field().is_some() {
        return None;
    }
    if let Some(lost) = situation.lost_final() {
        return Some(lost.clone());
    }
    match situation.rollout.current_state() {
        None => Some(situation.first()),
        Some(State::Running { share }) => situation.running(share),
        Some(State::Done | State::Reverted) => None,
    }
}

impl Situation<'_> {
    /// The final status that the store has lost, because it was restored from an older copy.
    fn lost_final(&self) -> Option<&Status> {
        let known = self.known?;
        let status = known.status.as_ref()?;
        if known.order.version != self.rollout.order.version {
            return None;
        }
        let is_older = match (self.rollout.current_state(), &self.rollout.status) {
            (Some(State::Running { .. }), Some(stored)) => stored.since_ms == status.since_ms,
            (None, _) => self.rollout.revision < known.revision,
            _ => false,
        };
        is_older.then_some(status)
    }

    fn first(&self) -> Status {
        let (share, reason) = match self.canary_share() {
            Some(share) => (share, "first step"),
            None => (0.0, "waits for targets of the version"),
        };
        Status {
            version: self.rollout.order.version.clone(),
            state: State::Running { share },
            since_ms: self.now_ms.saturating_sub(millis(self.seen_for)),
            step_ms: self.now_ms,
            reason: reason.into(),
            reverted: self.reverted(),
        }
    }

    /// Versions that the orders before a new one left without success.
    fn reverted(&self) -> Vec<String> {
        let Some(last) = &self.rollout.status else {
            return Vec::new();
        };
        let mut out = last.reverted.clone();
        if last.state != State::Done {
            out.push(last.version.clone());
        }
        let mut known = BTreeSet::new();
        out.retain(|v| *v != self.rollout.order.version && known.insert(v.clone()));
        let excess = out.len().saturating_sub(MAX_REVERTED);
        out.drain(..excess);
        out
    }

    fn running(&self, share: f64) -> Option<Status> {
        let (verdict, suspected) = judge(self.evidence);
        if let Verdict::Bad { route } = &verdict {
            return self.change(State::Reverted, &self.bad_reason(route));
        }
        let over = self.elapsed() >= self.end();
        if share >= 1.0 {
            // The time until the end may still show a fault.
            let kept = self.step_time() >= self.full_time() && verdict == Verdict::Good;
            let done = || self.change(State::Done, "all requests were served by the version");
            return (kept || over).then(done)?;
        }
        if over {
            return self.change(State::Reverted, "the time limit came before all steps");
        }
        if self.silent >= STALE_AFTER {
            return None;
        }
        self.raise(share, suspected)
    }

    /// The next larger share, if it is due and the targets suffice.
    fn raise(&self, share: f64, suspected: bool) -> Option<Status> {
        if share <= 0.0 {
            let share = self.canary_share()?;
            return self.change(State::Running { share }, "first step");
        }
        if share < LOAD_SHARE {
            let due = self.canary_is_over(suspected) && self.suffices(LOAD_SHARE);
            let state = State::Running { share: LOAD_SHARE };
            return due.then(|| self.change(state, "no fault in the first step"))?;
        }
        let latest = self.end().saturating_sub(self.full_time());
        let over = self.step_time() >= self.load_time() || self.elapsed() >= latest;
        let due = over && self.elapsed() <= latest + APPLY_TIME && self.suffices(1.0);
        let state = State::Running { share: 1.0 };
        due.then(|| self.change(state, "no fault under load"))?
    }

    fn canary_is_over(&self, suspected: bool) -> bool {
        let longer = if suspected { CANARY_EXTENSION } else { 0.0 };
        let elapsed = self.elapsed();
        let latest = self.latest_load();
        let kept = self.step_time() >= self.part(MIN_CANARY);
        kept && elapsed >= self.part(CANARY_END + longer).min(latest) && elapsed <= latest
    }

    fn canary_share(&self) -> Option<f64> {
        let share = CANARY_FRACTION * self.limits.exposure.clamp(0.0, 1.0);
        let latest = self.latest_load().saturating_sub(self.part(MIN_CANARY));
        let due = share > 0.0 && self.elapsed() <= latest;
        (due && self.suffices(share)).then_some(share)
    }

    /// Whether the new targets can carry a share.
    fn suffices(&self, share: f64) -> bool {
        let needed = f64::from(self.old_slots) * share;
        self.new_slots > 0 && f64::from(self.new_slots) >= needed
    }

    /// The status, if it is this order's.
    fn current(&self) -> Option<&Status> {
        let status = self.rollout.status.as_ref();
        status.filter(|s| s.version == self.rollout.order.version)
    }

    /// Time since the order, by the clock or by the monotonic clock, whichever is later.
    fn elapsed(&self) -> Duration {
        let since = self.current().map_or(self.now_ms, |s| s.since_ms);
        self.seen_for
            .max(Duration::from_millis(self.now_ms.saturating_sub(since)))
    }

    /// Time since the last change of the share.
    fn step_time(&self) -> Duration {
        let Some(status) = self.current() else {
            return Duration::ZERO;
        };
        let before = status.step_ms.saturating_sub(status.since_ms);
        self.elapsed().saturating_sub(Duration::from_millis(before))
    }

    /// Time after the order at which a roll-out ends in any case.
    fn end(&self) -> Duration {
        let margin = self.part(END_MARGIN).min(MAX_END_MARGIN);
        self.rollout.order.duration.saturating_sub(margin)
    }

    /// Length of the second step: what the exposure leaves after the first one.
    fn load_time(&self) -> Duration {
        let left = self.limits.exposure.clamp(0.0, 1.0) * (1.0 - CANARY_FRACTION * CANARY_END);
        self.part((left / LOAD_SHARE).min(LOAD_TIME))
    }

    fn full_time(&self) -> Duration {
        self.limits.evacuation.min(self.part(MAX_FULL_TIME))
    }

    /// Time after the order until which the second step may begin. It then has half of its length.
    fn latest_load(&self) -> Duration {
        self.end()
            .saturating_sub(self.load_time() / 2 + self.full_time())
    }

    fn part(&self, fraction: f64) -> Duration {
        self.rollout.order.duration.mul_f64(fraction)
    }

    fn bad_reason(&self, route: &str) -> String {
        let (old, new) = self.evidence.totals();
        let [nb, na, ob, oa] = [new.bad(), new.answers, old.bad(), old.answers];
        format!("bad answers on route {route}: new {nb} of {na}, old {ob} of {oa}")
    }

    /// The status with another state. Its time counts from that of the order, so that clocks that
    /// differ do not prolong a step.
    fn change(&self, state: State, reason: &str) -> Option<Status> {
        let last = self.rollout.status.as_ref()?;

        Some(Status {
            state,
            step_ms: last.since_ms.saturating_add(millis(self.elapsed())),
            reason: reason.into(),
            ..last.clone()
        })
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
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
