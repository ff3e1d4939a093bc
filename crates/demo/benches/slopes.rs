//! Slopes of control: what a member costs as members grow. See docs/CAPACITY.md.
//!
//! The memberships, leases and encodings are the real ones, many in one process and in virtual
//! time. Processor time is this thread's, divided by members and virtual seconds.

use {
    cpu_time::ThreadTime,
    rattanturn_core::{
        NodeId, Time,
        lease::{LeaseClient, LeaseRequest, UnitId, Vote, Voter},
        membership::State,
        rendezvous,
        voter_sets::{Candidate, VoterSets},
    },
    rattanturn_demo::load::ratio,
    rattanturn_standins::gossip::SimNetwork,
    rattanturn_wire::{Datagram, encode},
    std::{collections::BTreeMap, time::Duration},
};

const SIZES: [usize; 4] = [50, 100, 200, 400];
const SEED: u64 = 1;
const SETTLE: Duration = Duration::from_secs(40);
const STEADY: Duration = Duration::from_secs(30);
const LIMIT: Duration = Duration::from_mins(3);
/// Deaths measured at each setting.
const DEATHS: usize = 8;
/// Units of a daemon at the target size: 12,000 targets in units of 8, and the journals.
const UNITS_PER_DAEMON: f64 = 12_000.0 / 8.0 / 2_200.0 + 48.0 / 2_200.0;

fn main() {
    // `cargo test --benches` passes --test: nothing is measured then.
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    membership();
    burst();
    faults();
    spread();
    leases();
    moved();
}

fn settled(count: usize) -> SimNetwork {
    let mut net = SimNetwork::new(count, SEED);
    net.run(SETTLE);
    let limit = LIMIT * 4;
    assert!(
        net.run_until(limit, SimNetwork::converged).is_some(),
        "{count} never agreed"
    );
    assert!(
        net.run_until(limit, quiet).is_some(),
        "{count} never became quiet"
    );
    net
}

/// True once no member spreads news any more.
fn quiet(net: &SimNetwork) -> bool {
    net.nodes.iter().all(|n| n.membership.pending_gossip() == 0)
}

/// Costs while all members start at once, until all is quiet.
fn burst() {
    println!("\nmembership, all members starting at once: for each member");
    println!(
        "{:>8} {:>10} {:>10} {:>10} {:>12}",
        "members", "agreed s", "quiet s", "messages", "bytes/s"
    );
    for count in SIZES {
        let mut net = SimNetwork::new(count, SEED);
        let agreed = net
            .run_until(LIMIT * 4, SimNetwork::converged)
            .unwrap_or(LIMIT);
        let rest = net.run_until(LIMIT * 4, quiet).unwrap_or(LIMIT);
        let messages: u64 = net.nodes.iter().map(|n| n.messages).sum();
        let bytes: u64 = net.nodes.iter().map(|n| n.bytes).sum();
        let seconds = (agreed + rest).as_secs_f64();
        println!(
            "{count:>8} {:>10.1} {seconds:>10.1} {:>10.0} {:>12.0}",
            agreed.as_secs_f64(),
            ratio(messages, count as u64),
            ratio(bytes, count as u64) / seconds
        );
    }
}

fn membership() {
    println!("membership, steady: for each member and second");
    println!(
        "{:>8} {:>10} {:>10} {:>12} {:>14}",
        "members", "messages", "bytes", "cpu us", "memory bytes"
    );
    for count in SIZES {
        let before = resident();
        let mut net = settled(count);
        let memory = resident().saturating_sub(before) / count as u64;
        net.reset_counts();
        let cpu = ThreadTime::now();
        net.run(STEADY);
        let seconds = STEADY.as_secs() * count as u64;
        let messages: u64 = net.nodes.iter().map(|n| n.messages).sum();
        let bytes: u64 = net.nodes.iter().map(|n| n.bytes).sum();
        let cpu = u64::try_from(cpu.elapsed().as_micros()).unwrap_or(u64::MAX);
        println!(
            "{count:>8} {:>10.2} {:>10.0} {:>12.1} {memory:>14}",
            ratio(messages, seconds),
            ratio(bytes, seconds),
            ratio(cpu, seconds)
        );
    }
}

/// Detection times and false accusations under loss and pauses.
fn faults() {
    println!("\ndetection of a death by all of 100 members, and members wrongly declared dead");
    println!(
        "{:<22} {:>8} {:>8} {:>8} {:>10}",
        "setting", "first s", "p50 s", "max s", "false dead"
    );
    for (title, loss, pauses) in [
        ("no loss", 0.0, false),
        ("1% loss", 0.01, false),
        ("5% loss", 0.05, false),
        ("pauses of 2 s", 0.0, true),
    ] {
        let mut net = settled(100);
        net.loss_rate = loss;
        let mut all = Vec::new();
        let mut firsts = Vec::new();
        let mut wrong = 0;
        for death in 0..DEATHS {
            let victim = 10 + death;
            if pauses {
                pause(&mut net, 60..65);
            }
            net.nodes[victim].dead = true;
            let seen = |net: &SimNetwork| net.state(0, victim) == Some(State::Dead);
            firsts.push(net.run_until(LIMIT, seen).unwrap_or(LIMIT));
            let rest = net.run_until(LIMIT, SimNetwork::converged).unwrap_or(LIMIT);
            all.push(firsts[death] + rest);
            wrong += falsely_dead(&net);
        }
        all.sort();
        firsts.sort();
        println!(
            "{title:<22} {:>8.1} {:>8.1} {:>8.1} {wrong:>10}",
            firsts[0].as_secs_f64(),
            all[all.len() / 2].as_secs_f64(),
            all[all.len() - 1].as_secs_f64()
        );
    }
}

