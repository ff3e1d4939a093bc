//! Measures how the cost of membership and leases grows with the number of daemons, and that of a
//! version of the configuration with its routes. See docs/CAPACITY.md.
//!
//! The membership, lease and encoding code is that of a daemon; many members run in one process
//! and in virtual time, without sockets. Processor time is that of this thread, divided by the
//! number of members and by virtual seconds.

use {
    cpu_time::ThreadTime,
    rattanturn_core::{
        NodeId, Time,
        lease::{LeaseClient, LeaseRequest, UnitId, Vote, Voter},
        membership::State,
        object_history::ObjectHistory,
        rendezvous,
        voter_sets::{Candidate, VoterSets},
    },
    rattanturn_demo::load::ratio,
    rattanturn_platform::entries::{catalog_lines, decode_catalog},
    rattanturn_standins::gossip::SimNetwork,
    rattanturn_wire::{Datagram, encode},
    serde_json::{Value, json},
    std::{collections::BTreeMap, time::Duration},
};

/// Numbers of members to compare.
const SIZES: [usize; 4] = [50, 100, 200, 400];
const SEED: u64 = 1;
/// Virtual time that a new network runs before it is checked for convergence.
const SETTLE_TIME: Duration = Duration::from_secs(40);
/// Virtual time over which the steady state is measured.
const STEADY_TIME: Duration = Duration::from_secs(30);
/// Virtual time after which a wait for detection or convergence ends; four times as long at the
/// start of a network.
const CONVERGE_TIMEOUT: Duration = Duration::from_mins(3);
/// Members that are killed, one after another, for each setting.
const DEATHS: usize = 8;
/// Numbers of routes to compare; 6,000 come close to the store's largest value.
const CONFIG_ROUTES: [usize; 4] = [1_500, 3_000, 6_000, 12_000];
const CONFIG_KEY: &str = "catalog";
/// Lease units per daemon in the largest planned deployment: 12,000 targets in units of 8, and 48
/// partitions of the deduplication tables, divided among 2,200 daemons.
const UNITS_PER_DAEMON: f64 = 12_000.0 / 8.0 / 2_200.0 + 48.0 / 2_200.0;

fn main() {
    // `cargo test --benches` passes --test: nothing is measured then.
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    if std::env::args().any(|a| a == "configuration") {
        measure_configuration();
        return;
    }
    measure_steady_state();
    measure_startup();
    measure_detection();
    measure_propagation();
    measure_leases();
    measure_reassignment();
    measure_configuration();
}

fn converged_network(count: usize) -> SimNetwork {
    let mut net = SimNetwork::new(count, SEED);
    net.run(SETTLE_TIME);
    let limit = CONVERGE_TIMEOUT * 4;
    assert!(
        net.run_until(limit, SimNetwork::converged).is_some(),
        "{count} members did not converge in time"
    );
    assert!(
        net.run_until(limit, is_quiet).is_some(),
        "{count} members did not finish their gossip in time"
    );
    net
}

/// Whether no member has gossip left to send, so that only probes cause traffic.
fn is_quiet(net: &SimNetwork) -> bool {
    net.nodes.iter().all(|n| n.membership.pending_gossip() == 0)
}

