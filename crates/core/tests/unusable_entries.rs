//! Which unusable entries of the store are logged.

use rattanturn_core::unusable_entries::{Report, UnusableEntries};

/// A broken writer that leaves thousands of entries must not fill the log.
#[test]
fn the_number_of_logged_entries_is_bounded_and_the_bound_is_logged_once() {
    let mut unusable = UnusableEntries::default();
    let reports: Vec<Report> = (0..10_000)
        .chain(0..10_000)
        .map(|n| unusable.report("targets", &format!("i-{n}")))
        .collect();
    let count = |wanted| reports.iter().filter(|r| **r == wanted).count();
    assert_eq!((count(Report::Entry), count(Report::Omission)), (256, 1));
}

/// The same name in another kind is another entry.
#[test]
fn entries_are_told_apart_by_kind_and_name() {
    let mut unusable = UnusableEntries::default();
    assert_eq!(unusable.report("targets", "main"), Report::Entry);
    assert_eq!(unusable.report("config", "main"), Report::Entry);
    assert_eq!(unusable.report("targets", "main"), Report::Nothing);
}
