//! When a target counts as down, and how soon a probe tries it again.

use {
    rattanturn_core::{Time, health::TargetHealth},
    std::time::Duration,
};

#[test]
fn two_timeouts_in_a_row_mark_a_target_as_down_and_one_does_not() {
    let (mut health, now) = (TargetHealth::default(), Time::from_millis(1_000));
    health.timed_out(now);
    assert!(!health.is_down());
    health.timed_out(now);
    assert!(health.is_down());
    health.succeeded();
    assert!(!health.is_down());
    health.timed_out(now);
    assert!(!health.is_down(), "an answer resets the count of timeouts");
}

#[test]
fn probes_are_less_than_a_second_apart_however_long_a_target_is_down() {
    let (mut health, mut now) = (TargetHealth::default(), Time::from_millis(1_000));
    for _ in 0..1_000 {
        health.connect_failed(now);
        let failed = now;
        while !health.probe_due(now) {
            now = now + Duration::from_millis(10);
        }
        assert!(now.since(failed) < Duration::from_secs(1));
    }
}
