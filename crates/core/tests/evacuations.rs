//! Which of two daemons' sets of evacuated data centres both have after they exchanged them.

use {
    rattanturn_core::{evacuations::Evacuations, watch_position::WatchPosition},
    std::collections::BTreeSet,
};

fn at(era: u64, revision: u64) -> WatchPosition {
    WatchPosition { era, revision }
}

fn set(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn read(names: &[&str], position: WatchPosition) -> Evacuations {
    let mut known = Evacuations::default();
    known.set(set(names));
    known.read_up_to(position);
    known
}

fn adopted(mut known: Evacuations, from: &Evacuations) -> Evacuations {
    known.adopt(from.centres().clone(), Some(from.position()));
    known
}

/// Guards against a daemon that has just started and takes an evacuation back at its peers.
#[test]
fn a_set_that_was_never_read_replaces_none() {
    let known = read(&["a"], at(0, 7));
    let fresh = Evacuations::default();
    assert_eq!(adopted(known.clone(), &fresh), known);
    assert_eq!(adopted(fresh, &known), known);
    let mut from_older_build = Evacuations::default();
    assert!(from_older_build.adopt(set(&["a"]), None));
    let (kept, fresh) = (from_older_build.clone(), Evacuations::default());
    assert_eq!(adopted(from_older_build, &fresh), kept);
}

/// Guards against a reader whose calls for evacuations fail and that replaces what another one has read.
#[test]
fn the_set_that_was_read_later_holds_whoever_asks() {
    for (older, newer) in [
        (read(&[], at(0, 6)), read(&["a"], at(0, 7))),
        (read(&["a"], at(0, 6)), read(&[], at(0, 7))),
        // The store came back from an older copy, whose revisions are lower.
        (read(&["a"], at(0, 90)), read(&["b"], at(1, 7))),
    ] {
        assert_eq!(adopted(older.clone(), &newer), newer);
        assert_eq!(adopted(newer.clone(), &older), newer);
    }
}

#[test]
fn adopting_tells_whether_both_know_the_same() {
    let mut known = read(&["a"], at(0, 7));
    assert!(!known.adopt(set(&[]), Some(at(0, 6))));
    assert!(known.adopt(set(&["a"]), Some(at(0, 6))));
    assert_eq!(known.position(), at(0, 7));
    assert!(known.adopt(set(&["b"]), None));
    assert!(known.contains("b") && !known.contains("a"));
}
