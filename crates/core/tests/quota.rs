//! Quotas of all daemons together stay within a target's limits while daemons do not know each
//! other yet, as right after a start.

use rattanturn_core::{
    NodeId,
    addresses::Frontend,
    cold,
    quota::{connection_quota, credit_fraction, known_daemons, sharing_daemons},
};

/// Connections that a target accepts and number of daemons, at two sites.
const SITES: [(u32, usize); 2] = [(31, 8), (25, 6)];

#[test]
fn connection_quotas_fit_while_daemons_do_not_know_each_other() {
    for (accepted, daemons) in SITES {
        let capacities = vec![0.25; daemons];
        let each = connection_quota(accepted, sharing_daemons(1, &capacities), true);
        assert!(each as usize * daemons <= accepted as usize);
        // No daemon is recorded in the store when the system starts for the first time.
        let first = connection_quota(accepted, sharing_daemons(1, &[]), true);
        assert!(first as usize * daemons <= accepted as usize);
    }
}

#[test]
fn request_quotas_of_a_cold_target_fit_while_daemons_do_not_know_each_other() {
    for rate in [1.0, 5.0, 10.0, 20.0] {
        let quota = |me| cold::request_quota(rate, &[NodeId(me)], NodeId(me), "t", 8);
        let total: u32 = (0..8).map(quota).sum();
        assert!(
            f64::from(total) <= rate,
            "{total} requests a second at a rate of {rate}"
        );
    }
}

/// A daemon that stops keeps its connections while its callers still come. Guards against the others
/// taking them over, while the store does not list any daemon as well as while it does.
#[test]
fn connection_quotas_fit_while_one_daemon_or_more_stop() {
    for (accepted, daemons) in SITES {
        for stopping in 0..=daemons {
            let frontends: Vec<Frontend> = (0..daemons)
                .map(|id| Frontend {
                    id: NodeId(id as u64),
                    addr: ([127, 0, 0, 1], 80).into(),
                    centre: "a".into(),
                    accepting: id >= stopping,
                    suspect: false,
                    closes_at: None,
                    capacity: 0.25,
                })
                .collect();
            let leaving: Vec<NodeId> = frontends.iter().take(stopping).map(|f| f.id).collect();
            let known = known_daemons(&frontends, &leaving);
            for recorded in [vec![], vec![0.25; daemons - stopping], vec![0.25; daemons]] {
                let each = connection_quota(accepted, sharing_daemons(known, &recorded), true);
                let total = each as usize * daemons;
                assert!(
                    total <= accepted as usize,
                    "{stopping} of {daemons}: {total}"
                );
            }
        }
    }
}

/// Requests that daemons run on credit must not add up to more than all of them may, whoever of them
/// is seen to take callers. Guards against small daemons that each get the share of a large one when
/// all large ones stop, and against shares beside those of all others for daemons that stop.
#[test]
fn credits_fit_while_daemons_stop_end_and_start() {
    for (large, small) in [(8, 0), (2, 8), (6, 24), (30, 0), (1, 3)] {
        let count = large + small;
        let capacity = |id: usize| if id < large { 8.0 } else { 2.0 };
        let recorded: Vec<f64> = (0..count).map(capacity).collect();
        // The first ones stop, or have ended, or are not known by the others yet.
        for (gone, leaves) in (0..=count).flat_map(|n| [(n, true), (n, false)]) {
            let frontend = |id: usize| Frontend {
                id: NodeId(id as u64),
                addr: ([127, 0, 0, 1], 80).into(),
                centre: "a".into(),
                accepting: id >= gone,
                suspect: false,
                closes_at: None,
                capacity: capacity(id),
            };
            let share = |me: usize| {
                let is_seen = |id: &usize| leaves || *id == me || *id >= gone;
                let frontends: Vec<Frontend> = (0..count).filter(is_seen).map(frontend).collect();
                let leaving: Vec<NodeId> = (0..gone).map(|id| NodeId(id as u64)).collect();
                let known = known_daemons(&frontends, &leaving);
                let sharing = sharing_daemons(known, &recorded);
                credit_fraction(sharing, count, Some(capacity(me)), &recorded)
            };
            for size in [8.0, 40.0] {
                let total: f64 = (0..count).map(|me| (share(me) * size).floor()).sum();
                assert!(
                    total <= size,
                    "{gone} of {large} and {small} gone ({leaves}): {total} of {size}"
                );
            }
        }
    }
}

/// Guards against credits beside those of all others for daemons that have just started.
#[test]
fn daemons_that_are_not_recorded_yet_run_nothing_on_credit() {
    let recorded = [8.0; 8];
    assert!(credit_fraction(8, 38, None, &recorded) <= 0.0);
    assert!(credit_fraction(8, 8, None, &[]) > 0.1);
}
