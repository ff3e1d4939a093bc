//! Properties of the budget for answers and request bodies.

use {
    proptest::prelude::*,
    rattanturn_core::{
        Time,
        byte_budget::{ByteBudget, Uploads, UserId},
    },
    std::time::Duration,
};

const LIMIT: usize = 30_000;

/// Lets a user take as much as it can.
fn fill(budget: &mut ByteBudget, user: UserId) -> usize {
    let mut taken = 0;
    while budget.try_take(user, 10) {
        taken += 10;
    }
    taken
}

/// Guards against a bad version of a service whose targets take the memory of all others.
#[test]
fn a_service_whose_targets_are_all_greedy_leaves_half_to_the_others() {
    let mut budget = ByteBudget::new(LIMIT);
    let (faulty, sound) = (budget.add_group(), budget.add_group());
    for _ in 0..50 {
        let user = budget.add_user(faulty);
        fill(&mut budget, user);
    }
    assert!(budget.held() <= LIMIT / 2, "{}", budget.held());
    let other = budget.add_user(sound);
    assert!(fill(&mut budget, other) >= LIMIT / 6);
}

/// Guards against a faulty target that leaves nothing to the others of its service.
#[test]
fn a_greedy_target_leaves_room_to_the_others_of_its_service() {
    let mut budget = ByteBudget::new(LIMIT);
    let service = budget.add_group();
    let (greedy, other) = (budget.add_user(service), budget.add_user(service));
    fill(&mut budget, greedy);
    assert!(fill(&mut budget, other) >= LIMIT / 30);
}

/// Guards against a fixed part for each target, which would leave most of the memory unused.
#[test]
fn one_user_alone_gets_two_fifths() {
    let mut budget = ByteBudget::new(LIMIT);
    let group = budget.add_group();
    let user = budget.add_user(group);
    assert_eq!(fill(&mut budget, user), LIMIT * 2 / 5);
    assert_eq!(budget.largest_share(), LIMIT * 2 / 5);
}

/// Guards against memory that stays counted for a target that was removed.
#[test]
fn removed_user_gives_its_bytes_back() {
    let mut budget = ByteBudget::new(LIMIT);
    let group = budget.add_group();
    let (user, other) = (budget.add_user(group), budget.add_user(group));
    assert!(budget.try_take(user, 500) && budget.try_take(other, 700));
    budget.remove_user(user);
    budget.release(user, 500);
    assert_eq!(budget.held(), 700);
    assert!(!budget.try_take(user, 1));
}

/// Guards against giving up a request that is still being sent.
#[test]
fn only_the_longest_stalled_upload_is_given_up() {
    let at = |ms| Time::ZERO + Duration::from_millis(ms);
    let mut uploads = Uploads::default();
    let (first, second) = (uploads.begin(at(0)), uploads.begin(at(300)));
    assert_eq!(uploads.take_stalled(at(900)), None);
    uploads.record_progress(first, at(600));
    assert_eq!(uploads.take_stalled(at(1_500)), Some(second));
    assert_eq!(uploads.take_stalled(at(1_500)), None);
    uploads.end(first);
    assert_eq!(uploads.take_stalled(at(9_000)), None);
}

proptest! {
    /// Guards against counts that drift, and against users that hold more than the budget together.
    #[test]
    fn held_bytes_are_the_sum_of_the_users_and_within_the_limit(
        steps in prop::collection::vec((0_usize..6, any::<bool>(), 0_usize..2 * LIMIT), 1..200),
    ) {
        let mut budget = ByteBudget::new(LIMIT);
        let groups = [budget.add_group(), budget.add_group()];
        let users: Vec<UserId> = (0..6).map(|n| budget.add_user(groups[n % 2])).collect();
        let mut own = [0_usize; 6];
        for (n, takes, bytes) in steps {
            if !takes {
                let bytes = bytes.min(own[n]);
                budget.release(users[n], bytes);
                own[n] -= bytes;
            } else if budget.try_take(users[n], bytes) {
                own[n] += bytes;
                prop_assert!(own.iter().skip(n % 2).step_by(2).sum::<usize>() <= LIMIT - budget.held());
            }
            prop_assert_eq!(budget.held(), own.iter().sum::<usize>());
            prop_assert!(budget.held() <= LIMIT);
        }
    }
}
