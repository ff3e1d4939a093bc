//! Patches bring another daemon to exactly the newest version, or the whole object does.

use rattanturn_core::object_history::{ObjectHistory, ObjectUpdate};

const KEY: &str = "tables";

/// A table of `lines` lines, edited `edits` times.
fn body(lines: usize, edits: usize) -> Vec<u8> {
    let line = |i: usize| {
        format!(
            "target {i} = 10.0.0.{} {}\n",
            i % 250,
            if i < edits { "x" } else { "" }
        )
    };
    (0..lines).map(line).collect::<String>().into_bytes()
}

/// A store that has seen every version up to `newest`.
fn store(newest: usize) -> ObjectHistory {
    let mut store = ObjectHistory::default();
    (1..=newest).for_each(|v| store.put(KEY, v as u64, &body(2_000, v)));
    store
}

#[test]
fn a_daemon_a_few_versions_behind_gets_a_small_patch() {
    let (ours, theirs) = (store(6), store(3));
    let newer = ours.update_since(KEY, 3).unwrap();
    assert_eq!((newer.version, newer.base), (6, 3));
    assert!(newer.data.len() < 1_000, "{} bytes", newer.data.len());
    assert_eq!(theirs.reconstruct(KEY, &newer).unwrap(), body(2_000, 6));
}

#[test]
fn a_daemon_far_behind_gets_the_whole_object() {
    let newer = store(40).update_since(KEY, 3).unwrap();
    assert_eq!((newer.version, newer.base), (40, 0));
    assert_eq!(store(3).reconstruct(KEY, &newer).unwrap(), body(2_000, 40));
}

#[test]
fn nothing_is_sent_to_a_daemon_that_is_ahead() {
    assert_eq!(store(5).update_since(KEY, 5), None);
    assert_eq!(store(5).update_since(KEY, 9), None);
}

#[test]
fn a_patch_that_does_not_come_out_is_refused() {
    let newer = store(6).update_since(KEY, 3).unwrap();
    let mut other = ObjectHistory::default();
    other.put(KEY, 3, &body(2_000, 1));
    assert_eq!(other.reconstruct(KEY, &newer), None);
    let garbled = ObjectUpdate {
        digest: newer.digest ^ 1,
        ..newer
    };
    assert_eq!(store(3).reconstruct(KEY, &garbled), None);
}
