use {
    super::Leases,
    crate::routing::Unit,
    rattanturn_core::{
        NodeId, Time,
        lease::{LEASE_DURATION, UnitId},
        voter_sets::{Candidate, VoterSets},
    },
};

const ME: NodeId = NodeId(1);

fn partition(holder: NodeId) -> Unit {
    Unit {
        id: UnitId(7),
        name: "journal/0".into(),
        centre: None,
        holder: Some(holder),
        destination: None,
        lease: None,
    }
}

/// What a daemon that is the only voter has of the leases.
fn lone() -> (Leases, VoterSets) {
    let candidate = Candidate {
        id: ME,
        centre: 1,
        known: 0,
    };
    (Leases::new(ME), VoterSets::create(&[candidate]))
}

/// Guards against a term that looks like an earlier one of the same daemon: its table is taken for the
/// one of that term, and a late release of that one ends it.
#[test]
fn a_unit_that_comes_back_gets_a_new_term() {
    let (mut leases, sets) = lone();
    let now = Time::from_millis(10_000);
    let mut terms = Vec::new();
    for _ in 0..3 {
        let mut units = [partition(ME)];
        leases.apply_routing(&mut units);
        leases.tick(now, &sets);
        let lease = units[0].lease.clone().unwrap();
        assert!(lease.usable(now));
        terms.push(lease.term().0.current.unwrap());
        leases.apply_routing(&mut [partition(NodeId(2))]);
        lease.start_handover();
        lease.finish_handover();
        leases.tick(now, &sets);
        assert_eq!(leases.len(), 0);
    }
    assert!(terms[0].number < terms[1].number, "{terms:?}");
    assert!(terms[1].number < terms[2].number, "{terms:?}");
}

/// Guards against a table that is lost because the lease has lapsed before it was handed over: the next
/// term directly follows the lapsed one.
#[test]
fn a_lapsed_lease_is_given_up_once_its_table_was_handed_over() {
    let (mut leases, sets) = lone();
    let start = Time::from_millis(10_000);
    let mut units = [partition(ME)];
    leases.apply_routing(&mut units);
    leases.tick(start, &sets);
    let lease = units[0].lease.clone().unwrap();
    assert!(lease.usable(start));
    leases.apply_routing(&mut [partition(NodeId(2))]);
    let lapsed = start + LEASE_DURATION * 2;
    leases.tick(lapsed, &sets);
    assert_eq!(leases.len(), 1, "given up before the handover");
    assert!(!lease.usable(lapsed), "requested again");
    lease.start_handover();
    lease.finish_handover();
    leases.tick(lapsed, &sets);
    assert_eq!(leases.len(), 0);
}
