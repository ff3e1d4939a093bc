//! When a daemon takes its targets for lost, and what it does with the requests that still arrive.

use {
    rattanturn_core::{
        NodeId, Time,
        addresses::Frontend,
        reach::{Reach, ReachChange},
        relay::{EarlierCall, Relays, attempts_left},
        silence::Silence,
    },
    std::time::Duration,
};

/// Interval of checks, as the daemon makes them.
const CHECK: Duration = Duration::from_millis(50);

fn frontends(centres: &[&str]) -> Vec<Frontend> {
    let frontend = |(i, centre): (usize, &&str)| Frontend {
        id: NodeId(i as u64),
        addr: format!("127.0.0.{}:80", i + 1).parse().unwrap(),
        centre: (*centre).to_owned(),
        accepting: true,
        suspect: false,
        closes_at: None,
        capacity: 1.0,
    };
    centres.iter().enumerate().map(frontend).collect()
}

/// Checks every 50 ms for a second, with the last answer at `heard` and `waiting` targets that have
/// been waiting since then; returns whether any check found silence.
fn is_silent(silence: &mut Silence, from: Time, heard: Time, waiting: usize) -> bool {
    let mut found = false;
    let mut now = from;
    for _ in 0..20 {
        found |= silence.check(now, heard, |since| if heard <= since { waiting } else { 0 });
        now = now + CHECK;
    }
    found
}

#[test]
fn many_silent_targets_are_noticed_and_a_few_are_not() {
    let start = Time::from_millis(10_000);
    assert!(is_silent(&mut Silence::default(), start, start, 20));
    assert!(!is_silent(&mut Silence::default(), start, start, 3));
}

#[test]
fn an_idle_daemon_is_not_silent() {
    let start = Time::from_millis(10_000);
    assert!(!is_silent(&mut Silence::default(), start, Time::ZERO, 0));
}

#[test]
fn targets_that_answer_now_and_then_are_not_silent() {
    let mut silence = Silence::default();
    let start = Time::from_millis(10_000);
    for step in 0..100_u32 {
        let now = start + CHECK * step;
        // The last answer came up to 150 ms ago, while 20 other targets stand still.
        let heard = start + CHECK * (step / 4 * 4);
        assert!(!silence.check(now, heard, |_| 20), "{now}");
    }
}

#[test]
fn a_process_that_was_paused_reads_its_answers_before_it_finds_silence() {
    let mut silence = Silence::default();
    let before = Time::from_millis(10_000);
    assert!(!silence.check(before, before, |_| 20));
    let resumed = before + Duration::from_secs(3);
    assert!(!silence.check(resumed, before, |_| 20));
    assert!(!silence.check(resumed + CHECK, before, |_| 20));
}

#[test]
fn losing_a_data_centre_of_three_is_not_losing_the_targets() {
    let mut reach = Reach::default();
    assert_eq!(reach.update(80, 120), None);
    assert_eq!(reach.update(40, 120), Some(ReachChange::Lost));
    assert_eq!(
        reach.update(0, 0),
        Some(ReachChange::Regained),
        "no targets are known"
    );
}

#[test]
fn a_daemon_withdraws_only_after_a_peer_ran_a_request() {
    let mut relays = Relays::default();
    assert!(!relays.is_withdrawn(true));
    relays.exhausted();
    assert!(
        !relays.is_withdrawn(true),
        "the targets are down for everyone"
    );
    relays.succeeded();
    assert!(relays.is_withdrawn(true));
    assert!(
        relays.is_withdrawn(true),
        "it stays so while no request arrives"
    );
    relays.exhausted();
    assert!(
        !relays.is_withdrawn(true),
        "peers have lost the targets as well"
    );
}

#[test]
fn a_daemon_that_reaches_targets_again_is_not_withdrawn() {
    let mut relays = Relays::default();
    relays.succeeded();
    assert!(!relays.is_withdrawn(false));
    assert!(
        !relays.is_withdrawn(true),
        "evidence of an earlier cut does not count"
    );
}

#[test]
fn near_peers_are_asked_first_and_peers_that_failed_not_at_all() {
    let all = frontends(&["a", "a", "b", "c"]);
    let mut relays = Relays::default();
    let now = Time::from_millis(5_000);
    let ids = |relays: &Relays, now| -> Vec<u64> {
        let chosen = relays.choose(now, &all, NodeId(0), "a", ("route", 7));
        chosen.iter().map(|f| f.id.0).collect()
    };
    assert_eq!(ids(&relays, now)[0], 1);
    relays.failed(now, NodeId(1));
    let mut far = ids(&relays, now);
    far.sort_unstable();
    assert_eq!(far, [2, 3]);
    assert_eq!(ids(&relays, now + Duration::from_secs(1))[0], 1);
}

/// The targets are down for everyone: what is sent to peers in vain stays bounded, whatever the load.
#[test]
fn requests_sent_in_vain_are_bounded() {
    for reached in [false, true] {
        let all = frontends(&["a", "a", "b", "b", "c", "c"]);
        let mut relays = Relays::default();
        let mut sent = 0;
        for ms in 0..10_000 {
            let now = Time::from_millis(100_000 + ms);
            let peers: Vec<NodeId> = relays
                .choose(now, &all, NodeId(0), "a", ("route", ms))
                .iter()
                .map(|f| f.id)
                .collect();
            for peer in peers {
                sent += 1;
                if reached {
                    relays.refused(now, peer, "route");
                } else {
                    relays.failed(now, peer);
                }
            }
            relays.exhausted();
        }
        assert!(sent <= 5 * 10, "{sent} of 10,000 requests");
    }
}

/// Guards against a route that is refused because a peer had no room for answers of another one.
#[test]
fn a_peer_that_refuses_one_route_is_asked_for_others() {
    let all = frontends(&["a", "a"]);
    let (mut relays, now) = (Relays::default(), Time::from_millis(100_000));
    let asked = |relays: &Relays, route, now| {
        let peers = relays.choose(now, &all, NodeId(0), "a", (route, 0));
        peers.len()
    };
    relays.refused(now, NodeId(1), "large");
    assert_eq!(asked(&relays, "large", now), 0);
    assert_eq!(asked(&relays, "small", now), 1);
    assert_eq!(asked(&relays, "large", now + Duration::from_secs(1)), 1);
    relays.failed(now, NodeId(1));
    assert_eq!(asked(&relays, "small", now), 0, "it cannot be reached");
}

/// Guards against refusals because of calls that no target got, and against a peer that exceeds the
/// limit because another service was called less often.
#[test]
fn only_written_calls_use_up_the_attempts_of_a_peer() {
    let call = |service, started, written| EarlierCall {
        service,
        started: Time::from_millis(started),
        written,
    };
    let heard = Time::from_millis(10);
    let unsent = [call(0, 1, false), call(0, 2, false), call(1, 3, false)];
    assert_eq!(attempts_left(2, heard, unsent), 2);
    let written = [call(0, 1, true), call(1, 1, true), call(1, 10, true)];
    assert_eq!(attempts_left(2, heard, written), 0);
    assert_eq!(attempts_left(3, heard, written), 1);
    assert_eq!(attempts_left(1, heard, written), 0);
    assert_eq!(attempts_left(2, heard, [call(0, 11, true)]), 2);
}
