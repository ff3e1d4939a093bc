//! Moving average that does not depend on its first value for long.
//!
//! With a fixed small weight for each new value, the first one would dominate until as many others
//! have come as the weight is a fraction of one. So the first values all have the same weight.

/// Exponentially weighted moving average; of few values it is their mean.
///
/// ```
/// use rattanturn_core::moving_average::MovingAverage;
/// let mut average = MovingAverage::new(0.02);
/// assert_eq!(average.get(), None);
/// average.record(4.0);
/// average.record(1.0);
/// assert_eq!(average.get(), Some(2.5));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct MovingAverage {
    /// Lowest weight of a new value.
    weight: f64,
    average: f64,
    /// Number of values so far; it stays at its maximum.
    count: u32,
}

impl MovingAverage {
    /// Creates an average that each new value changes by a share `weight` (above 0, at most 1) of its
    /// difference, and the first ones by more.
    #[must_use]
    pub fn new(weight: f64) -> Self {
        Self {
            weight,
            average: 0.0,
            count: 0,
        }
    }

    /// Adds a value.
    pub fn record(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = self.weight.max(1.0 / f64::from(self.count));
        self.average += (value - self.average) * weight;
    }

    /// The average; `None` before the first value.
    #[must_use]
    pub fn get(&self) -> Option<f64> {
        (self.count > 0).then_some(self.average)
    }
}
