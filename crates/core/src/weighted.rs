//! Weighted distribution of a route's requests among services.

use crate::catalog::WeightedService;

/// Smooth weighted round robin: over any sequence of requests each service's share stays close to
/// its weight, and the requests of a service are interleaved with those of others.
///
/// ```
/// use rattanturn_core::{catalog::WeightedService, weighted::WeightedRoundRobin};
/// let share = |service: &str, weight| WeightedService { service: service.into(), weight };
/// let shares = [share("a", 3.0), share("b", 1.0)];
/// let mut balancer = WeightedRoundRobin::default();
/// let picked: Vec<_> = (0..4).map(|_| balancer.next(&shares).unwrap()).collect();
/// assert_eq!(picked.iter().filter(|s| **s == "a").count(), 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    /// Credit of each service, in requests: grows by its share with each request, and falls by 1 when
    /// the service is selected. So credits from before a change of the weights are soon used up,
    /// whatever the scale of the weights was.
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Selects the service for the next request; `None` if no service has a positive weight.
    ///
    /// Credits belong to positions in `shares`, so the list should keep its order between calls.
    pub fn next<'a>(&mut self, shares: &'a [WeightedService]) -> Option<&'a str> {
        self.credits.resize(shares.len(), 0.0);
        let total: f64 = shares.iter().map(|share| share.weight.max(0.0)).sum();
        let mut best: Option<usize> = None;
        for (i, share) in shares.iter().enumerate() {
            if share.weight <= 0.0 {
                continue;
            }
            self.credits[i] += share.weight / total;
            if best.is_none_or(|b| self.credits[i] > self.credits[b]) {
                best = Some(i);
            }
        }
        let best = best?;
        self.credits[best] -= 1.0;
        Some(&shares[best].service)
    }
}
