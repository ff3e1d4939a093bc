//! Load balancing: the order in which the targets of a service are tried.
//!
//! Each target has an estimate of how long a new call to it takes, from the reports that come with
//! results. An estimate above the typical latency decays towards it, so that a target that was slow
//! or unreachable is tried again from time to time. Targets whose estimates differ little are in
//! the same latency class, within which the order changes with each request: if the best estimate
//! always won, all daemons would call the same target at the same time.

use {
    crate::{NodeId, Time, rendezvous::score},
    std::{collections::HashMap, time::Duration},
};

/// Time in which the excess of an estimate over the typical latency halves.
const EXCESS_HALF_LIFE: Duration = Duration::from_secs(2);
/// Estimate for a target to which a call failed.
const FAILED_LATENCY: Duration = Duration::from_millis(250);
/// Estimate for a target without any report yet; estimates above it decay towards it.
const TYPICAL_LATENCY: Duration = Duration::from_millis(5);
/// Added to an estimate for each open call of this thread to the target.
const OPEN_CALL_LATENCY: Duration = Duration::from_millis(1);
/// Width of a latency class: the ratio between its highest and its lowest estimate.
const CLASS_RATIO: f64 = 1.5;

/// Distance in latency classes from which a target counts as much slower than the best one.
const MUCH_SLOWER_CLASSES: u32 = 3;

/// State of one target.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// How long a new call takes, as reported at `reported_at`.
    latency: Duration,
    reported_at: Time,
    /// Calls of this thread that have not ended.
    open_calls: u32,
}

/// Orders targets by the estimates of one thread; targets are named by their index.
///
/// ```
/// use {rattanturn_core::{Time, selection::TargetSelector}, std::time::Duration};
/// let mut selector = TargetSelector::default();
/// let now = Time::from_millis(1);
/// selector.record(now, 0, Duration::from_millis(50));
/// selector.record(now, 1, Duration::from_millis(5));
/// assert!(selector.latency_class(now, 1) < selector.latency_class(now, 0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetSelector {
    estimates: HashMap<usize, Estimate>,
}

impl TargetSelector {
    /// Records a report of how long a new call to the target takes; it replaces earlier ones.
    pub fn record(&mut self, now: Time, target: usize, latency: Duration) {
        let estimate = self.estimate(target);
        (estimate.latency, estimate.reported_at) = (latency, now);
    }

    /// Records the latency of calls to a target relative to that of comparable calls; 1 is average.
    ///
    /// The average lies in the middle of the latency class of targets without a report, so that
    /// small differences around it do not keep calls away from a target.
    ///
    /// ```
    /// use rattanturn_core::{Time, selection::TargetSelector};
    /// let mut selector = TargetSelector::default();
    /// let now = Time::from_millis(1);
    /// selector.record_relative_latency(now, 0, 0.9);
    /// selector.record_relative_latency(now, 1, 1.1);
    /// assert_eq!(selector.latency_class(now, 0), selector.latency_class(now, 1));
    /// assert_eq!(selector.latency_class(now, 0), selector.latency_class(now, 2));
    /// ```
    pub fn record_relative_latency(&mut self, now: Time, target: usize, relative_latency: f64) {
        let average = TYPICAL_LATENCY.mul_f64(CLASS_RATIO.sqrt());
        self.record(now, target, average.mul_f64(relative_latency));
    }

    /// Records that a call could not be delivered to the target or that its answer was lost.
    pub fn failed(&mut self, now: Time, target: usize) {
        self.record(now, target, FAILED_LATENCY);
    }

    /// Counts a call to the target as open; each needs one [`TargetSelector::call_ended`].
    pub fn call_started(&mut self, target: usize) {
        self.estimate(target).open_calls += 1;
    }

    /// Counts an open call to the target as ended.
    pub fn call_ended(&mut self, target: usize) {
        let estimate = self.estimate(target);
        estimate.open_calls = estimate.open_calls.saturating_sub(1);
    }

    /// Drops the state of a target that will not be called again.
    pub fn forget(&mut self, target: usize) {
        self.estimates.remove(&target);
    }

    /// Latency class of a target on a logarithmic scale; lower classes are tried first.
    #[must_use]
    pub fn latency_class(&self, now: Time, target: usize) -> u32 {
        let expected = match self.estimates.get(&target) {
            None => TYPICAL_LATENCY,
            Some(estimate) => {
                let halvings =
                    now.since(estimate.reported_at).as_secs_f64() / EXCESS_HALF_LIFE.as_secs_f64();
                let excess = estimate
                    .latency
                    .saturating_sub(TYPICAL_LATENCY)
                    .mul_f64(0.5_f64.powf(halvings));
                TYPICAL_LATENCY.min(estimate.latency)
                    + excess
                    + OPEN_CALL_LATENCY * estimate.open_calls
            }
        };
        let micros = expected.as_secs_f64() * 1e6;
        // `micros` is raised to at least 1, so the class is not negative; it is far below 2^32.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let class = (micros.max(1.0).ln() / CLASS_RATIO.ln()) as u32;
        class
    }

    /// Targets in the order to try them; `seed` decides within a latency class and should differ
    /// for each request.
    ///
    /// A retry at a fast target beats a first try at a target that is several times slower. If the
    /// second target is that much slower than the best, the best comes twice before it.
    ///
    /// ```
    /// use {rattanturn_core::{Time, selection::TargetSelector}, std::time::Duration};
    /// let mut selector = TargetSelector::default();
    /// let now = Time::from_millis(1);
    /// selector.record(now, 0, Duration::from_millis(50));
    /// assert_eq!(selector.order(now, vec![0, 1], 7), [1, 1, 0]);
    /// ```
    #[must_use]
    pub fn order(&self, now: Time, targets: Vec<usize>, seed: u64) -> Vec<usize> {
        let mut targets = self.order_distinct(now, targets, seed);
        if let [best, second, ..] = targets[..]
            && self.latency_class(now, second)
                >= self.latency_class(now, best) + MUCH_SLOWER_CLASSES
        {
            targets.insert(1, best);
        }
        targets
    }

    /// Targets in the order to try them, each once; `seed` is as for [`TargetSelector::order`].
    ///
    /// This suits targets that stall as a whole from time to time, where a second call would wait
    /// as long as the first.
    ///
    /// ```
    /// use {rattanturn_core::{Time, selection::TargetSelector}, std::time::Duration};
    /// let mut selector = TargetSelector::default();
    /// let now = Time::from_millis(1);
    /// selector.record(now, 0, Duration::from_millis(50));
    /// assert_eq!(selector.order_distinct(now, vec![0, 1], 7), [1, 0]);
    /// ```
    #[must_use]
    pub fn order_distinct(&self, now: Time, mut targets: Vec<usize>, seed: u64) -> Vec<usize> {
        targets
            .sort_by_cached_key(|t| (self.latency_class(now, *t), score(NodeId(*t as u64), seed)));
        targets
    }

    fn estimate(&mut self, target: usize) -> &mut Estimate {
        let initial = Estimate {
            latency: TYPICAL_LATENCY,
            reported_at: Time::ZERO,
            open_calls: 0,
        };
        self.estimates.entry(target).or_insert(initial)
    }
}
