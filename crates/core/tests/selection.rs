//! Order of a service's targets: fast ones first, equal ones in turn, slow ones tried again.

use {
    rattanturn_core::{Time, selection::TargetSelector},
    std::time::Duration,
};

const NOW: Time = Time::from_millis(10_000);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn equal_targets_take_turns() {
    let mut choice = TargetSelector::default();
    choice.record(NOW, 0, ms(5));
    choice.record(NOW, 1, ms(5));
    let firsts: Vec<usize> = (0..200)
        .map(|tie_break| choice.order(NOW, vec![0, 1], tie_break)[0])
        .collect();
    let zeros = firsts.iter().filter(|f| **f == 0).count();
    assert!((60..140).contains(&zeros), "{zeros} of 200");
}

#[test]
fn a_second_try_at_a_fast_target_goes_before_a_slow_one() {
    let mut choice = TargetSelector::default();
    choice.record(NOW, 0, ms(50));
    choice.record(NOW, 1, ms(5));
    choice.record(NOW, 2, ms(6));
    assert_eq!(choice.order(NOW, vec![0, 1], 3), [1, 1, 0]);
    let three = choice.order(NOW, vec![0, 1, 2], 3);
    assert_eq!(three.len(), 3, "two good targets need no second try at one");
    assert_eq!(three[2], 0);
}

#[test]
fn a_slow_target_is_tried_again_after_a_while() {
    let mut choice = TargetSelector::default();
    choice.record(NOW, 0, ms(50));
    choice.record(NOW, 1, ms(5));
    let later = NOW + Duration::from_secs(15);
    let tried = (0..50).any(|tie_break| choice.order(later, vec![0, 1], tie_break)[0] == 0);
    assert!(tried, "the slow target was never first again");
}

#[test]
fn a_target_without_a_holder_goes_last_for_a_while() {
    let mut choice = TargetSelector::default();
    choice.failed(NOW, 0);
    choice.record(NOW, 1, ms(20));
    assert_eq!(choice.order(NOW, vec![0, 1], 1).last(), Some(&0));
}
