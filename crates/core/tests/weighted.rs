//! Shares of services after a change of their weights.

use rattanturn_core::{catalog::WeightedService, weighted::WeightedRoundRobin};

/// Guards against shares that are wrong for as long as credits of weights of another scale last.
#[test]
fn shares_follow_new_weights_of_another_scale_at_once() {
    let shares = |weights: [f64; 2]| {
        let service = |(service, weight): (&str, f64)| WeightedService {
            service: service.into(),
            weight,
        };
        ["a", "b"].into_iter().zip(weights).map(service)
    };
    let mut balancer = WeightedRoundRobin::default();
    for (old, requests) in [([900.0, 100.0], 7), ([1e6, 1e6], 1), ([1.0, 99.0], 4)] {
        let old: Vec<_> = shares(old).collect();
        for _ in 0..requests {
            balancer.next(&old);
        }
        let new: Vec<_> = shares([1.0, 1.0]).collect();
        let picked = (0..200).filter(|_| balancer.next(&new) == Some("a"));
        let count = picked.count();
        assert!((98..=102).contains(&count), "{count} after {old:?}");
    }
}