fn pause(net: &mut SimNetwork, members: std::ops::Range<usize>) {
    for m in members.clone() {
        net.nodes[m].paused = true;
    }
    net.run(Duration::from_secs(2));
    for m in members {
        net.nodes[m].paused = false;
    }
}

fn falsely_dead(net: &SimNetwork) -> usize {
    let running = |i: &usize| !net.nodes[*i].dead;
    let all: Vec<usize> = (0..net.nodes.len()).filter(running).collect();
    let dead = |o: usize| {
        all.iter()
            .filter(|m| net.state(o, **m) == Some(State::Dead))
            .count()
    };
    all.iter().map(|o| dead(*o)).sum()
}

/// Time from a version at two members to the same version at all.
fn spread() {
    println!(
        "\nspread of a new version of the tables from two watchers to all, by membership messages"
    );
    println!("{:>8} {:>10}", "members", "all s");
    for count in SIZES {
        let mut net = settled(count);
        net.set_tables(0, 7);
        net.set_tables(1, 7);
        let all = |net: &SimNetwork| net.nodes.iter().all(|n| n.tables == 7);
        let took = net.run_until(LIMIT, all).unwrap_or(LIMIT);
        println!("{count:>8} {:>10.1}", took.as_secs_f64());
    }
}

/// Lease traffic of one region by the number of daemons.
fn leases() {
    println!("\nleases: {UNITS_PER_DAEMON:.2} units a daemon, renewed twice a second");
    println!(
        "{:>8} {:>10} {:>10} {:>12}",
        "daemons", "messages", "bytes", "cpu us"
    );
    for count in [50, 100, 200, 400, 733] {
        let peers: Vec<Candidate> = (1..=count)
            .map(|i| Candidate {
                id: NodeId(i),
                centre: i % 3,
                known: 1,
            })
            .collect();
        let panels = VoterSets::create(&peers);
        // Units are counted in whole ones: the daemons' sum is what matters.
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let units = (UNITS_PER_DAEMON * count as f64) as u64;
        let cpu = ThreadTime::now();
        let (mut messages, mut bytes) = (0_u64, 0_u64);
        let mut panel_voters: BTreeMap<NodeId, Voter> = BTreeMap::new();
        let mut batches: BTreeMap<(NodeId, NodeId), Vec<LeaseRequest>> = BTreeMap::new();
        for unit in 0..units {
            let id = UnitId(rendezvous::key(&unit.to_string()));
            let holder =
                rendezvous::first(peers.iter().map(|p| p.id), id.0).expect("there are peers");
            let panel = panels.of(id).expect("there are panels");
            let request = LeaseClient::new(id, holder).request(Time::from_millis(1), &panel);
            for voter in panel.voters {
                batches.entry((holder, voter)).or_default().push(request);
            }
        }
        for ((holder, voter), list) in batches {
            let vote = |r: &LeaseRequest| {
                let panel = panels.of(r.unit).expect("there are panels");
                panel_voters
                    .entry(voter)
                    .or_default()
                    .vote(Time::from_millis(2), &panel, r)
            };
            let votes: Vec<Vote> = list.iter().map(vote).collect();
            bytes += encode(&Datagram::LeaseRequests(holder, list)).len() as u64;
            bytes += encode(&Datagram::LeaseVotes(voter, votes)).len() as u64;
            messages += 2;
        }
        let cpu = u64::try_from(cpu.elapsed().as_micros()).unwrap_or(u64::MAX);
        println!(
            "{count:>8} {:>10.2} {:>10.0} {:>12.1}",
            ratio(messages * 2, count),
            ratio(bytes * 2, count),
            ratio(cpu * 2, count)
        );
    }
}

/// Share of units whose holder changes when one of N daemons goes.
fn moved() {
    println!("\nunits that move when one of N daemons goes");
    println!("{:>8} {:>10} {:>10}", "daemons", "moved", "1/N");
    for count in [8_u64, 50, 244] {
        let nodes: Vec<NodeId> = (1..=count).map(NodeId).collect();
        let units = 20_000_u64;
        let changed = (0..units).filter(|u| {
            let before = rendezvous::first(nodes.iter().copied(), *u);
            before != rendezvous::first(nodes.iter().copied().skip(1), *u)
        });
        println!(
            "{count:>8} {:>9.2}% {:>9.2}%",
            ratio(changed.count() as u64, units) * 100.0,
            ratio(1, count) * 100.0
        );
    }
}

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse().ok())
        .unwrap_or(0);
    pages * 4_096
}
