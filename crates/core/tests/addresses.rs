//! Which addresses callers get, and what is left of them when a data centre is lost.

use {
    rattanturn_core::{
        NodeId,
        addresses::{Frontend, choose, watched},
    },
    std::{collections::BTreeSet, net::SocketAddr},
};

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
                capacity: if i < large { 0.5 } else { 0.12 },
            });
        }
    }
    all
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
            let chosen = choose(&all, "b", tie_break);
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
    let chosen = choose(&all, "b", 7);
    let centres: Vec<&str> = chosen.iter().map(|a| centre_of(&all, *a)).collect();
    assert_eq!(centres[..2], ["b", "b"]);
    assert_ne!(centres[2], centres[3]);
}

#[test]
fn all_large_daemons_are_used() {
    let all = deployment(3);
    let used: BTreeSet<SocketAddr> = (0..500).flat_map(|t| choose(&all, "b", t)).collect();
    assert_eq!(used.len(), 15);
}

#[test]
fn a_single_data_centre_fills_the_answer() {
    let mut all = deployment(3);
    all.retain(|f| f.centre == "b");
    assert_eq!(choose(&all, "b", 1).len(), 3);
    assert_eq!(choose(&all, "c", 1).len(), 3);
}

#[test]
fn only_large_daemons_are_watched_and_only_if_they_are_few() {
    let all = deployment(3);
    assert_eq!(watched(&all).len(), 15);
    let equal: Vec<Frontend> = all.into_iter().filter(|f| f.capacity > 0.2).collect();
    assert!(watched(&equal).is_empty());
}
