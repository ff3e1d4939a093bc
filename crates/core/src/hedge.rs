//! When a call is late, and whether the budget allows another one.
//!
//! The delay is the service's own 95th percentile, kept by a stochastic quantile estimate that
//! needs a few bytes for each service. The budget is a ratio of first attempts, so hedges and
//! retries cannot multiply when everything is slow.

use std::time::Duration;

/// Share of calls that answer within the hedge delay.
const QUANTILE: f64 = 0.95;
/// Delay before the first measurements.
const INITIAL_DELAY_US: f64 = 20_000.0;
/// Hedges sooner than this cost more than they save.
const MIN_DELAY_US: f64 = 1_000.0;
/// Step of the estimate relative to its value.
const STEP: f64 = 0.05;

/// Estimate of a service's late delay.
///
/// ```
/// use {rattanturn_core::hedge::LatencyQuantile, std::time::Duration};
/// let mut late = LatencyQuantile::default();
/// (0..2_000).for_each(|i| late.record(Duration::from_micros(4_000 + i % 1_000)));
/// assert!(late.delay() > Duration::from_micros(4_500) && late.delay() < Duration::from_millis(6));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LatencyQuantile {
    delay: f64,
    quantile: f64,
}

impl Default for LatencyQuantile {
    fn default() -> Self {
        Self::at(QUANTILE)
    }
}

impl LatencyQuantile {
    /// Estimates the time within which this share of calls answers.
    #[must_use]
    pub fn at(quantile: f64) -> Self {
        Self {
            delay: INITIAL_DELAY_US,
            quantile,
        }
    }

    /// Records how long an answer took.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64() * 1e6;
        let step = self.delay * STEP;
        if took > self.delay {
            self.delay += step * self.quantile;
        } else {
            self.delay -= step * (1.0 - self.quantile);
        }
        self.delay = self.delay.max(MIN_DELAY_US);
    }

    /// Time after which a call counts as late.
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.delay / 1e6)
    }
}

/// Weight of the newest call in the usual time.
const USUAL_WEIGHT: f64 = 0.02;

/// Usual and late times of the calls of one kind.
///
/// ```
/// use {rattanturn_core::hedge::CallLatency, std::time::Duration};
/// let mut times = CallLatency::at(0.9);
/// (0..500).for_each(|_| {
///     times.record(Duration::from_millis(10));
/// });
/// let ratio = times.record(Duration::from_millis(20));
/// assert!(ratio > 1.8 && ratio < 2.2);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct CallLatency {
    late: LatencyQuantile,
    usual: Option<f64>,
}

impl CallLatency {
    /// Counts a call as late if it takes longer than this share of the calls.
    #[must_use]
    pub fn at(quantile: f64) -> Self {
        Self {
            late: LatencyQuantile::at(quantile),
            usual: None,
        }
    }

    /// Records how long a call took; returns that relative to the usual time.
    pub fn record(&mut self, took: Duration) -> f64 {
        self.late.record(took);
        let took = took.as_secs_f64().max(MIN_DELAY_US / 1e6);
        let usual = self.usual.map_or(took, |u| u + (took - u) * USUAL_WEIGHT);
        self.usual = Some(usual);
        took / usual
    }

    /// Time after which a call counts as late.
    #[must_use]
    pub fn slow_threshold(&self) -> Duration {
        self.late.delay()
    }
}

/// Budget for calls beyond the first attempts.
///
/// ```
/// use rattanturn_core::hedge::Budget;
/// let mut budget = Budget::new(0.05, 1.0);
/// assert!(budget.try_withdraw());
/// assert!(!budget.try_withdraw());
/// (0..20).for_each(|_| budget.deposit());
/// assert!(budget.try_withdraw());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl Budget {
    /// `ratio` extra calls for each first attempt, at most `burst` saved up.
    #[must_use]
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            tokens: burst,
        }
    }

    /// Extra calls saved up.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Sets the extra calls saved up, for replay of a recorded state.
    pub fn set_tokens(&mut self, tokens: f64) {
        self.tokens = tokens;
    }

    /// Changes how many may be saved up; what is beyond is lost.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// A fresh budget of the same ratio with another burst, all of it saved up.
    #[must_use]
    pub fn with_burst(&self, burst: f64) -> Self {
        Self::new(self.ratio, burst)
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one extra call if the budget allows it.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