/// Measures the traffic from the start of all members at once until they converged and are quiet.
fn measure_startup() {
    println!("\nmembership, all members starting at once: for each member");
    println!(
        "{:>8} {:>10} {:>10} {:>10} {:>12}",
        "members", "agreed s", "quiet s", "messages", "bytes/s"
    );
    for count in SIZES {
        let mut net = SimNetwork::new(count, SEED);
        let agreed = net
            .run_until(CONVERGE_TIMEOUT * 4, SimNetwork::converged)
            .unwrap_or(CONVERGE_TIMEOUT);
        let rest = net
            .run_until(CONVERGE_TIMEOUT * 4, is_quiet)
            .unwrap_or(CONVERGE_TIMEOUT);
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

/// Measures traffic, processor time and memory of each member once the network has converged.
fn measure_steady_state() {
    println!("membership, steady: for each member and second");
    println!(
        "{:>8} {:>10} {:>10} {:>12} {:>14}",
        "members", "messages", "bytes", "cpu us", "memory bytes"
    );
    for count in SIZES {
        let before = resident_bytes();
        let mut net = converged_network(count);
        let memory = resident_bytes().saturating_sub(before) / count as u64;
        net.reset_counts();
        let cpu = ThreadTime::now();
        net.run(STEADY_TIME);
        let seconds = STEADY_TIME.as_secs() * count as u64;
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

/// Measures how fast dead members are detected, and how often live ones are declared dead, under
/// datagram loss and process pauses.
fn measure_detection() {
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
        let mut net = converged_network(100);
        net.loss_rate = loss;
        let mut all = Vec::new();
        let mut firsts = Vec::new();
        let mut false_deaths = 0;
        for death in 0..DEATHS {
            let victim = 10 + death;
            if pauses {
                pause(&mut net, 60..65);
            }
            net.nodes[victim].dead = true;
            let detected = |net: &SimNetwork| net.state(0, victim) == Some(State::Dead);
            firsts.push(
                net.run_until(CONVERGE_TIMEOUT, detected)
                    .unwrap_or(CONVERGE_TIMEOUT),
            );
            let rest = net
                .run_until(CONVERGE_TIMEOUT, SimNetwork::converged)
                .unwrap_or(CONVERGE_TIMEOUT);
            all.push(firsts[death] + rest);
            false_deaths += count_false_deaths(&net);
        }
        all.sort();
        firsts.sort();
        println!(
            "{title:<22} {:>8.1} {:>8.1} {:>8.1} {false_deaths:>10}",
            firsts[0].as_secs_f64(),
            all[all.len() / 2].as_secs_f64(),
            all[all.len() - 1].as_secs_f64()
        );
    }
}

/// Pauses some members for two seconds of virtual time.
fn pause(net: &mut SimNetwork, members: std::ops::Range<usize>) {
    for m in members.clone() {
        net.nodes[m].paused = true;
    }
    net.run(Duration::from_secs(2));
    for m in members {
        net.nodes[m].paused = false;
    }
}

/// Number of ordered pairs of running members of which the first considers the second dead.
fn count_false_deaths(net: &SimNetwork) -> usize {
    let is_running = |i: &usize| !net.nodes[*i].dead;
    let running: Vec<usize> = (0..net.nodes.len()).filter(is_running).collect();
    let dead_for = |observer: usize| {
        running
            .iter()
            .filter(|m| net.state(observer, **m) == Some(State::Dead))
            .count()
    };
    running.iter().map(|o| dead_for(*o)).sum()
}

/// Measures the time until all members know a version of the tables that two of them learn first.
fn measure_propagation() {
    println!(
        "\nspread of a new version of the tables from two watchers to all, by membership messages"
    );
    println!("{:>8} {:>10}", "members", "all s");
    for count in SIZES {
        let mut net = converged_network(count);
        net.set_tables(0, 7);
        net.set_tables(1, 7);
        let updated = |net: &SimNetwork| net.nodes.iter().all(|n| n.tables == 7);
        let took = net
            .run_until(CONVERGE_TIMEOUT, updated)
            .unwrap_or(CONVERGE_TIMEOUT);
        println!("{count:>8} {:>10.1}", took.as_secs_f64());
    }
}

/// Measures the lease traffic of one region by its number of daemons; the largest number is a third
/// of the planned deployment.
///
/// Each holder sends one datagram with its requests to each voter and receives one with the votes.
/// One round is measured, and its figures are doubled because leases are renewed twice a second.
fn measure_leases() {
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
        let voter_sets = VoterSets::create(&peers);
        // Rounding down loses less than one unit of all daemons together.
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let units = (UNITS_PER_DAEMON * count as f64) as u64;
        let cpu = ThreadTime::now();
        let (mut messages, mut bytes) = (0_u64, 0_u64);
        let mut by_node: BTreeMap<NodeId, Voter> = BTreeMap::new();
        let mut batches: BTreeMap<(NodeId, NodeId), Vec<LeaseRequest>> = BTreeMap::new();
        for unit in 0..units {
            let id = UnitId(rendezvous::key(&unit.to_string()));
            let holder = rendezvous::first(peers.iter().map(|p| p.id), id.0)
                .expect("there is at least one peer");
            let voter_set = voter_sets.of(id).expect("every unit has voters");
            let request = LeaseClient::new(id, holder).request(Time::from_millis(1), &voter_set);
            for voter in voter_set.voters {
                batches.entry((holder, voter)).or_default().push(request);
            }
        }
        for ((holder, voter), list) in batches {
            let vote = |r: &LeaseRequest| {
                let voter_set = voter_sets.of(r.unit).expect("every unit has voters");
                by_node
                    .entry(voter)
                    .or_default()
                    .vote(Time::from_millis(2), &voter_set, r)
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

/// Measures the share of units whose holder changes when one of N daemons leaves; ideally 1/N.
fn measure_reassignment() {
    println!("\nunits that move when one of N daemons goes");
    println!("{:>8} {:>10} {:>10}", "daemons", "moved", "1/N");
    for count in [8_u64, 50, 244] {
        let nodes: Vec<NodeId> = (1..=count).map(NodeId).collect();
        let units = 20_000_u64;
        let moved = (0..units).filter(|u| {
            let before = rendezvous::first(nodes.iter().copied(), *u);
            before != rendezvous::first(nodes.iter().copied().skip(1), *u)
        });
        println!(
            "{count:>8} {:>9.2}% {:>9.2}%",
            ratio(moved.count() as u64, units) * 100.0,
            ratio(1, count) * 100.0
        );
    }
}

/// Measures what a version of the configuration that changes every route costs a daemon, by its routes.
///
/// A reader decodes it, encodes it by lines and makes one update for all peers with the same version. A
/// daemon that fetches it applies the update and does the same. Half of the routes changed gives the
/// largest patch, all of them the whole object.
fn measure_configuration() {
    println!("\na version of the configuration that changes routes, in ms of processor time");
    println!(
        "{:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "routes", "changed", "bytes", "sent", "decode", "lines", "update", "apply"
    );
    for routes in CONFIG_ROUTES {
        for changed in [1, routes / 2, routes] {
            let base = catalog_lines(&config_spec(routes, 0));
            let spec = serde_json::to_vec(&config_spec(routes, changed)).expect("it is valid");
            let (spec, decode) = timed(|| {
                let spec = serde_json::from_slice(&spec).expect("it was just encoded");
                decode_catalog(&spec).expect("it is valid");
                spec
            });
            let (new, encode) = timed(|| catalog_lines(&spec));
            let mut source = ObjectHistory::default();
            source.put(CONFIG_KEY, 1, &base);
            source.put(CONFIG_KEY, 2, &new);
            let (update, make) = timed(|| source.update_since(CONFIG_KEY, 1));
            let update = update.expect("the second version is newer");
            let (body, apply) = timed(|| source.reconstruct(CONFIG_KEY, &update));
            assert_eq!(body.as_deref(), Some(&new[..]));
            println!(
                "{routes:>8} {changed:>8} {:>8} {:>8} {decode:>8.2} {encode:>8.2} {make:>8.2} {apply:>8.2}",
                new.len(),
                update.data.len()
            );
        }
    }
}

/// A configuration with `routes` routes, of which about `changed` have another time limit.
fn config_spec(routes: usize, changed: usize) -> Value {
    let is_changed = |i: usize| i * changed / routes != (i + 1) * changed / routes;
    let route = |i: usize| {
        json!({
            "name": format!("route-{i}"), "host": "desk.example", "pathPrefix": format!("/r{i}/"),
            "type": "idempotent", "timeoutMs": 800 + usize::from(is_changed(i)), "priority": 1,
            "latencyGoalMs": 200, "service": "mail-office", "maxAttempts": 2,
        })
    };
    let routes: Vec<Value> = (0..routes).map(route).collect();
    json!({"version": 1 + changed, "routes": routes, "services": []})
}

/// The result of `work` and the processor time that it took, in milliseconds.
fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let start = ThreadTime::now();
    let out = work();
    (out, start.elapsed().as_secs_f64() * 1e3)
}

/// Resident memory of this process in bytes, if pages have 4 KiB; 0 where there is no `/proc`.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse().ok())
        .unwrap_or(0);
    pages * 4_096
}
