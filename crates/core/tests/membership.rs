//! Daemons that find each other by gossip, without loss or delay.

use {
    rattanturn_core::{
        NodeId, Time,
        membership::{Endpoints, Envelope, Membership, State},
    },
    std::{collections::VecDeque, net::SocketAddr},
};

const DAEMONS: u8 = 5;
const TICK_MS: u64 = 50;

fn addr(daemon: u8) -> SocketAddr {
    ([127, 0, 0, daemon + 1], 7_380).into()
}

/// A daemon's process; the first two are the seeds of all.
fn start(daemon: u8, run: u64, seed: u64) -> Membership {
    let endpoints = Endpoints {
        name: format!("d{daemon}"),
        centre: "a".into(),
        gossip: addr(daemon),
        http: 80,
        admin: 81,
        rpc: 82,
        threads: 1,
    };
    let id = NodeId(run * 100 + u64::from(daemon) + 1);
    Membership::new(id, endpoints, vec![addr(0), addr(1)], seed)
}

/// Delivers messages and those that answer them.
fn deliver(now: Time, from: u8, sent: Vec<Envelope>, all: &mut [Option<Membership>]) {
    let mut queue: VecDeque<(u8, Envelope)> = sent.into_iter().map(|e| (from, e)).collect();
    while let Some((from, envelope)) = queue.pop_front() {
        let to = (0..DAEMONS).find(|d| addr(*d) == envelope.to).unwrap();
        if let Some(receiver) = &mut all[usize::from(to)] {
            let answers = receiver.receive(now, addr(from), &envelope.message);
            queue.extend(answers.into_iter().map(|answer| (to, answer)));
        }
    }
}

fn tick(now: Time, all: &mut [Option<Membership>]) {
    for d in 0..DAEMONS {
        if let Some(member) = &mut all[usize::from(d)] {
            let sent = member.tick(now);
            deliver(now, d, sent, all);
        }
    }
}

/// Guards against two groups of daemons that do not find each other for seconds, in which each account
/// has two owners, after all seeds were restarted.
#[test]
fn daemons_find_seeds_that_were_restarted() {
    let mut longest = 0;
    for seed in 0..100 {
        let mut all: Vec<Option<Membership>> =
            (0..DAEMONS).map(|d| Some(start(d, 1, seed))).collect();
        let mut ms = 1_000;
        while ms < 10_000 {
            tick(Time::from_millis(ms), &mut all);
            ms += TICK_MS;
        }
        for d in [0, 1, 4] {
            let now = Time::from_millis(ms);
            let mut stopped = all[usize::from(d)].take().unwrap();
            deliver(now, d, stopped.death_notice(now), &mut all);
        }
        while ms < 11_000 {
            tick(Time::from_millis(ms), &mut all);
            ms += TICK_MS;
        }
        for d in [0, 1, 4] {
            all[usize::from(d)] = Some(start(d, 2, seed));
        }
        let alive = |m: &Option<Membership>| {
            let members = m.as_ref().unwrap().members();
            members.filter(|m| m.record.state == State::Alive).count()
        };
        let begun = ms;
        while all.iter().any(|m| alive(m) < usize::from(DAEMONS)) {
            assert!(ms < begun + 60_000, "seed {seed}: not found");
            tick(Time::from_millis(ms), &mut all);
            ms += TICK_MS;
        }
        longest = longest.max(ms - begun);
    }
    println!("all daemons found each other within {longest} ms");
    assert!(longest <= 2_000, "took {longest} ms");
}
