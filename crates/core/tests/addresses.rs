//! Which addresses callers get, and what is left of them when a data centre is lost.

use {
    rattanturn_core::{
        NodeId, Time,
        addresses::{ANSWER_TTL, Frontend, LEAVING_ANSWER_TTL, choose, watched},
    },
    std::{collections::BTreeSet, net::SocketAddr},
};

const NOW: Time = Time::from_millis(10_000);

const CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// `large` large daemons and as many small ones in each data centre.
fn deployment(large: u8) -> Vec<Frontend> {
    let mut all = Vec::new();
    for (c, centre) in (0..).zip(CENTRES) {
        for i in 0..large * 2 {
            all.push(Frontend {
                id: NodeId(u64::from(i) * 10 + c),
                addr: SocketAddr::from(([10, u8::try_from(c).unwrap(), 0, i], 80)),
                centre: centre.into(),
                accepting: true,
                suspect: false,
                closes_at: None,
                capacity: if i < large { 0.5 } else { 0.12 },
            });
        }
    }
    all
}

fn addresses(all: &[Frontend], centre: &str, tie_break: u64) -> Vec<SocketAddr> {
    choose(all, centre, tie_break, NOW).addrs
}

/// Lets a daemon leave that closes its listeners at a time.
fn leave(frontend: &mut Frontend, closes_at: Time) {
    frontend.accepting = false;
    frontend.closes_at = Some(closes_at);
}

fn centre_of(all: &[Frontend], addr: SocketAddr) -> &str {
    let found = all.iter().find(|f| f.addr == addr);
    &found.unwrap().centre
}

/// A caller uses an answer for up to 6 s. Whichever data centre is lost meanwhile, two of its four
/// addresses or more must be left.
#[test]
fn the_loss_of_any_data_centre_leaves_a_caller_two_addresses() {
    for large in [1, 3, 4, 20] {
        let all = deployment(large);
        for tie_break in 0..200 {
            let chosen = addresses(&all, "b", tie_break);
            assert_eq!(chosen.len(), 4);
            for lost in CENTRES {
                let left = chosen.iter().filter(|a| centre_of(&all, **a) != lost);
                assert!(left.count() >= 2, "{large} a data centre, {lost} lost");
            }
        }
    }
}

#[test]
fn the_own_data_centre_comes_first() {
    let all = deployment(3);
    let chosen = addresses(&all, "b", 7);
    let centres: Vec<&str> = chosen.iter().map(|a| centre_of(&all, *a)).collect();
    assert_eq!(centres[..2], ["b", "b"]);
    assert_ne!(centres[2], centres[3]);
}

#[test]
fn all_large_daemons_are_used() {
    let all = deployment(3);
    let used: BTreeSet<SocketAddr> = (0..500).flat_map(|t| addresses(&all, "b", t)).collect();
    assert_eq!(used.len(), 15);
}

#[test]
fn a_single_data_centre_fills_the_answer() {
    let mut all = deployment(3);
    all.retain(|f| f.centre == "b");
    assert_eq!(addresses(&all, "b", 1).len(), 3);
    assert_eq!(addresses(&all, "c", 1).len(), 3);
}

#[test]
fn only_large_daemons_are_watched_and_only_if_they_are_few() {
    let all = deployment(3);
    assert_eq!(watched(&all).len(), 15);
    let equal: Vec<Frontend> = all.into_iter().filter(|f| f.capacity > 0.2).collect();
    assert!(watched(&equal).is_empty());
}

/// Guards against callers without any address while all daemons stop at once, but still serve.
#[test]
fn daemons_that_leave_are_named_until_they_close_if_no_other_is_there() {
    let mut all = deployment(1);
    let closes_at = |i: usize| Time::from_millis(if i < 4 { 9_999 } else { 10_001 });
    for (i, frontend) in all.iter_mut().enumerate() {
        leave(frontend, closes_at(i));
    }
    for tie_break in 0..50 {
        let chosen = choose(&all, "c", tie_break, NOW);
        assert_eq!(chosen.addrs.len(), 3, "the large ones that have not closed");
        assert_eq!(chosen.ttl, LEAVING_ANSWER_TTL);
        assert!(
            chosen
                .addrs
                .iter()
                .all(|a| !["a", "b"].contains(&centre_of(&all, *a)))
        );
    }
    assert_eq!(choose(&all, "c", 0, closes_at(4)).addrs, []);
}

#[test]
fn daemons_that_leave_are_not_named_beside_one_that_stays() {
    let mut all = deployment(1);
    all[1..].iter_mut().for_each(|f| leave(f, Time::NEVER));
    let chosen = choose(&all, "c", 0, NOW);
    assert_eq!(chosen.addrs, [all[0].addr]);
    assert_eq!(chosen.ttl, ANSWER_TTL);
}

/// A suspect daemon may be dead, and one that leaves still serves.
#[test]
fn daemons_that_leave_are_named_rather_than_suspects() {
    let mut all = deployment(1);
    all.truncate(2);
    all[0].suspect = true;
    leave(&mut all[1], Time::NEVER);
    assert_eq!(addresses(&all, "a", 0), [all[1].addr]);
    all.truncate(1);
    assert_eq!(addresses(&all, "a", 0), [all[0].addr]);
}
