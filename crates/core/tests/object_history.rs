//! An update leads to exactly the newest version of an object, as a patch or as the whole object.

use {
    rattanturn_core::object_history::{ObjectHistory, ObjectUpdate},
    std::sync::Arc,
};

const KEY: &str = "tables";

/// A table of `lines` lines, of which the first `edits` are edited.
fn table(lines: usize, edits: usize) -> Vec<u8> {
    let line = |i: usize| {
        format!(
            "target {i} = 10.0.0.{} {}\n",
            i % 250,
            if i < edits { "x" } else { "" }
        )
    };
    (0..lines).map(line).collect::<String>().into_bytes()
}

/// A history to which the versions 1 to `newest` were added.
fn history(newest: usize) -> ObjectHistory {
    let mut history = ObjectHistory::default();
    (1..=newest).for_each(|v| history.put(KEY, v as u64, &table(2_000, v)));
    history
}

#[test]
fn a_daemon_whose_version_is_still_kept_gets_a_small_patch() {
    let (mut ours, theirs) = (history(6), history(3));
    let update = ours.update_since(KEY, 3).unwrap();
    assert_eq!((update.version, update.base), (6, 3));
    assert!(update.data.len() < 1_000, "{} bytes", update.data.len());
    assert_eq!(theirs.reconstruct(KEY, &update).unwrap(), table(2_000, 6));
}

#[test]
fn a_daemon_whose_version_is_no_longer_kept_gets_the_whole_object() {
    let update = history(40).update_since(KEY, 3).unwrap();
    assert_eq!((update.version, update.base), (40, 0));
    assert_eq!(
        history(3).reconstruct(KEY, &update).unwrap(),
        table(2_000, 40)
    );
}

#[test]
fn there_is_no_update_for_a_daemon_that_is_up_to_date_or_ahead() {
    assert_eq!(history(5).update_since(KEY, 5), None);
    assert_eq!(history(5).update_since(KEY, 9), None);
}

#[test]
fn a_patch_with_another_base_or_digest_is_rejected() {
    let update = history(6).update_since(KEY, 3).unwrap();
    let mut other = ObjectHistory::default();
    other.put(KEY, 3, &table(2_000, 1));
    assert_eq!(other.reconstruct(KEY, &update), None);
    let wrong_digest = ObjectUpdate {
        digest: update.digest ^ 1,
        ..update
    };
    assert_eq!(history(3).reconstruct(KEY, &wrong_digest), None);
}

/// Guards against one computation for each of many daemons that ask for the same update.
#[test]
fn an_update_is_made_once_for_all_daemons_with_the_same_version() {
    let mut ours = history(6);
    let first = ours.update_since(KEY, 3).unwrap();
    let second = ours.update_since(KEY, 3).unwrap();
    assert!(Arc::ptr_eq(&first.data, &second.data));
    ours.put(KEY, 7, &table(2_000, 7));
    assert_eq!(ours.update_since(KEY, 3).unwrap().version, 7);
}
