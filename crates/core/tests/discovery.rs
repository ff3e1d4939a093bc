//! Discovery of targets when their entries arrive late, out of order or after an outage of the
//! store.

use {
    rattanturn_core::{
        Time,
        discovery::{EXPIRY_GRACE, ExpiryNotice, PeerTargets, RemovedTarget, Target, TargetSet},
        object_history::ObjectHistory,
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
        version: String::new(),
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

/// What a peer with these targets sends.
fn sent(targets: Vec<Target>) -> PeerTargets {
    PeerTargets {
        targets,
        ..PeerTargets::default()
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn ids(set: &TargetSet) -> Vec<&str> {
    set.targets().map(|t| t.id.as_str()).collect()
}

#[test]
fn a_late_entry_does_not_replace_a_newer_one() {
    let mut set = TargetSet::default();
    set.upsert(at(0), target("t", 1, 5));
    set.upsert(at(1), leaving("t", 1, 6));
    assert!(!set.upsert(at(2), target("t", 1, 4)));
    assert!(set.targets().all(|t| t.leaving));
    // Leaving is final for an incarnation, whatever a newer entry says.
    set.upsert(at(3), target("t", 1, 7));
    assert!(set.targets().all(|t| t.leaving));
    // A restarted target has a new incarnation and is not leaving.
    set.upsert(at(4), target("t", 2, 1));
    assert!(set.targets().all(|t| !t.leaving));
}

#[test]
fn a_removed_incarnation_is_not_added_again() {
    let mut set = TargetSet::default();
    set.upsert(at(0), target("t", 1, 5));
    set.entry_removed(at(1), "t");
    set.upsert(at(2), target("t", 1, 5));
    assert!(ids(&set).is_empty());
    set.upsert(at(3), target("t", 2, 1));
    assert_eq!(ids(&set), ["t"]);
}

#[test]
fn targets_can_renew_entries_that_expired_during_an_outage() {
    let mut set = TargetSet::default();
    set.upsert(at(0), target("renewed", 1, 1));
    set.upsert(at(0), target("stopped", 1, 1));
    set.store_unavailable(at(100));
    set.tick(at(60_000));
    assert_eq!(ids(&set), ["renewed", "stopped"]);
    set.store_available(at(60_000));
    set.apply_list(at(60_000), Vec::new());
    set.tick(at(61_000));
    assert_eq!(
        ids(&set),
        ["renewed", "stopped"],
        "a target was removed before it could renew its entry"
    );
    set.upsert(at(61_500), target("renewed", 1, 2));
    set.read_complete(at(60_000) + EXPIRY_GRACE + Duration::from_millis(1));
    assert_eq!(ids(&set), ["renewed"]);
}

#[test]
fn a_target_removed_while_the_store_is_reachable_is_dropped_at_once() {
    let mut set = TargetSet::default();
    set.upsert(at(0), target("t", 1, 1));
    set.entry_removed(at(1), "t");
    assert!(ids(&set).is_empty());
}

#[test]
fn renewals_without_other_changes_are_not_counted_as_changes() {
    let mut set = TargetSet::default();
    set.upsert(at(0), target("t", 1, 1));
    let changes = set.changes();
    for sequence in 2..20 {
        assert!(!set.upsert(at(sequence), target("t", 1, sequence)));
    }
    assert_eq!(set.changes(), changes);
}

/// A daemon that cannot read the store must not keep a removed target for longer than the peer that
/// read of the removal: the time limit for draining a target starts when the store reports it.
#[test]
fn a_target_absent_from_a_peers_list_is_dropped_at_once() {
    let mut set = TargetSet::default();
    set.upsert(at(0), target("running", 1, 1));
    set.upsert(at(0), target("stopped", 1, 1));
    set.store_unavailable(at(100));
    set.adopt_from_peer(at(2_000), sent(vec![target("running", 1, 2)]));
    assert_eq!(ids(&set), ["running"]);
}

/// Guards against targets that go out of use because a peer of another build passes them on in a form
/// that cannot be read here.
#[test]
fn a_target_that_cannot_be_read_in_a_peers_list_stays_until_it_is_gone() {
    let mut set = TargetSet::default();
    for id in ["odd", "running", "stopped"] {
        set.upsert(at(0), target(id, 1, 4));
    }
    let unreadable = || vec!["never-seen".into(), "odd".into()];
    let from = PeerTargets {
        unreadable: unreadable(),
        ..sent(vec![target("running", 1, 5)])
    };
    set.adopt_from_peer(at(100), from);
    assert_eq!(ids(&set), ["odd", "running"]);
    assert!(set.targets().all(|t| *t == target(&t.id, 1, 4)));
    let removed = RemovedTarget {
        id: "odd".into(),
        incarnation: 1,
        sequence: 4,
    };
    let from = PeerTargets {
        unreadable: unreadable(),
        expiry: Some(ExpiryNotice {
            removed: vec![removed],
            ..ExpiryNotice::default()
        }),
        ..sent(vec![target("running", 1, 5)])
    };
    set.adopt_from_peer(at(200), from);
    assert_eq!(ids(&set), ["running"]);
    let mut set = TargetSet::default();
    set.upsert(at(0), target("odd", 1, 4));
    set.adopt_from_peer(at(100), sent(Vec::new()));
    assert!(ids(&set).is_empty());
}

/// The targets as daemons pass them on: a line of JSON for each.
fn lines(set: &TargetSet) -> Vec<u8> {
    let lines = set.targets().map(|t| serde_json::to_string(t).unwrap());
    lines.collect::<Vec<_>>().join(",\n").into_bytes()
}

#[test]
fn renewed_entries_do_not_enlarge_the_patch_that_peers_get() {
    let mut set = TargetSet::default();
    let mut history = ObjectHistory::default();
    let id = |i| format!("i-{i:04}");
    for i in 0..500 {
        set.upsert(at(0), target(&id(i), 1, 1));
    }
    history.put("targets", 1, &lines(&set));
    for sequence in 2..5 {
        for i in 0..500 {
            set.upsert(at(sequence), target(&id(i), 1, sequence));
        }
    }
    set.upsert(at(6), leaving(&id(250), 1, 6));
    history.put("targets", 2, &lines(&set));
    let update = history.update_since("targets", 1).unwrap();
    assert_eq!(update.base, 1, "the whole object was sent");
    assert!(update.data.len() < 2_000, "{} bytes", update.data.len());
}

#[test]
fn an_entry_older_than_one_that_changed_nothing_is_ignored() {
    let mut set = TargetSet::default();
    set.upsert(at(0), target("t", 1, 5));
    set.upsert(at(1), target("t", 1, 9));
    assert!(!set.upsert(at(2), leaving("t", 1, 7)));
    assert!(set.targets().all(|t| !t.leaving));
    set.entry_removed(at(3), "t");
    assert!(!set.upsert(at(4), target("t", 1, 9)));
    assert_eq!(set.targets().count(), 0);
}
