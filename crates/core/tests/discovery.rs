//! Targets as a store tells them, also late, out of order and after an outage.

use {
    rattanturn_core::{
        Time,
        discovery::{EXPIRY_GRACE, Target, TargetSet},
    },
    std::time::Duration,
};

fn target(id: &str, incarnation: u64, sequence: u64) -> Target {
    Target {
        id: id.into(),
        service: "s".into(),
        addr: "127.0.0.1:80".parse().unwrap(),
        centre: "a".into(),
        slots: 3,
        leaving: false,
        cold_left: Duration::ZERO,
        incarnation,
        sequence,
    }
}

fn leaving(id: &str, incarnation: u64, sequence: u64) -> Target {
    Target {
        leaving: true,
        ..target(id, incarnation, sequence)
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn ids(fleet: &TargetSet) -> Vec<&str> {
    fleet.targets().map(|t| t.id.as_str()).collect()
}

#[test]
fn a_late_message_does_not_undo_a_newer_one() {
    let mut fleet = TargetSet::default();
    fleet.upsert(at(0), target("t", 1, 5));
    fleet.upsert(at(1), leaving("t", 1, 6));
    assert!(!fleet.upsert(at(2), target("t", 1, 4)));
    assert!(fleet.targets().all(|t| t.leaving));
    // A lifetime that leaves does not come back, even with a newer message.
    fleet.upsert(at(3), target("t", 1, 7));
    assert!(fleet.targets().all(|t| t.leaving));
    // Another lifetime of the same id begins anew.
    fleet.upsert(at(4), target("t", 2, 1));
    assert!(fleet.targets().all(|t| !t.leaving));
}

#[test]
fn a_removed_lifetime_stays_removed() {
    let mut fleet = TargetSet::default();
    fleet.upsert(at(0), target("t", 1, 5));
    fleet.entry_removed(at(1), "t");
    fleet.upsert(at(2), target("t", 1, 5));
    assert!(ids(&fleet).is_empty());
    fleet.upsert(at(3), target("t", 2, 1));
    assert_eq!(ids(&fleet), ["t"]);
}

#[test]
fn entries_that_lapsed_during_an_outage_have_time_to_return() {
    let mut fleet = TargetSet::default();
    fleet.upsert(at(0), target("back", 1, 1));
    fleet.upsert(at(0), target("gone", 1, 1));
    fleet.store_unavailable(at(100));
    fleet.tick(at(60_000));
    assert_eq!(ids(&fleet), ["back", "gone"]);
    fleet.store_available(at(60_000));
    fleet.apply_list(at(60_000), Vec::new());
    fleet.tick(at(61_000));
    assert_eq!(
        ids(&fleet),
        ["back", "gone"],
        "removed before it could return"
    );
    fleet.upsert(at(61_500), target("back", 1, 2));
    fleet.tick(at(60_000) + EXPIRY_GRACE + Duration::from_millis(1));
    assert_eq!(ids(&fleet), ["back"]);
}

#[test]
fn a_removal_while_the_store_is_well_counts_at_once() {
    let mut fleet = TargetSet::default();
    fleet.upsert(at(0), target("t", 1, 1));
    fleet.entry_removed(at(1), "t");
    assert!(ids(&fleet).is_empty());
}

#[test]
fn messages_that_change_nothing_for_callers_are_no_change() {
    let mut fleet = TargetSet::default();
    fleet.upsert(at(0), target("t", 1, 1));
    let changes = fleet.changes();
    for sequence in 2..20 {
        assert!(!fleet.upsert(at(sequence), target("t", 1, sequence)));
    }
    assert_eq!(fleet.changes(), changes);
}

/// A daemon that the store turns away must not keep a removed target longer than the one that read
/// of its removal: the drain bound counts from the store's word.
#[test]
fn what_a_peer_read_counts_at_once() {
    let mut fleet = TargetSet::default();
    fleet.upsert(at(0), target("stays", 1, 1));
    fleet.upsert(at(0), target("gone", 1, 1));
    fleet.store_unavailable(at(100));
    fleet.adopt_from_peer(at(2_000), vec![target("stays", 1, 2)]);
    assert_eq!(ids(&fleet), ["stays"]);
}
