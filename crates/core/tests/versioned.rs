//! The current version never decreases, whatever the order in which versions arrive.

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
    fn only_a_higher_version_is_accepted(offers in proptest::collection::vec(1..30_u64, 1..60)) {
        let mut object = Versioned::default();
        let mut highest = 0;
        for version in offers {
            let result = object.offer(version, version * 10);
            let expected = match version.cmp(&highest) {
                std::cmp::Ordering::Greater => OfferResult::Accepted,
                std::cmp::Ordering::Equal => OfferResult::Unchanged,
                std::cmp::Ordering::Less => OfferResult::Stale,
            };
            prop_assert_eq!(result, expected);
            highest = highest.max(version);
            prop_assert_eq!(object.version(), highest);
            prop_assert_eq!(object.value(), Some(&(highest * 10)));
        }
    }
}
