//! Order in which the targets of a service are tried.
//!
//! Holders tell with each result how long a new call to the target would take. The word ages: it
//! counts for less the older it is, so that a target that was slow or unreachable is tried again
//! now and then. Targets with about the same estimate count as equal and are taken in turn,
//! because always taking the best of near-equals would send every entry to the same one.

use {
    crate::{NodeId, Time, rendezvous},
    std::{collections::HashMap, time::Duration},
};

/// Time in which an estimate loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Estimate for a target that could not be used.
const UNUSABLE: Duration = Duration::from_millis(250);
/// Expected time of a call to a target not heard of yet.
const TYPICAL_LATENCY: Duration = Duration::from_millis(5);
/// Each call of this thread that is under way adds this much.
const OPEN_CALL: Duration = Duration::from_millis(1);
/// Estimates within this factor count as equal.
const EQUAL_FACTOR: f64 = 1.5;

/// Ranks between targets of which one is several times slower than the other.
const MUCH_SLOWER: u32 = 3;

/// What is known of one target.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    time: Duration,
    at: Time,
    open: u32,
}

/// Estimates of one thread for all targets, by target index.
///
/// ```
/// use {rattanturn_core::{Time, selection::TargetSelector}, std::time::Duration};
/// let mut choice = TargetSelector::default();
/// let now = Time::from_millis(1);
/// choice.record(now, 0, Duration::from_millis(50));
/// choice.record(now, 1, Duration::from_millis(5));
/// assert!(choice.latency_class(now, 1) < choice.latency_class(now, 0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetSelector {
    estimates: HashMap<usize, Estimate>,
}

impl TargetSelector {
    /// Records the holder's word on how long a new call would take.
    pub fn record(&mut self, now: Time, target: usize, time: Duration) {
        let estimate = self.estimate(target);
        (estimate.time, estimate.at) = (time, now);
    }

    /// Records how long calls to a target take relative to its peers; 1 is usual.
    ///
    /// The usual pace lies in the middle of the times that count as equal, so that small
    /// differences do not starve a target, also one not heard of yet.
    ///
    /// ```
    /// use rattanturn_core::{Time, selection::TargetSelector};
    /// let mut choice = TargetSelector::default();
    /// let now = Time::from_millis(1);
    /// choice.record_relative_latency(now, 0, 0.9);
    /// choice.record_relative_latency(now, 1, 1.1);
    /// assert_eq!(choice.latency_class(now, 0), choice.latency_class(now, 1));
    /// assert_eq!(choice.latency_class(now, 0), choice.latency_class(now, 2));
    /// ```
    pub fn record_relative_latency(&mut self, now: Time, target: usize, relative_latency: f64) {
        let usual = TYPICAL_LATENCY.mul_f64(EQUAL_FACTOR.sqrt());
        self.record(now, target, usual.mul_f64(relative_latency));
    }

    /// Records that a call could not be brought to the target or was lost.
    pub fn failed(&mut self, now: Time, target: usize) {
        self.record(now, target, UNUSABLE);
    }

    /// Counts a call that is under way.
    pub fn call_started(&mut self, target: usize) {
        self.estimate(target).open += 1;
    }

    /// Ends the count of a call.
    pub fn call_ended(&mut self, target: usize) {
        let estimate = self.estimate(target);
        estimate.open = estimate.open.saturating_sub(1);
    }

    /// Forgets a target that will not be called again.
    pub fn forget(&mut self, target: usize) {
        self.estimates.remove(&target);
    }

    /// Rank of a target; lower ones are tried first, equal ones in turn.
    #[must_use]
    pub fn latency_class(&self, now: Time, target: usize) -> u32 {
        let expected = match self.estimates.get(&target) {
            None => TYPICAL_LATENCY,
            Some(estimate) => {
                let halvings = now.since(estimate.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
                let excess = estimate
                    .time
                    .saturating_sub(TYPICAL_LATENCY)
                    .mul_f64(0.5_f64.powf(halvings));
                TYPICAL_LATENCY.min(estimate.time) + excess + OPEN_CALL * estimate.open
            }
        };
        let micros = expected.as_secs_f64() * 1e6;
        // Times here are far below 2^32 microseconds and not negative.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rank = (micros.max(1.0).ln() / EQUAL_FACTOR.ln()) as u32;
        rank
    }

    /// Targets in the order to try them; `tie_break` chooses among equals.
    ///
    /// A second try at a good target beats a first one at a target that is several times slower,
    /// so such a target is tried only after the best one has been tried twice.
    ///
    /// ```
    /// use {rattanturn_core::{Time, selection::TargetSelector}, std::time::Duration};
    /// let mut choice = TargetSelector::default();
    /// let now = Time::from_millis(1);
    /// choice.record(now, 0, Duration::from_millis(50));
    /// assert_eq!(choice.order(now, vec![0, 1], 7), [1, 1, 0]);
    /// ```
    #[must_use]
    pub fn order(&self, now: Time, targets: Vec<usize>, tie_break: u64) -> Vec<usize> {
        let mut targets = self.order_distinct(now, targets, tie_break);
        if let [best, second, ..] = targets[..]
            && self.latency_class(now, second) >= self.latency_class(now, best) + MUCH_SLOWER
        {
            targets.insert(1, best);
        }
        targets
    }

    /// Targets in the order to try them, each once, for targets that stand still as a whole now
    /// and then: a second call to one that does would wait with the first.
    ///
    /// ```
    /// use {rattanturn_core::{Time, selection::TargetSelector}, std::time::Duration};
    /// let mut choice = TargetSelector::default();
    /// let now = Time::from_millis(1);
    /// choice.record(now, 0, Duration::from_millis(50));
    /// assert_eq!(choice.order_distinct(now, vec![0, 1], 7), [1, 0]);
    /// ```
    #[must_use]
    pub fn order_distinct(&self, now: Time, mut targets: Vec<usize>, tie_break: u64) -> Vec<usize> {
        targets.sort_by_cached_key(|t| {
            (
                self.latency_class(now, *t),
                rendezvous::score(NodeId(*t as u64), tie_break),
            )
        });
        targets
    }

    fn estimate(&mut self, target: usize) -> &mut Estimate {
        let blank = Estimate {
            time: TYPICAL_LATENCY,
            at: Time::ZERO,
            open: 0,
        };
        self.estimates.entry(target).or_insert(blank)
    }
}
