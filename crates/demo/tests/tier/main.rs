//! The tier on the users' platform, whole: callers, daemons, servers and store on loopback.

mod fleet;

use {
    actix_rt::{System, time::sleep},
    rattanturn_demo::tier_bed::{Answer, Options, PLAIN, TierBed, request},
    rattanturn_standins::{
        operator::{deregister_target, register_target},
        shard::{Fault, State},
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time within which a leaving server or a data centre taken out must get nothing more.
const DRAIN: Duration = Duration::from_secs(3);
/// Time within which a configuration must be in force.
const IN_FORCE: Duration = Duration::from_secs(3);
/// Time within which a dead daemon must be out of the directory.
const NAMED_DEAD: Duration = Duration::from_secs(7);

fn with_bed<F>(daemons: usize, test: F)
where
    F: AsyncFnOnce(&mut TierBed),
{
    System::new().block_on(async {
        let options = Options { shards: 4, daemons };
        let mut bed = TierBed::spawn(options).await.unwrap();
        test(&mut bed).await;
    });
}

fn front(bed: &TierBed, daemon: usize) -> SocketAddr {
    bed.daemons[daemon].addresses().front
}

/// The two servers of the plain service.
fn plain(bed: &TierBed) -> Vec<Arc<State>> {
    let of = |s: &&Arc<State>| s.config().service == PLAIN;
    bed.servers.iter().filter(of).cloned().collect()
}

fn shard(bed: &TierBed, number: usize) -> Vec<Arc<State>> {
    let of = |s: &&Arc<State>| s.config().service == bed.services[number];
    bed.servers.iter().filter(of).cloned().collect()
}

fn runs(servers: &[Arc<State>], id: &str) -> u32 {
    let of = |s: &Arc<State>| s.counters().runs.get(id).copied().unwrap_or(0);
    servers.iter().map(of).sum()
}

async fn ask(bed: &TierBed, path: &str, id: &str) -> Answer {
    request(front(bed, 0), path, id, "").await.unwrap()
}

#[test]
fn a_gathered_answer_holds_the_greatest_records_of_all_shards() {
    with_bed(1, async |bed| {
        let answer = ask(bed, "/all/x?q=1", "g1").await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("x-missing-shards"), "0");
        let seals: Vec<&str> = answer.header("x-shard-stamps").split(", ").collect();
        assert_eq!(seals.len(), 4);
        // The seal begins with the id of the server that answered.
        let mut records: Vec<Vec<u8>> = seals
            .iter()
            .map(|seal| seal.rsplit_once('.').unwrap().0)
            .flat_map(|id| {
                let server = bed.servers.iter().find(|s| s.config().id == id).unwrap();
                server
                    .records()
                    .chunks(16)
                    .map(<[u8]>::to_vec)
                    .collect::<Vec<_>>()
            })
            .collect();
        records.sort();
        records.reverse();
        assert_eq!(answer.body, records[..10].concat());
    });
}

#[test]
fn a_request_that_may_have_run_is_not_run_again() {
    with_bed(1, async |bed| {
        let servers = plain(bed);
        for (fault, status) in [
            (Fault::Lost, 502),
            (Fault::Truncated, 502),
            (Fault::Failed, 500),
        ] {
            for s in &servers {
                s.set_fault(fault);
            }
            let id = format!("{fault:?}");
            let answer = request(front(bed, 0), "/once/x", &id, "body")
                .await
                .unwrap();
            assert_eq!(answer.status, status, "{fault:?}");
            assert_eq!(runs(&servers, &id), 1, "{fault:?}");
        }
    });
}

#[test]
fn a_refusal_states_truly_that_nothing_ran_and_when_to_come_back() {
    with_bed(1, async |bed| {
        let servers = plain(bed);
        for s in &servers {
            s.set_fault(Fault::Refused);
        }
        let begun = Instant::now();
        let answer = request(front(bed, 0), "/once/x", "r1", "body")
            .await
            .unwrap();
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").parse::<f64>().unwrap() > 0.0);
        assert_eq!(runs(&servers, "r1"), 0);
        assert!(begun.elapsed() < Duration::from_millis(500), "refused late");
    });
}

#[test]
fn a_refused_request_runs_at_the_other_server() {
    with_bed(1, async |bed| {
        let servers = plain(bed);
        servers[0].set_fault(Fault::Refused);
        for i in 0..6 {
            let id = format!("o{i}");
            let answer = request(front(bed, 0), "/once/x", &id, "body")
                .await
                .unwrap();
            assert_eq!(answer.status, 200);
            assert_eq!(runs(&servers, &id), 1);
        }
    });
}

#[test]
fn a_second_answer_never_reaches_another_request() {
    with_bed(1, async |bed| {
        for s in &bed.servers {
            s.set_fault(Fault::Duplicated);
        }
        for i in 0..40 {
            let id = format!("d{i}");
            let answer = ask(bed, "/one/x", &id).await;
            assert_eq!(
                (answer.status, answer.header("x-request-id")),
                (200, &id[..])
            );
            let gathered = ask(bed, "/all/x", &format!("dg{i}")).await;
            assert_eq!(
                (gathered.status, gathered.header("x-missing-shards")),
                (200, "0")
            );
        }
    });
}

#[test]
fn an_answer_without_a_length_is_whole_and_a_cut_one_is_asked_for_again() {
    with_bed(1, async |bed| {
        let servers = plain(bed);
        for s in &servers {
            s.set_fault(Fault::Unframed);
        }
        let answer = ask(bed, "/one/x", "u1").await;
        assert_eq!(answer.status, 200);
        assert!(servers.iter().any(|s| s.records() == answer.body));
        for s in &servers {
            s.set_fault(Fault::None);
        }
        servers[0].set_fault(Fault::Truncated);
        for i in 0..4 {
            let answer = ask(bed, "/one/x", &format!("c{i}")).await;
            assert_eq!((answer.status, answer.body), (200, servers[1].records()));
        }
    });
}

#[test]
fn a_server_that_stands_still_does_not_hold_a_gather_up() {
    with_bed(1, async |bed| {
        for i in 0..20 {
            ask(bed, "/all/x", &format!("w{i}")).await;
        }
        for server in &shard(bed, 0)[..1] {
            server.pause(Duration::from_millis(400));
        }
        for i in 0..4 {
            let begun = Instant::now();
            let answer = ask(bed, "/all/x", &format!("p{i}")).await;
            assert_eq!(
                (answer.status, answer.header("x-missing-shards")),
                (200, "0")
            );
            assert!(
                begun.elapsed() < Duration::from_millis(200),
                "{:?}",
                begun.elapsed()
            );
        }
    });
}

#[test]
fn a_shard_without_servers_is_counted_as_missing() {
    with_bed(1, async |bed| {
        for server in shard(bed, 2) {
            deregister_target(&bed.store, &server);
        }
        sleep(DRAIN).await;
        let answer = ask(bed, "/all/x", "m1").await;
        assert_eq!(
            (answer.status, answer.header("x-missing-shards")),
            (200, "1")
        );
        for server in shard(bed, 1) {
            deregister_target(&bed.store, &server);
        }
        sleep(DRAIN).await;
        let begun = Instant::now();
        let answer = ask(bed, "/all/x", "m2").await;
        assert_eq!(answer.status, 503);
        assert!(!answer.header("retry-after").is_empty());
        assert!(begun.elapsed() < Duration::from_millis(100), "refused late");
    });
}

#[test]
fn work_ends_when_its_caller_leaves() {
    with_bed(1, async |bed| {
        for s in &bed.servers {
            s.set_slow(100.0);
        }
        let at = front(bed, 0);
        let asked = tokio::time::timeout(
            Duration::from_millis(200),
            request(at, "/all/x", "gone", ""),
        );
        assert!(asked.await.is_err());
        sleep(Duration::from_millis(400)).await;
        let left: u64 = bed.servers.iter().map(|s| s.counters().abandoned).sum();
        assert!(left >= 4, "{left} servers saw the caller leave");
    });
}

#[test]
fn an_address_that_passed_to_another_server_runs_nothing() {
    with_bed(1, async |bed| {
        let servers = plain(bed);
        let other = shard(bed, 0)[0].clone();
        let mut entry = servers[0].entry("ready", 5);
        entry["address"] = other.entry("ready", 1)["address"].clone();
        bed.store.write("servers", &servers[0].config().id, entry);
        sleep(DRAIN).await;
        for i in 0..10 {
            let id = format!("a{i}");
            let answer = request(front(bed, 0), "/once/x", &id, "body")
                .await
                .unwrap();
            assert_eq!(answer.status, 200);
            assert_eq!(runs(std::slice::from_ref(&other), &id), 0);
        }
    });
}

#[test]
fn what_a_caller_may_send_is_bounded() {
    with_bed(1, async |bed| {
        assert_eq!(ask(bed, "/none/x", "u").await.status, 404);
        let at = front(bed, 0);
        let large = "x".repeat(300_000);
        assert_eq!(
            request(at, "/one/x", "b", &large).await.unwrap().status,
            413
        );
        let long = format!("/one/{}", "y".repeat(17_000));
        assert_eq!(ask(bed, &long, "h").await.status, 431);
    });
}

#[test]
fn a_split_route_follows_its_weights() {
    with_bed(1, async |bed| {
        let (a, b) = (bed.services[0].clone(), bed.services[1].clone());
        bed.operator = bed
            .operator
            .clone()
            .clear_routes()
            .split_route("/split/", &[(&a, 3), (&b, 1)]);
        bed.operator.write(&bed.store);
        sleep(IN_FORCE).await;
        for i in 0..40 {
            assert_eq!(ask(bed, "/split/x", &format!("s{i}")).await.status, 200);
        }
        let first: usize = shard(bed, 0).iter().map(|s| s.counters().runs.len()).sum();
        assert_eq!(first, 30);
    });
}

/// With two of four shards down, an answer cannot reach its least coverage of 0.75: callers are
/// told so at once instead of at their deadline, and are served soon after the shards are back.
#[test]
fn a_gather_that_cannot_be_covered_is_refused_at_once() {
    with_bed(1, async |bed| {
        let down: Vec<_> = (0..2).flat_map(|i| shard(bed, i)).collect();
        for server in &down {
            let mut entry = server.entry("ready", 2);
            // Nothing listens on the discard port.
            entry["address"] = "127.0.0.1:9".into();
            bed.store.write("servers", &server.config().id, entry);
        }
        sleep(Duration::from_secs(2)).await;
        ask(bed, "/all/x", "first").await;
        for i in 0..10 {
            let begun = Instant::now();
            let answer = ask(bed, "/all/x", &format!("r{i}")).await;
            assert_eq!(answer.status, 503);
            assert!(begun.elapsed() < Duration::from_millis(100), "refused late");
        }
        for server in &down {
            register_target(&bed.store, server, "ready", 3);
        }
        sleep(Duration::from_secs(3)).await;
        assert_eq!(ask(bed, "/all/x", "back").await.status, 200);
    });
}

/// A server that is much slower than its peer is still the better second choice while the peer
/// stands still.
#[test]
fn a_hedge_goes_to_another_server_than_the_one_that_stands_still() {
    with_bed(1, async |bed| {
        let servers = shard(bed, 0);
        servers[1].set_slow(8.0);
        for i in 0..40 {
            ask(bed, "/all/x", &format!("w{i}")).await;
        }
        servers[0].pause(Duration::from_millis(600));
        let begun = Instant::now();
        let answer = ask(bed, "/all/x", "hedged").await;
        assert_eq!(
            (answer.status, answer.header("x-missing-shards")),
            (200, "0")
        );
        assert!(
            begun.elapsed() < Duration::from_millis(200),
            "{:?}",
            begun.elapsed()
        );
        assert_eq!(runs(&servers[1..], "hedged"), 1);
    });
}
