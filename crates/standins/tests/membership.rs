//! Membership under deaths, pauses, loss, partitions and replacement, in virtual time.

use {
    rattanturn_core::membership::{MAX_DIRECT_NOTICES, State},
    rattanturn_standins::gossip::SimNetwork,
    std::time::Duration,
};

const SEED: u64 = 5;
const LONG: Duration = Duration::from_mins(2);

fn settled(count: usize) -> SimNetwork {
    let mut net = SimNetwork::new(count, SEED);
    assert!(
        net.run_until(LONG, SimNetwork::converged).is_some(),
        "{count} members never agreed"
    );
    net
}

#[test]
fn members_find_each_other_through_one_seed() {
    settled(24);
}

#[test]
fn a_death_is_seen_by_all() {
    let mut net = settled(9);
    net.nodes[4].dead = true;
    let took = net
        .run_until(LONG, SimNetwork::converged)
        .expect("the death was not seen");
    assert!(took < Duration::from_secs(15), "{took:?}");
}

#[test]
fn all_of_a_data_centre_gone_at_once_is_seen_by_all() {
    let mut net = settled(24);
    for node in net.nodes.iter_mut().skip(16) {
        node.dead = true;
    }
    let took = net
        .run_until(LONG, SimNetwork::converged)
        .expect("the deaths were not seen");
    assert!(took < Duration::from_secs(30), "{took:?}");
}

#[test]
fn a_paused_process_does_not_accuse_the_others() {
    let mut net = settled(9);
    net.nodes[3].paused = true;
    net.run(Duration::from_secs(2));
    net.nodes[3].paused = false;
    for _ in 0..200 {
        net.run(Duration::from_millis(50));
        assert_eq!(
            net.count_in_state(3, State::Suspect) + net.count_in_state(3, State::Dead),
            0
        );
    }
}

#[test]
fn a_short_pause_is_refuted() {
    let mut net = settled(9);
    net.nodes[3].paused = true;
    net.run(Duration::from_secs(2));
    net.nodes[3].paused = false;
    net.run(Duration::from_secs(10));
    assert!(net.converged());
}

#[test]
fn loss_alone_kills_nobody() {
    let mut net = settled(24);
    net.loss_rate = 0.05;
    for _ in 0..120 {
        net.run(Duration::from_secs(1));
        for observer in 0..24 {
            assert_eq!(
                net.count_in_state(observer, State::Dead),
                0,
                "at {}",
                net.now
            );
        }
    }
}

#[test]
fn a_partition_of_an_hour_heals() {
    let mut net = settled(9);
    net.partition = Some(5);
    net.run(Duration::from_mins(10));
    assert_eq!(net.count_in_state(0, State::Dead), 4);
    net.partition = None;
    assert!(
        net.run_until(LONG, SimNetwork::converged).is_some(),
        "the partition never healed"
    );
}

#[test]
fn a_leaving_member_is_known_as_leaving() {
    let mut net = settled(9);
    let now = net.now;
    net.nodes[2].membership.leave(now);
    let known = |net: &SimNetwork| (0..9).all(|o| net.state(o, 2) == Some(State::Leaving));
    let took = net.run_until(LONG, known).expect("the leave was not heard");
    assert!(took < Duration::from_secs(5), "{took:?}");
}

/// A request for a journal waits 500 ms for daemons to agree on its keeper, so half of that is left
/// for them to learn who left or joined.
const AGREEMENT: Duration = Duration::from_millis(250);

#[test]
fn all_learn_at_once_who_leaves() {
    for count in [9, 60] {
        let mut net = settled(count);
        let now = net.now;
        net.nodes[2].membership.leave(now);
        net.nodes[5].membership.leave(now);
        let known = |net: &SimNetwork| {
            (0..count).all(|o| {
                [2, 5]
                    .iter()
                    .all(|m| net.state(o, *m) == Some(State::Leaving))
            })
        };
        let took = net.run_until(LONG, known).expect("the leave was not heard");
        assert!(took <= AGREEMENT, "{count} members: {took:?}");
    }
}

#[test]
fn all_learn_at_once_who_joins() {
    for count in [9, 60] {
        let mut net = settled(count);
        net.join(count, SEED);
        let took = net
            .run_until(LONG, SimNetwork::converged)
            .expect("the newcomer was not heard");
        assert!(took <= AGREEMENT, "{count} members: {took:?}");
    }
}

/// News told directly is bounded, whatever the fleet's size.
#[test]
fn a_leaving_member_of_many_sends_a_bounded_number_of_messages() {
    let mut net = settled(300);
    net.reset_counts();
    let now = net.now;
    net.nodes[2].membership.leave(now);
    net.run(AGREEMENT);
    // Beside the news, a probe and a few answers.
    let most = MAX_DIRECT_NOTICES as u64 + 8;
    assert!(net.nodes[2].messages <= most, "{}", net.nodes[2].messages);
}

#[test]
fn every_member_replaced_one_after_another() {
    let mut net = settled(8);
    for old in 0..8 {
        let now = net.now;
        net.nodes[old].membership.leave(now);
        net.run(Duration::from_secs(3));
        net.nodes[old].dead = true;
        let fresh = net.nodes.len();
        net.join(fresh, SEED);
        // A new VM is told the addresses of those that run; here it asks the last one.
        let peer = fresh - 1;
        let fact = net.nodes[peer]
            .membership
            .get(rattanturn_standins::gossip::node_id(peer));
        let fact = fact.expect("a member knows itself").record.clone();
        net.nodes[fresh].membership.introduce(net.now, &fact);
        assert!(
            net.run_until(LONG, SimNetwork::converged).is_some(),
            "replacement {old} never settled"
        );
    }
}

/// The directory must not name a dead daemon after 7 s at 8 daemons and 8 s at 90; it names only
/// those that are seen as alive.
#[test]
fn the_dead_are_no_longer_seen_as_alive_in_time_for_the_directory() {
    for (count, gone, bound) in [(8, 1, 7), (8, 4, 7), (90, 1, 8), (90, 30, 8)] {
        let mut net = settled(count);
        for node in net.nodes.iter_mut().take(gone) {
            node.dead = true;
        }
        let seen = |net: &SimNetwork| {
            (gone..count).all(|o| (0..gone).all(|d| net.state(o, d) != Some(State::Alive)))
        };
        let took = net.run_until(LONG, seen).expect("the deaths were not seen");
        assert!(
            took < Duration::from_secs(bound),
            "{gone} of {count}: {took:?}"
        );
    }
}
