//! Divides the requests of a route among services by weight.

use crate::catalog::WeightedService;

/// Smooth weighted round robin: over any run of requests each service's part is near its weight.
///
/// ```
/// use rattanturn_core::{catalog::WeightedService, weighted::WeightedRoundRobin};
/// let share = |service: &str, weight| WeightedService { service: service.into(), weight };
/// let shares = [share("a", 3.0), share("b", 1.0)];
/// let mut split = WeightedRoundRobin::default();
/// let picked: Vec<_> = (0..4).map(|_| split.next(&shares).unwrap()).collect();
/// assert_eq!(picked.iter().filter(|s| **s == "a").count(), 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credit: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Service of the next request; `None` if no service has a weight.
    pub fn next<'a>(&mut self, shares: &'a [WeightedService]) -> Option<&'a str> {
        self.credit.resize(shares.len(), 0.0);
        let mut total = 0.0;
        let mut best: Option<usize> = None;
        for (i, share) in shares.iter().enumerate() {
            if share.weight <= 0.0 {
                continue;
            }
            total += share.weight;
            self.credit[i] += share.weight;
            if best.is_none_or(|b| self.credit[i] > self.credit[b]) {
                best = Some(i);
            }
        }
        let best = best?;
        self.credit[best] -= total;
        Some(&shares[best].service)
    }
}
