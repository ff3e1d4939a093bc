//! Order in which a service's targets are tried, by their reported latencies.

use {
    rattanturn_core::{Time, selection::TargetSelector},
    std::time::Duration,
};

const NOW: Time = Time::from_millis(10_000);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn targets_with_equal_latency_share_the_first_place() {
    let mut selector = TargetSelector::default();
    selector.record(NOW, 0, ms(5));
    selector.record(NOW, 1, ms(5));
    let first_targets: Vec<usize> = (0..200)
        .map(|seed| selector.order(NOW, vec![0, 1], seed)[0])
        .collect();
    let zeros = first_targets.iter().filter(|f| **f == 0).count();
    assert!(
        (60..140).contains(&zeros),
        "target 0 came first for {zeros} of 200 seeds"
    );
}

#[test]
fn the_only_fast_target_comes_twice_before_a_much_slower_one() {
    let mut selector = TargetSelector::default();
    selector.record(NOW, 0, ms(50));
    selector.record(NOW, 1, ms(5));
    selector.record(NOW, 2, ms(6));
    assert_eq!(selector.order(NOW, vec![0, 1], 3), [1, 1, 0]);
    let three = selector.order(NOW, vec![0, 1, 2], 3);
    assert_eq!(three.len(), 3, "with two fast targets each comes once");
    assert_eq!(three[2], 0);
}

#[test]
fn a_slow_target_comes_first_again_some_time_after_its_report() {
    let mut selector = TargetSelector::default();
    selector.record(NOW, 0, ms(50));
    selector.record(NOW, 1, ms(5));
    let later = NOW + Duration::from_secs(15);
    let comes_first = (0..50).any(|seed| selector.order(later, vec![0, 1], seed)[0] == 0);
    assert!(comes_first, "the slow target never came first again");
}

#[test]
fn a_target_goes_last_right_after_a_failed_call() {
    let mut selector = TargetSelector::default();
    selector.failed(NOW, 0);
    selector.record(NOW, 1, ms(20));
    assert_eq!(selector.order(NOW, vec![0, 1], 1).last(), Some(&0));
}
