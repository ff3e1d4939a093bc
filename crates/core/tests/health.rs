//! When a target counts as down, and how soon it is tried again.

use {
    rattanturn_core::{Time, health::TargetHealth},
    std::time::Duration,
};

#[test]
fn a_single_silence_is_no_outage_and_two_are() {
    let (mut outage, now) = (TargetHealth::default(), Time::from_millis(1_000));
    outage.timed_out(now);
    assert!(!outage.is_down());
    outage.timed_out(now);
    assert!(outage.is_down());
    outage.succeeded();
    assert!(!outage.is_down());
    outage.timed_out(now);
    assert!(!outage.is_down(), "an answer begins the count anew");
}

#[test]
fn a_target_that_is_back_is_tried_within_a_second_however_long_it_was_down() {
    let (mut outage, mut now) = (TargetHealth::default(), Time::from_millis(1_000));
    for _ in 0..1_000 {
        outage.connect_failed(now);
        let failed = now;
        while !outage.probe_due(now) {
            now = now + Duration::from_millis(10);
        }
        assert!(now.since(failed) < Duration::from_secs(1));
    }
}
