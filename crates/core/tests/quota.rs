//! Parts of shared limits while daemons start, all at once or one by one.

use rattanturn_core::{
    NodeId, cold,
    quota::{connection_quota, sharing_daemons},
};

/// Cores of the daemons on record at two sites.
const SITES: [(u32, usize); 2] = [(31, 8), (25, 6)];

#[test]
fn all_daemons_together_fit_while_none_has_heard_of_the_others() {
    for (accepted, daemons) in SITES {
        let recorded = vec![0.25; daemons];
        let each = connection_quota(accepted, sharing_daemons(1, &recorded), true);
        assert!(each as usize * daemons <= accepted as usize);
        // Nothing is on record when the system starts for the first time.
        let first = connection_quota(accepted, sharing_daemons(1, &[]), true);
        assert!(first as usize * daemons <= accepted as usize);
    }
}

#[test]
fn a_cold_target_is_spared_while_daemons_have_not_met() {
    for rate in [1.0, 5.0, 10.0, 20.0] {
        let alone = |me| cold::request_quota(rate, &[NodeId(me)], NodeId(me), "t", 8);
        let all: u32 = (0..8).map(alone).sum();
        assert!(f64::from(all) <= rate, "{all} requests at a rate of {rate}");
    }
}
