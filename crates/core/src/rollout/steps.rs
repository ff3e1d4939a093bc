//! The steps of a roll-out: which status is to be written now.
//!
//! The times of the steps are fractions of the order's duration. A share is raised or kept only if the
//! verdict is good or the [`Budget`] covers it; otherwise it falls to the first step's, which grows more
//! slowly than the budget. An order whose targets or verdict come too late for all steps is reverted
//! rather than hurried.

use {
    super::{
        Evidence, Rollout, State, Status, Verdict,
        budget::Budget,
        verdict::{Judgement, judge},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Share of the first step, as a fraction of the largest exposure. The rest is for the later steps.
pub const CANARY_FRACTION: f64 = 0.8;
/// Part of the slack that the first step may use. The rest is for reaction times and later steps.
const CANARY_SLACK: f64 = 0.75;
/// Largest share of the first step.
const MAX_CANARY: f64 = 0.4;
/// Least factor by which the share of the first step grows in one change. Each is a write to the store.
const MIN_CANARY_FACTOR: f64 = 1.25;
/// Time after which the rate of requests is known well enough to choose the share of the first step. With
/// 1.5 s it was measured at half of its value: evidence is late, and daemons count from the first status on.
const RATE_TIME: Duration = Duration::from_millis(2_500);
/// Shortest first step, as a fraction of the duration, for targets that come late.
const MIN_CANARY: f64 = 0.05;
/// Shares after the first step. Those before the last reveal faults that need load.
const LOAD_SHARES: [f64; 3] = [0.25, 0.5, 1.0];
/// Least factor between two shares; a smaller step is skipped.
const MIN_FACTOR: f64 = 1.2;
/// Time that all later steps leave for delays, as a fraction of the duration. They come as late as that
/// allows for, as a version that shows its fault late has got fewest requests then.
const LOAD_RESERVE: f64 = 0.05;
/// Length of each later step but the last, as a fraction of the duration, at an exposure of 0.1 or more.
const LOAD_TIME: f64 = 0.06;
/// Exposure under which the later steps are shorter, in proportion.
const LOAD_EXPOSURE: f64 = 0.1;
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
/// Time that a daemon has seen an order for before it lowers a share. Before that, evidence of others
/// has not reached a daemon that has just started.
const EVIDENCE_TIME: Duration = Duration::from_secs(1);
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
    /// Whether the daemon saw the order before its first status. It then needs no clock but the
    /// monotonic one, which does not jump.
    pub from_start: bool,
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
///     from_start: true,
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
        let judgement = judge(self.evidence);
        if let Verdict::Bad { route } = &judgement.verdict {
            return self.change(State::Reverted, &self.bad_reason(route));
        }
        let budget = self.budget();
        let is_over = self.elapsed() >= self.end();
        if share >= 1.0 {
            // The time until the end may still show a fault.
            let is_kept = self.step_time() >= self.full_time();
            if is_kept && judgement.verdict == Verdict::Good
                || is_over && (judgement.is_trusted || budget.covers_all(self.time_left()))
            {
                return self.change(State::Done, "all requests were served by the version");
            }
        }
        if is_over {
            return self.change(State::Reverted, end_reason(share, &judgement));
        }
        if !judgement.is_trusted && !budget.covers(share, Duration::ZERO) {
            return self.lower(share, &budget);
        }
        if self.silent >= STALE_AFTER || share >= 1.0 {
            return None;
        }
        self.raise(share, &judgement, &budget)
    }

    /// The share that the budget covers, if the present one is more.
    fn lower(&self, share: f64, budget: &Budget) -> Option<Status> {
        if self.seen_for < EVIDENCE_TIME.min(self.elapsed()) {
            return None;
        }
        let least = self.least_share();
        if budget.is_exceeded() {
            let reason = format!(
                "the verdict is open and the budget is used up: {:.0} of {:.0} requests",
                budget.exposed, budget.requests
            );
            return self.change(State::Reverted, &reason);
        }
        let state = State::Running { share: least };
        let reason = "the budget does not cover the share while the verdict is open";
        (share > least).then(|| self.change(state, reason))?
    }

    /// The next larger share, if it is due, covered by the verdict or the budget, and the targets
    /// suffice.
    fn raise(&self, share: f64, judgement: &Judgement, budget: &Budget) -> Option<Status> {
        if share <= 0.0 {
            let share = self.canary_share()?;
            return self.change(State::Running { share }, "first step");
        }
        if judgement.leans_to_bad {
            return None;
        }
        if !self.canary_is_over(share) {
            let share = self.canary_for_budget(share, budget)?;
            return self.change(
                State::Running { share },
                "first step, for the rate of requests",
            );
        }
        let (left, next) = self.next_load(share)?;
        let is_good = judgement.verdict == Verdict::Good;
        let is_covered = is_good || budget.covers(next, self.load_time());
        let is_due = self.elapsed() >= self.due(left) && self.step_time() >= self.load_time() / 2;
        if !is_covered || !is_due || !self.suffices(next) {
            return None;
        }
        let reason = if is_good {
            "no fault so far"
        } else {
            "no fault so far, and the budget covers the step"
        };
        self.change(State::Running { share: next }, reason)
    }

    /// Whether the time of the first step is over. The later steps begin no lower than their first share.
    fn canary_is_over(&self, share: f64) -> bool {
        let kept = share >= LOAD_SHARES[0] || self.step_time() >= self.part(MIN_CANARY);
        kept && self.elapsed() >= self.due(LOAD_SHARES.len() - 1)
    }

    /// The share after the present one, and the number of steps after it. One that would come too late
    /// is skipped if the version has shown a part of the load.
    fn next_load(&self, share: f64) -> Option<(usize, f64)> {
        let mut later = LOAD_SHARES.iter().rev().enumerate().rev();
        let next = later.find(|(left, next)| {
            let is_larger = *left == 0 || **next >= share * MIN_FACTOR;
            let is_late = self.elapsed() > self.latest(*left) + APPLY_TIME;
            is_larger && !(is_late && share >= LOAD_SHARES[0])
        });
        let (left, next) = next?;
        (self.elapsed() <= self.latest(left) + APPLY_TIME).then_some((left, *next))
    }

    /// The larger share of the first step that the rate of requests allows for.
    fn canary_for_budget(&self, share: f64, budget: &Budget) -> Option<f64> {
        if self.elapsed() < RATE_TIME || budget.requests <= 0.0 {
            return None;
        }
        let end = self.due(LOAD_SHARES.len() - 1);
        let left = end.saturating_sub(self.elapsed());
        let left = left.max(self.part(MIN_CANARY));
        let most = budget.share_for(share, CANARY_FRACTION, CANARY_SLACK, left);
        // Rounded down for the log.
        let next = (most.min(MAX_CANARY) * 1_000.0).floor() / 1_000.0;
        let fits = next >= share * MIN_CANARY_FACTOR && budget.covers(next, Duration::ZERO);
        (fits && self.suffices(next)).then_some(next)
    }

    /// Share of the first step at which the new version gets less than the budget grows by.
    fn least_share(&self) -> f64 {
        CANARY_FRACTION * self.limits.exposure.clamp(0.0, 1.0)
    }

    fn canary_share(&self) -> Option<f64> {
        let share = self.least_share();
        let latest = self.latest(LOAD_SHARES.len() - 1);
        let latest = latest.saturating_sub(self.part(MIN_CANARY));
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

    /// Time since the order. A daemon that saw its beginning uses the monotonic clock alone, so that a
    /// clock that jumps shortens no step; others use the later of both.
    fn elapsed(&self) -> Duration {
        if self.from_start {
            return self.seen_for;
        }
        let since = self.current().map_or(self.now_ms, |s| s.since_ms);
        self.seen_for
            .max(Duration::from_millis(self.now_ms.saturating_sub(since)))
    }

    fn time_left(&self) -> Duration {
        self.rollout.order.duration.saturating_sub(self.elapsed())
    }

    fn budget(&self) -> Budget {
        Budget::new(self.evidence, &self.limits, self.elapsed(), self.from_start)
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

    /// Length of each later step but the last.
    fn load_time(&self) -> Duration {
        let exposure = self.limits.exposure.clamp(0.0, LOAD_EXPOSURE);
        self.part(LOAD_TIME * exposure / LOAD_EXPOSURE)
    }

    fn full_time(&self) -> Duration {
        self.limits.evacuation.min(self.part(MAX_FULL_TIME))
    }

    /// Time after the order at which a step is due that has `left` later ones.
    fn due(&self, left: usize) -> Duration {
        let steps = u32::try_from(left).unwrap_or(u32::MAX);
        let later = self.load_time().saturating_mul(steps) + self.full_time();
        self.end().saturating_sub(later + self.part(LOAD_RESERVE))
    }

    /// Time after the order until which a step may begin that has `left` later ones. Each but the last
    /// then has half of its length.
    fn latest(&self, left: usize) -> Duration {
        let steps = u32::try_from(left).unwrap_or(u32::MAX);
        let halves = self.load_time().saturating_mul(steps) / 2;
        self.end().saturating_sub(halves + self.full_time())
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

fn end_reason(share: f64, judgement: &Judgement) -> &'static str {
    if share > 0.0 && judgement.verdict == Verdict::Open {
        "the time limit came while the verdict was open, and the budget did not cover all steps"
    } else {
        "the time limit came before all steps"
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
