//! An accepted version never reverts, in whatever order versions arrive.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    rattanturn_core::versioned::{OfferResult, Versioned},
};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn versions_only_rise(offers in proptest::collection::vec(1..30_u64, 1..60)) {
        let mut register = Versioned::default();
        let mut highest = 0;
        for version in offers {
            let offer = register.offer(version, version * 10);
            let expected = match version.cmp(&highest) {
                std::cmp::Ordering::Greater => OfferResult::Accepted,
                std::cmp::Ordering::Equal => OfferResult::Unchanged,
                std::cmp::Ordering::Less => OfferResult::Stale,
            };
            prop_assert_eq!(offer, expected);
            highest = highest.max(version);
            prop_assert_eq!(register.version(), highest);
            prop_assert_eq!(register.value(), Some(&(highest * 10)));
        }
    }
}
