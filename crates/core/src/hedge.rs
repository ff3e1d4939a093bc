//! Hedge delays and the budgets for extra calls.
//!
//! A hedge is a second call sent when the first is slower than a quantile of earlier calls, by
//! default the 95th percentile. A stochastic approximation estimates the quantile: it needs only a
//! few bytes for each kind of call, but follows a change of latency gradually.
//!
//! A budget limits hedges and retries to a ratio of the first calls, so that they cannot multiply
//! the load when all targets are slow.

use {crate::moving_average::MovingAverage, std::time::Duration};

/// Share of calls that end within the hedge delay.
const DEFAULT_QUANTILE: f64 = 0.95;
/// Estimate before the first call.
const INITIAL_DELAY_US: f64 = 20_000.0;
/// Lower bound of the estimate: an earlier hedge costs more than it saves.
const MIN_DELAY_US: f64 = 1_000.0;
/// Largest change of the estimate by one call, relative to its value.
const RELATIVE_STEP: f64 = 0.05;

/// Running estimate of a latency quantile.
///
/// It starts at 20 ms and is never below 1 ms.
///
/// ```
/// use {rattanturn_core::hedge::LatencyQuantile, std::time::Duration};
/// let mut p95 = LatencyQuantile::default();
/// (0..2_000).for_each(|i| p95.record(Duration::from_micros(4_000 + i % 1_000)));
/// assert!(p95.delay() > Duration::from_micros(4_500) && p95.delay() < Duration::from_millis(6));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LatencyQuantile {
    delay_us: f64,
    quantile: f64,
}

impl Default for LatencyQuantile {
    fn default() -> Self {
        Self::at(DEFAULT_QUANTILE)
    }
}

impl LatencyQuantile {
    /// Creates an estimate of the latency within which a share `quantile` of calls (0 to 1) ends.
    #[must_use]
    pub fn at(quantile: f64) -> Self {
        Self {
            delay_us: INITIAL_DELAY_US,
            quantile,
        }
    }

    /// Updates the estimate with the latency of one call.
    pub fn record(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64() * 1e6;
        let step = self.delay_us * RELATIVE_STEP;
        if latency > self.delay_us {
            self.delay_us += step * self.quantile;
        } else {
            self.delay_us -= step * (1.0 - self.quantile);
        }
        self.delay_us = self.delay_us.max(MIN_DELAY_US);
    }

    /// The estimated quantile, which is the hedge delay.
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.delay_us / 1e6)
    }
}

/// Lowest weight of the newest call in the moving average.
const AVERAGE_WEIGHT: f64 = 0.02;

/// Average and slow latency of one kind of calls, such as those of one route.
///
/// ```
/// use {rattanturn_core::hedge::CallLatency, std::time::Duration};
/// let mut latency = CallLatency::at(0.9);
/// (0..500).for_each(|_| {
///     latency.record(Duration::from_millis(10));
/// });
/// let ratio = latency.record(Duration::from_millis(20));
/// assert!(ratio > 1.8 && ratio < 2.2);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct CallLatency {
    quantile: LatencyQuantile,
    /// In seconds.
    average: MovingAverage,
}

impl CallLatency {
    /// Creates estimates that take a call as slow if it is slower than a share `quantile` of the
    /// calls (0 to 1).
    #[must_use]
    pub fn at(quantile: f64) -> Self {
        Self {
            quantile: LatencyQuantile::at(quantile),
            average: MovingAverage::new(AVERAGE_WEIGHT),
        }
    }

    /// Updates the estimates with the latency of one call; returns the call's relative latency,
    /// which is its latency divided by the average. The average includes the call.
    ///
    /// A latency below 1 ms counts as 1 ms here, which also keeps the average above zero.
    pub fn record(&mut self, latency: Duration) -> f64 {
        self.quantile.record(latency);
        let latency = latency.as_secs_f64().max(MIN_DELAY_US / 1e6);
        self.average.record(latency);
        latency / self.average.get().unwrap_or(latency)
    }

    /// Latency that is expected of a call, rather too high than too low; `None` before the first call.
    ///
    /// It is the average as long as the quantile, which follows gradually, is below it.
    ///
    /// ```
    /// use {rattanturn_core::hedge::CallLatency, std::time::Duration};
    /// let mut latency = CallLatency::at(0.75);
    /// assert_eq!(latency.usual(), None);
    /// latency.record(Duration::from_secs(2));
    /// assert_eq!(latency.usual(), Some(Duration::from_secs(2)));
    /// ```
    #[must_use]
    pub fn usual(&self) -> Option<Duration> {
        let average = Duration::from_secs_f64(self.average.get()?);
        Some(average.max(self.slow_threshold()))
    }

    /// Latency above which a call counts as slow.
    #[must_use]
    pub fn slow_threshold(&self) -> Duration {
        self.quantile.delay()
    }
}

/// Token bucket for extra calls, refilled by first calls.
///
/// Each first call deposits a fraction of a token, each hedge or retry withdraws a whole one.
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
    /// Creates a full budget that allows `ratio` extra calls for each first call and holds at most
    /// `burst` tokens.
    ///
    /// A `burst` below 1 never allows any extra call.
    #[must_use]
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            tokens: burst,
        }
    }

    /// Extra calls available now, with fractions.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Sets the extra calls available, for the replay of a trace; the burst does not limit it.
    pub fn set_tokens(&mut self, tokens: f64) {
        self.tokens = tokens;
    }

    /// Changes the burst; tokens beyond the new one are lost.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Creates a full budget with the same ratio and another burst.
    #[must_use]
    pub fn with_burst(&self, burst: f64) -> Self {
        Self::new(self.ratio, burst)
    }

    /// Adds the ratio for one first call, up to the burst.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Withdraws one extra call; returns false if less than a whole token is left.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
